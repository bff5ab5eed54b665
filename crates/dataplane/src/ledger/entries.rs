//! A holder's own ledger of transaction identities.

use super::ranges::{digests, range_of};
use common::clock::MonotonicTime;
use common::frames::{LedgerRecord, LedgerRecordState, RequestFailureReason, RequestOutcome};
use common::identity::IdempotencyKey;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

const RETENTION_AFTER_DEADLINE: Duration = Duration::from_secs(15);
/// When a caller may come back with another identity, if nothing more is known.
const RETRY_AFTER_MS: u32 = 1000;
const MAX_STORED_ANSWER_BYTES: usize = 64 << 10;

struct Recorded {
    once: bool,
    outcome: Option<RequestOutcome>,
    expires_at: MonotonicTime,
}

/// A holder's own ledger: what is known of each identity.
#[derive(Default)]
pub struct Ledger {
    recorded: HashMap<IdempotencyKey, Recorded>,
    expiries: BTreeMap<MonotonicTime, Vec<IdempotencyKey>>,
}

fn state_of(recorded: &Recorded) -> LedgerRecordState {
    match &recorded.outcome {
        None => LedgerRecordState::Recorded,
        Some(RequestOutcome::Response { .. }) => LedgerRecordState::Answered,
        Some(RequestOutcome::NotRun { .. }) => LedgerRecordState::Rejected,
        Some(RequestOutcome::Unknown {
            reason: RequestFailureReason::AlreadyRan,
        }) => LedgerRecordState::Answered,
        Some(RequestOutcome::Unknown { .. }) => LedgerRecordState::Unknown,
    }
}

impl Ledger {
    /// The outcome for a repeated identity; none for a new one.
    pub fn known_outcome(&self, idempotency_key: &IdempotencyKey) -> Option<RequestOutcome> {
        self.recorded.get(idempotency_key).map(|recorded| {
            recorded.outcome.clone().unwrap_or(RequestOutcome::Unknown {
                reason: RequestFailureReason::InProgress,
            })
        })
    }

    /// Notes an identity before anything is sent for it.
    pub fn begin(&mut self, idempotency_key: IdempotencyKey, once: bool, deadline: MonotonicTime) {
        let expires_at = deadline + RETENTION_AFTER_DEADLINE;
        self.expiries
            .entry(expires_at)
            .or_default()
            .push(idempotency_key.clone());
        self.recorded.insert(
            idempotency_key,
            Recorded {
                once,
                outcome: None,
                expires_at,
            },
        );
    }

    /// Notes how it ended; large answers are not kept.
    pub fn end(
        &mut self,
        now: MonotonicTime,
        idempotency_key: &IdempotencyKey,
        once: bool,
        deadline: MonotonicTime,
        outcome: RequestOutcome,
    ) {
        let stored_outcome = match &outcome {
            RequestOutcome::Response { body, .. } if body.0.len() > MAX_STORED_ANSWER_BYTES => {
                RequestOutcome::Unknown {
                    reason: RequestFailureReason::AlreadyRan,
                }
            }
            _ => outcome,
        };
        if !self.recorded.contains_key(idempotency_key) {
            self.begin(idempotency_key.clone(), once, deadline.max(now));
        }
        if let Some(recorded) = self.recorded.get_mut(idempotency_key) {
            recorded.outcome = Some(stored_outcome);
        }
    }

    /// Takes over what an earlier holder knew; what is known here already stays.
    pub fn import_record(&mut self, now: MonotonicTime, record: &LedgerRecord) {
        if self.recorded.contains_key(&record.idempotency_key) {
            return;
        }
        let outcome = match record.state {
            LedgerRecordState::Answered => RequestOutcome::Unknown {
                reason: RequestFailureReason::AlreadyRan,
            },
            LedgerRecordState::Recorded | LedgerRecordState::Unknown => RequestOutcome::Unknown {
                reason: RequestFailureReason::ResponseLost,
            },
            LedgerRecordState::Rejected => RequestOutcome::NotRun {
                reason: RequestFailureReason::RejectedBefore,
                retry_after_ms: RETRY_AFTER_MS,
            },
        };
        let expires_at = now + Duration::from_millis(u64::from(record.remaining_ms));
        self.expiries
            .entry(expires_at)
            .or_default()
            .push(record.idempotency_key.clone());
        let recorded = Recorded {
            once: true,
            outcome: Some(outcome),
            expires_at,
        };
        self.recorded
            .insert(record.idempotency_key.clone(), recorded);
    }

    /// The lines of once-transactions, for a steward's copy.
    pub fn once_records(&self, now: MonotonicTime) -> Vec<LedgerRecord> {
        self.recorded
            .iter()
            .filter(|(_, recorded)| recorded.once && recorded.expires_at > now)
            .map(|(idempotency_key, recorded)| LedgerRecord {
                idempotency_key: idempotency_key.clone(),
                state: state_of(recorded),
                remaining_ms: recorded.expires_at.since(now).as_millis() as u32,
            })
            .collect()
    }

    /// The line of one once-transaction.
    pub fn record_of(
        &self,
        now: MonotonicTime,
        idempotency_key: &IdempotencyKey,
    ) -> Option<LedgerRecord> {
        self.recorded
            .get(idempotency_key)
            .map(|recorded| LedgerRecord {
                idempotency_key: idempotency_key.clone(),
                state: state_of(recorded),
                remaining_ms: recorded.expires_at.since(now).as_millis() as u32,
            })
    }

    /// A digest for each range of once-transactions.
    pub fn digests(&self, now: MonotonicTime) -> Vec<u64> {
        digests(self.once_records(now).iter())
    }

    /// The lines of some ranges.
    pub fn records_in(&self, now: MonotonicTime, ranges: &[u8]) -> Vec<LedgerRecord> {
        let is_wanted =
            |record: &LedgerRecord| ranges.contains(&(range_of(&record.idempotency_key) as u8));
        self.once_records(now)
            .into_iter()
            .filter(is_wanted)
            .collect()
    }

    /// Whether there is any once-transaction.
    pub fn has_once_records(&self) -> bool {
        self.recorded.values().any(|recorded| recorded.once)
    }

    /// Forgets identities whose callers have long stopped waiting.
    pub fn expire(&mut self, now: MonotonicTime) {
        while let Some(first_entry) = self.expiries.first_entry() {
            if *first_entry.key() > now {
                return;
            }
            for idempotency_key in first_entry.remove() {
                if self
                    .recorded
                    .get(&idempotency_key)
                    .is_some_and(|recorded| recorded.expires_at <= now)
                {
                    self.recorded.remove(&idempotency_key);
                }
            }
        }
    }
}
