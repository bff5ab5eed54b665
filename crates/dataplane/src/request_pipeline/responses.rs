//! What a caller is told of an outcome or a refusal.

use common::adapter::{CallerResponse, NotRunKind};
use common::frames::{RequestFailureReason, RequestOutcome};
use common::http::BodyError;
use common::identity::FunctionKey;
use std::time::Duration;

/// A refusal that no later try changes.
pub fn permanent_rejection(kind: NotRunKind, reason: &'static str) -> CallerResponse {
    CallerResponse::NotRun {
        kind,
        reason,
        header: None,
        retry_after: None,
    }
}

/// Refused at the door, with a hint when to come back.
pub fn retryable_rejection(reason: RequestFailureReason, retry_after: Duration) -> CallerResponse {
    CallerResponse::NotRun {
        kind: not_run_kind(reason),
        reason: reason.as_str(),
        header: None,
        retry_after: Some(retry_after),
    }
}

/// What a caller is told of a body that was not read.
pub fn body_error_response(error: &BodyError) -> CallerResponse {
    match error {
        BodyError::TooLarge => permanent_rejection(NotRunKind::TooLarge, "body_too_large"),
        BodyError::Interrupted | BodyError::TooSlow => {
            permanent_rejection(NotRunKind::BadRequest, "bad_body")
        }
    }
}

/// What a caller is told of a transaction that has ended.
pub fn outcome_response(function: FunctionKey, outcome: RequestOutcome) -> CallerResponse {
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

/// When it makes sense to ask what became of a transaction, with its own identity, or to try another:
/// a silent holder is replaced when its grant has ended.
fn retry_after_of(reason: RequestFailureReason) -> Duration {
    match reason {
        RequestFailureReason::HolderUnreachable => Duration::from_millis(3000),
        _ => Duration::from_millis(1000),
    }
}

/// That no route leads here is said only by the door, from a table in force; what a holder with another
/// table says is no more than a reason to come back.
fn not_run_kind(reason: RequestFailureReason) -> NotRunKind {
    match reason {
        RequestFailureReason::RetryBudgetSpent => NotRunKind::RetryBudgetSpent,
        RequestFailureReason::RejectedBefore => NotRunKind::Conflict,
        _ => NotRunKind::Unavailable,
    }
}
