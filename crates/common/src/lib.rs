//! What both planes of rudderstream share: newtypes, frames, clock, readers, the member ring and the spec.

#![deny(missing_docs)]

pub mod adapter;
pub mod clock;
pub mod command_line;
pub mod events;
pub mod frames;
pub mod http;
pub mod identity;
pub mod invariants;
pub mod metrics;
pub mod readers;
pub mod ring;
pub mod rng;
pub mod rules;
pub mod seal;
pub mod sockets;
pub mod spec;
