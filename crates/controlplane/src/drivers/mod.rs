//! Thin drivers that feed the plane and do what it orders.

mod disk;
mod engine;
mod gauges;
mod links;
mod operators;
mod platform;
mod streams;
mod tongue;

pub use engine::{Controller, ControllerAdapters, ControllerFault, Reseeder};
pub use tongue::{OperatorsTongue, OwnOperators};
