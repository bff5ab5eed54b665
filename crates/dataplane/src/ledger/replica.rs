//! The replicas that a daemon stores of other lease holders' ledgers.

use super::ranges::digests;
use common::clock::MonotonicTime;
use common::frames::{LedgerRecord, LedgerRecordState};
use common::identity::{FencingToken, FunctionKey, IdempotencyKey, Incarnation};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// How long an empty copy is retained after its last use. While a sealed copy is retained, it rejects late records of
/// the holder that wrote it; a removed one would be created again, unsealed, by the next record.
const EMPTY_COPY_RETENTION: Duration = Duration::from_secs(60);

struct ReplicaEntry {
    state: LedgerRecordState,
    expires_at: MonotonicTime,
}

/// The copy of one holder's ledger.
struct LedgerCopy {
    entries: HashMap<IdempotencyKey, ReplicaEntry>,
    /// Whether a later holder has collected the copy. A sealed copy accepts no more records.
    is_sealed: bool,
    touched_at: MonotonicTime,
}

impl LedgerCopy {
    /// Returns the records that have not expired.
    fn records(&self, now: MonotonicTime) -> Vec<LedgerRecord> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.expires_at > now)
            .map(|(idempotency_key, entry)| LedgerRecord {
                idempotency_key: idempotency_key.clone(),
                state: entry.state,
                remaining_ms: entry.expires_at.since(now).as_millis() as u32,
            })
            .collect()
    }
}

/// The copies that one daemon stores of other daemons' ledgers, by function and fencing token. Requests addressed to an
/// earlier incarnation of the daemon are rejected, since the copies of that incarnation are lost.
pub struct LedgerReplica {
    incarnation: Incarnation,
    copies: BTreeMap<(FunctionKey, FencingToken), LedgerCopy>,
}

impl LedgerReplica {
    /// Creates an empty replica for this incarnation of the daemon.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            copies: BTreeMap::new(),
        }
    }

    fn copy(
        &mut self,
        now: MonotonicTime,
        function: &FunctionKey,
        fencing_token: FencingToken,
    ) -> &mut LedgerCopy {
        let copy = self
            .copies
            .entry((function.clone(), fencing_token))
            .or_insert(LedgerCopy {
                entries: HashMap::new(),
                is_sealed: false,
                touched_at: now,
            });
        copy.touched_at = now;
        copy
    }

    /// Stores records. Returns false if another incarnation is addressed or the copy is sealed.
    pub fn record(
        &mut self,
        now: MonotonicTime,
        function: &FunctionKey,
        fencing_token: FencingToken,
        incarnation: Incarnation,
        records: &[LedgerRecord],
    ) -> bool {
        if incarnation != self.incarnation {
            return false;
        }
        let copy = self.copy(now, function, fencing_token);
        if copy.is_sealed {
            return false;
        }
        for record in records {
            let expires_at = now + Duration::from_millis(u64::from(record.remaining_ms));
            let entry = copy
                .entries
                .entry(record.idempotency_key.clone())
                .or_insert(ReplicaEntry {
                    state: record.state,
                    expires_at,
                });
            entry.state = entry.state.max(record.state);
            entry.expires_at = entry.expires_at.max(expires_at);
        }
        true
    }

    /// Seals a copy and returns its records to a later holder, or returns `None` if another incarnation is addressed.
    pub fn collect(
        &mut self,
        now: MonotonicTime,
        function: &FunctionKey,
        fencing_token: FencingToken,
        incarnation: Incarnation,
    ) -> Option<Vec<LedgerRecord>> {
        if incarnation != self.incarnation {
            return None;
        }
        let copy = self.copy(now, function, fencing_token);
        copy.is_sealed = true;
        Some(copy.records(now))
    }

    /// Returns the ranges in which a copy differs from the holder's digests; all ranges if another incarnation is
    /// addressed.
    pub fn compare(
        &mut self,
        now: MonotonicTime,
        function: &FunctionKey,
        fencing_token: FencingToken,
        incarnation: Incarnation,
        holder_digests: &[u64],
    ) -> Vec<u8> {
        if incarnation != self.incarnation {
            return (0..holder_digests.len() as u8).collect();
        }
        let own_records = self.copy(now, function, fencing_token).records(now);
        let own_digests = digests(own_records.iter());
        (0..holder_digests.len())
            .filter(|range| own_digests.get(*range) != holder_digests.get(*range))
            .map(|range| range as u8)
            .collect()
    }

    /// Removes expired records, and empty copies that have been unused for some time.
    pub fn expire(&mut self, now: MonotonicTime) {
        for copy in self.copies.values_mut() {
            copy.entries.retain(|_, entry| entry.expires_at > now);
        }
        self.copies.retain(|_, copy| {
            !copy.entries.is_empty() || now.since(copy.touched_at) < EMPTY_COPY_RETENTION
        });
    }

    /// Returns the number of stored records.
    pub fn entry_count(&self) -> usize {
        self.copies.values().map(|copy| copy.entries.len()).sum()
    }
}
