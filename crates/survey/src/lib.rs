//! rudderstream's control plane: the core's election and document, the leader's desk, operators' HTTP.

pub mod boot;
pub mod core;
pub mod desk;
pub mod disk;
pub mod drivers;
pub mod plane;
