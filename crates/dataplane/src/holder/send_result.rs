//! Handles the result of a send: records and returns the outcome, or retries the request.

use super::{AdmissionRequest, Holder, HolderOutput, InFlight, QueuedRequest, SendResult, not_run};
use common::clock::MonotonicTime;
use common::frames::{RequestFailureReason, RequestOutcome};
use common::identity::Ticket;
use common::invariants::{Invariant, require};
use common::rules::Rule;
use std::time::Duration;

/// Delay after which the caller of a request that this holder may no longer send may retry.
const FORBIDDEN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Minimum delay after which the caller of a request that a runner rejected may retry.
const MIN_REJECTED_RETRY_AFTER: Duration = Duration::from_millis(200);

impl Holder {
    /// Handles the result of a send to a runner.
    pub fn handle_send_result(
        &mut self,
        now: MonotonicTime,
        ticket: Ticket,
        result: SendResult,
    ) -> Vec<HolderOutput> {
        self.requests.sent_to_runner.remove(&ticket);
        let Some(in_flight) = self.requests.in_flight.remove(&ticket) else {
            return Vec::new();
        };
        self.release_runner_slot(now, &in_flight, &result);
        match result {
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
            SendResult::Aborted => self.handle_aborted(now, in_flight.queued),
        }
        self.dispatch(now);
        self.scale(now);
        self.finish_release(now);
        self.take_outputs()
    }

    fn release_runner_slot(
        &mut self,
        now: MonotonicTime,
        in_flight: &InFlight,
        result: &SendResult,
    ) {
        let is_resolved = !matches!(result, SendResult::Lost | SendResult::Aborted)
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
            record.raise_limit(slots);
        }
        self.end_request(now, in_flight.queued.request, outcome);
    }

    /// Handles a failure of the function on its runner: retries a repeatable request if possible, and otherwise returns
    /// the failure as the outcome.
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
            self.end_request(now, queued.request, outcome);
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

    /// Handles an aborted send. No caller waits for the outcome any more, so the request is not retried.
    fn handle_aborted(&mut self, now: MonotonicTime, mut queued: QueuedRequest) {
        queued.may_have_run = true;
        self.fail_request(
            now,
            queued,
            RequestFailureReason::ResponseLost,
            Duration::ZERO,
        );
    }

    /// Handles a rejection by the runner: the request did not run, but it was delivered and counts as an attempt.
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

    /// Handles a request that was answered by a runner other than the intended one and ran on neither.
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

    /// Whether a repeatable request may be sent to one more runner. A caller's own retry is sent to one runner only,
    /// since earlier attempts were made elsewhere or may still be in progress there.
    fn may_retry(&mut self, now: MonotonicTime, queued: &QueuedRequest) -> bool {
        let has_time_left = now + self.requests.service_time * 2 < queued.request.deadline;
        let is_last_attempt =
            queued.request.is_retry && self.rules.enforces(Rule::RepeatSentToOneRunner);
        let has_attempts_left = queued.attempt < queued.request.max_attempts && !is_last_attempt;
        let may_run_again = !queued.request.once || !self.rules.enforces(Rule::OnceNotRetried);
        may_run_again
            && has_time_left
            && has_attempts_left
            && !self.lifecycle.is_closed()
            && self.has_retry_budget(now)
    }

    /// Puts a request at the front of the queue for one more attempt.
    fn retry(&mut self, now: MonotonicTime, mut queued: QueuedRequest) {
        self.spend_retry(now);
        queued.attempt += 1;
        queued.queue_deadline = queued.request.deadline;
        self.requests.queue.push_front(queued);
    }

    pub(super) fn has_retry_budget(&mut self, now: MonotonicTime) -> bool {
        !self.rules.enforces(Rule::RetryBudgetCounted) || self.retry_budget.has_retry_budget(now)
    }

    /// Counts one retry against the retry budget.
    pub(super) fn spend_retry(&mut self, now: MonotonicTime) {
        let is_within = self.retry_budget.has_retry_budget(now);
        require(
            self.rules,
            Invariant::RetryBudgetRespected,
            is_within,
            || {
                format!(
                    "extra try of {} exceeds the retry budget",
                    self.lease.function
                )
            },
        );
        self.retry_budget.spend(now);
    }

    /// Puts a request that was not sent back at the front of the queue. This does not count as an attempt.
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
    pub(super) fn end_request(
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
                    "{} is rejected although it was sent to a runner",
                    request.idempotency_key
                )
            },
        );
    }
}
