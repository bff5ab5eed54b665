//! A load generator: callers that send requests by a seeded plan, retry them, and record the outcomes.

#![deny(missing_docs, unreachable_pub)]

mod attempt;
mod client_pool;
mod plan;
mod schedule;

pub use client_pool::{Summary, run_plan};
pub use plan::{Burst, Plan, PlanError, PlannedRoute, RetryBehaviour};
