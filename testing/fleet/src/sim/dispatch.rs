//! Dispatches each event to its handler.

use super::event::{
    CallerEvent, ControllerEvent, DaemonEvent, Event, FaultEvent, HolderEvent, LinkEvent,
    OperatorEvent, PlatformEvent,
};
use super::network::{Node, PLATFORM};
use super::simulation::Simulation;
use controlplane::controller_state::{ChangeKind, ControllerInput};
use controlplane::leader_state::StreamId;
use std::time::Duration;

impl Simulation {
    /// Handles an event whose target process is running and not frozen.
    pub(super) fn dispatch(&mut self, event: Event) {
        match event {
            Event::Tick(node, incarnation) => self.handle_tick(node, incarnation),
            Event::Controller(event) => self.handle_controller_event(event),
            Event::Link(event) => self.handle_link_event(event),
            Event::Daemon(event) => self.handle_daemon_event(event),
            Event::Holder(event) => self.handle_holder_event(event),
            Event::Platform(event) => self.handle_platform_event(event),
            Event::Operator(event) => self.handle_operator_event(event),
            Event::Caller(event) => self.handle_caller_event(event),
            Event::Fault(event) => self.handle_fault_event(event),
        }
    }

    fn handle_tick(&mut self, node: Node, incarnation: u64) {
        self.queue
            .push(Duration::from_millis(20), Event::Tick(node, incarnation));
        if node.is_controller() {
            self.step_controller(node.0, ControllerInput::Tick);
        } else {
            self.tick_daemon(node.daemon_index());
        }
    }

    fn handle_controller_event(&mut self, event: ControllerEvent) {
        match event {
            ControllerEvent::Poll(node, _) => self.poll_platform(node.0),
            ControllerEvent::ConsensusFrame(node, frame) => {
                self.step_controller(node.0, ControllerInput::Consensus(frame))
            }
            ControllerEvent::ControllerExited(node, address) => {
                self.step_controller(node.0, ControllerInput::ProcessExited(address));
            }
            ControllerEvent::Durable(node, incarnation, job) => {
                if self.nodes.controller(node.0).incarnation == incarnation {
                    self.finish_write(node.0, &job);
                }
            }
            ControllerEvent::Written(node, _, ticket, result) => {
                self.step_controller(node.0, ControllerInput::WriteCompleted(ticket, result));
            }
            ControllerEvent::Lists(node, _, workers, content_at, runners) => {
                self.step_controller(node.0, ControllerInput::Workers(workers));
                self.step_controller(node.0, ControllerInput::Runners(content_at, runners));
            }
            ControllerEvent::OperatorRequest(node, ticket, operation) => {
                self.step_controller(node.0, ControllerInput::OperatorRequest(ticket, operation));
            }
            ControllerEvent::OperatorDisconnected(node, ticket) => {
                self.step_controller(node.0, ControllerInput::CallerDisconnected(ticket));
            }
            ControllerEvent::RunnerStopped(requester, runner) => {
                self.step_controller(requester.node.0, ControllerInput::RunnerStopped(runner));
            }
        }
    }

