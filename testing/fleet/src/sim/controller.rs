//! Simulated controllers and their disks.

use super::addresses::{seeds, zone_of_machine};
use super::daemon::local_time;
use super::disk::{SimDisk, UnsyncedWrite};
use super::event::{ControllerEvent, Event, LinkEvent, OperatorEvent, PlatformEvent};
use super::flaw::Flaw;
use super::links::TO_DAEMON_STREAMS;
use super::network::{Node, PLATFORM, Requester};
use super::simulation::Simulation;
use common::clock::MonotonicTime;
use common::events;
use common::frames::{
    ConsensusFrame, ConsensusMessage, Flag, LeaderToDaemon, LengthPrefixed, SocketAddress,
};
use common::identity::{ControllerId, Term, Ticket};
use common::rng::SeededRng;
use common::spec::{Document, Voter};
use controlplane::consensus::{
    ConsensusNode, ConsensusTiming, ControllerAddress, QuorumPolicy, WriteJob, WriteResult,
};
use controlplane::controller_state::{
    ControllerInput, ControllerOutput, ControllerState, OperationReply, OperationTicket,
};
use controlplane::leader_state::{LeaderTiming, StreamId};
use std::time::Duration;

/// A simulated controller.
pub(crate) struct SimController {
    /// Its node.
    pub node: Node,
    /// The number of its incarnation.
    pub incarnation: u64,
    /// Its address.
    pub address: SocketAddress,
    /// By how much its machine's clock is ahead of virtual time.
    pub clock_ahead: Duration,
    /// How many thousandths its machine's clock runs fast, or slow if negative.
    pub clock_drift: i64,
    /// Its state machine, while its process runs.
    pub controller_state: Option<ControllerState>,
    /// Its disk.
    pub disk: SimDisk,
}

pub(super) fn consensus_timing() -> ConsensusTiming {
    ConsensusTiming::builder()
        .election_timeout_min(Duration::from_millis(350))
        .election_timeout_max(Duration::from_millis(600))
        .unreachable_voter_timeout(Duration::from_secs(3))
        .build()
}

impl SimController {
    /// Returns the time on its machine's clock.
    pub(super) fn local_time(&self, now: MonotonicTime) -> MonotonicTime {
        local_time(now, self.clock_ahead, self.clock_drift)
    }

    /// Whether its process runs.
    pub(super) fn is_running(&self) -> bool {
        self.controller_state.is_some()
    }

    /// Returns its incarnation; none if its process is not running.
    pub(super) fn running_incarnation(&self) -> Option<u64> {
        self.is_running().then_some(self.incarnation)
    }

    /// Whether it considers itself the leader.
    pub(super) fn is_leader(&self) -> bool {
        self.controller_state
            .as_ref()
            .is_some_and(|controller_state| controller_state.consensus().is_leader())
    }

    /// Whether it is a ready leader that may grant leases.
    pub(super) fn is_granting_leader(&self) -> bool {
        self.controller_state
            .as_ref()
            .is_some_and(|controller_state| {
                let leader_state = controller_state.leader_state();
                controller_state.consensus().is_ready()
                    && leader_state
                        .is_some_and(|leader_state| leader_state.is_claims_quorum_reached())
            })
    }

    /// Returns the newest document that its process has accepted.
    pub(super) fn accepted_by_process(&self) -> Option<&Document> {
        self.controller_state.as_ref()?.consensus().accepted()
    }

    /// Whether the identity on its disk is that of one of these voters.
    pub(super) fn is_one_of(&self, voters: &[Voter]) -> bool {
        voters.iter().any(|voter| voter.id == self.disk.durable.id)
    }

    /// Returns its current process as the sender of a request.
    pub(super) fn requester(&self) -> Requester {
        Requester {
            node: self.node,
            incarnation: self.incarnation,
        }
    }
}

fn leader_timing() -> LeaderTiming {
    LeaderTiming::builder()
        .lease_length(Duration::from_millis(1600))
        .drift_margin(Duration::from_millis(160))
        .claims_wait(Duration::from_millis(1760))
        .build()
}

