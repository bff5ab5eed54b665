//! A model of several controllers with their disks, their clocks and the network between them, advanced one
//! event at a time.

use super::history::{Changes, History, SafetyViolation};
use common::clock::MonotonicTime;
use common::frames::{ConsensusFrame, ConsensusMessage, SocketAddress};
use common::identity::{ChangeId, ControllerId, Ticket, Zone};
use common::rng::SeededRng;
use common::rules::Rules;
use common::spec::{Document, Voter};
use controlplane::consensus::{
    ConsensusNode, ConsensusOutput, ConsensusTiming, ControllerAddress, PersistedState,
    QuorumPolicy, WriteJob, WriteResult,
};
use std::collections::VecDeque;
use std::collections::hash_map::DefaultHasher;
use std::fmt::{self, Write};
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

const START_INSTANT: MonotonicTime = MonotonicTime(1_000_000_000);
/// How far a machine's clock advances with each input.
const EVENT_DURATION: Duration = Duration::from_micros(1);
/// How often time is advanced until a condition holds, before a run counts as stuck.
const MAX_QUIET_STEPS: usize = 4000;

/// How a model is set up.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// The number of controllers at the start.
    pub machines: usize,
    /// The number of zones over which they are spread.
    pub zones: usize,
    /// The number of machines that may be lost at once.
    pub tolerance: usize,
    /// The safety rules that are enforced.
    pub rules: Rules,
    /// Whether a wiped disk keeps its identity, which is an injected flaw.
    pub wiped_keeps_identity: bool,
    /// The seed of all randomness.
    pub seed: u64,
}

impl Setup {
    /// Creates a setup without flaws, in which all safety rules are enforced.
    pub fn correct(machines: usize, zones: usize, tolerance: usize, seed: u64) -> Self {
        let rules = Rules::ALL_ENFORCED;
        Self {
            machines,
            zones,
            tolerance,
            rules,
            wiped_keeps_identity: false,
            seed,
        }
    }

    fn quorum_policy(&self) -> QuorumPolicy {
        QuorumPolicy::new(2 * self.tolerance + 1, 1)
    }
}

/// An injected disk fault.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum DiskFault {
    /// Writes never complete.
    Hung,
    /// Writes fail.
    Full,
}

/// One controller on its machine.
#[derive(Clone)]
struct Machine {
    consensus: ConsensusNode,
    disk: PersistedState,
    now: MonotonicTime,
    incarnation: u64,
    isolated: bool,
    down: bool,
    disk_fault: Option<DiskFault>,
    /// Reads requested from this leader: the time of each, and the changes committed by then.
    pending_reads: Vec<(MonotonicTime, Changes)>,
    fingerprint: u64,
}

#[derive(Clone, Debug)]
enum Event {
    Frame(usize, ConsensusFrame),
    WriteCompleted(usize, u64, Ticket, WriteJob),
}

impl Event {
    fn owner(&self) -> usize {
        match self {
            Self::Frame(owner, _) | Self::WriteCompleted(owner, ..) => *owner,
        }
    }
}

/// A deviation from an undisturbed run.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Deviation {
    /// A machine loses power and restarts at once; writes in flight are lost.
    Crash(usize),
    /// A machine crashes and restarts with an empty disk.
    Wipe(usize),
    /// A machine is isolated from all others; if it leads, it proposes one more change first.
    Isolate(usize),
    /// All machines are connected again; frames delayed by the isolation arrive.
    Heal,
    /// A machine's clock advances to its next timer, which fires.
    Timeout(usize),
    /// The next event is delayed until after all others.
    Delay,
    /// The next event, if it is a frame, is lost.
    Drop,
}

/// All controllers, and the events in flight between them.
#[derive(Clone)]
pub struct Model {
    setup: Setup,
    machines: Vec<Rc<Machine>>,
    events: VecDeque<Rc<Event>>,
    delayed_events: Vec<Rc<Event>>,
    history: History,
    proposed_changes: u64,
    allocated_ids: u64,
    wipes: usize,
}

