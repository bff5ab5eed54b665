//! The clients that send the requests of a plan, retry them, and record and count the outcomes.

use crate::attempt::{Attempt, read_outcome};
use crate::persistent_connections::open_connections;
use crate::plan::{Plan, PlannedRoute};
use crate::schedule::{ScheduledRequest, schedule};
use common::clock::MonotonicTime;
use common::frames::SocketAddress;
use common::http::{call, call_json};
use common::rng::SeededRng;
use hyper::Method;
use platform_stub::records::Records;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// The number of attempts by outcome.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// The number of attempts by `outcome` or `outcome:reason`.
    pub counts: BTreeMap<String, u64>,
}

impl Summary {
    /// Returns the counts as a JSON object.
    pub fn to_value(&self) -> Value {
        json!(self.counts)
    }
}

/// The maximum number of ingresses that an attempt tries to connect to.
const MAX_INGRESSES: usize = 4;
/// How much longer than the timeout of its request a client waits for the response.
pub(super) const RESPONSE_MARGIN: Duration = Duration::from_millis(500);
/// The maximum size of a response body, in bytes.
pub(super) const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// The interval at which the list of ready ingresses is read from the platform.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// The state that all requests of a load share.
pub(super) struct ClientPool {
    pub(super) plan: Plan,
    pub(super) records: Records,
    ready_ingresses: Mutex<Vec<SocketAddress>>,
    summary: Mutex<Summary>,
}

/// Sends the requests of a plan, and records and counts their outcomes. Awaits all requests, and aborts the polling
/// task at the end.
///
/// # Errors
/// Fails if the record file cannot be created.
pub async fn run_plan(plan: Plan) -> std::io::Result<Summary> {
    let records = Records::create(&plan.records)?;
    let ready_ingresses = Mutex::new(plan.ingresses.clone());
    let client_pool = Arc::new(ClientPool {
        plan,
        records,
        ready_ingresses,
        summary: Mutex::new(Summary::default()),
    });
    let polling_task = tokio::spawn(poll_ready_ingresses(client_pool.clone()));
    let mut open_requests = JoinSet::new();
    let started_at = Instant::now();
    let persistent_connections = open_connections(&client_pool, started_at);
    for (due_at, scheduled_request) in schedule(&client_pool.plan) {
        tokio::time::sleep_until(started_at + due_at).await;
        open_requests.spawn(run_scheduled_request(
            client_pool.clone(),
            scheduled_request,
        ));
        while open_requests.try_join_next().is_some() {}
    }
    while open_requests.join_next().await.is_some() {}
    persistent_connections.join_all().await;
    polling_task.abort();
    client_pool.records.flush();
    let summary = client_pool
        .summary
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    Ok(summary)
}

/// Polls the platform for the ready ingresses. An empty list is ignored.
async fn poll_ready_ingresses(client_pool: Arc<ClientPool>) {
    let Some(platform) = client_pool.plan.platform else {
        return;
    };
    loop {
        let timeout = Duration::from_secs(1);
        if let Ok(response) = call_json(platform, Method::GET, "/v1/daemons", None, timeout).await {
            let body = response.json();
            let listed = body
                .get("ready")
                .and_then(Value::as_array)
                .cloned()
                .unwrap_or_default();
            let addresses: Vec<SocketAddress> = listed
                .iter()
                .filter_map(|item| item.as_str()?.parse().ok().map(SocketAddress))
                .collect();
            if !addresses.is_empty() {
                *client_pool
                    .ready_ingresses
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner) = addresses;
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Sends a request. With the probability in the plan, retries it immediately until it is answered or no retries are
/// left.
async fn run_scheduled_request(client_pool: Arc<ClientPool>, scheduled_request: ScheduledRequest) {
    let mut rng = SeededRng::seeded(scheduled_request.seed);
    let route = &client_pool.plan.routes[scheduled_request.route_index];
    let is_retrying = rng.random_bool(client_pool.plan.retry_behaviour.share);
    let max_attempts = if is_retrying {
        1 + client_pool.plan.retry_behaviour.max_retries
    } else {
        1
    };
    let mut repeat_of: Option<String> = None;
    for attempt_number in 0..max_attempts {
        let idempotency_key = format!("{}-{attempt_number}", scheduled_request.name);
        let is_done = send_once(
            &client_pool,
            route,
            &idempotency_key,
            repeat_of.as_deref(),
            &mut rng,
        )
        .await;
        if is_done {
            return;
        }
        repeat_of.get_or_insert(idempotency_key);
    }
}

impl ClientPool {
    fn random_ready_ingress(&self, rng: &mut SeededRng) -> SocketAddress {
        let ingresses = self
            .ready_ingresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        ingresses[rng.below(ingresses.len() as u64) as usize]
    }

    pub(super) fn count_outcome(&self, record: &Value) {
        let outcome = record["outcome"].as_str().unwrap_or("");
        let label = match record["reason"].as_str().unwrap_or("") {
            "" => outcome.to_owned(),
            reason => format!("{outcome}:{reason}"),
        };
        let mut summary = self.summary.lock().unwrap_or_else(PoisonError::into_inner);
        *summary.counts.entry(label).or_default() += 1;
    }
}

/// Sends and records one attempt. Returns whether the request is finished: it was answered, or it can't be built.
async fn send_once(
    client_pool: &ClientPool,
    route: &PlannedRoute,
    idempotency_key: &str,
    repeat_of: Option<&str>,
    rng: &mut SeededRng,
) -> bool {
    let attempt = Attempt {
        route,
        idempotency_key,
        repeat_of,
        timeout: rng.within(route.timeout.0, route.timeout.1),
        body: route.body(idempotency_key, rng),
    };
    let sent_at = MonotonicTime::now();
    let mut record = json!({"outcome": "no_door"});
    let mut used_ingress = None;
    for _ in 0..MAX_INGRESSES {
        let ingress = client_pool.random_ready_ingress(rng);
        used_ingress = Some(ingress);
        let Some(request) = attempt.request(ingress) else {
            return true;
        };
        let response_timeout = attempt.timeout + RESPONSE_MARGIN;
        match call(ingress, request, response_timeout, MAX_RESPONSE_BYTES).await {
            Ok(response) => {
                record = read_outcome(route, idempotency_key, &attempt.body, &response);
                break;
            }
            Err(error) if error.is_certainly_unsent() => {}
            Err(error) => {
                record = json!({"outcome": "lost", "reason": error.to_string()});
                break;
            }
        }
    }
    attempt.complete_record(&mut record, sent_at, used_ingress);
    client_pool.records.write(&record);
    client_pool.count_outcome(&record);
    record["outcome"] == json!("answer")
}
