//! The platform's HTTP: start, stop, late lists, workers that drain and crash, readiness probes.

mod lists;

use crate::runner::{Runner, RunnerFaults, Yard};
use common::clock::Moment;
use common::frames::Place;
use common::http::{self, Served, call_json, json_response, read_body};
use common::identity::{FunctionKey, LifeName, RunnerId};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use lists::LateLists;
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

struct Placed {
    runner: Arc<Runner>,
    life: String,
    worker: String,
    memory_mb: u64,
    port: u16,
    leaving: bool,
}

/// How long before it stops a runner says that it leaves.
const NOTICE: Duration = Duration::from_secs(6);

#[derive(Default)]
struct Books {
    workers: BTreeMap<String, Worker>,
    placed: HashMap<RunnerId, Placed>,
    ended: BTreeSet<RunnerId>,
    free_ports: Vec<u16>,
    life_count: u64,
}

/// A whole stand-in platform.
pub struct Platform {
    yard: Arc<Yard>,
    books: Mutex<Books>,
    lists: Mutex<LateLists>,
    doors: Vec<Place>,
    reuse_ports: bool,
    ready_doors: Mutex<BTreeSet<Place>>,
}

impl Platform {
    /// A platform with these workers, whose lists are late by the given lag.
    pub fn new(
        yard: Arc<Yard>,
        workers: Vec<Worker>,
        lag: Duration,
        doors: Vec<Place>,
        reuse_ports: bool,
    ) -> Arc<Self> {
        let books = Books {
            workers: workers.into_iter().map(|worker| (worker.name.clone(), worker)).collect(),
            ..Books::default()
        };
        Arc::new(Self {
            yard,
            books: Mutex::new(books),
            lists: Mutex::new(LateLists::new(lag)),
            doors,
            reuse_ports,
            ready_doors: Mutex::new(BTreeSet::new()),
        })
    }

