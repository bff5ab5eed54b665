//! The driver of held functions: admits requests and executes the outputs of the holders.
//!
//! All tasks spawned here are detached. Each executes one output, is bounded by a time-out, and reports its result to
//! the holder, which ignores results that it no longer needs.

use super::control_input::ControlInput;
use super::hop_client::HopCallResult;
use super::outcome_waiter::{AwaitedOutcome, OutcomeWaiter, outcome_channel};
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
use std::time::Duration;

/// How long a send continues after its request was abandoned.
const ABANDONED_SEND_GRACE: Duration = Duration::from_millis(300);

/// A request admitted to a holder in this process. If dropped before its outcome is received, the request is abandoned:
/// a queued request is not sent to a runner, and the send of a repeatable request is aborted after a grace time.
pub struct HeldRequest<'a> {
    state: &'a Arc<State>,
    held: &'a LocalHeldFunction,
    ticket: Ticket,
    immediate_outcome: Option<RequestOutcome>,
    awaited_outcome: AwaitedOutcome,
    has_ended: bool,
}

impl<'a> HeldRequest<'a> {
    /// Admits a request to a holder.
    pub fn admit(
        state: &'a Arc<State>,
        held: &'a LocalHeldFunction,
        holder_request: HolderRequest,
    ) -> Self {
        let ticket = state.agent.next_ticket();
        let (waiter, awaited_outcome) = outcome_channel();
        let (immediate_end, outputs) =
            held.admit(MonotonicTime::now(), ticket, holder_request, waiter);
        drive(held, state, outputs);
        Self {
            state,
            held,
            ticket,
            immediate_outcome: immediate_end.map(|(_, outcome)| outcome),
            awaited_outcome,
            has_ended: false,
        }
    }

    /// Waits for the outcome.
    pub async fn outcome(&mut self) -> RequestOutcome {
        let outcome = match self.immediate_outcome.take() {
            Some(outcome) => outcome,
            None => {
                let received = self.awaited_outcome.receive().await;
                received.unwrap_or(RequestOutcome::Unknown {
                    reason: RequestFailureReason::ResponseLost,
                })
            }
        };
        self.has_ended = true;
        outcome
    }

    /// Ends the request if it is still queued: as not run, unless an earlier attempt may have run.
    pub fn withdraw(&self) {
        let outputs = self
            .held
            .with(|holder| holder.withdraw(MonotonicTime::now(), self.ticket));
        drive(self.held, self.state, outputs);
    }
}

impl Drop for HeldRequest<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.held.remove_waiter(self.ticket);
            self.withdraw();
        }
    }
}

/// Admits a request and waits for its outcome.
pub async fn serve(
    state: &Arc<State>,
    held: &LocalHeldFunction,
    holder_request: HolderRequest,
) -> RequestOutcome {
    HeldRequest::admit(state, held, holder_request)
        .outcome()
        .await
}

/// Executes the outputs of a holder.
pub fn drive(held: &LocalHeldFunction, state: &Arc<State>, outputs: Vec<HolderOutput>) {
    state.wake_control_if_due(held);
    for output in outputs {
        match held.replica_request(output) {
            Ok(replica_request) => {
                let task = HolderTask {
                    held: held.clone(),
                    state: state.clone(),
                };
                tokio::spawn(task.call_replica(replica_request));
            }
            Err(output) => execute(held, state, output),
        }
    }
}

fn execute(held: &LocalHeldFunction, state: &Arc<State>, output: HolderOutput) {
    let task = || HolderTask {
        held: held.clone(),
        state: state.clone(),
    };
    match output {
        HolderOutput::Send {
            ticket,
            runner,
            address,
            attempt,
        } => {
            tokio::spawn(task().send(ticket, runner, address, attempt));
        }
        HolderOutput::End { ticket, outcome } => end_request(held, state, ticket, outcome),
        HolderOutput::Start {
            runner,
            worker,
            spec,
        } => {
            tokio::spawn(task().start(runner, worker, spec));
        }
        HolderOutput::Probe { runner, address } => {
            tokio::spawn(task().probe(runner, address));
        }
        HolderOutput::ListRunning { runner, address } => {
            tokio::spawn(task().list_running(runner, address));
        }
        HolderOutput::Stop {
            runner,
            worker,
            instance,
        } => {
            state.runner_connections.remove_idle(runner);
            tokio::spawn(task().stop(runner, worker, instance));
        }
        HolderOutput::Report(message) => {
            let _ = state.control.send(ControlInput::HolderMessage {
                function: held.function.clone(),
                fencing_token: held.fencing_token,
                message,
            });
        }
        // `drive` has already turned these into replica requests.
        HolderOutput::Collect { .. }
        | HolderOutput::Record { .. }
        | HolderOutput::Compare { .. } => {}
    }
}

