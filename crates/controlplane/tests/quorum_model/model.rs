//! Controllers, their disks and what is under way between them, one event at a time.

use super::history::{Breach, Changes, History};
use common::chance::Chance;
use common::clock::Moment;
use common::frames::{CoreBody, CoreFrame, Place};
use common::identity::{ChangeId, ControllerId, Ticket, Zone};
use common::rules::Rules;
use common::spec::{CoreMember, Document};
use controlplane::core::{
    Address, Core, CoreOutput, CoreTiming, QuorumShape, Recalled, WriteJob, WriteResult,
};
use std::collections::VecDeque;
use std::collections::hash_map::DefaultHasher;
use std::fmt::{self, Write};
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

const FIRST_MOMENT: Moment = Moment(1_000_000_000);
const EVENT_SPAN: Duration = Duration::from_micros(1);
const LONGEST_QUIET_STEPS: usize = 4000;

/// How a model is set up.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// How many controllers start.
    pub machines: usize,
    /// Over how many zones they stand.
    pub zones: usize,
    /// How many machines may be lost at once.
    pub tolerance: usize,
    /// The rules of the product that are kept.
    pub rules: Rules,
    /// Whether a wiped disk comes back under its former identity: a flaw.
    pub wiped_keeps_identity: bool,
    /// What chance is drawn from.
    pub seed: u64,
}

impl Setup {
    /// Controllers that keep every rule.
    pub fn sound(machines: usize, zones: usize, tolerance: usize, seed: u64) -> Self {
        let rules = Rules::KEPT;
        Self { machines, zones, tolerance, rules, wiped_keeps_identity: false, seed }
    }

    fn shape(&self) -> QuorumShape {
        QuorumShape::new(2 * self.tolerance + 1, 1)
    }
}

/// What is wrong with a disk.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum DiskTrouble {
    /// Writes never end.
    Hung,
    /// Writes fail.
    Full,
}

/// One controller on its machine.
#[derive(Clone)]
struct Machine {
    core: Core,
    disk: Recalled,
    now: Moment,
    life: u64,
    isolated: bool,
    lost: bool,
    disk_trouble: Option<DiskTrouble>,
    /// What was committed when somebody asked this leader, by the moment of asking.
    asked: Vec<(Moment, Changes)>,
    fingerprint: u64,
}

#[derive(Clone, Debug)]
enum Event {
    Frame(usize, CoreFrame),
    Written(usize, u64, Ticket, WriteJob),
}

impl Event {
    fn owner(&self) -> usize {
        match self {
            Self::Frame(owner, _) | Self::Written(owner, ..) => *owner,
        }
    }
}

/// Something that goes another way than in a quiet run.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Deviation {
    /// A machine loses power and starts again at once; writes under way are lost.
    Crash(usize),
    /// The same, and its disk is replaced by an empty one.
    Wipe(usize),
    /// A machine is cut off from all others; a leader takes one more order then.
    Isolate(usize),
    /// Cuts end; what was held up by them arrives.
    Heal,
    /// A machine's clock runs on until its next timer fires.
    Timeout(usize),
    /// The next event comes after all others.
    Delay,
    /// The next event, if it is a frame, is lost.
    Drop,
}

/// All controllers and what is under way.
#[derive(Clone)]
pub struct Model {
    setup: Setup,
    machines: Vec<Rc<Machine>>,
    events: VecDeque<Rc<Event>>,
    held_up: Vec<Rc<Event>>,
    history: History,
    changes_made: u64,
    identities_made: u64,
    wipes: usize,
}

fn timing() -> CoreTiming {
    CoreTiming::builder()
        .election_shortest(Duration::from_millis(350))
        .election_longest(Duration::from_millis(600))
        .replace_after(Duration::from_millis(1500))
        .scrub_every(Duration::from_secs(1_000_000))
        .build()
}

fn place(number: usize) -> Place {
    Place(format!("10.0.{}.{}:1", number / 200, number % 200 + 1).parse().expect("an address"))
}

struct HashWriter(DefaultHasher);

