//! The callers: when requests are sent, how they are retried, and the records of their outcomes.

use crate::plan::{Plan, PlannedRoute};
use bytes::Bytes;
use common::clock::MonotonicTime;
use common::frames::SocketAddress;
use common::http::{CallResponse, call, call_json, header_text};
use common::identity::{FunctionKey, IdempotencyKey};
use common::rng::SeededRng;
use common::seal;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request};
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
    /// The counts as a JSON object.
    pub fn to_value(&self) -> Value {
        json!(self.counts)
    }
}

/// How many ingresses an attempt tries to connect to.
const MAX_INGRESSES: usize = 4;
/// How much longer than its timeout a request waits for the response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(500);
/// The largest accepted body of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// How often the ready ingresses are read from the platform.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// What all requests of a load share.
struct ClientPool {
    plan: Plan,
    records: Records,
    ready_ingresses: Mutex<Vec<SocketAddress>>,
    summary: Mutex<Summary>,
}

/// A request of the plan.
struct ScheduledRequest {
    route_index: usize,
    /// The seed of its random choices.
    seed: u64,
    /// The beginning of the identities of its attempts.
    name: String,
}

/// Sends the requests of a plan, records and counts their outcomes. The polling task is aborted at the end; all
/// requests are awaited.
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
    for (due_at, scheduled_request) in schedule(&client_pool.plan) {
        tokio::time::sleep_until(started_at + due_at).await;
        open_requests.spawn(run_scheduled_request(
            client_pool.clone(),
            scheduled_request,
        ));
        while open_requests.try_join_next().is_some() {}
    }
    while open_requests.join_next().await.is_some() {}
    polling_task.abort();
    client_pool.records.flush();
    let summary = client_pool
        .summary
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    Ok(summary)
}

/// All requests of a plan with the times at which they are sent, ascending.
fn schedule(plan: &Plan) -> Vec<(Duration, ScheduledRequest)> {
    let mut rng = SeededRng::seeded(plan.seed);
    let mut scheduled_requests = schedule_rate(plan, &mut rng);
    scheduled_requests.extend(schedule_bursts(plan, &mut rng));
    scheduled_requests.sort_by_key(|(due_at, _)| *due_at);
    scheduled_requests
}

/// Requests at the plan's rate, as a Poisson process; each for a random route by weight.
fn schedule_rate(plan: &Plan, rng: &mut SeededRng) -> Vec<(Duration, ScheduledRequest)> {
    let weight_sum: u64 = plan.routes.iter().map(|route| route.weight).sum();
    let mut scheduled_requests = Vec::new();
    let mut due_at = Duration::ZERO;
    let mut number = 0;
    while plan.rate > 0.0 && due_at < plan.lasts {
        let gap_seconds = -(1.0 - rng.fraction()).ln() / plan.rate;
        due_at += Duration::from_secs_f64(gap_seconds);
        let mut point = rng.below(weight_sum.max(1));
        let chosen_index = plan.routes.iter().position(|route| {
            let is_chosen = point < route.weight;
            point = point.saturating_sub(route.weight);
            is_chosen
        });
        number += 1;
        scheduled_requests.push((
            due_at,
            ScheduledRequest {
                route_index: chosen_index.unwrap_or(0),
                seed: rng.number(),
                name: format!("{}-{number}", plan.seed),
            },
        ));
    }
    scheduled_requests
}

/// The requests of bursts, evenly spaced.
fn schedule_bursts(plan: &Plan, rng: &mut SeededRng) -> Vec<(Duration, ScheduledRequest)> {
    let mut scheduled_requests = Vec::new();
    for (burst_number, burst) in plan.bursts.iter().enumerate() {
        for turn in 0..burst.count {
            let due_at = burst.at + burst.lasts.mul_f64(turn as f64 / burst.count as f64);
            let route_index =
                (burst.first_route + turn as usize % burst.route_count) % plan.routes.len();
            scheduled_requests.push((
                due_at,
                ScheduledRequest {
                    route_index,
                    seed: rng.number(),
                    name: format!("{}-b{burst_number}-{turn}", plan.seed),
                },
            ));
        }
    }
    scheduled_requests
}