fn timing() -> ConsensusTiming {
    ConsensusTiming::builder()
        .election_timeout_min(Duration::from_millis(350))
        .election_timeout_max(Duration::from_millis(600))
        .unreachable_voter_timeout(Duration::from_millis(1500))
        .scrub_interval(Duration::from_secs(1_000_000))
        .build()
}

fn address(number: usize) -> SocketAddress {
    SocketAddress(
        format!("10.0.{}.{}:1", number / 200, number % 200 + 1)
            .parse()
            .expect("an address"),
    )
}

struct HashWriter(DefaultHasher);

impl Write for HashWriter {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

impl Model {
    /// Creates a quorum bootstrapped with the first three controllers. All controllers have just started.
    pub fn new(setup: Setup) -> Self {
        let mut model = Self {
            setup,
            machines: Vec::new(),
            events: VecDeque::new(),
            delayed_events: Vec::new(),
            history: History::default(),
            proposed_changes: 0,
            allocated_ids: 0,
            wipes: 0,
        };
        let initial_voters = (0..3).map(|number| Voter {
            id: ControllerId(number as u64 + 1),
            address: address(number),
            zone: model.zone(number),
        });
        let founding = Document::initial(initial_voters.collect());
        for number in 0..setup.machines {
            let id = model.fresh_id();
            let mut disk = PersistedState::empty(id);
            if number < 3 {
                disk.accepted = Some(founding.clone());
            }
            model.add_machine(disk);
        }
        model
    }

    fn zone(&self, number: usize) -> Zone {
        Zone::from(format!("zone-{}", number % self.setup.zones))
    }

    fn fresh_id(&mut self) -> ControllerId {
        self.allocated_ids += 1;
        ControllerId(self.allocated_ids)
    }

    fn add_machine(&mut self, disk: PersistedState) {
        let number = self.machines.len();
        let consensus = self.start_node(number, 0, START_INSTANT, &disk);
        let now = self
            .machines
            .first()
            .map_or(START_INSTANT, |machine| machine.now);
        self.machines.push(Rc::new(Machine {
            consensus,
            disk,
            now,
            incarnation: 0,
            isolated: false,
            down: false,
            disk_fault: None,
            pending_reads: Vec::new(),
            fingerprint: 0,
        }));
        self.restart(number);
    }

    fn start_node(
        &self,
        number: usize,
        incarnation: u64,
        now: MonotonicTime,
        disk: &PersistedState,
    ) -> ConsensusNode {
        let seed = self.setup.seed ^ ((number as u64) << 8) ^ incarnation;
        let controller_address = ControllerAddress {
            address: address(number),
            operator_address: address(number),
        };
        let running = self.running();
        let seed_numbers = if running.is_empty() {
            vec![0, 1, 2]
        } else {
            running
        };
        let seeds = seed_numbers.into_iter().take(3).map(address).collect();
        let zone = self.zone(number);
        ConsensusNode::new(
            now,
            timing(),
            disk.clone(),
            controller_address,
            zone,
            seeds,
            SeededRng::seeded(seed),
        )
        .with_rules(self.setup.rules)
        .with_quorum_policy(self.setup.quorum_policy())
    }

    fn machine(&mut self, number: usize) -> &mut Machine {
        Rc::make_mut(&mut self.machines[number])
    }

    /// Restarts a machine's process with the state on its disk.
    fn restart(&mut self, number: usize) {
        self.events.retain(
            |event| !matches!(&**event, Event::WriteCompleted(owner, ..) if *owner == number),
        );
        let machine = &self.machines[number];
        let consensus =
            self.start_node(number, machine.incarnation + 1, machine.now, &machine.disk);
        let machine = self.machine(number);
        machine.consensus = consensus;
        machine.incarnation += 1;
        machine.pending_reads.clear();
        self.update_fingerprint(number);
    }

    fn update_fingerprint(&mut self, number: usize) {
        let machine = self.machine(number);
        let mut writer = HashWriter(DefaultHasher::new());
        let _ = write!(
            writer,
            "{:?}{:?}{:?}",
            machine.consensus, machine.disk, machine.pending_reads
        );
        (machine.now, machine.isolated, machine.down).hash(&mut writer.0);
        machine.disk_fault.hash(&mut writer.0);
        machine.fingerprint = writer.0.finish();
    }

