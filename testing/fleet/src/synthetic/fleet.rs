//! A synthetic fleet: its state machines, its queue of events, and a run from start to record.

use super::calls::PendingRequest;
use super::catalogue;
use super::controllers::Controller;
use super::daemons::Daemon;
use super::events::Event;
use super::memory;
use super::meter::Meter;
use super::platform::SyntheticPlatform;
use super::record::{RunRecord, StopReason};
use super::size::{SizeError, SyntheticSize, half_of_memory};
use super::zones::ZoneNumber;
use common::clock::MonotonicTime;
use common::frames::SocketAddress;
use common::rng::SeededRng;
use controlplane::controller_state::OperationTicket;
use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant};

const CONTROLLERS: usize = 3;
const STARTS_WITHIN: Duration = Duration::from_millis(500);
const FILL_STARTS_AT: Duration = Duration::from_millis(4500);
const FILL_RATE: u64 = 1000;
const FILL_SHORTEST: Duration = Duration::from_millis(500);
const SETTLING_TIME: Duration = Duration::from_secs(4);
/// How long a fleet continues after its measurement, so that the last change can come into force.
const DRAIN_TIME: Duration = Duration::from_millis(800);
const LIMITS_CHECKED_EVERY: u64 = 512;

/// The stream of a daemon to a controller.
pub(super) struct Link {
    pub daemon: usize,
    pub controller: usize,
    pub is_open: bool,
}

/// A change in flight.
pub(super) struct OpenChange {
    pub requested_at: MonotonicTime,
    pub leader_nanos: u64,
    pub version: Option<u64>,
}

/// A synthetic fleet.
pub struct SyntheticFleet {
    pub(super) size: SyntheticSize,
    pub(super) now: MonotonicTime,
    pub(super) rng: SeededRng,
    pub(super) meter: Meter,
    pub(super) controllers: Vec<Controller>,
    pub(super) daemons: Vec<Option<Daemon>>,
    pub(super) links: Vec<Link>,
    pub(super) platform: SyntheticPlatform,
    pub(super) pending_replica_requests: HashSet<u64>,
    pub(super) changes: BTreeMap<OperationTicket, OpenChange>,
    pub(super) change_turn: u32,
    pub(super) fill_next: usize,
    pub(super) next_number: u64,
    pub(super) record: RunRecord,
    queue: BTreeMap<(MonotonicTime, u64), Event>,
    next_event: u64,
    half_bytes: u64,
}

impl SyntheticFleet {
    /// Creates a bootstrapped control quorum with the functions of the size in its spec, and daemons that are about to
    /// start.
    pub fn new(size: SyntheticSize) -> Result<Self, SizeError> {
        let half_bytes = half_of_memory()?;
        memory::start_counting();
        let mut rng = SeededRng::seeded(size.seed);
        let needed_mb = size.held as u64 * u64::from(size.runners) * 512;
        let worker_mb = (needed_mb / size.daemons as u64).max(16_384) as u32;
        let mut fleet = Self {
            now: MonotonicTime(1_000_000_000),
            meter: Meter::default(),
            controllers: Vec::new(),
            daemons: Vec::new(),
            links: Vec::new(),
            platform: SyntheticPlatform::new(size.daemons, worker_mb),
            pending_replica_requests: HashSet::new(),
            changes: BTreeMap::new(),
            change_turn: 0,
            fill_next: 0,
            next_number: 0,
            record: RunRecord::new(&size),
            queue: BTreeMap::new(),
            next_event: 0,
            half_bytes,
            size,
            rng: SeededRng::seeded(rng.number()),
        };
        let first_spec = catalogue::spec_of(&mut rng, size.functions, size.runners);
        fleet.bootstrap(first_spec);
        for daemon in 0..size.daemons {
            fleet.daemons.push(None);
            let starts_at = fleet.rng.within(Duration::ZERO, STARTS_WITHIN);
            fleet.push(starts_at, Event::StartDaemon(daemon));
        }
        fleet.push(FILL_STARTS_AT, Event::Fill);
        fleet.push(fleet.measured_from(), Event::OpenMeter);
        Ok(fleet)
    }

    pub(super) fn fill_span(&self) -> Duration {
        FILL_SHORTEST.max(Duration::from_millis(
            self.size.held as u64 * 1000 / FILL_RATE,
        ))
    }

    fn measured_from(&self) -> Duration {
        FILL_STARTS_AT + self.fill_span() + SETTLING_TIME
    }

    pub(super) fn seeds() -> Vec<SocketAddress> {
        (0..CONTROLLERS).map(Self::controller_address).collect()
    }

    pub(super) fn controller_address(controller: usize) -> SocketAddress {
        SocketAddress(std::net::SocketAddrV4::new(
            [10, 0, 0, controller as u8 + 1].into(),
            7100,
        ))
    }

