//! The responses to callers, and the request headers that are read.

use crate::caller_responses::{append_not_run, append_unknown, response_text};
use crate::http_forms::{append_section, function, headers, runner};
use crate::{check, forwarded_header_field};
use common::adapter::{CallerResponse, IngressCodec};
use common::identity::IdempotencyKey;
use common::seal;
use dataplane::adapter::NativeIngressCodec;
use serde_json::json;

async fn append_runner_responses(text: &mut String, key: &IdempotencyKey) {
    for status in [200, 201, 204, 302, 404, 503, 1000] {
        let response = CallerResponse::Response {
            function: function().in_region(&"north".into()),
            runner: runner(),
            status,
            seal: "5ea1".into(),
            header_fields: vec![forwarded_header_field()],
            body: r#"{"paid": true}"#.into(),
        };
        let message = response_text(&NativeIngressCodec, Some(key), response).await;
        append_section(text, &format!("answer, {status}"), &message);
    }
}

/// Guards against a change in the bytes of a response to callers, for every outcome that the ingress codec can encode.
#[tokio::test]
async fn responses_to_callers_match_the_fixture() {
    let mut text = String::new();
    let idempotency_key = IdempotencyKey::from("try-1");
    let retry_times_ms = [None, Some(0), Some(50), Some(1000), Some(1001)];
    let codec = &NativeIngressCodec;
    append_not_run(&mut text, codec, &idempotency_key, &retry_times_ms).await;
    append_unknown(&mut text, codec, &idempotency_key).await;
    append_runner_responses(&mut text, &idempotency_key).await;
    check("door_responses.txt", &text);
}

#[test]
fn names_of_caller_headers_match_the_fixture() {
    let repeat = headers(&[(seal::REPEAT_OF_HEADER, "try-0")]);
    let seen = json!({
        "identity": NativeIngressCodec.idempotency_key_header(),
        "budget": NativeIngressCodec.timeout_header(),
        "ready": NativeIngressCodec.readiness_path(),
        "a repeat": NativeIngressCodec.is_repeat(&repeat),
        "no repeat": NativeIngressCodec.is_repeat(&headers(&[])),
        "lines passed on": NativeIngressCodec.forwarded_header_fields(&headers(&[("x-own", "kept")])).len(),
        "names": [
            seal::IDEMPOTENCY_KEY_HEADER, seal::TIMEOUT_HEADER, seal::REPEAT_OF_HEADER, seal::OUTCOME_HEADER, seal::FUNCTION_HEADER,
            seal::RUNNER_HEADER, seal::FENCING_TOKEN_HEADER, seal::ATTEMPT_HEADER, seal::SEAL_HEADER, seal::REJECTED_HEADER,
        ],
    });
    check("caller_headers.json", &format!("{seen:#}\n"));
}
