//! rudderstream's data plane: routes transactions, finds holders, runs functions it holds.

#![deny(missing_docs)]

pub mod adapter;
pub mod agent;
pub mod cluster_view;
pub mod control_session;
pub mod drivers;
pub mod failure_detector;
pub mod holder;
pub mod ledger;
pub mod owners;
pub mod pool;
pub mod request_pipeline;
pub mod settings;
