//! A complete controller over HTTP: readiness, the metrics page, and its responses while it leads, and while there is
//! no leader. No process is started: the controller runs within the test.

#[path = "../../../testing/support/forms.rs"]
mod forms;
#[path = "../../../testing/support/running_controller.rs"]
mod running_controller;

use controlplane::drivers::queue::InputKind;
use running_controller::{Running, folder, started};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const PATIENCE: Duration = Duration::from_secs(20);

fn check(name: &str, seen: &str) {
    forms::check(env!("CARGO_MANIFEST_DIR"), name, seen);
}

/// The response to a request, without what differs between runs.
async fn answered(operators: SocketAddr, line: &str, more: &str, body: &str) -> (String, String) {
    let mut stream = TcpStream::connect(operators).await.expect("a connection");
    let length = body.len();
    let request = format!(
        "{line} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{more}content-length: {length}\r\n\r\n{body}"
    );
    let _ = stream.write_all(request.as_bytes()).await;
    let mut message = Vec::new();
    let _ = stream.read_to_end(&mut message).await;
    let message = String::from_utf8_lossy(&message).into_owned();
    let (head, body) = message.split_once("\r\n\r\n").unwrap_or((&message, ""));
    let is_steady =
        |line: &&str| !line.starts_with("date: ") && !line.starts_with("content-length: ");
    let head: Vec<&str> = head.lines().filter(is_steady).collect();
    (head.join("\n"), without_identity(body))
}

/// A body without the identity that a controller draws when it starts on an empty disk.
fn without_identity(body: &str) -> String {
    without_identity_at(
        "\"surveyor\":\"",
        &without_identity_at("\"controller\":\"", body),
    )
}

fn without_identity_at(key: &str, body: &str) -> String {
    let mut parts = body.split(key);
    let first = parts.next().unwrap_or_default().to_owned();
    parts.fold(first, |shown, part| {
        let rest = part.trim_start_matches(|letter: char| letter.is_ascii_hexdigit());
        format!("{shown}{key}DRAWN{rest}")
    })
}

async fn put(text: &mut String, operators: SocketAddr, line: &str, body: &str) {
    let (head, answer) = answered(operators, line, "", body).await;
    let _ = writeln!(text, "## {line} {body}\n{head}\n\n{answer}\n");
}

/// A controller that has bootstrapped the quorum alone, and leads.
async fn leading(data: &Path) -> Running {
    let running = started(None, Some(data)).await;
    let began = Instant::now();
    loop {
        let (head, _) = answered(running.operators, "GET /v1/spec", "", "").await;
        if head.starts_with("HTTP/1.1 200") {
            return running;
        }
        assert!(began.elapsed() < PATIENCE, "it does not lead: {head}");
    }
}

/// A metrics page without its values, and with the kinds of input merged into one label.
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
async fn every_metric_has_its_name_type_and_labels() {
    let running = started(None, None).await;
    answered(running.operators, "POST /v1/core/found", "", "").await;
    let (head, page) = answered(running.operators, "GET /metrics", "", "").await;
    let kinds: Vec<&str> = InputKind::ALL.iter().map(|kind| kind.label()).collect();
    let seen = format!(
        "{head}\n\nkinds of input: {}\n\n{}",
        kinds.join(", "),
        names_of(&page)
    );
    check("metrics.txt", &seen);
}

#[tokio::test]
async fn without_a_leader_every_question_has_its_answer() {
    let mut text = String::new();
    let running = started(None, None).await;
    let change = json!({"base_serial": 1, "change_id": "c", "spec": {}}).to_string();
    let turn = json!({"change_id": "c"}).to_string();
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
        put(&mut text, running.operators, line, "").await;
    }
    put(&mut text, running.operators, "PUT /v1/spec", &change).await;
    put(
        &mut text,
        running.operators,
        "POST /v1/localities/north/evacuate",
        &turn,
    )
    .await;
    let (head, answer) = answered(
        running.operators,
        "PUT /v1/spec",
        "",
        &" ".repeat((8 << 20) + 1),
    )
    .await;
    let _ = writeln!(text, "## a body of over 8 MiB\n{head}\n\n{answer}");
    check("controller_without_leader.txt", &text);
}

