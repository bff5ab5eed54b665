//! rudderstream's control plane: the core's election and document, the leader's leader state, operators' HTTP.

#![deny(missing_docs)]

pub mod consensus;
pub mod controller_state;
pub mod drivers;
pub mod leader_state;
pub mod settings;
pub mod storage;
