//! Checks of a caller's request before anything is done with it.

use common::adapter::{CallerResponse, IngressCodec, NotRunKind};
use common::identity::IdempotencyKey;
use hyper::header::{CONTENT_LENGTH, HeaderMap};
use std::time::Duration;

/// What makes a call unfit before its body is read.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RequestRejection {
    /// This header is missing or malformed.
    Header(&'static str),
    /// The body is too large.
    TooLarge,
}

impl From<RequestRejection> for CallerResponse {
    fn from(rejection: RequestRejection) -> Self {
        let (kind, reason, header) = match rejection {
            RequestRejection::Header(header) => {
                (NotRunKind::BadRequest, "bad_header", Some(header))
            }
            RequestRejection::TooLarge => (NotRunKind::TooLarge, "body_too_large", None),
        };
        Self::NotRun {
            kind,
            reason,
            header,
            retry_after: None,
        }
    }
}

const MAX_IDEMPOTENCY_KEY_LENGTH: usize = 128;

/// The try's identity: letters, digits and `-_.:`, at most 128 of them.
pub fn identity(
    ingress: &dyn IngressCodec,
    headers: &HeaderMap,
) -> Result<IdempotencyKey, RequestRejection> {
    let is_allowed =
        |character: char| character.is_ascii_alphanumeric() || "-_.:".contains(character);
    headers
        .get(ingress.idempotency_key_header())
        .and_then(|value| value.to_str().ok())
        .filter(|text| !text.is_empty() && text.len() <= MAX_IDEMPOTENCY_KEY_LENGTH)
        .filter(|text| text.chars().all(is_allowed))
        .map(IdempotencyKey::from)
        .ok_or_else(|| RequestRejection::Header(ingress.idempotency_key_header()))
}

/// How long the caller waits, in whole milliseconds.
pub fn timeout(
    ingress: &dyn IngressCodec,
    headers: &HeaderMap,
) -> Result<Duration, RequestRejection> {
    headers
        .get(ingress.timeout_header())
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<u64>().ok())
        .filter(|millis| (1..=60_000).contains(millis))
        .map(Duration::from_millis)
        .ok_or_else(|| RequestRejection::Header(ingress.timeout_header()))
}

/// Refuses a body whose announced length is too large, before any of it is read.
pub fn check_content_length(
    headers: &HeaderMap,
    max_body_bytes: usize,
) -> Result<(), RequestRejection> {
    let content_length = headers
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<usize>().ok());
    match content_length {
        Some(length) if length > max_body_bytes => Err(RequestRejection::TooLarge),
        _ => Ok(()),
    }
}
