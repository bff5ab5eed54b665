//! The controllers of a synthetic fleet, and the messages that they receive and send.

use super::catalogue;
use super::events::{ControllerEvent, ControllerLinkEvent, DaemonLinkEvent, Event};
use super::fleet::SyntheticFleet;
use super::members::{Controller, OpenChange};
use super::meter::{Role, Work};
use super::platform::{HTTP_HEADER_BYTES, PLATFORM_LATENCY, read_runners, read_workers};
use super::wire;
use super::zones::ZoneNumber;
use bytes::Bytes;
use common::events;
use common::frames::{ConsensusFrame, DaemonToLeader, LeaderToDaemon, SocketAddress, decode};
use common::identity::{ChangeId, ControllerId, DocumentVersion, Term, Version};
use common::rng::SeededRng;
use common::spec::{Document, Voter, read_spec};
use controlplane::consensus::{
    ConsensusNode, ConsensusTiming, ControllerAddress, PersistedState, WriteJob, WriteResult,
};
use controlplane::controller_state::{
    ChangeKind, ChangeRequest, ControllerInput, ControllerOutput, ControllerState, NumberedEvent,
    Operation, OperationReply, OperationTicket, Wait,
};
use controlplane::leader_state::{EventDetail, LeaderTiming, StreamId};
use serde_json::Value;
use std::time::Duration;

const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);
const POLL_INTERVAL: Duration = Duration::from_millis(400);
const DISK_LATENCY: Duration = Duration::from_millis(4);

impl SyntheticFleet {
    /// Creates the controllers with the first spec on their disks.
    pub(super) fn bootstrap(&mut self, first_spec: Value) {
        let seeds = Self::seeds();
        let ids: Vec<ControllerId> = (0..seeds.len())
            .map(|_| ControllerId(self.rng.number() | 1))
            .collect();
        let document_bytes = first_document(&ids, &seeds, first_spec).to_bytes();
        self.record.document_bytes = document_bytes.len() as u64;
        for (number, id) in ids.into_iter().enumerate() {
            let persisted = PersistedState {
                id,
                voted_for: None,
                accepted: Document::from_bytes(&document_bytes).ok(),
                unreadable_version: DocumentVersion::default(),
            };
            self.start_controller(number, persisted, &seeds);
        }
    }

    fn start_controller(
        &mut self,
        number: usize,
        persisted: PersistedState,
        seeds: &[SocketAddress],
    ) {
        let address = seeds[number];
        let timing = ConsensusTiming::builder().build();
        let confirmation_validity = timing.election_timeout_min;
        let consensus = ConsensusNode::new(
            self.now,
            timing,
            persisted,
            ControllerAddress {
                address,
                operator_address: address,
            },
            ZoneNumber::of(number).zone(),
            seeds.to_vec(),
            SeededRng::seeded(self.rng.number()),
        );
        let controller_state = ControllerState::new(
            consensus,
            LeaderTiming::builder().build(),
            confirmation_validity,
        );
        self.controllers.push(Controller {
            controller_state,
            due: self.now,
        });
        self.push(
            Duration::from_millis(number as u64),
            Event::Controller(number, ControllerEvent::Tick),
        );
        self.push(
            Duration::from_millis(50),
            Event::Controller(number, ControllerEvent::Poll),
        );
    }

    /// Handles an event at a controller.
    pub(super) fn handle_controller_event(&mut self, controller: usize, event: ControllerEvent) {
        match event {
            ControllerEvent::Tick => self.tick_controller(controller),
            ControllerEvent::Poll => self.poll(controller),
            ControllerEvent::Consensus(frame) => self.handle_consensus_frame(controller, &frame),
            ControllerEvent::Written(ticket) => {
                let input = ControllerInput::WriteCompleted(ticket, WriteResult::Synced);
                self.step_controller(controller, Work::Disk, input);
            }
            ControllerEvent::RunnerStopped(runner) => {
                let input = ControllerInput::RunnerStopped(runner);
                self.step_controller(controller, Work::Runners, input);
            }
            ControllerEvent::Operate(ticket, operation) => {
                let input = ControllerInput::OperatorRequest(ticket, *operation);
                self.step_controller(controller, Work::Changes, input);
            }
        }
    }

    /// Handles an event at a controller's end of a link.
    pub(super) fn handle_controller_link_event(&mut self, link: usize, event: ControllerLinkEvent) {
        match event {
            ControllerLinkEvent::Frame(frame) => self.handle_frame_from_daemon(link, &frame),
            ControllerLinkEvent::Lost => {
                self.links[link].is_open = false;
                let controller = self.links[link].controller;
                let input = ControllerInput::StreamLost(StreamId(link as u64));
                self.step_controller(controller, Work::Others, input);
            }
        }
    }

