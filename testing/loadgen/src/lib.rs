//! Seeded stand-in callers: load generators' phones, club editors, and counters that retry at once.

#![deny(missing_docs)]

mod caller;
mod plan;

pub use caller::{Summary, walk};
pub use plan::{Burst, Impatience, Plan, PlanFault, PlannedRoute};
