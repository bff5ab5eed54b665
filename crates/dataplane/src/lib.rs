//! The data plane of rudderstream: the daemon that routes callers' requests to the holders of their functions, and
//! runs the functions that it holds itself.
//!
//! # The path of a request
//!
//! 1. [`server`] accepts a caller's request. [`request_pipeline`] validates it and looks up its route and function.
//! 2. [`agent`] uses [`owners`] to determine which daemon holds the function. It then serves the request locally,
//!    forwards it to another daemon, or requests the function's lease from the leader.
//! 3. At the holder, [`holder`] queues the request, records it in the [`ledger`] if callers may repeat it, and selects
//!    a runner. The connection to the runner comes from the [`pool`].
//! 4. The runner's response is verified and returned along the same path.
//!
//! # Modules
//!
//! Decisions are separated from I/O so that a simulator can run the same logic with its own clock and network.
//!
//! Without I/O:
//!
//! * [`agent`]: the state of a daemon, request forwarding, and the daemon's part of the control protocol.
//! * [`cluster_view`]: the spec, host list and leases received from the leader. It builds on [`control_session`] (the
//!   stream to the leader and the session lease) and [`failure_detector`] (heartbeats between daemons, and suspicions).
//! * [`holder`]: the state machine of a held function: queue, runners, scaling.
//! * [`ledger`]: the records of repeatable requests and their replicas.
//! * [`owners`]: the choice of the daemon that a request goes to next.
//! * [`pool`]: the bookkeeping of connections to runners.
//! * [`settings`]: the settings of a daemon.
//!
//! With I/O:
//!
//! * [`adapter`]: the native protocols for callers and runners.
//! * [`server`]: the listeners, and the startup and shutdown of a daemon. Uses `request_pipeline` and `drivers`.
//! * [`request_pipeline`]: the processing of a caller's request. Uses `drivers`.
//! * [`drivers`]: the sockets, timers and tasks that talk to the leader, other daemons, runners and the platform.

#![deny(missing_docs, unreachable_pub)]

pub mod adapter;
pub mod agent;
pub mod cluster_view;
pub mod control_session;
pub mod drivers;
pub mod failure_detector;
pub mod holder;
pub mod ledger;
pub mod owners;
pub mod pool;
pub mod request_pipeline;
pub mod server;
pub mod settings;
