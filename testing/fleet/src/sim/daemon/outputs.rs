//! Executes the outputs of a simulated daemon's control session, and checks the leases and specs that it gets.

use super::AwaitedStep;
use crate::sim::event::{DaemonEvent, LinkEvent};
use crate::sim::links::TO_CONTROLLER_STREAMS;
use crate::sim::network::Node;
use crate::sim::simulation::Simulation;
use common::frames::{AcquireResult, DaemonToLeader};
use common::identity::{FencingToken, FunctionKey, Version};
use dataplane::agent::DaemonControlOutput;

impl Simulation {
    pub(in crate::sim) fn apply_daemon_output(
        &mut self,
        index: usize,
        output: DaemonControlOutput<u64>,
    ) {
        let node = self.nodes.daemon(index).node;
        let incarnation = self.nodes.daemon(index).incarnation;
        match output {
            DaemonControlOutput::Dial(to) => {
                let link = self.dial(node, incarnation, to);
                if let Some(process) = &mut self.nodes.daemon_mut(index).process {
                    process.link = Some(link);
                }
            }
            DaemonControlOutput::Hangup => {
                let link = self
                    .nodes
                    .daemon_mut(index)
                    .process
                    .as_mut()
                    .and_then(|process| process.link.take());
                if let Some(link) = link {
                    self.close_link(link);
                }
            }
            DaemonControlOutput::SendFrame(frame) => self.send_to_controller(index, frame),
            DaemonControlOutput::HeartbeatDatagram(heartbeat, to_addresses) => {
                for to in to_addresses {
                    let Some(to_node) = self.nodes.node_at(to) else {
                        continue;
                    };
                    self.record.count_event("heartbeats");
                    let copies = if self.rng.random_bool(0.01) { 2 } else { 1 };
                    for _ in 0..copies {
                        if self.network.reaches(node, to_node) && !self.rng.random_bool(0.01) {
                            let delay = self.network.delay(&mut self.rng);
                            self.queue.push(
                                delay,
                                DaemonEvent::HeartbeatDatagram(to_node, heartbeat.clone()),
                            );
                        }
                    }
                }
            }
            DaemonControlOutput::Holder(held, outputs) => {
                self.execute_outputs(index, &held, outputs)
            }
            DaemonControlOutput::Acquired {
                function, result, ..
            } => {
                self.count_acquire_result(result.as_ref());
                self.handle_acquire_result(index, &function, result);
            }
            DaemonControlOutput::AcquisitionsLost => {
                let Some(process) = &mut self.nodes.daemon_mut(index).process else {
                    return;
                };
                let waiting = std::mem::take(&mut process.awaiting_lease);
                for function in waiting.into_keys() {
                    self.handle_acquire_result(index, &function, None);
                }
            }
            DaemonControlOutput::Changed => self.look_up_all(index),
            DaemonControlOutput::Installed(version) => self.check_install(index, version),
            DaemonControlOutput::LogEvent(event, detail) => {
                if event == common::events::LEASE_GRANTED {
                    self.check_new_leases(index);
                }
                self.record.trace(self.queue.now(), || {
                    format!("daemon {index} {event} {detail}")
                });
            }
            DaemonControlOutput::LeaseEnded => self.record.count_event("grants ended"),
        }
    }

    pub(in crate::sim) fn check_install(&mut self, index: usize, version: Version) {
        let incarnation = self.nodes.daemon(index).incarnation;
        self.checks
            .check_installed(self.queue.now(), index, incarnation, version);
    }

    pub(in crate::sim) fn count_acquire_result(&mut self, result: Option<&AcquireResult>) {
        self.record.count_event(match result {
            Some(AcquireResult::Granted { .. }) => "acquired: granted",
            Some(AcquireResult::HeldBy { .. }) => "acquired: owner",
            Some(AcquireResult::RetryLater { .. }) => "acquired: later",
            Some(AcquireResult::Rejected) => "acquired: shed",
            None => "acquired: nothing",
        });
    }

