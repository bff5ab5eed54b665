//! The native HTTP protocols towards callers and runners: the bytes of every response and request, and what is read.

#[path = "../../../testing/support/forms.rs"]
mod forms;
#[path = "../../../testing/support/wire.rs"]
mod wire;

use common::adapter::{
    CallerResponse, IngressCodec, NotRunKind, ReadinessProbe, RunnerCodec, RunnerRequest,
    RunnerResponse, SealKind,
};
use common::clock::MonotonicTime;
use common::frames::{
    DaemonFrame, DaemonMessage, Flag, HeaderField, Host, LengthPrefixed, RequestFailureReason,
    RequestOutcome, RequestPayload, SocketAddress, append_frame, decode, read_channel, read_frame,
};
use common::identity::{
    FencingToken, FunctionKey, IdempotencyKey, InstanceId, RunnerId, ShortString, Version,
};
use common::rules::Rules;
use common::seal;
use common::spec::{Document, RoutingTable, read_spec};
use dataplane::adapter::{NativeIngressCodec, NativeRunnerCodec};
use dataplane::drivers::{ByteStream, Connector, DaemonAdapters, Opening, State};
use dataplane::request_pipeline::handle_request;
use dataplane::server::serve_ingress;
use dataplane::settings::DaemonSettings;
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use serde_json::{Value, json};
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};

const SERVING: Duration = Duration::from_secs(600);

fn check(name: &str, seen: &str) {
    forms::check(env!("CARGO_MANIFEST_DIR"), name, seen);
}

fn append_section(text: &mut String, what: &str, message: &str) {
    let _ = writeln!(text, "## {what}\n{message}\n");
}

fn function() -> FunctionKey {
    FunctionKey::new("pay", Version(2))
}

fn runner() -> RunnerId {
    RunnerId {
        fencing_token: FencingToken(0x5_0000_0007),
        ordinal: 0x2b,
    }
}

fn address(text: &str) -> SocketAddress {
    SocketAddress(text.parse().expect("an address"))
}

/// All reasons, by their number on the wire.
fn reasons() -> Vec<(u8, RequestFailureReason)> {
    let read = |number: u8| {
        decode::<RequestFailureReason>(&[number])
            .ok()
            .map(|reason| (number, reason))
    };
    (0..=u8::MAX).filter_map(read).collect()
}

fn answer(status: u16, seal_text: &str) -> RequestOutcome {
    RequestOutcome::Response {
        status,
        seal: seal_text.as_bytes().to_vec().into(),
        runner: runner(),
        header_fields: LengthPrefixed(vec![HeaderField {
            name: "x-own".into(),
            value: b"kept".to_vec().into(),
        }]),
        body: br#"{"paid": true}"#.to_vec().into(),
    }
}

