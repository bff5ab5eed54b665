//! Thin drivers that feed the controller and do what it orders.

mod controller;
mod disk;
mod metrics;
mod operator_api;
mod operators;
mod peer_links;
mod platform;
pub mod queue;
mod streams;

pub use controller::{Controller, ControllerAdapters, ControllerError, SeedUpdater};
pub use operator_api::{NativeOperatorApi, OperatorApiAdapter};
