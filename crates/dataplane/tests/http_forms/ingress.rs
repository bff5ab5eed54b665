//! The ingress of a daemon: what callers receive for each outcome and rejection, and the readiness and metrics pages.

use crate::caller_responses::reasons;
use crate::http_forms::{address, append_section, runner};
use crate::{check, forwarded_header_field, wire};
use common::clock::MonotonicTime;
use common::frames::{
    DaemonFrame, DaemonMessage, Flag, Host, LengthPrefixed, RequestFailureReason, RequestOutcome,
    RequestPayload, SocketAddress, append_frame, read_channel, read_frame,
};
use common::identity::Version;
use common::rules::Rules;
use common::spec::{Document, RoutingTable, read_spec};
use dataplane::drivers::{ByteStream, ConnectFuture, Connector, DaemonAdapters, State};
use dataplane::request_pipeline::handle_request;
use dataplane::server::serve_ingress;
use dataplane::settings::DaemonSettings;
use serde_json::json;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};

/// The remaining time of the session lease of a serving daemon.
const SESSION_LEASE_TIME: Duration = Duration::from_secs(600);

fn response(status: u16, seal_text: &str) -> RequestOutcome {
    RequestOutcome::Response {
        status,
        seal: seal_text.as_bytes().to_vec().into(),
        runner: runner(),
        header_fields: LengthPrefixed(vec![forwarded_header_field()]),
        body: br#"{"paid": true}"#.to_vec().into(),
    }
}

/// A connector to another daemon, which replies to every request with the same outcome. Runners are unreachable.
#[derive(Clone)]
struct FixedOutcomeConnector {
    outcome: RequestOutcome,
    /// The payloads of the requests that the other daemon has received.
    received: Arc<Mutex<Vec<RequestPayload>>>,
}

impl FixedOutcomeConnector {
    fn new(outcome: RequestOutcome) -> Self {
        Self {
            outcome,
            received: Arc::default(),
        }
    }

    async fn reply_to_each(self, mut stream: DuplexStream) {
        if read_channel(&mut stream).await.is_err() {
            return;
        }
        while let Ok(frame) = read_frame::<_, DaemonFrame>(&mut stream).await {
            if let DaemonMessage::FunctionRequest { payload, .. } = frame.body {
                let mut received = self.received.lock().expect("lock should not be poisoned");
                received.push(payload);
            }
            let body = DaemonMessage::Completed {
                outcome: self.outcome.clone(),
                holder: LengthPrefixed(Vec::new()),
                regional_delay_deciseconds: 0,
            };
            let reply = DaemonFrame {
                correlation: frame.correlation,
                body,
            };
            let mut sent = Vec::new();
            append_frame(&mut sent, &reply).expect("frame should encode");
            if stream.write_all(&sent).await.is_err() {
                return;
            }
        }
    }
}

impl Connector for FixedOutcomeConnector {
    fn connect_to_runner(&self, _: SocketAddress) -> ConnectFuture<'_> {
        Box::pin(async { Err(std::io::ErrorKind::ConnectionRefused.into()) })
    }

    fn connect_to_daemon(&self, _: SocketAddress) -> ConnectFuture<'_> {
        let daemon = self.clone();
        Box::pin(async move {
            let (near, far) = duplex(64 << 10);
            tokio::spawn(daemon.reply_to_each(far));
            Ok(Box::new(near) as Box<dyn ByteStream>)
        })
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
    let checked_spec = read_spec(&spec).expect("spec should be valid");
    let mut document = Document::initial(Vec::new()).with_spec(spec, &checked_spec, "c".into());
    document.document_version.version = Version(2);
    RoutingTable::build(&document.view()).expect("routing table should build")
}

/// Returns the state of an ingress daemon. Another daemon, the only live host, replies to every request with `outcome`.
fn daemon(outcome: RequestOutcome, is_serving: bool) -> Arc<State> {
    daemon_with(FixedOutcomeConnector::new(outcome), is_serving)
}

