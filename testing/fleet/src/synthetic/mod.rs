//! Synthetic fleets: the real state machines of many daemons and three controllers in one process, under virtual
//! time, with callers, runners and a platform simulated in memory. The messages, processor time and memory of each
//! role are measured.
//!
//! Each module depends only on modules further down in this list:
//! - `run` starts a fleet, dispatches events to the layer that handles them, and returns the record of the run;
//! - `controllers` and `daemons` drive the state machines. They don't call each other: messages between them are events
//!   in the queue;
//! - `fleet` holds the state: the clock, the event queue, the addresses, and the members with their links;
//! - `members`, `events`, `platform`, `catalogue`, `record`, `meter`, `wire`, `size`, `memory` and `zones` define the parts
//!   of that state.
//!
//! `page` takes no part in runs: it renders the capacity page from recorded runs.

mod catalogue;
mod controllers;
mod daemons;
mod events;
mod fleet;
mod members;
mod memory;
mod meter;
pub mod page;
mod platform;
mod record;
mod run;
mod size;
mod wire;
mod zones;

pub use fleet::SyntheticFleet;
pub use memory::CountingAllocator;
pub use record::RecordError;
pub use size::SyntheticSize;
