//! Reading header lines.

use hyper::header::HeaderMap;

/// The text of a header line; empty when there is none, or when it is no text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}
