//! Forwards operators' requests to the leader.

use crate::controller_state::{OperationReply, Unavailable};
use bytes::Bytes;
use common::frames::SocketAddress;
use common::http::{self, HttpResponse};
use http_body_util::Full;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderValue, TRANSFER_ENCODING,
};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use std::time::Duration;

/// The header that marks a forwarded request, which must not be forwarded again.
const FORWARDED_HEADER: &str = "rudder-passed-on";
/// How long connecting to the leader may take.
const FORWARD_CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// How long the leader may take to respond completely, once connected.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(15);
/// The maximum size of the body of the leader's response.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Whether another controller forwarded this request.
pub(super) fn is_forwarded(head: &Parts) -> bool {
    head.headers.contains_key(FORWARDED_HEADER)
}

/// Returns the path and the query of a request.
pub(super) fn path_and_query(head: &Parts) -> &str {
    head.uri
        .path_and_query()
        .map_or("/", |path_and_query| path_and_query.as_str())
}

/// Forwards a request and returns the leader's response.
///
/// # Errors
/// Returns the reply to send if there is no response from the leader.
pub(super) async fn forward_to_leader(
    leader: SocketAddress,
    head: &Parts,
    body: Bytes,
) -> Result<HttpResponse, OperationReply> {
    if is_forwarded(head) {
        return Err(not_accepted(Unavailable::NoLeader));
    }
    let forwarded_request = forwarded_request(leader, head, body)
        .ok_or_else(|| not_accepted(Unavailable::BadRequest))?;
    let leader_stream = http::connect(leader, FORWARD_CONNECT_TIMEOUT)
        .await
        .map_err(|_| not_accepted(Unavailable::LeaderUnreachable))?;
    let exchange = http::exchange(
        leader_stream,
        forwarded_request,
        FORWARD_TIMEOUT,
        MAX_RESPONSE_BYTES,
    );
    match exchange.await {
        Ok(leader_response) => {
            let mut response = Response::new(http::full_body(leader_response.body));
            *response.status_mut() = leader_response.status;
            *response.headers_mut() = leader_response.headers;
            remove_hop_headers(response.headers_mut());
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

fn not_accepted(reason: Unavailable) -> OperationReply {
    OperationReply::NotAccepted {
        reason,
        change: None,
    }
}

/// Returns the request to send to the leader, or `None` if the original request cannot be forwarded.
fn forwarded_request(
    leader: SocketAddress,
    head: &Parts,
    body: Bytes,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = path_and_query(head).parse().ok()?;
    let headers = request.headers_mut();
    *headers = head.headers.clone();
    remove_hop_headers(headers);
    headers.remove(EXPECT);
    headers.insert(HOST, HeaderValue::from_str(&leader.to_string()).ok()?);
    headers.insert(FORWARDED_HEADER, HeaderValue::from_static("1"));
    Some(request)
}

/// Removes the headers that apply to a single connection only.
fn remove_hop_headers(headers: &mut HeaderMap) {
    for hop_header in [CONNECTION, TRANSFER_ENCODING, CONTENT_LENGTH] {
        headers.remove(hop_header);
    }
}
