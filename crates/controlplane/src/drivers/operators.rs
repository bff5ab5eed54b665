use super::engine::Shared;
use crate::controller_state::{ChangeKind, Operation, OperationReply, Unavailable, change_name};
use bytes::Bytes;
use common::clock::Moment;
use common::events;
use common::frames::Place;
use common::http::{self, BodyFault, Served, json_response, read_body, stream_body, text_response};
use common::note;
use common::spec::SpecRecords;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, EXPECT, HOST, HeaderValue, LOCATION,
    TRANSFER_ENCODING,
};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

const PASSED_ON: &str = "rudder-passed-on";
const LARGEST_BODY: usize = 8 << 20;
/// A longer order is read on a thread of its own.
const LONG_ORDER: usize = 32 << 10;
const PASS_AGAIN_FOR: Duration = Duration::from_millis(600);
const PASS_AGAIN_AFTER: Duration = Duration::from_millis(100);
const PASS_CONNECT: Duration = Duration::from_millis(600);
const PASS_PATIENCE: Duration = Duration::from_secs(15);

/// Serves operators until told to stop.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>, stop: watch::Receiver<bool>) {
    let handler = move |request| answer(shared.clone(), request);
    http::serve(listener, handler, stop).await;
}

fn said(status: u16, body: &Value) -> Served {
    json_response(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), body)
}

/// Answers one request, and measures how long an order took.
async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Served {
    let asked_at = Moment::now();
    let is_order = request.method() != Method::GET;
    let path = request.uri().path().to_owned();
    let served = answer_to(shared.clone(), request).await;
    if is_order {
        let (status, taken) = (served.status().as_u16(), Moment::now().since(asked_at));
        shared.gauges.observe_order(status, taken);
        let taken_ms = taken.as_millis();
        note!(Info, events::ORDER_ANSWERED, "{path}: {status} after {taken_ms} ms");
    }
    served
}

async fn answer_to(shared: Arc<Shared>, request: Request<Incoming>) -> Served {
    let (head, incoming_body) = request.into_parts();
    let tongue = shared.operators.clone();
    if head.method == Method::GET && head.uri.path() == tongue.ready_path() {
        let is_ready = shared.has_leader.load(Ordering::Relaxed);
        return said(if is_ready { 200 } else { 503 }, &json!({"ready": is_ready}));
    }
    let body = match read_body(incoming_body, LARGEST_BODY, Duration::from_secs(10)).await {
        Ok(body) => body,
        Err(fault) => {
            let status = if matches!(fault, BodyFault::TooLarge) { 413 } else { 408 };
            let body = json!({"error": "unreadable_body", "state": "not_accepted"});
            return said(status, &body);
        }
    };
    let operation = match read_order(&shared, &head, &body).await {
        Ok(operation) => operation,
        Err(served) => return *served,
    };
    match operation {
        Operation::Events(first_number) => {
            let following = head.uri.query().is_some_and(|query| query.contains("follow=true"));
            return events(shared, &head, first_number, following).await;
        }
        Operation::Metrics => {
            let _ = shared.operate(Operation::Metrics).await;
            return text_response(StatusCode::OK, shared.gauges.page());
        }
        _ => {}
    }
    let asked_at = Moment::now();
    let reply = loop {
        let Some(reply) = shared.operate(operation.clone()).await else {
            break OperationReply::Unknown { reason: Unavailable::Stopping, change: None };
        };
        let OperationReply::Elsewhere(leader) = reply else { break reply };
        let unreachable = match pass_on(leader, &head, body.clone()).await {
            Ok(served) => return served,
            Err(reply) => reply,
        };
        let is_unsent = matches!(unreachable, OperationReply::NotAccepted { reason, .. } if reason == Unavailable::LeaderUnreachable);
        if !is_unsent || Moment::now().since(asked_at) > PASS_AGAIN_FOR {
            break unreachable;
        }
        tokio::time::sleep(PASS_AGAIN_AFTER).await;
    };
    say(&shared, operation, reply).await
}

/// Writes an answer. A whole spec takes its time on a thread of its own: rounds and votes must not wait for it.
async fn say(shared: &Shared, operation: Operation, reply: OperationReply) -> Served {
    let tongue = shared.operators.clone();
    if !matches!(reply, OperationReply::Spec { .. }) {
        return tongue.say(&operation, reply);
    }
    let _turn = shared.long_work.acquire().await;
    let writing = tokio::task::spawn_blocking(move || tongue.say(&operation, reply));
    writing.await.unwrap_or_else(|_| said(503, &json!({"error": "stopping"})))
}