fn daemon_with(connector: FixedOutcomeConnector, is_serving: bool) -> Arc<State> {
    let settings = json!({
        "member": "daemon-2", "locality": "here", "place": "10.0.0.2:7000", "door": "10.0.0.2:8080",
        "seeds": ["10.0.0.1:7100"], "platform": "10.0.9.9:80", "largest_body": 64,
    });
    let source = common::readers::SettingsSource::from_value("FILE", settings);
    let daemon_settings = DaemonSettings::read(&source).expect("settings should be valid");
    let adapters = DaemonAdapters::native(daemon_settings.platform);
    let own_host = host("daemon-2", "10.0.0.2:7000");
    let state = State::without_control(
        daemon_settings,
        own_host,
        Rules::ALL_ENFORCED,
        adapters,
        Arc::new(connector),
    );
    state.agent.set_routing_table(Arc::new(table()));
    state
        .agent
        .set_live_hosts(vec![host("daemon-1", "10.0.0.1:7000")]);
    if is_serving {
        state
            .agent
            .set_session_lease_end(MonotonicTime::now() + SESSION_LEASE_TIME);
    }
    Arc::new(state)
}

async fn response_to(state: &Arc<State>, request_text: &str) -> String {
    let state = state.clone();
    let handler = move |request| {
        let state = state.clone();
        async move { handle_request(&state, request).await }
    };
    wire::response_from(handler, request_text).await
}

/// A request that the ingress accepts.
const VALID_REQUEST: &str = "POST /pay HTTP/1.1\nhost: h\nrudder-transaction: try-1\nrudder-budget-ms: 3000\n\
                    content-length: 2\nconnection: close\n\n{}";

/// Guards against a change in the status or retry time that callers receive for an outcome and its reason. Covers the
/// path from the outcome at the function's holder to the bytes of the response.
#[tokio::test]
async fn responses_for_every_failure_reason_match_the_fixture() {
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
            // A request rejected with `NotHolder` is retried until its deadline; a short one keeps the test fast.
            let is_retried = reason == RequestFailureReason::NotHolder;
            let time_limit_ms = if is_retried { "800" } else { "3000" };
            let message = response_to(
                &daemon(outcome, true),
                &VALID_REQUEST.replace("3000", time_limit_ms),
            )
            .await;
            append_section(&mut text, &format!("{outcome_name}, {number}"), &message);
        }
    }
    for status in [200, 404, 500] {
        let message = response_to(&daemon(response(status, "5ea1"), true), VALID_REQUEST).await;
        append_section(&mut text, &format!("answer, {status}"), &message);
    }
    check("caller_outcomes.txt", &text);
}

/// Guards against a holder that cannot find the route of a forwarded request (review/7): the message has to carry all
/// that routes match by, also the host, which the product's own callers' headers do not pass on to runners.
#[tokio::test]
async fn a_forwarded_request_carries_what_routes_match_by() {
    let connector = FixedOutcomeConnector::new(response(200, "5ea1"));
    let state = daemon_with(connector.clone(), true);
    response_to(&state, &changed("/pay", "/pay?host=other")).await;
    let received = connector
        .received
        .lock()
        .expect("lock should not be poisoned");
    let payload = received.first().expect("request should be forwarded");
    assert_eq!((payload.host(), payload.path()), ("h", "/pay"));
    assert!(table().route_of(payload).is_some());
}

