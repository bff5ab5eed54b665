//! HTTP on top of hyper: servers, calls, headers of responses, and streams of lines.

mod call;
mod head;
mod keep_alive;
mod line_stream;
mod serve;

pub use call::{CallError, CallResponse, call, call_json, connect, exchange};
pub use head::{has_reliable_end, header_text, is_merged_response, set_header, single_header_text};
pub use keep_alive::{closes_connection, keep_alive_timeout};
pub use line_stream::{LineStreamEnd, follow_lines};
pub use serve::{
    Body, BodyError, ConnectionLimits, HttpResponse, full_body, json_response, read_body, serve,
    serve_connection, serve_with_limits, stream_body, text_response,
};
