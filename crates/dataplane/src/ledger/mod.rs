//! Ledgers of once-transactions: the holder's own, the stewards' copies, and how copies are compared.

mod entries;
mod ranges;
mod replica;

pub use entries::Ledger;
pub use ranges::{RANGE_COUNT, digests, range_of};
pub use replica::LedgerReplica;
