//! Operators' event streams, with one JSON object per line.

use super::operator_api::{error_response, event_json, json_status_response, redirect_body};
use super::operator_forwarding::{is_forwarded, path_and_query};
use super::shared::{EventWatch, Shared};
use crate::controller_state::{EventEntry, Operation, OperationReply};
use bytes::Bytes;
use common::frames::SocketAddress;
use common::http::{HttpResponse, stream_body};
use hyper::Response;
use hyper::header::{CONTENT_TYPE, HeaderValue, LOCATION};
use hyper::http::request::Parts;
use std::sync::Arc;
use tokio::sync::mpsc;

/// How many lines are queued for a slow reader before the stream's task waits.
const MAX_QUEUED_LINES: usize = 64;

/// Responds with the events starting at `first_number`. With `follow=true` in the query, the stream continues with
/// future events.
pub(super) async fn stream_events(
    shared: Arc<Shared>,
    head: &Parts,
    first_number: u64,
) -> HttpResponse {
    let is_following = head
        .uri
        .query()
        .is_some_and(|query| query.contains("follow=true"));
    let first_entries = match shared
        .submit_operation(Operation::Events(first_number))
        .await
    {
        OperationReply::Events(entries) => entries,
        OperationReply::Redirect(leader) => return redirect(head, leader),
        reply => {
            return shared
                .operators
                .write_response(&Operation::Events(first_number), reply);
        }
    };
    let (line_sender, lines) = mpsc::channel::<Bytes>(MAX_QUEUED_LINES);
    let event_stream = EventStream {
        event_watch: shared.published.watch_events(),
        shared,
        next_number: first_number,
        is_following,
        lines: line_sender,
    };
    // Detached: the task ends when its reader disconnects or the controller stops.
    tokio::spawn(event_stream.run(first_entries));
    let mut response = Response::new(stream_body(lines));
    response.headers_mut().insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/x-ndjson"),
    );
    response
}

/// Redirects the reader to the leader, which serves events itself. Does not redirect a request that has been forwarded.
fn redirect(head: &Parts, leader: SocketAddress) -> HttpResponse {
    if is_forwarded(head) {
        return error_response(503, "no_leader");
    }
    let mut response = json_status_response(307, &redirect_body(&leader));
    let location = format!("http://{leader}{}", path_and_query(head));
    if let Ok(location_value) = HeaderValue::from_str(&location) {
        response.headers_mut().insert(LOCATION, location_value);
    }
    response
}

struct EventStream {
    shared: Arc<Shared>,
    event_watch: EventWatch,
    next_number: u64,
    is_following: bool,
    lines: mpsc::Sender<Bytes>,
}

impl EventStream {
    /// Writes batches of events until there are no more events or the reader disconnects.
    async fn run(mut self, first_entries: Vec<EventEntry>) {
        let mut entries = first_entries;
        loop {
            if !self.write(&entries).await || (entries.is_empty() && !self.wait_for_events().await)
            {
                return;
            }
            let operation = Operation::Events(self.next_number.max(1));
            match self.shared.submit_operation(operation).await {
                OperationReply::Events(next_entries) => entries = next_entries,
                _ => return,
            }
        }
    }

    /// Writes events. Returns false if the reader has disconnected.
    async fn write(&mut self, entries: &[EventEntry]) -> bool {
        for entry in entries {
            self.next_number = self.next_number.max(entry.number() + 1);
            let line = Bytes::from(format!("{}\n", event_json(entry)));
            if self.lines.send(line).await.is_err() {
                return false;
            }
        }
        true
    }

    /// Waits for another event. Returns false if the stream must end.
    async fn wait_for_events(&mut self) -> bool {
        if !self.is_following || self.event_watch.is_stopped() {
            return false;
        }
        tokio::select! {
            is_open = self.event_watch.changed() => is_open,
            () = self.lines.closed() => false,
        }
    }
}
