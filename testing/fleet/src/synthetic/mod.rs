//! Synthetic fleets: the real state machines of many daemons and three controllers in one process, under virtual
//! time, with callers, runners and a platform simulated in memory. The messages, processor time and memory of each
//! role are measured.
//!
//! The modules use each other in one direction alone, from the top of this list to its end:
//! - `run` starts a fleet, gives each event to the layer that handles it, and concludes with the record;
//! - `controllers` and `daemons` drive the state machines. Neither knows the other: what one does to the other is an
//!   event in the queue, as it would be a message;
//! - `fleet` is the state: the clock, the queue and the addresses, and the members with their links;
//! - `members`, `events`, `platform`, `catalogue`, `record`, `meter`, `wire`, `size`, `memory` and `zones` are the parts
//!   of that state.
//!
//! `page` is apart from a run: it renders the capacity page from written records.

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
