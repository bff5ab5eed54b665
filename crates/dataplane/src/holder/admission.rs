//! Admission of requests: returns a recorded outcome, rejects requests that would be late, and queues the others.

use super::{AdmissionRequest, Holder, HolderOutput, QueuedRequest, not_run};
use common::clock::MonotonicTime;
use common::frames::{RequestFailureReason, RequestOutcome};
use common::identity::IdempotencyKey;
use common::rules::Rule;

/// Delay after which a caller may retry at the next holder, in milliseconds.
const RELEASING_RETRY_AFTER_MS: u32 = 50;
/// Delay after which a caller may retry at a regional holder that has no ready runner, in milliseconds.
const REGIONAL_RETRY_AFTER_MS: u32 = 100;
/// Minimum delay after which a rejected caller may retry, in milliseconds.
const MIN_RETRY_AFTER_MS: u128 = 100;

impl Holder {
    /// Admits a request. Returns its outcome if that is known immediately, or `None` if the request was queued.
    pub fn admit(
        &mut self,
        now: MonotonicTime,
        request: AdmissionRequest,
    ) -> (Option<RequestOutcome>, Vec<HolderOutput>) {
        if self.is_releasing() {
            let outcome = not_run(RequestFailureReason::NotHolder, RELEASING_RETRY_AFTER_MS);
            return (Some(outcome), Vec::new());
        }
        self.record_call(now, &request);
        if request.recorded
            && let Some(known_outcome) = self.known_outcome(&request.idempotency_key)
        {
            return (Some(known_outcome), Vec::new());
        }
        if self.is_unready_regional() {
            self.scale(now);
            let reason = RequestFailureReason::NoRunnerAvailable;
            let outcome = not_run(reason, REGIONAL_RETRY_AFTER_MS);
            return (Some(outcome), self.take_outputs());
        }
        if let Some((reason, retry_after)) = self.rejection_reason(now, &request) {
            let retry_after_ms = retry_after.as_millis().max(MIN_RETRY_AFTER_MS) as u32;
            self.record_rejection(now, &request, reason, retry_after_ms);
            let outcome = not_run(reason, retry_after_ms);
            self.scale(now);
            return (Some(outcome), self.take_outputs());
        }
        self.enqueue(now, request);
        self.dispatch(now);
        self.scale(now);
        (None, self.take_outputs())
    }

    /// Counts a call towards demand, idle retention and the retry budget, whether or not it is admitted.
    fn record_call(&mut self, now: MonotonicTime, request: &AdmissionRequest) {
        self.lifecycle.resume_serving();
        self.idle_retention.record_request(now, request.target);
        self.demand.record_call(now);
        self.regional
            .record_call(now, request.region.as_ref(), request.recorded);
        self.retry_budget.record_attempt(now, request.is_retry);
    }

    fn enqueue(&mut self, now: MonotonicTime, request: AdmissionRequest) {
        if request.is_retry {
            self.spend_retry(now);
        }
        if request.recorded {
            self.ledger.record_request(
                request.idempotency_key.clone(),
                request.once,
                request.deadline,
            );
        }
        let queued = QueuedRequest {
            target_deadline: now + request.target,
            queue_deadline: request.deadline.min(now + request.queue_timeout),
            attempt: 1,
            may_have_run: false,
            failure: None,
            request,
        };
        let index = self.requests.queue_index(queued.request.rank);
        self.requests.queue.insert(index, queued);
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
        self.requests.count_rejection();
        self.requests.set_rejection_reason(reason);
        if !request.recorded {
            return;
        }
        let outcome = not_run(RequestFailureReason::RejectedBefore, retry_after_ms);
        self.ledger.record_outcome(
            now,
            &request.idempotency_key,
            request.once,
            request.deadline,
            outcome,
        );
    }

    /// Returns the number of requests rejected since the previous call and the reason of the last rejection, or `None`
    /// if there were none.
    pub fn take_rejections(&mut self) -> Option<(u32, RequestFailureReason)> {
        self.requests.take_rejections()
    }
}
