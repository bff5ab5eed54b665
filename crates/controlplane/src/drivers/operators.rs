use super::controller::Shared;
use super::operator_api::{event_json, json_status_response};
use crate::controller_state::{
    ChangeKind, Operation, OperationReply, Unavailable, derive_change_id,
};
use bytes::Bytes;
use common::clock::MonotonicTime;
use common::events;
use common::frames::SocketAddress;
use common::http::{self, BodyError, HttpResponse, read_body, stream_body, text_response};
use common::log_event;
use common::spec::SpecRecords;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, EXPECT, HOST, HeaderValue, LOCATION,
    TRANSFER_ENCODING,
};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

const FORWARDED_HEADER: &str = "rudder-passed-on";
const MAX_BODY_BYTES: usize = 8 << 20;
/// A longer order is read on a thread of its own.
const LARGE_COMMAND_BYTES: usize = 32 << 10;
const FORWARD_RETRY_WINDOW: Duration = Duration::from_millis(600);
const FORWARD_RETRY_DELAY: Duration = Duration::from_millis(100);
const FORWARD_CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
const FORWARD_TIMEOUT: Duration = Duration::from_secs(15);

/// Serves operators until told to stop.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>, stop: watch::Receiver<bool>) {
    let handler = move |request| handle_request(shared.clone(), request);
    http::serve(listener, handler, stop).await;
}

/// Answers one request, and measures how long an order took.
async fn handle_request(shared: Arc<Shared>, request: Request<Incoming>) -> HttpResponse {
    let received_at = MonotonicTime::now();
    let is_command = request.method() != Method::GET;
    let path = request.uri().path().to_owned();
    let response = dispatch_request(shared.clone(), request).await;
    if is_command {
        let (status, elapsed) = (
            response.status().as_u16(),
            MonotonicTime::now().since(received_at),
        );
        shared.metrics.observe_command(status, elapsed);
        let elapsed_ms = elapsed.as_millis();
        log_event!(
            Info,
            events::OPERATION_ANSWERED,
            "{path}: {status} after {elapsed_ms} ms"
        );
    }
    response
}

async fn dispatch_request(shared: Arc<Shared>, request: Request<Incoming>) -> HttpResponse {
    let (head, incoming_body) = request.into_parts();
    let adapter = shared.operators.clone();
    if head.method == Method::GET && head.uri.path() == adapter.readiness_path() {
        let is_ready = shared.has_leader.load(Ordering::Relaxed);
        return json_status_response(
            if is_ready { 200 } else { 503 },
            &json!({"ready": is_ready}),
        );
    }
    let body = match read_body(incoming_body, MAX_BODY_BYTES, Duration::from_secs(10)).await {
        Ok(body) => body,
        Err(error) => {
            let status = if matches!(error, BodyError::TooLarge) {
                413
            } else {
                408
            };
            let body = json!({"error": "unreadable_body", "state": "not_accepted"});
            return json_status_response(status, &body);
        }
    };
    let operation = match read_command(&shared, &head, &body).await {
        Ok(operation) => operation,
        Err(response) => return *response,
    };
    match operation {
        Operation::Events(first_number) => {
            let following = head
                .uri
                .query()
                .is_some_and(|query| query.contains("follow=true"));
            return stream_events(shared, &head, first_number, following).await;
        }
        Operation::Metrics => {
            let _ = shared.submit_operation(Operation::Metrics).await;
            return text_response(StatusCode::OK, shared.metrics.page());
        }
        _ => {}
    }
    let received_at = MonotonicTime::now();
    let reply = loop {
        let Some(reply) = shared.submit_operation(operation.clone()).await else {
            break OperationReply::Unknown {
                reason: Unavailable::Stopping,
                change: None,
            };
        };
        let OperationReply::Redirect(leader) = reply else {
            break reply;
        };
        let unreachable = match forward_to_leader(leader, &head, body.clone()).await {
            Ok(response) => return response,
            Err(reply) => reply,
        };
        let is_unsent = matches!(unreachable, OperationReply::NotAccepted { reason, .. } if reason == Unavailable::LeaderUnreachable);
        if !is_unsent || MonotonicTime::now().since(received_at) > FORWARD_RETRY_WINDOW {
            break unreachable;
        }
        tokio::time::sleep(FORWARD_RETRY_DELAY).await;
    };
    write_response(&shared, operation, reply).await
}

