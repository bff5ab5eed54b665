//! Held functions: transactions taken in, and the orders of their holders carried out.

use super::control::ControlInput;
use super::{HopCallResult, LocalHeldFunction, State, platform, runners};
use crate::agent::{HolderRequest, ReplicaRequest, ReplicaRequestKind};
use crate::holder::{Holder, HolderOutput, SendResult};
use common::clock::MonotonicTime;
use common::events;
use common::frames::{RequestFailureReason, RequestOutcome};
use common::identity::{RunnerId, Ticket};
use std::sync::Arc;
use tokio::sync::oneshot;

/// Takes a transaction back when nobody waits for it any more, so that it is not sent to a runner from then on.
struct WaiterGuard<'a> {
    held: &'a LocalHeldFunction,
    ticket: Ticket,
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        self.held.remove_waiter(self.ticket);
    }
}

/// Takes a transaction in and waits for its outcome.
pub async fn serve(
    state: &Arc<State>,
    held: &LocalHeldFunction,
    holder_request: HolderRequest,
) -> RequestOutcome {
    let ticket = state.agent.ticket();
    let (outcome_sender, outcome) = oneshot::channel();
    let _waiter_guard = WaiterGuard { held, ticket };
    let (immediate_outcome, outputs) =
        held.admit(MonotonicTime::now(), ticket, holder_request, outcome_sender);
    drive(held, state, outputs);
    match immediate_outcome {
        Some((_, outcome)) => outcome,
        None => outcome.await.unwrap_or(RequestOutcome::Unknown {
            reason: RequestFailureReason::ResponseLost,
        }),
    }
}

/// Does what a holder orders.
pub fn drive(held: &LocalHeldFunction, state: &Arc<State>, outputs: Vec<HolderOutput>) {
    state.wake_control_if_due(held);
    for output in outputs {
        match held.replica_request(output) {
            Ok(replica_request) => {
                tokio::spawn(call_replica(state.clone(), held.clone(), replica_request));
            }
            Err(order) => execute(held, state, order),
        }
    }
}

fn execute(held: &LocalHeldFunction, state: &Arc<State>, order: HolderOutput) {
    let held = held.clone();
    let state = state.clone();
    match order {
        HolderOutput::Send {
            ticket,
            runner,
            address,
            attempt,
        } => {
            tokio::spawn(async move {
                let sent_at = MonotonicTime::now();
                let end = runners::send(&state, &held, ticket, runner, address, attempt).await;
                log_failed_send(&state, &held, (ticket, runner), &end, sent_at);
                apply(&held, &state, |holder, now| {
                    holder.handle_send_result(now, ticket, end)
                });
            });
        }
        HolderOutput::End { ticket, outcome } => {
            log_unserved_request(&state, &held, ticket, &outcome);
            if let Some(waiter) = held.remove_waiter(ticket) {
                let _ = waiter.send(outcome);
            }
        }
        HolderOutput::Start {
            runner,
            worker,
            spec,
        } => {
            tokio::spawn(async move {
                let end = platform::start(&state, &held, runner, &worker, &spec).await;
                apply(&held, &state, |holder, now| {
                    holder.started(now, runner, end)
                });
            });
        }
        HolderOutput::Probe { runner, address } => {
            tokio::spawn(async move {
                let is_ready = runners::is_ready(&state, &held, runner, address).await;
                apply(&held, &state, |holder, now| {
                    holder.probed(now, runner, is_ready)
                });
            });
        }
        HolderOutput::ListRunning { runner, address } => {
            tokio::spawn(async move {
                let running_keys =
                    runners::list_running(&state, held.self_reported_id_of(runner), address).await;
                apply(&held, &state, |holder, now| {
                    holder.running_listed(now, runner, running_keys)
                });
            });
        }
        HolderOutput::Stop {
            runner,
            worker,
            instance,
        } => {
            state.runner_connections.remove_idle(runner);
            tokio::spawn(async move {
                if platform::stop(&state, &held, runner, worker, instance).await {
                    apply(&held, &state, |holder, now| holder.stopped(now, runner));
                }
            });
        }
        HolderOutput::Report(message) => {
            let message =
                ControlInput::HolderMessage(held.function.clone(), held.fencing_token, message);
            let _ = state.control.send(message);
        }
        HolderOutput::Collect { .. }
        | HolderOutput::Record { .. }
        | HolderOutput::Compare { .. } => {}
    }
}

fn log_failed_send(
    state: &State,
    held: &LocalHeldFunction,
    (ticket, runner): (Ticket, RunnerId),
    end: &SendResult,
    sent_at: MonotonicTime,
) {
    if let (Some(failure_text), Some(holder_request)) = (end.failure(), held.holder_request(ticket))
    {
        let (idempotency_key, function) = (&holder_request.idempotency_key, &held.function);
        let taken_ms = MonotonicTime::now().since(sent_at).as_millis();
        let detail = format_args!(
            "{idempotency_key} {function} on {runner} {failure_text} after {taken_ms} ms"
        );
        state.request_log.write(events::SEND_FAILED, detail);
    }
}

fn log_unserved_request(
    state: &State,
    held: &LocalHeldFunction,
    ticket: Ticket,
    outcome: &RequestOutcome,
) {
    let (outcome, reason) = match outcome {
        RequestOutcome::Response { .. } => return,
        RequestOutcome::NotRun { reason, .. } => ("not_run", reason.as_str()),
        RequestOutcome::Unknown { reason } => ("unknown", reason.as_str()),
    };
    if let Some(holder_request) = held.holder_request(ticket) {
        let (function, fencing_token) = (&held.function, held.fencing_token);
        let detail = format_args!(
            "{} {function} grant {fencing_token} {outcome} {reason}",
            holder_request.idempotency_key
        );
        state.request_log.write(events::REQUEST_NOT_SERVED, detail);
    }
}

/// Changes a holder and does what it orders.
fn apply(
    held: &LocalHeldFunction,
    state: &Arc<State>,
    change: impl FnOnce(&mut Holder, MonotonicTime) -> Vec<HolderOutput>,
) {
    let outputs = held.with(|holder| change(holder, MonotonicTime::now()));
    drive(held, state, outputs);
}

async fn call_replica(state: Arc<State>, held: LocalHeldFunction, replica_request: ReplicaRequest) {
    let ReplicaRequest {
        replica,
        body,
        request_kind,
        timeout,
    } = replica_request;
    let requested_at = MonotonicTime::now();
    let reply = match state
        .hop_client
        .request(replica.address, body, requested_at + timeout)
        .await
    {
        HopCallResult::Reply(reply) => Some(reply),
        HopCallResult::Unsent | HopCallResult::Lost => None,
    };
    if matches!(request_kind, ReplicaRequestKind::Record(_)) {
        state
            .gauges
            .replication_seconds
            .observe(MonotonicTime::now().since(requested_at).as_secs_f64());
    }
    apply(&held, &state, |holder, now| {
        request_kind.reply(holder, now, reply)
    });
}
