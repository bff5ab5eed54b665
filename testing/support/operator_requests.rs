//! Heads of operators' requests, for the tests that parse them.

use hyper::http::request::Parts;
use hyper::{Method, Request};

/// Returns the head of a request with the given headers.
pub(crate) fn request_head(method: &str, target: &str, headers: &[(&str, &str)]) -> Parts {
    let method = Method::from_bytes(method.as_bytes()).expect("a method");
    let mut request = Request::builder().method(method).uri(target);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(()).expect("a request").into_parts().0
}
