//! What follows a send: the outcome is recorded and returned, or the request is retried.

use super::{AdmissionRequest, Holder, HolderOutput, InFlight, QueuedRequest, SendResult, not_run};
use common::clock::MonotonicTime;
use common::frames::{RequestFailureReason, RequestOutcome};
use common::identity::Ticket;
use common::invariants::{Invariant, require};
use common::rules::Rule;
use std::time::Duration;

/// When the caller of a request that may no longer be sent from here may retry.
const FORBIDDEN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The shortest time after which the caller of a request that a runner rejected may retry.
const MIN_REJECTED_RETRY_AFTER: Duration = Duration::from_millis(200);

impl Holder {
    /// A send to a runner has ended.
    pub fn handle_send_result(
        &mut self,
        now: MonotonicTime,
        ticket: Ticket,
        end: SendResult,
    ) -> Vec<HolderOutput> {
        self.requests.sent_to_runner.remove(&ticket);
        let Some(in_flight) = self.requests.in_flight.remove(&ticket) else {
            return Vec::new();
        };
        self.release_runner_slot(now, &in_flight, &end);
        match end {
            SendResult::Answered(outcome) => self.handle_response(now, in_flight, outcome),
            SendResult::RejectedByRunner => {
                if let Some(record) = self.runners.get_mut(in_flight.runner) {
                    record.handle_rejection(now);
                }
                self.handle_rejection(now, in_flight.queued);
            }
            SendResult::WrongRunner => {
                self.replace_failed_runner(now, in_flight.runner);
                self.handle_misdirected(now, in_flight.queued);
            }
            SendResult::Forbidden(reason) => {
                self.fail_request(now, in_flight.queued, reason, FORBIDDEN_RETRY_AFTER);
            }
            SendResult::Failed(outcome) => self.handle_failure(now, in_flight.queued, outcome),
            SendResult::Unsent => {
                self.replace_failed_runner(now, in_flight.runner);
                self.requeue(now, in_flight.queued);
            }
            SendResult::Lost => self.handle_lost_response(now, in_flight.queued),
            SendResult::Aborted => self.handle_broken_off(now, in_flight.queued),
        }
        self.dispatch(now);
        self.scale(now);
        self.finish_release(now);
        self.take_outputs()
    }

    fn release_runner_slot(&mut self, now: MonotonicTime, in_flight: &InFlight, end: &SendResult) {
        let is_resolved = !matches!(end, SendResult::Lost | SendResult::Aborted)
            || !self.rules.enforces(Rule::LostResponseKeepsSlot);
        if let Some(record) = self.runners.get_mut(in_flight.runner) {
            record.release_slot(now, &in_flight.queued.request, is_resolved);
        }
    }

    fn handle_response(
        &mut self,
        now: MonotonicTime,
        in_flight: InFlight,
        outcome: RequestOutcome,
    ) {
        self.requests
            .record_service_time(now.since(in_flight.sent_at));
        let slots = self.slots_per_runner();
        if let Some(record) = self.runners.get_mut(in_flight.runner) {
            record.widen_limit(slots);
        }
        self.end(now, in_flight.queued.request, outcome);
    }

    /// The function failed on its runner: a repeatable request may go to another runner, else the failure is its
    /// outcome.
    fn handle_failure(
        &mut self,
        now: MonotonicTime,
        mut queued: QueuedRequest,
        outcome: RequestOutcome,
    ) {
        queued.may_have_run = true;
        if self.may_retry(now, &queued) {
            queued.failure = Some(outcome);
            self.retry(now, queued);
        } else {
            self.end(now, queued.request, outcome);
        }
    }

    fn handle_lost_response(&mut self, now: MonotonicTime, mut queued: QueuedRequest) {
        queued.may_have_run = true;
        if self.may_retry(now, &queued) {
            self.retry(now, queued);
        } else {
            self.fail_request(
                now,
                queued,
                RequestFailureReason::ResponseLost,
                Duration::ZERO,
            );
        }
    }

    /// Nobody waits for the request any more, so it is not retried.
    fn handle_broken_off(&mut self, now: MonotonicTime, mut queued: QueuedRequest) {
        queued.may_have_run = true;
        self.fail_request(
            now,
            queued,
            RequestFailureReason::ResponseLost,
            Duration::ZERO,
        );
    }

