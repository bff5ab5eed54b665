//! Some controllers whole, on virtual time, with disks, a network and faults.

use common::chance::Chance;
use common::clock::Moment;
use common::events;
use common::frames::{CoreFrame, Place, StreamDown};
use common::identity::{ControllerId, Ticket, Zone};
use common::spec::Document;
use controlplane::controller_state::{
    ControllerInput, ControllerOutput, ControllerState, Operation, OperationReply, OperationTicket,
};
use controlplane::core::{Address, Core, CoreTiming, Recalled, WriteJob, WriteResult};
use controlplane::leader_state::{LeaderTiming, StreamId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What a disk holds.
#[derive(Clone)]
pub struct Disk {
    /// What the core left there.
    pub recalled: Recalled,
    /// Whether it began with the whole system's first start.
    pub first: bool,
}

/// One controller.
pub struct Node {
    /// Its disk, if it has one.
    pub disk: Option<Disk>,
    /// Its zone's number.
    pub zone: usize,
    /// The controller, while its process runs.
    pub controller_state: Option<ControllerState>,
    /// The places of the seeds, by number.
    pub seeds: Vec<usize>,
    life: u64,
}

enum Event {
    Frame(usize, CoreFrame),
    Written(usize, u64, Ticket, WriteJob),
}

/// The controllers and all between them.
pub struct Fleet {
    /// Virtual time.
    pub now: Moment,
    /// The controllers.
    pub nodes: Vec<Node>,
    /// Who does not reach whom.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Each version that a disk took, by node.
    pub written: Vec<(usize, Document)>,
    /// Each version that a leader found committed.
    pub committed: Vec<Document>,
    /// What operators were told.
    pub replies: BTreeMap<OperationTicket, OperationReply>,
    /// What daemons were told.
    pub said_down: Vec<(usize, StreamDown)>,
    /// What faults and delays are drawn from.
    pub chance: Chance,
    events: BTreeMap<(Moment, u64), Event>,
    last_number: u64,
}

/// Where a controller stands.
pub fn place(number: usize) -> Place {
    Place(format!("10.0.0.{}:1", number + 1).parse().expect("an address"))
}

/// Where operators reach it.
pub fn operators(number: usize) -> Place {
    Place(format!("10.0.0.{}:2", number + 1).parse().expect("an address"))
}

fn timing() -> CoreTiming {
    CoreTiming::builder().replace_after(Duration::from_secs(3)).build()
}

impl Fleet {
    /// Controllers in these zones, none of them started; the first three are the seeds.
    pub fn new(seed: u64, zones: &[usize]) -> Self {
        let nodes = zones
            .iter()
            .map(|zone| Node {
                disk: None,
                zone: *zone,
                controller_state: None,
                seeds: vec![0, 1, 2],
                life: 0,
            })
            .collect();
        let mut fleet = Self {
            now: Moment(1_000_000_000),
            nodes,
            cuts: BTreeSet::new(),
            written: Vec::new(),
            committed: Vec::new(),
            replies: BTreeMap::new(),
            said_down: Vec::new(),
            chance: Chance::seeded(seed),
            events: BTreeMap::new(),
            last_number: 0,
        };
        for number in 0..zones.len() {
            fleet.wipe(number, true);
        }
        fleet
    }

    /// Gives a stopped controller an empty disk.
    pub fn wipe(&mut self, number: usize, first: bool) {
        let id = ControllerId(self.chance.number() | 1);
        self.nodes[number].disk = Some(Disk { recalled: Recalled::nothing(id), first });
    }

    /// Starts a controller with what its disk holds.
    pub fn start(&mut self, number: usize) {
        let seed = self.chance.number();
        let node = &mut self.nodes[number];
        node.life += 1;
        let address = Address { place: place(number), operators: operators(number) };
        let recalled = match &node.disk {
            Some(disk) => disk.recalled.clone(),
            None => Recalled::nothing(ControllerId(seed | 1)),
        };
        let may_found =
            node.disk.as_ref().is_some_and(|disk| disk.first && disk.recalled.is_nothing());
        let core = Core::new(
            self.now,
            timing(),
            recalled,
            address,
            Zone::from(format!("l{}", node.zone)),
            node.seeds.iter().map(|seed| place(*seed)).collect(),
            Chance::seeded(seed),
        )
        .founding_first(may_found);
        let core = if node.disk.is_some() { core } else { core.passing_on() };
        let leader_state_timing = LeaderTiming::builder().build();
        node.controller_state =
            Some(ControllerState::new(core, leader_state_timing, timing().election_shortest));
    }

    /// Starts all.
    pub fn start_all(&mut self) {
        for number in 0..self.nodes.len() {
            self.start(number);
        }
    }

    /// Kills a controller; a write under way reaches its disk or does not. Others find its place closed.
    pub fn kill(&mut self, number: usize) {
        self.nodes[number].controller_state = None;
        let pending: Vec<(Moment, u64)> = self
            .events
            .iter()
            .filter(|(_, event)| matches!(event, Event::Written(owner, ..) if *owner == number))
            .map(|(key, _)| *key)
            .collect();
        for key in pending {
            if let Some(Event::Written(_, _, _, job)) = self.events.remove(&key)
                && self.chance.happens(0.5)
            {
                self.keep(number, &job);
            }
        }
        for other in 0..self.nodes.len() {
            if other != number && !self.cuts.contains(&(other, number)) {
                self.feed(other, ControllerInput::Gone(place(number)));
            }
        }
    }

    /// Cuts some off from others, both ways.
    pub fn separate(&mut self, left: &[usize], right: &[usize]) {
        for left_number in left {
            for right_number in right {
                self.cuts.insert((*left_number, *right_number));
                self.cuts.insert((*right_number, *left_number));
            }
        }
    }

    fn keep(&mut self, number: usize, job: &WriteJob) {
        let Some(disk) = &mut self.nodes[number].disk else { return };
        match job {
            WriteJob::Vote { term, candidate } => disk.recalled.voted = Some((*term, *candidate)),
            WriteJob::Version(document) => {
                let newest = disk.recalled.accepted.as_ref().map(|held| held.stamp);
                if newest.is_none_or(|newest| newest < document.stamp) {
                    disk.recalled.accepted = Some(document.clone());
                }
                self.written.push((number, document.clone()));
            }
            WriteJob::Scrub(_) => {}
        }
    }

    fn push(&mut self, shortest_ms: u64, longest_ms: u64, event: Event) {
        let span = self
            .chance
            .within(Duration::from_millis(shortest_ms), Duration::from_millis(longest_ms));
        self.last_number += 1;
        self.events.insert((self.now + span, self.last_number), event);
    }

    /// Gives one input to a controller that runs.
    pub fn feed(&mut self, number: usize, input: ControllerInput) {
        let now = self.now;
        let Some(controller_state) = &mut self.nodes[number].controller_state else { return };
        for order in controller_state.take(now, input) {
            self.obey(number, order);
        }
    }

    fn obey(&mut self, number: usize, order: ControllerOutput) {
        match order {
            ControllerOutput::Send(to, frame) => {
                let target = (0..self.nodes.len()).find(|target| place(*target) == to);
                if let Some(target) =
                    target.filter(|target| !self.cuts.contains(&(number, *target)))
                {
                    self.push(1, 4, Event::Frame(target, frame));
                }
            }
            ControllerOutput::Write(ticket, job) => {
                let life = self.nodes[number].life;
                self.push(1, 15, Event::Written(number, life, ticket, job));
            }
            ControllerOutput::Operated(ticket, reply) => {
                self.replies.insert(ticket, reply);
            }
            ControllerOutput::Down(_, frame) => self.said_down.push((number, frame)),
            ControllerOutput::Told(numbered) if numbered.told.event == events::COMMITTED => {
                let controller_state =
                    self.nodes[number].controller_state.as_ref().expect("it runs");
                self.committed.extend(controller_state.core().accepted().cloned());
            }
            _ => {}
        }
    }

    /// Lets time pass.
    pub fn pass(&mut self, millis: u64) {
        let until = self.now + Duration::from_millis(millis);
        while self.now < until {
            self.now = self.now + Duration::from_millis(1);
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                match entry.remove() {
                    Event::Frame(number, frame) => {
                        let from = (0..self.nodes.len()).find(|from| place(*from) == frame.place);
                        if from.is_some_and(|from| !self.cuts.contains(&(from, number))) {
                            self.feed(number, ControllerInput::Core(frame));
                        }
                    }
                    Event::Written(number, life, ticket, job) => {
                        if self.nodes[number].life == life
                            && self.nodes[number].controller_state.is_some()
                        {
                            self.keep(number, &job);
                            self.feed(
                                number,
                                ControllerInput::Written(ticket, WriteResult::Synced),
                            );
                        }
                    }
                }
            }
            for number in 0..self.nodes.len() {
                let is_due = self.nodes[number]
                    .controller_state
                    .as_ref()
                    .is_some_and(|controller_state| controller_state.core().next_due() <= self.now);
                if is_due || self.now.0.is_multiple_of(50_000_000) {
                    self.feed(number, ControllerInput::Tick);
                }
            }
        }
    }

    /// Who leads and has committed under its term.
    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|number| {
            self.nodes[*number]
                .controller_state
                .as_ref()
                .is_some_and(|controller_state| controller_state.core().is_ready())
        })
    }

    /// Lets time pass until somebody leads.
    pub fn await_leader(&mut self) -> usize {
        for _ in 0..400 {
            if let Some(leader) = self.leader() {
                return leader;
            }
            self.pass(25);
        }
        panic!("nobody leads");
    }

    /// An operator's wish at one controller.
    pub fn ask(&mut self, number: usize, operation: Operation) -> OperationTicket {
        self.last_number += 1;
        let ticket = OperationTicket(self.last_number);
        self.feed(number, ControllerInput::Operate(ticket, operation));
        ticket
    }

    /// An operator's wish, and the answer to it within four seconds; none if its controller died.
    pub fn asked(&mut self, number: usize, operation: Operation) -> Option<OperationReply> {
        let ticket = self.ask(number, operation);
        for _ in 0..200 {
            if self.replies.contains_key(&ticket) {
                break;
            }
            self.pass(20);
        }
        self.replies.remove(&ticket)
    }

    /// A daemon speaks on a new stream.
    pub fn stream(&mut self, number: usize, stream: u64, frame: common::frames::StreamUp) {
        self.feed(number, ControllerInput::Stream(StreamId(stream), frame));
    }

    /// The newest version at one controller.
    pub fn accepted(&self, number: usize) -> Option<&Document> {
        self.nodes[number].controller_state.as_ref()?.core().accepted()
    }

    /// Where the members of the core stand by one controller's newest version.
    pub fn core_at(&self, number: usize) -> Vec<usize> {
        let document = self.accepted(number).expect("a document");
        let mut members: Vec<usize> = document
            .core
            .iter()
            .filter_map(|member| (0..self.nodes.len()).find(|known| place(*known) == member.place))
            .collect();
        members.sort_unstable();
        members
    }
}