impl Write for HashWriter {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

impl Model {
    /// A quorum that was founded with the first three controllers, all of them just started.
    pub fn new(setup: Setup) -> Self {
        let mut model = Self {
            setup,
            machines: Vec::new(),
            events: VecDeque::new(),
            held_up: Vec::new(),
            history: History::default(),
            changes_made: 0,
            identities_made: 0,
            wipes: 0,
        };
        let founders = (0..3).map(|number| CoreMember {
            id: ControllerId(number as u64 + 1),
            place: place(number),
            zone: model.zone(number),
        });
        let founding = Document::founding(founders.collect());
        for number in 0..setup.machines {
            let id = model.fresh_id();
            let mut disk = Recalled::nothing(id);
            if number < 3 {
                disk.accepted = Some(founding.clone());
            }
            model.add(disk);
        }
        model
    }

    fn zone(&self, number: usize) -> Zone {
        Zone::from(format!("zone-{}", number % self.setup.zones))
    }

    fn fresh_id(&mut self) -> ControllerId {
        self.identities_made += 1;
        ControllerId(self.identities_made)
    }

    fn add(&mut self, disk: Recalled) {
        let number = self.machines.len();
        let core = self.started(number, 0, FIRST_MOMENT, &disk);
        let now = self.machines.first().map_or(FIRST_MOMENT, |machine| machine.now);
        self.machines.push(Rc::new(Machine {
            core,
            disk,
            now,
            life: 0,
            isolated: false,
            lost: false,
            disk_trouble: None,
            asked: Vec::new(),
            fingerprint: 0,
        }));
        self.restart(number);
    }

    fn started(&self, number: usize, life: u64, now: Moment, disk: &Recalled) -> Core {
        let seed = self.setup.seed ^ ((number as u64) << 8) ^ life;
        let address = Address { place: place(number), operators: place(number) };
        let running = self.running();
        let known = if running.is_empty() { vec![0, 1, 2] } else { running };
        let seeds = known.into_iter().take(3).map(place).collect();
        let zone = self.zone(number);
        Core::new(now, timing(), disk.clone(), address, zone, seeds, Chance::seeded(seed))
            .with_rules(self.setup.rules)
            .with_shape(self.setup.shape())
    }

    fn machine(&mut self, number: usize) -> &mut Machine {
        Rc::make_mut(&mut self.machines[number])
    }

    /// Starts a machine's process anew with what its disk holds.
    fn restart(&mut self, number: usize) {
        self.events
            .retain(|event| !matches!(&**event, Event::Written(owner, ..) if *owner == number));
        let machine = &self.machines[number];
        let core = self.started(number, machine.life + 1, machine.now, &machine.disk);
        let machine = self.machine(number);
        machine.core = core;
        machine.life += 1;
        machine.asked.clear();
        self.renew_fingerprint(number);
    }

    fn renew_fingerprint(&mut self, number: usize) {
        let machine = self.machine(number);
        let mut writer = HashWriter(DefaultHasher::new());
        let _ = write!(writer, "{:?}{:?}{:?}", machine.core, machine.disk, machine.asked);
        (machine.now, machine.isolated, machine.lost).hash(&mut writer.0);
        machine.disk_trouble.hash(&mut writer.0);
        machine.fingerprint = writer.0.finish();
    }

    /// What tells this state from others.
    pub fn fingerprint(&self) -> u64 {
        let mut writer = HashWriter(DefaultHasher::new());
        for machine in &self.machines {
            machine.fingerprint.hash(&mut writer.0);
        }
        for event in self.events.iter().chain(&self.held_up) {
            let _ = write!(writer, "{event:?}");
            if let Event::Frame(_, CoreFrame { body, .. }) = &**event {
                match body {
                    CoreBody::Accept { document, .. } => document.0.hash(&mut writer.0),
                    CoreBody::AcceptChange { change, digest, .. } => {
                        (&change.0, &digest.0).hash(&mut writer.0);
                    }
                    _ => {}
                }
            }
        }
        (self.changes_made, self.wipes, self.held_up.len()).hash(&mut writer.0);
        self.history.newest().hash(&mut writer.0);
        writer.0.finish()
    }

    /// How many disks were lost so far.
    pub fn wipes(&self) -> usize {
        self.wipes
    }

