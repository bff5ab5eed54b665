//! One function a transaction, read from top to bottom, as a chain of filters.

mod forward_to_holder;
mod ingress_request;
mod request_checks;
mod responses;

pub use forward_to_holder::{ForwardedOutcome, forward_to_holder};

use crate::agent::FunctionRequest;
use crate::drivers::State;
use common::adapter::{CallerResponse, IngressCodec, NotRunKind};
use common::clock::MonotonicTime;
use common::frames::{LengthPrefixed, RequestFailureReason, RequestPayload};
use common::http::{HttpResponse, read_body};
use common::identity::{Region, ShortString};
use hyper::Request;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use ingress_request::IngressRequest;
use request_checks::{check_content_length, identity, timeout};
use responses::{body_error_response, outcome_response, permanent_rejection, retryable_rejection};
use std::sync::Arc;
use std::time::Duration;

const BODY_READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Takes one caller's transaction from its first byte to its answer.
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
    let (head, incoming_body) = request.into_parts();
    let ingress = state.adapters.ingress.as_ref();

    let idempotency_key = match identity(ingress, &head.headers) {
        Ok(idempotency_key) => idempotency_key,
        Err(rejection) => return rejection.into(),
    };
    ingress_request.idempotency_key = Some(idempotency_key.clone());

    let requested_timeout = match timeout(ingress, &head.headers) {
        Ok(requested_timeout) => requested_timeout,
        Err(rejection) => return rejection.into(),
    };

    let table = state.agent.table.load_full();
    let host = head
        .headers
        .get(hyper::header::HOST)
        .and_then(|value| value.to_str().ok());
    let route_match = table.route(
        &head.method,
        host.unwrap_or(""),
        head.uri.path(),
        &idempotency_key,
    );
    let Some(route_match) = route_match else {
        return if state.agent.is_serving(MonotonicTime::now()) {
            permanent_rejection(NotRunKind::NoRoute, "no_route")
        } else {
            retryable_rejection(
                RequestFailureReason::NotServing,
                state.agent.not_serving_retry_after(),
            )
        };
    };
    ingress_request.route = Some(route_match.route.spec.name.clone());
    ingress_request.deadline =
        Some(ingress_request.started_at + requested_timeout.min(route_match.route.spec.timeout));

    let max_body_bytes = state.body_limit(table.limits());
    if let Err(rejection) = check_content_length(&head.headers, max_body_bytes) {
        return rejection.into();
    }
    let body = match read_body(incoming_body, max_body_bytes, BODY_READ_TIMEOUT).await {
        Ok(body) => body,
        Err(error) => return body_error_response(&error),
    };

    if state.agent.is_leaving() || !state.agent.is_serving(MonotonicTime::now()) {
        return retryable_rejection(
            RequestFailureReason::NotServing,
            state.agent.not_serving_retry_after(),
        );
    }

    let request = FunctionRequest {
        idempotency_key,
        function: route_match.function.key.clone(),
        route: route_match.route.spec.name.clone(),
        version: table.version(),
        deadline: ingress_request.started_at
            + requested_timeout.min(route_match.route.spec.timeout),
        hops: 0,
        repeat: ingress.is_repeat(&head.headers),
        wants_referral: true,
        region: state
            .agent
            .own_region()
            .cloned()
            .unwrap_or_else(|| Region::from("")),
        payload: Arc::new(payload(ingress, &head, body)),
    };
    let forwarded_outcome = forward_to_holder(state, request).await;
    ingress_request.holder = forwarded_outcome.holder.map(|host| host.member);

    outcome_response(forwarded_outcome.function, forwarded_outcome.outcome)
}

fn payload(ingress: &dyn IngressCodec, head: &Parts, body: bytes::Bytes) -> RequestPayload {
    let target = head
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    RequestPayload {
        method: ShortString::from(head.method.as_str()),
        target: ShortString::from(target),
        header_fields: LengthPrefixed(ingress.forwarded_header_fields(&head.headers)),
        body: body.into(),
    }
}
