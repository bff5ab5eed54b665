//! Handling of requests to start runners.

use super::state::{HostedRunner, PlatformState, loopback};
use super::{Platform, error_response};
use crate::runner::Runner;
use common::http::HttpResponse;
use common::identity::{FunctionKey, RunnerId};
use hyper::StatusCode;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::net::TcpListener;

/// A request to start a runner.
struct StartRequest {
    runner: RunnerId,
    /// The function as written in the request, for the records.
    function: String,
    key: FunctionKey,
    worker: String,
    memory_mb: u64,
    startup_millis: u64,
    slots: Option<u64>,
}

impl StartRequest {
    /// Parses the body of a request. Returns `None` if a field is missing or malformed.
    fn from_value(body: &Value) -> Option<Self> {
        let text = |name: &str| body.get(name).and_then(Value::as_str).unwrap_or("");
        let number = |name: &str| body.get(name).and_then(Value::as_u64);
        Some(Self {
            runner: text("runner").parse().ok()?,
            function: text("function").to_owned(),
            key: text("function").parse().ok()?,
            worker: text("worker").to_owned(),
            memory_mb: number("memory_mb")?,
            startup_millis: number("boot_ms")?,
            slots: number("slots"),
        })
    }
}

/// Binds the given port, or a free one if none is given or it is in use.
async fn bind(reused_port: Option<u16>) -> Option<(TcpListener, u16)> {
    let listener = match TcpListener::bind(loopback(reused_port.unwrap_or(0))).await {
        Ok(listener) => listener,
        Err(_) => TcpListener::bind(loopback(0)).await.ok()?,
    };
    let port = listener
        .local_addr()
        .map(|address| address.port())
        .unwrap_or(0);
    Some((listener, port))
}

impl Platform {
    /// Starts a runner, or returns the instance that an earlier request for the same runner started.
    pub(super) async fn start(&self, body: &Value) -> HttpResponse {
        let Some(request) = StartRequest::from_value(body) else {
            return error_response(StatusCode::BAD_REQUEST, "bad_start");
        };
        let reused_port = {
            let mut state = self.lock_state();
            if state.ended.contains(&request.runner) {
                return error_response(StatusCode::CONFLICT, "ended");
            }
            if self.reuse_ports {
                state.free_ports.pop()
            } else {
                None
            }
        };
        let Some((listener, port)) = bind(reused_port).await else {
            return error_response(StatusCode::SERVICE_UNAVAILABLE, "no_port");
        };
        let mut state = self.lock_state();
        if let Some(hosted) = state.hosted.get(&request.runner) {
            return hosted.start_response();
        }
        if state.ended.contains(&request.runner) {
            return error_response(StatusCode::CONFLICT, "ended");
        }
        if !state.has_capacity(&request.worker, request.memory_mb) {
            self.shared_state.records.add(
                "start_refused",
                json!({"runner": request.runner.to_string(), "worker": request.worker}),
            );
            return error_response(StatusCode::INSUFFICIENT_STORAGE, "no_room");
        }
        self.record_start(&state, &request, port, reused_port);
        self.host(&mut state, request, listener, port)
            .start_response()
    }

    fn record_start(
        &self,
        state: &PlatformState,
        request: &StartRequest,
        port: u16,
        reused_port: Option<u16>,
    ) {
        let zone = state
            .workers
            .get(&request.worker)
            .map(|worker| &worker.zone);
        let detail = json!({
            "runner": request.runner.to_string(),
            "function": request.function,
            "worker": request.worker,
            "locality": zone,
            "memory_mb": request.memory_mb,
            "boot_ms": request.startup_millis,
            "slots": request.slots,
            "place": loopback(port).to_string(),
            "reused": reused_port == Some(port),
        });
        self.shared_state.records.add("runner_start", detail);
    }

    /// Starts the runner on its listener and adds it to the state.
    fn host<'a>(
        &self,
        state: &'a mut PlatformState,
        request: StartRequest,
        listener: TcpListener,
        port: u16,
    ) -> &'a HostedRunner {
        let started = Runner::start(
            self.shared_state.clone(),
            request.runner,
            request.key,
            Duration::from_millis(request.startup_millis),
            request.slots.map_or(usize::MAX, |slots| slots as usize),
            listener,
        );
        state.instance_count += 1;
        let hosted = HostedRunner {
            runner: started,
            instance: format!("l{}.{}", state.instance_count, request.runner),
            worker: request.worker,
            memory_mb: request.memory_mb,
            port,
            leaving: false,
        };
        state
            .hosted
            .entry(request.runner)
            .insert_entry(hosted)
            .into_mut()
    }
}
