//! Test days: each runs a fleet under a deployment's load, injects a list of faults, and lets the judge check the
//! records.

mod deployment;
mod fault;
mod run;

pub use deployment::Deployment;
pub use fault::{FaultInjector, FaultName};
pub use run::{Day, DayResult, run_day};
