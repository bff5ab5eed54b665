//! Compares the native HTTP protocols for callers and runners with fixtures: the bytes of each request and response,
//! and the values decoded from them.

#[path = "../../../../testing/support/caller_responses.rs"]
mod caller_responses;
mod callers;
#[path = "../../../../testing/support/forms.rs"]
mod forms;
#[path = "../../../../testing/support/http_forms.rs"]
mod http_forms;
mod ingress;
mod runners;
#[path = "../../../../testing/support/wire.rs"]
mod wire;

use common::frames::HeaderField;

/// Compares `seen` with the fixture `name`.
pub(crate) fn check(name: &str, seen: &str) {
    forms::check(env!("CARGO_MANIFEST_DIR"), name, seen);
}

/// Returns a header field that is forwarded unchanged.
pub(crate) fn forwarded_header_field() -> HeaderField {
    HeaderField {
        name: "x-own".into(),
        value: b"kept".to_vec().into(),
    }
}
