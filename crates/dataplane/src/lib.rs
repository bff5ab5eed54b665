//! rudderstream's data plane: routes transactions, finds holders, runs functions it holds.

#![deny(missing_docs)]

pub mod agent;
pub mod boot;
pub mod chain;
pub mod drivers;
pub mod holder;
pub mod keeper;
pub mod ledger;
pub mod liaison;
pub mod owners;
pub mod pool;
pub mod tongue;
pub mod watch;
