//! What is read from callers and said to them.

use crate::frames::{HeaderField, RequestFailureReason};
use crate::http::HttpResponse;
use crate::identity::{FunctionKey, IdempotencyKey, RunnerId};
use bytes::Bytes;
use hyper::header::HeaderMap;
use std::time::Duration;

/// Why nothing ran, as far as a caller has to know.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum NotRunKind {
    /// A header is missing or wrong, or the body broke off.
    BadRequest,
    /// No route fits, in a spec that is known to be in force.
    NoRoute,
    /// The identity was refused before.
    Conflict,
    /// The body is too large.
    TooLarge,
    /// The extra tries are spent.
    RetryBudgetSpent,
    /// Come back later.
    Unavailable,
}

/// What a caller is told.
#[derive(Clone, Debug)]
pub enum CallerResponse {
    /// The runner's whole answer.
    Response {
        /// The function that ran.
        function: FunctionKey,
        /// The runner.
        runner: RunnerId,
        /// The runner's status.
        status: u16,
        /// The seal as the runner gave it.
        seal: Bytes,
        /// Header lines that go with it.
        header_fields: Vec<HeaderField>,
        /// The body.
        body: Bytes,
    },
    /// Nothing ran and nothing will.
    NotRun {
        /// What kind of refusal.
        kind: NotRunKind,
        /// Why, for people.
        reason: &'static str,
        /// The header at fault, if one is.
        header: Option<&'static str>,
        /// When coming back is worth it.
        retry_after: Option<Duration>,
    },
    /// It may have run.
    Unknown {
        /// Why.
        reason: RequestFailureReason,
        /// When asking again is worth it.
        retry_after: Duration,
    },
}

/// How callers' HTTP is read and written.
pub trait IngressCodec: Send + Sync {
    /// The header that carries a try's identity.
    fn idempotency_key_header(&self) -> &'static str;

    /// The header that carries how many milliseconds the caller waits.
    fn timeout_header(&self) -> &'static str;

    /// Whether the caller marked the transaction a repeat.
    fn is_repeat(&self, headers: &HeaderMap) -> bool;

    /// The header lines that go on to a runner.
    fn forwarded_header_fields(&self, headers: &HeaderMap) -> Vec<HeaderField>;

    /// Writes an answer; the identity is known unless it was the header at fault.
    fn write_response(
        &self,
        idempotency_key: Option<&IdempotencyKey>,
        caller_response: CallerResponse,
    ) -> HttpResponse;

    /// The path at which readiness is asked, beside the product's own.
    fn readiness_path(&self) -> &'static str;
}
