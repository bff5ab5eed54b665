//! Whether and for how long the peer keeps a connection open.

use hyper::header::{CONNECTION, HeaderMap};
use std::time::Duration;

fn header_tokens<'a>(headers: &'a HeaderMap, name: &'a str) -> impl Iterator<Item = &'a str> {
    headers
        .get_all(name)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(str::trim)
}

/// Returns whether the peer closes the connection after this response.
pub fn closes_connection(headers: &HeaderMap) -> bool {
    header_tokens(headers, CONNECTION.as_str()).any(|token| token.eq_ignore_ascii_case("close"))
}

/// Returns how long the peer keeps an idle connection open, if its `keep-alive` header says so.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    header_tokens(headers, "keep-alive").find_map(|token| {
        let (name, seconds) = token.split_once('=')?;
        let is_timeout = name.trim().eq_ignore_ascii_case("timeout");
        let seconds = seconds.trim().parse().ok().filter(|_| is_timeout)?;
        Some(Duration::from_secs(seconds))
    })
}
