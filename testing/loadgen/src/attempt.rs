//! One attempt to get a request answered: its HTTP request and the record of its outcome.

use crate::plan::PlannedRoute;
use bytes::Bytes;
use common::clock::MonotonicTime;
use common::frames::SocketAddress;
use common::http::{CallResponse, header_text};
use common::identity::{FunctionKey, IdempotencyKey};
use common::rng::SeededRng;
use common::seal;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{CONTENT_TYPE, HOST};
use serde_json::{Value, json};
use std::time::Duration;

/// One attempt to get a request answered.
pub(super) struct Attempt<'a> {
    pub(super) route: &'a PlannedRoute,
    pub(super) idempotency_key: &'a str,
    /// The idempotency key of the first attempt, if this is a retry.
    pub(super) repeat_of: Option<&'a str>,
    pub(super) timeout: Duration,
    pub(super) body: Bytes,
}

impl PlannedRoute {
    /// Creates the body of a request, which differs from all others.
    pub(super) fn body(&self, idempotency_key: &str, rng: &mut SeededRng) -> Bytes {
        let mut body = json!({"of": idempotency_key, "salt": rng.number()});
        if let Some(run_duration) = self.run_duration {
            body["work_ms"] = json!(run_duration.as_millis() as u64);
        }
        Bytes::from(body.to_string())
    }
}

impl Attempt<'_> {
    /// Builds the HTTP request. Returns `None` if the path in the plan is not a valid URI.
    pub(super) fn request(&self, ingress: SocketAddress) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(self.route.method.clone())
            .uri(&self.route.path)
            .header(HOST, ingress.to_string())
            .header(CONTENT_TYPE, "application/json")
            .header(seal::IDEMPOTENCY_KEY_HEADER, self.idempotency_key)
            .header(seal::TIMEOUT_HEADER, self.timeout.as_millis().to_string());
        if let Some(first_key) = self.repeat_of {
            request = request.header(seal::REPEAT_OF_HEADER, first_key);
        }
        request.body(Full::new(self.body.clone())).ok()
    }

    /// Adds the fields that every attempt has to the record of its outcome.
    pub(super) fn complete_record(
        &self,
        record: &mut Value,
        sent_at: MonotonicTime,
        ingress: Option<SocketAddress>,
    ) {
        record["kind"] = json!("transaction");
        record["at"] = json!(sent_at.0);
        record["end"] = json!(MonotonicTime::now().0);
        record["id"] = json!(self.idempotency_key);
        record["function"] = json!(self.route.function);
        record["path"] = json!(self.route.path);
        record["once"] = json!(self.route.once);
        record["budget_ms"] = json!(self.timeout.as_millis() as u64);
        record["door"] = json!(ingress.map(|ingress| ingress.to_string()));
        if let Some(first_key) = self.repeat_of {
            record["repeat_of"] = json!(first_key);
        }
    }
}

/// Reads the outcome of a request from its response, as a record. For an answer, the record states whether the seal and
/// the body are valid.
pub(super) fn read_outcome(
    route: &PlannedRoute,
    idempotency_key: &str,
    sent_body: &[u8],
    response: &CallResponse,
) -> Value {
    let body = response.json();
    let outcome = header_text(&response.headers, seal::OUTCOME_HEADER);
    let mut record = json!({"outcome": outcome, "status": response.status.as_u16()});
    if outcome == "answer" {
        let function_text = header_text(&response.headers, seal::FUNCTION_HEADER);
        let runner_text = header_text(&response.headers, seal::RUNNER_HEADER);
        let is_sealed = match (function_text.parse::<FunctionKey>(), runner_text.parse()) {
            (Ok(key), Ok(runner)) => {
                let idempotency_key = IdempotencyKey::from(idempotency_key);
                let expected_seal =
                    seal::seal(&idempotency_key, &key, runner, false, &response.body);
                expected_seal == header_text(&response.headers, seal::SEAL_HEADER)
                    && key.name.as_str().starts_with(&route.function)
            }
            _ => false,
        };
        let is_expected_body = body["transaction"] == json!(idempotency_key)
            && body["echo"] == json!(seal::hex(&seal::digest(sent_body)));
        record["sealed"] = json!(is_sealed && is_expected_body);
        record["runner"] = json!(runner_text);
    } else {
        record["reason"] = body["reason"].clone();
        record["retry_after_ms"] = body["retry_after_ms"].clone();
    }
    record
}
