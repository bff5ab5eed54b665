//! Digests over ranges of identities, by which two ledgers are compared.

use common::frames::{LedgerRecord, LedgerRecordState};
use common::identity::IdempotencyKey;
use sha2::{Digest, Sha256};

/// How many ranges a ledger is compared in.
pub const RANGE_COUNT: usize = 16;

fn hash_number(idempotency_key: &IdempotencyKey, state: Option<LedgerRecordState>) -> u64 {
    let mut running_digest = Sha256::new();
    running_digest.update(idempotency_key.as_str());
    if let Some(state) = state {
        running_digest.update([0, state as u8]);
    }
    let digest_bytes: [u8; 32] = running_digest.finalize().into();
    u64::from_be_bytes(digest_bytes[..8].try_into().unwrap_or_default())
}

/// The range of an identity.
pub fn range_of(idempotency_key: &IdempotencyKey) -> usize {
    (hash_number(idempotency_key, None) % RANGE_COUNT as u64) as usize
}

/// A digest for each range; the order of the lines does not matter.
pub fn digests<'a>(records: impl Iterator<Item = &'a LedgerRecord>) -> Vec<u64> {
    let mut range_digests = vec![0; RANGE_COUNT];
    for record in records {
        range_digests[range_of(&record.idempotency_key)] ^=
            hash_number(&record.idempotency_key, Some(record.state));
    }
    range_digests
}
