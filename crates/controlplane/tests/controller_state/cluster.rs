//! Controllers in virtual time, with simulated disks and a simulated network, and with injected faults.

use common::clock::MonotonicTime;
use common::events;
use common::frames::{ConsensusFrame, LeaderToDaemon, SocketAddress};
use common::identity::{ControllerId, Ticket, Zone};
use common::rng::SeededRng;
use common::spec::Document;
use controlplane::consensus::{
    ConsensusNode, ConsensusTiming, ControllerAddress, PersistedState, WriteJob, WriteResult,
};
use controlplane::controller_state::{
    ControllerInput, ControllerOutput, ControllerState, Operation, OperationReply, OperationTicket,
};
use controlplane::leader_state::{LeaderTiming, StreamId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The content of a disk.
#[derive(Clone)]
pub struct Disk {
    /// The state that consensus persisted.
    pub persisted: PersistedState,
    /// Whether the disk has been in use since the first start of all controllers.
    pub is_initial: bool,
}

/// One controller.
pub struct Node {
    /// The controller's disk, if it has one.
    pub disk: Option<Disk>,
    /// The number of the controller's zone.
    pub zone: usize,
    /// The controller's state, while its process runs.
    pub controller_state: Option<ControllerState>,
    /// The numbers of the seed controllers.
    pub seeds: Vec<usize>,
    incarnation: u64,
}

enum Event {
    Frame(usize, ConsensusFrame),
    Written(usize, u64, Ticket, WriteJob),
}

/// The controllers and the network between them.
pub struct TestCluster {
    /// The current virtual time.
    pub now: MonotonicTime,
    /// The controllers.
    pub nodes: Vec<Node>,
    /// The links whose messages are lost, as pairs of sender and receiver.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// Each version written to a disk, with the controller's number.
    pub written: Vec<(usize, Document)>,
    /// Each version that a leader reported as committed.
    pub committed: Vec<Document>,
    /// The replies to operators.
    pub replies: BTreeMap<OperationTicket, OperationReply>,
    /// The frames to daemons, with the number of the sending controller.
    pub sent_to_daemons: Vec<(usize, LeaderToDaemon)>,
    /// The random generator of faults and delays.
    pub rng: SeededRng,
    events: BTreeMap<(MonotonicTime, u64), Event>,
    last_number: u64,
}

/// Returns the address of a controller.
pub fn address(number: usize) -> SocketAddress {
    SocketAddress(
        format!("10.0.0.{}:1", number + 1)
            .parse()
            .expect("an address"),
    )
}

/// Returns the address at which a controller serves operators.
pub fn operators(number: usize) -> SocketAddress {
    SocketAddress(
        format!("10.0.0.{}:2", number + 1)
            .parse()
            .expect("an address"),
    )
}

fn timing() -> ConsensusTiming {
    ConsensusTiming::builder()
        .unreachable_voter_timeout(Duration::from_secs(3))
        .build()
}

impl TestCluster {
    /// Returns stopped controllers in these zones. The first three are the seeds.
    pub fn new(seed: u64, zones: &[usize]) -> Self {
        let nodes = zones
            .iter()
            .map(|zone| Node {
                disk: None,
                zone: *zone,
                controller_state: None,
                seeds: vec![0, 1, 2],
                incarnation: 0,
            })
            .collect();
        let mut cluster = Self {
            now: MonotonicTime(1_000_000_000),
            nodes,
            cut_links: BTreeSet::new(),
            written: Vec::new(),
            committed: Vec::new(),
            replies: BTreeMap::new(),
            sent_to_daemons: Vec::new(),
            rng: SeededRng::seeded(seed),
            events: BTreeMap::new(),
            last_number: 0,
        };
        for number in 0..zones.len() {
            cluster.wipe(number, true);
        }
        cluster
    }

    /// Returns three controllers that have bootstrapped their quorum and have had a leader for 300 ms.
    pub fn bootstrapped(seed: u64) -> Self {
        let mut cluster = Self::new(seed, &[0, 1, 2]);
        cluster.start_all();
        cluster.await_leader();
        cluster.advance(300);
        cluster
    }

    /// Gives a stopped controller an empty disk.
    pub fn wipe(&mut self, number: usize, is_initial: bool) {
        let id = ControllerId(self.rng.number() | 1);
        self.nodes[number].disk = Some(Disk {
            persisted: PersistedState::empty(id),
            is_initial,
        });
    }

    /// Starts a controller with the content of its disk.
    pub fn start(&mut self, number: usize) {
        let seed = self.rng.number();
        let node = &mut self.nodes[number];
        node.incarnation += 1;
        let controller_address = ControllerAddress {
            address: address(number),
            operator_address: operators(number),
        };
        let persisted = match &node.disk {
            Some(disk) => disk.persisted.clone(),
            None => PersistedState::empty(ControllerId(seed | 1)),
        };
        let may_bootstrap = node
            .disk
            .as_ref()
            .is_some_and(|disk| disk.is_initial && disk.persisted.is_empty());
        let consensus = ConsensusNode::new(
            self.now,
            timing(),
            persisted,
            controller_address,
            Zone::from(format!("l{}", node.zone)),
            node.seeds.iter().map(|seed| address(*seed)).collect(),
            SeededRng::seeded(seed),
        )
        .with_bootstrap(may_bootstrap);
        let consensus = if node.disk.is_some() {
            consensus
        } else {
            consensus.without_disk()
        };
        let leader_state_timing = LeaderTiming::builder().build();
        node.controller_state = Some(ControllerState::new(
            consensus,
            leader_state_timing,
            timing().election_timeout_min,
        ));
    }

    /// Starts all controllers.
    pub fn start_all(&mut self) {
        for number in 0..self.nodes.len() {
            self.start(number);
        }
    }

    /// Kills a controller. Each write in flight is either persisted or lost. The other controllers are notified that
    /// connections to its address are refused.
    pub fn kill(&mut self, number: usize) {
        self.nodes[number].controller_state = None;
        let pending: Vec<(MonotonicTime, u64)> = self
            .events
            .iter()
            .filter(|(_, event)| matches!(event, Event::Written(owner, ..) if *owner == number))
            .map(|(key, _)| *key)
            .collect();
        for key in pending {
            if let Some(Event::Written(_, _, _, job)) = self.events.remove(&key)
                && self.rng.random_bool(0.5)
            {
                self.persist(number, &job);
            }
        }
        for other in 0..self.nodes.len() {
            if other != number && !self.cut_links.contains(&(other, number)) {
                self.feed(other, ControllerInput::ProcessExited(address(number)));
            }
        }
    }

    /// Partitions two groups of controllers from each other, in both directions.
    pub fn isolate(&mut self, left: &[usize], right: &[usize]) {
        for left_number in left {
            for right_number in right {
                self.cut_links.insert((*left_number, *right_number));
                self.cut_links.insert((*right_number, *left_number));
            }
        }
    }

    fn persist(&mut self, number: usize, job: &WriteJob) {
        let Some(disk) = &mut self.nodes[number].disk else {
            return;
        };
        match job {
            WriteJob::Vote { term, candidate } => {
                disk.persisted.voted_for = Some((*term, *candidate))
            }
            WriteJob::Version(document) => {
                let newest = disk
                    .persisted
                    .accepted
                    .as_ref()
                    .map(|document| document.document_version);
                if newest.is_none_or(|newest| newest < document.document_version) {
                    disk.persisted.accepted = Some(document.clone());
                }
                self.written.push((number, document.clone()));
            }
            WriteJob::Scrub(_) => {}
        }
    }

    fn push(&mut self, shortest_ms: u64, longest_ms: u64, event: Event) {
        let span = self.rng.within(
            Duration::from_millis(shortest_ms),
            Duration::from_millis(longest_ms),
        );
        self.last_number += 1;
        self.events
            .insert((self.now + span, self.last_number), event);
    }

    /// Passes an input to a controller if it is running.
    pub fn feed(&mut self, number: usize, input: ControllerInput) {
        let now = self.now;
        let Some(controller_state) = &mut self.nodes[number].controller_state else {
            return;
        };
        for output in controller_state.handle_input(now, input) {
            self.execute(number, output);
        }
    }

    fn execute(&mut self, number: usize, output: ControllerOutput) {
        match output {
            ControllerOutput::Send(to, frame) => {
                let target = (0..self.nodes.len()).find(|target| address(*target) == to);
                if let Some(target) =
                    target.filter(|target| !self.cut_links.contains(&(number, *target)))
                {
                    self.push(1, 4, Event::Frame(target, frame));
                }
            }
            ControllerOutput::Write(ticket, job) => {
                let incarnation = self.nodes[number].incarnation;
                self.push(1, 15, Event::Written(number, incarnation, ticket, job));
            }
            ControllerOutput::OperatorReply(ticket, reply) => {
                self.replies.insert(ticket, reply);
            }
            ControllerOutput::FrameToDaemon(_, frame) => self.sent_to_daemons.push((number, frame)),
            ControllerOutput::EventRecorded(numbered)
                if numbered.event_record.event == events::VERSION_COMMITTED =>
            {
                let controller_state = self.nodes[number]
                    .controller_state
                    .as_ref()
                    .expect("a running controller");
                self.committed
                    .extend(controller_state.consensus().accepted().cloned());
            }
            _ => {}
        }
    }

    /// Advances virtual time.
    pub fn advance(&mut self, millis: u64) {
        let until = self.now + Duration::from_millis(millis);
        while self.now < until {
            self.now = self.now + Duration::from_millis(1);
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                match entry.remove() {
                    Event::Frame(number, frame) => {
                        let from =
                            (0..self.nodes.len()).find(|from| address(*from) == frame.address);
                        if from.is_some_and(|from| !self.cut_links.contains(&(from, number))) {
                            self.feed(number, ControllerInput::Consensus(frame));
                        }
                    }
                    Event::Written(number, incarnation, ticket, job) => {
                        if self.nodes[number].incarnation == incarnation
                            && self.nodes[number].controller_state.is_some()
                        {
                            self.persist(number, &job);
                            self.feed(
                                number,
                                ControllerInput::WriteCompleted(ticket, WriteResult::Synced),
                            );
                        }
                    }
                }
            }
            for number in 0..self.nodes.len() {
                let is_due =
                    self.nodes[number]
                        .controller_state
                        .as_ref()
                        .is_some_and(|controller_state| {
                            controller_state.consensus().next_due() <= self.now
                        });
                if is_due || self.now.0.is_multiple_of(50_000_000) {
                    self.feed(number, ControllerInput::Tick);
                }
            }
        }
    }

    /// Returns the leader that has committed in its term, if any.
    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|number| {
            self.nodes[*number]
                .controller_state
                .as_ref()
                .is_some_and(|controller_state| controller_state.consensus().is_ready())
        })
    }

    /// Advances virtual time until there is a leader.
    pub fn await_leader(&mut self) -> usize {
        for _ in 0..400 {
            if let Some(leader) = self.leader() {
                return leader;
            }
            self.advance(25);
        }
        panic!("no leader elected");
    }

    /// Submits an operation to a controller.
    pub fn submit(&mut self, number: usize, operation: Operation) -> OperationTicket {
        self.last_number += 1;
        let ticket = OperationTicket(self.last_number);
        self.feed(number, ControllerInput::OperatorRequest(ticket, operation));
        ticket
    }

    /// Submits an operation and waits at most four seconds for its reply. Returns `None` if there is no reply by then.
    pub fn reply_to(&mut self, number: usize, operation: Operation) -> Option<OperationReply> {
        let ticket = self.submit(number, operation);
        for _ in 0..200 {
            if self.replies.contains_key(&ticket) {
                break;
            }
            self.advance(20);
        }
        self.replies.remove(&ticket)
    }

    /// Passes a daemon's frame on this stream to a controller.
    pub fn stream(&mut self, number: usize, stream: u64, frame: common::frames::DaemonToLeader) {
        self.feed(
            number,
            ControllerInput::DaemonFrame(StreamId(stream), frame),
        );
    }

    /// Returns the newest version on the disk of a running controller.
    pub fn accepted(&self, number: usize) -> Option<&Document> {
        self.nodes[number]
            .controller_state
            .as_ref()?
            .consensus()
            .accepted()
    }

    /// Returns the numbers of the voters in a controller's newest version.
    pub fn voters_at(&self, number: usize) -> Vec<usize> {
        let document = self.accepted(number).expect("a document");
        let mut members: Vec<usize> = document
            .voters
            .iter()
            .filter_map(|member| {
                (0..self.nodes.len()).find(|known| address(*known) == member.address)
            })
            .collect();
        members.sort_unstable();
        members
    }
}
