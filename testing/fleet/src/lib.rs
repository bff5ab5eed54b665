//! The whole fleet on one machine: settings, processes, load, faults, and the judge.

pub mod days;
pub mod fleet;
pub mod history;
pub mod hollow;
pub mod judge;
pub mod sim;
