//! Serves the operators' API over HTTP.

use super::event_stream::stream_events;
use super::operator_api::{error_response, json_status_response, not_accepted_response};
use super::operator_forwarding::forward_to_leader;
use super::shared::Shared;
use crate::controller_state::{
    ChangeKind, ChangeRequest, Operation, OperationReply, Unavailable, derive_change_id,
};
use bytes::Bytes;
use common::clock::MonotonicTime;
use common::events;
use common::http::{self, BodyError, HttpResponse, read_body, text_response};
use common::log_event;
use common::spec::SpecRecords;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Method, Request, StatusCode};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// The maximum size of a request's body. A larger one is rejected with status 413.
const MAX_BODY_BYTES: usize = 8 << 20;
/// How long a request's body may take to arrive. After that, the request is rejected with status 408.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// The size from which the body of a request is parsed on a blocking thread.
const LARGE_BODY_BYTES: usize = 32 << 10;
/// How long after its receipt a request is submitted and forwarded again while the leader cannot be reached.
const FORWARD_RETRY_WINDOW: Duration = Duration::from_millis(600);
/// The pause between two attempts to reach the leader.
const FORWARD_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long a stopping controller waits for the leader's response to a forwarded request.
const FORWARD_STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves operators until `stop` is true.
pub(super) async fn serve(listener: TcpListener, shared: Arc<Shared>, stop: watch::Receiver<bool>) {
    let handler_stop = stop.clone();
    let handler = move |request| handle_request(shared.clone(), request, handler_stop.clone());
    http::serve(listener, handler, stop).await;
}

/// Handles one request. Records the duration of a command in the metrics and logs it.
async fn handle_request(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    stop: watch::Receiver<bool>,
) -> HttpResponse {
    let received_at = MonotonicTime::now();
    let is_command = request.method() != Method::GET;
    let path = request.uri().path().to_owned();
    let response = dispatch_request(shared.clone(), request, stop).await;
    if is_command {
        let status = response.status().as_u16();
        let elapsed = MonotonicTime::now().since(received_at);
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

async fn dispatch_request(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    stop: watch::Receiver<bool>,
) -> HttpResponse {
    let (head, incoming_body) = request.into_parts();
    if head.method == Method::GET && head.uri.path() == shared.operators.readiness_path() {
        let is_ready = shared.published.has_leader();
        let status = if is_ready { 200 } else { 503 };
        return json_status_response(status, &json!({"ready": is_ready}));
    }
    let body = match read_body(incoming_body, MAX_BODY_BYTES, BODY_TIMEOUT).await {
        Ok(body) => body,
        Err(BodyError::TooLarge) => return not_accepted_response(413, "unreadable_body"),
        Err(_) => return not_accepted_response(408, "unreadable_body"),
    };
    let operation = match read_operation(&shared, &head, &body).await {
        Ok(operation) => operation,
        Err(response) => return *response,
    };
    match operation {
        Operation::Events(first_number) => stream_events(shared, &head, first_number).await,
        Operation::Metrics => {
            let _ = shared.submit_operation(Operation::Metrics).await;
            text_response(StatusCode::OK, shared.metrics.page())
        }
        operation => submit_or_forward(&shared, &head, body, operation, stop).await,
    }
}

/// Submits an operation to this controller, and forwards it if another controller is the leader. An unreachable leader
/// may have just been replaced, so both steps are retried for a short time as long as nothing was sent to the leader.
async fn submit_or_forward(
    shared: &Shared,
    head: &Parts,
    body: Bytes,
    operation: Operation,
    stop: watch::Receiver<bool>,
) -> HttpResponse {
    let received_at = MonotonicTime::now();
    let reply = loop {
        let reply = shared.submit_operation(operation.clone()).await;
        let OperationReply::Redirect(leader) = reply else {
            break reply;
        };
        let forwarding = forward_to_leader(leader, head, body.clone());
        let forward_failure = match until_stopped(forwarding, stop.clone()).await {
            Ok(response) => return response,
            Err(reply) => reply,
        };
        let is_unsent = matches!(
            forward_failure,
            OperationReply::NotAccepted {
                reason: Unavailable::LeaderUnreachable,
                ..
            }
        );
        if !is_unsent || MonotonicTime::now().since(received_at) > FORWARD_RETRY_WINDOW {
            break forward_failure;
        }
        tokio::time::sleep(FORWARD_RETRY_DELAY).await;
    };
    write_response(shared, operation, reply).await
}

/// Waits for the leader's response to a forwarded request. After a stop request, the wait is limited, and the operation
/// is then reported as unknown, because the leader may still carry it out.
async fn until_stopped(
    forwarding: impl Future<Output = Result<HttpResponse, OperationReply>>,
    mut stop: watch::Receiver<bool>,
) -> Result<HttpResponse, OperationReply> {
    let stop_timeout = async {
        let _ = stop.wait_for(|stopping| *stopping).await;
        tokio::time::sleep(FORWARD_STOP_TIMEOUT).await;
    };
    tokio::select! {
        forwarded = forwarding => forwarded,
        () = stop_timeout => Err(OperationReply::Unknown {
            reason: Unavailable::Stopping,
            change: None,
        }),
    }
}

/// Writes a response. A complete spec is written on a blocking thread, so that it does not delay heartbeats and votes.
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
        .unwrap_or_else(|_| error_response(503, "stopping"))
}

/// Parses a request. A large one is parsed on a blocking thread, so that it does not delay heartbeats and votes.
async fn read_operation(
    shared: &Arc<Shared>,
    head: &Parts,
    body: &Bytes,
) -> Result<Operation, Box<HttpResponse>> {
    if body.len() < LARGE_BODY_BYTES {
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
    reading
        .await
        .unwrap_or_else(|_| Err(Box::new(not_accepted_response(503, "stopping"))))
}

/// On a leader, does the expensive work on a change before it reaches the controller's loop: derives the ID of a change
/// that has none, shares the records of a complete spec with the newest one, and checks and digests the new records.
fn prepare_operation(shared: &Shared, mut operation: Operation) -> Operation {
    if !*shared.published.leadership.borrow() {
        return operation;
    }
    if let Operation::Change(ChangeRequest {
        base,
        numbering,
        change,
        kind,
        ..
    }) = &mut operation
        && !kind.is_zone_change()
    {
        change.get_or_insert_with(|| derive_change_id(*base, *numbering, kind));
        prepare_kind(shared, kind);
    }
    operation
}

fn prepare_kind(shared: &Shared, kind: &mut ChangeKind) {
    if let ChangeKind::FullSpec(spec) = kind {
        prepare_spec(shared, spec);
    }
}

fn prepare_spec(shared: &Shared, spec: &mut SpecRecords) {
    if let Some(newest_spec) = shared.published.newest_spec() {
        *spec = spec.sharing_records_with(&newest_spec);
    }
    // The records cache the results for the controller's loop.
    let _ = spec.check();
    let _ = spec.digest();
}
