//! The responses to callers by the outcome of their requests.

use common::adapter::{CallerResponse, NotRunKind};
use common::frames::{RequestFailureReason, RequestOutcome};
use common::identity::FunctionKey;
use std::time::Duration;

/// The response to a request that has ended with this outcome.
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
            retry_after: retry_after_of(reason),
        },
    }
}

/// When to retry after an unknown outcome, with the same idempotency key to learn the outcome or with another: a holder
/// that was lost is replaced once its lease has ended.
fn retry_after_of(reason: RequestFailureReason) -> Duration {
    match reason {
        RequestFailureReason::HolderUnreachable => Duration::from_millis(3000),
        _ => Duration::from_millis(1000),
    }
}

/// The kind of a rejection by a holder. That no route matches is decided at the ingress only: a holder whose spec differs
/// is a reason to retry.
fn not_run_kind(reason: RequestFailureReason) -> NotRunKind {
    match reason {
        RequestFailureReason::RetryBudgetSpent => NotRunKind::RetryBudgetSpent,
        RequestFailureReason::RejectedBefore => NotRunKind::Conflict,
        _ => NotRunKind::Unavailable,
    }
}