impl Simulation {
    /// Starts a controller from its disk.
    pub(super) fn start_controller(&mut self, index: usize) {
        let local_now = self.nodes.controller(index).local_time(self.queue.now());
        let seed = self.rng.number();
        let seeds = seeds();
        let rules = self.plan.rules();
        let voters = self.plan.voters;
        let controller = self.nodes.controller_mut(index);
        controller.incarnation += 1;
        let own_address = controller.address;
        let controller_address = ControllerAddress {
            address: own_address,
            operator_address: own_address,
        };
        let consensus = ConsensusNode::new(
            local_now,
            consensus_timing(),
            controller.disk.durable.clone(),
            controller_address,
            zone_of_machine(index),
            seeds,
            SeededRng::seeded(seed),
        )
        .with_rules(rules)
        .with_quorum_policy(QuorumPolicy::new(voters, 1));
        let controller_state = ControllerState::new(
            consensus,
            leader_timing(),
            consensus_timing().election_timeout_min,
        );
        controller.controller_state = Some(controller_state.with_rules(rules));
        let node = controller.node;
        self.queue.push(
            Duration::from_millis(1),
            Event::Tick(node, self.nodes.controller(index).incarnation),
        );
        self.queue.push(
            Duration::from_millis(50),
            ControllerEvent::Poll(node, self.nodes.controller(index).incarnation),
        );
    }

    /// Kills a controller's process; its connections are closed.
    pub(super) fn kill_controller(&mut self, index: usize) {
        let node = self.nodes.controller(index).node;
        self.notify_exited(node, self.nodes.controller(index).address);
        self.close_links(node);
        self.end_controller(index);
    }

    /// Cuts the power of a controller's machine; its connections break without being closed.
    pub(super) fn power_off_controller(&mut self, index: usize) {
        self.break_links_silently(self.nodes.controller(index).node);
        self.end_controller(index);
    }

    /// Ends a controller's process. A write in progress may or may not become durable.
    fn end_controller(&mut self, index: usize) {
        self.nodes.controller_mut(index).controller_state = None;
        self.nodes.controller_mut(index).incarnation += 1;
        for write in self.unsynced.take() {
            let reached_disk = self.rng.random_bool(0.5) && self.plan.flaw != Flaw::SyncSkipped;
            if write.controller == index && reached_disk {
                self.nodes.controller_mut(index).disk.store(&write.job);
            } else if write.controller != index {
                self.unsynced.push(write);
            }
        }
    }

    /// Lets the other controllers that can reach an exited process soon notice its exit, with a small chance that one
    /// does not.
    fn notify_exited(&mut self, exited: Node, address: SocketAddress) {
        let others: Vec<Node> = self
            .nodes
            .controllers()
            .iter()
            .map(|controller| controller.node)
            .collect();
        for other in others {
            let is_noticed = other != exited
                && self.network.reaches(other, exited)
                && self.network.reaches(exited, other)
                && !self.rng.random_bool(0.1);
            if is_noticed {
                let delay = self.network.delay(&mut self.rng);
                self.queue
                    .push(delay, ControllerEvent::ControllerExited(other, address));
            }
        }
    }

    /// Replaces a controller's disk by an empty one.
    pub(super) fn lose_disk(&mut self, index: usize) {
        let fresh_id = ControllerId(self.rng.number() | 1);
        self.nodes.controller_mut(index).disk.wipe(fresh_id);
    }

    pub(super) fn step_controller(&mut self, index: usize, input: ControllerInput) {
        if index >= self.nodes.controllers().len() {
            return;
        }
        let local_now = self.nodes.controller(index).local_time(self.queue.now());
        let Some(controller_state) = &mut self.nodes.controller_mut(index).controller_state else {
            return;
        };
        let outputs = controller_state.handle_input(local_now, input);
        for output in outputs {
            self.apply_controller_output(index, output);
        }
    }