/// The response to every outcome that the ingress codec can encode.
#[tokio::test]
async fn every_outcome_has_its_response() {
    let mut text = String::new();
    let idempotency_key = IdempotencyKey::from("try-1");
    let kinds = [
        ("bad", NotRunKind::BadRequest),
        ("no route", NotRunKind::NoRoute),
        ("conflict", NotRunKind::Conflict),
        ("too large", NotRunKind::TooLarge),
        ("too many", NotRunKind::RetryBudgetSpent),
        ("unavailable", NotRunKind::Unavailable),
    ];
    for (kind_name, kind) in kinds {
        for millis in [None, Some(0), Some(50), Some(1000), Some(1001)] {
            let header = (kind == NotRunKind::BadRequest).then_some(seal::TIMEOUT);
            let retry_after = millis.map(Duration::from_millis);
            let caller_response = CallerResponse::NotRun {
                kind,
                reason: "the_reason",
                header,
                retry_after,
            };
            let message = wire::response(
                NativeIngressCodec.write_response(Some(&idempotency_key), caller_response),
            )
            .await;
            append_section(
                &mut text,
                &format!("not run, {kind_name}, {millis:?} ms"),
                &message,
            );
        }
    }
    let unnamed = CallerResponse::NotRun {
        kind: NotRunKind::BadRequest,
        reason: "bad_header",
        header: Some(seal::IDEMPOTENCY_KEY),
        retry_after: None,
    };
    append_section(
        &mut text,
        "without an identity",
        &wire::response(NativeIngressCodec.write_response(None, unnamed)).await,
    );
    for (number, reason) in reasons() {
        let caller_response = CallerResponse::Unknown {
            reason,
            retry_after: Duration::from_millis(1500),
        };
        let message = wire::response(
            NativeIngressCodec.write_response(Some(&idempotency_key), caller_response),
        )
        .await;
        append_section(&mut text, &format!("unknown, {number}"), &message);
    }
    for status in [200, 201, 204, 302, 404, 503, 1000] {
        let caller_response = CallerResponse::Response {
            function: function().in_region(&"north".into()),
            runner: runner(),
            status,
            seal: "5ea1".into(),
            header_fields: vec![HeaderField {
                name: "x-own".into(),
                value: b"kept".to_vec().into(),
            }],
            body: r#"{"paid": true}"#.into(),
        };
        let message = wire::response(
            NativeIngressCodec.write_response(Some(&idempotency_key), caller_response),
        )
        .await;
        append_section(&mut text, &format!("answer, {status}"), &message);
    }
    check("door_responses.txt", &text);
}

/// A connector to one other daemon, which ends every request with the same outcome.
struct OneDaemon {
    outcome: RequestOutcome,
}

impl Connector for OneDaemon {
    fn to_runner(&self, _: SocketAddress) -> Opening<'_> {
        Box::pin(async { Err(std::io::ErrorKind::ConnectionRefused.into()) })
    }

    fn to_daemon(&self, _: SocketAddress) -> Opening<'_> {
        let outcome = self.outcome.clone();
        Box::pin(async move {
            let (near, far) = duplex(64 << 10);
            tokio::spawn(end_each(far, outcome));
            Ok(Box::new(near) as Box<dyn ByteStream>)
        })
    }
}

async fn end_each(mut stream: DuplexStream, outcome: RequestOutcome) {
    if read_channel(&mut stream).await.is_err() {
        return;
    }
    while let Ok(DaemonFrame { correlation, .. }) = read_frame::<_, DaemonFrame>(&mut stream).await
    {
        let (outcome, holder) = (outcome.clone(), LengthPrefixed(Vec::new()));
        let body = DaemonMessage::Completed {
            outcome,
            holder,
            regional_tenths: 0,
        };
        let mut sent = Vec::new();
        append_frame(&mut sent, &DaemonFrame { correlation, body }).expect("a frame");
        if stream.write_all(&sent).await.is_err() {
            return;
        }
    }
}

fn host(name: &str, own_address: &str) -> Host {
    Host {
        member: name.into(),
        incarnation: 7.into(),
        zone: "here".into(),
        address: address(own_address),
        eligible: Flag(true),
        link_mbps: 0,
    }
}

fn table() -> RoutingTable {
    let spec = json!({
        "functions": {"pay": {"memory_mb": 100, "boot_ms": 200, "slots": 4}},
        "routes": {"pay": {
            "method": "POST", "path": "/pay", "function": "pay", "budget_ms": 5000, "kind": "once",
        }},
    });
    let checked_spec = read_spec(&spec).expect("a spec");
    let mut document = Document::founding(Vec::new()).with_spec(spec, &checked_spec, "c".into());
    document.document_version.version = Version(2);
    RoutingTable::build(&document.view()).expect("a table")
}