/// Keeps the ready ingresses up to date; an empty list is ignored.
async fn poll_ready_ingresses(client_pool: Arc<ClientPool>) {
    let Some(platform) = client_pool.plan.platform else {
        return;
    };
    loop {
        let timeout = Duration::from_secs(1);
        if let Ok(called) = call_json(platform, Method::GET, "/v1/daemons", None, timeout).await {
            let body = called.json();
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

/// Sends a request, and retries it at once if this was drawn, until there is an answer.
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
        let identity = format!("{}-{attempt_number}", scheduled_request.name);
        let is_done = send_once(
            &client_pool,
            route,
            &identity,
            repeat_of.as_deref(),
            &mut rng,
        )
        .await;
        if is_done {
            return;
        }
        repeat_of.get_or_insert(identity);
    }
}

/// One attempt at a request.
struct Attempt<'a> {
    route: &'a PlannedRoute,
    identity: &'a str,
    /// The identity of the first attempt, if this is a retry.
    repeat_of: Option<&'a str>,
    timeout: Duration,
    body: Bytes,
}

impl Attempt<'_> {
    /// The HTTP request; none if the plan's path is no valid URI.
    fn request(&self, ingress: SocketAddress) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(self.route.method.clone())
            .uri(&self.route.path)
            .header(HOST, ingress.to_string())
            .header(CONTENT_TYPE, "application/json")
            .header(seal::IDEMPOTENCY_KEY, self.identity)
            .header(seal::TIMEOUT, self.timeout.as_millis().to_string());
        if let Some(first_identity) = self.repeat_of {
            request = request.header(seal::REPEAT_OF, first_identity);
        }
        request.body(Full::new(self.body.clone())).ok()
    }

    /// Adds what is known of every attempt to the record of its outcome.
    fn complete_record(
        &self,
        record: &mut Value,
        sent_at: MonotonicTime,
        ingress: Option<SocketAddress>,
    ) {
        record["kind"] = json!("transaction");
        record["at"] = json!(sent_at.0);
        record["end"] = json!(MonotonicTime::now().0);
        record["id"] = json!(self.identity);
        record["function"] = json!(self.route.function);
        record["path"] = json!(self.route.path);
        record["once"] = json!(self.route.once);
        record["budget_ms"] = json!(self.timeout.as_millis() as u64);
        record["door"] = json!(ingress.map(|ingress| ingress.to_string()));
        if let Some(first_identity) = self.repeat_of {
            record["repeat_of"] = json!(first_identity);
        }
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

    fn count_outcome(&self, record: &Value) {
        let outcome = record["outcome"].as_str().unwrap_or("");
        let label = match record["reason"].as_str().unwrap_or("") {
            "" => outcome.to_owned(),
            reason => format!("{outcome}:{reason}"),
        };
        let mut summary = self.summary.lock().unwrap_or_else(PoisonError::into_inner);
        *summary.counts.entry(label).or_default() += 1;
    }
}

/// Sends and records one attempt; returns whether the request is finished, with an answer or as impossible to send.
async fn send_once(
    client_pool: &ClientPool,
    route: &PlannedRoute,
    identity: &str,
    repeat_of: Option<&str>,
    rng: &mut SeededRng,
) -> bool {
    let attempt = Attempt {
        route,
        identity,
        repeat_of,
        timeout: rng.within(route.timeout.0, route.timeout.1),
        body: Bytes::from(json!({"of": identity, "salt": rng.number()}).to_string()),
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
            Ok(called) => {
                record = read_outcome(route, identity, &attempt.body, &called);
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

/// The outcome of a response as a record: its headers, and for an answer whether the seal and the body are right.
fn read_outcome(
    route: &PlannedRoute,
    identity: &str,
    sent_body: &[u8],
    called: &CallResponse,
) -> Value {
    let body = called.json();
    let outcome = header_text(&called.headers, seal::OUTCOME);
    let mut end = json!({"outcome": outcome, "status": called.status.as_u16()});
    if outcome == "answer" {
        let function_text = header_text(&called.headers, seal::FUNCTION);
        let runner_text = header_text(&called.headers, seal::RUNNER);
        let is_sealed = match (function_text.parse::<FunctionKey>(), runner_text.parse()) {
            (Ok(key), Ok(runner)) => {
                let idempotency_key = IdempotencyKey::from(identity);
                let right_seal = seal::seal(&idempotency_key, &key, runner, false, &called.body);
                right_seal == header_text(&called.headers, seal::SEAL)
                    && key.name.as_str().starts_with(&route.function)
            }
            _ => false,
        };
        let is_own_body = body["transaction"] == json!(identity)
            && body["echo"] == json!(seal::hex(&seal::digest(sent_body)));
        end["sealed"] = json!(is_sealed && is_own_body);
        end["runner"] = json!(runner_text);
    } else {
        end["reason"] = body["reason"].clone();
        end["retry_after_ms"] = body["retry_after_ms"].clone();
    }
    end
}
