use super::State;
use crate::chain::transact;
use common::clock::Moment;
use common::http::{self, CallerTimes, Served, json_response, text_response};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde_json::json;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Serves callers until told to stop; also readiness and metrics, unless these have a place of their own.
pub async fn serve_door(state: Arc<State>, listener: TcpListener, stop: watch::Receiver<bool>) {
    let has_ready_place = state.boot.ready.is_some();
    let times_state = state.clone();
    let times = move || {
        let limits = times_state.agent.table.load().limits();
        CallerTimes { header_bytes: limits.header_bytes, idle: limits.header.max(limits.idle) }
    };
    let handler = move |request: Request<Incoming>| {
        let state = state.clone();
        async move {
            let own_page = if has_ready_place { None } else { page(&state, &request) };
            match own_page {
                Some(served) => served,
                None => transact(&state, request).await,
            }
        }
    };
    http::serve_callers(listener, handler, times, stop).await;
}

/// Serves readiness and metrics at their own place as long as the process runs.
pub async fn serve_ready(state: Arc<State>, listener: TcpListener, stop: watch::Receiver<bool>) {
    let handler = move |request: Request<Incoming>| {
        let state = state.clone();
        async move {
            page(&state, &request)
                .unwrap_or_else(|| json_response(StatusCode::NOT_FOUND, &json!({})))
        }
    };
    http::serve(listener, handler, stop).await;
}

fn page(state: &State, request: &Request<Incoming>) -> Option<Served> {
    if request.method() != Method::GET {
        return None;
    }
    match request.uri().path() {
        "/metrics" => {
            state.gauge();
            Some(text_response(StatusCode::OK, state.gauges.page()))
        }
        path if path == "/ready" || path == state.tongues.door.ready_path() => {
            let is_ready = state.agent.is_ready(Moment::now());
            let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            let serial = state.agent.table.load().serial().0;
            Some(json_response(status, &json!({"ready": is_ready, "serial": serial})))
        }
        _ => None,
    }
}