    /// Sends a frame to the controller on the daemon's current link.
    pub(in crate::sim) fn send_to_controller(&mut self, index: usize, frame: DaemonToLeader) {
        let Some(process) = &self.nodes.daemon(index).process else {
            return;
        };
        let Some(link) = process.link else { return };
        let from = self.nodes.daemon(index).node;
        let Some(to) = self.links.get(link).map(|link| link.controller) else {
            return;
        };
        if !self.network.reaches(from, to) {
            self.break_silently(link);
            return;
        }
        self.record.count_event("frames up");
        if matches!(frame, DaemonToLeader::Acquire { .. }) {
            self.record.count_event("acquisitions");
        }
        let delay = self.network.delay(&mut self.rng);
        let stream = (Node(TO_CONTROLLER_STREAMS + link as usize), to);
        self.queue
            .push_in_order(stream, delay, LinkEvent::FrameToController(link, frame));
    }

    /// Checks that each runner instance is used by at most one running lease holder.
    pub(in crate::sim) fn check_instance_owners(&mut self) {
        let mut held_instances = Vec::new();
        for index in 0..self.nodes.daemons().len() {
            let Some(agent) = self
                .nodes
                .agent(index)
                .filter(|_| self.is_daemon_serving(index))
            else {
                continue;
            };
            for held in agent.held_functions().values() {
                let instances = held.with(|holder| {
                    if holder.is_claimable() {
                        holder.instances()
                    } else {
                        Vec::new()
                    }
                });
                held_instances.extend(
                    instances
                        .into_iter()
                        .map(|instance| (index, held.fencing_token, instance.name)),
                );
            }
        }
        let listed = held_instances
            .iter()
            .map(|(index, fencing_token, instance)| (*index, *fencing_token, instance));
        self.checks.check_owners(self.queue.now(), listed);
    }

    /// Whether a daemon serves and holds a function under this lease.
    pub(in crate::sim) fn is_live_holder(
        &self,
        index: usize,
        function: &FunctionKey,
        fencing_token: FencingToken,
    ) -> bool {
        let held = self
            .nodes
            .agent(index)
            .and_then(|agent| agent.held_under_lease(function, fencing_token));
        self.is_daemon_serving(index)
            && held.is_some_and(|held| held.with(|holder| holder.is_claimable()))
    }

    /// Checks the new function leases of a daemon: no other daemon may serve the function, and all of its running
    /// runners must have been adopted.
    pub(in crate::sim) fn check_new_leases(&mut self, index: usize) {
        let Some(agent) = self.nodes.agent(index) else {
            return;
        };
        let held_functions = agent.held_functions();
        for held in held_functions.values() {
            if !self.checks.record_lease(held.fencing_token) {
                continue;
            }
            let adopted = held.with(|holder| holder.instances());
            let alive = self
                .platform
                .running()
                .map(|(_, runner)| (&runner.function, &runner.instance));
            self.checks.check_granted_lease(
                self.queue.now(),
                &held.function,
                held.fencing_token,
                &adopted,
                alive,
            );
            for other in (0..self.nodes.daemons().len()).filter(|other| *other != index) {
                let is_held = self.nodes.agent(other).is_some_and(|other_agent| {
                    other_agent
                        .held_function(&held.function)
                        .is_some_and(|held| held.with(|holder| holder.is_claimable()))
                });
                if is_held && self.is_daemon_serving(other) {
                    let function = &held.function;
                    let what =
                        format!("daemon {index} is granted {function}, which daemon {other} holds");
                    self.checks.report_violation(self.queue.now(), what);
                }
            }
        }
    }

    /// Passes the leader's reply, or its loss if there is no result, to all requests that wait for the function's lease.
    pub(in crate::sim) fn handle_acquire_result(
        &mut self,
        index: usize,
        function: &FunctionKey,
        result: Option<AcquireResult>,
    ) {
        let Some(process) = &mut self.nodes.daemon_mut(index).process else {
            return;
        };
        for number in process.awaiting_lease.remove(function).unwrap_or_default() {
            self.step(
                index,
                number,
                AwaitedStep::AcquireResult,
                |forwarding, agent, now| {
                    forwarding.handle_acquire_result(agent, now, result.clone())
                },
            );
        }
    }
}
