//! Helpers shared by the tests that compare HTTP messages with fixtures: a function, its runner, headers, and sections of
//! a fixture.

use common::frames::SocketAddress;
use common::identity::{FencingToken, FunctionKey, RunnerId, Version};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use std::fmt::Write;

/// Appends a message under a heading.
pub(crate) fn append_section(text: &mut String, heading: &str, message: &str) {
    let _ = writeln!(text, "## {heading}\n{message}\n");
}

pub(crate) fn function() -> FunctionKey {
    FunctionKey::new("pay", Version(2))
}

pub(crate) fn runner() -> RunnerId {
    RunnerId {
        fencing_token: FencingToken(0x5_0000_0007),
        ordinal: 0x2b,
    }
}

pub(crate) fn address(text: &str) -> SocketAddress {
    SocketAddress(text.parse().expect("an address"))
}

pub(crate) fn headers(header_fields: &[(&str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in header_fields {
        let name = HeaderName::from_bytes(name.as_bytes()).expect("a name");
        headers.append(name, HeaderValue::from_str(value).expect("a value"));
    }
    headers
}