    fn apply_controller_output(&mut self, index: usize, output: ControllerOutput) {
        let node = self.nodes.controller(index).node;
        match output {
            ControllerOutput::Send(to, frame) => {
                let Some(to_node) = self.nodes.node_at(to) else {
                    return;
                };
                if self.plan.flaw == Flaw::QuorumOfOne {
                    self.forge_approval(index, to_node, &frame);
                }
                if self.network.reaches(node, to_node) && !self.rng.random_bool(0.001) {
                    let event_stream = (node, to_node);
                    let delay = self.network.delay(&mut self.rng);
                    self.queue.push_in_order(
                        event_stream,
                        delay,
                        ControllerEvent::ConsensusFrame(to_node, frame),
                    );
                }
            }
            ControllerOutput::Write(ticket, job) => self.begin_write(index, ticket, job),
            ControllerOutput::FrameToDaemon(stream, frame) => self.send_to_daemon(stream, frame),
            ControllerOutput::CloseStream(stream) => self.close_link(stream.0),
            ControllerOutput::RequestLists => self.read_lists(index),
            ControllerOutput::StopRunner(order) => {
                let requester = self.nodes.controller(index).requester();
                if self.network.reaches(node, PLATFORM) {
                    let delay = self.network.delay(&mut self.rng);
                    self.queue
                        .push(delay, PlatformEvent::StopForLeader(requester, order));
                }
            }
            ControllerOutput::OperatorReply(ticket, reply) => {
                self.send_operator_reply(index, ticket, reply)
            }
            ControllerOutput::EventRecorded(numbered) => {
                if numbered.event_record.event == events::VERSION_COMMITTED {
                    self.check_commit(index);
                }
                self.record.trace(self.queue.now(), || {
                    let event_record = &numbered.event_record;
                    format!(
                        "controller {index} {} {}",
                        event_record.event, event_record.detail
                    )
                });
            }
        }
    }

    /// Sends a controller a forged reply by which another one grants its request.
    fn forge_approval(&mut self, index: usize, to_node: Node, frame: &ConsensusFrame) {
        let Some(body) = forged_reply(&frame.body) else {
            return;
        };
        let other_address = self.nodes.controller(to_node.0).address;
        let forged_frame = ConsensusFrame {
            from: self.nodes.controller(to_node.0).disk.durable.id,
            address: other_address,
            operators: other_address,
            zone: "here".into(),
            body,
        };
        let node = self.nodes.controller(index).node;
        self.queue.push(
            Duration::from_micros(50),
            ControllerEvent::ConsensusFrame(node, forged_frame),
        );
    }

    fn check_commit(&mut self, index: usize) {
        if let Some(document) = self.nodes.controller(index).accepted_by_process() {
            self.checks.check_committed(self.queue.now(), document);
        }
    }

    fn begin_write(&mut self, index: usize, ticket: Ticket, job: WriteJob) {
        let incarnation = self.nodes.controller(index).incarnation;
        let node = self.nodes.controller(index).node;
        let disk = &self.nodes.controller(index).disk;
        let write_delay = self
            .rng
            .within(Duration::from_micros(300), Duration::from_millis(12));
        let ends_at = (self.queue.now() + write_delay).max(disk.stalled_until);
        let is_failing = disk.failing_until > self.queue.now();
        self.unsynced.push(UnsyncedWrite {
            controller: index,
            job: job.clone(),
        });
        let skips_sync = self.plan.flaw == Flaw::SyncSkipped;
        if skips_sync {
            self.queue.push(
                Duration::from_micros(100),
                ControllerEvent::Written(node, incarnation, ticket, WriteResult::Synced),
            );
            let durable_after = ends_at.since(self.queue.now()) + Duration::from_secs(20);
            self.queue.push(
                durable_after,
                ControllerEvent::Durable(node, incarnation, job),
            );
        } else if is_failing {
            let delay = ends_at.since(self.queue.now());
            self.queue.push(
                delay,
                ControllerEvent::Written(node, incarnation, ticket, WriteResult::Failed),
            );
        } else {
            let delay = ends_at.since(self.queue.now());
            self.queue
                .push(delay, ControllerEvent::Durable(node, incarnation, job));
            self.queue.push(
                delay + Duration::from_nanos(1),
                ControllerEvent::Written(node, incarnation, ticket, WriteResult::Synced),
            );
        }
    }

