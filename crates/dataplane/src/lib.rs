//! rudderstream's data plane: the daemon that routes callers' requests, finds the holder of each function, and runs the
//! functions that it holds itself.
//!
//! # The way of a request
//!
//! 1. [`server`] accepts a caller's request, and [`request_pipeline`] checks a caller's request and finds its route and function.
//! 2. [`agent`] decides by [`owners`] which daemon holds the function. The request is served here, forwarded to another
//!    daemon, or the function's lease is requested from the leader.
//! 3. At the holder, [`holder`] queues the request, records it in the [`ledger`] where callers may repeat it, and chooses
//!    a runner; a connection to the runner comes from the [`pool`].
//! 4. The runner's response is verified, and returned the same way.
//!
//! # Modules
//!
//! Decisions and I/O are kept apart, so that a simulator can run the same decisions under its own clock and network.
//!
//! Without I/O:
//!
//! * [`agent`]: a daemon's state, the forwarding of requests, the control side.
//! * [`cluster_view`]: the leader's spec, host list and leases, by [`control_session`], the stream to the leader and the
//!   session lease, and [`failure_detector`], heartbeats and suspicions among daemons.
//! * [`holder`]: the state machine of a held function: queue, runners, scaling.
//! * [`ledger`]: the records of repeatable requests, and their replicas.
//! * [`owners`]: which daemon a request goes to next.
//! * [`pool`]: connections to runners.
//! * [`settings`]: the settings of a daemon.
//!
//! With I/O:
//!
//! * [`adapter`]: the native protocols towards callers and runners.
//! * [`server`]: the listeners, and the start and shutdown of a daemon. It uses the two below.
//! * [`request_pipeline`]: the way of a caller's request. It uses the drivers.
//! * [`drivers`]: sockets, timers and tasks towards the leader, other daemons, runners and the platform.

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
