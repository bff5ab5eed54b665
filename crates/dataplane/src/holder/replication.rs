//! The copy of the ledger that another daemon, the steward, keeps; and the ledger of an earlier holder.

use super::runners::RunnerRecord;
use super::{Holder, HolderMessage, HolderOutput};
use common::clock::Moment;
use common::frames::{HopOutcome, HopReason, Host, LedgerNote, Prior};
use common::identity::Ticket;
use std::collections::BTreeMap;
use std::time::Duration;

const COMPARE_EVERY: Duration = Duration::from_secs(1);
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(500);

struct Round {
    steward: Host,
    tickets: Vec<Ticket>,
    is_copy: bool,
}

/// Who keeps the copy of a holder's ledger, and how far it is.
pub struct Replication {
    pub(super) steward: Option<Host>,
    pub(super) whole: bool,
    prior: Option<Prior>,
    collecting: bool,
    asking_since: Option<Moment>,
    is_copying: bool,
    rounds: BTreeMap<u64, Round>,
    next_round: u64,
    compare_at: Moment,
}

impl Replication {
    /// The replication as the leader granted it; whole at once when there is nothing to be copied.
    pub fn new(now: Moment, steward: Option<Host>, prior: Option<Prior>, whole: bool) -> Self {
        Self {
            steward,
            whole,
            collecting: prior.is_some(),
            prior,
            asking_since: None,
            is_copying: false,
            rounds: BTreeMap::new(),
            next_round: 1,
            compare_at: now + COMPARE_EVERY,
        }
    }

    /// Forgets that an earlier ledger was to be collected.
    pub(super) fn skip_collecting(&mut self) {
        self.collecting = false;
        self.prior = None;
    }

    /// Whether an earlier holder's ledger is being collected.
    pub fn is_collecting(&self) -> bool {
        self.collecting
    }

    /// Whether a once-transaction can be noted now, or needs not be.
    pub fn is_able(&self) -> bool {
        !self.collecting && self.asking_since.is_none()
    }

    fn open_round(&mut self, steward: Host, tickets: Vec<Ticket>, is_copy: bool) -> u64 {
        let round = self.next_round;
        self.next_round += 1;
        self.rounds.insert(round, Round { steward, tickets, is_copy });
        round
    }
}

impl Holder {
    /// What is due as soon as the function is granted.
    pub fn begin(&mut self, now: Moment) -> Vec<HolderOutput> {
        if let Some(prior) = self.replication.prior.clone() {
            self.outputs.push(HolderOutput::Collect { prior });
        }
        self.scale(now);
        std::mem::take(&mut self.outputs)
    }

    /// Notes a once-transaction with the steward; without one it may be sent at once.
    pub(super) fn note_first(&mut self, now: Moment, ticket: Ticket) -> bool {
        let Some(steward) = self.replication.steward.clone() else { return false };
        let Some(sent) = self.sent.get(&ticket) else { return false };
        let Some(note) = self.book.line(now, &sent.waiting.entry.transaction) else { return false };
        let round = self.replication.open_round(steward.clone(), vec![ticket], false);
        self.outputs.push(HolderOutput::Note { round, steward, notes: vec![note] });
        true
    }

    /// The steward has noted a round, or has not.
    pub fn noted(&mut self, now: Moment, round: u64, is_kept: bool) -> Vec<HolderOutput> {
        let Some(ended) = self.replication.rounds.remove(&round) else { return Vec::new() };
        let is_present = self.replication.steward.as_ref() == Some(&ended.steward);
        if ended.is_copy {
            self.replication.is_copying = false;
        }
        if is_kept && is_present {
            if ended.is_copy {
                self.say_whole(&ended.steward);
            }
            for ticket in ended.tickets {
                self.send_noted(now, ticket);
            }
        } else {
            if is_present && self.replication.asking_since.is_none() {
                self.replication.asking_since = Some(now);
                self.replication.whole = false;
                let lost = ended.steward.member.clone();
                self.outputs.push(HolderOutput::Tell(HolderMessage::StewardLost { lost }));
            }
            for ticket in ended.tickets {
                self.take_back(now, ticket);
            }
        }
        self.dispatch(now);
        self.finish_leaving(now);
        std::mem::take(&mut self.outputs)
    }

    fn say_whole(&mut self, steward: &Host) {
        self.replication.whole = true;
        self.outputs.push(HolderOutput::Tell(HolderMessage::StewardWhole {
            steward: steward.member.clone(),
        }));
    }