    /// A runner rejected the request: it did not run there, yet it arrived, and counts as an attempt.
    fn handle_rejection(&mut self, now: MonotonicTime, queued: QueuedRequest) {
        if self.may_retry(now, &queued) {
            self.retry(now, queued);
        } else {
            let start_at = self.expected_start(now, self.requests.queue.len());
            let retry_after = start_at.since(now).max(MIN_REJECTED_RETRY_AFTER);
            self.fail_request(
                now,
                queued,
                RequestFailureReason::RejectedByRunner,
                retry_after,
            );
        }
    }

    /// Another runner answered at the address and did not run the request; the intended runner never got it.
    fn handle_misdirected(&mut self, now: MonotonicTime, queued: QueuedRequest) {
        let has_time_left = now + self.requests.service_time < queued.request.deadline;
        if has_time_left && !self.lifecycle.is_closed() && self.has_retry_budget(now) {
            self.retry(now, queued);
        } else {
            self.fail_request(
                now,
                queued,
                RequestFailureReason::NoRunnerAvailable,
                self.spec.startup,
            );
        }
    }

    /// Whether a repeatable request may go to one more runner. A caller's retry goes to one runner only: its other
    /// attempts were made elsewhere, or are still under way there.
    fn may_retry(&mut self, now: MonotonicTime, queued: &QueuedRequest) -> bool {
        let has_time_left = now + self.requests.service_time * 2 < queued.request.deadline;
        let is_last_attempt =
            queued.request.repeat && self.rules.enforces(Rule::RepeatSentToOneRunner);
        let has_attempts_left = queued.attempt < queued.request.max_attempts && !is_last_attempt;
        let may_run_again = !queued.request.once || !self.rules.enforces(Rule::OnceNotRetried);
        may_run_again
            && has_time_left
            && has_attempts_left
            && !self.lifecycle.is_closed()
            && self.has_retry_budget(now)
    }

    /// Queues a request for one more attempt, ahead of all others.
    fn retry(&mut self, now: MonotonicTime, mut queued: QueuedRequest) {
        self.spend_retry(now);
        queued.attempt += 1;
        queued.queue_deadline = queued.request.deadline;
        self.requests.queue.push_front(queued);
    }

    pub(super) fn has_retry_budget(&mut self, now: MonotonicTime) -> bool {
        !self.rules.enforces(Rule::RetryBudgetCounted) || self.retry_budget.has_retry_budget(now)
    }

    /// Takes one retry out of the retry budget.
    pub(super) fn spend_retry(&mut self, now: MonotonicTime) {
        let is_within = self.retry_budget.has_retry_budget(now);
        require(
            self.rules,
            Invariant::RetryBudgetRespected,
            is_within,
            || format!("an extra try of {} beyond the budget", self.lease.function),
        );
        self.retry_budget.spend(now);
    }

    /// Puts a request that was not sent back to the head of the queue; that is not an attempt.
    pub(super) fn requeue(&mut self, now: MonotonicTime, queued: QueuedRequest) {
        if self.lifecycle.is_closed() {
            self.fail_request(
                now,
                queued,
                RequestFailureReason::NotServing,
                FORBIDDEN_RETRY_AFTER,
            );
        } else {
            self.requests.queue.push_front(queued);
        }
    }

    /// Records a request's outcome and returns it to the caller.
    pub(super) fn end(
        &mut self,
        now: MonotonicTime,
        request: AdmissionRequest,
        outcome: RequestOutcome,
    ) {
        if matches!(outcome, RequestOutcome::NotRun { .. }) {
            self.requests.count_rejection();
            self.check_not_sent(&request);
        }
        if request.recorded {
            let stored_outcome = match &outcome {
                RequestOutcome::NotRun { retry_after_ms, .. } => {
                    not_run(RequestFailureReason::RejectedBefore, *retry_after_ms)
                }
                other => other.clone(),
            };
            self.ledger.record_outcome(
                now,
                &request.idempotency_key,
                request.once,
                request.deadline,
                stored_outcome,
            );
        }
        self.outputs.push(HolderOutput::End {
            ticket: request.ticket,
            outcome,
        });
    }

    fn check_not_sent(&self, request: &AdmissionRequest) {
        let is_at_runner = self.requests.sent_to_runner.contains(&request.ticket);
        require(
            self.rules,
            Invariant::RejectedNotSent,
            !is_at_runner,
            || {
                format!(
                    "{} is refused while a runner has it",
                    request.idempotency_key
                )
            },
        );
    }
}
