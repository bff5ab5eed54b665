//! The platform's HTTP API: starting and stopping runners, delayed lists, workers that drain and crash, and readiness
//! probes of the daemons.

mod lists;

use crate::runner::{Runner, RunnerFaults, SharedRunnerState};
use common::clock::MonotonicTime;
use common::frames::SocketAddress;
use common::http::{self, HttpResponse, call_json, json_response, read_body};
use common::identity::{FunctionKey, InstanceId, RunnerId};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use lists::DelayedLists;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Whether a worker can run anything.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum WorkerState {
    /// It runs what it has and accepts more.
    InUse,
    /// It runs what it has and accepts no more.
    Draining,
    /// It has lost its runners and is not listed.
    Crashed,
}

/// A worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its memory in megabytes.
    pub memory_mb: u64,
    /// Its state.
    pub state: WorkerState,
}

/// A runner on a worker, from its start to its stop.
struct HostedRunner {
    runner: Arc<Runner>,
    instance: String,
    worker: String,
    memory_mb: u64,
    port: u16,
    /// Whether it has announced that it leaves.
    leaving: bool,
}

impl HostedRunner {
    /// The response to a request to start it.
    fn start_response(&self) -> HttpResponse {
        let body = json!({"life": self.instance, "place": loopback(self.port).to_string()});
        json_response(StatusCode::CREATED, &body)
    }
}

/// How long before its stop a runner announces that it leaves.
const LEAVE_NOTICE: Duration = Duration::from_secs(6);

#[derive(Default)]
struct PlatformState {
    workers: BTreeMap<String, Worker>,
    hosted: HashMap<RunnerId, HostedRunner>,
    /// Runners that were stopped, or must not be started any more.
    ended: BTreeSet<RunnerId>,
    /// Ports of stopped runners.
    free_ports: Vec<u16>,
    instance_count: u64,
}

impl PlatformState {
    /// Whether a worker accepts a runner with this memory.
    fn has_room(&self, worker_name: &str, memory_mb: u64) -> bool {
        let used_mb: u64 = self
            .hosted
            .values()
            .filter(|hosted| hosted.worker == worker_name)
            .map(|hosted| hosted.memory_mb)
            .sum();
        self.workers.get(worker_name).is_some_and(|worker| {
            worker.state == WorkerState::InUse && used_mb + memory_mb <= worker.memory_mb
        })
    }

    /// Stops a runner if there is one, and frees its port.
    fn stop(&mut self, runner: RunnerId) {
        if let Some(hosted) = self.hosted.remove(&runner) {
            hosted.runner.stop();
            self.free_ports.push(hosted.port);
        }
        self.ended.insert(runner);
    }

    fn stop_all_of(&mut self, worker_name: &str) {
        let lost_runners: Vec<RunnerId> = self
            .hosted
            .iter()
            .filter(|(_, hosted)| hosted.worker == worker_name)
            .map(|(runner, _)| *runner)
            .collect();
        for runner in lost_runners {
            self.stop(runner);
        }
    }
}

/// A request to start a runner.
struct StartRequest {
    runner: RunnerId,
    /// The function as in the request, for the records.
    function: String,
    key: FunctionKey,
    worker: String,
    memory_mb: u64,
    boot_ms: u64,
    slots: Option<u64>,
}

impl StartRequest {
    /// Reads the body of a request; none if a field is missing or malformed.
    fn from_value(body: &Value) -> Option<Self> {
        let text = |name: &str| body.get(name).and_then(Value::as_str).unwrap_or("");
        let number = |name: &str| body.get(name).and_then(Value::as_u64);
        Some(Self {
            runner: text("runner").parse().ok()?,
            function: text("function").to_owned(),
            key: text("function").parse().ok()?,
            worker: text("worker").to_owned(),
            memory_mb: number("memory_mb")?,
            boot_ms: number("boot_ms")?,
            slots: number("slots"),
        })
    }
}

fn loopback(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

/// Binds a port that was used before, or a new one if there is none or it is taken.
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

/// A response with an error code.
fn error_response(status: StatusCode, code: &str) -> HttpResponse {
    json_response(status, &json!({"error": code}))
}

/// A platform with its workers, runners and lists.
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
    /// A platform with these workers, whose lists are delayed by `lag`. The ingresses are probed for readiness; with
    /// `reuse_ports` new runners get the ports of stopped ones.
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
                (list_workers(&state), list_runners(&state))
            };
            let mut lists = self.lists.lock().unwrap_or_else(PoisonError::into_inner);
            lists.take_snapshot(MonotonicTime::now(), workers, runners);
            self.shared_state.records.flush();
        }
    }

    /// Probes all ingresses each second, every one in a detached task, and records changes.
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

    /// Starts a runner, or returns the instance that an earlier request for it started.
    async fn start(&self, body: &Value) -> HttpResponse {
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
        if !state.has_room(&request.worker, request.memory_mb) {
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
            "boot_ms": request.boot_ms,
            "slots": request.slots,
            "place": loopback(port).to_string(),
            "reused": reused_port == Some(port),
        });
        self.shared_state.records.add("runner_start", detail);
    }

    /// Starts the runner behind its listener and adds it to the state.
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
            Duration::from_millis(request.boot_ms),
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

    /// Stops a runner; one that was never started cannot be started any more.
    fn stop(&self, runner: RunnerId) -> HttpResponse {
        self.lock_state().stop(runner);
        json_response(StatusCode::OK, &json!({"stopped": true}))
    }

    /// Lets a runner announce that it leaves; it stops by itself some time later, in a detached task.
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

    /// Drains, crashes or restores a worker; a crash stops its runners at once.
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
                state.stop_all_of(worker_name);
            }
            _ => return error_response(StatusCode::NOT_FOUND, "no_such_deed"),
        }
        self.shared_state
            .records
            .add("worker", json!({"worker": worker_name, "deed": action}));
        json_response(StatusCode::OK, &json!({}))
    }
}

/// The runner with this name, or the one that was started as the instance with this name.
fn parse_runner(name: &str) -> Option<RunnerId> {
    name.parse()
        .ok()
        .or_else(|| RunnerId::started_id(&InstanceId::from(name)))
}

fn list_workers(state: &PlatformState) -> Value {
    let rows: Vec<Value> = state
        .workers
        .values()
        .filter(|worker| worker.state != WorkerState::Crashed)
        .map(|worker| {
            json!({
                "worker": worker.name,
                "locality": worker.zone,
                "memory_mb": worker.memory_mb,
                "draining": worker.state == WorkerState::Draining,
            })
        })
        .collect();
    Value::Array(rows)
}

fn list_runners(state: &PlatformState) -> Value {
    let rows: Vec<Value> = state
        .hosted
        .iter()
        .map(|(runner, hosted)| {
            json!({
                "runner": runner.to_string(),
                "life": hosted.instance,
                "place": loopback(hosted.port).to_string(),
                "function": hosted.runner.function.to_string(),
                "worker": hosted.worker,
                "leaving": hosted.leaving,
            })
        })
        .collect();
    Value::Array(rows)
}
