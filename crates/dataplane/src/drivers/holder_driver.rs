//! The driver of held functions: it admits requests and carries out the outputs of their holders.
//!
//! All tasks spawned here are detached. Each carries out one output, is bounded by a time-out, and reports its result
//! to the holder, which ignores results that it no longer needs.

use super::control_input::ControlInput;
use super::hop_client::HopCallResult;
use super::state::{LocalHeldFunction, State};
use super::{platform, runners};
use crate::agent::{HolderRequest, ReplicaRequest, ReplicaRequestKind};
use crate::holder::{Holder, HolderOutput, SendResult};
use common::clock::MonotonicTime;
use common::events;
use common::frames::{RequestFailureReason, RequestOutcome, SocketAddress};
use common::identity::{InstanceId, RunnerId, Ticket, WorkerName};
use common::spec::FunctionSpec;
use std::sync::Arc;
use tokio::sync::oneshot;

/// Removes a request's waiter when the waiting ends, so that the request is not sent to a runner after that.
struct WaiterGuard<'a> {
    held: &'a LocalHeldFunction,
    ticket: Ticket,
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        self.held.remove_waiter(self.ticket);
    }
}

/// Admits a request and waits for its outcome.
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

/// Carries out the outputs of a holder.
pub fn drive(held: &LocalHeldFunction, state: &Arc<State>, outputs: Vec<HolderOutput>) {
    state.wake_control_if_due(held);
    for output in outputs {
        match held.replica_request(output) {
            Ok(replica_request) => {
                tokio::spawn(call_replica(state.clone(), held.clone(), replica_request));
            }
            Err(output) => execute(held, state, output),
        }
    }
}

fn execute(held: &LocalHeldFunction, state: &Arc<State>, output: HolderOutput) {
    match output {
        HolderOutput::Send {
            ticket,
            runner,
            address,
            attempt,
        } => {
            let (held, state) = (held.clone(), state.clone());
            tokio::spawn(send(held, state, ticket, runner, address, attempt));
        }
        HolderOutput::End { ticket, outcome } => end(held, state, ticket, outcome),
        HolderOutput::Start {
            runner,
            worker,
            spec,
        } => {
            tokio::spawn(start(held.clone(), state.clone(), runner, worker, spec));
        }
        HolderOutput::Probe { runner, address } => {
            tokio::spawn(probe(held.clone(), state.clone(), runner, address));
        }
        HolderOutput::ListRunning { runner, address } => {
            tokio::spawn(list_running(held.clone(), state.clone(), runner, address));
        }
        HolderOutput::Stop {
            runner,
            worker,
            instance,
        } => {
            state.runner_connections.remove_idle(runner);
            tokio::spawn(stop(held.clone(), state.clone(), runner, worker, instance));
        }
        HolderOutput::Report(message) => {
            let message =
                ControlInput::HolderMessage(held.function.clone(), held.fencing_token, message);
            let _ = state.control.send(message);
        }
        // These became replica requests in `drive`.
        HolderOutput::Collect { .. }
        | HolderOutput::Record { .. }
        | HolderOutput::Compare { .. } => {}
    }
}

async fn send(
    held: LocalHeldFunction,
    state: Arc<State>,
    ticket: Ticket,
    runner: RunnerId,
    address: SocketAddress,
    attempt: u32,
) {
    let sent_at = MonotonicTime::now();
    let result = runners::send(&state, &held, ticket, runner, address, attempt).await;
    log_failed_send(&state, &held, (ticket, runner), &result, sent_at);
    apply(&held, &state, |holder, now| {
        holder.handle_send_result(now, ticket, result)
    });
}

fn end(held: &LocalHeldFunction, state: &State, ticket: Ticket, outcome: RequestOutcome) {
    log_unserved_request(state, held, ticket, &outcome);
    if let Some(waiter) = held.remove_waiter(ticket) {
        let _ = waiter.send(outcome);
    }
}

async fn start(
    held: LocalHeldFunction,
    state: Arc<State>,
    runner: RunnerId,
    worker: WorkerName,
    spec: FunctionSpec,
) {
    let outcome = platform::start(&state, &held, runner, &worker, &spec).await;
    apply(&held, &state, |holder, now| {
        holder.started(now, runner, outcome)
    });
}

async fn probe(
    held: LocalHeldFunction,
    state: Arc<State>,
    runner: RunnerId,
    address: SocketAddress,
) {
    let is_ready = runners::is_ready(&state, &held, runner, address).await;
    apply(&held, &state, |holder, now| {
        holder.probed(now, runner, is_ready)
    });
}

async fn list_running(
    held: LocalHeldFunction,
    state: Arc<State>,
    runner: RunnerId,
    address: SocketAddress,
) {
    let self_reported_id = held.self_reported_id_of(runner);
    let running_keys = runners::list_running(&state, self_reported_id, address).await;
    apply(&held, &state, |holder, now| {
        holder.running_listed(now, runner, running_keys)
    });
}

async fn stop(
    held: LocalHeldFunction,
    state: Arc<State>,
    runner: RunnerId,
    worker: WorkerName,
    instance: Option<InstanceId>,
) {
    if platform::stop(&state, &held, runner, worker, instance).await {
        apply(&held, &state, |holder, now| holder.stopped(now, runner));
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
            "{} {function} lease {fencing_token} {outcome} {reason}",
            holder_request.idempotency_key
        );
        state.request_log.write(events::REQUEST_NOT_SERVED, detail);
    }
}

/// Applies an event to a holder and carries out its outputs.
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
            .replication
            .round_trip_seconds
            .observe(MonotonicTime::now().since(requested_at).as_secs_f64());
    }
    apply(&held, &state, |holder, now| {
        request_kind.reply(holder, now, reply)
    });
}