    /// Serves until told to stop.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, stop: watch::Receiver<bool>) {
        tokio::spawn(self.clone().keep_lists());
        tokio::spawn(self.clone().probe_doors());
        let platform = self.clone();
        let handler = move |request| platform.clone().answer(request);
        http::serve(listener, handler, stop).await;
        self.yard.records.flush();
    }

    async fn keep_lists(self: Arc<Self>) {
        let mut ticking = tokio::time::interval(Duration::from_millis(100));
        loop {
            ticking.tick().await;
            let (workers, runners) = {
                let books = self.books.lock().unwrap_or_else(PoisonError::into_inner);
                (list_workers(&books), list_runners(&books))
            };
            let mut lists = self.lists.lock().unwrap_or_else(PoisonError::into_inner);
            lists.take(Moment::now(), workers, runners);
            self.yard.records.flush();
        }
    }

    async fn probe_doors(self: Arc<Self>) {
        let mut ticking = tokio::time::interval(Duration::from_secs(1));
        loop {
            ticking.tick().await;
            for door in self.doors.clone() {
                let platform = self.clone();
                tokio::spawn(async move {
                    let patience = Duration::from_millis(800);
                    let called = call_json(door, Method::GET, "/ready", None, patience).await;
                    let is_ready = called.is_ok_and(|called| called.status == StatusCode::OK);
                    let mut ready_doors =
                        platform.ready_doors.lock().unwrap_or_else(PoisonError::into_inner);
                    let has_changed =
                        if is_ready { ready_doors.insert(door) } else { ready_doors.remove(&door) };
                    if has_changed {
                        let detail = json!({"door": door.to_string(), "ready": is_ready});
                        platform.yard.records.add("probe", detail);
                    }
                });
            }
        }
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Served {
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
                json_response(StatusCode::OK, &lists.workers(Moment::now()))
            }
            (&Method::GET, ["v1", "runners"]) => {
                let lists = self.lists.lock().unwrap_or_else(PoisonError::into_inner);
                json_response(StatusCode::OK, &lists.runners(Moment::now()))
            }
            (&Method::GET, ["v1", "daemons"]) => {
                let ready_doors = self.ready_doors.lock().unwrap_or_else(PoisonError::into_inner);
                let names: Vec<String> = ready_doors.iter().map(Place::to_string).collect();
                json_response(StatusCode::OK, &json!({"ready": names}))
            }
            (&Method::POST, ["v1", "runners"]) => self.start(&body).await,
            (&Method::DELETE, ["v1", "runners", name]) => match key_of(name) {
                Some(runner) => self.stop(runner),
                None => json_response(StatusCode::BAD_REQUEST, &json!({"error": "bad_runner"})),
            },
            (&Method::POST, ["v1", "workers", worker, deed]) => self.turn(worker, deed),
            (&Method::POST, ["v1", "runners", name, "leave"]) => match key_of(name) {
                Some(runner) => self.leave(runner),
                None => json_response(StatusCode::BAD_REQUEST, &json!({"error": "bad_runner"})),
            },
            (&Method::POST, ["v1", "runner-faults"]) => {
                let runner_faults = RunnerFaults::from_value(&body);
                self.yard.records.add("runner_faults", body);
                *self.yard.runner_faults.lock().unwrap_or_else(PoisonError::into_inner) =
                    runner_faults;
                json_response(StatusCode::OK, &json!({}))
            }
            _ => json_response(StatusCode::NOT_FOUND, &json!({})),
        }
    }

    async fn start(&self, body: &Value) -> Served {
        let text = |name: &str| body.get(name).and_then(Value::as_str).unwrap_or("").to_owned();
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
            let mut books = self.books.lock().unwrap_or_else(PoisonError::into_inner);
            if books.ended.contains(&runner) {
                return json_response(StatusCode::CONFLICT, &json!({"error": "ended"}));
            }
            if self.reuse_ports { books.free_ports.pop() } else { None }
        };
        let address = |port| SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
        let bound = match TcpListener::bind(address(reused_port.unwrap_or(0))).await {
            Ok(listener) => Ok(listener),
            Err(_) => TcpListener::bind(address(0)).await,
        };
        let Ok(listener) = bound else {
            return json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({"error": "no_port"}));
        };
        let port = listener.local_addr().map(|address| address.port()).unwrap_or(0);
        let mut books = self.books.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(placed) = books.placed.get(&runner) {
            let answer = json!({"life": placed.life, "place": address(placed.port).to_string()});
            return json_response(StatusCode::CREATED, &answer);
        }
        if books.ended.contains(&runner) {
            return json_response(StatusCode::CONFLICT, &json!({"error": "ended"}));
        }
        let worker_name = text("worker");
        let used_mb: u64 = books
            .placed
            .values()
            .filter(|placed| placed.worker == worker_name)
            .map(|placed| placed.memory_mb)
            .sum();
        let zone = books.workers.get(&worker_name).map(|worker| worker.zone.clone());
        let has_room = books.workers.get(&worker_name).is_some_and(|worker| {
            !worker.crashed && !worker.draining && used_mb + memory_mb <= worker.memory_mb
        });
        if !has_room {
            self.yard
                .records
                .add("start_refused", json!({"runner": runner.to_string(), "worker": worker_name}));
            return json_response(StatusCode::INSUFFICIENT_STORAGE, &json!({"error": "no_room"}));
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
        self.yard.records.add("runner_start", detail);
        let boot = Duration::from_millis(boot_ms);
        let slots = number("slots").map_or(usize::MAX, |slots| slots as usize);
        let started = Runner::start(self.yard.clone(), runner, key, boot, slots, listener);
        books.life_count += 1;
        let life = format!("l{}.{runner}", books.life_count);
        let answer = json!({"life": life, "place": address(port).to_string()});
        let placed =
            Placed { runner: started, life, worker: worker_name, memory_mb, port, leaving: false };
        books.placed.insert(runner, placed);
        json_response(StatusCode::CREATED, &answer)
    }

    fn stop(&self, runner: RunnerId) -> Served {
        let mut books = self.books.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(placed) = books.placed.remove(&runner) {
            placed.runner.stop();
            books.free_ports.push(placed.port);
        }
        books.ended.insert(runner);
        json_response(StatusCode::OK, &json!({"stopped": true}))
    }

    /// A runner leaves by itself: it says so, and stops some time later.
    fn leave(self: Arc<Self>, runner: RunnerId) -> Served {
        let mut books = self.books.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(placed) = books.placed.get_mut(&runner) else {
            return json_response(StatusCode::NOT_FOUND, &json!({"error": "no_such_runner"}));
        };
        placed.leaving = true;
        self.yard.records.add("runner_leaves", json!({"runner": runner.to_string()}));
        let platform = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(NOTICE).await;
            platform.stop(runner);
        });
        json_response(StatusCode::OK, &json!({}))
    }

    fn turn(&self, worker_name: &str, deed: &str) -> Served {
        let mut books = self.books.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(worker) = books.workers.get_mut(worker_name) else {
            return json_response(StatusCode::NOT_FOUND, &json!({"error": "no_such_worker"}));
        };
        match deed {
            "drain" => worker.draining = true,
            "restore" => {
                worker.draining = false;
                worker.crashed = false;
            }
            "crash" => {
                worker.crashed = true;
                let lost_runners: Vec<RunnerId> = books
                    .placed
                    .iter()
                    .filter(|(_, placed)| placed.worker == worker_name)
                    .map(|(runner, _)| *runner)
                    .collect();
                for lost_runner in lost_runners {
                    if let Some(placed) = books.placed.remove(&lost_runner) {
                        placed.runner.stop();
                        books.free_ports.push(placed.port);
                        books.ended.insert(lost_runner);
                    }
                }
            }
            _ => return json_response(StatusCode::NOT_FOUND, &json!({"error": "no_such_deed"})),
        }
        self.yard.records.add("worker", json!({"worker": worker_name, "deed": deed}));
        json_response(StatusCode::OK, &json!({}))
    }
}

/// The key of a start, named by itself or by the life that it began.
fn key_of(name: &str) -> Option<RunnerId> {
    name.parse().ok().or_else(|| RunnerId::started_as(&LifeName::from(name)))
}

fn list_workers(books: &Books) -> Value {
    let rows: Vec<Value> = books
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

fn list_runners(books: &Books) -> Value {
    let rows: Vec<Value> = books
        .placed
        .iter()
        .map(|(runner, placed)| {
            json!({
                "runner": runner.to_string(),
                "life": placed.life,
                "place": SocketAddrV4::new(Ipv4Addr::LOCALHOST, placed.port).to_string(),
                "function": placed.runner.function.to_string(),
                "worker": placed.worker,
                "leaving": placed.leaving,
            })
        })
        .collect();
    Value::Array(rows)
}
