//! The controllers of a synthetic fleet, and the messages to and from them.

use super::catalogue;
use super::events::Event;
use super::fleet::{ChangeUnderWay, Fleet};
use super::meter::{Role, Work};
use super::platform::{read_runners, read_workers};
use super::wire;
use super::zones::ZoneNumber;
use bytes::Bytes;
use common::chance::Chance;
use common::clock::Moment;
use common::events;
use common::frames::{CoreFrame, StreamDown, StreamUp, decode, encode};
use common::identity::{ChangeId, ControllerId, RunnerId, Serial, Stamp, Term, Ticket};
use common::spec::{CoreMember, Document, read_spec};
use controlplane::controller_state::{
    ChangeKind, ControllerInput, ControllerOutput, ControllerState, Numbered, Operation,
    OperationReply, OperationTicket, Wait,
};
use controlplane::core::{Address, Core, CoreTiming, Recalled, WriteJob, WriteResult};
use controlplane::leader_state::{LeaderTiming, StreamId};
use serde_json::Value;
use std::time::Duration;

const SHORTEST_REST: Duration = Duration::from_millis(1);
const POLL_EVERY: Duration = Duration::from_millis(400);
const DISK_TAKES: Duration = Duration::from_millis(4);
const PLATFORM_TAKES: Duration = Duration::from_millis(5);
/// What a call to the platform carries beside its body, with its answer's.
const HTTP_HEADERS: u64 = 400;

/// One synthetic controller.
pub(super) struct Controller {
    pub controller_state: ControllerState,
    pub due: Moment,
}

impl Controller {
    fn role(&self) -> Role {
        if self.controller_state.core().is_leader() { Role::Leading } else { Role::Following }
    }
}

impl Fleet {
    /// Three controllers whose disks hold the first spec.
    pub(super) fn found(&mut self, first_spec: Value) {
        let seeds = Self::seeds();
        let ids: Vec<ControllerId> =
            (0..seeds.len()).map(|_| ControllerId(self.chance.number() | 1)).collect();
        let members = ids.iter().zip(&seeds).enumerate();
        let core: Vec<CoreMember> = members
            .map(|(number, (id, place))| CoreMember {
                id: *id,
                place: *place,
                zone: ZoneNumber::of(number).zone(),
            })
            .collect();
        let checked_spec = read_spec(&first_spec).unwrap_or_default();
        let founded = Document::founding(core);
        let mut document = founded.with_spec(first_spec, &checked_spec, ChangeId::from("founding"));
        document.stamp = Stamp { term: Term(1), serial: Serial(2) };
        self.record.document_bytes = document.to_bytes().len() as u64;
        let document_bytes = document.to_bytes();
        for (number, id) in ids.into_iter().enumerate() {
            let accepted = Document::from_bytes(&document_bytes).ok();
            let recalled = Recalled { id, voted: None, accepted, distrusted: Stamp::default() };
            let place = seeds[number];
            let timing = CoreTiming::builder().build();
            let fresh_span = timing.election_shortest;
            let core = Core::new(
                self.now,
                timing,
                recalled,
                Address { place, operators: place },
                ZoneNumber::of(number).zone(),
                seeds.clone(),
                Chance::seeded(self.chance.number()),
            );
            let controller_state =
                ControllerState::new(core, LeaderTiming::builder().build(), fresh_span);
            self.controllers.push(Controller { controller_state, due: self.now });
            self.push(Duration::from_millis(number as u64), Event::TickController(number));
            self.push(Duration::from_millis(50), Event::Poll(number));
        }
    }

    /// Feeds a controller and does what it orders.
    pub(super) fn feed(&mut self, controller: usize, work: Work, input: ControllerInput) {
        let now = self.now;
        let role = self.controllers[controller].role();
        let controller_state = &mut self.controllers[controller].controller_state;
        let (orders, _) = self.meter.think(role, work, || controller_state.take(now, input));
        let due = self.controllers[controller].controller_state.next_due(now);
        self.controllers[controller].due = due;
        for order in orders {
            self.obey_controller(controller, order);
        }
    }

