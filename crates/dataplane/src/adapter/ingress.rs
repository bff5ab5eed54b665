//! The native HTTP protocol for callers.

use bytes::Bytes;
use common::adapter::{CallerResponse, IngressCodec, NotRunKind};
use common::frames::HeaderField;
use common::http::{HttpResponse, full_body, json_response};
use common::identity::{FunctionKey, IdempotencyKey, RunnerId};
use common::seal;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::json;
use std::time::Duration;

/// Encodes and decodes the native HTTP protocol for callers.
pub struct NativeIngressCodec;

fn set_header(response: &mut HttpResponse, name: &'static str, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        response
            .headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
}

fn set_retry_after(response: &mut HttpResponse, retry_after: Duration) {
    let seconds = retry_after.as_millis().div_ceil(1000).max(1).to_string();
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
}

fn status_for(kind: NotRunKind) -> StatusCode {
    match kind {
        NotRunKind::BadRequest => StatusCode::BAD_REQUEST,
        NotRunKind::NoRoute => StatusCode::NOT_FOUND,
        NotRunKind::Conflict => StatusCode::CONFLICT,
        NotRunKind::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        NotRunKind::RetryBudgetSpent => StatusCode::TOO_MANY_REQUESTS,
        NotRunKind::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn not_run(
    kind: NotRunKind,
    reason: &str,
    header: Option<&str>,
    retry_after: Option<Duration>,
) -> HttpResponse {
    let mut body = json!({"outcome": "not_run", "reason": reason});
    if let Some(header) = header {
        body["header"] = json!(header);
    }
    if let Some(retry_after) = retry_after {
        body["retry_after_ms"] = json!(retry_after.as_millis() as u64);
    }
    let mut response = json_response(status_for(kind), &body);
    set_header(&mut response, seal::OUTCOME_HEADER, "not_run");
    if let Some(retry_after) = retry_after {
        set_retry_after(&mut response, retry_after);
    }
    response
}

fn unknown(reason: &str, retry_after: Duration) -> HttpResponse {
    let body = json!({
        "outcome": "unknown",
        "reason": reason,
        "retry_after_ms": retry_after.as_millis() as u64,
    });
    let mut response = json_response(StatusCode::GATEWAY_TIMEOUT, &body);
    set_header(&mut response, seal::OUTCOME_HEADER, "unknown");
    set_retry_after(&mut response, retry_after);
    response
}

fn runner_response(
    function: &FunctionKey,
    runner: RunnerId,
    status: u16,
    body_seal: &[u8],
    body: Bytes,
) -> HttpResponse {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    set_header(&mut response, seal::OUTCOME_HEADER, "answer");
    set_header(&mut response, seal::FUNCTION_HEADER, &function.to_string());
    set_header(&mut response, seal::RUNNER_HEADER, &runner.to_string());
    set_header(
        &mut response,
        seal::SEAL_HEADER,
        std::str::from_utf8(body_seal).unwrap_or(""),
    );
    response
}

impl IngressCodec for NativeIngressCodec {
    fn idempotency_key_header(&self) -> &'static str {
        seal::IDEMPOTENCY_KEY_HEADER
    }

    fn timeout_header(&self) -> &'static str {
        seal::TIMEOUT_HEADER
    }

    fn is_repeat(&self, headers: &HeaderMap) -> bool {
        headers.contains_key(seal::REPEAT_OF_HEADER)
    }

    fn forwarded_header_fields(&self, _headers: &HeaderMap) -> Vec<HeaderField> {
        Vec::new()
    }

    fn write_response(
        &self,
        idempotency_key: Option<&IdempotencyKey>,
        caller_response: CallerResponse,
    ) -> HttpResponse {
        let mut response = match caller_response {
            CallerResponse::NotRun {
                kind,
                reason,
                header,
                retry_after,
            } => not_run(kind, reason, header, retry_after),
            CallerResponse::Unknown {
                reason,
                retry_after,
            } => unknown(reason.as_str(), retry_after),
            CallerResponse::Response {
                function,
                runner,
                status,
                seal: body_seal,
                body,
                ..
            } => runner_response(&function, runner, status, &body_seal, body),
        };
        if let Some(idempotency_key) = idempotency_key {
            set_header(
                &mut response,
                seal::IDEMPOTENCY_KEY_HEADER,
                idempotency_key.as_str(),
            );
        }
        response
    }

    fn readiness_path(&self) -> &'static str {
        "/ready"
    }
}