    /// Passes an input to a controller and executes the outputs.
    fn step_controller(&mut self, controller: usize, work: Work, input: ControllerInput) {
        let now = self.now;
        let role = self.controllers[controller].role();
        let controller_state = &mut self.controllers[controller].controller_state;
        let (outputs, _) = self
            .meter
            .measure_step(role, work, || controller_state.handle_input(now, input));
        let due = self.controllers[controller].controller_state.next_due(now);
        self.controllers[controller].due = due;
        for output in outputs {
            self.apply_controller_output(controller, output);
        }
    }

    /// Runs the timers of a controller if they are due, and schedules the next tick.
    fn tick_controller(&mut self, controller: usize) {
        if self.now >= self.controllers[controller].due {
            self.step_controller(controller, Work::Ticks, ControllerInput::Tick);
        }
        let due = self.controllers[controller].due;
        let delay = due.since(self.now).max(MIN_TICK_INTERVAL);
        self.push(delay, Event::Controller(controller, ControllerEvent::Tick));
    }

    fn apply_controller_output(&mut self, controller: usize, output: ControllerOutput) {
        let role = self.controllers[controller].role();
        match output {
            ControllerOutput::Send(to, frame) => self.send_consensus(controller, to, &frame),
            ControllerOutput::Write(ticket, job) => {
                if let WriteJob::Version(document) = &job {
                    let written_bytes = document.to_bytes().len() as u64;
                    self.meter.count_sent(role, Work::Disk, 1, written_bytes);
                }
                self.push(
                    DISK_LATENCY,
                    Event::Controller(controller, ControllerEvent::Written(ticket)),
                );
            }
            ControllerOutput::FrameToDaemon(stream, frame) => {
                self.send_to_daemon(controller, stream, &frame)
            }
            ControllerOutput::CloseStream(stream) => self.close_link(stream.0 as usize),
            ControllerOutput::RequestLists => self.read_lists(controller),
            ControllerOutput::StopRunner(stop_order) => {
                let runner = stop_order.runner;
                self.meter
                    .count_sent(Role::Platform, Work::Runners, 1, HTTP_HEADER_BYTES);
                self.platform.stop(runner);
                let stopped = ControllerEvent::RunnerStopped(runner);
                self.push(PLATFORM_LATENCY, Event::Controller(controller, stopped));
            }
            ControllerOutput::OperatorReply(ticket, reply) => {
                self.handle_operation_reply(ticket, reply)
            }
            ControllerOutput::EventRecorded(numbered) => self.record_changes_in_force(&numbered),
        }
    }

    fn send_consensus(&mut self, controller: usize, to: SocketAddress, frame: &ConsensusFrame) {
        let role = self.controllers[controller].role();
        let Some(other) = Self::controller_at(to) else {
            return;
        };
        let Some(bytes) = wire::encode_sent(&mut self.meter, role, Work::Consensus, frame) else {
            return;
        };
        let delay = Self::message_delay(controller, other);
        self.push(
            delay,
            Event::Controller(other, ControllerEvent::Consensus(bytes)),
        );
    }

    fn send_to_daemon(&mut self, controller: usize, stream: StreamId, frame: &LeaderToDaemon) {
        let role = self.controllers[controller].role();
        let work = wire::work_of_leader_frame(frame);
        let link = stream.0 as usize;
        let Some(bytes) = wire::encode_sent(&mut self.meter, role, work, frame) else {
            return;
        };
        if work == Work::Hosts {
            self.record.hosts_bytes = wire::frame_bytes(bytes.len());
        }
        let delay = Self::message_delay(controller, self.links[link].daemon);
        self.push(
            delay,
            Event::DaemonLink(link, DaemonLinkEvent::Frame(bytes)),
        );
    }

    fn handle_consensus_frame(&mut self, controller: usize, bytes: &Bytes) {
        let role = self.controllers[controller].role();
        let read = wire::decode_received(&mut self.meter, role, Work::Consensus, bytes);
        if let Some(frame) = read {
            let input = ControllerInput::Consensus(frame);
            self.step_controller(controller, Work::Consensus, input);
        }
    }

