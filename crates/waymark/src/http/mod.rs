//! The little that every program needs around hyper: serving, calling, JSON.

mod call;
mod serve;

pub use call::{CallFault, Called, call, call_json};
pub use serve::{Body, Served, full, json_response, read_body, serve, BodyFault, stream_body, text_response};
