//! A load generator: callers that send requests by a seeded plan, retry them, and record the outcomes.

#![deny(missing_docs, unreachable_pub)]

mod attempt;
mod client_pool;
mod kept_connections;
mod plan;
mod schedule;

pub use client_pool::{Summary, run_plan};
pub use plan::{Burst, KeptConnections, Plan, PlanError, PlannedRoute, RetryBehaviour};