/// A daemon that receives callers, and another that holds the function and ends every request with the same outcome.
fn daemon(outcome: RequestOutcome, is_serving: bool) -> Arc<State> {
    let settings = json!({
        "member": "daemon-2", "locality": "here", "place": "10.0.0.2:7000", "door": "10.0.0.2:8080",
        "seeds": ["10.0.0.1:7100"], "platform": "10.0.9.9:80", "largest_body": 64,
    });
    let source = common::readers::SettingsSource::from_value("FILE", settings);
    let startup = DaemonSettings::read(&source).expect("settings");
    let adapters = DaemonAdapters::native(startup.platform);
    let connector = Arc::new(OneDaemon { outcome });
    let own_host = host("daemon-2", "10.0.0.2:7000");
    let state = State::without_control(startup, own_host, Rules::ALL_ENFORCED, adapters, connector);
    state.agent.set_routing_table(Arc::new(table()));
    state
        .agent
        .set_live_hosts(vec![host("daemon-1", "10.0.0.1:7000")]);
    if is_serving {
        state
            .agent
            .set_session_lease_end(MonotonicTime::now() + SERVING);
    }
    Arc::new(state)
}

async fn answered(state: &Arc<State>, request_text: &str) -> String {
    let state = state.clone();
    let handler = move |request| {
        let state = state.clone();
        async move { handle_request(&state, request).await }
    };
    wire::answered_by(handler, request_text).await
}

const GOOD: &str = "POST /pay HTTP/1.1\nhost: h\nrudder-transaction: try-1\nrudder-budget-ms: 3000\n\
                    content-length: 2\nconnection: close\n\n{}";

/// The statuses and retry times that callers get for each reason of each outcome, from the outcome of the function's
/// holder to the bytes of the response.
#[tokio::test]
async fn every_reason_reaches_the_caller_as_before() {
    let mut text = String::new();
    for (number, reason) in reasons() {
        let outcomes = [
            (
                "not run",
                RequestOutcome::NotRun {
                    reason,
                    retry_after_ms: 1234,
                },
            ),
            ("unknown", RequestOutcome::Unknown { reason }),
        ];
        for (outcome_name, outcome) in outcomes {
            // A daemon that is not the holder is tried again until the deadline.
            let is_retried = reason == RequestFailureReason::NotHolder;
            let time_limit_ms = if is_retried { "800" } else { "3000" };
            let message =
                answered(&daemon(outcome, true), &GOOD.replace("3000", time_limit_ms)).await;
            append_section(&mut text, &format!("{outcome_name}, {number}"), &message);
        }
    }
    for status in [200, 404, 500] {
        let message = answered(&daemon(answer(status, "5ea1"), true), GOOD).await;
        append_section(&mut text, &format!("answer, {status}"), &message);
    }
    check("caller_outcomes.txt", &text);
}

/// What is counted of each request, with the labels on which operators' dashboards rely.
#[tokio::test]
async fn every_end_is_counted_under_its_labels() {
    let mut text = String::new();
    let outcomes = [
        ("answer", answer(200, "5ea1")),
        (
            "not run",
            RequestOutcome::NotRun {
                reason: RequestFailureReason::QueueFull,
                retry_after_ms: 9,
            },
        ),
        (
            "unknown",
            RequestOutcome::Unknown {
                reason: RequestFailureReason::ResponseLost,
            },
        ),
    ];
    for (what, outcome) in outcomes {
        let state = daemon(outcome, true);
        for request_text in [GOOD.to_owned(), GOOD.replace("/pay", "/nowhere")] {
            answered(&state, &request_text).await;
        }
        answered(&state, &GOOD.replace("3000", "0")).await;
        let page = String::from_utf8(state.gauges.page()).expect("text");
        let is_count = |line: &&str| {
            line.starts_with("rudder_transactions_total")
                || line.starts_with("rudder_owner_lookups_total")
                || line.starts_with("rudder_request_seconds_count")
        };
        let counts: Vec<&str> = page.lines().filter(is_count).collect();
        append_section(&mut text, what, &counts.join("\n"));
    }
    check("counted_ends.txt", &text);
}

