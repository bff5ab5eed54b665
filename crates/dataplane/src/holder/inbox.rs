//! The inbox of a holder: how long it may grow, who goes first, who is refused, what is sent next.

use super::runners::Phase;
use super::{Entry, Holder, HolderOutput, Sent, Waiting, not_run};
use common::clock::Moment;
use common::frames::{HopOutcome, HopReason, Place};
use common::identity::{RunnerId, Ticket};
use common::invariants::{Invariant, require};
use common::rules::Rule;
use std::time::Duration;

const SMALLEST_INBOX: usize = 32;
/// The inbox takes what all the runners that a function may have would run in so many turns. It bounds the memory
/// only: what would not be sent in time is refused by the time that it would have to wait.
const INBOX_TURNS: usize = 16;

impl Holder {
    fn ready_limit(&self, now: Moment) -> u32 {
        let ready_runners = self.runners.values().filter(|record| record.phase == Phase::Ready);
        ready_runners.fold(0, |all, record| all.saturating_add(record.limit_at(now)))
    }

    fn ready_soon(&self, now: Moment) -> u32 {
        let ready_runners = self.runners.values().filter(|record| record.phase == Phase::Ready);
        ready_runners.map(|record| record.limit_soon(now).min(self.spec.slots.max(1))).sum()
    }

    fn inbox_bound(&self) -> usize {
        let most_slots = self.spec.slots as usize * self.spec.max_runners as usize;
        SMALLEST_INBOX.max(most_slots * INBOX_TURNS)
    }

    /// When a transaction behind so many others would be sent to a runner, by what runs and boots.
    pub(super) fn expected_start(&self, now: Moment, before_count: usize) -> Moment {
        let service = self.service.as_secs_f64().max(0.001);
        let mut sources: Vec<(f64, f64)> = self
            .runners
            .values()
            .filter(|record| matches!(record.phase, Phase::Starting | Phase::Booting))
            .map(|record| {
                let ready_in = (record.started_at + self.spec.boot).since(now).as_secs_f64();
                (ready_in, f64::from(self.spec.slots.max(1)))
            })
            .collect();
        let ready_limit = f64::from(self.ready_limit(now).max(self.ready_soon(now)));
        let busy_count = self.sent.len() as f64;
        if ready_limit > 0.0 {
            let free_in = if busy_count < ready_limit { 0.0 } else { service / 2.0 };
            sources.push((free_in, ready_limit));
        } else if sources.is_empty() {
            sources.push((self.spec.boot.as_secs_f64(), f64::from(self.spec.slots.max(1))));
        }
        sources.sort_by(|one, other| one.0.total_cmp(&other.0));
        let turns = before_count as f64;
        let mut able = 0.0;
        let mut passed = sources[0].0;
        let mut slots = 0.0;
        for (ready_in, ready_slots) in sources {
            let until_then = able + (ready_in - passed) * slots / service;
            if slots > 0.0 && until_then >= turns - slots {
                break;
            }
            able = until_then;
            passed = ready_in;
            slots += ready_slots;
        }
        let left = (turns - slots + 1.0 - able).max(0.0);
        now + Duration::from_secs_f64(passed + left * service / slots.max(1.0))
    }

    /// Where one of a rank goes: behind those of its own rank and of lower ones.
    pub(super) fn inbox_place(&self, rank: u8) -> usize {
        self.inbox.partition_point(|waiting| waiting.entry.rank <= rank)
    }

    /// Which one goes next: of the first rank that may be sent, the oldest whose target can still be met,
    /// else the oldest.
    fn next_place(&self, now: Moment) -> Option<usize> {
        let may_go =
            |waiting: &Waiting| !waiting.entry.is_noted_once() || self.replication.is_able();
        let first_place = self.inbox.iter().position(may_go)?;
        let rank = self.inbox[first_place].entry.rank;
        let of_rank = self.inbox.iter().enumerate().skip(first_place);
        let timely = of_rank
            .take_while(|(_, waiting)| waiting.entry.rank == rank)
            .find(|(_, waiting)| may_go(waiting) && now + self.service <= waiting.target_end);
        Some(timely.map_or(first_place, |(place, _)| place))
    }

    /// When a transaction that waits is to be given up, if none goes to a runner before.
    pub(super) fn inbox_due(&self) -> Option<Moment> {
        let half_service = self.service / 2;
        self.inbox
            .iter()
            .map(|waiting| waiting.give_up_at.min(waiting.entry.budget_end - half_service))
            .min()
    }

