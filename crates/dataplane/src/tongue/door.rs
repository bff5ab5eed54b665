//! Callers' HTTP in the product's own dialect.

use common::frames::HeadLine;
use common::http::{Served, full, json_response};
use common::identity::TransactionId;
use common::seal;
use common::tongue::{DoorTongue, NotRunKind, Said};
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::json;
use std::time::Duration;

/// Callers' HTTP as the product itself speaks it.
pub struct OwnDoor;

fn put(response: &mut Served, name: &'static str, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        response.headers_mut().insert(HeaderName::from_static(name), value);
    }
}

fn put_retry(response: &mut Served, come_back: Duration) {
    let seconds = come_back.as_millis().div_ceil(1000).max(1).to_string();
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
}

fn status_of(kind: NotRunKind) -> StatusCode {
    match kind {
        NotRunKind::Bad => StatusCode::BAD_REQUEST,
        NotRunKind::NoRoute => StatusCode::NOT_FOUND,
        NotRunKind::Conflict => StatusCode::CONFLICT,
        NotRunKind::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        NotRunKind::TooMany => StatusCode::TOO_MANY_REQUESTS,
        NotRunKind::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn not_run(
    kind: NotRunKind,
    reason: &str,
    header: Option<&str>,
    come_back: Option<Duration>,
) -> Served {
    let mut body = json!({"outcome": "not_run", "reason": reason});
    if let Some(header) = header {
        body["header"] = json!(header);
    }
    if let Some(come_back) = come_back {
        body["retry_after_ms"] = json!(come_back.as_millis() as u64);
    }
    let mut response = json_response(status_of(kind), &body);
    put(&mut response, seal::OUTCOME, "not_run");
    if let Some(come_back) = come_back {
        put_retry(&mut response, come_back);
    }
    response
}

fn unknown(reason: &str, come_back: Duration) -> Served {
    let body = json!({
        "outcome": "unknown",
        "reason": reason,
        "retry_after_ms": come_back.as_millis() as u64,
    });
    let mut response = json_response(StatusCode::GATEWAY_TIMEOUT, &body);
    put(&mut response, seal::OUTCOME, "unknown");
    put_retry(&mut response, come_back);
    response
}

impl DoorTongue for OwnDoor {
    fn identity_header(&self) -> &'static str {
        seal::TRANSACTION
    }

    fn budget_header(&self) -> &'static str {
        seal::BUDGET
    }

    fn is_repeat(&self, headers: &HeaderMap) -> bool {
        headers.contains_key(seal::REPEAT_OF)
    }

    fn passed_lines(&self, _headers: &HeaderMap) -> Vec<HeadLine> {
        Vec::new()
    }

    fn say(&self, transaction: Option<&TransactionId>, said: Said) -> Served {
        let mut response = match said {
            Said::NotRun { kind, reason, header, come_back } => {
                not_run(kind, reason, header, come_back)
            }
            Said::Unknown { reason, come_back } => unknown(reason.as_str(), come_back),
            Said::Answer { function, runner, status, seal: body_seal, body, .. } => {
                let mut response = Response::new(full(body));
                *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
                response
                    .headers_mut()
                    .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
                put(&mut response, seal::OUTCOME, "answer");
                put(&mut response, seal::FUNCTION, &function.to_string());
                put(&mut response, seal::RUNNER, &runner.to_string());
                put(&mut response, seal::SEAL, std::str::from_utf8(&body_seal).unwrap_or(""));
                response
            }
        };
        if let Some(transaction) = transaction {
            put(&mut response, seal::TRANSACTION, transaction.as_str());
        }
        response
    }

    fn ready_path(&self) -> &'static str {
        "/ready"
    }
}
