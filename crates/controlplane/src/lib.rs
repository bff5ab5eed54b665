//! The control plane of rudderstream: the controllers, which agree on one replicated document, and whose
//! leader gives daemons the leases under which they serve functions.
//!
//! # Modules
//!
//! * [`consensus`]: elects the leader and replicates the document among the controllers.
//! * [`leader_state`]: what only the leader has: sessions with daemons, leases, the placement of runners.
//! * [`controller_state`]: one complete controller. It joins a consensus node and, while it leads, the
//!   leader state, and answers operators and daemons.
//! * [`storage`]: the data directory, in which a controller keeps its identity, votes and versions.
//! * [`settings`]: a controller's settings.
//! * [`drivers`]: the I/O around all of this: HTTP, streams to daemons and controllers, the disk, timers.
//!
//! # State machines and drivers
//!
//! The first three modules are state machines without I/O, threads or clocks. Each takes an input together
//! with the time and returns its outputs as values: frames to send, writes to carry out, events to record.
//! The drivers own the sockets, the disk thread and the timers; one task feeds all inputs to the
//! controller's state, one after another, and carries out the outputs in order. A write is reported back
//! as an input when it is synced, and only then does the state machine rely on it.
//!
//! The simulator and the model checker run the same state machines with drivers of their own, with
//! simulated time, network and disks.

#![deny(missing_docs, unreachable_pub)]

pub mod consensus;
pub mod controller_state;
pub mod drivers;
mod json_form;
pub mod leader_state;
pub mod settings;
pub mod storage;