    /// Returns a hash of the state, used to recognize states already explored.
    pub fn fingerprint(&self) -> u64 {
        let mut writer = HashWriter(DefaultHasher::new());
        for machine in &self.machines {
            machine.fingerprint.hash(&mut writer.0);
        }
        for event in self.events.iter().chain(&self.delayed_events) {
            let _ = write!(writer, "{event:?}");
            if let Event::Frame(_, ConsensusFrame { body, .. }) = &**event {
                match body {
                    ConsensusMessage::AcceptFull { document, .. } => document.0.hash(&mut writer.0),
                    ConsensusMessage::AcceptDelta { delta, digest, .. } => {
                        (&delta.0, &digest.0).hash(&mut writer.0);
                    }
                    _ => {}
                }
            }
        }
        (self.proposed_changes, self.wipes, self.delayed_events.len()).hash(&mut writer.0);
        self.history.newest().hash(&mut writer.0);
        writer.0.finish()
    }

    /// Returns the number of disks wiped so far.
    pub fn wipes(&self) -> usize {
        self.wipes
    }

    /// Returns a readable description of the state for the report of a failed run.
    pub fn describe(&self) -> String {
        let rows = self.machines.iter().enumerate().map(|(number, machine)| {
            let consensus = &machine.consensus;
            let held_version = consensus.accepted();
            let ids = |voters: &[Voter]| -> Vec<u64> {
                voters.iter().map(|voter| voter.id.0).collect()
            };
            format!(
                "{number}: id {} incarnation {} down {} isolated {} term {} ready {} proposing {} accepted {:?} voters {:?} previous voters {:?}",
                consensus.id().0,
                machine.incarnation,
                machine.down,
                machine.isolated,
                consensus.term().0,
                consensus.is_ready(),
                consensus.is_proposing(),
                held_version.map(|held_version| held_version.document_version.to_string()),
                held_version.map(|held_version| ids(&held_version.voters)),
                held_version.map(|held_version| ids(&held_version.previous_voters)),
            )
        });
        rows.collect::<Vec<String>>().join("\n")
    }

    /// Whether no event is in flight.
    pub fn is_quiet(&self) -> bool {
        self.events.is_empty()
    }

    /// Returns the number of events in flight.
    pub fn events_in_flight(&self) -> usize {
        self.events.len()
    }

    /// Whether any machine is isolated.
    pub fn has_isolated_machine(&self) -> bool {
        self.machines.iter().any(|machine| machine.isolated)
    }

    fn is_reachable(&self, number: usize) -> bool {
        !self.machines[number].isolated && !self.machines[number].down
    }

    /// Returns the leader that is ready and reachable; if there are several, the one with the highest term.
    pub fn leader(&self) -> Option<usize> {
        let leads = |number: &usize| {
            self.is_reachable(*number) && self.machines[*number].consensus.is_ready()
        };
        (0..self.machines.len())
            .filter(leads)
            .max_by_key(|number| self.machines[*number].consensus.term())
    }

    /// Whether the quorum has as many voters as the setup asks for, all reachable and up to date.
    pub fn is_settled(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let consensus = &self.machines[leader].consensus;
        let Some(document) = consensus.accepted() else {
            return false;
        };
        let is_caught_up = |voter: &Voter| {
            self.machines.iter().any(|machine| {
                machine.consensus.id() == voter.id
                    && !machine.down
                    && !machine.isolated
                    && machine.consensus.accepted().is_some_and(|held_version| {
                        held_version.document_version == document.document_version
                    })
            })
        };
        document.previous_voters.is_empty()
            && !consensus.is_proposing()
            && document.voters.len() >= self.setup.quorum_policy().voters()
            && document.voters.iter().all(is_caught_up)
    }

