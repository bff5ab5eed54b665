use super::{HeldHere, State};
use crate::holder::SendEnd;
use crate::lodge::judge;
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use waymark::clock::Moment;
use waymark::events;
use waymark::frames::{HopReason, Place};
use waymark::http::{call_json, connect, exchange};
use waymark::identity::{RunnerId, Ticket, TransactionId};
use waymark::note;
use waymark::seal;
use waymark::tongue::{ReadyBy, RunnerWords};

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
    let life = held.life_of(runner);
    let words = RunnerWords {
        transaction: &call.transaction,
        function: &call.function,
        runner: call.runner,
        life: call.runner.and(life.as_ref().map(|life| &life.name)),
        attempt,
        budget_left,
        parcel: &call.parcel,
    };
    let Ok(request) = state.tongues.runner.request(place, &words) else {
        return SendEnd::Barred(HopReason::NotAllowed);
    };
    state.gauges.sends.inc();
    if attempt > 1 {
        state.gauges.extra_sends.inc();
    }
    match exchange(connection, request, budget_left, state.boot.largest_body).await {
        Ok(called) => {
            let said = state.tongues.runner.read(called.status, &called.headers, called.body);
            let end = judge(state.lodge.rules, &task.transaction, &held.function, runner, said);
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

fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}

/// Whether a booting runner is ready, and is the one it should be.
pub async fn is_ready(state: &State, runner: RunnerId, place: Place) -> bool {
    let patience = Duration::from_millis(800);
    match state.tongues.runner.ready_by() {
        ReadyBy::Asking(path, name_header) => {
            let called = call_json(place, Method::GET, path, None, patience).await;
            called.is_ok_and(|called| {
                called.status == StatusCode::OK
                    && header(&called.headers, name_header) == runner.to_string()
            })
        }
        ReadyBy::Connecting => connect(place, patience).await.is_ok(),
    }
}

/// What a runner is running; none when it is gone, or another runner answers at its address.
pub async fn running(state: &State, runner: RunnerId, place: Place) -> Option<Vec<TransactionId>> {
    let patience = Duration::from_millis(800);
    let path = state.tongues.runner.running_path()?;
    match call_json(place, Method::GET, path, None, patience).await {
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
