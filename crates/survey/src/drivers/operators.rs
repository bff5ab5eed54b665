use super::engine::Shared;
use crate::plane::{ChangeKind, Operation, OperationReply, Wait};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use waymark::frames::Place;
use waymark::http::{self, Served, json_response, read_body, stream_body, text_response};
use waymark::identity::{ChangeId, Locality, Serial, SurveyorId};
use waymark::readers::{FaultList, PathReader};

const PASSED_ON: &str = "rudder-passed-on";
const LARGEST_BODY: usize = 8 << 20;

/// Serves operators until told to stop.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>, stop: watch::Receiver<bool>) {
    let handler = move |request| answer(shared.clone(), request);
    http::serve(listener, handler, stop).await;
}

fn said(status: u16, body: &Value) -> Served {
    json_response(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), body)
}

async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Served {
    let (head, incoming_body) = request.into_parts();
    let path = head.uri.path().to_owned();
    let path_parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (&head.method, path_parts.as_slice()) {
        (&Method::GET, ["ready"]) => {
            let is_ready = shared.has_leader.load(Ordering::Relaxed);
            return said(if is_ready { 200 } else { 503 }, &json!({"ready": is_ready}));
        }
        (&Method::GET, ["metrics"]) => return text_response(StatusCode::OK, shared.gauges.page()),
        _ => {}
    }
    let Ok(body) = read_body(incoming_body, LARGEST_BODY, Duration::from_secs(10)).await else {
        return said(400, &json!({"error": "unreadable_body", "state": "not_accepted"}));
    };
    let operation = match read_operation(&head.method, &path_parts, head.uri.query(), &body) {
        Ok(operation) => operation,
        Err((status, fault_body)) => return said(status, &fault_body),
    };
    if let Operation::Events(first_number) = operation {
        let following = head.uri.query().is_some_and(|query| query.contains("follow=true"));
        return events(shared, &head, first_number, following).await;
    }
    match shared.operate(operation).await {
        None => said(503, &json!({"error": "stopping", "state": "unknown"})),
        Some(OperationReply::Said(status, reply_body)) => said(status, &reply_body),
        Some(OperationReply::Elsewhere(leader)) => pass_on(leader, &head, body).await,
    }
}

async fn pass_on(leader: Place, head: &hyper::http::request::Parts, body: Bytes) -> Served {
    if head.headers.contains_key(PASSED_ON) {
        return said(503, &json!({"error": "no_leader", "state": "not_accepted"}));
    }
    let passed_request = Request::builder()
        .method(head.method.clone())
        .uri(head.uri.path_and_query().map_or("/", |whole| whole.as_str()))
        .header(HOST, leader.to_string())
        .header(CONTENT_TYPE, "application/json")
        .header(PASSED_ON, "1")
        .body(Full::new(body));
    let Ok(passed_request) = passed_request else {
        return said(400, &json!({"error": "bad_request", "state": "not_accepted"}));
    };
    match http::call(leader, passed_request, Duration::from_secs(15), 64 << 20).await {
        Ok(called) => {
            let mut response = Response::new(http::full(called.body));
            *response.status_mut() = called.status;
            *response.headers_mut() = called.headers;
            response.headers_mut().remove(hyper::header::CONTENT_LENGTH);
            response.headers_mut().remove(hyper::header::TRANSFER_ENCODING);
            response
        }
        Err(fault) if fault.is_surely_unsent() => {
            said(503, &json!({"error": "leader_unreachable", "state": "not_accepted"}))
        }
        Err(_) => said(503, &json!({"error": "leader_lost", "state": "unknown"})),
    }
}

type Refusal = (u16, Value);

fn read_operation(
    method: &Method,
    path_parts: &[&str],
    query: Option<&str>,
    body: &[u8],
) -> Result<Operation, Refusal> {
    match (method, path_parts) {
        (&Method::GET, ["v1", "spec"]) => Ok(Operation::ReadSpec),
        (&Method::PUT, ["v1", "spec"]) => {
            read_change(body, |root| Some(ChangeKind::Whole(needed_value(root, "spec")?)))
        }
        (&Method::PATCH, ["v1", "spec"]) => {
            read_change(body, |root| Some(ChangeKind::Patch(needed_value(root, "patch")?)))
        }
        (&Method::GET, ["v1", "changes", change]) => {
            Ok(Operation::AskChange(ChangeId::from(*change)))
        }
        (&Method::POST, ["v1", "localities", locality, "evacuate"]) => read_change(body, |root| {
            let force = root.field("force").flag_or(false);
            Some(ChangeKind::Evacuate { locality: Locality::from(*locality), force })
        }),
        (&Method::POST, ["v1", "localities", locality, "restore"]) => {
            read_change(body, |_| Some(ChangeKind::Restore { locality: Locality::from(*locality) }))
        }
        (&Method::GET, ["v1", "members"]) => Ok(Operation::Members),
        (&Method::GET, ["v1", "holders"]) => Ok(Operation::Holders),
        (&Method::GET, ["v1", "workers"]) => Ok(Operation::Workers),
        (&Method::GET, ["v1", "runners"]) => Ok(Operation::Runners),
        (&Method::GET, ["v1", "core"]) => Ok(Operation::ShowCore),
        (&Method::POST, ["v1", "core", "found"]) => Ok(Operation::Found),
        (&Method::POST, ["v1", "core", "replace", missing, successor]) => {
            let id = |text: &str| u64::from_str_radix(text, 16).map(SurveyorId);
            match (id(missing), id(successor)) {
                (Ok(missing), Ok(successor)) => Ok(Operation::Replace(missing, successor)),
                _ => Err((400, json!({"error": "not_a_surveyor"}))),
            }
        }
        (&Method::GET, ["v1", "traces", serial]) => match serial.parse() {
            Ok(serial) => Ok(Operation::Trace(Serial(serial))),
            Err(_) => Err((400, json!({"error": "not_a_serial"}))),
        },
        (&Method::GET, ["v1", "events"]) => {
            let pairs = query.unwrap_or("").split('&').filter_map(|pair| pair.split_once('='));
            let from_text = pairs.into_iter().find(|(name, _)| *name == "from");
            match from_text.map_or(Ok(0), |(_, number)| number.parse()) {
                Ok(first_number) => Ok(Operation::Events(first_number)),
                Err(_) => Err((400, json!({"error": "from is not a number"}))),
            }
        }
        _ => Err((404, json!({"error": "no_such_path"}))),
    }
}

