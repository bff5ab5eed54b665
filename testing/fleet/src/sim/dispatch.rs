//! Dispatches each event to its handler.

use super::event::Event;
use super::flaw::Flaw;
use super::network::PLATFORM;
use super::simulation::Simulation;
use controlplane::controller_state::{ChangeKind, ControllerInput};
use controlplane::leader_state::StreamId;
use std::time::Duration;

impl Simulation {
    pub(super) fn dispatch(&mut self, event: Event) {
        match event {
            Event::Tick(node, instance) => {
                self.queue
                    .push(Duration::from_millis(20), Event::Tick(node, instance));
                if node.is_controller() {
                    self.step_controller(node.0, ControllerInput::Tick);
                } else {
                    self.tick_daemon(node.daemon_index());
                }
            }
            Event::Poll(node, _) => self.poll_platform(node.0),
            Event::ConsensusFrame(node, frame) => {
                self.step_controller(node.0, ControllerInput::Consensus(frame))
            }
            Event::ControllerGone(node, address) => {
                self.step_controller(node.0, ControllerInput::ProcessGone(address));
            }
            Event::Durable(node, instance, job) => {
                if self.nodes.controller(node.0).instance == instance {
                    self.durable(node.0, &job);
                }
            }
            Event::Written(node, _, ticket, result) => {
                self.step_controller(node.0, ControllerInput::Written(ticket, result));
            }
            Event::Lists(node, _, workers, content_at, runners) => {
                self.step_controller(node.0, ControllerInput::Workers(workers));
                self.step_controller(node.0, ControllerInput::Runners(content_at, runners));
            }
            Event::Dialed(number) => {
                if let Some(link) = self.links.get(number)
                    && self
                        .nodes
                        .daemon(link.daemon.daemon_index())
                        .is_current_link(number)
                {
                    let index = link.daemon.daemon_index();
                    self.with_controller(index, |controller, agent, now| {
                        controller.connected(agent, now)
                    });
                }
            }
            Event::LinkUp(number, frame) => {
                let Some(link) = self.links.get_unbroken(number) else {
                    return;
                };
                let index = link.controller.0;
                self.step_controller(index, ControllerInput::Stream(StreamId(number), frame));
            }
            Event::LinkDown(number, frame) => {
                let Some(link) = self.links.get_unbroken(number) else {
                    return;
                };
                let index = link.daemon.daemon_index();
                if self.nodes.daemon(index).is_current_link(number) {
                    self.with_controller(index, |controller, agent, now| {
                        controller.received(agent, now, frame)
                    });
                }
            }
            Event::LinkLost(number, node) => {
                if node.is_controller() {
                    self.step_controller(node.0, ControllerInput::StreamLost(StreamId(number)));
                } else if node != PLATFORM {
                    self.link_lost(node.daemon_index(), number);
                }
            }
            Event::HeartbeatDatagram(node, heartbeat) => {
                self.heartbeat(node.daemon_index(), &heartbeat)
            }
            Event::Lookup(node, _, number, wake) => self.wake(node.daemon_index(), number, wake),
            Event::AcquireTimedOut(node, _, number) => {
                self.acquire_timed_out(node.daemon_index(), number)
            }
            Event::Hop(node, _, reply_target, body) => {
                self.handle_hop(node.daemon_index(), reply_target, body)
            }
            Event::Forwarded(node, _, number, end, regional_tenths) => {
                self.finish_forward(node.daemon_index(), number, end, regional_tenths);
            }
            Event::FromHolder(node, _, function, fencing_token, word) => {
                self.with_controller(node.daemon_index(), |controller, agent, now| {
                    controller.holder_message(agent, now, function, fencing_token, word)
                });
            }
            Event::ProcessGone(node, _) => {
                self.kill_daemon(node.daemon_index());
                self.queue
                    .push(Duration::from_millis(700), Event::RestartNode(node));
            }
            Event::Run(address, run) => self.begin_run(address, run),
            Event::RunDone(runner, run, fault_code) => self.run_done(runner, run, fault_code),
            Event::SendEnded(requester, function, ticket, fencing_token, end) => {
                let index = requester.node.daemon_index();
                self.apply(index, &function, fencing_token, |holder, now| {
                    holder.handle_send_result(now, ticket, end)
                });
            }
            Event::ReplicaRequested(node, exchange, body) => {
                self.handle_replica_request(node, exchange, body);
            }
            Event::ReplicaReplied(exchange, reply) => self.handle_replica_reply(exchange, reply),
            other => self.dispatch_external(other),
        }
    }

