//! The commands of the test tool.

pub mod capacity;
pub mod control_side;
pub mod days;
pub mod flags;
pub mod simulator;
pub mod soak;
