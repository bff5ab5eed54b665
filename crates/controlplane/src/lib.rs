//! The control plane of rudderstream: controllers that agree on one replicated document, and whose leader
//! grants daemons the leases under which they serve functions.
//!
//! # Modules
//!
//! * [`consensus`]: elects the leader and replicates the document among the controllers.
//! * [`leader_state`]: the state that only the leader has: sessions with daemons, leases and the placement
//!   of runners.
//! * [`controller_state`]: one complete controller. It combines a consensus node with the leader state
//!   that it has while it is the leader, and answers operators and daemons.
//! * [`storage`]: the data directory, in which a controller stores its identity, votes and versions.
//! * [`settings`]: a controller's settings.
//! * [`drivers`]: the I/O for the state machines: HTTP, streams to daemons and controllers, the disk and
//!   timers.
//!
//! # State machines and drivers
//!
//! The first three modules are state machines without I/O, threads or clocks. Each takes an input together
//! with the time and returns its outputs as values: frames to send, writes to carry out, events to record.
//! The drivers own the sockets, the disk thread and the timers. A single task passes all inputs to the
//! controller's state, one at a time, and carries out the outputs in order. A write is reported back as an
//! input once it is synced, and only then does the state machine rely on it.
//!
//! The simulator and the model checker run the same state machines with their own drivers, which simulate
//! time, network and disks.

#![deny(missing_docs, unreachable_pub)]

pub mod consensus;
pub mod controller_state;
pub mod drivers;
mod json_form;
pub mod leader_state;
pub mod settings;
pub mod storage;
