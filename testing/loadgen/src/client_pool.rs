//! The callers: when each calls, what it sends, and the record of what it was told.

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

/// How many transactions ended how.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Counts by outcome and reason.
    pub counts: BTreeMap<String, u64>,
}

impl Summary {
    /// The counts as JSON.
    pub fn to_value(&self) -> Value {
        json!(self.counts)
    }
}

struct ClientPool {
    plan: Plan,
    records: Records,
    ready_ingresses: Mutex<Vec<SocketAddress>>,
    summary: Mutex<Summary>,
}

struct ScheduledRequest {
    route_index: usize,
    seed: u64,
    name: String,
}

/// Calls as planned, and counts how it went.
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

fn schedule(plan: &Plan) -> Vec<(Duration, ScheduledRequest)> {
    let mut rng = SeededRng::seeded(plan.seed);
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
        let name = format!("{}-{number}", plan.seed);
        scheduled_requests.push((
            due_at,
            ScheduledRequest {
                route_index: chosen_index.unwrap_or(0),
                seed: rng.number(),
                name,
            },
        ));
    }
    for (burst_number, burst) in plan.bursts.iter().enumerate() {
        for turn in 0..burst.count {
            let burst_at = burst.at + burst.lasts.mul_f64(turn as f64 / burst.count as f64);
            let route_index =
                (burst.first_route + turn as usize % burst.route_count) % plan.routes.len();
            let name = format!("{}-b{burst_number}-{turn}", plan.seed);
            scheduled_requests.push((
                burst_at,
                ScheduledRequest {
                    route_index,
                    seed: rng.number(),
                    name,
                },
            ));
        }
    }
    scheduled_requests.sort_by_key(|(due_at, _)| *due_at);
    scheduled_requests
}

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
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}

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
    for try_number in 0..max_attempts {
        let identity = format!("{}-{try_number}", scheduled_request.name);
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

async fn send_once(
    client_pool: &ClientPool,
    route: &PlannedRoute,
    identity: &str,
    repeat_of: Option<&str>,
    rng: &mut SeededRng,
) -> bool {
    let timeout = rng.within(route.timeout.0, route.timeout.1);
    let body = Bytes::from(json!({"of": identity, "salt": rng.number()}).to_string());
    let sent_at = MonotonicTime::now();
    let mut end = json!({"outcome": "no_door"});
    let mut used_ingress = None;
    for _ in 0..4 {
        let ingress = {
            let ingresses = client_pool
                .ready_ingresses
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            ingresses[rng.below(ingresses.len() as u64) as usize]
        };
        used_ingress = Some(ingress);
        let mut request = Request::builder()
            .method(route.method.clone())
            .uri(&route.path)
            .header(HOST, ingress.to_string())
            .header(CONTENT_TYPE, "application/json")
            .header(seal::IDEMPOTENCY_KEY, identity)
            .header(seal::TIMEOUT, timeout.as_millis().to_string());
        if let Some(first_identity) = repeat_of {
            request = request.header(seal::REPEAT_OF, first_identity);
        }
        let Ok(request) = request.body(Full::new(body.clone())) else {
            return true;
        };
        match call(
            ingress,
            request,
            timeout + Duration::from_millis(500),
            8 << 20,
        )
        .await
        {
            Ok(called) => {
                end = read_outcome(route, identity, &body, &called);
                break;
            }
            Err(error) if error.is_certainly_unsent() => {}
            Err(error) => {
                end = json!({"outcome": "lost", "reason": error.to_string()});
                break;
            }
        }
    }
    let outcome = end["outcome"].as_str().unwrap_or("").to_owned();
    let reason = end["reason"].as_str().unwrap_or("").to_owned();
    let mut record = end;
    record["kind"] = json!("transaction");
    record["at"] = json!(sent_at.0);
    record["end"] = json!(MonotonicTime::now().0);
    record["id"] = json!(identity);
    record["function"] = json!(route.function);
    record["path"] = json!(route.path);
    record["once"] = json!(route.once);
    record["budget_ms"] = json!(timeout.as_millis() as u64);
    record["door"] = json!(used_ingress.map(|ingress| ingress.to_string()));
    if let Some(first_identity) = repeat_of {
        record["repeat_of"] = json!(first_identity);
    }
    client_pool.records.write(&record);
    let mut summary = client_pool
        .summary
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let label = if reason.is_empty() {
        outcome.clone()
    } else {
        format!("{outcome}:{reason}")
    };
    *summary.counts.entry(label).or_default() += 1;
    outcome == "answer"
}

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
