//! Lease holders and their runners. Outputs are executed in memory, and runs are answered after a delay.

use crate::synthetic::events::{Event, HolderEvent, HolderInput, HolderKey, RequestKey};
use crate::synthetic::fleet::SyntheticFleet;
use crate::synthetic::meter::{Role, Work};
use crate::synthetic::platform::{HTTP_HEADER_BYTES, PLATFORM_LATENCY};
use bytes::Bytes;
use common::adapter::{RunnerResponse, SealKind, StartOutcome};
use common::clock::MonotonicTime;
use common::frames::{RequestFailureReason, SocketAddress};
use common::identity::{RunnerId, Ticket, WorkerName};
use common::rules::Rules;
use common::seal;
use common::spec::FunctionSpec;
use dataplane::agent::{HeldFunction, RunnerAttempt, verify_response};
use dataplane::holder::{Holder, HolderMessage, HolderOutput, SendResult};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

const RUNNER_LATENCY: Duration = Duration::from_millis(2);
const ANSWER_BODY: &[u8] = &[b'a'; 256];

impl HolderInput {
    /// Returns the kind of work to which the input is attributed.
    fn work(&self) -> Work {
        match self {
            Self::SendEnded(..) => Work::Runs,
            Self::Started(..) | Self::Stopped(_) | Self::Probed(..) | Self::NothingRunning(_) => {
                Work::Runners
            }
        }
    }

    /// Passes the input to a held function's state machine.
    fn apply(self, holder: &mut Holder, now: MonotonicTime) -> Vec<HolderOutput> {
        match self {
            Self::Started(runner, instance) => {
                holder.handle_start_outcome(now, runner, StartOutcome::Started(instance))
            }
            Self::Stopped(runner) => holder.handle_runner_stopped(now, runner),
            Self::Probed(runner, is_ready) => holder.handle_probe_result(now, runner, is_ready),
            Self::NothingRunning(runner) => {
                holder.handle_running_list(now, runner, Some(Vec::new()))
            }
            Self::SendEnded(ticket, result) => holder.handle_send_result(now, ticket, result),
        }
    }
}

impl SyntheticFleet {
    /// Handles an event at a held function.
    pub(in crate::synthetic) fn handle_holder_event(
        &mut self,
        holder_key: HolderKey,
        event: HolderEvent,
    ) {
        match event {
            HolderEvent::Message(message) => self.handle_holder_message(holder_key, message),
            HolderEvent::RunFinished {
                ticket,
                runner,
                runner_attempt,
            } => self.handle_run_finished(holder_key, ticket, runner, &runner_attempt),
            HolderEvent::Input(input) => {
                self.update_holder(&holder_key, input.work(), |holder, now| {
                    input.apply(holder, now)
                });
            }
        }
    }

    fn handle_holder_message(&mut self, holder_key: HolderKey, message: HolderMessage) {
        let HolderKey {
            daemon,
            function,
            fencing_token,
        } = holder_key;
        self.step_control(daemon, Work::Runners, |daemon_control, agent, now| {
            daemon_control.handle_holder_message(agent, now, function, fencing_token, message)
        });
    }

    /// Queues an input for a held function's state machine.
    fn push_input(&mut self, delay: Duration, holder_key: HolderKey, input: HolderInput) {
        self.push(delay, Event::Holder(holder_key, HolderEvent::Input(input)));
    }

    /// Applies a change to a held function's state machine and executes the outputs.
    pub(super) fn update_holder(
        &mut self,
        holder_key: &HolderKey,
        work: Work,
        change: impl FnOnce(&mut Holder, MonotonicTime) -> Vec<HolderOutput>,
    ) {
        let now = self.now;
        let Some(agent) = self.agent(holder_key.daemon) else {
            return;
        };
        let Some(held) = agent.held_or_closing(&holder_key.function, holder_key.fencing_token)
        else {
            return;
        };
        let (outputs, _) = self.meter.measure_step(Role::Holder, work, || {
            held.with(|holder| change(holder, now))
        });
        self.execute_outputs(holder_key.daemon, &held, outputs);
        self.tick_for_holder(holder_key.daemon, &held);
    }

    /// Executes the outputs of a held function's state machine.
    pub(super) fn execute_outputs(
        &mut self,
        daemon: usize,
        held: &Arc<HeldFunction<u64>>,
        outputs: Vec<HolderOutput>,
    ) {
        let holder_key = HolderKey {
            daemon,
            function: held.function.clone(),
            fencing_token: held.fencing_token,
        };
        for output in outputs {
            match held.replica_request(output) {
                Ok(replica_request) => self.send_replica_request(&holder_key, replica_request),
                Err(output) => self.apply_holder_output(&holder_key, held, output),
            }
        }
    }

