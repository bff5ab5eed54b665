//! The drivers: tasks that pass inputs to the controller's state machine and carry out its outputs.
//!
//! [`Controller`] runs the input loop. All other tasks access only the shared state and the input queue.

mod controller;
mod disk;
mod event_stream;
mod metrics;
mod operator_api;
mod operator_forwarding;
mod operators;
mod peer_links;
mod platform;
pub mod queue;
mod shared;
mod streams;

pub use controller::{Controller, ControllerAdapters, ControllerError, SeedUpdater};
pub use operator_api::{NativeOperatorApi, OperatorApiAdapter};
