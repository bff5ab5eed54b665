//! What follows the end of a send: the outcome is recorded and returned, or the transaction is retried.

use super::{AdmissionRequest, Holder, HolderOutput, QueuedRequest, SendResult, not_run};
use common::clock::MonotonicTime;
use common::frames::{RequestFailureReason, RequestOutcome};
use common::identity::Ticket;
use common::invariants::{Invariant, require};
use common::rules::Rule;
use std::time::Duration;

impl Holder {
    /// A send to a runner has ended.
    pub fn handle_send_result(
        &mut self,
        now: MonotonicTime,
        ticket: Ticket,
        end: SendResult,
    ) -> Vec<HolderOutput> {
        self.sent_to_runner.remove(&ticket);
        let Some(in_flight) = self.in_flight.remove(&ticket) else {
            return Vec::new();
        };
        let is_resolved =
            !matches!(end, SendResult::Lost) || !self.rules.enforces(Rule::LostResponseKeepsSlot);
        if let Some(record) = self.runners.get_mut(&in_flight.runner) {
            let request = &in_flight.queued.request;
            record.release_slot(now, &request.idempotency_key, request.deadline, is_resolved);
        }
        match end {
            SendResult::Answered(outcome) => {
                let elapsed_time = now.since(in_flight.sent_at);
                self.service_time = (self.service_time * 9 + elapsed_time) / 10;
                if let Some(record) = self.runners.get_mut(&in_flight.runner) {
                    let slots = if self.rules.enforces(Rule::SlotLimitRespected) {
                        self.spec.slots
                    } else {
                        u32::MAX
                    };
                    record.widen_limit(slots);
                }
                self.end(now, in_flight.queued.request, outcome);
            }
            SendResult::RejectedByRunner => {
                if let Some(record) = self.runners.get_mut(&in_flight.runner) {
                    record.handle_rejection(now);
                }
                self.handle_rejection(now, in_flight.queued);
            }
            SendResult::WrongRunner => {
                self.replace_failed_runner(now, in_flight.runner);
                self.handle_misdirected(now, in_flight.queued);
            }
            SendResult::Forbidden(reason) => {
                self.fail_request(now, in_flight.queued, reason, Duration::from_millis(500));
            }
            SendResult::Failed(outcome) => self.handle_failure(now, in_flight.queued, outcome),
            SendResult::Unsent => {
                self.replace_failed_runner(now, in_flight.runner);
                self.requeue(now, in_flight.queued);
            }
            SendResult::Lost => self.handle_lost_answer(now, in_flight.queued),
        }
        self.dispatch(now);
        self.scale(now);
        self.finish_release(now);
        std::mem::take(&mut self.outputs)
    }

    /// A runner's own failure: a repeatable transaction may go to another runner, else it is passed on.
    fn handle_failure(
        &mut self,
        now: MonotonicTime,
        mut queued: QueuedRequest,
        outcome: RequestOutcome,
    ) {
        queued.may_have_run = true;
        if self.may_retry(now, &queued) {
            queued.failure = Some(outcome);
            self.repeat(now, queued);
        } else {
            self.end(now, queued.request, outcome);
        }
    }

    fn handle_lost_answer(&mut self, now: MonotonicTime, mut queued: QueuedRequest) {
        queued.may_have_run = true;
        if self.may_retry(now, &queued) {
            self.repeat(now, queued);
        } else {
            self.fail_request(
                now,
                queued,
                RequestFailureReason::ResponseLost,
                Duration::ZERO,
            );
        }
    }

    /// A runner refused it: it did not run there, yet it arrived, and counts as a try.
    fn handle_rejection(&mut self, now: MonotonicTime, queued: QueuedRequest) {
        if self.may_retry(now, &queued) {
            self.repeat(now, queued);
        } else {
            let start_at = self.expected_start(now, self.queue.len());
            let retry_after = start_at.since(now).max(Duration::from_millis(200));
            self.fail_request(
                now,
                queued,
                RequestFailureReason::RejectedByRunner,
                retry_after,
            );
        }
    }

    /// It came to another runner, which did not run it: the one that was meant never got it.
    fn handle_misdirected(&mut self, now: MonotonicTime, queued: QueuedRequest) {
        let has_time_left = now + self.service_time < queued.request.deadline;
        if has_time_left && !self.closed && self.has_retry_budget(now) {
            self.repeat(now, queued);
        } else {
            self.fail_request(
                now,
                queued,
                RequestFailureReason::NoRunnerAvailable,
                self.spec.startup,
            );
        }
    }

    /// Whether a repeatable transaction may go to one more runner. A repeat has had its tries elsewhere, or is
    /// still having them there, and goes to one runner only.
    fn may_retry(&mut self, now: MonotonicTime, queued: &QueuedRequest) -> bool {
        let has_time_left = now + self.service_time * 2 < queued.request.deadline;
        let is_last_attempt =
            queued.request.repeat && self.rules.enforces(Rule::RepeatSentToOneRunner);
        let has_attempts_left = queued.attempt < queued.request.max_attempts && !is_last_attempt;
        let may_run_again = !queued.request.once || !self.rules.enforces(Rule::OnceNotRetried);
        may_run_again
            && has_time_left
            && has_attempts_left
            && !self.closed
            && self.has_retry_budget(now)
    }

    fn repeat(&mut self, now: MonotonicTime, mut queued: QueuedRequest) {
        self.spend_retry(now);
        queued.attempt += 1;
        queued.queue_deadline = queued.request.deadline;
        self.queue.push_front(queued);
    }

    pub(super) fn has_retry_budget(&mut self, now: MonotonicTime) -> bool {
        !self.rules.enforces(Rule::RetryBudgetCounted) || self.retry_budget.has_retry_budget(now)
    }

    /// Takes an extra try out of the retry budget.
    pub(super) fn spend_retry(&mut self, now: MonotonicTime) {
        let is_within = self.retry_budget.has_retry_budget(now);
        require(
            self.rules,
            Invariant::RetryBudgetRespected,
            is_within,
            || format!("an extra try of {} beyond the budget", self.function),
        );
        self.retry_budget.spend(now);
    }

    pub(super) fn requeue(&mut self, now: MonotonicTime, queued: QueuedRequest) {
        if self.closed {
            self.fail_request(
                now,
                queued,
                RequestFailureReason::NotServing,
                Duration::from_millis(500),
            );
        } else {
            self.queue.push_front(queued);
        }
    }

    pub(super) fn end(
        &mut self,
        now: MonotonicTime,
        request: AdmissionRequest,
        outcome: RequestOutcome,
    ) {
        if matches!(outcome, RequestOutcome::NotRun { .. }) {
            self.rejected_count += 1;
            let is_at_runner = self.sent_to_runner.contains(&request.ticket);
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
        if request.recorded {
            let stored_outcome = match &outcome {
                RequestOutcome::NotRun { retry_after_ms, .. } => {
                    not_run(RequestFailureReason::RejectedBefore, *retry_after_ms)
                }
                other => other.clone(),
            };
            self.ledger.end(
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
}
