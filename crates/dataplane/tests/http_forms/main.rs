//! The native HTTP protocols towards callers and runners: the bytes of every response and request, and what is read.

#[path = "../../../../testing/support/caller_responses.rs"]
mod caller_responses;
mod callers;
#[path = "../../../../testing/support/forms.rs"]
mod forms;
mod ingress;
mod runners;
#[path = "../../../../testing/support/wire.rs"]
mod wire;

use common::frames::{HeaderField, SocketAddress};
use common::identity::{FencingToken, FunctionKey, RunnerId, Version};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use std::fmt::Write;

/// Compares a form with its fixture.
pub(crate) fn check(name: &str, seen: &str) {
    forms::check(env!("CARGO_MANIFEST_DIR"), name, seen);
}

/// Appends a message under a heading.
pub(crate) fn append_section(text: &mut String, what: &str, message: &str) {
    let _ = writeln!(text, "## {what}\n{message}\n");
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

/// A header field that is forwarded unchanged.
pub(crate) fn kept_header_field() -> HeaderField {
    HeaderField {
        name: "x-own".into(),
        value: b"kept".to_vec().into(),
    }
}
