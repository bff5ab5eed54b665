//! A holder's own ledger of transaction identities.

use super::ranges::{digests, range_of};
use common::clock::Moment;
use common::frames::{HopOutcome, HopReason, LedgerNote, NoteState};
use common::identity::TransactionId;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

const KEPT_AFTER: Duration = Duration::from_secs(15);
/// When a caller may come back with another identity, if nothing more is known.
const COME_BACK_MS: u32 = 1000;
const LARGEST_KEPT: usize = 64 << 10;

struct Noted {
    once: bool,
    outcome: Option<HopOutcome>,
    expires_at: Moment,
}

/// A holder's own ledger: what is known of each identity.
#[derive(Default)]
pub struct Book {
    noted: HashMap<TransactionId, Noted>,
    expiries: BTreeMap<Moment, Vec<TransactionId>>,
}

fn state_of(noted: &Noted) -> NoteState {
    match &noted.outcome {
        None => NoteState::Noted,
        Some(HopOutcome::Answer { .. }) => NoteState::Answered,
        Some(HopOutcome::NotRun { .. }) => NoteState::Refused,
        Some(HopOutcome::Unknown { reason: HopReason::RanBefore }) => NoteState::Answered,
        Some(HopOutcome::Unknown { .. }) => NoteState::Unknown,
    }
}

impl Book {
    /// The outcome for a repeated identity; none for a new one.
    pub fn known(&self, transaction: &TransactionId) -> Option<HopOutcome> {
        self.noted.get(transaction).map(|noted| {
            noted.outcome.clone().unwrap_or(HopOutcome::Unknown { reason: HopReason::UnderWay })
        })
    }

    /// Notes an identity before anything is sent for it.
    pub fn begin(&mut self, transaction: TransactionId, once: bool, budget_end: Moment) {
        let expires_at = budget_end + KEPT_AFTER;
        self.expiries.entry(expires_at).or_default().push(transaction.clone());
        self.noted.insert(transaction, Noted { once, outcome: None, expires_at });
    }

    /// Notes how it ended; large answers are not kept.
    pub fn end(
        &mut self,
        now: Moment,
        transaction: &TransactionId,
        once: bool,
        budget_end: Moment,
        outcome: HopOutcome,
    ) {
        let kept_outcome = match &outcome {
            HopOutcome::Answer { body, .. } if body.0.len() > LARGEST_KEPT => {
                HopOutcome::Unknown { reason: HopReason::RanBefore }
            }
            _ => outcome,
        };
        if !self.noted.contains_key(transaction) {
            self.begin(transaction.clone(), once, budget_end.max(now));
        }
        if let Some(noted) = self.noted.get_mut(transaction) {
            noted.outcome = Some(kept_outcome);
        }
    }

    /// Takes over what an earlier holder knew; what is known here already stays.
    pub fn inherit(&mut self, now: Moment, note: &LedgerNote) {
        if self.noted.contains_key(&note.transaction) {
            return;
        }
        let outcome = match note.state {
            NoteState::Answered => HopOutcome::Unknown { reason: HopReason::RanBefore },
            NoteState::Noted | NoteState::Unknown => {
                HopOutcome::Unknown { reason: HopReason::AnswerLost }
            }
            NoteState::Refused => {
                HopOutcome::NotRun { reason: HopReason::ShedBefore, retry_ms: COME_BACK_MS }
            }
        };
        let expires_at = now + Duration::from_millis(u64::from(note.left_ms));
        self.expiries.entry(expires_at).or_default().push(note.transaction.clone());
        let noted = Noted { once: true, outcome: Some(outcome), expires_at };
        self.noted.insert(note.transaction.clone(), noted);
    }

    /// The lines of once-transactions, for a steward's copy.
    pub fn once_lines(&self, now: Moment) -> Vec<LedgerNote> {
        self.noted
            .iter()
            .filter(|(_, noted)| noted.once && noted.expires_at > now)
            .map(|(transaction, noted)| LedgerNote {
                transaction: transaction.clone(),
                state: state_of(noted),
                left_ms: noted.expires_at.since(now).as_millis() as u32,
            })
            .collect()
    }

    /// The line of one once-transaction.
    pub fn line(&self, now: Moment, transaction: &TransactionId) -> Option<LedgerNote> {
        self.noted.get(transaction).map(|noted| LedgerNote {
            transaction: transaction.clone(),
            state: state_of(noted),
            left_ms: noted.expires_at.since(now).as_millis() as u32,
        })
    }

    /// A digest for each range of once-transactions.
    pub fn digests(&self, now: Moment) -> Vec<u64> {
        digests(self.once_lines(now).iter())
    }

    /// The lines of some ranges.
    pub fn lines_in(&self, now: Moment, ranges: &[u8]) -> Vec<LedgerNote> {
        let is_wanted = |note: &LedgerNote| ranges.contains(&(range_of(&note.transaction) as u8));
        self.once_lines(now).into_iter().filter(is_wanted).collect()
    }

    /// Whether there is any once-transaction.
    pub fn has_once(&self) -> bool {
        self.noted.values().any(|noted| noted.once)
    }

    /// Forgets identities whose callers have long stopped waiting.
    pub fn expire(&mut self, now: Moment) {
        while let Some(first_entry) = self.expiries.first_entry() {
            if *first_entry.key() > now {
                return;
            }
            for transaction in first_entry.remove() {
                if self.noted.get(&transaction).is_some_and(|noted| noted.expires_at <= now) {
                    self.noted.remove(&transaction);
                }
            }
        }
    }
}
