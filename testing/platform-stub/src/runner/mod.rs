//! One runner: it boots, runs what it is sent, seals its answers, and misbehaves on order.

use crate::records::Records;
use bytes::Bytes;
use common::clock::MonotonicTime;
use common::http::header_text;
use common::identity::{FencingToken, FunctionKey, IdempotencyKey, RunnerId};
use common::rng::SeededRng;
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

enum RunBehaviour {
    Answer,
    Lose,
    Wrong,
    Short,
    Foreign,
    Refuse,
    BreakOff,
}

/// What all runners of a platform-stub share.
pub struct SharedRunnerState {
    /// Where everything is recorded.
    pub records: Records,
    /// How runners misbehave now.
    pub runner_faults: Mutex<RunnerFaults>,
    /// Where chance comes from.
    pub rng: Mutex<SeededRng>,
    /// The shortest and longest run.
    pub work: (Duration, Duration),
}

impl SharedRunnerState {
    fn draw_behaviour(&self) -> (RunBehaviour, Duration) {
        let runner_faults = self
            .runner_faults
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        let work_span = rng.within(self.work.0, self.work.1);
        let mut point = rng.fraction();
        let behaviours = [
            (runner_faults.lose, RunBehaviour::Lose),
            (runner_faults.wrong, RunBehaviour::Wrong),
            (runner_faults.short, RunBehaviour::Short),
            (runner_faults.foreign, RunBehaviour::Foreign),
            (runner_faults.refuse, RunBehaviour::Refuse),
            (runner_faults.break_off, RunBehaviour::BreakOff),
        ];
        for (share, behaviour) in behaviours {
            if point < share {
                return (behaviour, work_span);
            }
            point -= share;
        }
        (RunBehaviour::Answer, work_span)
    }
}

/// One runner that is or was alive.
pub struct Runner {
    /// Its name.
    pub runner: RunnerId,
    /// Its function.
    pub function: FunctionKey,
    ready_at: MonotonicTime,
    stopped: AtomicBool,
    stop: watch::Sender<bool>,
    slots: usize,
    running: Mutex<BTreeMap<u64, (IdempotencyKey, FencingToken)>>,
    next_run: AtomicU64,
    shared_state: Arc<SharedRunnerState>,
}

struct RunGuard {
    runner: Arc<Runner>,
    number: u64,
    ended: bool,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut running = self
            .runner
            .running
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        running.remove(&self.number);
        let kind = if self.ended { "run_end" } else { "run_abort" };
        let detail = json!({"runner": self.runner.runner.to_string(), "run": self.number});
        self.runner.shared_state.records.add(kind, detail);
    }
}

impl Runner {
    /// Starts a runner behind a listener.
    pub fn start(
        shared_state: Arc<SharedRunnerState>,
        runner: RunnerId,
        function: FunctionKey,
        startup: Duration,
        slots: usize,
        listener: TcpListener,
    ) -> Arc<Self> {
        let (stop, stopped) = watch::channel(false);
        let started = Arc::new(Self {
            runner,
            function,
            ready_at: MonotonicTime::now() + startup,
            stopped: AtomicBool::new(false),
            stop,
            slots,
            running: Mutex::new(BTreeMap::new()),
            next_run: AtomicU64::new(1),
            shared_state,
        });
        tokio::spawn(started.clone().accept(listener, stopped));
        started
    }

