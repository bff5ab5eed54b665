//! The native HTTP protocols towards callers and runners: the bytes of every response and request, and what is read.

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

/// Compares a form with its fixture.
pub(crate) fn check(name: &str, seen: &str) {
    forms::check(env!("CARGO_MANIFEST_DIR"), name, seen);
}

/// A header field that is forwarded unchanged.
pub(crate) fn kept_header_field() -> HeaderField {
    HeaderField {
        name: "x-own".into(),
        value: b"kept".to_vec().into(),
    }
}