    /// Time passes for a controller that nothing else has reached.
    pub(super) fn tick_controller(&mut self, controller: usize) {
        if self.now >= self.controllers[controller].due {
            self.feed(controller, Work::Ticks, ControllerInput::Tick);
        }
        let due = self.controllers[controller].due;
        let idle_span = due.since(self.now).max(SHORTEST_REST);
        self.push(idle_span, Event::TickController(controller));
    }

    fn obey_controller(&mut self, controller: usize, order: ControllerOutput) {
        let role = self.controllers[controller].role();
        match order {
            ControllerOutput::Send(to, frame) => {
                let Some(other) = Self::controller_at(to) else { return };
                let Ok(bytes) = self.meter.wire(role, Work::Core, 1, || encode(&frame)) else {
                    return;
                };
                self.meter.sent(role, Work::Core, 1, wire::frame_bytes(bytes.len()));
                let delay = Self::delay(controller, other);
                self.push(delay, Event::Core(other, bytes.into()));
            }
            ControllerOutput::Write(ticket, job) => {
                if let WriteJob::Version(document) = &job {
                    let written_bytes = document.to_bytes().len() as u64;
                    self.meter.sent(role, Work::Disk, 1, written_bytes);
                }
                self.push(DISK_TAKES, Event::Written(controller, ticket));
            }
            ControllerOutput::Down(stream, frame) => self.say_down(controller, stream, &frame),
            ControllerOutput::Close(stream) => self.close_link(stream.0 as usize),
            ControllerOutput::AskLists => self.read_lists(controller),
            ControllerOutput::StopRunner(order) => {
                let runner = order.runner;
                self.meter.sent(Role::Platform, Work::Runners, 1, HTTP_HEADERS);
                self.platform.stop(runner);
                self.push(PLATFORM_TAKES, Event::LeaderStopped(controller, runner));
            }
            ControllerOutput::Operated(ticket, reply) => self.operated(ticket, reply),
            ControllerOutput::Told(numbered) => self.told(&numbered),
        }
    }

    fn say_down(&mut self, controller: usize, stream: StreamId, frame: &StreamDown) {
        let role = self.controllers[controller].role();
        let work = wire::work_down(frame);
        let link = stream.0 as usize;
        let Ok(bytes) = self.meter.wire(role, work, 1, || encode(frame)) else { return };
        self.meter.sent(role, work, 1, wire::frame_bytes(bytes.len()));
        if work == Work::Hosts {
            self.record.hosts_bytes = wire::frame_bytes(bytes.len());
        }
        let delay = Self::delay(controller, self.links[link].daemon);
        self.push(delay, Event::Down(link, bytes.into()));
    }

    pub(super) fn close_link(&mut self, link: usize) {
        let delay = Self::delay(self.links[link].controller, self.links[link].daemon);
        self.push(delay, Event::LinkLost { link, at_controller: false });
        self.push(delay, Event::LinkLost { link, at_controller: true });
    }

    pub(super) fn hear_core(&mut self, controller: usize, bytes: &Bytes) {
        let role = self.controllers[controller].role();
        self.meter.heard(role, Work::Core, 1, wire::frame_bytes(bytes.len()));
        let read = self.meter.wire(role, Work::Core, 1, || decode::<CoreFrame>(bytes));
        if let Ok(frame) = read {
            self.feed(controller, Work::Core, ControllerInput::Core(frame));
        }
    }

    pub(super) fn written(&mut self, controller: usize, ticket: Ticket) {
        self.feed(controller, Work::Disk, ControllerInput::Written(ticket, WriteResult::Synced));
    }