    /// What stands where, for whoever reads a failed run.
    pub fn describe(&self) -> String {
        let rows = self.machines.iter().enumerate().map(|(number, machine)| {
            let core = &machine.core;
            let held = core.accepted();
            let ids = |members: &[CoreMember]| -> Vec<u64> {
                members.iter().map(|member| member.id.0).collect()
            };
            format!(
                "{number}: id {} life {} lost {} cut {} term {} ready {} proposing {} accepted {:?} voters {:?} former {:?}",
                core.id().0,
                machine.life,
                machine.lost,
                machine.isolated,
                core.term().0,
                core.is_ready(),
                core.is_proposing(),
                held.map(|held| held.stamp.to_string()),
                held.map(|held| ids(&held.core)),
                held.map(|held| ids(&held.former)),
            )
        });
        rows.collect::<Vec<String>>().join("\n")
    }

    /// Whether nothing is under way.
    pub fn is_quiet(&self) -> bool {
        self.events.is_empty()
    }

    /// How many events are under way.
    pub fn events_under_way(&self) -> usize {
        self.events.len()
    }

    /// Whether one machine is cut off.
    pub fn is_cut(&self) -> bool {
        self.machines.iter().any(|machine| machine.isolated)
    }

    fn reached(&self, number: usize) -> bool {
        !self.machines[number].isolated && !self.machines[number].lost
    }

    /// A leader that the others reach and that takes orders.
    pub fn leader(&self) -> Option<usize> {
        let leads =
            |number: &usize| self.reached(*number) && self.machines[*number].core.is_ready();
        (0..self.machines.len())
            .filter(leads)
            .max_by_key(|number| self.machines[*number].core.term())
    }

    /// Whether a leader has all the voters that the setup asks for, all of them level with it.
    pub fn is_settled(&self) -> bool {
        let Some(leader) = self.leader() else { return false };
        let core = &self.machines[leader].core;
        let Some(document) = core.accepted() else { return false };
        let is_level = |member: &CoreMember| {
            self.machines.iter().any(|machine| {
                machine.core.id() == member.id
                    && !machine.lost
                    && !machine.isolated
                    && machine.core.accepted().is_some_and(|held| held.stamp == document.stamp)
            })
        };
        document.former.is_empty()
            && !core.is_proposing()
            && document.core.len() >= self.setup.shape().voters()
            && document.core.iter().all(is_level)
    }

    /// Carries out the event that is due next.
    pub fn step(&mut self) -> Result<(), Breach> {
        let Some(event) = self.events.pop_front() else { return Ok(()) };
        self.carry_out(&event)
    }

    /// Carries out any event: the oldest between its two ends.
    pub fn step_any(&mut self, chance: &mut Chance) -> Result<(), Breach> {
        let index = chance.below(self.events.len() as u64) as usize;
        let Some(chosen) = self.events.get(index) else { return Ok(()) };
        let link_of = |event: &Event| match event {
            Event::Frame(to, frame) => (*to, Some(frame.place)),
            Event::Written(owner, ..) => (*owner, None),
        };
        let link = link_of(chosen);
        let first = self.events.iter().position(|event| link_of(event) == link).unwrap_or(index);
        let Some(event) = self.events.remove(first) else { return Ok(()) };
        self.carry_out(&event)
    }

    fn carry_out(&mut self, event: &Rc<Event>) -> Result<(), Breach> {
        let owner = event.owner();
        if self.machines[owner].lost {
            return Ok(());
        }
        match &**event {
            Event::Frame(_, frame) => {
                if self.machines[owner].isolated {
                    self.held_up.push(event.clone());
                    return Ok(());
                }
                let frame = frame.clone();
                self.feed(owner, |core, now| core.heard(now, frame))
            }
            Event::Written(_, life, ticket, job) => {
                if *life != self.machines[owner].life {
                    return Ok(());
                }
                let ticket = *ticket;
                match self.machines[owner].disk_trouble {
                    Some(DiskTrouble::Hung) => return Ok(()),
                    Some(DiskTrouble::Full) => {
                        let failed = WriteResult::Failed;
                        return self.feed(owner, |core, now| core.written(now, ticket, failed));
                    }
                    None => {}
                }
                let disk = &mut self.machine(owner).disk;
                match job {
                    WriteJob::Vote { term, candidate } => disk.voted = Some((*term, *candidate)),
                    WriteJob::Version(document) => {
                        let held = disk.accepted.as_ref().map(|held| held.stamp);
                        if held.is_none_or(|held| held < document.stamp) {
                            disk.accepted = Some(document.clone());
                        }
                    }
                    WriteJob::Scrub(_) => {}
                }
                self.feed(owner, |core, now| core.written(now, ticket, WriteResult::Synced))
            }
        }
    }