fn end_request(held: &LocalHeldFunction, state: &State, ticket: Ticket, outcome: RequestOutcome) {
    log_unserved_request(state, held, ticket, &outcome);
    if let Some(waiter) = held.remove_waiter(ticket) {
        waiter.send(outcome);
    }
}

/// Executes one output of a holder and applies the result to the holder.
struct HolderTask {
    held: LocalHeldFunction,
    state: Arc<State>,
}

impl HolderTask {
    async fn send(self, ticket: Ticket, runner: RunnerId, address: SocketAddress, attempt: u32) {
        let sent_at = MonotonicTime::now();
        let result = tokio::select! {
            biased;
            result = runners::send(&self.state, &self.held, ticket, runner, address, attempt) => result,
            () = self.abandoned(ticket) => SendResult::Aborted,
        };
        self.log_failed_send(ticket, runner, &result, sent_at);
        self.apply(|holder, now| holder.handle_send_result(now, ticket, result));
    }

    /// Waits until a repeatable request is abandoned, and then for [`ABANDONED_SEND_GRACE`]: most runs end within that
    /// time, whereas aborting the send costs its connection and keeps the runner's slot occupied. Never completes for a
    /// request that may run only once: its send is not aborted, so that its outcome becomes known.
    async fn abandoned(&self, ticket: Ticket) {
        let is_once = self
            .held
            .holder_request(ticket)
            .is_none_or(|holder_request| holder_request.once);
        let abandonment = self.held.with_waiter(ticket, OutcomeWaiter::abandonment);
        match abandonment {
            Some(mut abandonment) if !is_once => {
                while abandonment.changed().await.is_ok() {}
                tokio::time::sleep(ABANDONED_SEND_GRACE).await;
            }
            _ => std::future::pending().await,
        }
    }

    async fn start(self, runner: RunnerId, worker: WorkerName, spec: FunctionSpec) {
        let outcome = platform::start(&self.state, &self.held, runner, &worker, &spec).await;
        self.apply(|holder, now| holder.handle_start_outcome(now, runner, outcome));
    }

    async fn probe(self, runner: RunnerId, address: SocketAddress) {
        let is_ready = runners::is_ready(&self.state, &self.held, runner, address).await;
        self.apply(|holder, now| holder.handle_probe_result(now, runner, is_ready));
    }

    async fn list_running(self, runner: RunnerId, address: SocketAddress) {
        let self_reported_id = self.held.self_reported_id_of(runner);
        let running_keys = runners::list_running(&self.state, self_reported_id, address).await;
        self.apply(|holder, now| holder.handle_running_list(now, runner, running_keys));
    }

    async fn stop(self, runner: RunnerId, worker: WorkerName, instance: Option<InstanceId>) {
        if platform::stop(&self.state, &self.held, runner, worker, instance).await {
            self.apply(|holder, now| holder.handle_runner_stopped(now, runner));
        }
    }

    async fn call_replica(self, replica_request: ReplicaRequest) {
        let ReplicaRequest {
            replica,
            body,
            request_kind,
            timeout,
        } = replica_request;
        let requested_at = MonotonicTime::now();
        let reply = match self
            .state
            .hop_client
            .request(replica.address, body, requested_at + timeout)
            .reply()
            .await
        {
            HopCallResult::Reply(reply) => Some(reply),
            HopCallResult::Unsent | HopCallResult::Lost => None,
        };
        if matches!(request_kind, ReplicaRequestKind::Record(_)) {
            self.state
                .metrics
                .replication
                .round_trip_seconds
                .observe(MonotonicTime::now().since(requested_at).as_secs_f64());
        }
        self.apply(|holder, now| request_kind.handle_reply(holder, now, reply));
    }

    fn log_failed_send(
        &self,
        ticket: Ticket,
        runner: RunnerId,
        result: &SendResult,
        sent_at: MonotonicTime,
    ) {
        let Some(failure_text) = result.failure_text() else {
            return;
        };
        let Some(holder_request) = self.held.holder_request(ticket) else {
            return;
        };
        let idempotency_key = &holder_request.idempotency_key;
        let function = &self.held.function;
        let taken_ms = MonotonicTime::now().since(sent_at).as_millis();
        let detail = format_args!(
            "{idempotency_key} {function} on {runner} {failure_text} after {taken_ms} ms"
        );
        self.state.request_log.write(events::SEND_FAILED, detail);
    }

    /// Applies a result to the holder, and executes the outputs that follow from it.
    fn apply(&self, change: impl FnOnce(&mut Holder, MonotonicTime) -> Vec<HolderOutput>) {
        let outputs = self
            .held
            .with(|holder| change(holder, MonotonicTime::now()));
        drive(&self.held, &self.state, outputs);
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