fn needed_value(root: &PathReader<'_>, field_name: &str) -> Option<Value> {
    let reader = root.field(field_name);
    if !reader.is_there() {
        reader.fault(waymark::readers::FaultReason::Missing);
    }
    reader.value().cloned()
}

fn read_change(
    body: &[u8],
    read_kind: impl FnOnce(&PathReader<'_>) -> Option<ChangeKind>,
) -> Result<Operation, Refusal> {
    let parsed_body: Value = serde_json::from_slice(body).map_err(|fault| {
        (400, json!({"error": "not_json", "reason": fault.to_string(), "state": "not_accepted"}))
    })?;
    let faults = FaultList::default();
    let root = PathReader::new(&parsed_body, &faults);
    root.only(&["base_serial", "change_id", "spec", "patch", "wait", "force"]);
    let base_reader = root.field("base_serial");
    let kind = read_kind(&root);
    let is_spec_change = matches!(kind, Some(ChangeKind::Whole(_) | ChangeKind::Patch(_)) | None);
    let base = if base_reader.is_there() || is_spec_change {
        base_reader.number(0..=u64::MAX).map(Serial)
    } else {
        None
    };
    let change = root.field("change_id").text().map(ChangeId::from);
    let wait_reader = root.field("wait");
    let wait = match wait_reader.value().and_then(Value::as_str) {
        Some("in_force") => Wait::InForce,
        Some("accepted") => Wait::Accepted,
        _ => {
            if wait_reader.is_there() {
                let reason = "is neither accepted nor in_force".to_owned();
                wait_reader.fault(waymark::readers::FaultReason::Form(reason));
            }
            Wait::Accepted
        }
    };
    let found_faults = faults.into_inner();
    match (kind, change) {
        (Some(kind), Some(change)) if found_faults.is_empty() => {
            Ok(Operation::Change { base, change, kind, wait })
        }
        _ => {
            let fault_rows: Vec<Value> = found_faults
                .iter()
                .map(|fault| json!({"path": fault.path, "reason": fault.reason.to_string()}))
                .collect();
            let body = json!({"error": "invalid", "state": "not_accepted", "faults": fault_rows});
            Err((422, body))
        }
    }
}

async fn events(
    shared: Arc<Shared>,
    head: &hyper::http::request::Parts,
    first_number: u64,
    following: bool,
) -> Served {
    let first_batch = match shared.operate(Operation::Events(first_number)).await {
        None => return said(503, &json!({"error": "stopping"})),
        Some(OperationReply::Elsewhere(leader)) => {
            if head.headers.contains_key(PASSED_ON) {
                return said(503, &json!({"error": "no_leader"}));
            }
            let target = head.uri.path_and_query().map_or("/", |whole| whole.as_str());
            let mut response = said(307, &json!({"leader": leader.to_string()}));
            let location = format!("http://{leader}{target}");
            if let Ok(location_value) = hyper::header::HeaderValue::from_str(&location) {
                response.headers_mut().insert(hyper::header::LOCATION, location_value);
            }
            return response;
        }
        Some(OperationReply::Said(200, batch)) => batch,
        Some(OperationReply::Said(status, body)) => return said(status, &body),
    };
    let (chunk_sender, chunks) = mpsc::channel::<Bytes>(64);
    tokio::spawn(async move {
        let mut news = shared.newest_event.subscribe();
        let mut next_number = first_number;
        let mut batch = first_batch;
        loop {
            let listed_events = batch.as_array().cloned().unwrap_or_default();
            for listed_event in &listed_events {
                let number = listed_event.get("number").and_then(Value::as_u64).unwrap_or(0);
                next_number = next_number.max(number + 1);
                let line = Bytes::from(format!("{listed_event}\n"));
                if chunk_sender.send(line).await.is_err() {
                    return;
                }
            }
            if listed_events.is_empty() {
                if !following || *news.borrow() == u64::MAX {
                    return;
                }
                tokio::select! {
                    changed = news.changed() => if changed.is_err() { return },
                    () = chunk_sender.closed() => return,
                }
            }
            match shared.operate(Operation::Events(next_number.max(1))).await {
                Some(OperationReply::Said(200, next_batch)) => batch = next_batch,
                _ => return,
            }
        }
    });
    let mut response = Response::new(stream_body(chunks));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static("application/x-ndjson"));
    response
}
