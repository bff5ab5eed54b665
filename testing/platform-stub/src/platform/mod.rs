//! The platform's HTTP API: starting and stopping runners, delayed lists, workers that drain and crash, and readiness
//! probes of the daemons.

mod lists;
mod starts;
mod state;

pub use state::{Worker, WorkerState};

use crate::runner::{RunnerFaults, SharedRunnerState};
use common::clock::MonotonicTime;
use common::frames::SocketAddress;
use common::http::{self, HttpResponse, call_json, json_response, read_body};
use common::identity::{InstanceId, RunnerId};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use lists::DelayedLists;
use serde_json::{Value, json};
use state::PlatformState;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// The time from a runner's announcement that it leaves until it stops.
const LEAVE_NOTICE: Duration = Duration::from_secs(6);

/// Returns a response with an error code.
fn error_response(status: StatusCode, code: &str) -> HttpResponse {
    json_response(status, &json!({"error": code}))
}

/// The platform, with its workers, runners and lists.
pub struct Platform {
    shared_state: Arc<SharedRunnerState>,
    state: Mutex<PlatformState>,
    lists: Mutex<DelayedLists>,
    /// The ingresses to probe.
    ingresses: Vec<SocketAddress>,
    reuse_ports: bool,
    /// The ingresses whose last probe found them ready.
    ready_ingresses: Mutex<BTreeSet<SocketAddress>>,
}

impl Platform {
    /// Creates a platform with the given workers. Its lists are delayed by `lag`, the ingresses are probed for
    /// readiness, and with `reuse_ports` new runners get the ports of stopped ones.
    pub fn new(
        shared_state: Arc<SharedRunnerState>,
        workers: Vec<Worker>,
        lag: Duration,
        ingresses: Vec<SocketAddress>,
        reuse_ports: bool,
    ) -> Arc<Self> {
        let state = PlatformState {
            workers: workers
                .into_iter()
                .map(|worker| (worker.name.clone(), worker))
                .collect(),
            ..PlatformState::default()
        };
        Arc::new(Self {
            shared_state,
            state: Mutex::new(state),
            lists: Mutex::new(DelayedLists::new(lag)),
            ingresses,
            reuse_ports,
            ready_ingresses: Mutex::new(BTreeSet::new()),
        })
    }

