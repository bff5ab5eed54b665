//! Seeded stand-in callers: load generators' phones, club editors, and counters that retry at once.

#![deny(missing_docs)]

mod client_pool;
mod plan;

pub use client_pool::{Summary, run_plan};
pub use plan::{Burst, Plan, PlanError, PlannedRoute, RetryBehaviour};
