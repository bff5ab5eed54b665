//! Test days: a fleet under a deployment's load and a list of faults, with the judge's verdict.

mod deployment;
mod fault;
mod run;

pub use deployment::Deployment;
pub use fault::{FaultInjector, FaultName};
pub use run::{Day, DayResult, run_day};
