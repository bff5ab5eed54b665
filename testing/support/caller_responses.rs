//! Responses of an ingress codec to requests that were not run, or whose outcome is unknown, as text for fixtures.
//! Including tests also need the modules `wire` and `http_forms`.

use crate::http_forms::append_section;
use crate::wire;
use common::adapter::{CallerResponse, IngressCodec, NotRunKind};
use common::frames::{RequestFailureReason, decode};
use common::identity::IdempotencyKey;
use std::time::Duration;

/// Returns every failure reason with its number on the wire.
pub(crate) fn reasons() -> Vec<(u8, RequestFailureReason)> {
    let read_reason = |number: u8| {
        decode::<RequestFailureReason>(&[number])
            .ok()
            .map(|reason| (number, reason))
    };
    (0..=u8::MAX).filter_map(read_reason).collect()
}

/// Returns the HTTP response to a caller as text.
pub(crate) async fn response_text(
    codec: &dyn IngressCodec,
    key: Option<&IdempotencyKey>,
    response: CallerResponse,
) -> String {
    wire::response(codec.write_response(key, response)).await
}

/// Appends the responses to requests that were not run: for each kind with each retry time, and one without an
/// idempotency key.
pub(crate) async fn append_not_run(
    text: &mut String,
    codec: &dyn IngressCodec,
    key: &IdempotencyKey,
    retry_times_ms: &[Option<u64>],
) {
    let kinds = [
        ("bad", NotRunKind::BadRequest),
        ("no route", NotRunKind::NoRoute),
        ("conflict", NotRunKind::Conflict),
        ("too large", NotRunKind::TooLarge),
        ("too many", NotRunKind::RetryBudgetSpent),
        ("unavailable", NotRunKind::Unavailable),
    ];
    for (kind_name, kind) in kinds {
        for millis in retry_times_ms {
            let response = CallerResponse::NotRun {
                kind,
                reason: "the_reason",
                header: (kind == NotRunKind::BadRequest).then_some(codec.timeout_header()),
                retry_after: millis.map(Duration::from_millis),
            };
            let heading = format!("not run, {kind_name}, {millis:?} ms");
            append_section(
                text,
                &heading,
                &response_text(codec, Some(key), response).await,
            );
        }
    }
    let without_key = CallerResponse::NotRun {
        kind: NotRunKind::BadRequest,
        reason: "bad_header",
        header: Some(codec.idempotency_key_header()),
        retry_after: None,
    };
    append_section(
        text,
        "without an identity",
        &response_text(codec, None, without_key).await,
    );
}

/// Appends the responses to requests whose outcome is unknown, for every reason.
pub(crate) async fn append_unknown(
    text: &mut String,
    codec: &dyn IngressCodec,
    key: &IdempotencyKey,
) {
    for (number, reason) in reasons() {
        let response = CallerResponse::Unknown {
            reason,
            retry_after: Duration::from_millis(1500),
        };
        let heading = format!("unknown, {number}");
        append_section(
            text,
            &heading,
            &response_text(codec, Some(key), response).await,
        );
    }
}
