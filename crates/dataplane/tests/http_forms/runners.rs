//! The requests to runners, and the values decoded from their responses.

use crate::http_forms::{address, append_section, function, headers, runner};
use crate::{check, forwarded_header_field, wire};
use common::adapter::{ReadinessProbe, RunnerCodec, RunnerRequest, RunnerResponse, SealKind};
use common::frames::{LengthPrefixed, RequestPayload};
use common::identity::{FunctionKey, IdempotencyKey, InstanceId, ShortString};
use common::seal;
use dataplane::adapter::NativeRunnerCodec;
use hyper::StatusCode;
use serde_json::{Value, json};
use std::time::Duration;

fn payload() -> RequestPayload {
    RequestPayload {
        method: ShortString::from("PUT"),
        target: ShortString::from("/pay?now=1"),
        header_fields: LengthPrefixed(vec![forwarded_header_field()]),
        body: br#"{"sum": 3}"#.to_vec().into(),
    }
}

fn runner_request<'a>(
    idempotency_key: &'a IdempotencyKey,
    function: &'a FunctionKey,
    payload: &'a RequestPayload,
) -> RunnerRequest<'a> {
    RunnerRequest {
        idempotency_key,
        function,
        runner: Some(runner()),
        instance: None,
        attempt: 3,
        remaining_time: Duration::from_micros(1_234_900),
        payload,
    }
}

#[tokio::test]
async fn requests_to_runners_match_the_fixture() {
    let mut text = String::new();
    let idempotency_key = IdempotencyKey::from("try-1");
    let plain_function = function();
    let regional_function = function().in_region(&"north".into());
    let payload = payload();
    let plain_instance = InstanceId::from("life-9");
    let named_instance = InstanceId::from("life-9.r-7-1f");
    let default_request = || runner_request(&idempotency_key, &plain_function, &payload);
    let with_regional_function = RunnerRequest {
        function: &regional_function,
        ..default_request()
    };
    let with_instance = RunnerRequest {
        instance: Some(&plain_instance),
        ..default_request()
    };
    let with_named_instance = RunnerRequest {
        instance: Some(&named_instance),
        ..default_request()
    };
    let without_runner = RunnerRequest {
        runner: None,
        ..default_request()
    };
    let without_time = RunnerRequest {
        remaining_time: Duration::ZERO,
        ..default_request()
    };
    let sent = [
        ("a runner", default_request()),
        ("a runner of a region", with_regional_function),
        ("a runner with a life", with_instance),
        ("a runner started under a name", with_named_instance),
        ("no runner named", without_runner),
        ("no time left", without_time),
    ];
    for (what, runner_request) in sent {
        let request = NativeRunnerCodec
            .encode_request(address("10.0.0.3:9000"), &runner_request)
            .expect("request should encode");
        append_section(&mut text, what, &wire::request(request).await);
    }
    check("runner_requests.txt", &text);
}

fn shown(runner_response: &RunnerResponse) -> Value {
    json!({
        "status": runner_response.status,
        "transaction": runner_response.idempotency_key,
        "function": runner_response.function,
        "runner": runner_response.runner,
        "seal": runner_response.seal,
        "seal is a digest": runner_response.seal_kind == SealKind::Digest,
        "did not run": runner_response.did_not_run,
        "is another": runner_response.is_other_runner,
        "is doubtful": runner_response.is_unreliable,
        "closes": runner_response.closes_connection,
        "lines": runner_response.header_fields.len(),
        "body": String::from_utf8_lossy(&runner_response.body),
    })
}

#[test]
fn decoded_runner_responses_and_probes_match_the_fixture() {
    let complete_headers = [
        ("rudder-transaction", "try-1"),
        ("rudder-function", "pay@2"),
        ("rudder-runner", "r-500000007-2b"),
        ("rudder-seal", "5ea1"),
    ];
    let with =
        |more: (&'static str, &'static str)| headers(&[&complete_headers[..], &[more]].concat());
    let responses = [
        ("whole", 200, headers(&complete_headers)),
        ("empty", 200, headers(&[])),
        ("shed", 503, with(("rudder-shed", "1"))),
        ("closing", 200, with(("connection", "Keep-Alive, Close"))),
        ("two seals", 200, with(("rudder-seal", "5ea2"))),
        ("misdirected", 421, headers(&complete_headers)),
        ("encoded", 200, with(("content-encoding", "gzip"))),
    ];
    let mut seen = json!({});
    for (what, status, headers) in responses {
        let status = StatusCode::from_u16(status).expect("status should be valid");
        seen[what] = shown(&NativeRunnerCodec.decode_response(status, &headers, "the body".into()));
    }
    let readiness_probe = match NativeRunnerCodec.readiness_probe() {
        ReadinessProbe::HttpGet(path, header) => json!([path, header]),
        ReadinessProbe::TcpConnect => json!("connecting"),
    };
    seen["asked for readiness"] = readiness_probe;
    seen["asked for what it runs"] = json!(NativeRunnerCodec.running_path());
    let idempotency_key = IdempotencyKey::from("try-1");
    for is_rejected in [true, false] {
        let digest = seal::seal(
            &idempotency_key,
            &function(),
            runner(),
            is_rejected,
            b"the body",
        );
        seen[if is_rejected {
            "seal of a refusal"
        } else {
            "seal of an answer"
        }] = json!(digest);
    }
    check("runner_answers.json", &format!("{seen:#}\n"));
}
