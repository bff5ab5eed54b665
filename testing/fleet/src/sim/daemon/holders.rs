//! The lease holders of a simulated daemon, and the execution of their outputs.

use super::AwaitedStep;
use crate::sim::event::{DaemonEvent, HolderEvent, PlatformEvent};
use crate::sim::network::PLATFORM;
use crate::sim::simulation::Simulation;
use common::adapter::StartOutcome;
use common::clock::MonotonicTime;
use common::frames::RequestOutcome;
use common::identity::{FencingToken, FunctionKey, RunnerId, Ticket, WorkerName};
use common::spec::FunctionSpec;
use dataplane::agent::HeldFunction;
use dataplane::holder::{Holder, HolderOutput};
use std::sync::Arc;
use std::time::Duration;

impl Simulation {
    /// Changes the state of a held function's lease holder and executes the resulting outputs.
    pub(in crate::sim) fn update_holder(
        &mut self,
        index: usize,
        function: &FunctionKey,
        fencing_token: FencingToken,
        change: impl FnOnce(&mut Holder, MonotonicTime) -> Vec<HolderOutput>,
    ) {
        let local_now = self.daemon_now(index);
        let Some(held) = self
            .nodes
            .agent(index)
            .and_then(|agent| agent.held_or_closing(function, fencing_token))
        else {
            return;
        };
        let outputs = held.with(|holder| change(holder, local_now));
        self.execute_outputs(index, &held, outputs);
    }

    pub(in crate::sim) fn execute_outputs(
        &mut self,
        index: usize,
        held: &Arc<HeldFunction<u64>>,
        outputs: Vec<HolderOutput>,
    ) {
        for output in outputs {
            match held.replica_request(output) {
                Ok(replica_request) => self.send_replica_request(index, held, replica_request),
                Err(output) => self.apply_holder_output(index, held, output),
            }
        }
    }

    pub(in crate::sim) fn apply_holder_output(
        &mut self,
        index: usize,
        held: &Arc<HeldFunction<u64>>,
        output: HolderOutput,
    ) {
        let requester = self.nodes.daemon(index).requester();
        let function = held.function.clone();
        match output {
            HolderOutput::Send {
                ticket,
                runner,
                address: runner_address,
                attempt,
            } => {
                self.send_to_runner(index, held, ticket, runner, runner_address, attempt);
            }
            HolderOutput::End { ticket, outcome } => {
                self.end_held_request(index, held, ticket, outcome)
            }
            HolderOutput::Start {
                runner,
                worker,
                spec,
            } => self.request_start(index, function, runner, worker, spec),
            HolderOutput::Probe {
                runner,
                address: runner_address,
            } => {
                let is_ready = self.platform.runner_at(runner_address).is_some_and(
                    |(listening_runner, sim_runner)| {
                        listening_runner == runner && self.queue.now() >= sim_runner.ready_at
                    },
                );
                let delay = self.network.delay(&mut self.rng);
                self.queue.push(
                    delay,
                    HolderEvent::Probed(requester, function, runner, is_ready),
                );
            }
            HolderOutput::ListRunning {
                runner,
                address: runner_address,
            } => {
                let self_reported_id = held.self_reported_id_of(runner);
                let running = self
                    .platform
                    .runner_at(runner_address)
                    .filter(|(listening_runner, _)| *listening_runner == self_reported_id)
                    .map(|(_, sim_runner)| sim_runner.running.keys().cloned().collect());
                let delay = self.network.delay(&mut self.rng);
                self.queue.push(
                    delay,
                    HolderEvent::RunningListed(requester, function, runner, running),
                );
            }
            HolderOutput::Stop {
                runner, instance, ..
            } => {
                if self.network.reaches(requester.node, PLATFORM) {
                    let delay = self.network.delay(&mut self.rng);
                    self.queue.push(
                        delay,
                        PlatformEvent::Stop(requester, function, runner, instance),
                    );
                }
            }
            HolderOutput::Report(message) => {
                let fencing_token = held.fencing_token;
                self.queue.push(
                    Duration::from_micros(1),
                    DaemonEvent::FromHolder(
                        requester.node,
                        requester.incarnation,
                        function,
                        fencing_token,
                        message,
                    ),
                );
            }
            HolderOutput::Collect { .. }
            | HolderOutput::Record { .. }
            | HolderOutput::Compare { .. } => {}
        }
    }

    /// Passes the outcome of a request to the pending request that waits for it in this daemon.
    fn end_held_request(
        &mut self,
        index: usize,
        held: &Arc<HeldFunction<u64>>,
        ticket: Ticket,
        outcome: RequestOutcome,
    ) {
        if let Some(holder_request) = held.holder_request(ticket) {
            self.checks
                .record_holder_outcome(held.fencing_token, &holder_request, &outcome);
        }
        if let Some(number) = held.remove_waiter(ticket) {
            self.step(
                index,
                number,
                AwaitedStep::LocalOutcome,
                |forwarding, agent, now| forwarding.handle_local_outcome(agent, now, outcome),
            );
        }
    }

    /// Requests a new runner from the platform, if the daemon holds a session lease and can reach the platform.
    fn request_start(
        &mut self,
        index: usize,
        function: FunctionKey,
        runner: RunnerId,
        worker: WorkerName,
        spec: FunctionSpec,
    ) {
        let requester = self.nodes.daemon(index).requester();
        let local_now = self.daemon_now(index);
        let may_start = self
            .nodes
            .agent(index)
            .is_some_and(|agent| agent.is_serving(local_now));
        if may_start && self.network.reaches(requester.node, PLATFORM) {
            let delay = self.occasionally_long_delay();
            self.queue.push(
                delay,
                PlatformEvent::Start(requester, function, runner, worker, spec),
            );
        } else {
            let delay = Duration::from_millis(500);
            self.queue.push(
                delay,
                HolderEvent::Started(requester, function, runner, StartOutcome::Lost),
            );
        }
    }
}
