//! rudderstream's control plane: the core's election and document, the leader's leader state, operators' HTTP.

#![deny(missing_docs)]

pub mod boot;
pub mod controller_state;
pub mod core;
pub mod disk;
pub mod drivers;
pub mod leader_state;
