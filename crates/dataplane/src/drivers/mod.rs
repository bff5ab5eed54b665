//! The drivers of the data plane: they execute the outputs of the I/O-free state machines, by talking to the leader,
//! other daemons, runners and the platform.
//!
//! [`State`] is shared by all tasks and depends on none of them. [`server`] depends on [`request_pipeline`], and both
//! depend on this module, which depends on neither.
//!
//! The lifetime of a daemon's tasks:
//!
//! * The ingress task is joined at shutdown.
//! * The driver task of a runner connection is cancelled when the connection is dropped.
//! * The task of a request from another daemon is cancelled when that daemon's connection ends.
//! * All other tasks are detached. They end with the process, with their connection, or after one bounded step.
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
pub(crate) use control::ControlTask;
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
