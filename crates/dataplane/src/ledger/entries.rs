//! The ledger of a lease holder: its requests by idempotency key.

use super::ranges::{digests, range_of};
use common::clock::MonotonicTime;
use common::frames::{LedgerRecord, LedgerRecordState, RequestFailureReason, RequestOutcome};
use common::identity::IdempotencyKey;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// How long an entry is retained after its request's deadline, so that late retries still find it.
const RETENTION_AFTER_DEADLINE: Duration = Duration::from_secs(15);
/// Delay after which a caller whose request an earlier holder rejected may retry under another key, in milliseconds.
const IMPORTED_REJECTION_RETRY_AFTER_MS: u32 = 1000;
/// The largest response body that is stored.
const MAX_STORED_RESPONSE_BYTES: usize = 64 << 10;

/// The ledger entry of one request.
struct LedgerEntry {
    once: bool,
    /// The outcome, or `None` until the request has ended.
    outcome: Option<RequestOutcome>,
    expires_at: MonotonicTime,
}

impl LedgerEntry {
    fn state(&self) -> LedgerRecordState {
        match &self.outcome {
            None => LedgerRecordState::Recorded,
            Some(RequestOutcome::Response { .. }) => LedgerRecordState::Answered,
            Some(RequestOutcome::NotRun { .. }) => LedgerRecordState::Rejected,
            Some(RequestOutcome::Unknown {
                reason: RequestFailureReason::AlreadyRan,
            }) => LedgerRecordState::Answered,
            Some(RequestOutcome::Unknown { .. }) => LedgerRecordState::Unknown,
        }
    }

    fn to_record(&self, now: MonotonicTime, idempotency_key: &IdempotencyKey) -> LedgerRecord {
        LedgerRecord {
            idempotency_key: idempotency_key.clone(),
            state: self.state(),
            remaining_ms: self.expires_at.since(now).as_millis() as u32,
        }
    }
}

/// The ledger of a lease holder: the outcomes of recorded requests by idempotency key.
#[derive(Default)]
pub struct Ledger {
    entries: HashMap<IdempotencyKey, LedgerEntry>,
    expiries: BTreeMap<MonotonicTime, Vec<IdempotencyKey>>,
}

impl Ledger {
    /// Returns the outcome recorded for a key, [in progress](RequestFailureReason::InProgress) until its request has
    /// ended, or `None` for an unknown key.
    pub fn known_outcome(&self, idempotency_key: &IdempotencyKey) -> Option<RequestOutcome> {
        self.entries.get(idempotency_key).map(|entry| {
            entry.outcome.clone().unwrap_or(RequestOutcome::Unknown {
                reason: RequestFailureReason::InProgress,
            })
        })
    }

    /// Records a key before its request is sent anywhere. The entry expires some time after the deadline.
    pub fn record_request(
        &mut self,
        idempotency_key: IdempotencyKey,
        once: bool,
        deadline: MonotonicTime,
    ) {
        let entry = LedgerEntry {
            once,
            outcome: None,
            expires_at: deadline + RETENTION_AFTER_DEADLINE,
        };
        self.insert(idempotency_key, entry);
    }

    fn insert(&mut self, idempotency_key: IdempotencyKey, entry: LedgerEntry) {
        self.expiries
            .entry(entry.expires_at)
            .or_default()
            .push(idempotency_key.clone());
        self.entries.insert(idempotency_key, entry);
    }

    /// Records the outcome of a request. For a large response, only the fact that the request ran is stored.
    pub fn record_outcome(
        &mut self,
        now: MonotonicTime,
        idempotency_key: &IdempotencyKey,
        once: bool,
        deadline: MonotonicTime,
        outcome: RequestOutcome,
    ) {
        let stored_outcome = match &outcome {
            RequestOutcome::Response { body, .. } if body.0.len() > MAX_STORED_RESPONSE_BYTES => {
                RequestOutcome::Unknown {
                    reason: RequestFailureReason::AlreadyRan,
                }
            }
            _ => outcome,
        };
        if !self.entries.contains_key(idempotency_key) {
            self.record_request(idempotency_key.clone(), once, deadline.max(now));
        }
        if let Some(entry) = self.entries.get_mut(idempotency_key) {
            entry.outcome = Some(stored_outcome);
        }
    }

    /// Imports a record of an earlier holder's ledger. A key that is already known keeps its entry.
    pub fn import_record(&mut self, now: MonotonicTime, record: &LedgerRecord) {
        if self.entries.contains_key(&record.idempotency_key) {
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
                retry_after_ms: IMPORTED_REJECTION_RETRY_AFTER_MS,
            },
        };
        let entry = LedgerEntry {
            once: true,
            outcome: Some(outcome),
            expires_at: now + Duration::from_millis(u64::from(record.remaining_ms)),
        };
        self.insert(record.idempotency_key.clone(), entry);
    }

    /// Returns the records of all once-only requests, for a replica.
    pub fn once_records(&self, now: MonotonicTime) -> Vec<LedgerRecord> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.once && entry.expires_at > now)
            .map(|(idempotency_key, entry)| entry.to_record(now, idempotency_key))
            .collect()
    }

    /// Returns the record of one request, or `None` for an unknown key.
    pub fn record_of(
        &self,
        now: MonotonicTime,
        idempotency_key: &IdempotencyKey,
    ) -> Option<LedgerRecord> {
        self.entries
            .get(idempotency_key)
            .map(|entry| entry.to_record(now, idempotency_key))
    }

    /// Returns the digests of the records of once-only requests, one per range.
    pub fn digests(&self, now: MonotonicTime) -> Vec<u64> {
        digests(self.once_records(now).iter())
    }

    /// Returns the records of once-only requests in these ranges.
    pub fn records_in(&self, now: MonotonicTime, ranges: &[u8]) -> Vec<LedgerRecord> {
        let is_wanted =
            |record: &LedgerRecord| ranges.contains(&(range_of(&record.idempotency_key) as u8));
        self.once_records(now)
            .into_iter()
            .filter(is_wanted)
            .collect()
    }

    /// Whether there is any entry of a once-only request.
    pub fn has_once_records(&self) -> bool {
        self.entries.values().any(|entry| entry.once)
    }

    /// Removes expired entries.
    pub fn expire(&mut self, now: MonotonicTime) {
        while let Some(first_expiry) = self.expiries.first_entry() {
            if *first_expiry.key() > now {
                return;
            }
            for idempotency_key in first_expiry.remove() {
                if self
                    .entries
                    .get(&idempotency_key)
                    .is_some_and(|entry| entry.expires_at <= now)
                {
                    self.entries.remove(&idempotency_key);
                }
            }
        }
    }
}
