//! Callers that keep a connection each, and use it until its daemon closes it or is gone.
//!
//! They do not ask which daemons are ready: an open connection stays with its daemon.

use crate::attempt::{Attempt, read_outcome};
use crate::client_pool::{ClientPool, MAX_RESPONSE_BYTES, RESPONSE_MARGIN};
use crate::plan::KeptConnections;
use bytes::Bytes;
use common::clock::MonotonicTime;
use common::frames::SocketAddress;
use common::http::{CallError, CallResponse, connect};
use common::rng::SeededRng;
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The outcome of a request whose caller closed its connection before the response.
const LEFT: &str = "left";
/// The delay before a connection is opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Opens the plan's kept connections; each is used until the end of the plan, and opened again when it is closed.
pub(super) fn open_connections(client_pool: &Arc<ClientPool>, started_at: Instant) -> JoinSet<()> {
    let mut callers = JoinSet::new();
    let Some(kept) = client_pool.plan.kept_connections else {
        return callers;
    };
    let ends_at = started_at + client_pool.plan.lasts;
    for number in 0..kept.count {
        let caller = KeptCaller::new(client_pool.clone(), kept, number);
        callers.spawn(caller.run(ends_at));
    }
    callers
}

/// One caller and its connection.
struct KeptCaller {
    client_pool: Arc<ClientPool>,
    kept: KeptConnections,
    number: usize,
    ingress: SocketAddress,
    rng: SeededRng,
    sent_count: u64,
}

impl KeptCaller {
    fn new(client_pool: Arc<ClientPool>, kept: KeptConnections, number: usize) -> Self {
        let plan = &client_pool.plan;
        let ingress = plan.ingresses[number % plan.ingresses.len()];
        let rng = SeededRng::seeded(plan.seed ^ 0x6b65_7074 ^ ((number as u64) << 32));
        Self {
            client_pool,
            kept,
            number,
            ingress,
            rng,
            sent_count: 0,
        }
    }

    async fn run(mut self, ends_at: Instant) {
        while Instant::now() < ends_at {
            if let Ok(mut sender) = open(self.ingress).await {
                while Instant::now() < ends_at && self.send(&mut sender).await {
                    let pause = self.rng.within(Duration::ZERO, self.kept.longest_pause);
                    sleep(pause).await;
                }
            }
            sleep(RECONNECT_DELAY).await;
        }
    }

    /// Sends and records one request; returns whether the connection can still be used.
    async fn send(&mut self, sender: &mut SendRequest<Full<Bytes>>) -> bool {
        self.sent_count += 1;
        let identity = format!(
            "{}-k{}-{}",
            self.client_pool.plan.seed, self.number, self.sent_count
        );
        let route_index = self.route_index();
        let stay = self.drawn_stay();
        let route = &self.client_pool.plan.routes[route_index];
        let body = route.body(&identity, &mut self.rng);
        let attempt = Attempt {
            route,
            identity: &identity,
            repeat_of: None,
            timeout: self.rng.within(route.timeout.0, route.timeout.1),
            body,
        };
        let Some(request) = attempt.request(self.ingress) else {
            return false;
        };
        let sent_at = MonotonicTime::now();
        let response_timeout = stay.unwrap_or(attempt.timeout + RESPONSE_MARGIN);
        let exchanged = timeout(response_timeout, exchange(sender, request)).await;
        let mut record = match exchanged {
            Ok(Ok(called)) => read_outcome(route, &identity, &attempt.body, &called),
            Ok(Err(CallError::Lost(error))) if is_unsent(&error) => return false,
            Ok(Err(error)) => json!({"outcome": "lost", "reason": error.to_string()}),
            Err(_) if stay.is_some() => json!({"outcome": LEFT, "reason": LEFT}),
            Err(_) => json!({"outcome": "lost", "reason": CallError::Timeout.to_string()}),
        };
        record["kept"] = json!(true);
        attempt.complete_record(&mut record, sent_at, Some(self.ingress));
        self.client_pool.records.write(&record);
        self.client_pool.count_outcome(&record);
        is_answered(&record) && !sender.is_closed()
    }

    /// How long the caller of the next request stays, if it leaves before the response.
    fn drawn_stay(&mut self) -> Option<Duration> {
        let leaves = self.kept.leaves_one_of > 0 && self.rng.below(self.kept.leaves_one_of) == 0;
        leaves.then(|| self.rng.within(Duration::ZERO, self.kept.longest_stay))
    }

    /// The route of the next request.
    fn route_index(&mut self) -> usize {
        let is_patient = self.number.is_multiple_of(2) && self.number / 2 < self.kept.patient_count;
        if is_patient {
            self.kept.patient_route
        } else {
            self.client_pool.plan.random_route(&mut self.rng)
        }
    }
}

/// Whether a connection was closed before the request was written to it.
fn is_unsent(error: &hyper::Error) -> bool {
    error.is_canceled() || error.is_closed()
}

fn is_answered(record: &Value) -> bool {
    record["outcome"] != json!("lost") && record["outcome"] != json!(LEFT)
}

async fn open(ingress: SocketAddress) -> Result<SendRequest<Full<Bytes>>, CallError> {
    let stream = connect(ingress, CONNECT_TIMEOUT).await?;
    let (sender, connection) = handshake(TokioIo::new(stream))
        .await
        .map_err(CallError::Lost)?;
    // Detached: it ends with the connection, or when the sender is dropped.
    tokio::spawn(connection);
    Ok(sender)
}

async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    request: hyper::Request<Full<Bytes>>,
) -> Result<CallResponse, CallError> {
    sender.ready().await.map_err(CallError::Lost)?;
    let response = sender
        .send_request(request)
        .await
        .map_err(CallError::Lost)?;
    CallResponse::receive(response, MAX_RESPONSE_BYTES).await
}
