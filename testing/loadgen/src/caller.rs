//! The callers: when each calls, what it sends, and the record of what it was told.

use crate::plan::{Plan, PlannedRoute};
use bytes::Bytes;
use common::chance::Chance;
use common::clock::Moment;
use common::frames::Place;
use common::http::{Called, call, call_json, header_text};
use common::identity::{FunctionKey, TransactionId};
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

struct Camp {
    plan: Plan,
    records: Records,
    ready_doors: Mutex<Vec<Place>>,
    summary: Mutex<Summary>,
}

struct Errand {
    route_place: usize,
    seed: u64,
    name: String,
}

/// Calls as planned, and counts how it went.
pub async fn walk(plan: Plan) -> std::io::Result<Summary> {
    let records = Records::create(&plan.records)?;
    let ready_doors = Mutex::new(plan.doors.clone());
    let camp =
        Arc::new(Camp { plan, records, ready_doors, summary: Mutex::new(Summary::default()) });
    let asking = tokio::spawn(ask_platform(camp.clone()));
    let mut open_errands = JoinSet::new();
    let started_at = Instant::now();
    for (due_at, errand) in schedule(&camp.plan) {
        tokio::time::sleep_until(started_at + due_at).await;
        open_errands.spawn(run_errand(camp.clone(), errand));
        while open_errands.try_join_next().is_some() {}
    }
    while open_errands.join_next().await.is_some() {}
    asking.abort();
    camp.records.flush();
    let summary = camp.summary.lock().unwrap_or_else(PoisonError::into_inner).clone();
    Ok(summary)
}

fn schedule(plan: &Plan) -> Vec<(Duration, Errand)> {
    let mut chance = Chance::seeded(plan.seed);
    let weight_sum: u64 = plan.routes.iter().map(|route| route.weight).sum();
    let mut errands = Vec::new();
    let mut due_at = Duration::ZERO;
    let mut number = 0;
    while plan.rate > 0.0 && due_at < plan.lasts {
        let gap_seconds = -(1.0 - chance.share()).ln() / plan.rate;
        due_at += Duration::from_secs_f64(gap_seconds);
        let mut point = chance.below(weight_sum.max(1));
        let chosen_place = plan.routes.iter().position(|route| {
            let is_chosen = point < route.weight;
            point = point.saturating_sub(route.weight);
            is_chosen
        });
        number += 1;
        let name = format!("{}-{number}", plan.seed);
        errands.push((
            due_at,
            Errand { route_place: chosen_place.unwrap_or(0), seed: chance.number(), name },
        ));
    }
    for (burst_number, burst) in plan.bursts.iter().enumerate() {
        for turn in 0..burst.count {
            let burst_at = burst.at + burst.lasts.mul_f64(turn as f64 / burst.count as f64);
            let route_place =
                (burst.first_route + turn as usize % burst.route_count) % plan.routes.len();
            let name = format!("{}-b{burst_number}-{turn}", plan.seed);
            errands.push((burst_at, Errand { route_place, seed: chance.number(), name }));
        }
    }
    errands.sort_by_key(|(due_at, _)| *due_at);
    errands
}

