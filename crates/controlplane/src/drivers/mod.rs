//! Thin drivers that feed the controller and do what it orders.

mod disk;
mod engine;
mod gauges;
mod links;
mod operators;
mod platform;
pub mod queue;
mod streams;
mod tongue;

pub use engine::{Controller, ControllerAdapters, ControllerFault, Reseeder};
pub use tongue::{OperatorsTongue, OwnOperators};
