//! Admission of transactions: what is known is answered, what would be late is refused, the rest waits.

use super::{Entry, Holder, HolderOutput, Waiting, not_run};
use common::clock::Moment;
use common::frames::{HopOutcome, HopReason};
use common::identity::TransactionId;
use common::rules::Rule;

impl Holder {
    /// Takes a transaction in; an outcome at once, or none while it waits.
    pub fn grant_entry(
        &mut self,
        now: Moment,
        entry: Entry,
    ) -> (Option<HopOutcome>, Vec<HolderOutput>) {
        if self.is_leaving() {
            return (Some(not_run(HopReason::NotHolder, 50)), Vec::new());
        }
        self.last_called_at = now;
        self.resting = false;
        self.demand.called(now);
        let shortest_target = self.shortest_target.unwrap_or(entry.target);
        self.shortest_target = Some(shortest_target.min(entry.target));
        self.regional.called(now, entry.region.as_ref(), entry.noted);
        self.tries.first_or_repeat(now, entry.repeat);
        if entry.noted
            && let Some(known_outcome) = self.known_outcome(&entry.transaction)
        {
            return (Some(known_outcome), Vec::new());
        }
        if self.is_unready_regional() {
            self.scale(now);
            let outcome = not_run(HopReason::NoRunner, 100);
            return (Some(outcome), std::mem::take(&mut self.outputs));
        }
        if let Some((reason, retry_span)) = self.reason_to_shed(now, &entry) {
            let retry_ms = retry_span.as_millis().max(100) as u32;
            self.note_shed(now, &entry, reason, retry_ms);
            let outcome = not_run(reason, retry_ms);
            self.scale(now);
            return (Some(outcome), std::mem::take(&mut self.outputs));
        }
        if entry.repeat {
            self.spend_try(now);
        }
        if entry.noted {
            self.book.begin(entry.transaction.clone(), entry.once, entry.budget_end);
        }
        let give_up_at = entry.budget_end.min(now + entry.patience);
        let target_end = now + entry.target;
        let place = self.inbox_place(entry.rank);
        self.inbox.insert(
            place,
            Waiting {
                entry,
                target_end,
                give_up_at,
                attempt: 1,
                may_have_run: false,
                failure: None,
            },
        );
        self.dispatch(now);
        self.scale(now);
        (None, std::mem::take(&mut self.outputs))
    }

    fn known_outcome(&self, transaction: &TransactionId) -> Option<HopOutcome> {
        self.book.known(transaction).filter(|_| self.rules.keep(Rule::IdentityKnown))
    }

    fn note_shed(&mut self, now: Moment, entry: &Entry, reason: HopReason, retry_ms: u32) {
        self.shed_count += 1;
        self.shed_reason = reason;
        if !entry.noted {
            return;
        }
        let outcome = not_run(HopReason::ShedBefore, retry_ms);
        self.book.end(now, &entry.transaction, entry.once, entry.budget_end, outcome);
    }

    /// How many transactions were refused since last asked.
    pub fn take_sheds(&mut self) -> Option<(u32, HopReason)> {
        let shed_count = std::mem::take(&mut self.shed_count);
        (shed_count > 0).then_some((shed_count, self.shed_reason))
    }
}