    fn send_noted(&mut self, now: Moment, ticket: Ticket) {
        let Some(sent) = self.sent.get(&ticket) else { return };
        let (runner, attempt) = (sent.runner, sent.waiting.attempt);
        let place = self.runners.get(&runner).and_then(RunnerRecord::place);
        match place.filter(|_| !self.closed) {
            Some(place) => {
                self.order_send(ticket, runner, place, attempt);
            }
            None => self.take_back(now, ticket),
        }
    }

    fn take_back(&mut self, now: Moment, ticket: Ticket) {
        let Some(sent) = self.sent.remove(&ticket) else { return };
        if let Some(record) = self.runners.get_mut(&sent.runner) {
            let entry = &sent.waiting.entry;
            record.send_ended(now, &entry.transaction, entry.budget_end, true);
        }
        self.put_back(now, sent.waiting);
    }

    /// An earlier holder's ledger has been collected, or could not be.
    pub fn collected(&mut self, now: Moment, notes: Option<Vec<LedgerNote>>) -> Vec<HolderOutput> {
        if !std::mem::take(&mut self.replication.collecting) {
            return Vec::new();
        }
        if let Some(notes) = notes {
            self.once_from = now;
            self.settle_known(now, &notes);
            for note in &notes {
                self.book.inherit(now, note);
            }
        } else {
            self.refuse_waiting_once(now);
        }
        self.dispatch(now);
        std::mem::take(&mut self.outputs)
    }

    /// Those that wait here and ran, or may have run, at the earlier holder must not run again.
    fn settle_known(&mut self, now: Moment, notes: &[LedgerNote]) {
        let is_known = |name: &common::identity::TransactionId| {
            notes.iter().any(|note| note.transaction == *name)
        };
        let all_waiting = std::mem::take(&mut self.inbox);
        for waiting in all_waiting {
            if waiting.entry.is_noted_once() && is_known(&waiting.entry.transaction) {
                let outcome = HopOutcome::Unknown { reason: HopReason::RanBefore };
                self.end(now, waiting.entry, outcome);
            } else {
                self.inbox.push_back(waiting);
            }
        }
    }

    fn refuse_waiting_once(&mut self, now: Moment) {
        let retry_span = self.once_from.since(now);
        if retry_span.is_zero() {
            return;
        }
        let all_waiting = std::mem::take(&mut self.inbox);
        for waiting in all_waiting {
            if waiting.entry.is_noted_once() {
                self.give_up(now, waiting, HopReason::OnceWait, retry_span);
            } else {
                self.inbox.push_back(waiting);
            }
        }
    }

    /// The leader has named another steward, or nobody.
    pub fn steward_named(&mut self, now: Moment, steward: Option<Host>) -> Vec<HolderOutput> {
        self.replication.asking_since = None;
        self.replication.whole = false;
        self.replication.is_copying = false;
        self.replication.steward = steward;
        self.keep_replica(now);
        self.dispatch(now);
        std::mem::take(&mut self.outputs)
    }

    /// The ranges in which the steward's copy differs.
    pub fn compared(&mut self, now: Moment, ranges: &[u8]) -> Vec<HolderOutput> {
        if let Some(steward) = self.replication.steward.clone().filter(|_| !ranges.is_empty()) {
            let notes = self.book.lines_in(now, ranges);
            let round = self.replication.open_round(steward.clone(), Vec::new(), false);
            self.outputs.push(HolderOutput::Note { round, steward, notes });
        }
        std::mem::take(&mut self.outputs)
    }

    /// Brings the steward's copy level, and keeps it so.
    pub(super) fn keep_replica(&mut self, now: Moment) {
        if self.closed || self.released {
            return;
        }
        if let Some(asking_since) = self.replication.asking_since
            && now.since(asking_since) > ASK_AGAIN_AFTER
            && let Some(steward) = &self.replication.steward
        {
            self.replication.asking_since = Some(now);
            let lost = steward.member.clone();
            self.outputs.push(HolderOutput::Tell(HolderMessage::StewardLost { lost }));
        }
        let Some(steward) = self.replication.steward.clone().filter(|_| self.replication.is_able())
        else {
            return;
        };
        if !self.replication.whole && !self.replication.is_copying && now >= self.once_from {
            let notes = self.book.once_lines(now);
            if notes.is_empty() {
                self.say_whole(&steward);
            } else {
                self.replication.is_copying = true;
                let round = self.replication.open_round(steward.clone(), Vec::new(), true);
                self.outputs.push(HolderOutput::Note { round, steward: steward.clone(), notes });
            }
        }
        if now >= self.replication.compare_at && self.replication.whole && self.book.has_once() {
            self.replication.compare_at = now + COMPARE_EVERY;
            let digests = self.book.digests(now);
            self.outputs.push(HolderOutput::Compare { steward, digests });
        }
    }
}