    fn feed(
        &mut self,
        number: usize,
        input: impl FnOnce(&mut Core, Moment) -> Vec<CoreOutput>,
    ) -> Result<(), Breach> {
        self.note_question(number);
        let machine = self.machine(number);
        machine.now = machine.now + EVENT_SPAN;
        let now = machine.now;
        let outputs = input(&mut machine.core, now);
        for output in outputs {
            self.obey(number, output)?;
        }
        let judged = self.judge_answers(number);
        self.renew_fingerprint(number);
        judged
    }

    fn obey(&mut self, number: usize, output: CoreOutput) -> Result<(), Breach> {
        let machine = &self.machines[number];
        match output {
            CoreOutput::Send { to, frame } => {
                let target = (0..self.machines.len()).find(|target| place(*target) == to);
                if let Some(target) = target.filter(|_| !machine.isolated) {
                    self.events.push_back(Rc::new(Event::Frame(target, frame)));
                }
            }
            CoreOutput::Write { ticket, job } => {
                self.events.push_back(Rc::new(Event::Written(number, machine.life, ticket, job)));
            }
            CoreOutput::Elected { term, .. } => {
                let id = machine.core.id();
                self.history.elected(term, id)?;
            }
            CoreOutput::Committed(document) => self.history.committed(&document)?,
            _ => {}
        }
        Ok(())
    }

    /// Somebody asks a leader for the newest version, whenever something happens at it.
    fn note_question(&mut self, number: usize) {
        if !self.machines[number].core.is_leader() {
            if !self.machines[number].asked.is_empty() {
                self.machine(number).asked.clear();
            }
            return;
        }
        let newest = self.history.newest().clone();
        let machine = self.machine(number);
        if machine.asked.last().is_none_or(|(_, known)| *known != newest) {
            let asked_at = machine.now;
            machine.asked.push((asked_at, newest));
        }
    }

    /// Whoever asked before the newest round with a majority was sent is answered now.
    fn judge_answers(&mut self, number: usize) -> Result<(), Breach> {
        let machine = &self.machines[number];
        if !machine.core.is_ready() || machine.asked.is_empty() {
            return Ok(());
        }
        let proven_at = machine.core.quorum_moment();
        let Some(served) = machine.core.accepted() else { return Ok(()) };
        for (asked_at, known) in &machine.asked {
            if *asked_at < proven_at {
                self.history.served(known, served)?;
            }
        }
        Ok(())
    }

    /// Lets time pass at every machine until the first timer fires.
    pub fn pass(&mut self) -> Result<(), Breach> {
        let spans =
            (0..self.machines.len()).filter(|number| !self.machines[*number].lost).map(|number| {
                let machine = &self.machines[number];
                (machine.core.next_due().since(machine.now), number)
            });
        let Some((span, first)) = spans.min() else { return Ok(()) };
        for number in 0..self.machines.len() {
            let machine = self.machine(number);
            machine.now = machine.now + span;
        }
        let ticked = self.feed(first, Core::tick);
        for number in 0..self.machines.len() {
            self.renew_fingerprint(number);
        }
        ticked
    }

    /// Has a leader take an order.
    pub fn order(&mut self, number: usize) -> Result<(), Breach> {
        let core = &self.machines[number].core;
        if !core.is_ready() || core.is_proposing() {
            return Ok(());
        }
        let Some(held) = core.accepted() else { return Ok(()) };
        self.changes_made += 1;
        let change = format!("change-{}", self.changes_made);
        let next_document =
            held.with_zone(Zone::from(change.clone()), true, ChangeId::from(change));
        self.feed(number, |core, now| core.propose(now, next_document).unwrap_or_default())
    }

    /// Does what deviates.
    pub fn deviate(&mut self, deviation: Deviation) -> Result<(), Breach> {
        match deviation {
            Deviation::Crash(number) => self.restart(number),
            Deviation::Wipe(number) => self.wipe(number),
            Deviation::Isolate(number) => {
                self.order(number)?;
                self.machine(number).isolated = true;
                self.renew_fingerprint(number);
            }
            Deviation::Heal => self.heal(),
            Deviation::Timeout(number) => {
                let machine = self.machine(number);
                machine.now = machine.now.max(machine.core.next_due());
                self.feed(number, Core::tick)?;
            }
            Deviation::Delay => self.events.rotate_left(1.min(self.events.len())),
            Deviation::Drop => {
                if matches!(self.events.front().map(|event| &**event), Some(Event::Frame(..))) {
                    self.events.pop_front();
                }
            }
        }
        Ok(())
    }

