use super::links::{Exchanged, LinkFault};
use super::metered::SendPermit;
use super::{HeldHere, State};
use crate::agent::judge;
use crate::holder::SendEnd;
use common::clock::Moment;
use common::events;
use common::frames::{HopReason, Place};
use common::http::{call_json, closes, kept_for, single_text};
use common::identity::{RunnerId, Ticket, TransactionId};
use common::note;
use common::seal;
use common::tongue::{ReadyBy, RunnerWords};
use hyper::{Method, StatusCode};
use std::sync::Arc;
use std::time::Duration;

const USABLE_WITHIN: Duration = Duration::from_millis(100);

/// Sends one transaction to a runner, on a kept connection if there is one. The last look at the newest
/// spec comes when the connection is open, that at the member grant and the function's grant right before
/// the first byte is written. A runner that is gone gets nothing: its address may be another one's. A kept
/// connection that turns out to be gone before anything was written is no fault of the
/// runner's, and a new one is opened at once.
pub async fn send(
    state: &Arc<State>,
    held: &HeldHere,
    ticket: Ticket,
    runner: RunnerId,
    place: Place,
    attempt: u32,
) -> SendEnd {
    let Some(task) = held.task(ticket) else { return SendEnd::Barred(HopReason::NotServing) };
    let Some(target) = held.send_target(runner) else { return SendEnd::Unsent };
    let most = target.connections;
    let mut is_counted = false;
    let mut must_be_new = false;
    loop {
        let patience = task.budget_end.since(Moment::now());
        let drawn = if must_be_new {
            state.runner_links.draw_new(runner, place, most, patience).await
        } else {
            state.runner_links.draw(runner, place, most, patience).await
        };
        let mut link = match drawn {
            Ok(link) => link,
            Err(LinkFault::Unreachable) => return SendEnd::Unsent,
            Err(LinkFault::Full) => return SendEnd::ShedByRunner,
        };
        must_be_new = true;
        if !link.is_usable(USABLE_WITHIN).await {
            if link.is_kept() {
                continue;
            }
            return SendEnd::Unsent;
        }
        let call = match state.agent.runner_call(Moment::now(), held, &task, runner, attempt) {
            Ok(call) => call,
            Err(reason) => {
                state.runner_links.keep(link, None);
                return SendEnd::Barred(reason);
            }
        };
        let words = RunnerWords {
            transaction: &call.transaction,
            function: &call.function,
            runner: call.runner,
            life: call.runner.map(|_| &target.life),
            attempt,
            budget_left: call.budget_left,
            parcel: &call.parcel,
        };
        let Ok(request) = state.tongues.runner.request(place, &words) else {
            return SendEnd::Barred(HopReason::NotAllowed);
        };
        if !is_counted {
            is_counted = true;
            state.gauges.sends.inc();
            if attempt > 1 {
                state.gauges.extra_sends.inc();
            }
        }
        let permit = send_permit(state.clone(), held.clone());
        let largest_body = state.boot.largest_body;
        match link.exchange(request, permit, call.budget_left, largest_body).await {
            Exchanged::Answered(called) => {
                let kept_for = kept_for(&called.headers);
                let is_last = closes(&called.headers);
                let said = state.tongues.runner.read(called.status, &called.headers, called.body);
                let is_last = is_last || said.closes;
                let end =
                    judge(state.agent.rules, &task.transaction, &held.function, target.face, said);
                if matches!(end, SendEnd::Lost) {
                    state.gauges.rejected_answers.inc();
                    note!(Debug, events::ANSWER_REJECTED, "{} on {runner}: seal", task.transaction);
                } else if !is_last && !matches!(end, SendEnd::OtherRunner) {
                    state.runner_links.keep(link, kept_for);
                }
                return end;
            }
            Exchanged::Untaken if !state.agent.may_send(Moment::now(), held) => {
                return SendEnd::Barred(HopReason::NotServing);
            }
            Exchanged::Untaken if link.is_kept() => {}
            Exchanged::Untaken => return SendEnd::Unsent,
            Exchanged::Lost(fault) => {
                note!(Debug, events::ANSWER_REJECTED, "{} on {runner}: {fault}", task.transaction);
                return SendEnd::Lost;
            }
        }
    }
}

fn send_permit(state: Arc<State>, held: HeldHere) -> SendPermit {
    let asked_state = state.clone();
    SendPermit {
        is_given: Box::new(move || asked_state.agent.may_send(Moment::now(), &held)),
        begun: Box::new(move || state.agent.check_sent(Moment::now())),
    }
}

/// Whether a booting runner is ready, and is the one it should be. A connection that was opened to find
/// that out is kept.
pub async fn is_ready(state: &State, held: &HeldHere, runner: RunnerId, place: Place) -> bool {
    let patience = Duration::from_millis(800);
    match state.tongues.runner.ready_by() {
        ReadyBy::Asking(path, name_header) => {
            let called = call_json(place, Method::GET, path, None, patience).await;
            called.is_ok_and(|called| {
                called.status == StatusCode::OK
                    && single_text(&called.headers, name_header) == held.face_of(runner).to_string()
            })
        }
        ReadyBy::Connecting => {
            let most = held.with(|holder| holder.connections());
            match state.runner_links.draw_new(runner, place, most, patience).await {
                Ok(link) => {
                    state.runner_links.keep(link, None);
                    true
                }
                Err(_) => false,
            }
        }
    }
}

/// What a runner is running; none when it is gone, or another runner answers at its address.
pub async fn running(state: &State, runner: RunnerId, place: Place) -> Option<Vec<TransactionId>> {
    let patience = Duration::from_millis(800);
    let path = state.tongues.runner.running_path()?;
    match call_json(place, Method::GET, path, None, patience).await {
        Ok(called) => {
            if single_text(&called.headers, seal::RUNNER) != runner.to_string() {
                return None;
            }
            let body = called.json();
            let listed = body.get("running")?.as_array()?;
            Some(listed.iter().filter_map(|item| item.as_str().map(TransactionId::from)).collect())
        }
        Err(_) => None,
    }
}
