//! Validation of callers' requests before they are forwarded.

use common::adapter::{CallerResponse, IngressCodec, NotRunKind};
use common::frames::RequestFailureReason;
use common::http::BodyError;
use common::identity::IdempotencyKey;
use hyper::header::{CONTENT_LENGTH, HeaderMap};
use std::time::Duration;

/// Why a request was rejected before it was forwarded. No runner has received such a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RequestRejection {
    /// The named header is missing or malformed.
    Header(&'static str),
    /// No route matches.
    NoRoute,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The body could not be read.
    BodyUnreadable,
    /// This daemon is not serving requests at present.
    NotServing {
        /// The delay after which the caller may retry.
        retry_after: Duration,
    },
}

impl From<BodyError> for RequestRejection {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::TooLarge => Self::BodyTooLarge,
            BodyError::Interrupted | BodyError::TooSlow => Self::BodyUnreadable,
        }
    }
}

impl From<RequestRejection> for CallerResponse {
    fn from(rejection: RequestRejection) -> Self {
        let permanent = |kind, reason, header| Self::NotRun {
            kind,
            reason,
            header,
            retry_after: None,
        };
        match rejection {
            RequestRejection::Header(header) => {
                permanent(NotRunKind::BadRequest, "bad_header", Some(header))
            }
            RequestRejection::NoRoute => permanent(NotRunKind::NoRoute, "no_route", None),
            RequestRejection::BodyTooLarge => {
                permanent(NotRunKind::TooLarge, "body_too_large", None)
            }
            RequestRejection::BodyUnreadable => permanent(NotRunKind::BadRequest, "bad_body", None),
            RequestRejection::NotServing { retry_after } => Self::NotRun {
                kind: NotRunKind::Unavailable,
                reason: RequestFailureReason::NotServing.as_str(),
                header: None,
                retry_after: Some(retry_after),
            },
        }
    }
}

/// The maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_LENGTH: usize = 128;

/// Parses the idempotency key: 1 to 128 ASCII letters, digits or `-_.:`.
pub(crate) fn parse_idempotency_key(
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

/// Parses the caller's time-out: an integer number of milliseconds from 1 to 60 000.
pub(crate) fn parse_timeout(
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

/// Rejects a request whose `content-length` exceeds the limit, before any of the body is read.
pub(crate) fn check_content_length(
    headers: &HeaderMap,
    max_body_bytes: usize,
) -> Result<(), RequestRejection> {
    let content_length = headers
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<usize>().ok());
    match content_length {
        Some(length) if length > max_body_bytes => Err(RequestRejection::BodyTooLarge),
        _ => Ok(()),
    }
}
