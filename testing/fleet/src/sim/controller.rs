//! Simulated controllers and their disks.

use super::daemon::local_time;
use super::event::Event;
use super::flaw::Flaw;
use super::network::{Node, PLATFORM};
use super::platform::Requester;
use super::simulation::Simulation;
use common::clock::MonotonicTime;
use common::events;
use common::frames::{
    ConsensusFrame, ConsensusMessage, Flag, LeaderToDaemon, LengthPrefixed, SocketAddress,
};
use common::identity::{ControllerId, DocumentVersion, Term, Ticket};
use common::rng::SeededRng;
use common::spec::Document;
use controlplane::consensus::{
    ConsensusNode, ConsensusTiming, ControllerAddress, PersistedState, QuorumPolicy, WriteJob,
    WriteResult,
};
use controlplane::controller_state::{
    ControllerInput, ControllerOutput, ControllerState, OperationReply, OperationTicket,
};
use controlplane::leader_state::{LeaderTiming, StreamId};
use std::time::Duration;

/// A simulated disk.
pub(crate) struct SimDisk {
    /// The content that survives a crash.
    pub durable: PersistedState,
    /// Until when writes stall.
    pub stalled_until: MonotonicTime,
    /// Until when writes fail.
    pub failing_until: MonotonicTime,
    /// The version before the newest one.
    pub previous: Option<Document>,
}

/// A simulated controller.
pub(crate) struct SimController {
    /// Its node.
    pub node: Node,
    /// The number of its incarnation.
    pub instance: u64,
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

pub(super) fn timing() -> ConsensusTiming {
    ConsensusTiming::builder()
        .election_timeout_min(Duration::from_millis(350))
        .election_timeout_max(Duration::from_millis(600))
        .unreachable_voter_timeout(Duration::from_secs(3))
        .build()
}

fn leader_state_timing() -> LeaderTiming {
    LeaderTiming::builder()
        .lease_length(Duration::from_millis(1600))
        .drift_margin(Duration::from_millis(160))
        .claims_wait(Duration::from_millis(1760))
        .build()
}

impl Simulation {
    pub(super) fn controller_now(&self, index: usize) -> MonotonicTime {
        let controller = &self.controllers[index];
        local_time(
            self.queue.now(),
            controller.clock_ahead,
            controller.clock_drift,
        )
    }

    /// Starts a controller from its disk.
    pub(super) fn start_controller(&mut self, index: usize) {
        let local_now = self.controller_now(index);
        let seed = self.rng.number();
        let seeds = self.seeds();
        let rules = self.plan.rules();
        let voters = self.plan.voters;
        let controller = &mut self.controllers[index];
        controller.instance += 1;
        let own_address = controller.address;
        let controller_address = ControllerAddress {
            address: own_address,
            operators: own_address,
        };
        let consensus = ConsensusNode::new(
            local_now,
            timing(),
            controller.disk.durable.clone(),
            controller_address,
            Self::zone(index),
            seeds,
            SeededRng::seeded(seed),
        )
        .with_rules(rules)
        .with_quorum_policy(QuorumPolicy::new(voters, 1));
        let controller_state = ControllerState::new(
            consensus,
            leader_state_timing(),
            timing().election_timeout_min,
        );
        controller.controller_state = Some(controller_state.with_rules(rules));
        let node = controller.node;
        self.queue.push(
            Duration::from_millis(1),
            Event::Tick(node, self.controllers[index].instance),
        );
        self.queue.push(
            Duration::from_millis(50),
            Event::Poll(node, self.controllers[index].instance),
        );
    }

    /// Kills a controller's process; its connections are closed.
    pub(super) fn kill_controller(&mut self, index: usize) {
        let node = self.controllers[index].node;
        self.notify_gone(node, self.controllers[index].address);
        self.close_links(node);
        self.end_controller(index);
    }

    /// Cuts the power of a controller's machine; its connections break without being closed.
    pub(super) fn power_off_controller(&mut self, index: usize) {
        self.break_links_silently(self.controllers[index].node);
        self.end_controller(index);
    }

    /// Ends a controller's process; a write in progress may or may not have reached the disk.
    fn end_controller(&mut self, index: usize) {
        self.controllers[index].controller_state = None;
        self.controllers[index].instance += 1;
        let unsynced = std::mem::take(&mut self.unsynced);
        for (owner, job) in unsynced {
            let reached_disk = self.rng.random_bool(0.5) && self.plan.flaw != Flaw::SyncSkipped;
            if owner == index && reached_disk {
                self.controllers[index].disk.store(&job);
            } else if owner != index {
                self.unsynced.push((owner, job));
            }
        }
    }

