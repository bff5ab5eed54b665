use super::State;
use crate::chain::transact;
use hyper::{Method, StatusCode};
use serde_json::json;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::watch;
use waymark::clock::Moment;
use waymark::http::{self, json_response, text_response};

/// Serves callers, and the platform's probe, until told to stop.
pub async fn serve_door(state: Arc<State>, listener: TcpListener, stop: watch::Receiver<bool>) {
    let handler = move |request: hyper::Request<hyper::body::Incoming>| {
        let state = state.clone();
        async move {
            match (request.method(), request.uri().path()) {
                (&Method::GET, "/ready") => {
                    let is_ready = state.lodge.is_ready(Moment::now());
                    let status =
                        if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
                    let serial = state.lodge.table.load().serial().0;
                    json_response(status, &json!({"ready": is_ready, "serial": serial}))
                }
                (&Method::GET, "/metrics") => text_response(StatusCode::OK, state.gauges.page()),
                _ => transact(&state, request).await,
            }
        }
    };
    http::serve(listener, handler, stop).await;
}
