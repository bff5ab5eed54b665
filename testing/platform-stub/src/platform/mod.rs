//! The platform's HTTP: start, stop, late lists, workers that drain and crash, readiness probes.

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
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// One worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its memory.
    pub memory_mb: u64,
    /// Whether it is being emptied.
    pub draining: bool,
    /// Whether it is gone.
    pub crashed: bool,
}

struct HostedRunner {
    runner: Arc<Runner>,
    instance: String,
    worker: String,
    memory_mb: u64,
    port: u16,
    leaving: bool,
}

/// How long before it stops a runner says that it leaves.
const LEAVE_NOTICE: Duration = Duration::from_secs(6);

#[derive(Default)]
struct PlatformState {
    workers: BTreeMap<String, Worker>,
    hosted: HashMap<RunnerId, HostedRunner>,
    ended: BTreeSet<RunnerId>,
    free_ports: Vec<u16>,
    instance_count: u64,
}

/// A whole stand-in platform.
pub struct Platform {
    shared_state: Arc<SharedRunnerState>,
    state: Mutex<PlatformState>,
    lists: Mutex<DelayedLists>,
    ingresses: Vec<SocketAddress>,
    reuse_ports: bool,
    ready_ingresses: Mutex<BTreeSet<SocketAddress>>,
}

impl Platform {
    /// A platform with these workers, whose lists are late by the given lag.
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

