//! A synthetic fleet: its roles, its queue of events, and a run from start to record.

use super::calls::Pending;
use super::catalogue;
use super::controllers::Controller;
use super::daemons::Daemon;
use super::events::Event;
use super::memory;
use super::meter::Meter;
use super::platform::SyntheticPlatform;
use super::record::{Halt, RunRecord};
use super::size::{SizeFault, SyntheticSize, half_of_memory};
use super::zones::ZoneNumber;
use common::chance::Chance;
use common::clock::Moment;
use common::frames::Place;
use controlplane::controller_state::OperationTicket;
use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant};

const CONTROLLERS: usize = 3;
const STARTS_WITHIN: Duration = Duration::from_millis(500);
const FILL_FROM: Duration = Duration::from_millis(4500);
const FILL_RATE: u64 = 1000;
const FILL_SHORTEST: Duration = Duration::from_millis(500);
const SETTLES_IN: Duration = Duration::from_secs(4);
/// After its measuring a fleet goes on for so long, so that the last change can come into force.
const ENDS_AFTER: Duration = Duration::from_millis(800);
const LOOKS_EVERY: u64 = 512;

/// One daemon's stream.
pub(super) struct Link {
    pub daemon: usize,
    pub controller: usize,
    pub is_open: bool,
}

/// A change on its way.
pub(super) struct ChangeUnderWay {
    pub asked_at: Moment,
    pub leader_nanos: u64,
    pub serial: Option<u64>,
}

/// A synthetic fleet.
pub struct Fleet {
    pub(super) size: SyntheticSize,
    pub(super) now: Moment,
    pub(super) chance: Chance,
    pub(super) meter: Meter,
    pub(super) controllers: Vec<Controller>,
    pub(super) daemons: Vec<Option<Daemon>>,
    pub(super) links: Vec<Link>,
    pub(super) platform: SyntheticPlatform,
    pub(super) open_questions: HashSet<u64>,
    pub(super) changes: BTreeMap<OperationTicket, ChangeUnderWay>,
    pub(super) change_turn: u32,
    pub(super) fill_next: usize,
    pub(super) next_number: u64,
    pub(super) record: RunRecord,
    queue: BTreeMap<(Moment, u64), Event>,
    next_event: u64,
    half_bytes: u64,
}

impl Fleet {
    /// A founded core with so many functions in its spec, and daemons about to start.
    pub fn new(size: SyntheticSize) -> Result<Self, SizeFault> {
        let half_bytes = half_of_memory()?;
        memory::start_counting();
        let mut chance = Chance::seeded(size.seed);
        let needed_mb = size.held as u64 * u64::from(size.runners) * 512;
        let worker_mb = (needed_mb / size.daemons as u64).max(16_384) as u32;
        let mut fleet = Self {
            now: Moment(1_000_000_000),
            meter: Meter::default(),
            controllers: Vec::new(),
            daemons: Vec::new(),
            links: Vec::new(),
            platform: SyntheticPlatform::new(size.daemons, worker_mb),
            open_questions: HashSet::new(),
            changes: BTreeMap::new(),
            change_turn: 0,
            fill_next: 0,
            next_number: 0,
            record: RunRecord::new(&size),
            queue: BTreeMap::new(),
            next_event: 0,
            half_bytes,
            size,
            chance: Chance::seeded(chance.number()),
        };
        let first_spec = catalogue::spec_of(&mut chance, size.functions, size.runners);
        fleet.found(first_spec);
        for daemon in 0..size.daemons {
            fleet.daemons.push(None);
            let starts_at = fleet.chance.within(Duration::ZERO, STARTS_WITHIN);
            fleet.push(starts_at, Event::Begin(daemon));
        }
        fleet.push(FILL_FROM, Event::Fill);
        fleet.push(fleet.measured_from(), Event::OpenMeter);
        Ok(fleet)
    }

    pub(super) fn fill_span(&self) -> Duration {
        FILL_SHORTEST.max(Duration::from_millis(self.size.held as u64 * 1000 / FILL_RATE))
    }

    fn measured_from(&self) -> Duration {
        FILL_FROM + self.fill_span() + SETTLES_IN
    }

    pub(super) fn seeds() -> Vec<Place> {
        (0..CONTROLLERS).map(Self::controller_place).collect()
    }

    pub(super) fn controller_place(controller: usize) -> Place {
        Place(std::net::SocketAddrV4::new([10, 0, 0, controller as u8 + 1].into(), 7100))
    }

    pub(super) fn daemon_place(daemon: usize) -> Place {
        let [high, low] = (daemon as u16).to_be_bytes();
        Place(std::net::SocketAddrV4::new([10, 1, high, low].into(), 7200))
    }

