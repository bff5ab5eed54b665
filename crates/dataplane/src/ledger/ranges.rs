//! Digests over ranges of identities, by which two ledgers are compared.

use common::frames::{LedgerNote, NoteState};
use common::identity::TransactionId;
use sha2::{Digest, Sha256};

/// How many ranges a ledger is compared in.
pub const RANGE_COUNT: usize = 16;

fn number_of(transaction: &TransactionId, state: Option<NoteState>) -> u64 {
    let mut running_digest = Sha256::new();
    running_digest.update(transaction.as_str());
    if let Some(state) = state {
        running_digest.update([0, state as u8]);
    }
    let digest_bytes: [u8; 32] = running_digest.finalize().into();
    u64::from_be_bytes(digest_bytes[..8].try_into().unwrap_or_default())
}

/// The range of an identity.
pub fn range_of(transaction: &TransactionId) -> usize {
    (number_of(transaction, None) % RANGE_COUNT as u64) as usize
}

/// A digest for each range; the order of the lines does not matter.
pub fn digests<'a>(notes: impl Iterator<Item = &'a LedgerNote>) -> Vec<u64> {
    let mut range_digests = vec![0; RANGE_COUNT];
    for note in notes {
        range_digests[range_of(&note.transaction)] ^=
            number_of(&note.transaction, Some(note.state));
    }
    range_digests
}