    pub(super) fn daemon_address(daemon: usize) -> SocketAddress {
        let [high, low] = (daemon as u16).to_be_bytes();
        SocketAddress(std::net::SocketAddrV4::new([10, 1, high, low].into(), 7200))
    }

    pub(super) fn controller_at(address: SocketAddress) -> Option<usize> {
        let [_, second, _, last] = address.0.ip().octets();
        let is_controller = second == 0 && last >= 1 && usize::from(last) <= CONTROLLERS;
        is_controller.then(|| usize::from(last) - 1)
    }

    pub(super) fn daemon_at(&self, address: SocketAddress) -> Option<usize> {
        let [_, second, high, low] = address.0.ip().octets();
        let daemon = usize::from(u16::from_be_bytes([high, low]));
        (second == 1 && daemon < self.daemons.len()).then_some(daemon)
    }

    pub(super) fn delay(from: usize, to: usize) -> Duration {
        ZoneNumber::of(from).delay_to(ZoneNumber::of(to))
    }

    pub(super) fn push(&mut self, delay: Duration, event: Event) {
        self.next_event += 1;
        self.queue
            .insert((self.now + delay, self.next_event), event);
    }

    pub(super) fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// Runs the fleet and returns the record of the run.
    pub fn run(mut self) -> RunRecord {
        let started_at = Instant::now();
        let ends_at = self.now + self.measured_from() + self.size.measured;
        let mut stop_reason = None;
        let mut is_measurement_over = false;
        let mut step_count = 0;
        while let Some(((due_at, _), event)) = self.queue.pop_first() {
            if due_at > ends_at && !is_measurement_over {
                is_measurement_over = true;
                self.meter.close();
            }
            if due_at > ends_at + DRAIN_TIME {
                break;
            }
            step_count += 1;
            if step_count % LIMITS_CHECKED_EVERY == 0 {
                stop_reason = self.stop_reason(started_at);
                if stop_reason.is_some() {
                    break;
                }
            }
            self.now = due_at;
            self.dispatch(event);
        }
        self.queue.clear();
        self.conclude(started_at.elapsed(), stop_reason)
    }

    fn stop_reason(&self, started_at: Instant) -> Option<StopReason> {
        if started_at.elapsed() > self.size.patience {
            return Some(StopReason::TimeLimit(self.now));
        }
        (memory::live() > self.half_bytes).then_some(StopReason::MemoryLimit(self.now))
    }

    fn conclude(mut self, real_time: Duration, stop_reason: Option<StopReason>) -> RunRecord {
        let mut record = std::mem::replace(&mut self.record, RunRecord::new(&self.size));
        record.real_time = real_time;
        record.heap_bytes = memory::live();
        record.instances = self.platform.runner_count() as u64;
        record.stopped = stop_reason;
        record.counters_by_work = self.meter.counters_by_work().clone();
        let held_count = |daemon: &Daemon| daemon.agent.held_function_count() as u64;
        record.held = self.daemons.iter().flatten().map(held_count).sum();
        self.measure_memory(&mut record);
        record
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::StartDaemon(daemon) => self.start_daemon(daemon),
            Event::TickDaemon(daemon) => self.tick_daemon(daemon),
            Event::TickController(controller) => self.tick_controller(controller),
            Event::Poll(controller) => self.poll(controller),
            Event::Consensus(controller, frame) => self.handle_consensus_frame(controller, &frame),
            Event::Written(controller, ticket) => self.written(controller, ticket),
            Event::Dialed(link) => self.dialed(link),
            Event::Up(link, frame) => self.handle_up_frame(link, &frame),
            Event::FrameToDaemon(link, frame) => self.handle_down_frame(link, &frame),
            Event::LinkLost {
                link,
                at_controller,
            } => self.link_lost(link, at_controller),
            Event::HeartbeatDatagram(daemon, heartbeat) => {
                self.handle_heartbeat(daemon, &heartbeat)
            }
            Event::FromHolder(holder_key, word) => self.handle_holder_message(holder_key, word),
            Event::Operate(controller, ticket, operation) => {
                self.operate(controller, ticket, *operation);
            }
            Event::Change => self.send_change(),
            Event::OpenMeter => self.open_meter(),
            Event::LeaderStopped(controller, runner) => self.leader_stopped(controller, runner),
            other => self.dispatch_call(other),
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

    /// Samples how many daemons each daemon counts as alive.
    pub(super) fn sample_visibility(&mut self) {
        if !self.meter.is_open() {
            return;
        }
        for started_daemon in self.daemons.iter().flatten() {
            self.record.visible_daemons += started_daemon.agent.live_hosts().len() as u64;
            self.record.visibility_samples += 1;
        }
    }

    pub(super) fn pending(&mut self, daemon: usize, number: u64) -> Option<&mut PendingRequest> {
        self.daemons
            .get_mut(daemon)?
            .as_mut()?
            .pending_requests
            .get_mut(&number)
    }
}
