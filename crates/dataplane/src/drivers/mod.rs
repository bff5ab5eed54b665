//! The drivers of the data plane: all of its I/O, around state machines without any.
//!
//! [`State`] is shared by all tasks and depends on none of them. Of the tasks, that of the ingress is joined at
//! shutdown; the driver task of a runner connection is cancelled with the connection, and a request from another daemon
//! with that daemon's connection; all others are detached, and end with the process, with their connection, or after
//! one bounded step.

mod connector;
mod control;
mod control_input;
mod daemon;
mod frame_batch;
mod gauges;
pub mod holder_driver;
mod hop_client;
pub mod hops;
mod ingress;
mod metered_stream;
mod platform;
mod request_log;
mod runner_connections;
mod runners;
mod state;

pub use crate::adapter::DaemonAdapters;
pub use connector::{ByteStream, Connector, Opening, TcpConnector};
pub use daemon::{Daemon, DaemonHandle};
pub use gauges::Gauges;
pub use hop_client::{HopCallResult, HopClient};
pub use ingress::serve_ingress;
pub use metered_stream::WritePermit;
pub use request_log::RequestLog;
pub use state::{LocalHeldFunction, State};