    /// The other controllers that reach a killed one soon find its address closed.
    fn notify_gone(&mut self, gone: Node, address: SocketAddress) {
        let others: Vec<Node> = self
            .controllers
            .iter()
            .map(|controller| controller.node)
            .collect();
        for other in others {
            let is_noticed = other != gone
                && self.network.reaches(other, gone)
                && self.network.reaches(gone, other)
                && !self.rng.random_bool(0.1);
            if is_noticed {
                let delay = self.network.delay(&mut self.rng);
                self.queue
                    .push(delay, Event::ControllerGone(other, address));
            }
        }
    }

    /// Replaces a controller's disk by an empty one.
    pub(super) fn lose_disk(&mut self, index: usize) {
        let fresh_id = ControllerId(self.rng.number() | 1);
        let disk = &mut self.controllers[index].disk;
        disk.durable = PersistedState {
            id: fresh_id,
            voted_for: None,
            accepted: None,
            unreadable_version: DocumentVersion::default(),
        };
        disk.previous = None;
    }

    /// Corrupts the newest version on a disk: it is set aside at the next start, and the controller remembers what it
    /// may have acknowledged.
    pub(super) fn damage_disk(&mut self, index: usize) {
        let disk = &mut self.controllers[index].disk;
        let damaged = disk.durable.accepted.take();
        disk.durable.unreadable_version =
            damaged.map_or(DocumentVersion::default(), |held| held.document_version);
        disk.durable.accepted = disk.previous.take();
    }

    pub(super) fn step_controller(&mut self, index: usize, input: ControllerInput) {
        if index >= self.controllers.len() {
            return;
        }
        let local_now = self.controller_now(index);
        let Some(controller_state) = &mut self.controllers[index].controller_state else {
            return;
        };
        let orders = controller_state.handle_input(local_now, input);
        for order in orders {
            self.apply_controller_output(index, order);
        }
    }

