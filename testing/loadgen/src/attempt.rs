//! One attempt at a request: its HTTP request, and the record of its outcome.

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

/// One attempt at a request.
pub(super) struct Attempt<'a> {
    pub(super) route: &'a PlannedRoute,
    pub(super) identity: &'a str,
    /// The identity of the first attempt, if this is a retry.
    pub(super) repeat_of: Option<&'a str>,
    pub(super) timeout: Duration,
    pub(super) body: Bytes,
}

impl PlannedRoute {
    /// The body of a request; no two are alike.
    pub(super) fn body(&self, identity: &str, rng: &mut SeededRng) -> Bytes {
        let mut body = json!({"of": identity, "salt": rng.number()});
        if let Some(work) = self.work {
            body["work_ms"] = json!(work.as_millis() as u64);
        }
        Bytes::from(body.to_string())
    }
}

impl Attempt<'_> {
    /// The HTTP request; none if the plan's path is no valid URI.
    pub(super) fn request(&self, ingress: SocketAddress) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(self.route.method.clone())
            .uri(&self.route.path)
            .header(HOST, ingress.to_string())
            .header(CONTENT_TYPE, "application/json")
            .header(seal::IDEMPOTENCY_KEY_HEADER, self.identity)
            .header(seal::TIMEOUT_HEADER, self.timeout.as_millis().to_string());
        if let Some(first_identity) = self.repeat_of {
            request = request.header(seal::REPEAT_OF_HEADER, first_identity);
        }
        request.body(Full::new(self.body.clone())).ok()
    }

    /// Adds what is known of every attempt to the record of its outcome.
    pub(super) fn complete_record(
        &self,
        record: &mut Value,
        sent_at: MonotonicTime,
        ingress: Option<SocketAddress>,
    ) {
        record["kind"] = json!("transaction");
        record["at"] = json!(sent_at.0);
        record["end"] = json!(MonotonicTime::now().0);
        record["id"] = json!(self.identity);
        record["function"] = json!(self.route.function);
        record["path"] = json!(self.route.path);
        record["once"] = json!(self.route.once);
        record["budget_ms"] = json!(self.timeout.as_millis() as u64);
        record["door"] = json!(ingress.map(|ingress| ingress.to_string()));
        if let Some(first_identity) = self.repeat_of {
            record["repeat_of"] = json!(first_identity);
        }
    }
}

/// The outcome of a response as a record: its headers, and for an answer whether the seal and the body are right.
pub(super) fn read_outcome(
    route: &PlannedRoute,
    identity: &str,
    sent_body: &[u8],
    called: &CallResponse,
) -> Value {
    let body = called.json();
    let outcome = header_text(&called.headers, seal::OUTCOME_HEADER);
    let mut end = json!({"outcome": outcome, "status": called.status.as_u16()});
    if outcome == "answer" {
        let function_text = header_text(&called.headers, seal::FUNCTION_HEADER);
        let runner_text = header_text(&called.headers, seal::RUNNER_HEADER);
        let is_sealed = match (function_text.parse::<FunctionKey>(), runner_text.parse()) {
            (Ok(key), Ok(runner)) => {
                let idempotency_key = IdempotencyKey::from(identity);
                let right_seal = seal::seal(&idempotency_key, &key, runner, false, &called.body);
                right_seal == header_text(&called.headers, seal::SEAL_HEADER)
                    && key.name.as_str().starts_with(&route.function)
            }
            _ => false,
        };
        let is_own_body = body["transaction"] == json!(identity)
            && body["echo"] == json!(seal::hex(&seal::digest(sent_body)));
        end["sealed"] = json!(is_sealed && is_own_body);
        end["runner"] = json!(runner_text);
    } else {
        end["reason"] = body["reason"].clone();
        end["retry_after_ms"] = body["retry_after_ms"].clone();
    }
    end
}
