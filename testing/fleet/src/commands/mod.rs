//! The commands of the test tool.

pub(crate) mod capacity;
pub(crate) mod control_plane;
pub(crate) mod days;
pub(crate) mod flags;
pub(crate) mod simulator;
pub(crate) mod soak;
