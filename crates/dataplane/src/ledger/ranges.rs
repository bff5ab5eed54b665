//! Digests over ranges of idempotency keys, used to compare a ledger with its replica.
//!
//! Digests are sent over the wire, and both daemons must compute the same ranges and digests. The functions of this
//! module must therefore not change.

use common::frames::{LedgerRecord, LedgerRecordState};
use common::identity::IdempotencyKey;
use sha2::{Digest, Sha256};

/// The number of ranges into which a ledger is divided for comparison.
pub const RANGE_COUNT: usize = 16;

/// Returns the first eight bytes, in network byte order, of a SHA-256 hash. The hashed bytes are the key and, if a
/// state is given, a zero byte and the state.
fn key_hash(idempotency_key: &IdempotencyKey, state: Option<LedgerRecordState>) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(idempotency_key.as_str());
    if let Some(state) = state {
        hasher.update([0, state as u8]);
    }
    let digest_bytes: [u8; 32] = hasher.finalize().into();
    u64::from_be_bytes(digest_bytes[..8].try_into().unwrap_or_default())
}

/// Returns the range of a key, a number below [`RANGE_COUNT`].
pub fn range_of(idempotency_key: &IdempotencyKey) -> usize {
    (key_hash(idempotency_key, None) % RANGE_COUNT as u64) as usize
}

/// Returns one digest per range: the exclusive or of the hashes of its records, which is independent of their order.
pub fn digests<'a>(records: impl Iterator<Item = &'a LedgerRecord>) -> Vec<u64> {
    let mut range_digests = vec![0; RANGE_COUNT];
    for record in records {
        range_digests[range_of(&record.idempotency_key)] ^=
            key_hash(&record.idempotency_key, Some(record.state));
    }
    range_digests
}