/// The keys of a response, and those values that users' programs compare with.
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

/// The response to a request that is repeated until its response is the expected one.
async fn awaited(
    operators: SocketAddr,
    line: &str,
    body: &str,
    is_expected: impl Fn(&str, &str) -> bool,
) -> (String, String) {
    let began = Instant::now();
    loop {
        let (head, answer) = answered(operators, line, "", body).await;
        if is_expected(&head, &answer) {
            return (head, answer);
        }
        assert!(began.elapsed() < PATIENCE, "{line}: {head} {answer}");
    }
}

fn keys((head, answer): (String, String)) -> Value {
    let head: Vec<&str> = head.lines().collect();
    let parsed = serde_json::from_str(&answer).unwrap_or(Value::Null);
    json!({"head": head, "keys": keys_of(&parsed, "")})
}

/// The events that every leader records when it is elected and accepts a change: elected, committed, in force.
const SURE_EVENTS: [u64; 3] = [2002, 2004, 2005];

fn sure_events(answer: &str) -> BTreeSet<String> {
    answer
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok())
        .filter(|event| {
            event["event"]
                .as_u64()
                .is_some_and(|kind| SURE_EVENTS.contains(&kind))
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
async fn a_leader_answers_every_question_with_its_keys() {
    let data = folder("leader");
    let running = leading(&data).await;
    let other = started(Some(running.address), None).await;
    let operators = running.operators;
    let mut seen = json!({});
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
        seen[line] = keys(answered(operators, line, "", &body).await);
    }
    let stale = answered(operators, "PUT /v1/spec", "", &change(6, "d")).await;
    seen["PUT /v1/spec on a stale number"] = keys(stale);
    let is_in_force = |_: &str, answer: &str| !answer.contains("\"in_force_ms\":null");
    let trace = awaited(operators, "GET /v1/traces/0", "", is_in_force).await;
    seen["GET /v1/traces/0"] = keys(trace);
    let has_all = |_: &str, answer: &str| sure_events(answer).len() >= SURE_EVENTS.len();
    let (head, events) = awaited(operators, "GET /v1/events", "", has_all).await;
    seen["GET /v1/events"] = json!({"head": head, "rows": sure_events(&events)});
    let has_met = |_: &str, answer: &str| !answer.contains("\"others\":[]");
    seen["GET /v1/core"] = keys(awaited(operators, "GET /v1/core", "", has_met).await);
    seen["at another controller"] = at_another(&running, &other).await;
    let _ = std::fs::remove_dir_all(&data);
    check("controller_leading.json", &format!("{seen:#}\n"));
}

/// The responses of a controller that does not lead: it forwards the request, or redirects its caller.
async fn at_another(running: &Running, other: &Running) -> Value {
    let is_found = |head: &str, _: &str| head.starts_with("HTTP/1.1 200");
    let is_sent_on = |head: &str, _: &str| head.starts_with("HTTP/1.1 307");
    let leader = running.operators.to_string();
    let events = awaited(other.operators, "GET /v1/events?from=3", "", is_sent_on).await;
    let members = awaited(other.operators, "GET /v1/members", "", is_found).await;
    let (head, body) = events;
    json!({
        "events": [head.replace(&leader, "LEADER"), body.replace(&leader, "LEADER")],
        "members": keys(members),
        "members passed on before": passed_on_before(other, "GET /v1/members", "state").await,
        "events passed on before": passed_on_before(other, "GET /v1/events", "no_leader").await,
    })
}

/// The responses of a controller that got a forwarded request and does not lead either.
async fn passed_on_before(other: &Running, line: &str, word: &str) -> Value {
    let began = Instant::now();
    loop {
        let passed_on = "rudder-passed-on: 1\r\n";
        let (head, body) = answered(other.operators, line, passed_on, "").await;
        if body.contains(word) {
            return json!([head, body]);
        }
        assert!(began.elapsed() < PATIENCE, "{line}: {head} {body}");
    }
}
