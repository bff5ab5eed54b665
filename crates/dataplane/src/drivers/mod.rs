//! Thin drivers: the shared state, the control task, hops between daemons, calls to runners.

mod connector;
mod control;
mod daemon;
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