/// Reads an order. A long one takes its time on a thread of its own: rounds and votes must not wait for it.
async fn read_order(
    shared: &Arc<Shared>,
    head: &Parts,
    body: &Bytes,
) -> Result<Operation, Box<Served>> {
    if body.len() < LONG_ORDER {
        return shared.operators.read(head, body).map(|operation| prepared(shared, operation));
    }
    let (reader, head, body) = (shared.clone(), head.clone(), body.clone());
    let _turn = shared.long_work.acquire().await;
    let reading = tokio::task::spawn_blocking(move || {
        let read = reader.operators.read(&head, &body);
        read.map(|operation| prepared(&reader, operation))
    });
    let stopping = || json!({"error": "stopping", "state": "not_accepted"});
    reading.await.unwrap_or_else(|_| Err(Box::new(said(503, &stopping()))))
}

/// An operation, at a leader with what takes long about its content done before it reaches the controller's loop: the
/// change has its name, and a whole spec shares its records with the newest one; those that are new are
/// checked and digested.
fn prepared(shared: &Shared, operation: Operation) -> Operation {
    if !*shared.leads.borrow() {
        return operation;
    }
    let Operation::Change { base, numbering, change, kind, wait } = operation else {
        return operation;
    };
    if kind.is_about_zone() {
        return Operation::Change { base, numbering, change, kind, wait };
    }
    let change = change.unwrap_or_else(|| change_name(base, numbering, &kind));
    let kind = match kind {
        ChangeKind::Whole(spec) => ChangeKind::Whole(prepared_spec(shared, spec)),
        other => other,
    };
    Operation::Change { base, numbering, change: Some(change), kind, wait }
}

fn prepared_spec(shared: &Shared, spec: SpecRecords) -> SpecRecords {
    let newest_spec = shared.newest_spec.load();
    let spec = newest_spec.as_ref().map_or(spec.clone(), |newest| spec.succeeding(newest));
    // The loop asks again, and finds every record checked and digested.
    let _ = spec.check();
    let _ = spec.digest();
    spec
}

async fn pass_on(leader: Place, head: &Parts, body: Bytes) -> Result<Served, OperationReply> {
    let not_accepted = |reason| OperationReply::NotAccepted { reason, change: None };
    if head.headers.contains_key(PASSED_ON) {
        return Err(not_accepted(Unavailable::NoLeader));
    }
    let target = head.uri.path_and_query().map_or("/", |whole| whole.as_str());
    let mut passed_request = Request::new(Full::new(body));
    *passed_request.method_mut() = head.method.clone();
    *passed_request.uri_mut() =
        target.parse().map_err(|_| not_accepted(Unavailable::BadRequest))?;
    let headers = passed_request.headers_mut();
    *headers = head.headers.clone();
    for hop_header in [CONNECTION, TRANSFER_ENCODING, CONTENT_LENGTH, EXPECT] {
        headers.remove(hop_header);
    }
    let host = HeaderValue::from_str(&leader.to_string());
    headers.insert(HOST, host.map_err(|_| not_accepted(Unavailable::BadRequest))?);
    headers.insert(PASSED_ON, HeaderValue::from_static("1"));
    let connecting = http::connect(leader, PASS_CONNECT).await;
    let unreachable = |_| not_accepted(Unavailable::LeaderUnreachable);
    let opened_stream = connecting.map_err(unreachable)?;
    match http::exchange(opened_stream, passed_request, PASS_PATIENCE, 64 << 20).await {
        Ok(called) => {
            let mut response = Response::new(http::full(called.body));
            *response.status_mut() = called.status;
            *response.headers_mut() = called.headers;
            for hop_header in [CONNECTION, TRANSFER_ENCODING, CONTENT_LENGTH] {
                response.headers_mut().remove(hop_header);
            }
            Ok(response)
        }
        Err(fault) if fault.is_surely_unsent() => Err(not_accepted(Unavailable::LeaderUnreachable)),
        Err(_) => Err(OperationReply::Unknown { reason: Unavailable::LeaderLost, change: None }),
    }
}

async fn events(shared: Arc<Shared>, head: &Parts, first_number: u64, following: bool) -> Served {
    let first_batch = match shared.operate(Operation::Events(first_number)).await {
        None => return said(503, &json!({"error": "stopping"})),
        Some(OperationReply::Elsewhere(leader)) => {
            if head.headers.contains_key(PASSED_ON) {
                return said(503, &json!({"error": "no_leader"}));
            }
            let target = head.uri.path_and_query().map_or("/", |whole| whole.as_str());
            let mut response = said(307, &json!({"leader": leader.to_string()}));
            let location = format!("http://{leader}{target}");
            if let Ok(location_value) = HeaderValue::from_str(&location) {
                response.headers_mut().insert(LOCATION, location_value);
            }
            return response;
        }
        Some(OperationReply::Said(200, batch)) => batch,
        Some(reply) => return shared.operators.say(&Operation::Events(first_number), reply),
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
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/x-ndjson"));
    response
}