    /// Serves until `stop` is set. The tasks that refresh lists and probe ingresses are detached and end with the
    /// runtime.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, stop: watch::Receiver<bool>) {
        tokio::spawn(self.clone().refresh_lists());
        tokio::spawn(self.clone().probe_ingresses());
        let platform = self.clone();
        let handler = move |request| platform.clone().answer(request);
        http::serve(listener, handler, stop).await;
        self.shared_state.records.flush();
    }

    /// Takes snapshots of the lists and flushes the records, ten times a second.
    async fn refresh_lists(self: Arc<Self>) {
        let mut ticking = tokio::time::interval(Duration::from_millis(100));
        loop {
            ticking.tick().await;
            let (workers, runners) = {
                let state = self.lock_state();
                (state.list_workers(), state.list_runners())
            };
            let mut lists = self.lists.lock().unwrap_or_else(PoisonError::into_inner);
            lists.take_snapshot(MonotonicTime::now(), workers, runners);
            self.shared_state.records.flush();
        }
    }

    /// Probes all ingresses once per second, each in a detached task, and records changes of readiness.
    async fn probe_ingresses(self: Arc<Self>) {
        let mut ticking = tokio::time::interval(Duration::from_secs(1));
        loop {
            ticking.tick().await;
            for ingress in self.ingresses.clone() {
                let platform = self.clone();
                tokio::spawn(async move {
                    let timeout = Duration::from_millis(800);
                    let called = call_json(ingress, Method::GET, "/ready", None, timeout).await;
                    let is_ready = called.is_ok_and(|called| called.status == StatusCode::OK);
                    let mut ready_ingresses = platform
                        .ready_ingresses
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner);
                    let has_changed = if is_ready {
                        ready_ingresses.insert(ingress)
                    } else {
                        ready_ingresses.remove(&ingress)
                    };
                    if has_changed {
                        let detail = json!({"door": ingress.to_string(), "ready": is_ready});
                        platform.shared_state.records.add("probe", detail);
                    }
                });
            }
        }
    }

    /// Routes a request to its handler.
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> HttpResponse {
        let (head, incoming_body) = request.into_parts();
        let Ok(body_bytes) = read_body(incoming_body, 1 << 20, Duration::from_secs(5)).await else {
            return json_response(StatusCode::BAD_REQUEST, &json!({}));
        };
        let body: Value = serde_json::from_slice(&body_bytes).unwrap_or(Value::Null);
        let path = head.uri.path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (&head.method, parts.as_slice()) {
            (&Method::GET, ["v1", "workers"]) => {
                let lists = self.lists.lock().unwrap_or_else(PoisonError::into_inner);
                json_response(StatusCode::OK, &lists.workers(MonotonicTime::now()))
            }
            (&Method::GET, ["v1", "runners"]) => {
                let lists = self.lists.lock().unwrap_or_else(PoisonError::into_inner);
                json_response(StatusCode::OK, &lists.runners(MonotonicTime::now()))
            }
            (&Method::GET, ["v1", "daemons"]) => self.ready_daemons(),
            (&Method::POST, ["v1", "runners"]) => self.start(&body).await,
            (&Method::DELETE, ["v1", "runners", name]) => match parse_runner(name) {
                Some(runner) => self.stop(runner),
                None => error_response(StatusCode::BAD_REQUEST, "bad_runner"),
            },
            (&Method::POST, ["v1", "workers", worker, action]) => {
                self.set_worker_state(worker, action)
            }
            (&Method::POST, ["v1", "runners", name, "leave"]) => match parse_runner(name) {
                Some(runner) => self.leave(runner),
                None => error_response(StatusCode::BAD_REQUEST, "bad_runner"),
            },
            (&Method::POST, ["v1", "runner-faults"]) => self.set_runner_faults(body),
            _ => json_response(StatusCode::NOT_FOUND, &json!({})),
        }
    }

    fn ready_daemons(&self) -> HttpResponse {
        let ready_ingresses = self
            .ready_ingresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let names: Vec<String> = ready_ingresses
            .iter()
            .map(SocketAddress::to_string)
            .collect();
        json_response(StatusCode::OK, &json!({"ready": names}))
    }

    fn set_runner_faults(&self, body: Value) -> HttpResponse {
        let runner_faults = RunnerFaults::from_value(&body);
        self.shared_state.records.add("runner_faults", body);
        *self
            .shared_state
            .runner_faults
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = runner_faults;
        json_response(StatusCode::OK, &json!({}))
    }

    fn lock_state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stops a runner. A runner that was never started cannot be started afterwards.
    fn stop(&self, runner: RunnerId) -> HttpResponse {
        self.lock_state().stop(runner);
        json_response(StatusCode::OK, &json!({"stopped": true}))
    }

    /// Announces that a runner leaves, and stops it after [`LEAVE_NOTICE`] in a detached task.
    fn leave(self: Arc<Self>, runner: RunnerId) -> HttpResponse {
        let mut state = self.lock_state();
        let Some(hosted) = state.hosted.get_mut(&runner) else {
            return error_response(StatusCode::NOT_FOUND, "no_such_runner");
        };
        hosted.leaving = true;
        self.shared_state
            .records
            .add("runner_leaves", json!({"runner": runner.to_string()}));
        let platform = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(LEAVE_NOTICE).await;
            platform.stop(runner);
        });
        json_response(StatusCode::OK, &json!({}))
    }

    /// Drains, crashes or restores a worker. A crash stops its runners immediately.
    fn set_worker_state(&self, worker_name: &str, action: &str) -> HttpResponse {
        let mut state = self.lock_state();
        let Some(worker) = state.workers.get_mut(worker_name) else {
            return error_response(StatusCode::NOT_FOUND, "no_such_worker");
        };
        match (action, worker.state) {
            ("drain", WorkerState::Crashed) => {}
            ("drain", _) => worker.state = WorkerState::Draining,
            ("restore", _) => worker.state = WorkerState::InUse,
            ("crash", _) => {
                worker.state = WorkerState::Crashed;
                state.stop_runners_on(worker_name);
            }
            _ => return error_response(StatusCode::NOT_FOUND, "no_such_deed"),
        }
        self.shared_state
            .records
            .add("worker", json!({"worker": worker_name, "deed": action}));
        json_response(StatusCode::OK, &json!({}))
    }
}

/// Parses the name of a runner, or of an instance of a runner.
fn parse_runner(name: &str) -> Option<RunnerId> {
    name.parse()
        .ok()
        .or_else(|| RunnerId::from_instance(&InstanceId::from(name)))
}