/// Guards against a change in the request metrics and their labels, on which operators' dashboards rely.
#[tokio::test]
async fn request_metrics_match_the_fixture() {
    let mut text = String::new();
    let outcomes = [
        ("answer", response(200, "5ea1")),
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
        for request_text in [
            VALID_REQUEST.to_owned(),
            VALID_REQUEST.replace("/pay", "/nowhere"),
        ] {
            response_to(&state, &request_text).await;
        }
        response_to(&state, &VALID_REQUEST.replace("3000", "0")).await;
        let page = String::from_utf8(state.metrics.page()).expect("metrics should be UTF-8");
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

/// Returns `VALID_REQUEST` with one part replaced.
fn changed(part: &str, new: &str) -> String {
    VALID_REQUEST.replace(part, new)
}

/// Returns requests that differ from `VALID_REQUEST` in a header field or the route, each with a name of the change.
fn changed_requests() -> Vec<(&'static str, String)> {
    let with_key = |line: &str| changed("rudder-transaction: try-1\n", line);
    let with_timeout = |line: &str| changed("rudder-budget-ms: 3000\n", line);
    let too_large = changed("content-length: 2", "content-length: 65");
    let repeat = with_timeout("rudder-budget-ms: 3000\nrudder-repeat-of: try-0\n");
    vec![
        ("no identity", with_key("")),
        ("empty identity", with_key("rudder-transaction:\n")),
        (
            "identity with a blank",
            with_key("rudder-transaction: a b\n"),
        ),
        ("identity of 128", changed("try-1", &"x".repeat(128))),
        ("identity of 129", changed("try-1", &"x".repeat(129))),
        ("every letter", changed("try-1", "aZ09-_.:")),
        ("no budget", with_timeout("")),
        ("budget of 0", with_timeout("rudder-budget-ms: 0\n")),
        ("budget of 60001", with_timeout("rudder-budget-ms: 60001\n")),
        ("budget of 60000", with_timeout("rudder-budget-ms: 60000\n")),
        ("budget in words", with_timeout("rudder-budget-ms: long\n")),
        ("no route", changed("/pay", "/nowhere")),
        ("other method", changed("POST", "PUT")),
        ("announced too large", too_large),
        ("a repeat", repeat),
    ]
}

#[tokio::test]
async fn rejections_at_the_ingress_match_the_fixture() {
    let mut text = String::new();
    let serving = daemon(response(200, "5ea1"), true);
    for (what, request_text) in changed_requests() {
        append_section(&mut text, what, &response_to(&serving, &request_text).await);
    }
    let chunked = changed("content-length: 2", "transfer-encoding: chunked");
    let too_long = chunked.replace("{}", &format!("50\r\n{}\r\n0\r\n\r\n", "x".repeat(80)));
    let message = response_to(&serving, &too_long).await;
    append_section(&mut text, "body too large", &message);
    let not_serving = daemon(response(200, "5ea1"), false);
    append_section(
        &mut text,
        "not serving",
        &response_to(&not_serving, VALID_REQUEST).await,
    );
    let message = response_to(&not_serving, &changed("/pay", "/nowhere")).await;
    append_section(&mut text, "not serving, no route", &message);
    serving.agent.begin_leaving();
    append_section(
        &mut text,
        "leaving",
        &response_to(&serving, VALID_REQUEST).await,
    );
    check("door_refusals.txt", &text);
}

#[tokio::test]
async fn readiness_and_metrics_responses_match_the_fixture() {
    let mut text = String::new();
    for is_serving in [true, false] {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("listener should bind");
        let address = listener
            .local_addr()
            .expect("listener should have an address");
        let (_stop_sender, stop) = tokio::sync::watch::channel(false);
        tokio::spawn(serve_ingress(
            daemon(response(200, "5ea1"), is_serving),
            listener,
            stop,
        ));
        for path in ["/ready", "/metrics"] {
            let mut stream = tokio::net::TcpStream::connect(address)
                .await
                .expect("connection should open");
            let request = format!("GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
            stream
                .write_all(request.as_bytes())
                .await
                .expect("request should be written");
            let mut message = String::new();
            stream
                .read_to_string(&mut message)
                .await
                .expect("response should be read");
            let (head, body) = message
                .split_once("\r\n\r\n")
                .expect("response should have a head");
            let is_constant =
                |line: &&str| !line.starts_with("date: ") && !line.starts_with("content-length: ");
            let head: Vec<&str> = head.lines().filter(is_constant).collect();
            let body = if path == "/ready" { body } else { "(the page)" };
            append_section(&mut text, path, &format!("{}\n\n{body}", head.join("\n")));
        }
    }
    check("door_pages.txt", &text);
}
