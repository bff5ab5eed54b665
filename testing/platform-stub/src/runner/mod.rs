//! One runner: it boots, runs what it is sent, seals its answers, and misbehaves on order.

use crate::records::Records;
use bytes::Bytes;
use common::chance::Chance;
use common::clock::Moment;
use common::http::header_text;
use common::identity::{FunctionKey, GrantSerial, RunnerId, TransactionId};
use common::seal;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};

/// In which share of cases runners misbehave, and how.
#[derive(Clone, Debug, Default)]
pub struct RunnerFaults {
    /// Runs, then breaks off without an answer.
    pub lose: f64,
    /// Runs, then sends bytes that do not fit the seal.
    pub wrong: f64,
    /// Runs, then sends a body cut short.
    pub short: f64,
    /// Runs, then sends an answer sealed for another transaction.
    pub foreign: f64,
    /// Refuses under seal, without running.
    pub refuse: f64,
    /// Breaks off without running.
    pub break_off: f64,
}

impl RunnerFaults {
    /// Reads the shares from JSON; what is not named is zero.
    pub fn from_value(value: &Value) -> Self {
        let share = |name: &str| value.get(name).and_then(Value::as_f64).unwrap_or(0.0);
        Self {
            lose: share("lose"),
            wrong: share("wrong"),
            short: share("short"),
            foreign: share("foreign"),
            refuse: share("refuse"),
            break_off: share("break_off"),
        }
    }
}

impl fmt::Display for RunnerFaults {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "lose {} wrong {} short {} foreign {} refuse {} break_off {}",
            self.lose, self.wrong, self.short, self.foreign, self.refuse, self.break_off
        )
    }
}

enum Deed {
    Answer,
    Lose,
    Wrong,
    Short,
    Foreign,
    Refuse,
    BreakOff,
}

/// What all runners of a platform-stub share.
pub struct Yard {
    /// Where everything is recorded.
    pub records: Records,
    /// How runners misbehave now.
    pub runner_faults: Mutex<RunnerFaults>,
    /// Where chance comes from.
    pub chance: Mutex<Chance>,
    /// The shortest and longest run.
    pub work: (Duration, Duration),
}

impl Yard {
    fn choose(&self) -> (Deed, Duration) {
        let runner_faults =
            self.runner_faults.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let mut chance = self.chance.lock().unwrap_or_else(PoisonError::into_inner);
        let work_span = chance.within(self.work.0, self.work.1);
        let mut point = chance.share();
        let deeds = [
            (runner_faults.lose, Deed::Lose),
            (runner_faults.wrong, Deed::Wrong),
            (runner_faults.short, Deed::Short),
            (runner_faults.foreign, Deed::Foreign),
            (runner_faults.refuse, Deed::Refuse),
            (runner_faults.break_off, Deed::BreakOff),
        ];
        for (share, deed) in deeds {
            if point < share {
                return (deed, work_span);
            }
            point -= share;
        }
        (Deed::Answer, work_span)
    }
}

/// One runner that is or was alive.
pub struct Runner {
    /// Its name.
    pub runner: RunnerId,
    /// Its function.
    pub function: FunctionKey,
    ready_at: Moment,
    stopped: AtomicBool,
    stop: watch::Sender<bool>,
    slots: usize,
    running: Mutex<BTreeMap<u64, (TransactionId, GrantSerial)>>,
    next_run: AtomicU64,
    yard: Arc<Yard>,
}

struct RunGuard {
    runner: Arc<Runner>,
    number: u64,
    ended: bool,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut running = self.runner.running.lock().unwrap_or_else(PoisonError::into_inner);
        running.remove(&self.number);
        let kind = if self.ended { "run_end" } else { "run_abort" };
        let detail = json!({"runner": self.runner.runner.to_string(), "run": self.number});
        self.runner.yard.records.add(kind, detail);
    }
}

