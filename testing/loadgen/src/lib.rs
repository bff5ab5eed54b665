//! A load generator: clients that send requests according to a seeded plan, retry them, and record the outcomes.

#![deny(missing_docs, unreachable_pub)]

mod attempt;
mod client_pool;
mod persistent_connections;
mod plan;
mod schedule;

pub use client_pool::{Summary, run_plan};
pub use plan::{Burst, PersistentConnections, Plan, PlanError, PlannedRoute, RetryBehaviour};
