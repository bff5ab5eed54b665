//! Thin drivers: the shared state, the control task, hops between daemons, calls to runners.

mod connector;
mod control;
mod daemon;
mod door;
mod gauges;
pub mod holding;
mod hop_links;
pub mod hops;
mod links;
mod metered;
mod platform;
mod request_log;
mod runners;
mod state;

pub use crate::tongue::DaemonAdapters;
pub use connector::{ByteStream, Connector, Opening, TcpConnector};
pub use daemon::{Daemon, DaemonHandle};
pub use door::serve_door;
pub use gauges::Gauges;
pub use hop_links::{AskEnd, HopLinks};
pub use metered::SendPermit;
pub use request_log::RequestLog;
pub use state::{HeldHere, State};