/// Writes an answer. A whole spec takes its time on a thread of its own: rounds and votes must not wait for it.
async fn write_response(
    shared: &Shared,
    operation: Operation,
    reply: OperationReply,
) -> HttpResponse {
    let adapter = shared.operators.clone();
    if !matches!(reply, OperationReply::Spec { .. }) {
        return adapter.write_response(&operation, reply);
    }
    let _permit = shared.large_request_permits.acquire().await;
    let writing = tokio::task::spawn_blocking(move || adapter.write_response(&operation, reply));
    writing
        .await
        .unwrap_or_else(|_| json_status_response(503, &json!({"error": "stopping"})))
}

/// Reads an order. A long one takes its time on a thread of its own: rounds and votes must not wait for it.
async fn read_command(
    shared: &Arc<Shared>,
    head: &Parts,
    body: &Bytes,
) -> Result<Operation, Box<HttpResponse>> {
    if body.len() < LARGE_COMMAND_BYTES {
        return shared
            .operators
            .read(head, body)
            .map(|operation| prepare_operation(shared, operation));
    }
    let (reader, head, body) = (shared.clone(), head.clone(), body.clone());
    let _permit = shared.large_request_permits.acquire().await;
    let reading = tokio::task::spawn_blocking(move || {
        let read = reader.operators.read(&head, &body);
        read.map(|operation| prepare_operation(&reader, operation))
    });
    let stopping = || json!({"error": "stopping", "state": "not_accepted"});
    reading
        .await
        .unwrap_or_else(|_| Err(Box::new(json_status_response(503, &stopping()))))
}

/// An operation, at a leader with what takes long about its content done before it reaches the controller's loop: the
/// change has its name, and a whole spec shares its records with the newest one; those that are new are
/// checked and digested.
fn prepare_operation(shared: &Shared, operation: Operation) -> Operation {
    if !*shared.leadership.borrow() {
        return operation;
    }
    let Operation::Change {
        base,
        numbering,
        change,
        kind,
        wait,
    } = operation
    else {
        return operation;
    };
    if kind.is_zone_change() {
        return Operation::Change {
            base,
            numbering,
            change,
            kind,
            wait,
        };
    }
    let change = change.unwrap_or_else(|| derive_change_id(base, numbering, &kind));
    let kind = match kind {
        ChangeKind::FullSpec(spec) => ChangeKind::FullSpec(prepare_spec(shared, spec)),
        other => other,
    };
    Operation::Change {
        base,
        numbering,
        change: Some(change),
        kind,
        wait,
    }
}

fn prepare_spec(shared: &Shared, spec: SpecRecords) -> SpecRecords {
    let newest_spec = shared.newest_spec.load();
    let spec = newest_spec
        .as_ref()
        .map_or(spec.clone(), |newest| spec.sharing_records_with(newest));
    // The loop asks again, and finds every record checked and digested.
    let _ = spec.check();
    let _ = spec.digest();
    spec
}