impl Runner {
    /// Starts a runner behind a listener.
    pub fn start(
        yard: Arc<Yard>,
        runner: RunnerId,
        function: FunctionKey,
        boot: Duration,
        slots: usize,
        listener: TcpListener,
    ) -> Arc<Self> {
        let (stop, stopped) = watch::channel(false);
        let started = Arc::new(Self {
            runner,
            function,
            ready_at: Moment::now() + boot,
            stopped: AtomicBool::new(false),
            stop,
            slots,
            running: Mutex::new(BTreeMap::new()),
            next_run: AtomicU64::new(1),
            yard,
        });
        tokio::spawn(started.clone().accept(listener, stopped));
        started
    }

    /// Stops it at once, with whatever it is running.
    pub fn stop(&self) {
        if !self.stopped.swap(true, Ordering::SeqCst) {
            self.stop.send_replace(true);
            let running_count = self.running.lock().unwrap_or_else(PoisonError::into_inner).len();
            let detail = json!({
                "runner": self.runner.to_string(),
                "function": self.function.to_string(),
                "running": running_count,
            });
            self.yard.records.add("runner_stop", detail);
        }
    }

    async fn accept(self: Arc<Self>, listener: TcpListener, mut stopped: watch::Receiver<bool>) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stopped.wait_for(|is_stopped| *is_stopped) => return,
            };
            let Ok((stream, _)) = accepted else { continue };
            let _ = stream.set_nodelay(true);
            let runner = self.clone();
            let mut connection_stopped = stopped.clone();
            tokio::spawn(async move {
                let (cut_sender, mut cut) = watch::channel(false);
                let cut_sender = Arc::new(cut_sender);
                let service = service_fn(move |request| {
                    let answering = runner.clone().answer(request, cut_sender.clone());
                    async move { Ok::<_, Infallible>(answering.await) }
                });
                let connection = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service);
                tokio::select! {
                    _ = connection => {}
                    _ = connection_stopped.wait_for(|is_stopped| *is_stopped) => {}
                    _ = cut.wait_for(|is_cut| *is_cut) => {}
                }
            });
        }
    }

    fn respond(&self, status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(body.into()));
        *response.status_mut() = status;
        put(&mut response, seal::RUNNER, &self.runner.to_string());
        response
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
        cut: Arc<watch::Sender<bool>>,
    ) -> Response<Full<Bytes>> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/ready") => {
                let is_ready = Moment::now() >= self.ready_at;
                let status =
                    if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
                self.respond(status, json!({"ready": is_ready}).to_string())
            }
            (&Method::GET, "/running") => {
                let running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
                let names: Vec<&str> =
                    running.values().map(|(transaction, _)| transaction.as_str()).collect();
                self.respond(StatusCode::OK, json!({"running": names}).to_string())
            }
            (&Method::POST, "/run") => self.take(request, cut).await,
            _ => self.respond(StatusCode::NOT_FOUND, "{}"),
        }
    }

    async fn take(
        self: Arc<Self>,
        request: Request<Incoming>,
        cut: Arc<watch::Sender<bool>>,
    ) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        let Ok(collected_body) = body.collect().await else {
            return self.respond(StatusCode::BAD_REQUEST, "{}");
        };
        let body_bytes = collected_body.to_bytes();
        let transaction = TransactionId::from(header_text(&head.headers, seal::TRANSACTION));
        let attempt = header_text(&head.headers, seal::ATTEMPT).to_owned();
        let grant = header_text(&head.headers, seal::GRANT).parse::<u64>().map(GrantSerial::from);
        let grant = grant.unwrap_or(self.runner.grant);
        let is_meant = header_text(&head.headers, seal::RUNNER) == self.runner.to_string()
            && header_text(&head.headers, seal::FUNCTION) == self.function.to_string();
        if !is_meant {
            let detail = json!({
                "runner": self.runner.to_string(),
                "meant": header_text(&head.headers, seal::RUNNER),
                "transaction": transaction.as_str(),
            });
            self.yard.records.add("misdirected", detail);
            return self.respond(StatusCode::MISDIRECTED_REQUEST, "{}");
        }
        let (deed, work_span) = self.yard.choose();
        let deed = if self.is_full_of_others(grant) { Deed::Refuse } else { deed };
        match deed {
            Deed::Refuse => {
                let detail =
                    json!({"runner": self.runner.to_string(), "transaction": transaction.as_str()});
                self.yard.records.add("refused", detail);
                let refusal = Bytes::from_static(b"{\"refused\":true}");
                let mut response =
                    self.sealed(StatusCode::SERVICE_UNAVAILABLE, &transaction, true, refusal);
                put(&mut response, seal::SHED, "1");
                return response;
            }
            Deed::BreakOff => {
                let detail =
                    json!({"runner": self.runner.to_string(), "transaction": transaction.as_str()});
                self.yard.records.add("broke_off", detail);
                cut.send_replace(true);
                return std::future::pending().await;
            }
            _ => {}
        }
        let (done_sender, done) = oneshot::channel();
        let running = self.clone().run(transaction.clone(), grant, attempt, work_span, done_sender);
        tokio::spawn(running);
        if done.await.is_err() {
            return std::future::pending().await;
        }
        let answer = json!({
            "transaction": transaction.as_str(),
            "function": self.function.to_string(),
            "runner": self.runner.to_string(),
            "echo": seal::hex(&seal::digest(&body_bytes)),
        });
        let answer_bytes = Bytes::from(answer.to_string());
        match deed {
            Deed::Lose => {
                cut.send_replace(true);
                std::future::pending().await
            }
            Deed::Wrong => {
                let mut response = self.sealed(StatusCode::OK, &transaction, false, answer_bytes);
                *response.body_mut() = Full::new(Bytes::from_static(b"{\"garbage\":true}"));
                response
            }
            Deed::Short => {
                let half_bytes = answer_bytes.slice(..answer_bytes.len() / 2);
                let mut response = self.sealed(StatusCode::OK, &transaction, false, answer_bytes);
                *response.body_mut() = Full::new(half_bytes);
                response
            }
            Deed::Foreign => {
                let other = TransactionId::from(format!("{transaction}-other"));
                self.sealed(StatusCode::OK, &other, false, answer_bytes)
            }
            _ => self.sealed(StatusCode::OK, &transaction, false, answer_bytes),
        }
    }

    /// Whether an earlier holder's transactions leave no slot to this one's.
    fn is_full_of_others(&self, grant: GrantSerial) -> bool {
        let running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        let own_count = running.values().filter(|(_, other)| *other == grant).count();
        running.len() >= self.slots && own_count < self.slots
    }

    async fn run(
        self: Arc<Self>,
        transaction: TransactionId,
        grant: GrantSerial,
        attempt: String,
        work_span: Duration,
        done: oneshot::Sender<()>,
    ) {
        let number = self.next_run.fetch_add(1, Ordering::Relaxed);
        let at_once = {
            let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
            running.insert(number, (transaction.clone(), grant));
            running.values().filter(|(_, other)| *other == grant).count()
        };
        let detail = json!({
            "runner": self.runner.to_string(),
            "function": self.function.to_string(),
            "transaction": transaction.as_str(),
            "attempt": attempt.parse::<u64>().unwrap_or(0),
            "run": number,
            "grant": grant.0,
            "at_once": at_once,
            "ready": Moment::now() >= self.ready_at,
        });
        self.yard.records.add("run_begin", detail);
        let mut guard = RunGuard { runner: self.clone(), number, ended: false };
        let mut stopped = self.stop.subscribe();
        tokio::select! {
            () = tokio::time::sleep(work_span) => guard.ended = true,
            _ = stopped.wait_for(|is_stopped| *is_stopped) => {}
        }
        if guard.ended {
            drop(guard);
            let _ = done.send(());
        }
    }

    fn sealed(
        &self,
        status: StatusCode,
        transaction: &TransactionId,
        shed: bool,
        body: Bytes,
    ) -> Response<Full<Bytes>> {
        let body_seal = seal::seal(transaction, &self.function, self.runner, shed, &body);
        let mut response = self.respond(status, body);
        put(&mut response, seal::TRANSACTION, transaction.as_str());
        put(&mut response, seal::FUNCTION, &self.function.to_string());
        put(&mut response, seal::SEAL, &body_seal);
        response
    }
}

fn put(response: &mut Response<Full<Bytes>>, name: &'static str, text: &str) {
    if let Ok(value) = hyper::header::HeaderValue::from_str(text) {
        response.headers_mut().insert(hyper::header::HeaderName::from_static(name), value);
    }
}
