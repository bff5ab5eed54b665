//! What follows the end of a send: the outcome is recorded and returned, or the transaction is retried.

use super::{Entry, Holder, HolderOutput, SendEnd, Waiting, not_run};
use common::clock::Moment;
use common::frames::{HopOutcome, HopReason};
use common::identity::Ticket;
use common::invariants::{Invariant, require};
use common::rules::Rule;
use std::time::Duration;

impl Holder {
    /// A send to a runner has ended.
    pub fn sent_ended(&mut self, now: Moment, ticket: Ticket, end: SendEnd) -> Vec<HolderOutput> {
        self.on_runners.remove(&ticket);
        let Some(sent) = self.sent.remove(&ticket) else { return Vec::new() };
        let is_settled = !matches!(end, SendEnd::Lost) || !self.rules.keep(Rule::LostKeepsSlot);
        if let Some(record) = self.runners.get_mut(&sent.runner) {
            let entry = &sent.waiting.entry;
            record.send_ended(now, &entry.transaction, entry.budget_end, is_settled);
        }
        match end {
            SendEnd::Answered(outcome) => {
                let taken_span = now.since(sent.sent_at);
                self.service = (self.service * 9 + taken_span) / 10;
                if let Some(record) = self.runners.get_mut(&sent.runner) {
                    let slots =
                        if self.rules.keep(Rule::SlotsKept) { self.spec.slots } else { u32::MAX };
                    record.answered(slots);
                }
                self.end(now, sent.waiting.entry, outcome);
            }
            SendEnd::ShedByRunner => {
                if let Some(record) = self.runners.get_mut(&sent.runner) {
                    record.refused(now);
                }
                self.refused(now, sent.waiting);
            }
            SendEnd::OtherRunner => {
                self.runner_failed(now, sent.runner);
                self.never_reached(now, sent.waiting);
            }
            SendEnd::Barred(reason) => {
                self.give_up(now, sent.waiting, reason, Duration::from_millis(500));
            }
            SendEnd::Failed(outcome) => self.failed(now, sent.waiting, outcome),
            SendEnd::Unsent => {
                self.runner_failed(now, sent.runner);
                self.put_back(now, sent.waiting);
            }
            SendEnd::Lost => self.lost(now, sent.waiting),
        }
        self.dispatch(now);
        self.scale(now);
        self.finish_leaving(now);
        std::mem::take(&mut self.outputs)
    }

    /// A runner's own failure: a repeatable transaction may go to another runner, else it is passed on.
    fn failed(&mut self, now: Moment, mut waiting: Waiting, outcome: HopOutcome) {
        waiting.may_have_run = true;
        if self.may_repeat(now, &waiting) {
            waiting.failure = Some(outcome);
            self.repeat(now, waiting);
        } else {
            self.end(now, waiting.entry, outcome);
        }
    }

    fn lost(&mut self, now: Moment, mut waiting: Waiting) {
        waiting.may_have_run = true;
        if self.may_repeat(now, &waiting) {
            self.repeat(now, waiting);
        } else {
            self.give_up(now, waiting, HopReason::AnswerLost, Duration::ZERO);
        }
    }

    /// A runner refused it: it did not run there, yet it arrived, and counts as a try.
    fn refused(&mut self, now: Moment, waiting: Waiting) {
        if self.may_repeat(now, &waiting) {
            self.repeat(now, waiting);
        } else {
            let start_at = self.expected_start(now, self.inbox.len());
            let retry_span = start_at.since(now).max(Duration::from_millis(200));
            self.give_up(now, waiting, HopReason::RunnerShed, retry_span);
        }
    }

    /// It came to another runner, which did not run it: the one that was meant never got it.
    fn never_reached(&mut self, now: Moment, waiting: Waiting) {
        let has_time = now + self.service < waiting.entry.budget_end;
        if has_time && !self.closed && self.may_spend(now) {
            self.repeat(now, waiting);
        } else {
            self.give_up(now, waiting, HopReason::NoRunner, self.spec.boot);
        }
    }

    /// Whether a repeatable transaction may go to one more runner. A repeat has had its tries elsewhere, or is
    /// still having them there, and goes to one runner only.
    fn may_repeat(&mut self, now: Moment, waiting: &Waiting) -> bool {
        let has_time = now + self.service * 2 < waiting.entry.budget_end;
        let is_spent = waiting.entry.repeat && self.rules.keep(Rule::RepeatSentOnce);
        let has_tries = waiting.attempt < waiting.entry.tries && !is_spent;
        let may_run_again = !waiting.entry.once || !self.rules.keep(Rule::OnceNotRepeated);
        may_run_again && has_time && has_tries && !self.closed && self.may_spend(now)
    }

    fn repeat(&mut self, now: Moment, mut waiting: Waiting) {
        self.spend_try(now);
        waiting.attempt += 1;
        waiting.give_up_at = waiting.entry.budget_end;
        self.inbox.push_front(waiting);
    }

    pub(super) fn may_spend(&mut self, now: Moment) -> bool {
        !self.rules.keep(Rule::TriesCounted) || self.tries.may_spend(now)
    }

    /// Takes an extra try out of the retry budget.
    pub(super) fn spend_try(&mut self, now: Moment) {
        let is_within = self.tries.may_spend(now);
        require(self.rules, Invariant::RetryBudgetKept, is_within, || {
            format!("an extra try of {} beyond the budget", self.function)
        });
        self.tries.spend(now);
    }

    pub(super) fn put_back(&mut self, now: Moment, waiting: Waiting) {
        if self.closed {
            self.give_up(now, waiting, HopReason::NotServing, Duration::from_millis(500));
        } else {
            self.inbox.push_front(waiting);
        }
    }

    pub(super) fn end(&mut self, now: Moment, entry: Entry, outcome: HopOutcome) {
        if matches!(outcome, HopOutcome::NotRun { .. }) {
            self.shed_count += 1;
            let is_with_runner = self.on_runners.contains(&entry.ticket);
            require(self.rules, Invariant::RefusedNotSent, !is_with_runner, || {
                format!("{} is refused while a runner has it", entry.transaction)
            });
        }
        if entry.noted {
            let kept_outcome = match &outcome {
                HopOutcome::NotRun { retry_ms, .. } => not_run(HopReason::ShedBefore, *retry_ms),
                other => other.clone(),
            };
            self.book.end(now, &entry.transaction, entry.once, entry.budget_end, kept_outcome);
        }
        self.outputs.push(HolderOutput::End { ticket: entry.ticket, outcome });
    }
}