    /// Processes the next event.
    pub fn step(&mut self) -> Result<(), SafetyViolation> {
        let Some(event) = self.events.pop_front() else {
            return Ok(());
        };
        self.process_event(&event)
    }

    /// Processes the oldest event on the link of a randomly chosen event, so that each link stays in order.
    pub fn step_random(&mut self, rng: &mut SeededRng) -> Result<(), SafetyViolation> {
        let index = rng.below(self.events.len() as u64) as usize;
        let Some(chosen) = self.events.get(index) else {
            return Ok(());
        };
        let link_of = |event: &Event| match event {
            Event::Frame(to, frame) => (*to, Some(frame.address)),
            Event::WriteCompleted(owner, ..) => (*owner, None),
        };
        let link = link_of(chosen);
        let first = self
            .events
            .iter()
            .position(|event| link_of(event) == link)
            .unwrap_or(index);
        let Some(event) = self.events.remove(first) else {
            return Ok(());
        };
        self.process_event(&event)
    }

    fn process_event(&mut self, event: &Rc<Event>) -> Result<(), SafetyViolation> {
        let owner = event.owner();
        if self.machines[owner].down {
            return Ok(());
        }
        match &**event {
            Event::Frame(_, frame) => {
                if self.machines[owner].isolated {
                    self.delayed_events.push(event.clone());
                    return Ok(());
                }
                let frame = frame.clone();
                self.apply_input(owner, |consensus, now| consensus.handle_frame(now, frame))
            }
            Event::WriteCompleted(_, incarnation, ticket, job) => {
                if *incarnation != self.machines[owner].incarnation {
                    return Ok(());
                }
                self.process_write(owner, *ticket, job)
            }
        }
    }

    /// Completes a write with the result that the state of the disk determines, unless the disk hangs.
    fn process_write(
        &mut self,
        owner: usize,
        ticket: Ticket,
        job: &WriteJob,
    ) -> Result<(), SafetyViolation> {
        let result = match self.machines[owner].disk_fault {
            Some(DiskFault::Hung) => return Ok(()),
            Some(DiskFault::Full) => WriteResult::Failed,
            None => {
                self.persist(owner, job);
                WriteResult::Synced
            }
        };
        self.apply_input(owner, |consensus, now| {
            consensus.handle_write_completed(now, ticket, result)
        })
    }

    fn persist(&mut self, owner: usize, job: &WriteJob) {
        let disk = &mut self.machine(owner).disk;
        match job {
            WriteJob::Vote { term, candidate } => disk.voted_for = Some((*term, *candidate)),
            WriteJob::Version(document) => {
                let held_version = disk
                    .accepted
                    .as_ref()
                    .map(|held_version| held_version.document_version);
                if held_version.is_none_or(|held_version| held_version < document.document_version)
                {
                    disk.accepted = Some(document.clone());
                }
            }
            WriteJob::Scrub(_) => {}
        }
    }

    fn apply_input(
        &mut self,
        number: usize,
        input: impl FnOnce(&mut ConsensusNode, MonotonicTime) -> Vec<ConsensusOutput>,
    ) -> Result<(), SafetyViolation> {
        self.record_read(number);
        let machine = self.machine(number);
        machine.now = machine.now + EVENT_DURATION;
        let now = machine.now;
        let outputs = input(&mut machine.consensus, now);
        for output in outputs {
            self.execute_output(number, output)?;
        }
        let read_check = self.check_reads(number);
        self.update_fingerprint(number);
        read_check
    }

    fn execute_output(
        &mut self,
        number: usize,
        output: ConsensusOutput,
    ) -> Result<(), SafetyViolation> {
        let machine = &self.machines[number];
        match output {
            ConsensusOutput::Send { to, frame } => {
                let target = (0..self.machines.len()).find(|target| address(*target) == to);
                if let Some(target) = target.filter(|_| !machine.isolated) {
                    self.events.push_back(Rc::new(Event::Frame(target, frame)));
                }
            }
            ConsensusOutput::Write { ticket, job } => {
                self.events.push_back(Rc::new(Event::WriteCompleted(
                    number,
                    machine.incarnation,
                    ticket,
                    job,
                )));
            }
            ConsensusOutput::Elected { term, .. } => {
                let id = machine.consensus.id();
                self.history.elected(term, id)?;
            }
            ConsensusOutput::Committed(document) => self.history.committed(&document)?,
            _ => {}
        }
        Ok(())
    }

