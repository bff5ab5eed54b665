//! A controller's HTTP responses with and without a leader, its readiness check and its metrics page. The controller
//! runs within the test process.

#[path = "../../../testing/support/forms.rs"]
mod forms;
#[path = "../../../testing/support/running_controller.rs"]
mod running_controller;

use controlplane::drivers::queue::InputKind;
use running_controller::{RunningController, create_data_directory, start_controller};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

fn check(name: &str, actual: &str) {
    forms::check(env!("CARGO_MANIFEST_DIR"), name, actual);
}

/// Sends a request and returns the head and the body of the response, without the parts that differ between runs.
async fn request(
    operators: SocketAddr,
    line: &str,
    extra_headers: &str,
    body: &str,
) -> (String, String) {
    let mut stream = TcpStream::connect(operators).await.expect("a connection");
    let length = body.len();
    let request = format!(
        "{line} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{extra_headers}content-length: {length}\r\n\r\n{body}"
    );
    let _ = stream.write_all(request.as_bytes()).await;
    let mut message = Vec::new();
    let _ = stream.read_to_end(&mut message).await;
    let message = String::from_utf8_lossy(&message).into_owned();
    let (head, body) = message.split_once("\r\n\r\n").unwrap_or((&message, ""));
    let is_deterministic =
        |line: &&str| !line.starts_with("date: ") && !line.starts_with("content-length: ");
    let head: Vec<&str> = head.lines().filter(is_deterministic).collect();
    (head.join("\n"), without_controller_id(body))
}

/// Returns a body without the random ID that a controller generates when it starts with an empty disk.
fn without_controller_id(body: &str) -> String {
    without_id_at("\"surveyor\":\"", &without_id_at("\"controller\":\"", body))
}

fn without_id_at(key: &str, body: &str) -> String {
    let mut parts = body.split(key);
    let first = parts.next().unwrap_or_default().to_owned();
    parts.fold(first, |shown, part| {
        let rest = part.trim_start_matches(|letter: char| letter.is_ascii_hexdigit());
        format!("{shown}{key}DRAWN{rest}")
    })
}

async fn append_exchange(text: &mut String, operators: SocketAddr, line: &str, body: &str) {
    let (head, response_body) = request(operators, line, "", body).await;
    let _ = writeln!(text, "## {line} {body}\n{head}\n\n{response_body}\n");
}

/// Starts a controller that bootstraps a quorum by itself, and waits until it is the leader.
async fn start_leader(data: &Path) -> RunningController {
    let running = start_controller(None, Some(data)).await;
    let began = Instant::now();
    loop {
        let (head, _) = request(running.operators, "GET /v1/spec", "", "").await;
        if head.starts_with("HTTP/1.1 200") {
            return running;
        }
        assert!(
            began.elapsed() < RESPONSE_TIMEOUT,
            "not elected as leader: {head}"
        );
    }
}

/// Returns a metrics page without its values, and with all kinds of inputs merged into one label value.
fn names_of(page: &str) -> String {
    let mut lines: Vec<String> = Vec::new();
    for line in page.lines() {
        let line = match line.rsplit_once(' ') {
            Some((sample, _)) if !line.starts_with('#') => sample,
            _ => line,
        };
        let (before, label) = line.split_once("input=\"").unwrap_or((line, ""));
        let after = label.split_once('"').map_or("", |(_, after)| after);
        let line = if label.is_empty() {
            line.to_owned()
        } else {
            format!("{before}input=\"KIND\"{after}")
        };
        if !lines.contains(&line) {
            lines.push(line);
        }
    }
    lines.join("\n") + "\n"
}

#[tokio::test]
async fn metrics_keep_their_names_types_and_labels() {
    let running = start_controller(None, None).await;
    request(running.operators, "POST /v1/core/found", "", "").await;
    let (head, page) = request(running.operators, "GET /metrics", "", "").await;
    let kinds: Vec<&str> = InputKind::ALL.iter().map(|kind| kind.label()).collect();
    let actual = format!(
        "{head}\n\nkinds of input: {}\n\n{}",
        kinds.join(", "),
        names_of(&page)
    );
    check("metrics.txt", &actual);
}

#[tokio::test]
async fn responses_without_a_leader_keep_their_form() {
    let mut text = String::new();
    let running = start_controller(None, None).await;
    let change = json!({"base_serial": 1, "change_id": "c", "spec": {}}).to_string();
    let evacuation = json!({"change_id": "c"}).to_string();
    for line in [
        "GET /ready",
        "GET /v1/spec",
        "GET /v1/members",
        "GET /v1/holders",
        "GET /v1/workers",
        "GET /v1/runners",
        "GET /v1/changes/c",
        "GET /v1/traces/0",
        "GET /v1/events",
        "POST /v1/core/found",
        "POST /v1/core/replace/5f/77",
        "GET /v1/nowhere",
    ] {
        append_exchange(&mut text, running.operators, line, "").await;
    }
    append_exchange(&mut text, running.operators, "PUT /v1/spec", &change).await;
    append_exchange(
        &mut text,
        running.operators,
        "POST /v1/localities/north/evacuate",
        &evacuation,
    )
    .await;
    let (head, response_body) = request(
        running.operators,
        "PUT /v1/spec",
        "",
        &" ".repeat((8 << 20) + 1),
    )
    .await;
    let _ = writeln!(text, "## a body of over 8 MiB\n{head}\n\n{response_body}");
    check("controller_without_leader.txt", &text);
}