    pub(super) fn hear_up(&mut self, link: usize, bytes: &Bytes) {
        if !self.links[link].is_open {
            return;
        }
        let controller = self.links[link].controller;
        let role = self.controllers[controller].role();
        let Ok(frame) = decode::<StreamUp>(bytes) else { return };
        let work = wire::work_up(&frame);
        let _ = self.meter.wire(role, work, 1, || decode::<StreamUp>(bytes));
        self.meter.heard(role, work, 1, wire::frame_bytes(bytes.len()));
        self.feed(controller, work, ControllerInput::Stream(StreamId(link as u64), frame));
    }

    pub(super) fn leader_stopped(&mut self, controller: usize, runner: RunnerId) {
        self.feed(controller, Work::Runners, ControllerInput::RunnerStopped(runner));
    }

    /// The leader reads the platform's lists.
    pub(super) fn poll(&mut self, controller: usize) {
        self.push(POLL_EVERY, Event::Poll(controller));
        self.read_lists(controller);
    }

    fn read_lists(&mut self, controller: usize) {
        if !self.controllers[controller].controller_state.core().is_leader() {
            return;
        }
        self.note_alive();
        let (workers_body, runners_body) = self.platform.list_bodies();
        let (workers, runners) = self.meter.wire(Role::Platform, Work::Lists, 1, || {
            (read_workers(&workers_body), read_runners(&runners_body))
        });
        let list_bytes = (workers_body.len() + runners_body.len()) as u64;
        self.meter.sent(Role::Platform, Work::Lists, 2, 2 * HTTP_HEADERS);
        self.meter.heard(Role::Platform, Work::Lists, 2, list_bytes);
        let listed_at = self.now;
        self.feed(controller, Work::Lists, ControllerInput::Workers(workers));
        self.feed(controller, Work::Lists, ControllerInput::Runners(listed_at, runners));
    }

    /// An operator changes one function.
    pub(super) fn send_change(&mut self) {
        let leads = |controller: &Controller| controller.controller_state.core().is_leader();
        let Some(leader) = self.controllers.iter().position(leads) else { return };
        self.change_turn += 1;
        let patch = catalogue::change_of(&mut self.chance, self.size.functions, self.change_turn);
        let ticket = OperationTicket(self.number());
        let under_way = ChangeUnderWay {
            asked_at: self.now,
            leader_nanos: self.meter.leader_nanos,
            serial: None,
        };
        self.changes.insert(ticket, under_way);
        let operation = Operation::Change {
            base: None,
            numbering: None,
            change: Some(ChangeId::from(format!("change-{}", self.change_turn))),
            kind: ChangeKind::Patch(patch),
            wait: Wait::Accepted,
        };
        self.push(Duration::ZERO, Event::Operate(leader, ticket, Box::new(operation)));
    }

    pub(super) fn operate(
        &mut self,
        controller: usize,
        ticket: OperationTicket,
        operation: Operation,
    ) {
        self.feed(controller, Work::Changes, ControllerInput::Operate(ticket, operation));
    }

    fn operated(&mut self, ticket: OperationTicket, reply: OperationReply) {
        let OperationReply::Accepted { serial, .. } = reply else { return };
        if let Some(under_way) = self.changes.get_mut(&ticket) {
            under_way.serial = Some(serial.0);
        }
    }

    /// A change is in force: its time is that of the network, the leader's own from its asking, and the
    /// slowest daemon's installing.
    fn told(&mut self, numbered: &Numbered) {
        if numbered.told.event != events::IN_FORCE {
            return;
        }
        let in_force = numbered.told.detail["serial"].as_u64();
        let leader_nanos = self.meter.leader_nanos;
        let now = self.now;
        let done: Vec<OperationTicket> = self
            .changes
            .iter()
            .filter(|(_, under_way)| under_way.serial.is_some() && under_way.serial <= in_force)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in done {
            let Some(under_way) = self.changes.remove(&ticket) else { continue };
            let network_ms = now.since(under_way.asked_at).as_secs_f64() * 1e3;
            let leader_ms = (leader_nanos - under_way.leader_nanos) as f64 / 1e6;
            self.record.in_force.push((network_ms, leader_ms));
        }
    }
}
