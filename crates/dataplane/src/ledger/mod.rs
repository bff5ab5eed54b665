//! Ledgers of requests by idempotency key: a lease holder's own ledger, the replicas that other daemons store, and the
//! digests by which the two are compared.

mod entries;
mod ranges;
mod replica;

pub use entries::Ledger;
pub use ranges::{RANGE_COUNT, digests, range_of};
pub use replica::LedgerReplica;
