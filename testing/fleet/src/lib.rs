//! Tests of complete fleets: real processes on one machine under load and faults, with a judge that checks their
//! records; a deterministic simulator; and synthetic fleets that measure capacity.

#![deny(missing_docs, unreachable_pub)]

pub mod days;
pub mod fleet;
pub mod history;
pub mod judge;
pub mod sim;
pub mod soak;
pub mod synthetic;