#[tokio::test]
async fn requests_are_refused_at_the_ingress_as_before() {
    let mut text = String::new();
    let serving = daemon(answer(200, "5ea1"), true);
    let header_fields = |changed: &str, new: &str| GOOD.replace(changed, new);
    let key_field = "rudder-transaction: try-1\n";
    let timeout_field = "rudder-budget-ms: 3000\n";
    let cases = [
        ("no identity", header_fields(key_field, "")),
        (
            "empty identity",
            header_fields(key_field, "rudder-transaction:\n"),
        ),
        (
            "identity with a blank",
            header_fields(key_field, "rudder-transaction: a b\n"),
        ),
        ("identity of 128", header_fields("try-1", &"x".repeat(128))),
        ("identity of 129", header_fields("try-1", &"x".repeat(129))),
        ("every letter", header_fields("try-1", "aZ09-_.:")),
        ("no budget", header_fields(timeout_field, "")),
        (
            "budget of 0",
            header_fields(timeout_field, "rudder-budget-ms: 0\n"),
        ),
        (
            "budget of 60001",
            header_fields(timeout_field, "rudder-budget-ms: 60001\n"),
        ),
        (
            "budget of 60000",
            header_fields(timeout_field, "rudder-budget-ms: 60000\n"),
        ),
        (
            "budget in words",
            header_fields(timeout_field, "rudder-budget-ms: long\n"),
        ),
        ("no route", header_fields("/pay", "/nowhere")),
        ("other method", header_fields("POST", "PUT")),
        (
            "announced too large",
            header_fields("content-length: 2", "content-length: 65"),
        ),
        (
            "a repeat",
            header_fields(
                timeout_field,
                "rudder-budget-ms: 3000\nrudder-repeat-of: try-0\n",
            ),
        ),
    ];
    for (what, request_text) in cases {
        append_section(&mut text, what, &answered(&serving, &request_text).await);
    }
    let chunked = header_fields("content-length: 2", "transfer-encoding: chunked");
    let too_long = chunked.replace("{}", &format!("50\r\n{}\r\n0\r\n\r\n", "x".repeat(80)));
    append_section(
        &mut text,
        "body too large",
        &answered(&serving, &too_long).await,
    );
    let idle = daemon(answer(200, "5ea1"), false);
    append_section(&mut text, "not serving", &answered(&idle, GOOD).await);
    append_section(
        &mut text,
        "not serving, no route",
        &answered(&idle, &header_fields("/pay", "/nowhere")).await,
    );
    serving.agent.begin_leaving();
    append_section(&mut text, "leaving", &answered(&serving, GOOD).await);
    check("door_refusals.txt", &text);
}

