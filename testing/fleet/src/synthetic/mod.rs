//! Synthetic fleets: the real state machines of many daemons and three controllers in one process, under virtual
//! time, with callers, runners and a platform simulated in memory. The messages, processor time and memory of each
//! role are measured.

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
pub use record::RecordError;
pub use size::SyntheticSize;
