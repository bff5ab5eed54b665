//! The little that every program needs around hyper: serving, calling, JSON.

mod call;
mod lines;
mod serve;

pub use call::{CallFault, Called, call, call_json, connect, exchange};
pub use lines::{LinesEnd, follow_lines};
pub use serve::{
    Body, BodyFault, Served, full, json_response, read_body, serve, stream_body, text_response,
};
