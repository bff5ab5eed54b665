//! The codec of callers' requests and of the responses to them.

use crate::frames::{HeaderField, RequestFailureReason};
use crate::http::HttpResponse;
use crate::identity::{FunctionKey, IdempotencyKey, RunnerId};
use bytes::Bytes;
use hyper::header::HeaderMap;
use std::time::Duration;

/// Why a request was not run, as far as callers can tell the reasons apart.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum NotRunKind {
    /// A header is missing or invalid, or the body is incomplete.
    BadRequest,
    /// No route matches in a spec that is known to be in force.
    NoRoute,
    /// A request with the same idempotency key was rejected before.
    Conflict,
    /// The body is too large.
    TooLarge,
    /// The retry budget is spent.
    RetryBudgetSpent,
    /// The request may be retried later.
    Unavailable,
}

/// The response to a caller.
#[derive(Clone, Debug)]
pub enum CallerResponse {
    /// The runner's complete response.
    Response {
        /// The function that ran.
        function: FunctionKey,
        /// The runner.
        runner: RunnerId,
        /// The HTTP status.
        status: u16,
        /// The seal as the runner sent it.
        seal: Bytes,
        /// The header fields that are forwarded.
        header_fields: Vec<HeaderField>,
        /// The body.
        body: Bytes,
    },
    /// The request was not run, and will not be.
    NotRun {
        /// The kind of rejection.
        kind: NotRunKind,
        /// The code of the reason, such as `not_serving`.
        reason: &'static str,
        /// The missing or invalid header, if that is the reason.
        header: Option<&'static str>,
        /// The suggested delay before a retry.
        retry_after: Option<Duration>,
    },
    /// The request may have run.
    Unknown {
        /// The reason.
        reason: RequestFailureReason,
        /// The suggested delay before the caller repeats the request.
        retry_after: Duration,
    },
}

/// Reads callers' requests and writes the responses, in one dialect of HTTP.
pub trait IngressCodec: Send + Sync {
    /// Returns the name of the header with the idempotency key.
    fn idempotency_key_header(&self) -> &'static str;

    /// Returns the name of the header with the caller's time-out in milliseconds.
    fn timeout_header(&self) -> &'static str;

    /// Returns whether the caller marked the request as a repeat.
    fn is_repeat(&self, headers: &HeaderMap) -> bool;

    /// Returns the header fields to forward to the runner.
    fn forwarded_header_fields(&self, headers: &HeaderMap) -> Vec<HeaderField>;

    /// Writes a response. `idempotency_key` is `None` if its header was missing or invalid.
    fn write_response(
        &self,
        idempotency_key: Option<&IdempotencyKey>,
        caller_response: CallerResponse,
    ) -> HttpResponse;

    /// Returns the path that answers readiness probes in addition to the product's own path.
    fn readiness_path(&self) -> &'static str;
}
