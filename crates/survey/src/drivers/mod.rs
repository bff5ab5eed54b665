//! Thin drivers that feed the plane and do what it orders.

mod disk;
mod engine;
mod gauges;
mod links;
mod operators;
mod platform;
mod streams;

pub use engine::{Surveyor, SurveyorFault};
