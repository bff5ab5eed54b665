//! Synthetic fleets: the real state machines of many daemons and three controllers in one process, under
//! virtual time, with callers, runners and a platform that are answered in memory. What each role sends,
//! hears, computes and keeps is measured.

mod calls;
mod catalogue;
mod controllers;
mod daemons;
mod events;
mod fleet;
mod memory;
mod meter;
pub mod page;
mod platform;
mod record;
mod size;
mod wire;
mod zones;

pub use fleet::SyntheticFleet;
pub use memory::CountingAllocator;
pub use meter::{Role, Work, WorkCounters};
pub use record::{RecordError, RunRecord, StopReason};
pub use size::{SizeError, SyntheticSize};
