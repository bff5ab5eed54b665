//! Some surveyors whole, on virtual time, with disks, a network and faults.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use survey::core::{Address, Core, CoreTiming, Recalled, WriteJob, WriteResult};
use survey::desk::{DeskTiming, StreamId};
use survey::plane::{Operation, OperationReply, OperationTicket, Plane, PlaneInput, PlaneOutput};
use waymark::chance::Chance;
use waymark::clock::Moment;
use waymark::events;
use waymark::frames::{CoreFrame, Place, StreamDown};
use waymark::identity::{Locality, SurveyorId, Ticket};
use waymark::spec::Document;

/// What a disk holds.
#[derive(Clone)]
pub struct Disk {
    /// What the core left there.
    pub recalled: Recalled,
    /// Whether it began with the whole system's first start.
    pub first: bool,
}

/// One surveyor.
pub struct Node {
    /// Its disk, if it has one.
    pub disk: Option<Disk>,
    /// Its locality's number.
    pub locality: usize,
    /// The surveyor, while its process runs.
    pub plane: Option<Plane>,
    /// The places of the seeds, by number.
    pub seeds: Vec<usize>,
    life: u64,
}

enum Event {
    Frame(usize, CoreFrame),
    Written(usize, u64, Ticket, WriteJob),
}

/// The surveyors and all between them.
pub struct Fleet {
    /// Virtual time.
    pub now: Moment,
    /// The surveyors.
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

/// Where a surveyor stands.
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
    /// Surveyors in these localities, none of them started; the first three are the seeds.
    pub fn new(seed: u64, localities: &[usize]) -> Self {
        let nodes = localities
            .iter()
            .map(|locality| Node {
                disk: None,
                locality: *locality,
                plane: None,
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
        for number in 0..localities.len() {
            fleet.wipe(number, true);
        }
        fleet
    }

    /// Gives a stopped surveyor an empty disk.
    pub fn wipe(&mut self, number: usize, first: bool) {
        let id = SurveyorId(self.chance.number() | 1);
        self.nodes[number].disk = Some(Disk { recalled: Recalled::nothing(id), first });
    }

    /// Starts a surveyor with what its disk holds.
    pub fn start(&mut self, number: usize) {
        let seed = self.chance.number();
        let node = &mut self.nodes[number];
        node.life += 1;
        let address = Address { place: place(number), operators: operators(number) };
        let recalled = match &node.disk {
            Some(disk) => disk.recalled.clone(),
            None => Recalled::nothing(SurveyorId(seed | 1)),
        };
        let may_found =
            node.disk.as_ref().is_some_and(|disk| disk.first && disk.recalled.is_nothing());
        let core = Core::new(
            self.now,
            timing(),
            recalled,
            address,
            Locality::from(format!("l{}", node.locality)),
            node.seeds.iter().map(|seed| place(*seed)).collect(),
            Chance::seeded(seed),
        )
        .founding_first(may_found);
        let core = if node.disk.is_some() { core } else { core.passing_on() };
        let desk_timing = DeskTiming::builder().build();
        node.plane = Some(Plane::new(core, desk_timing, timing().election_shortest));
    }

    /// Starts all.
    pub fn start_all(&mut self) {
        for number in 0..self.nodes.len() {
            self.start(number);
        }
    }

    /// Kills a surveyor; a write under way reaches its disk or does not. Others find its place closed.
    pub fn kill(&mut self, number: usize) {
        self.nodes[number].plane = None;
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
                self.feed(other, PlaneInput::Gone(place(number)));
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
            WriteJob::Version(document, _) => {
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

    /// Gives one input to a surveyor that runs.
    pub fn feed(&mut self, number: usize, input: PlaneInput) {
        let now = self.now;
        let Some(plane) = &mut self.nodes[number].plane else { return };
        for order in plane.take(now, input) {
            self.obey(number, order);
        }
    }

    fn obey(&mut self, number: usize, order: PlaneOutput) {
        match order {
            PlaneOutput::Send(to, frame) => {
                let target = (0..self.nodes.len()).find(|target| place(*target) == to);
                if let Some(target) =
                    target.filter(|target| !self.cuts.contains(&(number, *target)))
                {
                    self.push(1, 4, Event::Frame(target, frame));
                }
            }
            PlaneOutput::Write(ticket, job) => {
                let life = self.nodes[number].life;
                self.push(1, 15, Event::Written(number, life, ticket, job));
            }
            PlaneOutput::Operated(ticket, reply) => {
                self.replies.insert(ticket, reply);
            }
            PlaneOutput::Down(_, frame) => self.said_down.push((number, frame)),
            PlaneOutput::Told(numbered) if numbered.told.event == events::COMMITTED => {
                let plane = self.nodes[number].plane.as_ref().expect("it runs");
                self.committed.extend(plane.core().accepted().cloned());
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
                            self.feed(number, PlaneInput::Core(frame));
                        }
                    }
                    Event::Written(number, life, ticket, job) => {
                        if self.nodes[number].life == life && self.nodes[number].plane.is_some() {
                            self.keep(number, &job);
                            self.feed(number, PlaneInput::Written(ticket, WriteResult::Synced));
                        }
                    }
                }
            }
            for number in 0..self.nodes.len() {
                let is_due = self.nodes[number]
                    .plane
                    .as_ref()
                    .is_some_and(|plane| plane.core().next_due() <= self.now);
                if is_due || self.now.0.is_multiple_of(50_000_000) {
                    self.feed(number, PlaneInput::Tick);
                }
            }
        }
    }

    /// Who leads and has committed under its term.
    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|number| {
            self.nodes[*number].plane.as_ref().is_some_and(|plane| plane.core().is_ready())
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

    /// An operator's wish at one surveyor.
    pub fn ask(&mut self, number: usize, operation: Operation) -> OperationTicket {
        self.last_number += 1;
        let ticket = OperationTicket(self.last_number);
        self.feed(number, PlaneInput::Operate(ticket, operation));
        ticket
    }

    /// An operator's wish, and the answer to it within four seconds; none if its surveyor died.
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
    pub fn stream(&mut self, number: usize, stream: u64, frame: waymark::frames::StreamUp) {
        self.feed(number, PlaneInput::Stream(StreamId(stream), frame));
    }

    /// The newest version at one surveyor.
    pub fn accepted(&self, number: usize) -> Option<&Document> {
        self.nodes[number].plane.as_ref()?.core().accepted()
    }

    /// Where the members of the core stand by one surveyor's newest version.
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
