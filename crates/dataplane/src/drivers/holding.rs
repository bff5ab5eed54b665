//! Held functions: transactions taken in, and the orders of their holders carried out.

use super::control::ControlInput;
use super::{AskEnd, HeldHere, State, platform, runners};
use crate::agent::{Question, Task, Topic};
use crate::holder::{Holder, HolderOutput, SendEnd};
use common::clock::Moment;
use common::events;
use common::frames::{HopOutcome, HopReason};
use common::identity::{RunnerId, Ticket};
use std::sync::Arc;
use tokio::sync::oneshot;

/// Takes a transaction back when nobody waits for it any more, so that it is not sent to a runner from then on.
struct Withdrawal<'a> {
    held: &'a HeldHere,
    ticket: Ticket,
}

impl Drop for Withdrawal<'_> {
    fn drop(&mut self) {
        self.held.leave(self.ticket);
    }
}

/// Takes a transaction in and waits for its outcome.
pub async fn serve(state: &Arc<State>, held: &HeldHere, task: Task) -> HopOutcome {
    let ticket = state.agent.ticket();
    let (outcome_sender, outcome) = oneshot::channel();
    let _withdrawal = Withdrawal { held, ticket };
    let (at_once, outputs) = held.enter(Moment::now(), ticket, task, outcome_sender);
    drive(held, state, outputs);
    match at_once {
        Some((_, outcome)) => outcome,
        None => outcome.await.unwrap_or(HopOutcome::Unknown { reason: HopReason::AnswerLost }),
    }
}

/// Does what a holder orders.
pub fn drive(held: &HeldHere, state: &Arc<State>, outputs: Vec<HolderOutput>) {
    state.hurry(held);
    for output in outputs {
        match held.question(output) {
            Ok(question) => {
                tokio::spawn(ask_steward(state.clone(), held.clone(), question));
            }
            Err(order) => obey(held, state, order),
        }
    }
}

fn obey(held: &HeldHere, state: &Arc<State>, order: HolderOutput) {
    let held = held.clone();
    let state = state.clone();
    match order {
        HolderOutput::Send { ticket, runner, place, attempt } => {
            tokio::spawn(async move {
                let sent_at = Moment::now();
                let end = runners::send(&state, &held, ticket, runner, place, attempt).await;
                log_failed_send(&state, &held, (ticket, runner), &end, sent_at);
                apply(&held, &state, |holder, now| holder.sent_ended(now, ticket, end));
            });
        }
        HolderOutput::End { ticket, outcome } => {
            log_not_served(&state, &held, ticket, &outcome);
            if let Some(waiter) = held.leave(ticket) {
                let _ = waiter.send(outcome);
            }
        }
        HolderOutput::Start { runner, worker, spec } => {
            tokio::spawn(async move {
                let end = platform::start(&state, &held, runner, &worker, &spec).await;
                apply(&held, &state, |holder, now| holder.started(now, runner, end));
            });
        }
        HolderOutput::Probe { runner, place } => {
            tokio::spawn(async move {
                let is_ready = runners::is_ready(&state, &held, runner, place).await;
                apply(&held, &state, |holder, now| holder.probed(now, runner, is_ready));
            });
        }
        HolderOutput::Settle { runner, place } => {
            tokio::spawn(async move {
                let running = runners::running(&state, held.face_of(runner), place).await;
                apply(&held, &state, |holder, now| holder.settled(now, runner, running));
            });
        }
        HolderOutput::Stop { runner, worker, life } => {
            state.runner_links.forget(runner);
            tokio::spawn(async move {
                if platform::stop(&state, &held, runner, worker, life).await {
                    apply(&held, &state, |holder, now| holder.stopped(now, runner));
                }
            });
        }
        HolderOutput::Tell(word) => {
            let word = ControlInput::Word(held.function.clone(), held.grant, word);
            let _ = state.control.send(word);
        }
        HolderOutput::Collect { .. } | HolderOutput::Note { .. } | HolderOutput::Compare { .. } => {
        }
    }
}

fn log_failed_send(
    state: &State,
    held: &HeldHere,
    (ticket, runner): (Ticket, RunnerId),
    end: &SendEnd,
    sent_at: Moment,
) {
    if let (Some(how), Some(task)) = (end.failure(), held.task(ticket)) {
        let (transaction, function) = (&task.transaction, &held.function);
        let taken_ms = Moment::now().since(sent_at).as_millis();
        let detail = format_args!("{transaction} {function} on {runner} {how} after {taken_ms} ms");
        state.request_log.write(events::SEND_FAILED, detail);
    }
}

fn log_not_served(state: &State, held: &HeldHere, ticket: Ticket, outcome: &HopOutcome) {
    let (outcome, reason) = match outcome {
        HopOutcome::Answer { .. } => return,
        HopOutcome::NotRun { reason, .. } => ("not_run", reason.as_str()),
        HopOutcome::Unknown { reason } => ("unknown", reason.as_str()),
    };
    if let Some(task) = held.task(ticket) {
        let (function, grant) = (&held.function, held.grant);
        let detail =
            format_args!("{} {function} grant {grant} {outcome} {reason}", task.transaction);
        state.request_log.write(events::REQUEST_NOT_SERVED, detail);
    }
}

/// Changes a holder and does what it orders.
fn apply(
    held: &HeldHere,
    state: &Arc<State>,
    change: impl FnOnce(&mut Holder, Moment) -> Vec<HolderOutput>,
) {
    let outputs = held.with(|holder| change(holder, Moment::now()));
    drive(held, state, outputs);
}

async fn ask_steward(state: Arc<State>, held: HeldHere, question: Question) {
    let Question { steward, body, topic, patience } = question;
    let asked_at = Moment::now();
    let reply = match state.links.ask(steward.place, body, asked_at + patience).await {
        AskEnd::Reply(reply) => Some(reply),
        AskEnd::Unsent | AskEnd::Lost => None,
    };
    if matches!(topic, Topic::Note(_)) {
        state.gauges.note_seconds.observe(Moment::now().since(asked_at).as_secs_f64());
    }
    apply(&held, &state, |holder, now| topic.reply(holder, now, reply));
}
