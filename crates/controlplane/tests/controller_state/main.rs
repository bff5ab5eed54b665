//! Tests of the controller's state machine: bootstrap, redirects, replacement of voters, numbered changes, changes of
//! items, shutdown, and the product's own API.

mod bootstrap;
mod change_numbering;
mod cluster;
mod operations;
mod operator_api;
mod operator_changes;
#[path = "../../../../testing/support/operator_requests.rs"]
mod operator_requests;
mod shutdown;
