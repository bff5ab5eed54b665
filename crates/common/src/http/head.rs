//! Functions that read the heads of responses and set headers.

use super::closes_connection;
use hyper::StatusCode;
use hyper::ext::ReasonPhrase;
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue, IntoHeaderName, TRANSFER_ENCODING};
use hyper::http::Extensions;

/// The beginning of every response's status line.
const PROTOCOL: &[u8] = b"HTTP/1.";

/// Returns the first value of a header; empty if the header is missing or is not text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
}

/// Returns the value of a header; empty if the header is missing, is not text, or is ambiguous because it occurs more
/// than once.
pub fn single_header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (Some(value), None) => value.to_str().unwrap_or(""),
        _ => "",
    }
}

/// Returns whether a response declares where its body ends (RFC 9112, section 6.3). A body that ends with its
/// connection may have been truncated unnoticed.
fn declares_body_end(status: StatusCode, headers: &HeaderMap) -> bool {
    let has_no_body = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    has_no_body || headers.contains_key(CONTENT_LENGTH) || is_chunked(headers)
}

/// Returns whether the end of a response's body can be told from a lost connection: the head declares the end, or
/// announces that the connection closes after the body. A body that ends with its connection is complete if the
/// connection was closed gracefully; if the connection was reset, reading the body fails (RFC 9112, section 8).
pub fn has_reliable_end(status: StatusCode, headers: &HeaderMap) -> bool {
    declares_body_end(status, headers) || closes_connection(headers)
}

fn is_chunked(headers: &HeaderMap) -> bool {
    let last_value = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let last_coding = last_value
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.rsplit(',').next());
    last_coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

/// Returns whether this head contains the beginning of another response, which happens when a surplus response was
/// truncated and the next response on the connection follows it.
pub fn is_merged_response(headers: &HeaderMap, extensions: &Extensions) -> bool {
    let reason = extensions.get::<ReasonPhrase>();
    reason.is_some_and(|reason| contains_protocol_name(reason.as_bytes()))
        || headers
            .values()
            .any(|value| contains_protocol_name(value.as_bytes()))
}

fn contains_protocol_name(text: &[u8]) -> bool {
    text.windows(PROTOCOL.len())
        .any(|window| window == PROTOCOL)
}

/// Sets a header. Leaves the headers unchanged if `text` is not a valid header value.
pub fn set_header(headers: &mut HeaderMap, name: impl IntoHeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}
