//! Admission of transactions: what is known is answered, what would be late is refused, the rest waits.

use super::{AdmissionRequest, Holder, HolderOutput, QueuedRequest, not_run};
use common::clock::MonotonicTime;
use common::frames::{RequestFailureReason, RequestOutcome};
use common::identity::IdempotencyKey;
use common::rules::Rule;

impl Holder {
    /// Takes a transaction in; an outcome at once, or none while it waits.
    pub fn admit(
        &mut self,
        now: MonotonicTime,
        request: AdmissionRequest,
    ) -> (Option<RequestOutcome>, Vec<HolderOutput>) {
        if self.is_releasing() {
            return (
                Some(not_run(RequestFailureReason::NotHolder, 50)),
                Vec::new(),
            );
        }
        self.last_request_at = now;
        self.idle_stopped = false;
        self.demand.record_call(now);
        let shortest_target = self.shortest_target.unwrap_or(request.target);
        self.shortest_target = Some(shortest_target.min(request.target));
        self.regional
            .record_call(now, request.region.as_ref(), request.recorded);
        self.retry_budget.record_attempt(now, request.repeat);
        if request.recorded
            && let Some(known_outcome) = self.known_outcome(&request.idempotency_key)
        {
            return (Some(known_outcome), Vec::new());
        }
        if self.is_unready_regional() {
            self.scale(now);
            let outcome = not_run(RequestFailureReason::NoRunnerAvailable, 100);
            return (Some(outcome), std::mem::take(&mut self.outputs));
        }
        if let Some((reason, retry_after)) = self.rejection_reason(now, &request) {
            let retry_after_ms = retry_after.as_millis().max(100) as u32;
            self.record_rejection(now, &request, reason, retry_after_ms);
            let outcome = not_run(reason, retry_after_ms);
            self.scale(now);
            return (Some(outcome), std::mem::take(&mut self.outputs));
        }
        if request.repeat {
            self.spend_retry(now);
        }
        if request.recorded {
            self.ledger.begin(
                request.idempotency_key.clone(),
                request.once,
                request.deadline,
            );
        }
        let queue_deadline = request.deadline.min(now + request.queue_timeout);
        let target_deadline = now + request.target;
        let index = self.queue_index(request.rank);
        self.queue.insert(
            index,
            QueuedRequest {
                request,
                target_deadline,
                queue_deadline,
                attempt: 1,
                may_have_run: false,
                failure: None,
            },
        );
        self.dispatch(now);
        self.scale(now);
        (None, std::mem::take(&mut self.outputs))
    }

    fn known_outcome(&self, idempotency_key: &IdempotencyKey) -> Option<RequestOutcome> {
        self.ledger
            .known_outcome(idempotency_key)
            .filter(|_| self.rules.enforces(Rule::KnownIdempotencyKeyAnswered))
    }

    fn record_rejection(
        &mut self,
        now: MonotonicTime,
        request: &AdmissionRequest,
        reason: RequestFailureReason,
        retry_after_ms: u32,
    ) {
        self.rejected_count += 1;
        self.last_rejection_reason = reason;
        if !request.recorded {
            return;
        }
        let outcome = not_run(RequestFailureReason::RejectedBefore, retry_after_ms);
        self.ledger.end(
            now,
            &request.idempotency_key,
            request.once,
            request.deadline,
            outcome,
        );
    }

    /// How many transactions were refused since last asked.
    pub fn take_rejections(&mut self) -> Option<(u32, RequestFailureReason)> {
        let rejected_count = std::mem::take(&mut self.rejected_count);
        (rejected_count > 0).then_some((rejected_count, self.last_rejection_reason))
    }
}
