//! Digests over ranges of idempotency keys, by which a ledger and its replica are compared.
//!
//! Both daemons must compute the same ranges and digests, and digests go over the wire: the functions of this module
//! must not change.

use common::frames::{LedgerRecord, LedgerRecordState};
use common::identity::IdempotencyKey;
use sha2::{Digest, Sha256};

/// The number of ranges that a ledger is compared in.
pub const RANGE_COUNT: usize = 16;

/// The first eight bytes, in network order, of the SHA-256 hash of a key, followed by a zero byte and the state if one
/// is given.
fn hash_number(idempotency_key: &IdempotencyKey, state: Option<LedgerRecordState>) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(idempotency_key.as_str());
    if let Some(state) = state {
        hasher.update([0, state as u8]);
    }
    let digest_bytes: [u8; 32] = hasher.finalize().into();
    u64::from_be_bytes(digest_bytes[..8].try_into().unwrap_or_default())
}

/// The range of a key, below [`RANGE_COUNT`].
pub fn range_of(idempotency_key: &IdempotencyKey) -> usize {
    (hash_number(idempotency_key, None) % RANGE_COUNT as u64) as usize
}

/// A digest for each range, the exclusive or of its records' hashes: their order does not matter.
pub fn digests<'a>(records: impl Iterator<Item = &'a LedgerRecord>) -> Vec<u64> {
    let mut range_digests = vec![0; RANGE_COUNT];
    for record in records {
        range_digests[range_of(&record.idempotency_key)] ^=
            hash_number(&record.idempotency_key, Some(record.state));
    }
    range_digests
}