    fn handle_link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Dialed(number) => self.handle_dialed(number),
            LinkEvent::FrameToController(number, frame) => {
                self.deliver_to_controller(number, frame)
            }
            LinkEvent::FrameToDaemon(number, frame) => self.deliver_to_daemon(number, frame),
            LinkEvent::LinkLost(number, node) => {
                if node.is_controller() {
                    self.step_controller(node.0, ControllerInput::StreamLost(StreamId(number)));
                } else if node != PLATFORM {
                    self.handle_link_lost(node.daemon_index(), number);
                }
            }
        }
    }

    fn handle_daemon_event(&mut self, event: DaemonEvent) {
        match event {
            DaemonEvent::HeartbeatDatagram(node, heartbeat) => {
                self.handle_heartbeat(node.daemon_index(), &heartbeat)
            }
            DaemonEvent::Lookup(node, _, number, timer_generation) => {
                self.handle_lookup_timer(node.daemon_index(), number, timer_generation)
            }
            DaemonEvent::AcquireTimedOut(node, _, number) => {
                self.handle_acquire_timeout(node.daemon_index(), number)
            }
            DaemonEvent::PeerMessage(node, _, reply_target, body) => {
                self.handle_peer_message(node.daemon_index(), reply_target, body)
            }
            DaemonEvent::ForwardEnded(node, _, number, result, regional_delay_deciseconds) => {
                self.finish_forward(
                    node.daemon_index(),
                    number,
                    result,
                    regional_delay_deciseconds,
                );
            }
            DaemonEvent::FromHolder(node, _, function, fencing_token, message) => {
                self.update_control(node.daemon_index(), |control, agent, now| {
                    control.handle_holder_message(agent, now, function, fencing_token, message)
                });
            }
            DaemonEvent::ProcessExited(node, _) => {
                self.kill_daemon(node.daemon_index());
                self.queue
                    .push(Duration::from_millis(700), FaultEvent::RestartNode(node));
            }
            DaemonEvent::ReplicaRequested(node, exchange, body) => {
                self.handle_replica_request(node, exchange, body);
            }
            DaemonEvent::ReplicaReplied(exchange, reply) => {
                self.handle_replica_reply(exchange, reply)
            }
        }
    }

    fn handle_holder_event(&mut self, event: HolderEvent) {
        match event {
            HolderEvent::Started(requester, function, runner, outcome) => {
                let index = requester.node.daemon_index();
                self.update_holder(index, &function, runner.fencing_token, |holder, now| {
                    holder.handle_start_outcome(now, runner, outcome)
                });
            }
            HolderEvent::Stopped(requester, function, runner) => {
                let index = requester.node.daemon_index();
                self.update_holder(index, &function, runner.fencing_token, |holder, now| {
                    holder.handle_runner_stopped(now, runner)
                });
            }
            HolderEvent::Probed(requester, function, runner, is_ready) => {
                let index = requester.node.daemon_index();
                self.update_holder(index, &function, runner.fencing_token, |holder, now| {
                    holder.handle_probe_result(now, runner, is_ready)
                });
            }
            HolderEvent::RunningListed(requester, function, runner, running) => {
                let index = requester.node.daemon_index();
                self.update_holder(index, &function, runner.fencing_token, |holder, now| {
                    holder.handle_running_list(now, runner, running)
                });
            }
            HolderEvent::SendEnded(requester, function, ticket, fencing_token, result) => {
                let index = requester.node.daemon_index();
                self.update_holder(index, &function, fencing_token, |holder, now| {
                    holder.handle_send_result(now, ticket, result)
                });
            }
        }
    }

    fn handle_platform_event(&mut self, event: PlatformEvent) {
        match event {
            PlatformEvent::Start(requester, function, runner, worker, spec) => {
                self.start_runner(requester, function, runner, worker, &spec);
            }
            PlatformEvent::Stop(requester, function, runner, instance) => {
                self.stop_runner(requester, function, runner, instance.as_ref());
            }
            PlatformEvent::StopForLeader(requester, order) => {
                self.stop_runner_for_leader(requester, &order);
            }
            PlatformEvent::Run(address, run) => self.begin_run(address, run),
            PlatformEvent::RunFinished(runner, run, fault_code) => {
                self.finish_run(runner, run, fault_code)
            }
            PlatformEvent::ListTick => self.handle_list_tick(),
            PlatformEvent::EndWorkerDrains => self.platform.end_worker_drains(),
            PlatformEvent::StopLeavingRunner(runner) => self.platform.stop(runner),
            PlatformEvent::RestoreWorkers(workers) => {
                self.platform.restore_workers(workers);
            }
        }
    }

    fn handle_operator_event(&mut self, event: OperatorEvent) {
        match event {
            OperatorEvent::ClientTimedOut(ticket) => self.time_out_command(ticket),
            OperatorEvent::Resend(command) => self.send_command(command),
            OperatorEvent::Read => {
                self.send_read();
                self.schedule_read();
            }
            OperatorEvent::OperatorReply(ticket, reply) => {
                self.handle_operation_reply(ticket, reply)
            }
            OperatorEvent::Change => {
                self.send_change();
                if !self.faults.is_healed() {
                    self.schedule_change();
                }
            }
            OperatorEvent::Restore(zone) => self.submit_change(None, ChangeKind::Restore { zone }),
        }
    }

    fn handle_caller_event(&mut self, event: CallerEvent) {
        match event {
            CallerEvent::Call => self.send_random_call(),
            CallerEvent::DuplicateCall(idempotency_key, route_name) => {
                self.send_duplicate_call(idempotency_key, route_name)
            }
            CallerEvent::RetryRefused(route_name) => self.send_retry(&route_name),
        }
    }

    fn handle_fault_event(&mut self, event: FaultEvent) {
        match event {
            FaultEvent::RandomFault => {
                if !self.faults.is_healed() {
                    self.inject_random_fault();
                    self.schedule_fault();
                }
            }
            FaultEvent::RunAction(action) => self.run_action(action),
            FaultEvent::RestartNode(node) => self.restart_node(node),
            FaultEvent::ClearPartitions => self.network.clear_partitions(),
            FaultEvent::ResumeNode(node) => self.resume_node(node),
            FaultEvent::EndPlatformFaults => {
                self.faults.end_runner_faults();
                self.platform.end_list_delay();
            }
            FaultEvent::Heal => {
                self.heal();
                self.faults.mark_healed();
            }
        }
    }
}