async fn ask_platform(camp: Arc<Camp>) {
    let Some(platform) = camp.plan.platform else { return };
    loop {
        let patience = Duration::from_secs(1);
        if let Ok(called) = call_json(platform, Method::GET, "/v1/daemons", None, patience).await {
            let body = called.json();
            let listed = body.get("ready").and_then(Value::as_array).cloned().unwrap_or_default();
            let places: Vec<Place> =
                listed.iter().filter_map(|item| item.as_str()?.parse().ok().map(Place)).collect();
            if !places.is_empty() {
                *camp.ready_doors.lock().unwrap_or_else(PoisonError::into_inner) = places;
            }
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}

async fn run_errand(camp: Arc<Camp>, errand: Errand) {
    let mut chance = Chance::seeded(errand.seed);
    let route = &camp.plan.routes[errand.route_place];
    let is_impatient = chance.happens(camp.plan.impatience.share);
    let most_tries = if is_impatient { 1 + camp.plan.impatience.most } else { 1 };
    let mut repeat_of: Option<String> = None;
    for try_number in 0..most_tries {
        let identity = format!("{}-{try_number}", errand.name);
        let is_done = one_try(&camp, route, &identity, repeat_of.as_deref(), &mut chance).await;
        if is_done {
            return;
        }
        repeat_of.get_or_insert(identity);
    }
}

async fn one_try(
    camp: &Camp,
    route: &PlannedRoute,
    identity: &str,
    repeat_of: Option<&str>,
    chance: &mut Chance,
) -> bool {
    let budget = chance.within(route.budget.0, route.budget.1);
    let body = Bytes::from(json!({"of": identity, "salt": chance.number()}).to_string());
    let sent_at = Moment::now();
    let mut end = json!({"outcome": "no_door"});
    let mut used_door = None;
    for _ in 0..4 {
        let door = {
            let doors = camp.ready_doors.lock().unwrap_or_else(PoisonError::into_inner);
            doors[chance.below(doors.len() as u64) as usize]
        };
        used_door = Some(door);
        let mut request = Request::builder()
            .method(route.method.clone())
            .uri(&route.path)
            .header(HOST, door.to_string())
            .header(CONTENT_TYPE, "application/json")
            .header(seal::TRANSACTION, identity)
            .header(seal::BUDGET, budget.as_millis().to_string());
        if let Some(first_identity) = repeat_of {
            request = request.header(seal::REPEAT_OF, first_identity);
        }
        let Ok(request) = request.body(Full::new(body.clone())) else { return true };
        match call(door, request, budget + Duration::from_millis(500), 8 << 20).await {
            Ok(called) => {
                end = read_end(route, identity, &body, &called);
                break;
            }
            Err(fault) if fault.is_surely_unsent() => {}
            Err(fault) => {
                end = json!({"outcome": "lost", "reason": fault.to_string()});
                break;
            }
        }
    }
    let outcome = end["outcome"].as_str().unwrap_or("").to_owned();
    let reason = end["reason"].as_str().unwrap_or("").to_owned();
    let mut record = end;
    record["kind"] = json!("transaction");
    record["at"] = json!(sent_at.0);
    record["end"] = json!(Moment::now().0);
    record["id"] = json!(identity);
    record["function"] = json!(route.function);
    record["path"] = json!(route.path);
    record["once"] = json!(route.once);
    record["budget_ms"] = json!(budget.as_millis() as u64);
    record["door"] = json!(used_door.map(|door| door.to_string()));
    if let Some(first_identity) = repeat_of {
        record["repeat_of"] = json!(first_identity);
    }
    camp.records.write(&record);
    let mut summary = camp.summary.lock().unwrap_or_else(PoisonError::into_inner);
    let label = if reason.is_empty() { outcome.clone() } else { format!("{outcome}:{reason}") };
    *summary.counts.entry(label).or_default() += 1;
    outcome == "answer"
}

fn read_end(route: &PlannedRoute, identity: &str, sent_body: &[u8], called: &Called) -> Value {
    let body = called.json();
    let outcome = header_text(&called.headers, seal::OUTCOME);
    let mut end = json!({"outcome": outcome, "status": called.status.as_u16()});
    if outcome == "answer" {
        let function_text = header_text(&called.headers, seal::FUNCTION);
        let runner_text = header_text(&called.headers, seal::RUNNER);
        let is_sealed = match (function_text.parse::<FunctionKey>(), runner_text.parse()) {
            (Ok(key), Ok(runner)) => {
                let transaction = TransactionId::from(identity);
                let right_seal = seal::seal(&transaction, &key, runner, false, &called.body);
                right_seal == header_text(&called.headers, seal::SEAL)
                    && key.name.as_str().starts_with(&route.function)
            }
            _ => false,
        };
        let is_own = body["transaction"] == json!(identity)
            && body["echo"] == json!(seal::hex(&seal::digest(sent_body)));
        end["sealed"] = json!(is_sealed && is_own);
        end["runner"] = json!(runner_text);
    } else {
        end["reason"] = body["reason"].clone();
        end["retry_after_ms"] = body["retry_after_ms"].clone();
    }
    end
}