    fn handle_frame_from_daemon(&mut self, link: usize, bytes: &Bytes) {
        if !self.links[link].is_open {
            return;
        }
        let controller = self.links[link].controller;
        let role = self.controllers[controller].role();
        let Ok(peeked_frame) = decode::<DaemonToLeader>(bytes) else {
            return;
        };
        let work = wire::work_of_daemon_frame(&peeked_frame);
        let Some(frame) = wire::decode_received(&mut self.meter, role, work, bytes) else {
            return;
        };
        let input = ControllerInput::DaemonFrame(StreamId(link as u64), frame);
        self.step_controller(controller, work, input);
    }

    /// Schedules the next poll, and reads the platform's lists if this controller leads.
    fn poll(&mut self, controller: usize) {
        self.push(
            POLL_INTERVAL,
            Event::Controller(controller, ControllerEvent::Poll),
        );
        self.read_lists(controller);
    }

    fn read_lists(&mut self, controller: usize) {
        if !self.controllers[controller].is_leader() {
            return;
        }
        self.sample_visibility();
        let (workers_body, runners_body) = self.platform.list_bodies();
        let (workers, runners) = self.meter.measure_wire(Role::Platform, Work::Lists, 1, || {
            (read_workers(&workers_body), read_runners(&runners_body))
        });
        let list_bytes = (workers_body.len() + runners_body.len()) as u64;
        self.meter
            .count_sent(Role::Platform, Work::Lists, 2, 2 * HTTP_HEADER_BYTES);
        self.meter
            .count_received(Role::Platform, Work::Lists, 2, list_bytes);
        let listed_at = self.now;
        self.step_controller(controller, Work::Lists, ControllerInput::Workers(workers));
        self.step_controller(
            controller,
            Work::Lists,
            ControllerInput::Runners(listed_at, runners),
        );
    }

    /// Sends a change of one function to the leader, as an operator does.
    pub(super) fn send_change(&mut self) {
        let Some(leader) = self.controllers.iter().position(Controller::is_leader) else {
            return;
        };
        self.change_count += 1;
        let patch = catalogue::random_change(&mut self.rng, self.size.functions, self.change_count);
        let ticket = OperationTicket(self.next_number());
        let open_change = OpenChange {
            requested_at: self.now,
            leader_nanos: self.meter.leader_nanos,
            version: None,
        };
        self.changes.insert(ticket, open_change);
        let operation = Operation::Change(ChangeRequest {
            base: None,
            numbering: None,
            change: Some(ChangeId::from(format!("change-{}", self.change_count))),
            kind: ChangeKind::Patch(patch),
            wait: Wait::Accepted,
        });
        let operate = ControllerEvent::Operate(ticket, Box::new(operation));
        self.push(Duration::ZERO, Event::Controller(leader, operate));
    }

    fn handle_operation_reply(&mut self, ticket: OperationTicket, reply: OperationReply) {
        let OperationReply::Accepted { version, .. } = reply else {
            return;
        };
        if let Some(open_change) = self.changes.get_mut(&ticket) {
            open_change.version = Some(version.0);
        }
    }

    /// Records the changes that came into force with this event: their time on the network and the leader's processor
    /// time.
    fn record_changes_in_force(&mut self, numbered: &NumberedEvent) {
        if numbered.event_record.event != events::VERSION_IN_FORCE {
            return;
        }
        let in_force = match &numbered.event_record.detail {
            EventDetail::Version { version } => Some(version.0),
            _ => None,
        };
        let leader_nanos = self.meter.leader_nanos;
        let now = self.now;
        let tickets_in_force: Vec<OperationTicket> = self
            .changes
            .iter()
            .filter(|(_, open_change)| {
                open_change.version.is_some() && open_change.version <= in_force
            })
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in tickets_in_force {
            let Some(open_change) = self.changes.remove(&ticket) else {
                continue;
            };
            let network_ms = now.since(open_change.requested_at).as_secs_f64() * 1e3;
            let leader_ms = (leader_nanos - open_change.leader_nanos) as f64 / 1e6;
            self.record.in_force.push((network_ms, leader_ms));
        }
    }
}

/// Returns the first document of the control quorum, with the first spec.
fn first_document(ids: &[ControllerId], seeds: &[SocketAddress], first_spec: Value) -> Document {
    let members = ids.iter().zip(seeds).enumerate();
    let voters: Vec<Voter> = members
        .map(|(number, (id, address))| Voter {
            id: *id,
            address: *address,
            zone: ZoneNumber::of(number).zone(),
        })
        .collect();
    let checked_spec = read_spec(&first_spec).unwrap_or_default();
    let initial_document = Document::initial(voters);
    let mut document =
        initial_document.with_spec(first_spec, &checked_spec, ChangeId::from("founding"));
    document.document_version = DocumentVersion {
        term: Term(1),
        version: Version(2),
    };
    document
}