    pub(super) fn controller_at(place: Place) -> Option<usize> {
        let [_, second, _, last] = place.0.ip().octets();
        let is_controller = second == 0 && last >= 1 && usize::from(last) <= CONTROLLERS;
        is_controller.then(|| usize::from(last) - 1)
    }

    pub(super) fn daemon_at(&self, place: Place) -> Option<usize> {
        let [_, second, high, low] = place.0.ip().octets();
        let daemon = usize::from(u16::from_be_bytes([high, low]));
        (second == 1 && daemon < self.daemons.len()).then_some(daemon)
    }

    pub(super) fn delay(from: usize, to: usize) -> Duration {
        ZoneNumber::of(from).delay_to(ZoneNumber::of(to))
    }

    pub(super) fn push(&mut self, delay: Duration, event: Event) {
        self.next_event += 1;
        self.queue.insert((self.now + delay, self.next_event), event);
    }

    pub(super) fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// Runs the fleet, and says what it came to.
    pub fn run(mut self) -> RunRecord {
        let begun_at = Instant::now();
        let ends_at = self.now + self.measured_from() + self.size.measured;
        let mut halt = None;
        let mut is_measured = false;
        let mut looked = 0;
        while let Some(((due_at, _), event)) = self.queue.pop_first() {
            if due_at > ends_at && !is_measured {
                is_measured = true;
                self.meter.close();
            }
            if due_at > ends_at + ENDS_AFTER {
                break;
            }
            looked += 1;
            if looked % LOOKS_EVERY == 0 {
                halt = self.halt(begun_at);
                if halt.is_some() {
                    break;
                }
            }
            self.now = due_at;
            self.happen(event);
        }
        self.queue.clear();
        self.conclude(begun_at.elapsed(), halt)
    }

    fn halt(&self, begun_at: Instant) -> Option<Halt> {
        if begun_at.elapsed() > self.size.patience {
            return Some(Halt::Patience(self.now));
        }
        (memory::live() > self.half_bytes).then_some(Halt::Memory(self.now))
    }

    fn conclude(mut self, took: Duration, halt: Option<Halt>) -> RunRecord {
        let mut record = std::mem::replace(&mut self.record, RunRecord::new(&self.size));
        record.took = took;
        record.heap_bytes = memory::live();
        record.instances = self.platform.runner_count() as u64;
        record.stopped = halt;
        record.tallies = self.meter.tallies().clone();
        let held_count = |daemon: &Daemon| daemon.agent.holdings.load().len() as u64;
        record.held = self.daemons.iter().flatten().map(held_count).sum();
        self.weigh(&mut record);
        record
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Begin(daemon) => self.begin_daemon(daemon),
            Event::TickDaemon(daemon) => self.tick_daemon(daemon),
            Event::TickController(controller) => self.tick_controller(controller),
            Event::Poll(controller) => self.poll(controller),
            Event::Core(controller, frame) => self.hear_core(controller, &frame),
            Event::Written(controller, ticket) => self.written(controller, ticket),
            Event::Dialed(link) => self.dialed(link),
            Event::Up(link, frame) => self.hear_up(link, &frame),
            Event::Down(link, frame) => self.hear_down(link, &frame),
            Event::LinkLost { link, at_controller } => self.link_lost(link, at_controller),
            Event::Beat(daemon, beat) => self.hear_beat(daemon, &beat),
            Event::Word(spot, word) => self.hear_word(spot, word),
            Event::Operate(controller, ticket, operation) => {
                self.operate(controller, ticket, *operation);
            }
            Event::Change => self.send_change(),
            Event::OpenMeter => self.open_meter(),
            Event::LeaderStopped(controller, runner) => self.leader_stopped(controller, runner),
            other => self.happen_to_call(other),
        }
    }

    fn open_meter(&mut self) {
        self.meter.open();
        self.record.called = 0;
        self.record.answered = 0;
        self.record.not_run = 0;
        self.record.unknown = 0;
        self.push(Duration::from_millis(1), Event::Call);
        let change_count = self.size.changes;
        for turn in 0..change_count {
            let gap = self.size.measured.mul_f64(0.8) / change_count.max(1);
            self.push(gap * turn + Duration::from_millis(50), Event::Change);
        }
    }

    /// Notes how many daemons each daemon counts as alive.
    pub(super) fn note_alive(&mut self) {
        if !self.meter.is_open() {
            return;
        }
        for begun in self.daemons.iter().flatten() {
            self.record.alive_seen += begun.agent.hosts.load().len() as u64;
            self.record.alive_looks += 1;
        }
    }

    pub(super) fn pending(&mut self, daemon: usize, number: u64) -> Option<&mut Pending> {
        self.daemons.get_mut(daemon)?.as_mut()?.pendings.get_mut(&number)
    }
}