    pub(super) fn dispatch_external(&mut self, event: Event) {
        match event {
            Event::Start(requester, function, runner, worker, spec) => {
                self.start_runner(requester, function, runner, worker, &spec);
            }
            Event::Started(requester, function, runner, end) => {
                let index = requester.node.daemon_index();
                self.apply(index, &function, runner.fencing_token, |holder, now| {
                    holder.started(now, runner, end)
                });
            }
            Event::Stop(requester, function, runner, instance) => {
                self.platform.stop_instance(runner, instance.as_ref());
                let delay = self.network.delay(&mut self.rng);
                self.queue
                    .push(delay, Event::Stopped(requester, function, runner));
            }
            Event::Stopped(requester, function, runner) => {
                let index = requester.node.daemon_index();
                self.apply(index, &function, runner.fencing_token, |holder, now| {
                    holder.stopped(now, runner)
                });
            }
            Event::LeaderStop(requester, order) => {
                let runner = order.runner;
                let flaw = self.plan.flaw;
                if !matches!(flaw, Flaw::StopsUnconfirmed | Flaw::StopsUnheard) {
                    self.platform.stop_instance(runner, order.instance.as_ref());
                }
                let delay = self.network.delay(&mut self.rng);
                if self.plan.flaw != Flaw::StopsUnheard {
                    self.queue
                        .push(delay, Event::LeaderStopped(requester, runner));
                }
            }
            Event::LeaderStopped(requester, runner) => {
                self.step_controller(requester.node.0, ControllerInput::RunnerStopped(runner));
            }
            Event::Probed(requester, function, runner, is_ready) => {
                let index = requester.node.daemon_index();
                self.apply(index, &function, runner.fencing_token, |holder, now| {
                    holder.probed(now, runner, is_ready)
                });
            }
            Event::Settled(requester, function, runner, running) => {
                let index = requester.node.daemon_index();
                self.apply(index, &function, runner.fencing_token, |holder, now| {
                    holder.running_listed(now, runner, running)
                });
            }
            Event::Operate(node, ticket, operation) => {
                self.step_controller(node.0, ControllerInput::Operate(ticket, operation));
            }
            Event::Withdraw(node, ticket) => {
                self.step_controller(node.0, ControllerInput::CallerDisconnected(ticket));
            }
            Event::ClientTimedOut(ticket) => self.time_out_command(ticket),
            Event::Resend(command) => self.send_command(command),
            Event::ReadBack => {
                self.read_back();
                self.schedule_reading();
            }
            Event::OperatorReply(ticket, reply) => self.handle_operation_reply(ticket, reply),
            Event::ListTick => {
                self.platform.snapshot_lists(self.queue.now());
                self.check_instance_owners();
                let is_late = self.platform.are_lists_late();
                if is_late || !self.is_control_side_healthy() {
                    self.checks.note_control_outage(self.queue.now());
                }
                self.queue.push(Duration::from_millis(100), Event::ListTick);
            }
            Event::Call => self.send_random_call(),
            Event::DuplicateCall(idempotency_key, route_name) => {
                self.send_duplicate_call(idempotency_key, route_name)
            }
            Event::RunAction(action) => self.run_action(action),
            Event::Change => {
                self.send_change();
                if !self.faults.is_healed() {
                    self.schedule_change();
                }
            }
            Event::Fault if !self.faults.is_healed() => {
                self.inject_random_fault();
                self.schedule_fault();
            }
            Event::RestartNode(node) => self.restart_node(node),
            Event::ClearPartitions => self.network.clear_partitions(),
            Event::ResumeNode(node) => self.resume_node(node),
            Event::EndPlatformFaults => {
                self.faults.end_runner_faults();
                self.platform.end_list_delay();
            }
            Event::StopLeavingRunner(runner) => self.platform.stop(runner),
            Event::RestoreWorkers => self.platform.restore(),
            Event::WorkersReturn(workers) => {
                self.platform.return_workers(workers);
            }
            Event::Restore(zone) => self.submit_change(None, ChangeKind::Restore { zone }),
            Event::Repeat(route_name) => self.repeat_call(&route_name),
            Event::Heal => {
                self.heal();
                self.faults.mark_healed();
            }
            _ => {}
        }
    }
}
