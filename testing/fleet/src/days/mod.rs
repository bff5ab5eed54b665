//! Days of the fleet: a deployment's load, a list of faults, and the judge's verdict.

mod deployment;
mod fault;
mod run;

pub use deployment::Deployment;
pub use fault::{FaultInjector, FaultName};
pub use run::{Day, DayResult, run_day};