    fn apply_controller_output(&mut self, index: usize, order: ControllerOutput) {
        let node = self.controllers[index].node;
        let instance = self.controllers[index].instance;
        match order {
            ControllerOutput::Send(to, frame) => {
                let Some(to_node) = self.node_at(to) else {
                    return;
                };
                if self.plan.flaw == Flaw::QuorumOfOne {
                    self.forge_approval(index, to_node, &frame);
                }
                if self.network.reaches(node, to_node) && !self.rng.random_bool(0.001) {
                    let key = (node, to_node);
                    let delay = self.network.delay(&mut self.rng);
                    self.queue
                        .push_in_order(key, delay, Event::ConsensusFrame(to_node, frame));
                }
            }
            ControllerOutput::Write(ticket, job) => self.write(index, ticket, job),
            ControllerOutput::FrameToDaemon(stream, frame) => self.send_down(stream, frame),
            ControllerOutput::Close(stream) => self.close_link(stream.0),
            ControllerOutput::RequestLists => self.read_lists(index),
            ControllerOutput::StopRunner(order) => {
                let requester = Requester { node, instance };
                if self.network.reaches(node, PLATFORM) {
                    let delay = self.network.delay(&mut self.rng);
                    self.queue.push(delay, Event::LeaderStop(requester, order));
                }
            }
            ControllerOutput::OperatorReply(ticket, reply) => self.operated(index, ticket, reply),
            ControllerOutput::EventRecord(numbered) => {
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

    /// Makes a controller believe that another one granted its requests.
    fn forge_approval(&mut self, index: usize, to_node: Node, frame: &ConsensusFrame) {
        let body = match &frame.body {
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
            _ => return,
        };
        let other_address = self.controllers[to_node.0].address;
        let forged_frame = ConsensusFrame {
            from: self.controllers[to_node.0].disk.durable.id,
            address: other_address,
            operators: other_address,
            zone: "here".into(),
            body,
        };
        let node = self.controllers[index].node;
        self.queue.push(
            Duration::from_micros(50),
            Event::ConsensusFrame(node, forged_frame),
        );
    }

    fn check_commit(&mut self, index: usize) {
        let committed_document = self.controllers[index]
            .controller_state
            .as_ref()
            .and_then(|controller_state| controller_state.consensus().accepted().cloned());
        if let Some(document) = committed_document {
            self.checks.check_committed(self.queue.now(), &document);
        }
    }

    fn write(&mut self, index: usize, ticket: Ticket, job: WriteJob) {
        let instance = self.controllers[index].instance;
        let node = self.controllers[index].node;
        let disk = &self.controllers[index].disk;
        let own_delay = self
            .rng
            .within(Duration::from_micros(300), Duration::from_millis(12));
        let ends_at = (self.queue.now() + own_delay).max(disk.stalled_until);
        let is_failing = disk.failing_until > self.queue.now();
        self.unsynced.push((index, job.clone()));
        let skips_sync = self.plan.flaw == Flaw::SyncSkipped;
        if skips_sync {
            self.queue.push(
                Duration::from_micros(100),
                Event::Written(node, instance, ticket, WriteResult::Synced),
            );
            let late = ends_at.since(self.queue.now()) + Duration::from_secs(20);
            self.queue.push(late, Event::Durable(node, instance, job));
        } else if is_failing {
            let delay = ends_at.since(self.queue.now());
            self.queue.push(
                delay,
                Event::Written(node, instance, ticket, WriteResult::Failed),
            );
        } else {
            let delay = ends_at.since(self.queue.now());
            self.queue.push(delay, Event::Durable(node, instance, job));
            self.queue.push(
                delay + Duration::from_nanos(1),
                Event::Written(node, instance, ticket, WriteResult::Synced),
            );
        }
    }

    pub(super) fn durable(&mut self, index: usize, job: &WriteJob) {
        self.controllers[index].disk.store(job);
        self.unsynced
            .retain(|(owner, kept)| *owner != index || !is_same(kept, job));
    }

    fn send_down(&mut self, stream: StreamId, frame: LeaderToDaemon) {
        let Some(link) = self.links.get(&stream.0) else {
            return;
        };
        let (from, to) = (link.controller, link.daemon);
        if !self.network.reaches(from, to) {
            self.break_silently(stream.0);
            return;
        }
        self.record.count_event("frames down");
        match &frame {
            LeaderToDaemon::Renewed { .. } => {
                self.recovery.renewed(self.queue.now(), to.daemon_index())
            }
            LeaderToDaemon::Hosts { hosts, .. } => {
                self.record.count_events("hosts told", hosts.0.len())
            }
            LeaderToDaemon::HostsDelta { put, .. } => {
                self.record.count_events("hosts told", put.0.len());
            }
            LeaderToDaemon::Spec { document: blob, .. }
            | LeaderToDaemon::Change { delta: blob, .. } => {
                self.record.count_events("spec bytes", blob.0.len());
            }
            _ => {}
        }
        let delay = self.network.delay(&mut self.rng);
        let key = (Node(2_000_000 + stream.0 as usize), to);
        self.queue
            .push_in_order(key, delay, Event::LinkDown(stream.0, frame));
    }

    pub(super) fn poll_platform(&mut self, index: usize) {
        let node = self.controllers[index].node;
        let instance = self.controllers[index].instance;
        self.queue
            .push(Duration::from_millis(400), Event::Poll(node, instance));
        let leads = self.controllers[index]
            .controller_state
            .as_ref()
            .is_some_and(|controller_state| controller_state.consensus().is_leader());
        if leads {
            self.read_lists(index);
        }
    }

    fn read_lists(&mut self, index: usize) {
        let node = self.controllers[index].node;
        let instance = self.controllers[index].instance;
        if !self.network.reaches(node, PLATFORM) {
            return;
        }
        let sent_at = self.controller_now(index);
        let (age, listed_runners, workers) = self.platform.delayed_lists(self.queue.now());
        let delay = self.network.delay(&mut self.rng);
        self.queue.push(
            delay,
            Event::Lists(node, instance, workers, sent_at - age, listed_runners),
        );
    }

    fn operated(&mut self, index: usize, ticket: OperationTicket, reply: OperationReply) {
        self.check_reply(index, ticket, &reply);
        let delay = self.network.delay(&mut self.rng);
        self.queue.push(delay, Event::OperatorReply(ticket, reply));
    }
}

fn is_same(left: &WriteJob, right: &WriteJob) -> bool {
    match (left, right) {
        (
            WriteJob::Vote {
                term: left_term, ..
            },
            WriteJob::Vote {
                term: right_term, ..
            },
        ) => left_term == right_term,
        (WriteJob::Version(left_document), WriteJob::Version(right_document)) => {
            left_document.document_version == right_document.document_version
        }
        (WriteJob::Scrub(_), WriteJob::Scrub(_)) => true,
        _ => false,
    }
}

impl SimDisk {
    /// Completes a write and makes it durable.
    pub(crate) fn store(&mut self, job: &WriteJob) {
        match job {
            WriteJob::Vote { term, candidate } => {
                if self
                    .durable
                    .voted_for
                    .is_none_or(|(voted_for, _)| voted_for < *term)
                {
                    self.durable.voted_for = Some((*term, *candidate));
                }
            }
            WriteJob::Scrub(_) => {}
            WriteJob::Version(document) => {
                let is_newer = self
                    .durable
                    .accepted
                    .as_ref()
                    .is_none_or(|held| held.document_version < document.document_version);
                if is_newer {
                    self.previous = self.durable.accepted.replace(document.clone());
                    if self.durable.unreadable_version <= document.document_version {
                        self.durable.unreadable_version = DocumentVersion::default();
                    }
                }
            }
        }
    }
}
