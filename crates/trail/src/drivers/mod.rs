//! Thin drivers: the shared state, the control task, hops between daemons, calls to runners.

mod control;
mod door;
mod gauges;
pub mod holding;
mod hops;
mod links;
mod platform;
mod runners;
mod runtime;
mod state;
mod trailhead;

pub use crate::tongue::TrailTongues;
pub use door::serve_door;
pub use gauges::Gauges;
pub use hops::{AskEnd, HopLinks};
pub use runtime::runtime;
pub use state::{HeldHere, State};
pub use trailhead::{Trailhead, TrailheadHandle};
