use super::engine::Shared;
use crate::controller_state::{ChangeKind, Operation, OperationReply, Unavailable};
use bytes::Bytes;
use common::clock::Moment;
use common::frames::Place;
use common::http::{self, BodyFault, Served, json_response, read_body, stream_body, text_response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, EXPECT, HOST, HeaderValue, LOCATION,
    TRANSFER_ENCODING,
};
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

const PASSED_ON: &str = "rudder-passed-on";
const LARGEST_BODY: usize = 8 << 20;
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

async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Served {
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
    let operation = match tongue.read(&head, &body) {
        Ok(operation) => prepared(&shared, operation),
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
    tongue.say(&operation, reply)
}

/// An operation with what takes long about a whole spec done here, in the operator's task: its records are
/// shared with the newest spec, and those that are new are checked.
fn prepared(shared: &Shared, operation: Operation) -> Operation {
    match operation {
        Operation::Change { base, numbering, change, kind: ChangeKind::Whole(spec), wait } => {
            let newest_spec = shared.newest_spec.load();
            let spec = newest_spec.as_ref().map_or(spec.clone(), |newest| spec.succeeding(newest));
            // The loop asks again, and finds every record checked.
            let _ = spec.check();
            Operation::Change { base, numbering, change, kind: ChangeKind::Whole(spec), wait }
        }
        other => other,
    }
}

async fn pass_on(
    leader: Place,
    head: &hyper::http::request::Parts,
    body: Bytes,
) -> Result<Served, OperationReply> {
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
