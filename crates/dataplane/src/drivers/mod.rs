//! The drivers of the data plane: the I/O that carries out the outputs of state machines without any, towards the
//! leader, other daemons, runners and the platform.
//!
//! [`State`] is shared by all tasks and depends on none of them. Dependencies go one way, from the [`server`] over the
//! [`request_pipeline`] to this module, which uses neither of the two.
//!
//! Of a daemon's tasks, that of the ingress is joined at shutdown; the driver task of a runner connection is cancelled
//! with the connection, and a request from another daemon with that daemon's connection; all others are detached, and
//! end with the process, with their connection, or after one bounded step.
//!
//! [`server`]: crate::server
//! [`request_pipeline`]: crate::request_pipeline

mod connector;
mod control;
mod control_input;
mod frame_batch;
pub mod holder_driver;
mod hop_client;
mod metered_stream;
mod metrics;
mod outcome_waiter;
mod platform;
mod request_log;
mod runner_connections;
mod runners;
mod state;

pub use crate::adapter::DaemonAdapters;
pub use connector::{ByteStream, ConnectFuture, Connector, TcpConnector};
pub(crate) use control::Control;
pub(crate) use control_input::ControlInput;
pub(crate) use frame_batch::WRITE_BATCH_BYTES;
pub use hop_client::{HopCallResult, HopClient, PendingHopCall};
pub use metered_stream::WritePermit;
pub use metrics::{
    CallerMetrics, DaemonMetrics, HeldFunctionMetrics, OwnerMetrics, ReplicationMetrics,
    RunnerMetrics, SessionMetrics,
};
pub use outcome_waiter::OutcomeWaiter;
pub use request_log::RequestLog;
pub use state::{LocalHeldFunction, State};