async fn forward_to_leader(
    leader: SocketAddress,
    head: &Parts,
    body: Bytes,
) -> Result<HttpResponse, OperationReply> {
    let not_accepted = |reason| OperationReply::NotAccepted {
        reason,
        change: None,
    };
    if head.headers.contains_key(FORWARDED_HEADER) {
        return Err(not_accepted(Unavailable::NoLeader));
    }
    let target = head
        .uri
        .path_and_query()
        .map_or("/", |path_and_query| path_and_query.as_str());
    let mut forwarded_request = Request::new(Full::new(body));
    *forwarded_request.method_mut() = head.method.clone();
    *forwarded_request.uri_mut() = target
        .parse()
        .map_err(|_| not_accepted(Unavailable::BadRequest))?;
    let headers = forwarded_request.headers_mut();
    *headers = head.headers.clone();
    for hop_header in [CONNECTION, TRANSFER_ENCODING, CONTENT_LENGTH, EXPECT] {
        headers.remove(hop_header);
    }
    let host = HeaderValue::from_str(&leader.to_string());
    headers.insert(
        HOST,
        host.map_err(|_| not_accepted(Unavailable::BadRequest))?,
    );
    headers.insert(FORWARDED_HEADER, HeaderValue::from_static("1"));
    let connecting = http::connect(leader, FORWARD_CONNECT_TIMEOUT).await;
    let unreachable = |_| not_accepted(Unavailable::LeaderUnreachable);
    let leader_stream = connecting.map_err(unreachable)?;
    match http::exchange(leader_stream, forwarded_request, FORWARD_TIMEOUT, 64 << 20).await {
        Ok(leader_response) => {
            let mut response = Response::new(http::full_body(leader_response.body));
            *response.status_mut() = leader_response.status;
            *response.headers_mut() = leader_response.headers;
            for hop_header in [CONNECTION, TRANSFER_ENCODING, CONTENT_LENGTH] {
                response.headers_mut().remove(hop_header);
            }
            Ok(response)
        }
        Err(error) if error.is_certainly_unsent() => {
            Err(not_accepted(Unavailable::LeaderUnreachable))
        }
        Err(_) => Err(OperationReply::Unknown {
            reason: Unavailable::LeaderLost,
            change: None,
        }),
    }
}

async fn stream_events(
    shared: Arc<Shared>,
    head: &Parts,
    first_number: u64,
    following: bool,
) -> HttpResponse {
    let first_batch = match shared
        .submit_operation(Operation::Events(first_number))
        .await
    {
        None => return json_status_response(503, &json!({"error": "stopping"})),
        Some(OperationReply::Redirect(leader)) => {
            if head.headers.contains_key(FORWARDED_HEADER) {
                return json_status_response(503, &json!({"error": "no_leader"}));
            }
            let target = head
                .uri
                .path_and_query()
                .map_or("/", |path_and_query| path_and_query.as_str());
            let mut response = json_status_response(307, &json!({"leader": leader.to_string()}));
            let location = format!("http://{leader}{target}");
            if let Ok(location_value) = HeaderValue::from_str(&location) {
                response.headers_mut().insert(LOCATION, location_value);
            }
            return response;
        }
        Some(OperationReply::Events(batch)) => batch,
        Some(reply) => {
            return shared
                .operators
                .write_response(&Operation::Events(first_number), reply);
        }
    };
    let (chunk_sender, chunks) = mpsc::channel::<Bytes>(64);
    tokio::spawn(async move {
        let mut event_watch = shared.newest_event.subscribe();
        let mut next_event_number = first_number;
        let mut batch = first_batch;
        loop {
            for entry in &batch {
                next_event_number = next_event_number.max(entry.number() + 1);
                let line = Bytes::from(format!("{}\n", event_json(entry)));
                if chunk_sender.send(line).await.is_err() {
                    return;
                }
            }
            if batch.is_empty() {
                if !following || *event_watch.borrow() == u64::MAX {
                    return;
                }
                tokio::select! {
                    changed = event_watch.changed() => if changed.is_err() { return },
                    () = chunk_sender.closed() => return,
                }
            }
            match shared
                .submit_operation(Operation::Events(next_event_number.max(1)))
                .await
            {
                Some(OperationReply::Events(next_batch)) => batch = next_batch,
                _ => return,
            }
        }
    });
    let mut response = Response::new(stream_body(chunks));
    response.headers_mut().insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/x-ndjson"),
    );
    response
}