    fn apply_holder_output(
        &mut self,
        holder_key: &HolderKey,
        held: &Arc<HeldFunction<u64>>,
        output: HolderOutput,
    ) {
        let holder_key = holder_key.clone();
        match output {
            HolderOutput::Send {
                ticket,
                runner,
                attempt,
                ..
            } => self.send_to_runner(holder_key, held, ticket, runner, attempt),
            HolderOutput::End { ticket, outcome } => {
                if let Some(number) = held.remove_waiter(ticket) {
                    let daemon = holder_key.daemon;
                    self.handle_local_outcome(RequestKey { daemon, number }, outcome);
                }
            }
            HolderOutput::Start {
                runner,
                worker,
                spec,
            } => self.start_runner(holder_key, runner, worker, &spec),
            HolderOutput::Probe { runner, address } => {
                let is_ready = self.is_ready(runner, address);
                let probed = HolderInput::Probed(runner, is_ready);
                self.push_input(RUNNER_LATENCY, holder_key, probed);
            }
            HolderOutput::ListRunning { runner, .. } => {
                let listed = HolderInput::NothingRunning(runner);
                self.push_input(RUNNER_LATENCY, holder_key, listed);
            }
            HolderOutput::Stop { runner, .. } => {
                self.meter
                    .count_sent(Role::Platform, Work::Runners, 1, HTTP_HEADER_BYTES);
                self.platform.stop(runner);
                self.push_input(PLATFORM_LATENCY, holder_key, HolderInput::Stopped(runner));
            }
            HolderOutput::Report(message) => {
                self.push(
                    Duration::from_micros(1),
                    Event::Holder(holder_key, HolderEvent::Message(message)),
                );
            }
            _ => {}
        }
    }

    fn start_runner(
        &mut self,
        holder_key: HolderKey,
        runner: RunnerId,
        worker: WorkerName,
        spec: &FunctionSpec,
    ) {
        let body = json!({
            "runner": runner.to_string(),
            "function": holder_key.function.to_string(),
            "worker": worker.as_str(),
            "memory_mb": spec.memory_mb,
            "boot_ms": spec.startup.as_millis() as u64,
            "slots": spec.slots,
        });
        let body_bytes = body.to_string().len() as u64;
        self.meter.count_sent(
            Role::Platform,
            Work::Runners,
            1,
            body_bytes + HTTP_HEADER_BYTES,
        );
        let ready_at = self.now + PLATFORM_LATENCY + spec.startup;
        let function = holder_key.function.clone();
        let instance = self.platform.start(runner, function, worker, ready_at);
        let started = HolderInput::Started(runner, instance);
        self.push_input(PLATFORM_LATENCY, holder_key, started);
    }

    /// Whether the runner listens at the address and has started up.
    fn is_ready(&self, runner: RunnerId, address: SocketAddress) -> bool {
        self.platform
            .runner_at(address)
            .is_some_and(|(listening_runner, synthetic_runner)| {
                listening_runner == runner && self.now >= synthetic_runner.ready_at
            })
    }

    fn send_to_runner(
        &mut self,
        holder_key: HolderKey,
        held: &Arc<HeldFunction<u64>>,
        ticket: Ticket,
        runner: RunnerId,
        attempt: u32,
    ) {
        let now = self.now;
        let Some(agent) = self.agent(holder_key.daemon) else {
            return;
        };
        let self_reported_id = held.self_reported_id_of(runner);
        let (runner_attempt, _) = self.meter.measure_step(Role::Holder, Work::Runs, || {
            let holder_request = held
                .holder_request(ticket)
                .ok_or(RequestFailureReason::NotServing)?;
            agent.runner_attempt(now, held, &holder_request, runner, attempt)
        });
        match runner_attempt {
            Ok(runner_attempt) => {
                let work_span = self
                    .rng
                    .within(Duration::from_millis(10), Duration::from_millis(40));
                let run_finished = HolderEvent::RunFinished {
                    ticket,
                    runner: self_reported_id,
                    runner_attempt: Box::new(runner_attempt),
                };
                self.push(
                    RUNNER_LATENCY + work_span,
                    Event::Holder(holder_key, run_finished),
                );
            }
            Err(reason) => {
                let forbidden = HolderInput::SendEnded(ticket, SendResult::Forbidden(reason));
                self.push_input(Duration::from_micros(1), holder_key, forbidden);
            }
        }
    }

    /// Creates and verifies the answer of a runner that has finished a run, and queues the result for the lease holder.
    fn handle_run_finished(
        &mut self,
        holder_key: HolderKey,
        ticket: Ticket,
        runner: RunnerId,
        runner_attempt: &RunnerAttempt,
    ) {
        let body = Bytes::from_static(ANSWER_BODY);
        let answer_seal = seal::seal(
            &runner_attempt.idempotency_key,
            &runner_attempt.function,
            runner,
            false,
            &body,
        );
        let response = RunnerResponse {
            status: 200,
            idempotency_key: runner_attempt.idempotency_key.to_string(),
            function: Some(runner_attempt.function.to_string()),
            runner: Some(runner.to_string()),
            seal: answer_seal,
            seal_kind: SealKind::Digest,
            did_not_run: false,
            is_other_runner: false,
            is_unreliable: false,
            closes_connection: false,
            header_fields: Vec::new(),
            body,
        };
        let (result, _) = self.meter.measure_step(Role::Holder, Work::Runs, || {
            verify_response(
                Rules::ALL_ENFORCED,
                &runner_attempt.idempotency_key,
                &runner_attempt.function,
                runner,
                response,
            )
        });
        let ended = HolderInput::SendEnded(ticket, result);
        self.push_input(RUNNER_LATENCY, holder_key, ended);
    }
}