    pub(super) fn finish_write(&mut self, index: usize, job: &WriteJob) {
        self.nodes.controller_mut(index).disk.store(job);
        self.unsynced.complete(index, job);
    }

    /// Sends a frame to the daemon at the other end of a link.
    fn send_to_daemon(&mut self, stream: StreamId, frame: LeaderToDaemon) {
        let Some(link) = self.links.get(stream.0) else {
            return;
        };
        let (from, to) = (link.controller, link.daemon);
        if !self.network.reaches(from, to) {
            self.break_silently(stream.0);
            return;
        }
        self.record.count_event("frames down");
        match &frame {
            LeaderToDaemon::Renewed { .. } => self
                .recovery
                .record_renewal(self.queue.now(), to.daemon_index()),
            LeaderToDaemon::Hosts { hosts, .. } => {
                self.record.count_events("hosts told", hosts.0.len())
            }
            LeaderToDaemon::HostsDelta { put, .. } => {
                self.record.count_events("hosts told", put.0.len());
            }
            LeaderToDaemon::Spec { document: blob, .. }
            | LeaderToDaemon::SpecDelta { delta: blob, .. } => {
                self.record.count_events("spec bytes", blob.0.len());
            }
            _ => {}
        }
        let delay = self.network.delay(&mut self.rng);
        let event_stream = (Node(TO_DAEMON_STREAMS + stream.0 as usize), to);
        self.queue.push_in_order(
            event_stream,
            delay,
            LinkEvent::FrameToDaemon(stream.0, frame),
        );
    }

    pub(super) fn poll_platform(&mut self, index: usize) {
        let node = self.nodes.controller(index).node;
        let incarnation = self.nodes.controller(index).incarnation;
        self.queue.push(
            Duration::from_millis(400),
            ControllerEvent::Poll(node, incarnation),
        );
        if self.nodes.controller(index).is_leader() {
            self.read_lists(index);
        }
    }

    fn read_lists(&mut self, index: usize) {
        let node = self.nodes.controller(index).node;
        let incarnation = self.nodes.controller(index).incarnation;
        if !self.network.reaches(node, PLATFORM) {
            return;
        }
        let sent_at = self.nodes.controller(index).local_time(self.queue.now());
        let (age, listed_runners, workers) = self.platform.delayed_lists(self.queue.now());
        let delay = self.network.delay(&mut self.rng);
        self.queue.push(
            delay,
            ControllerEvent::Lists(node, incarnation, workers, sent_at - age, listed_runners),
        );
    }

    fn send_operator_reply(
        &mut self,
        index: usize,
        ticket: OperationTicket,
        reply: OperationReply,
    ) {
        self.check_reply(index, ticket, &reply);
        let delay = self.network.delay(&mut self.rng);
        self.queue
            .push(delay, OperatorEvent::OperatorReply(ticket, reply));
    }
}

/// Returns the reply by which another controller would grant this request; none if the message is not a request.
fn forged_reply(message: &ConsensusMessage) -> Option<ConsensusMessage> {
    let reply = match message {
        ConsensusMessage::VoteRequest {
            term, is_pre_vote, ..
        } => ConsensusMessage::VoteResponse {
            term: if is_pre_vote.0 {
                Term(term.0 - 1)
            } else {
                *term
            },
            requested_term: *term,
            is_pre_vote: *is_pre_vote,
            granted: Flag(true),
            members: LengthPrefixed(Vec::new()),
            complete: Flag(true),
        },
        ConsensusMessage::Heartbeat {
            term,
            round,
            accepted,
            ..
        } => ConsensusMessage::HeartbeatResponse {
            term: *term,
            round: *round,
            accepted: *accepted,
        },
        ConsensusMessage::AcceptFull {
            term,
            document_version,
            ..
        }
        | ConsensusMessage::AcceptDelta {
            term,
            document_version,
            ..
        } => ConsensusMessage::Accepted {
            term: *term,
            document_version: *document_version,
        },
        _ => return None,
    };
    Some(reply)
}