    fn wipe(&mut self, number: usize) {
        self.wipes += 1;
        let id = if self.setup.wiped_keeps_identity {
            self.machines[number].core.id()
        } else {
            self.fresh_id()
        };
        self.machine(number).disk = Recalled::nothing(id);
        self.restart(number);
    }

    /// A machine goes dark, for good or until it is brought back.
    pub fn lose(&mut self, number: usize) {
        self.machine(number).lost = true;
        self.renew_fingerprint(number);
    }

    /// A machine runs on with a disk that takes nothing.
    pub fn trouble_disk(&mut self, number: usize, trouble: DiskTrouble) {
        self.machine(number).disk_trouble = Some(trouble);
        self.renew_fingerprint(number);
    }

    /// A machine comes back with its disk, which is well again.
    pub fn bring_back(&mut self, number: usize) {
        self.machine(number).lost = false;
        self.machine(number).disk_trouble = None;
        self.restart(number);
    }

    /// An empty machine comes up at a new address, in the zone of a lost one.
    pub fn add_successor(&mut self, lost: usize) {
        while self.zone(self.machines.len()) != self.zone(lost) {
            let unused = self.fresh_id();
            self.add(Recalled::nothing(unused));
            let number = self.machines.len() - 1;
            self.lose(number);
        }
        let id = self.fresh_id();
        self.add(Recalled::nothing(id));
    }

    fn heal(&mut self) {
        for number in 0..self.machines.len() {
            self.machine(number).isolated = false;
            self.renew_fingerprint(number);
        }
        self.events.extend(std::mem::take(&mut self.held_up));
    }

    /// The time on the clock of the machine that is ahead.
    pub fn now(&self) -> Moment {
        self.machines.iter().map(|machine| machine.now).max().unwrap_or_default()
    }

    /// Where the voters stand by the leader's newest version.
    pub fn voters(&self) -> Vec<usize> {
        let Some(leader) = self.leader() else { return Vec::new() };
        let document = self.machines[leader].core.accepted();
        let members = document.map_or(&[][..], |document| &document.core);
        let stands_at = |member: &CoreMember| {
            self.machines.iter().position(|machine| machine.core.id() == member.id)
        };
        members.iter().filter_map(stands_at).collect()
    }

    /// Machines that are up, whether cut off or not.
    pub fn running(&self) -> Vec<usize> {
        (0..self.machines.len()).filter(|number| !self.machines[*number].lost).collect()
    }

    /// Carries out events and lets time pass until it is so; a breach if that takes for ever.
    pub fn run_until(&mut self, is_so: impl Fn(&Self) -> bool) -> Result<(), Breach> {
        let mut quiet_steps = 0;
        while !is_so(self) {
            if !self.is_quiet() {
                self.step()?;
            } else if quiet_steps < LONGEST_QUIET_STEPS {
                quiet_steps += 1;
                self.pass()?;
            } else {
                return Err(Breach::NoProgress);
            }
        }
        Ok(())
    }

    /// One more order is taken and committed with what runs now.
    pub fn make_progress(&mut self) -> Result<(), Breach> {
        self.run_until(|model| {
            model.leader().is_some_and(|leader| !model.machines[leader].core.is_proposing())
        })?;
        let before = self.history.newest().len();
        for _ in 0..20 {
            if let Some(leader) = self.leader() {
                self.order(leader)?;
            }
            let ordered = self.changes_made;
            let committed = Zone::from(format!("change-{ordered}"));
            let outcome = self.run_until(|model| {
                model.history.newest().contains(&committed) || model.leader().is_none()
            });
            outcome?;
            if self.history.newest().len() > before && self.leader().is_some() {
                return Ok(());
            }
            self.run_until(|model| {
                model.leader().is_some_and(|leader| !model.machines[leader].core.is_proposing())
            })?;
        }
        Err(Breach::NoProgress)
    }
}
