use super::{Holding, State};
use crate::holder::SendEnd;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap};
use hyper::{Method, Request, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use waymark::clock::Moment;
use waymark::events;
use waymark::frames::{HopOutcome, HopReason, Place};
use waymark::http::{Called, call, call_json};
use waymark::identity::{RunnerId, Ticket, TransactionId};
use waymark::note;
use waymark::seal;

/// Sends one transaction to a runner, after a last look at the member grant and the newest spec.
pub async fn send(
    state: &Arc<State>,
    holding: &Holding,
    ticket: Ticket,
    runner: RunnerId,
    place: Place,
    attempt: u32,
) -> SendEnd {
    let Some(task) = holding.task(ticket) else { return SendEnd::Barred(HopReason::NotServing) };
    let budget_left = task.budget_end.since(Moment::now());
    let request = Request::builder()
        .method(Method::POST)
        .uri("/run")
        .header(HOST, place.to_string())
        .header(CONTENT_TYPE, "application/json")
        .header(seal::TRANSACTION, task.transaction.as_str())
        .header(seal::FUNCTION, holding.function.to_string())
        .header(seal::RUNNER, runner.to_string())
        .header(seal::ATTEMPT, attempt.to_string())
        .header(seal::BUDGET, budget_left.as_millis().to_string())
        .body(Full::new(task.body.clone()));
    let Ok(request) = request else { return SendEnd::Barred(HopReason::NotAllowed) };
    {
        let table = state.table.load();
        let is_allowed = table
            .route_named(&task.route)
            .is_some_and(|route| table.function(route.function).key == holding.function);
        if !is_allowed {
            return SendEnd::Barred(HopReason::NotAllowed);
        }
    }
    if !state.is_serving() {
        return SendEnd::Barred(HopReason::NotServing);
    }
    state.gauges.sends.inc();
    if attempt > 1 {
        state.gauges.extra_sends.inc();
    }
    match call(place, request, budget_left, state.boot.largest_body).await {
        Ok(called) => judge(state, holding, &task.transaction, runner, called),
        Err(fault) if fault.is_surely_unsent() => SendEnd::Unsent,
        Err(fault) => {
            note!(Debug, events::ANSWER_REJECTED, "{} on {runner}: {fault}", task.transaction);
            SendEnd::Lost
        }
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}

fn judge(
    state: &State,
    holding: &Holding,
    transaction: &TransactionId,
    runner: RunnerId,
    called: Called,
) -> SendEnd {
    let is_shed = called.headers.contains_key(seal::SHED);
    let given_seal = header(&called.headers, seal::SEAL).to_owned();
    let right_seal = seal::seal(transaction, &holding.function, runner, is_shed, &called.body);
    let is_right = header(&called.headers, seal::TRANSACTION) == transaction.as_str()
        && header(&called.headers, seal::FUNCTION) == holding.function.to_string()
        && header(&called.headers, seal::RUNNER) == runner.to_string()
        && given_seal == right_seal;
    if !is_right {
        state.gauges.rejected_answers.inc();
        note!(Debug, events::ANSWER_REJECTED, "{transaction} on {runner}: wrong seal");
        return SendEnd::Lost;
    }
    if is_shed {
        return SendEnd::ShedByRunner;
    }
    SendEnd::Answered(HopOutcome::Answer {
        status: called.status.as_u16(),
        seal: given_seal.into_bytes().into(),
        runner,
        body: called.body.into(),
    })
}

/// Whether a booting runner is ready, and is the one it should be.
pub async fn is_ready(runner: RunnerId, place: Place) -> bool {
    let patience = Duration::from_millis(800);
    let called = call_json(place, Method::GET, "/ready", None, patience).await;
    called.is_ok_and(|called| {
        called.status == StatusCode::OK
            && header(&called.headers, seal::RUNNER) == runner.to_string()
    })
}

/// What a runner is running; none when it is gone, or another runner answers at its address.
pub async fn running(runner: RunnerId, place: Place) -> Option<Vec<TransactionId>> {
    let patience = Duration::from_millis(800);
    match call_json(place, Method::GET, "/running", None, patience).await {
        Ok(called) => {
            if header(&called.headers, seal::RUNNER) != runner.to_string() {
                return None;
            }
            let body = called.json();
            let listed = body.get("running")?.as_array()?;
            Some(listed.iter().filter_map(|item| item.as_str().map(TransactionId::from)).collect())
        }
        Err(_) => None,
    }
}
