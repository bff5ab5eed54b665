//! Clients that each keep one connection open, until its daemon closes it or terminates.
//!
//! They don't check which daemons are ready, since an open connection stays with its daemon.

use crate::attempt::{Attempt, read_outcome};
use crate::client_pool::{ClientPool, MAX_RESPONSE_BYTES, RESPONSE_MARGIN};
use crate::plan::PersistentConnections;
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

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The recorded outcome of a request whose client closed the connection before the response.
const ABANDONED: &str = "left";
/// Gives the random numbers of these clients another seed than those of the schedule, which has the plan's seed. It is
/// "kept", the plan's key for these clients, in ASCII.
const SEED_MASK: u64 = 0x6b65_7074;
/// The delay before a connection is opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Opens the persistent connections of the plan. Each is used until the end of the plan, and reopened when it is closed.
pub(super) fn open_connections(client_pool: &Arc<ClientPool>, started_at: Instant) -> JoinSet<()> {
    let mut clients = JoinSet::new();
    let Some(settings) = client_pool.plan.persistent_connections else {
        return clients;
    };
    let ends_at = started_at + client_pool.plan.duration;
    for number in 0..settings.count {
        let client = PersistentClient::new(client_pool.clone(), settings, number);
        clients.spawn(client.run(ends_at));
    }
    clients
}

/// A client with one connection.
struct PersistentClient {
    client_pool: Arc<ClientPool>,
    settings: PersistentConnections,
    number: usize,
    ingress: SocketAddress,
    rng: SeededRng,
    sent_count: u64,
}

impl PersistentClient {
    fn new(client_pool: Arc<ClientPool>, settings: PersistentConnections, number: usize) -> Self {
        let plan = &client_pool.plan;
        let ingress = plan.ingresses[number % plan.ingresses.len()];
        let rng = SeededRng::seeded(plan.seed ^ SEED_MASK ^ ((number as u64) << 32));
        Self {
            client_pool,
            settings,
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
                    let pause = self.rng.within(Duration::ZERO, self.settings.max_pause);
                    sleep(pause).await;
                }
            }
            sleep(RECONNECT_DELAY).await;
        }
    }

    /// Sends and records one request. Returns whether the connection can still be used.
    async fn send(&mut self, sender: &mut SendRequest<Full<Bytes>>) -> bool {
        self.sent_count += 1;
        let idempotency_key = format!(
            "{}-k{}-{}",
            self.client_pool.plan.seed, self.number, self.sent_count
        );
        let route_index = self.route_index();
        let abandon_delay = self.draw_abandon_delay();
        let route = &self.client_pool.plan.routes[route_index];
        let body = route.body(&idempotency_key, &mut self.rng);
        let attempt = Attempt {
            route,
            idempotency_key: &idempotency_key,
            repeat_of: None,
            timeout: self.rng.within(route.timeout.0, route.timeout.1),
            body,
        };
        let Some(request) = attempt.request(self.ingress) else {
            return false;
        };
        let sent_at = MonotonicTime::now();
        let response_timeout = abandon_delay.unwrap_or(attempt.timeout + RESPONSE_MARGIN);
        let result = timeout(response_timeout, exchange(sender, request)).await;
        let mut record = match result {
            Ok(Ok(response)) => read_outcome(route, &idempotency_key, &attempt.body, &response),
            Ok(Err(CallError::Lost(error))) if is_unsent(&error) => return false,
            Ok(Err(error)) => json!({"outcome": "lost", "reason": error.to_string()}),
            Err(_) if abandon_delay.is_some() => json!({"outcome": ABANDONED, "reason": ABANDONED}),
            Err(_) => json!({"outcome": "lost", "reason": CallError::Timeout.to_string()}),
        };
        record["kept"] = json!(true);
        attempt.complete_record(&mut record, sent_at, Some(self.ingress));
        self.client_pool.records.write(&record);
        self.client_pool.count_outcome(&record);
        is_answered(&record) && !sender.is_closed()
    }

    /// Draws whether to abandon the next request, and after which delay.
    fn draw_abandon_delay(&mut self) -> Option<Duration> {
        let is_abandoned =
            self.settings.abandon_one_in > 0 && self.rng.below(self.settings.abandon_one_in) == 0;
        is_abandoned.then(|| {
            self.rng
                .within(Duration::ZERO, self.settings.max_abandon_delay)
        })
    }

    /// Returns the index of the route for the next request.
    fn route_index(&mut self) -> usize {
        let uses_single_route =
            self.number.is_multiple_of(2) && self.number / 2 < self.settings.single_route_count;
        if uses_single_route {
            self.settings.single_route
        } else {
            self.client_pool.plan.random_route(&mut self.rng)
        }
    }
}

/// Whether the connection was closed before the request was written to it.
fn is_unsent(error: &hyper::Error) -> bool {
    error.is_canceled() || error.is_closed()
}

fn is_answered(record: &Value) -> bool {
    record["outcome"] != json!("lost") && record["outcome"] != json!(ABANDONED)
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
