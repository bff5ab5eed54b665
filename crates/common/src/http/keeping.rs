//! Whether and how long the other side keeps a connection.

use hyper::header::{CONNECTION, HeaderMap};
use std::time::Duration;

fn words<'a>(headers: &'a HeaderMap, name: &'a str) -> impl Iterator<Item = &'a str> {
    headers
        .get_all(name)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(str::trim)
}

/// Whether the other side ends the connection after this answer.
pub fn closes(headers: &HeaderMap) -> bool {
    words(headers, CONNECTION.as_str()).any(|word| word.eq_ignore_ascii_case("close"))
}

/// How long the other side keeps an idle connection, if it says so.
pub fn kept_for(headers: &HeaderMap) -> Option<Duration> {
    words(headers, "keep-alive").find_map(|word| {
        let (name, seconds) = word.split_once('=')?;
        let is_timeout = name.trim().eq_ignore_ascii_case("timeout");
        let seconds = seconds.trim().parse().ok().filter(|_| is_timeout)?;
        Some(Duration::from_secs(seconds))
    })
}
