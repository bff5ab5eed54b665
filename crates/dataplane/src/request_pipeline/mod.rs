//! The processing of a caller's request in this daemon, from its head to its response.
//!
//! [`handle_request`] validates the request, matches its route, reads its body, has it served by the holder of its
//! function, and converts the outcome into a response. It is called by the [`server`](crate::server), which accepts the
//! requests, and sends through the [`drivers`](crate::drivers).
//!
//! * `forward_to_holder`: executes the forwarding steps; also used for requests from other daemons.
//! * `ingress_request`: the metrics and log line of a request when it ends.
//! * `request_checks`: the checks before a request is forwarded, and their rejections.
//! * `responses`: the responses to callers by outcome.
//! * `shutdown_signals`: the shutdown phases that a waiting request must react to.

mod forward_to_holder;
mod ingress_request;
mod request_checks;
mod responses;
mod shutdown_signals;

pub use forward_to_holder::{ForwardedOutcome, forward_for_daemon, forward_to_holder};

use crate::agent::{AttemptLimits, FunctionRequest};
use crate::drivers::State;
use common::adapter::{CallerResponse, IngressCodec};
use common::clock::MonotonicTime;
use common::frames::{HeaderField, LengthPrefixed, RequestPayload};
use common::http::{HttpResponse, read_body};
use common::identity::{IdempotencyKey, Region, ShortString};
use common::spec::{RouteMatch, RoutingTable};
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::http::request::Parts;
use ingress_request::IngressRequest;
use request_checks::{
    RequestRejection, check_content_length, parse_idempotency_key, parse_timeout,
};
use responses::outcome_response;
use std::sync::Arc;
use std::time::Duration;

/// How long a caller may take to send the body of a request.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Handles a caller's request and returns its response. Counts the outcome, and logs it if no runner responded.
pub async fn handle_request(state: &Arc<State>, request: Request<Incoming>) -> HttpResponse {
    let mut ingress_request = IngressRequest::new(state);
    let caller_response = respond_to(state, request, &mut ingress_request).await;
    ingress_request.finish(caller_response)
}

async fn respond_to(
    state: &Arc<State>,
    request: Request<Incoming>,
    ingress_request: &mut IngressRequest<'_>,
) -> CallerResponse {
    let function_request = match accept(state, request, ingress_request).await {
        Ok(function_request) => function_request,
        Err(rejection) => return rejection.into(),
    };
    let forwarded_outcome = forward_to_holder(state, function_request).await;
    ingress_request.holder = forwarded_outcome.holder.map(|host| host.member);
    outcome_response(forwarded_outcome.function, forwarded_outcome.outcome)
}

/// Validates a request and reads its body. Stores the key, route and deadline in `ingress_request` as they become
/// known, so that the log line of a rejected request includes them.
async fn accept(
    state: &State,
    request: Request<Incoming>,
    ingress_request: &mut IngressRequest<'_>,
) -> Result<FunctionRequest, RequestRejection> {
    let (head, incoming_body) = request.into_parts();
    let ingress = state.adapters.ingress.as_ref();
    let idempotency_key = parse_idempotency_key(ingress, &head.headers)?;
    ingress_request.idempotency_key = Some(idempotency_key.clone());
    let requested_timeout = parse_timeout(ingress, &head.headers)?;

    let table = state.agent.routing_table_snapshot();
    let route_match =
        match_route(&table, &head, &idempotency_key).ok_or_else(|| no_route_rejection(state))?;
    let route = &route_match.route.spec;
    let deadline = ingress_request.started_at + requested_timeout.min(route.timeout);
    ingress_request.route = Some(route.name.clone());
    ingress_request.deadline = Some(deadline);

    let max_body_bytes = state.body_limit(table.limits());
    check_content_length(&head.headers, max_body_bytes)?;
    let body = read_body(incoming_body, max_body_bytes, BODY_READ_TIMEOUT).await?;
    if state.agent.is_leaving() || !state.agent.is_serving(MonotonicTime::now()) {
        return Err(not_serving_rejection(state));
    }

    Ok(FunctionRequest {
        idempotency_key,
        function: route_match.function.key.clone(),
        route: route.name.clone(),
        version: table.version(),
        limits: AttemptLimits::of_route(route),
        deadline,
        hops: 0,
        is_retry: ingress.is_repeat(&head.headers),
        wants_referral: true,
        region: own_region(state),
        payload: Arc::new(payload(ingress, &head, body)),
    })
}

fn match_route<'a>(
    table: &'a RoutingTable,
    head: &Parts,
    idempotency_key: &IdempotencyKey,
) -> Option<RouteMatch<'a>> {
    let host = head.headers.get(HOST).and_then(|value| value.to_str().ok());
    table.route(
        &head.method,
        host.unwrap_or(""),
        head.uri.path(),
        idempotency_key,
    )
}

/// Returns the rejection of a request that no route matches. The spec of a daemon that is not serving may be outdated,
/// so such a daemon does not report the route as missing.
fn no_route_rejection(state: &State) -> RequestRejection {
    if state.agent.is_serving(MonotonicTime::now()) {
        RequestRejection::NoRoute
    } else {
        not_serving_rejection(state)
    }
}

fn not_serving_rejection(state: &State) -> RequestRejection {
    RequestRejection::NotServing {
        retry_after: state.agent.not_serving_retry_after(),
    }
}

fn own_region(state: &State) -> Region {
    state
        .agent
        .own_region()
        .cloned()
        .unwrap_or_else(|| Region::from(""))
}

fn payload(ingress: &dyn IngressCodec, head: &Parts, body: bytes::Bytes) -> RequestPayload {
    let target = head
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    RequestPayload {
        method: ShortString::from(head.method.as_str()),
        target: ShortString::from(target),
        header_fields: LengthPrefixed(header_fields_with_host(ingress, head)),
        body: body.into(),
    }
}

/// Returns the header fields to forward, with the host also if the codec does not forward it: the daemons on the way
/// find the request's route by it.
fn header_fields_with_host(ingress: &dyn IngressCodec, head: &Parts) -> Vec<HeaderField> {
    let mut header_fields = ingress.forwarded_header_fields(&head.headers);
    let has_host = header_fields
        .iter()
        .any(|field| field.name.as_str() == HOST.as_str());
    if let Some(host) = head.headers.get(HOST)
        && !has_host
    {
        header_fields.push(HeaderField {
            name: HOST.as_str().into(),
            value: host.as_bytes().to_vec().into(),
        });
    }
    header_fields
}
