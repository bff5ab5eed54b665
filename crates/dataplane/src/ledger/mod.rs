//! Ledgers of once-transactions: the holder's own, the stewards' copies, and how copies are compared.

mod book;
mod ranges;
mod replica;

pub use book::Book;
pub use ranges::{RANGE_COUNT, digests, range_of};
pub use replica::LedgerReplica;