/// Returns the keys of a response, and the values with which users' programs compare.
fn keys_of(value: &Value, key: &str) -> Value {
    match value {
        Value::Object(fields) => fields
            .iter()
            .map(|(key, inner)| (key.clone(), keys_of(inner, key)))
            .collect(),
        Value::Array(items) => {
            let mut rows: Vec<Value> = Vec::new();
            for row in items.iter().map(|item| keys_of(item, key)) {
                if !rows.contains(&row) {
                    rows.push(row);
                }
            }
            Value::Array(rows)
        }
        Value::String(_) if !["name", "from", "state", "error", "locality"].contains(&key) => {
            json!("(text)")
        }
        Value::Number(_) if key != "event" => json!("(number)"),
        Value::Bool(_) => json!("(flag)"),
        other => other.clone(),
    }
}

/// Repeats a request until its response is the expected one, and returns this response.
async fn request_until(
    operators: SocketAddr,
    line: &str,
    body: &str,
    is_expected: impl Fn(&str, &str) -> bool,
) -> (String, String) {
    let began = Instant::now();
    loop {
        let (head, response_body) = request(operators, line, "", body).await;
        if is_expected(&head, &response_body) {
            return (head, response_body);
        }
        assert!(
            began.elapsed() < RESPONSE_TIMEOUT,
            "{line}: {head} {response_body}"
        );
    }
}

fn keys((head, body): (String, String)) -> Value {
    let head: Vec<&str> = head.lines().collect();
    let parsed = serde_json::from_str(&body).unwrap_or(Value::Null);
    json!({"head": head, "keys": keys_of(&parsed, "")})
}

/// The events that any leader records when it is elected and accepts a change: elected, committed, in force.
const GUARANTEED_EVENTS: [u64; 3] = [2002, 2004, 2005];

fn guaranteed_events(body: &str) -> BTreeSet<String> {
    body.lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok())
        .filter(|event| {
            event["event"]
                .as_u64()
                .is_some_and(|kind| GUARANTEED_EVENTS.contains(&kind))
        })
        .map(|event| keys_of(&event, "").to_string())
        .collect()
}

fn change(number: u64, change_id: &str) -> String {
    let spec = json!({"functions": {}, "routes": {}, "labels": {"made": number}});
    json!({
        "number": number, "base_number": 0, "change_id": change_id, "spec": spec, "wait": "in_force",
    })
    .to_string()
}

#[tokio::test]
async fn responses_of_a_leader_keep_their_keys() {
    let data = create_data_directory("leader");
    let running = start_leader(&data).await;
    let other = start_controller(Some(running.address), None).await;
    let operators = running.operators;
    let mut actual = json!({});
    for (line, body) in [
        ("GET /ready", String::new()),
        ("PUT /v1/spec", change(5, "c")),
        ("GET /v1/spec", String::new()),
        ("GET /v1/changes/c", String::new()),
        ("GET /v1/changes/nobody", String::new()),
        ("GET /v1/members", String::new()),
        ("GET /v1/holders", String::new()),
        ("GET /v1/workers", String::new()),
        ("GET /v1/runners", String::new()),
        ("GET /v1/traces/999", String::new()),
        ("POST /v1/core/found", String::new()),
        ("POST /v1/core/replace/5f/77", String::new()),
        (
            "POST /v1/localities/east/evacuate",
            json!({"change_id": "e"}).to_string(),
        ),
    ] {
        actual[line] = keys(request(operators, line, "", &body).await);
    }
    let stale = request(operators, "PUT /v1/spec", "", &change(6, "d")).await;
    actual["PUT /v1/spec on a stale number"] = keys(stale);
    let is_in_force = |_: &str, body: &str| !body.contains("\"in_force_ms\":null");
    let trace = request_until(operators, "GET /v1/traces/0", "", is_in_force).await;
    actual["GET /v1/traces/0"] = keys(trace);
    let has_all = |_: &str, body: &str| guaranteed_events(body).len() >= GUARANTEED_EVENTS.len();
    let (head, events) = request_until(operators, "GET /v1/events", "", has_all).await;
    actual["GET /v1/events"] = json!({"head": head, "rows": guaranteed_events(&events)});
    let has_peers = |_: &str, body: &str| !body.contains("\"others\":[]");
    actual["GET /v1/core"] = keys(request_until(operators, "GET /v1/core", "", has_peers).await);
    actual["at another controller"] = responses_of_follower(&running, &other).await;
    let _ = std::fs::remove_dir_all(&data);
    check("controller_leading.json", &format!("{actual:#}\n"));
}

/// Returns the responses of a controller that is not the leader: it forwards the request or redirects the caller.
async fn responses_of_follower(running: &RunningController, other: &RunningController) -> Value {
    let is_forwarded = |head: &str, _: &str| head.starts_with("HTTP/1.1 200");
    let is_redirected = |head: &str, _: &str| head.starts_with("HTTP/1.1 307");
    let leader = running.operators.to_string();
    let events = request_until(other.operators, "GET /v1/events?from=3", "", is_redirected).await;
    let members = request_until(other.operators, "GET /v1/members", "", is_forwarded).await;
    let (head, body) = events;
    json!({
        "events": [head.replace(&leader, "LEADER"), body.replace(&leader, "LEADER")],
        "members": keys(members),
        "members passed on before": request_already_forwarded(other, "GET /v1/members", "state").await,
        "events passed on before": request_already_forwarded(other, "GET /v1/events", "no_leader").await,
    })
}

/// Repeats a request that is marked as forwarded until the body of the response contains `expected`.
async fn request_already_forwarded(other: &RunningController, line: &str, expected: &str) -> Value {
    let began = Instant::now();
    loop {
        let forwarded_header = "rudder-passed-on: 1\r\n";
        let (head, body) = request(other.operators, line, forwarded_header, "").await;
        if body.contains(expected) {
            return json!([head, body]);
        }
        assert!(began.elapsed() < RESPONSE_TIMEOUT, "{line}: {head} {body}");
    }
}