    /// Serves until told to stop.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, stop: watch::Receiver<bool>) {
        tokio::spawn(self.clone().refresh_lists());
        tokio::spawn(self.clone().probe_ingresses());
        let platform = self.clone();
        let handler = move |request| platform.clone().answer(request);
        http::serve(listener, handler, stop).await;
        self.shared_state.records.flush();
    }

    async fn refresh_lists(self: Arc<Self>) {
        let mut ticking = tokio::time::interval(Duration::from_millis(100));
        loop {
            ticking.tick().await;
            let (workers, runners) = {
                let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
                (list_workers(&state), list_runners(&state))
            };
            let mut lists = self.lists.lock().unwrap_or_else(PoisonError::into_inner);
            lists.take(MonotonicTime::now(), workers, runners);
            self.shared_state.records.flush();
        }
    }

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
            (&Method::GET, ["v1", "daemons"]) => {
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
            (&Method::POST, ["v1", "runners"]) => self.start(&body).await,
            (&Method::DELETE, ["v1", "runners", name]) => match parse_runner(name) {
                Some(runner) => self.stop(runner),
                None => json_response(StatusCode::BAD_REQUEST, &json!({"error": "bad_runner"})),
            },
            (&Method::POST, ["v1", "workers", worker, action]) => {
                self.set_worker_state(worker, action)
            }
            (&Method::POST, ["v1", "runners", name, "leave"]) => match parse_runner(name) {
                Some(runner) => self.leave(runner),
                None => json_response(StatusCode::BAD_REQUEST, &json!({"error": "bad_runner"})),
            },
            (&Method::POST, ["v1", "runner-faults"]) => {
                let runner_faults = RunnerFaults::from_value(&body);
                self.shared_state.records.add("runner_faults", body);
                *self
                    .shared_state
                    .runner_faults
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner) = runner_faults;
                json_response(StatusCode::OK, &json!({}))
            }
            _ => json_response(StatusCode::NOT_FOUND, &json!({})),
        }
    }

    async fn start(&self, body: &Value) -> HttpResponse {
        let text = |name: &str| {
            body.get(name)
                .and_then(Value::as_str)
                .unwrap_or("")
                .to_owned()
        };
        let number = |name: &str| body.get(name).and_then(Value::as_u64);
        let function = text("function");
        let (Ok(runner), Ok(key), Some(memory_mb), Some(boot_ms)) = (
            text("runner").parse::<RunnerId>(),
            function.parse::<FunctionKey>(),
            number("memory_mb"),
            number("boot_ms"),
        ) else {
            return json_response(StatusCode::BAD_REQUEST, &json!({"error": "bad_start"}));
        };
        let reused_port = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            if state.ended.contains(&runner) {
                return json_response(StatusCode::CONFLICT, &json!({"error": "ended"}));
            }
            if self.reuse_ports {
                state.free_ports.pop()
            } else {
                None
            }
        };
        let address = |port| SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
        let bound = match TcpListener::bind(address(reused_port.unwrap_or(0))).await {
            Ok(listener) => Ok(listener),
            Err(_) => TcpListener::bind(address(0)).await,
        };
        let Ok(listener) = bound else {
            return json_response(
                StatusCode::SERVICE_UNAVAILABLE,
                &json!({"error": "no_port"}),
            );
        };
        let port = listener
            .local_addr()
            .map(|address| address.port())
            .unwrap_or(0);
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(hosted) = state.hosted.get(&runner) {
            let answer =
                json!({"life": hosted.instance, "place": address(hosted.port).to_string()});
            return json_response(StatusCode::CREATED, &answer);
        }
        if state.ended.contains(&runner) {
            return json_response(StatusCode::CONFLICT, &json!({"error": "ended"}));
        }
        let worker_name = text("worker");
        let used_mb: u64 = state
            .hosted
            .values()
            .filter(|hosted| hosted.worker == worker_name)
            .map(|hosted| hosted.memory_mb)
            .sum();
        let zone = state
            .workers
            .get(&worker_name)
            .map(|worker| worker.zone.clone());
        let has_room = state.workers.get(&worker_name).is_some_and(|worker| {
            !worker.crashed && !worker.draining && used_mb + memory_mb <= worker.memory_mb
        });
        if !has_room {
            self.shared_state.records.add(
                "start_refused",
                json!({"runner": runner.to_string(), "worker": worker_name}),
            );
            return json_response(
                StatusCode::INSUFFICIENT_STORAGE,
                &json!({"error": "no_room"}),
            );
        }
        let detail = json!({
            "runner": runner.to_string(),
            "function": function,
            "worker": worker_name,
            "locality": zone,
            "memory_mb": memory_mb,
            "boot_ms": boot_ms,
            "slots": number("slots"),
            "place": address(port).to_string(),
            "reused": reused_port == Some(port),
        });
        self.shared_state.records.add("runner_start", detail);
        let startup = Duration::from_millis(boot_ms);
        let slots = number("slots").map_or(usize::MAX, |slots| slots as usize);
        let started = Runner::start(
            self.shared_state.clone(),
            runner,
            key,
            startup,
            slots,
            listener,
        );
        state.instance_count += 1;
        let instance = format!("l{}.{runner}", state.instance_count);
        let answer = json!({"life": instance, "place": address(port).to_string()});
        let hosted = HostedRunner {
            runner: started,
            instance,
            worker: worker_name,
            memory_mb,
            port,
            leaving: false,
        };
        state.hosted.insert(runner, hosted);
        json_response(StatusCode::CREATED, &answer)
    }

    fn stop(&self, runner: RunnerId) -> HttpResponse {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(hosted) = state.hosted.remove(&runner) {
            hosted.runner.stop();
            state.free_ports.push(hosted.port);
        }
        state.ended.insert(runner);
        json_response(StatusCode::OK, &json!({"stopped": true}))
    }

    /// A runner leaves by itself: it says so, and stops some time later.
    fn leave(self: Arc<Self>, runner: RunnerId) -> HttpResponse {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(hosted) = state.hosted.get_mut(&runner) else {
            return json_response(StatusCode::NOT_FOUND, &json!({"error": "no_such_runner"}));
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

    fn set_worker_state(&self, worker_name: &str, action: &str) -> HttpResponse {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(worker) = state.workers.get_mut(worker_name) else {
            return json_response(StatusCode::NOT_FOUND, &json!({"error": "no_such_worker"}));
        };
        match action {
            "drain" => worker.draining = true,
            "restore" => {
                worker.draining = false;
                worker.crashed = false;
            }
            "crash" => {
                worker.crashed = true;
                let lost_runners: Vec<RunnerId> = state
                    .hosted
                    .iter()
                    .filter(|(_, hosted)| hosted.worker == worker_name)
                    .map(|(runner, _)| *runner)
                    .collect();
                for lost_runner in lost_runners {
                    if let Some(hosted) = state.hosted.remove(&lost_runner) {
                        hosted.runner.stop();
                        state.free_ports.push(hosted.port);
                        state.ended.insert(lost_runner);
                    }
                }
            }
            _ => return json_response(StatusCode::NOT_FOUND, &json!({"error": "no_such_deed"})),
        }
        self.shared_state
            .records
            .add("worker", json!({"worker": worker_name, "deed": action}));
        json_response(StatusCode::OK, &json!({}))
    }
}

/// The key of a start, named by itself or by the life that it began.
fn parse_runner(name: &str) -> Option<RunnerId> {
    name.parse()
        .ok()
        .or_else(|| RunnerId::started_id(&InstanceId::from(name)))
}

fn list_workers(state: &PlatformState) -> Value {
    let rows: Vec<Value> = state
        .workers
        .values()
        .filter(|worker| !worker.crashed)
        .map(|worker| {
            json!({
                "worker": worker.name,
                "locality": worker.zone,
                "memory_mb": worker.memory_mb,
                "draining": worker.draining,
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
                "place": SocketAddrV4::new(Ipv4Addr::LOCALHOST, hosted.port).to_string(),
                "function": hosted.runner.function.to_string(),
                "worker": hosted.worker,
                "leaving": hosted.leaving,
            })
        })
        .collect();
    Value::Array(rows)
}