#[tokio::test]
async fn readiness_and_metrics_are_asked_at_the_ingress_as_before() {
    let mut text = String::new();
    for is_serving in [true, false] {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port");
        let address = listener.local_addr().expect("an address");
        let (_stop_sender, stop) = tokio::sync::watch::channel(false);
        tokio::spawn(serve_ingress(
            daemon(answer(200, "5ea1"), is_serving),
            listener,
            stop,
        ));
        for path in ["/ready", "/metrics"] {
            let mut stream = tokio::net::TcpStream::connect(address)
                .await
                .expect("a connection");
            let request = format!("GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
            stream
                .write_all(request.as_bytes())
                .await
                .expect("it is sent");
            let mut message = String::new();
            stream
                .read_to_string(&mut message)
                .await
                .expect("an answer");
            let (head, body) = message.split_once("\r\n\r\n").expect("a head");
            let is_steady =
                |line: &&str| !line.starts_with("date: ") && !line.starts_with("content-length: ");
            let head: Vec<&str> = head.lines().filter(is_steady).collect();
            let body = if path == "/ready" { body } else { "(the page)" };
            append_section(&mut text, path, &format!("{}\n\n{body}", head.join("\n")));
        }
    }
    check("door_pages.txt", &text);
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
async fn requests_to_runners_have_their_bytes() {
    let mut text = String::new();
    let idempotency_key = IdempotencyKey::from("try-1");
    let complete = function();
    let regional = function().in_region(&"north".into());
    let payload = RequestPayload {
        method: ShortString::from("PUT"),
        target: ShortString::from("/pay?now=1"),
        header_fields: LengthPrefixed(vec![HeaderField {
            name: "x-own".into(),
            value: b"kept".to_vec().into(),
        }]),
        body: br#"{"sum": 3}"#.to_vec().into(),
    };
    let plain_instance = InstanceId::from("life-9");
    let named_instance = InstanceId::from("life-9.r-7-1f");
    let usual = || runner_request(&idempotency_key, &complete, &payload);
    let sent = [
        ("a runner", usual()),
        (
            "a runner of a region",
            RunnerRequest {
                function: &regional,
                ..usual()
            },
        ),
        (
            "a runner with a life",
            RunnerRequest {
                instance: Some(&plain_instance),
                ..usual()
            },
        ),
        (
            "a runner started under a name",
            RunnerRequest {
                instance: Some(&named_instance),
                ..usual()
            },
        ),
        (
            "no runner named",
            RunnerRequest {
                runner: None,
                ..usual()
            },
        ),
        (
            "no time left",
            RunnerRequest {
                remaining_time: Duration::ZERO,
                ..usual()
            },
        ),
    ];
    for (what, runner_request) in sent {
        let request = NativeRunnerCodec
            .encode_request(address("10.0.0.3:9000"), &runner_request)
            .expect("a request");
        append_section(&mut text, what, &wire::request(request).await);
    }
    check("runner_requests.txt", &text);
}

fn headers(header_fields: &[(&str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in header_fields {
        let name = HeaderName::from_bytes(name.as_bytes()).expect("a name");
        headers.append(name, HeaderValue::from_str(value).expect("a value"));
    }
    headers
}

fn shown(caller_response: &RunnerResponse) -> Value {
    json!({
        "status": caller_response.status,
        "transaction": caller_response.idempotency_key,
        "function": caller_response.function,
        "runner": caller_response.runner,
        "seal": caller_response.seal,
        "seal is a digest": caller_response.seal_kind == SealKind::Digest,
        "did not run": caller_response.did_not_run,
        "is another": caller_response.is_other_runner,
        "is doubtful": caller_response.is_unreliable,
        "closes": caller_response.closes_connection,
        "lines": caller_response.header_fields.len(),
        "body": String::from_utf8_lossy(&caller_response.body),
    })
}

#[test]
fn runners_answers_are_read_and_asked_for_as_before() {
    let complete = [
        ("rudder-transaction", "try-1"),
        ("rudder-function", "pay@2"),
        ("rudder-runner", "r-500000007-2b"),
        ("rudder-seal", "5ea1"),
    ];
    let with = |more: (&'static str, &'static str)| headers(&[&complete[..], &[more]].concat());
    let answers = [
        ("whole", 200, headers(&complete)),
        ("empty", 200, headers(&[])),
        ("shed", 503, with(("rudder-shed", "1"))),
        ("closing", 200, with(("connection", "Keep-Alive, Close"))),
        ("two seals", 200, with(("rudder-seal", "5ea2"))),
        ("misdirected", 421, headers(&complete)),
        ("encoded", 200, with(("content-encoding", "gzip"))),
    ];
    let mut seen = json!({});
    for (what, status, headers) in answers {
        let status = StatusCode::from_u16(status).expect("a status");
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

#[test]
fn callers_headers_have_their_names() {
    let repeat = headers(&[(seal::REPEAT_OF, "try-0")]);
    let seen = json!({
        "identity": NativeIngressCodec.idempotency_key_header(),
        "budget": NativeIngressCodec.timeout_header(),
        "ready": NativeIngressCodec.readiness_path(),
        "a repeat": NativeIngressCodec.is_repeat(&repeat),
        "no repeat": NativeIngressCodec.is_repeat(&headers(&[])),
        "lines passed on": NativeIngressCodec.forwarded_header_fields(&headers(&[("x-own", "kept")])).len(),
        "names": [
            seal::IDEMPOTENCY_KEY, seal::TIMEOUT, seal::REPEAT_OF, seal::OUTCOME, seal::FUNCTION,
            seal::RUNNER, seal::FENCING_TOKEN, seal::ATTEMPT, seal::SEAL, seal::REJECTED,
        ],
    });
    check("caller_headers.json", &format!("{seen:#}\n"));
}