    pub(super) fn reason_to_shed(
        &mut self,
        now: Moment,
        entry: &Entry,
    ) -> Option<(HopReason, Duration)> {
        if entry.is_noted_once() && !self.replication.is_collecting() && now < self.once_from {
            return Some((HopReason::OnceWait, self.once_from.since(now)));
        }
        if entry.repeat && !self.may_spend(now) {
            return Some((HopReason::TriesSpent, Duration::from_secs(2)));
        }
        if self.inbox.len() >= self.inbox_bound() {
            return Some((HopReason::InboxFull, Duration::from_secs(1)));
        }
        let start_at = self.expected_start(now, self.inbox_place(entry.rank));
        let patience_end = now + entry.patience;
        if start_at + self.service > entry.budget_end || start_at > patience_end {
            let wait_span = start_at.since(now) + Duration::from_millis(100);
            return Some((HopReason::BudgetTooShort, wait_span));
        }
        None
    }

    pub(super) fn give_up(
        &mut self,
        now: Moment,
        waiting: Waiting,
        reason: HopReason,
        retry_span: Duration,
    ) {
        let outcome = match waiting.failure {
            Some(failure) => failure,
            None if waiting.may_have_run => HopOutcome::Unknown { reason: HopReason::AnswerLost },
            None => {
                self.shed_reason = reason;
                not_run(reason, retry_span.as_millis().max(100) as u32)
            }
        };
        self.end(now, waiting.entry, outcome);
    }

    /// Refuses at once what can no longer be finished; it leaves the inbox before it is refused.
    pub(super) fn shed_late(&mut self, now: Moment) {
        let mut kept_waiting = std::collections::VecDeque::new();
        for waiting in std::mem::take(&mut self.inbox) {
            let start_at = self.expected_start(now, kept_waiting.len());
            let is_late = now >= waiting.give_up_at
                || now + self.service / 2 > waiting.entry.budget_end
                || (self.ready_limit(now) == 0 && start_at > waiting.give_up_at);
            if is_late {
                let has_runner = !self.runners.is_empty();
                let reason =
                    if has_runner { HopReason::BudgetTooShort } else { HopReason::NoRunner };
                let retry_span = start_at.since(now) + Duration::from_millis(100);
                self.give_up(now, waiting, reason, retry_span);
            } else {
                kept_waiting.push_back(waiting);
            }
        }
        self.inbox = kept_waiting;
        if !self.rules.keep(Rule::RefusedIsGone) {
            self.refuse_sent(now);
        }
    }

    /// What must never be: a refusal of what a runner was given.
    fn refuse_sent(&mut self, now: Moment) {
        let late_tickets: Vec<Ticket> = self
            .sent
            .iter()
            .filter(|(_, sent)| now.since(sent.sent_at) > self.service)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in late_tickets {
            if let Some(sent) = self.sent.remove(&ticket) {
                self.give_up(now, sent.waiting, HopReason::BudgetTooShort, Duration::ZERO);
            }
        }
    }

    /// Sends what waits to runners with a free slot.
    pub(super) fn dispatch(&mut self, now: Moment) {
        while !self.closed {
            let Some(waiting_place) = self.next_place(now) else { return };
            let Some(runner) = self.free_runner(now) else { return };
            let Some(waiting) = self.inbox.remove(waiting_place) else { return };
            let is_once = waiting.entry.is_noted_once();
            let Some(record) = self.runners.get_mut(&runner) else { return };
            let Some(place) = record.place() else { return };
            record.begin_send(now, waiting.entry.transaction.clone());
            let (busy_count, slots) = (record.busy_count(), self.most_slots.max(1) as usize);
            require(self.rules, Invariant::SlotsRespected, busy_count <= slots, || {
                format!("{busy_count} at once on {runner} of {slots} slots")
            });
            let ticket = waiting.entry.ticket;
            let attempt = waiting.attempt;
            let may_go = !(waiting.entry.once && waiting.may_have_run);
            require(self.rules, Invariant::OnceSentOnce, may_go, || {
                format!("{} is sent again to {runner}", waiting.entry.transaction)
            });
            self.sent.insert(ticket, Sent { waiting, runner, sent_at: now });
            if !is_once || !self.note_first(now, ticket) {
                self.order_send(ticket, runner, place, attempt);
            }
        }
    }

    pub(super) fn order_send(
        &mut self,
        ticket: Ticket,
        runner: RunnerId,
        place: Place,
        attempt: u32,
    ) {
        self.on_runners.insert(ticket);
        self.outputs.push(HolderOutput::Send { ticket, runner, place, attempt });
    }

    fn free_runner(&self, now: Moment) -> Option<RunnerId> {
        self.runners
            .iter()
            .filter(|(_, record)| record.has_free_slot(now))
            .min_by_key(|(_, record)| record.busy_count())
            .map(|(runner, _)| *runner)
    }
}
