//! The running daemon: its listeners, startup and graceful shutdown.
//!
//! This module uses [`request_pipeline`](crate::request_pipeline) for the requests that its listeners accept, and
//! [`drivers`](crate::drivers) for the tasks that it starts. Neither of them depends on this module.
//!
//! * `daemon`: a daemon process, from opening its listeners to the end of its shutdown.
//! * [`hops`]: serves requests from other daemons.
//! * `ingress`: the callers' listener, and the readiness and metrics pages.

mod daemon;
pub mod hops;
mod ingress;

pub use daemon::{Daemon, DaemonHandle};
pub use ingress::serve_ingress;