    /// Records a read request to a leader if a change has been committed since the last one.
    fn record_read(&mut self, number: usize) {
        if !self.machines[number].consensus.is_leader() {
            if !self.machines[number].pending_reads.is_empty() {
                self.machine(number).pending_reads.clear();
            }
            return;
        }
        let newest = self.history.newest().clone();
        let machine = self.machine(number);
        if machine
            .pending_reads
            .last()
            .is_none_or(|(_, changes_at_read)| *changes_at_read != newest)
        {
            let requested_at = machine.now;
            machine.pending_reads.push((requested_at, newest));
        }
    }

    /// Checks all reads that were requested before the newest heartbeat round answered by a majority was
    /// sent, because the leader could answer them now.
    fn check_reads(&mut self, number: usize) -> Result<(), SafetyViolation> {
        let machine = &self.machines[number];
        if !machine.consensus.is_ready() || machine.pending_reads.is_empty() {
            return Ok(());
        }
        let quorum_confirmed_at = machine.consensus.quorum_confirmed_at();
        let Some(served) = machine.consensus.accepted() else {
            return Ok(());
        };
        for (requested_at, changes_at_read) in &machine.pending_reads {
            if *requested_at < quorum_confirmed_at {
                self.history.served(changes_at_read, served)?;
            }
        }
        Ok(())
    }

    /// Advances all clocks until the first timer fires.
    pub fn advance_time(&mut self) -> Result<(), SafetyViolation> {
        let spans = (0..self.machines.len())
            .filter(|number| !self.machines[*number].down)
            .map(|number| {
                let machine = &self.machines[number];
                (machine.consensus.next_due().since(machine.now), number)
            });
        let Some((span, first)) = spans.min() else {
            return Ok(());
        };
        for number in 0..self.machines.len() {
            let machine = self.machine(number);
            machine.now = machine.now + span;
        }
        let ticked = self.apply_input(first, ConsensusNode::tick);
        for number in 0..self.machines.len() {
            self.update_fingerprint(number);
        }
        ticked
    }

    /// Makes a leader propose a change, if it is ready and has none in flight.
    pub fn propose_change(&mut self, number: usize) -> Result<(), SafetyViolation> {
        let consensus = &self.machines[number].consensus;
        if !consensus.is_ready() || consensus.is_proposing() {
            return Ok(());
        }
        let Some(held_version) = consensus.accepted() else {
            return Ok(());
        };
        self.proposed_changes += 1;
        let change = format!("change-{}", self.proposed_changes);
        let next_document =
            held_version.with_zone(Zone::from(change.clone()), true, ChangeId::from(change));
        self.apply_input(number, |consensus, now| {
            consensus.propose(now, next_document).unwrap_or_default()
        })
    }

    /// Applies a deviation.
    pub fn deviate(&mut self, deviation: Deviation) -> Result<(), SafetyViolation> {
        match deviation {
            Deviation::Crash(number) => self.restart(number),
            Deviation::Wipe(number) => self.wipe(number),
            Deviation::Isolate(number) => {
                self.propose_change(number)?;
                self.machine(number).isolated = true;
                self.update_fingerprint(number);
            }
            Deviation::Heal => self.heal(),
            Deviation::Timeout(number) => {
                let machine = self.machine(number);
                machine.now = machine.now.max(machine.consensus.next_due());
                self.apply_input(number, ConsensusNode::tick)?;
            }
            Deviation::Delay => self.events.rotate_left(1.min(self.events.len())),
            Deviation::Drop => {
                if matches!(
                    self.events.front().map(|event| &**event),
                    Some(Event::Frame(..))
                ) {
                    self.events.pop_front();
                }
            }
        }
        Ok(())
    }

