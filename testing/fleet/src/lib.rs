//! The whole fleet on one machine: settings, processes, load, faults, and the judge.

#![deny(missing_docs)]

pub mod days;
pub mod fleet;
pub mod history;
pub mod judge;
pub mod sim;
pub mod soak;
pub mod synthetic;
