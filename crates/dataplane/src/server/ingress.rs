//! The callers' listener, and the readiness and metrics pages.

use crate::drivers::State;
use crate::request_pipeline::handle_request;
use common::clock::MonotonicTime;
use common::http::{self, ConnectionLimits, HttpResponse, json_response, text_response};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde_json::json;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Serves callers until `stop`. Also serves readiness and metrics, unless they have a separate address.
pub async fn serve_ingress(state: Arc<State>, listener: TcpListener, stop: watch::Receiver<bool>) {
    let has_ready_address = state.settings.ready.is_some();
    let limits_state = state.clone();
    let connection_limits = move || {
        let limits = limits_state.agent.routing_table().limits();
        ConnectionLimits {
            header_bytes: limits.header_bytes,
            idle: limits.header.max(limits.idle),
        }
    };
    let handler = move |request: Request<Incoming>| {
        let state = state.clone();
        async move {
            let status_response = if has_ready_address {
                None
            } else {
                status_page(&state, &request)
            };
            match status_response {
                Some(served) => served,
                None => handle_request(&state, request).await,
            }
        }
    };
    http::serve_with_limits(listener, handler, connection_limits, stop).await;
}

/// Serves readiness and metrics on a separate address until `stop`.
pub(super) async fn serve_ready(
    state: Arc<State>,
    listener: TcpListener,
    stop: watch::Receiver<bool>,
) {
    let handler = move |request: Request<Incoming>| {
        let state = state.clone();
        async move {
            status_page(&state, &request)
                .unwrap_or_else(|| json_response(StatusCode::NOT_FOUND, &json!({})))
        }
    };
    http::serve(listener, handler, stop).await;
}

/// Returns the response to a readiness or metrics request, or `None` for any other request.
fn status_page(state: &State, request: &Request<Incoming>) -> Option<HttpResponse> {
    if request.method() != Method::GET {
        return None;
    }
    match request.uri().path() {
        "/metrics" => {
            state.update_gauges();
            Some(text_response(StatusCode::OK, state.metrics.page()))
        }
        path if path == "/ready" || path == state.adapters.ingress.readiness_path() => {
            let is_ready = state.agent.is_ready(MonotonicTime::now());
            let status = if is_ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            let version = state.agent.routing_table().version().0;
            Some(json_response(
                status,
                &json!({"ready": is_ready, "serial": version}),
            ))
        }
        _ => None,
    }
}