    /// Stops it at once, with whatever it is running.
    pub fn stop(&self) {
        if !self.stopped.swap(true, Ordering::SeqCst) {
            self.stop.send_replace(true);
            let running_count = self
                .running
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .len();
            let detail = json!({
                "runner": self.runner.to_string(),
                "function": self.function.to_string(),
                "running": running_count,
            });
            self.shared_state.records.add("runner_stop", detail);
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
                let (disconnect_sender, mut disconnect) = watch::channel(false);
                let disconnect_sender = Arc::new(disconnect_sender);
                let service = service_fn(move |request| {
                    let answering = runner.clone().answer(request, disconnect_sender.clone());
                    async move { Ok::<_, Infallible>(answering.await) }
                });
                let connection = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service);
                tokio::select! {
                    _ = connection => {}
                    _ = connection_stopped.wait_for(|is_stopped| *is_stopped) => {}
                    _ = disconnect.wait_for(|is_disconnected| *is_disconnected) => {}
                }
            });
        }
    }

    fn plain_response(&self, status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(body.into()));
        *response.status_mut() = status;
        put(&mut response, seal::RUNNER, &self.runner.to_string());
        response
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
        disconnect: Arc<watch::Sender<bool>>,
    ) -> Response<Full<Bytes>> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/ready") => {
                let is_ready = MonotonicTime::now() >= self.ready_at;
                let status = if is_ready {
                    StatusCode::OK
                } else {
                    StatusCode::SERVICE_UNAVAILABLE
                };
                self.plain_response(status, json!({"ready": is_ready}).to_string())
            }
            (&Method::GET, "/running") => {
                let running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
                let names: Vec<&str> = running
                    .values()
                    .map(|(idempotency_key, _)| idempotency_key.as_str())
                    .collect();
                self.plain_response(StatusCode::OK, json!({"running": names}).to_string())
            }
            (&Method::POST, "/run") => self.handle_run(request, disconnect).await,
            _ => self.plain_response(StatusCode::NOT_FOUND, "{}"),
        }
    }

    async fn handle_run(
        self: Arc<Self>,
        request: Request<Incoming>,
        disconnect: Arc<watch::Sender<bool>>,
    ) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        let Ok(collected_body) = body.collect().await else {
            return self.plain_response(StatusCode::BAD_REQUEST, "{}");
        };
        let body_bytes = collected_body.to_bytes();
        let idempotency_key =
            IdempotencyKey::from(header_text(&head.headers, seal::IDEMPOTENCY_KEY));
        let attempt = header_text(&head.headers, seal::ATTEMPT).to_owned();
        let fencing_token = header_text(&head.headers, seal::FENCING_TOKEN)
            .parse::<u64>()
            .map(FencingToken::from);
        let fencing_token = fencing_token.unwrap_or(self.runner.fencing_token);
        let is_addressed_here = header_text(&head.headers, seal::RUNNER) == self.runner.to_string()
            && header_text(&head.headers, seal::FUNCTION) == self.function.to_string();
        if !is_addressed_here {
            let detail = json!({
                "runner": self.runner.to_string(),
                "meant": header_text(&head.headers, seal::RUNNER),
                "transaction": idempotency_key.as_str(),
            });
            self.shared_state.records.add("misdirected", detail);
            return self.plain_response(StatusCode::MISDIRECTED_REQUEST, "{}");
        }
        let (behaviour, work_span) = self.shared_state.draw_behaviour();
        let behaviour = if self.is_full_of_other_leases(fencing_token) {
            RunBehaviour::Refuse
        } else {
            behaviour
        };
        match behaviour {
            RunBehaviour::Refuse => {
                let detail = json!({"runner": self.runner.to_string(), "transaction": idempotency_key.as_str()});
                self.shared_state.records.add("refused", detail);
                let refusal = Bytes::from_static(b"{\"refused\":true}");
                let mut response = self.sealed_response(
                    StatusCode::SERVICE_UNAVAILABLE,
                    &idempotency_key,
                    true,
                    refusal,
                );
                put(&mut response, seal::REJECTED, "1");
                return response;
            }
            RunBehaviour::BreakOff => {
                let detail = json!({"runner": self.runner.to_string(), "transaction": idempotency_key.as_str()});
                self.shared_state.records.add("broke_off", detail);
                disconnect.send_replace(true);
                return std::future::pending().await;
            }
            _ => {}
        }
        let (done_sender, done) = oneshot::channel();
        let running = self.clone().run(
            idempotency_key.clone(),
            fencing_token,
            attempt,
            work_span,
            done_sender,
        );
        tokio::spawn(running);
        if done.await.is_err() {
            return std::future::pending().await;
        }
        let answer = json!({
            "transaction": idempotency_key.as_str(),
            "function": self.function.to_string(),
            "runner": self.runner.to_string(),
            "echo": seal::hex(&seal::digest(&body_bytes)),
        });
        let answer_bytes = Bytes::from(answer.to_string());
        match behaviour {
            RunBehaviour::Lose => {
                disconnect.send_replace(true);
                std::future::pending().await
            }
            RunBehaviour::Wrong => {
                let mut response =
                    self.sealed_response(StatusCode::OK, &idempotency_key, false, answer_bytes);
                *response.body_mut() = Full::new(Bytes::from_static(b"{\"garbage\":true}"));
                response
            }
            RunBehaviour::Short => {
                let half_bytes = answer_bytes.slice(..answer_bytes.len() / 2);
                let mut response =
                    self.sealed_response(StatusCode::OK, &idempotency_key, false, answer_bytes);
                *response.body_mut() = Full::new(half_bytes);
                response
            }
            RunBehaviour::Foreign => {
                let other = IdempotencyKey::from(format!("{idempotency_key}-other"));
                self.sealed_response(StatusCode::OK, &other, false, answer_bytes)
            }
            _ => self.sealed_response(StatusCode::OK, &idempotency_key, false, answer_bytes),
        }
    }

    /// Whether an earlier holder's transactions leave no slot to this one's.
    fn is_full_of_other_leases(&self, fencing_token: FencingToken) -> bool {
        let running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        let own_count = running
            .values()
            .filter(|(_, other)| *other == fencing_token)
            .count();
        running.len() >= self.slots && own_count < self.slots
    }

    async fn run(
        self: Arc<Self>,
        idempotency_key: IdempotencyKey,
        fencing_token: FencingToken,
        attempt: String,
        work_span: Duration,
        done: oneshot::Sender<()>,
    ) {
        let number = self.next_run.fetch_add(1, Ordering::Relaxed);
        let at_once = {
            let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
            running.insert(number, (idempotency_key.clone(), fencing_token));
            running
                .values()
                .filter(|(_, other)| *other == fencing_token)
                .count()
        };
        let detail = json!({
            "runner": self.runner.to_string(),
            "function": self.function.to_string(),
            "transaction": idempotency_key.as_str(),
            "attempt": attempt.parse::<u64>().unwrap_or(0),
            "run": number,
            "grant": fencing_token.0,
            "at_once": at_once,
            "ready": MonotonicTime::now() >= self.ready_at,
        });
        self.shared_state.records.add("run_begin", detail);
        let mut guard = RunGuard {
            runner: self.clone(),
            number,
            ended: false,
        };
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

    fn sealed_response(
        &self,
        status: StatusCode,
        idempotency_key: &IdempotencyKey,
        is_rejected: bool,
        body: Bytes,
    ) -> Response<Full<Bytes>> {
        let body_seal = seal::seal(
            idempotency_key,
            &self.function,
            self.runner,
            is_rejected,
            &body,
        );
        let mut response = self.plain_response(status, body);
        put(
            &mut response,
            seal::IDEMPOTENCY_KEY,
            idempotency_key.as_str(),
        );
        put(&mut response, seal::FUNCTION, &self.function.to_string());
        put(&mut response, seal::SEAL, &body_seal);
        response
    }
}

fn put(response: &mut Response<Full<Bytes>>, name: &'static str, text: &str) {
    if let Ok(value) = hyper::header::HeaderValue::from_str(text) {
        response
            .headers_mut()
            .insert(hyper::header::HeaderName::from_static(name), value);
    }
}
