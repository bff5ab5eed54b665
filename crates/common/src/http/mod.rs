//! The little that every program needs around hyper: serving, calling, JSON.

mod call;
mod head;
mod keeping;
mod lines;
mod serve;

pub use call::{CallFault, Called, call, call_json, connect, exchange};
pub use head::{has_marked_end, header_text, is_merged, single_text};
pub use keeping::{closes, kept_for};
pub use lines::{LinesEnd, follow_lines};
pub use serve::{
    Body, BodyFault, CallerTimes, Served, full, json_response, read_body, serve, serve_callers,
    serve_connection, stream_body, text_response,
};
