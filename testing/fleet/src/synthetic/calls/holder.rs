//! Lease holders and their runners: outputs are executed in memory, and runs are answered after a delay.

use super::{ANSWER, HTTP_HEADERS, PLATFORM_LATENCY, RUNNER_LATENCY};
use crate::synthetic::events::{Event, HolderKey};
use crate::synthetic::fleet::SyntheticFleet;
use crate::synthetic::meter::{Role, Work};
use bytes::Bytes;
use common::adapter::{RunnerResponse, SealKind};
use common::clock::MonotonicTime;
use common::frames::RequestFailureReason;
use common::identity::{RunnerId, Ticket};
use common::rules::Rules;
use common::seal;
use dataplane::agent::{HeldFunction, RunnerAttempt, verify_response};
use dataplane::holder::{Holder, HolderOutput, SendResult};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

impl SyntheticFleet {
    /// Updates a held function and executes the outputs of its state machine.
    pub(super) fn apply(
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
        self.drive(holder_key.daemon, &held, outputs);
        self.tick_for_holder(holder_key.daemon, &held);
    }

    pub(in crate::synthetic) fn drive(
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
                Err(order) => self.apply_holder_output(&holder_key, held, order),
            }
        }
    }

    fn apply_holder_output(
        &mut self,
        holder_key: &HolderKey,
        held: &Arc<HeldFunction<u64>>,
        order: HolderOutput,
    ) {
        let holder_key = holder_key.clone();
        match order {
            HolderOutput::Send {
                ticket,
                runner,
                attempt,
                ..
            } => {
                self.send_to_runner(holder_key, held, ticket, runner, attempt);
            }
            HolderOutput::End { ticket, outcome } => {
                if let Some(number) = held.remove_waiter(ticket) {
                    self.served(holder_key.daemon, number, outcome);
                }
            }
            HolderOutput::Start {
                runner,
                worker,
                spec,
            } => {
                let body = json!({
                    "runner": runner.to_string(),
                    "function": holder_key.function.to_string(),
                    "worker": worker.as_str(),
                    "memory_mb": spec.memory_mb,
                    "boot_ms": spec.startup.as_millis() as u64,
                    "slots": spec.slots,
                });
                let body_bytes = body.to_string().len() as u64;
                self.meter
                    .sent(Role::Platform, Work::Runners, 1, body_bytes + HTTP_HEADERS);
                let ready_at = self.now + PLATFORM_LATENCY + spec.startup;
                let function = holder_key.function.clone();
                let instance = self.platform.start(runner, function, worker, ready_at);
                self.push(
                    PLATFORM_LATENCY,
                    Event::Started(holder_key, runner, instance),
                );
            }
            HolderOutput::Probe { runner, address } => {
                let now = self.now;
                let is_ready = self
                    .platform
                    .at(address)
                    .is_some_and(|(there, held)| there == runner && now >= held.ready_at);
                self.push(RUNNER_LATENCY, Event::Probed(holder_key, runner, is_ready));
            }
            HolderOutput::ListRunning { runner, .. } => {
                self.push(
                    RUNNER_LATENCY,
                    Event::Settled(holder_key, runner, Some(Vec::new())),
                );
            }
            HolderOutput::Stop { runner, .. } => {
                self.meter
                    .sent(Role::Platform, Work::Runners, 1, HTTP_HEADERS);
                self.platform.stop(runner);
                self.push(PLATFORM_LATENCY, Event::Stopped(holder_key, runner));
            }
            HolderOutput::Report(word) => {
                self.push(
                    Duration::from_micros(1),
                    Event::FromHolder(holder_key, word),
                );
            }
            _ => {}
        }
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
        let (call, _) = self.meter.measure_step(Role::Holder, Work::Runs, || {
            let holder_request = held
                .holder_request(ticket)
                .ok_or(RequestFailureReason::NotServing)?;
            agent.runner_attempt(now, held, &holder_request, runner, attempt)
        });
        match call {
            Ok(call) => {
                let work_span = self
                    .rng
                    .within(Duration::from_millis(10), Duration::from_millis(40));
                let call = Box::new(call);
                let done = Event::RunDone {
                    holder_key,
                    ticket,
                    runner: self_reported_id,
                    call,
                };
                self.push(RUNNER_LATENCY + work_span, done);
            }
            Err(reason) => {
                let barred = Event::SendEnded(holder_key, ticket, SendResult::Forbidden(reason));
                self.push(Duration::from_micros(1), barred);
            }
        }
    }

    /// Handles a runner's answer at the lease holder.
    pub(super) fn run_done(
        &mut self,
        holder_key: HolderKey,
        ticket: Ticket,
        runner: RunnerId,
        call: &RunnerAttempt,
    ) {
        let body = Bytes::from_static(ANSWER);
        let answer_seal = seal::seal(&call.idempotency_key, &call.function, runner, false, &body);
        let response = RunnerResponse {
            status: 200,
            idempotency_key: call.idempotency_key.to_string(),
            function: Some(call.function.to_string()),
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
        let (end, _) = self.meter.measure_step(Role::Holder, Work::Runs, || {
            verify_response(
                Rules::ALL_ENFORCED,
                &call.idempotency_key,
                &call.function,
                runner,
                response,
            )
        });
        self.push(RUNNER_LATENCY, Event::SendEnded(holder_key, ticket, end));
    }
}
