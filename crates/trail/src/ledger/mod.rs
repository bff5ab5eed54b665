//! Ledgers of once-transactions: the holder's own, the stewards' copies, and how copies are compared.

mod book;
mod keepsake;
mod ranges;

pub use book::Book;
pub use keepsake::Keepsake;
pub use ranges::{RANGE_COUNT, digests, range_of};
