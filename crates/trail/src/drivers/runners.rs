use super::{HeldHere, State};
use crate::holder::SendEnd;
use crate::lodge::{RunnerAnswer, RunnerCall, judge};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap};
use hyper::{Method, Request, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use waymark::clock::Moment;
use waymark::events;
use waymark::frames::{HopReason, Place};
use waymark::http::{call_json, connect, exchange};
use waymark::identity::{LifeName, RunnerId, Ticket, TransactionId};
use waymark::note;
use waymark::seal;

/// Sends one transaction to a runner. The last look at the member grant and the newest spec comes
/// when the connection is open, so that nothing is left between it and the send.
pub async fn send(
    state: &Arc<State>,
    held: &HeldHere,
    ticket: Ticket,
    runner: RunnerId,
    place: Place,
    attempt: u32,
) -> SendEnd {
    let Some(task) = held.task(ticket) else { return SendEnd::Barred(HopReason::NotServing) };
    let connect_patience = task.budget_end.since(Moment::now());
    let connection = match connect(place, connect_patience).await {
        Ok(connection) => connection,
        Err(_) => return SendEnd::Unsent,
    };
    let now = Moment::now();
    let call = match state.lodge.runner_call(now, held, &task, runner, attempt) {
        Ok(call) => call,
        Err(reason) => return SendEnd::Barred(reason),
    };
    let budget_left = call.budget_left;
    let life = held.life_of(runner).map(|life| life.name);
    let Ok(request) = request_of(place, call, life.as_ref()) else {
        return SendEnd::Barred(HopReason::NotAllowed);
    };
    state.gauges.sends.inc();
    if attempt > 1 {
        state.gauges.extra_sends.inc();
    }
    match exchange(connection, request, budget_left, state.boot.largest_body).await {
        Ok(called) => {
            let answer = RunnerAnswer {
                status: called.status.as_u16(),
                transaction: header(&called.headers, seal::TRANSACTION),
                function: header(&called.headers, seal::FUNCTION),
                runner: header(&called.headers, seal::RUNNER),
                seal: header(&called.headers, seal::SEAL),
                is_shed: called.headers.contains_key(seal::SHED),
                body: called.body.clone(),
            };
            let face = runner.face(life.as_ref());
            let end = judge(state.lodge.rules, &task.transaction, &held.function, face, answer);
            if matches!(end, SendEnd::Lost) {
                state.gauges.rejected_answers.inc();
                note!(Debug, events::ANSWER_REJECTED, "{} on {runner}: seal", task.transaction);
            }
            end
        }
        Err(fault) => {
            note!(Debug, events::ANSWER_REJECTED, "{} on {runner}: {fault}", task.transaction);
            SendEnd::Lost
        }
    }
}

fn request_of(
    place: Place,
    call: RunnerCall,
    life: Option<&LifeName>,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let mut request = Request::builder()
        .method(Method::POST)
        .uri("/run")
        .header(HOST, place.to_string())
        .header(CONTENT_TYPE, "application/json")
        .header(seal::TRANSACTION, call.transaction.as_str())
        .header(seal::FUNCTION, call.function.to_string())
        .header(seal::ATTEMPT, call.attempt.to_string())
        .header(seal::BUDGET, call.budget_left.as_millis().to_string());
    if let Some(runner) = call.runner {
        request = request
            .header(seal::RUNNER, runner.face(life).to_string())
            .header(seal::GRANT, runner.grant.to_string());
    }
    request.body(Full::new(call.body))
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
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
