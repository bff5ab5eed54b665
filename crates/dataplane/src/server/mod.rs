//! The running daemon: its listeners, its start and its orderly shutdown.
//!
//! Dependencies go one way: this module uses [`request_pipeline`](crate::request_pipeline) for each request that its
//! listeners accept, and [`drivers`](crate::drivers) for the tasks that it starts. Neither of these uses this module.
//!
//! * `daemon`: a daemon process from its open listeners to the end of its shutdown.
//! * [`hops`]: the requests from other daemons.
//! * `ingress`: the callers' listener, and the readiness and metrics pages.

mod daemon;
pub mod hops;
mod ingress;

pub use daemon::{Daemon, DaemonHandle};
pub use ingress::serve_ingress;