    fn wipe(&mut self, number: usize) {
        self.wipes += 1;
        let id = if self.setup.wiped_keeps_identity {
            self.machines[number].consensus.id()
        } else {
            self.fresh_id()
        };
        self.machine(number).disk = PersistedState::empty(id);
        self.restart(number);
    }

    /// Takes a machine down, until it is restored.
    pub fn take_down(&mut self, number: usize) {
        self.machine(number).down = true;
        self.update_fingerprint(number);
    }

    /// Injects a fault into the disk of a running machine.
    pub fn inject_disk_fault(&mut self, number: usize, disk_fault: DiskFault) {
        self.machine(number).disk_fault = Some(disk_fault);
        self.update_fingerprint(number);
    }

    /// Restarts a machine with its disk and removes the fault of the disk.
    pub fn restore(&mut self, number: usize) {
        self.machine(number).down = false;
        self.machine(number).disk_fault = None;
        self.restart(number);
    }

    /// Adds a machine with an empty disk at a new address, in the zone of a lost one.
    pub fn add_successor(&mut self, lost: usize) {
        while self.zone(self.machines.len()) != self.zone(lost) {
            let unused = self.fresh_id();
            self.add_machine(PersistedState::empty(unused));
            let number = self.machines.len() - 1;
            self.take_down(number);
        }
        let id = self.fresh_id();
        self.add_machine(PersistedState::empty(id));
    }

    fn heal(&mut self) {
        for number in 0..self.machines.len() {
            self.machine(number).isolated = false;
            self.update_fingerprint(number);
        }
        self.events.extend(std::mem::take(&mut self.delayed_events));
    }

    /// Returns the latest time on any machine's clock.
    pub fn now(&self) -> MonotonicTime {
        self.machines
            .iter()
            .map(|machine| machine.now)
            .max()
            .unwrap_or_default()
    }

    /// Returns the machines of the voters in the leader's newest version.
    pub fn voters(&self) -> Vec<usize> {
        let Some(leader) = self.leader() else {
            return Vec::new();
        };
        let document = self.machines[leader].consensus.accepted();
        let voters = document.map_or(&[][..], |document| &document.voters);
        let machine_of = |voter: &Voter| {
            self.machines
                .iter()
                .position(|machine| machine.consensus.id() == voter.id)
        };
        voters.iter().filter_map(machine_of).collect()
    }

    /// Returns the machines that are up, whether isolated or not.
    pub fn running(&self) -> Vec<usize> {
        (0..self.machines.len())
            .filter(|number| !self.machines[*number].down)
            .collect()
    }

    /// Processes events and advances time until the condition holds. Fails if the condition does not hold
    /// after `MAX_QUIET_STEPS` advances.
    pub fn run_until(&mut self, condition: impl Fn(&Self) -> bool) -> Result<(), SafetyViolation> {
        let mut quiet_steps = 0;
        while !condition(self) {
            if !self.is_quiet() {
                self.step()?;
            } else if quiet_steps < MAX_QUIET_STEPS {
                quiet_steps += 1;
                self.advance_time()?;
            } else {
                return Err(SafetyViolation::NoProgress);
            }
        }
        Ok(())
    }

    /// Checks liveness: the running machines must propose and commit one more change.
    pub fn make_progress(&mut self) -> Result<(), SafetyViolation> {
        self.run_until(|model| {
            model
                .leader()
                .is_some_and(|leader| !model.machines[leader].consensus.is_proposing())
        })?;
        let before = self.history.newest().len();
        for _ in 0..20 {
            if let Some(leader) = self.leader() {
                self.propose_change(leader)?;
            }
            let committed = Zone::from(format!("change-{}", self.proposed_changes));
            let outcome = self.run_until(|model| {
                model.history.newest().contains(&committed) || model.leader().is_none()
            });
            outcome?;
            if self.history.newest().len() > before && self.leader().is_some() {
                return Ok(());
            }
            self.run_until(|model| {
                model
                    .leader()
                    .is_some_and(|leader| !model.machines[leader].consensus.is_proposing())
            })?;
        }
        Err(SafetyViolation::NoProgress)
    }
}
