//! A runner that starts up, runs requests, seals its answers, and injects faults at random with configured
//! probabilities.

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
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};

/// The probability of each fault of runners, as a share of requests from 0 to 1.
#[derive(Clone, Debug, Default)]
pub struct RunnerFaults {
    /// Runs the request, then closes the connection without an answer.
    pub lose: f64,
    /// Runs the request, then sends a body that does not match its seal.
    pub wrong: f64,
    /// Runs the request, then sends a truncated body.
    pub short: f64,
    /// Runs the request, then sends an answer that is sealed for another request.
    pub foreign: f64,
    /// Refuses the request with a sealed response, without running it.
    pub refuse: f64,
    /// Closes the connection without running the request.
    pub break_off: f64,
}

impl RunnerFaults {
    /// Reads the probabilities from a JSON object; missing ones are zero.
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

/// How a runner handles one request; see [`RunnerFaults`].
enum RunBehaviour {
    Answer,
    Lose,
    Wrong,
    Short,
    Foreign,
    Refuse,
    BreakOff,
}

/// Returns the duration that a request asks its run to take; `None` leaves it to the runner.
fn requested_work(body: &[u8]) -> Option<Duration> {
    let body: Value = serde_json::from_slice(body).ok()?;
    body["work_ms"].as_u64().map(Duration::from_millis)
}

/// The state that all runners of a platform share.
pub struct SharedRunnerState {
    /// The platform's records.
    pub records: Records,
    /// The current probabilities of faults.
    pub runner_faults: Mutex<RunnerFaults>,
    /// Draws the behaviour and the duration of runs.
    pub rng: Mutex<SeededRng>,
    /// The shortest and the longest duration of a run.
    pub run_duration_range: (Duration, Duration),
}

impl SharedRunnerState {
    /// Draws the behaviour for the next request and the duration of its run.
    fn draw_behaviour(&self) -> (RunBehaviour, Duration) {
        let runner_faults = self
            .runner_faults
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        let work_span = rng.within(self.run_duration_range.0, self.run_duration_range.1);
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

/// A runner, also after it was stopped.
pub struct Runner {
    /// The runner's ID.
    pub id: RunnerId,
    /// The function that it runs.
    pub function: FunctionKey,
    /// The time at which its startup is finished.
    ready_at: MonotonicTime,
    stopped: AtomicBool,
    stop: watch::Sender<bool>,
    slots: usize,
    /// The current runs by number, with the idempotency key and the lease holder's fencing token.
    running: Mutex<BTreeMap<u64, (IdempotencyKey, FencingToken)>>,
    next_run: AtomicU64,
    shared_state: Arc<SharedRunnerState>,
}

/// The headers of a request to run.
struct RunRequest {
    idempotency_key: IdempotencyKey,
    /// The token of the lease holder that sent the request; by default, the one with which the runner was started.
    fencing_token: FencingToken,
    /// The number of the attempt; zero if the header is missing.
    attempt: u64,
}

/// Removes a run and records its end on drop; the run counts as aborted unless `ended` is set.
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
        let detail = json!({"runner": self.runner.id.to_string(), "run": self.number});
        self.runner.shared_state.records.add(kind, detail);
    }
}

impl Runner {
    /// Starts a runner that serves on a listener. Its tasks are detached and end with [`Runner::stop`].
    pub fn start(
        shared_state: Arc<SharedRunnerState>,
        id: RunnerId,
        function: FunctionKey,
        startup: Duration,
        slots: usize,
        listener: TcpListener,
    ) -> Arc<Self> {
        let (stop, stopped) = watch::channel(false);
        let started = Arc::new(Self {
            id,
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

    /// Stops the runner immediately and aborts its runs.
    pub fn stop(&self) {
        if !self.stopped.swap(true, Ordering::SeqCst) {
            self.stop.send_replace(true);
            let running_count = self
                .running
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .len();
            let detail = json!({
                "runner": self.id.to_string(),
                "function": self.function.to_string(),
                "running": running_count,
            });
            self.shared_state.records.add("runner_stop", detail);
        }
    }

    /// Serves connections, each in a detached task, until the runner stops.
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

    /// Returns a response without a seal.
    fn plain_response(&self, status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(body.into()));
        *response.status_mut() = status;
        set_header(&mut response, seal::RUNNER_HEADER, &self.id.to_string());
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

    /// Handles a request to run with the drawn behaviour, which may refuse it or close the connection instead.
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
        let request = self.read_run_request(&head.headers);
        if !self.is_addressed_by(&head.headers) {
            let detail = json!({
                "runner": self.id.to_string(),
                "meant": header_text(&head.headers, seal::RUNNER_HEADER),
                "transaction": request.idempotency_key.as_str(),
            });
            self.shared_state.records.add("misdirected", detail);
            return self.plain_response(StatusCode::MISDIRECTED_REQUEST, "{}");
        }
        let (drawn, drawn_span) = self.shared_state.draw_behaviour();
        let work_span = requested_work(&body_bytes).unwrap_or(drawn_span);
        let behaviour = if self.is_blocked_by_other_leases(request.fencing_token) {
            RunBehaviour::Refuse
        } else {
            drawn
        };
        match behaviour {
            RunBehaviour::Refuse => return self.refuse(&request.idempotency_key),
            RunBehaviour::BreakOff => {
                self.record_without_run("broke_off", &request.idempotency_key);
                disconnect.send_replace(true);
                return std::future::pending().await;
            }
            _ => {}
        }
        let idempotency_key = request.idempotency_key.clone();
        let (done_sender, done) = oneshot::channel();
        // Detached: the run continues when the caller disconnects, and ends by itself or when the runner stops.
        tokio::spawn(self.clone().run(request, work_span, done_sender));
        if done.await.is_err() {
            return std::future::pending().await;
        }
        if matches!(behaviour, RunBehaviour::Lose) {
            disconnect.send_replace(true);
            return std::future::pending().await;
        }
        self.run_response(&behaviour, &idempotency_key, &body_bytes)
    }

    fn read_run_request(&self, headers: &HeaderMap) -> RunRequest {
        RunRequest {
            idempotency_key: IdempotencyKey::from(header_text(
                headers,
                seal::IDEMPOTENCY_KEY_HEADER,
            )),
            fencing_token: header_text(headers, seal::FENCING_TOKEN_HEADER)
                .parse::<u64>()
                .map(FencingToken::from)
                .unwrap_or(self.id.fencing_token),
            attempt: header_text(headers, seal::ATTEMPT_HEADER)
                .parse()
                .unwrap_or(0),
        }
    }

    /// Whether a request names this runner and its function.
    fn is_addressed_by(&self, headers: &HeaderMap) -> bool {
        header_text(headers, seal::RUNNER_HEADER) == self.id.to_string()
            && header_text(headers, seal::FUNCTION_HEADER) == self.function.to_string()
    }

    /// Records that a request was not run.
    fn record_without_run(&self, kind: &str, idempotency_key: &IdempotencyKey) {
        let detail = json!({
            "runner": self.id.to_string(),
            "transaction": idempotency_key.as_str(),
        });
        self.shared_state.records.add(kind, detail);
    }

    /// Refuses a request with a sealed response.
    fn refuse(&self, idempotency_key: &IdempotencyKey) -> Response<Full<Bytes>> {
        self.record_without_run("refused", idempotency_key);
        let refusal = Bytes::from_static(b"{\"refused\":true}");
        let mut response = self.sealed_response(
            StatusCode::SERVICE_UNAVAILABLE,
            idempotency_key,
            true,
            refusal,
        );
        set_header(&mut response, seal::REJECTED_HEADER, "1");
        response
    }

    /// Returns the response after a run, falsified if the behaviour demands it.
    fn run_response(
        &self,
        behaviour: &RunBehaviour,
        idempotency_key: &IdempotencyKey,
        request_body: &[u8],
    ) -> Response<Full<Bytes>> {
        let answer = json!({
            "transaction": idempotency_key.as_str(),
            "function": self.function.to_string(),
            "runner": self.id.to_string(),
            "echo": seal::hex(&seal::digest(request_body)),
        });
        let answer_bytes = Bytes::from(answer.to_string());
        let falsified_body = match behaviour {
            RunBehaviour::Wrong => Some(Bytes::from_static(b"{\"garbage\":true}")),
            RunBehaviour::Short => Some(answer_bytes.slice(..answer_bytes.len() / 2)),
            _ => None,
        };
        let sealed_key = match behaviour {
            RunBehaviour::Foreign => &IdempotencyKey::from(format!("{idempotency_key}-other")),
            _ => idempotency_key,
        };
        let mut response = self.sealed_response(StatusCode::OK, sealed_key, false, answer_bytes);
        if let Some(body) = falsified_body {
            *response.body_mut() = Full::new(body);
        }
        response
    }

    /// Whether every slot is in use, at least one of them by a request of another lease holder.
    fn is_blocked_by_other_leases(&self, fencing_token: FencingToken) -> bool {
        let running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        let own_count = running
            .values()
            .filter(|(_, other)| *other == fencing_token)
            .count();
        running.len() >= self.slots && own_count < self.slots
    }

    /// Runs a request for the given time, and notifies `done` unless the runner is stopped first.
    async fn run(
        self: Arc<Self>,
        request: RunRequest,
        work_span: Duration,
        done: oneshot::Sender<()>,
    ) {
        let RunRequest {
            idempotency_key,
            fencing_token,
            attempt,
        } = request;
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
            "runner": self.id.to_string(),
            "function": self.function.to_string(),
            "transaction": idempotency_key.as_str(),
            "attempt": attempt,
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

    /// Returns a response whose seal covers the idempotency key, the function, the runner and the body.
    fn sealed_response(
        &self,
        status: StatusCode,
        idempotency_key: &IdempotencyKey,
        is_rejected: bool,
        body: Bytes,
    ) -> Response<Full<Bytes>> {
        let body_seal = seal::seal(idempotency_key, &self.function, self.id, is_rejected, &body);
        let mut response = self.plain_response(status, body);
        set_header(
            &mut response,
            seal::IDEMPOTENCY_KEY_HEADER,
            idempotency_key.as_str(),
        );
        set_header(
            &mut response,
            seal::FUNCTION_HEADER,
            &self.function.to_string(),
        );
        set_header(&mut response, seal::SEAL_HEADER, &body_seal);
        response
    }
}

fn set_header(response: &mut Response<Full<Bytes>>, name: &'static str, text: &str) {
    if let Ok(value) = hyper::header::HeaderValue::from_str(text) {
        response
            .headers_mut()
            .insert(hyper::header::HeaderName::from_static(name), value);
    }
}
