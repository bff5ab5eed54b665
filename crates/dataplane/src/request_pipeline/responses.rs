//! Converts the outcomes of requests into responses to callers.

use common::adapter::{CallerResponse, NotRunKind};
use common::frames::{RequestFailureReason, RequestOutcome};
use common::identity::FunctionKey;
use std::time::Duration;

/// Returns the response to a request that ended with this outcome.
pub(crate) fn outcome_response(function: FunctionKey, outcome: RequestOutcome) -> CallerResponse {
    match outcome {
        RequestOutcome::Response {
            status,
            seal,
            runner,
            header_fields,
            body,
        } => CallerResponse::Response {
            function,
            runner,
            status,
            seal: seal.0,
            header_fields: header_fields.0,
            body: body.0,
        },
        RequestOutcome::NotRun {
            reason,
            retry_after_ms,
        } => CallerResponse::NotRun {
            kind: not_run_kind(reason),
            reason: reason.as_str(),
            header: None,
            retry_after: Some(Duration::from_millis(u64::from(retry_after_ms))),
        },
        RequestOutcome::Unknown { reason } => CallerResponse::Unknown {
            reason,
            retry_after: unknown_retry_after(reason),
        },
    }
}

/// Returns the delay before a retry after an unknown outcome, either with the same idempotency key to learn the
/// outcome, or with a new one. It is longer for a lost holder, which is replaced only after its lease has ended.
fn unknown_retry_after(reason: RequestFailureReason) -> Duration {
    match reason {
        RequestFailureReason::HolderUnreachable => Duration::from_millis(3000),
        _ => Duration::from_millis(1000),
    }
}

/// Maps a failure reason to the kind of rejection that the caller sees. Never [`NotRunKind::NoRoute`]: only the ingress
/// daemon decides that no route matches, and a request rejected by a holder with a different spec can be retried.
fn not_run_kind(reason: RequestFailureReason) -> NotRunKind {
    match reason {
        RequestFailureReason::RetryBudgetSpent => NotRunKind::RetryBudgetSpent,
        RequestFailureReason::RejectedBefore => NotRunKind::Conflict,
        _ => NotRunKind::Unavailable,
    }
}
