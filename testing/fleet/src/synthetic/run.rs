//! Runs a synthetic fleet and produces the record of the run.

use super::catalogue;
use super::daemons;
use super::events::{DaemonEvent, Event};
use super::fleet::SyntheticFleet;
use super::members::{Controller, Daemon};
use super::memory;
use super::record::{RunRecord, StopReason};
use super::size::{SizeError, SyntheticSize, half_of_memory};
use common::rng::SeededRng;
use dataplane::agent::HeldFunctions;
use std::time::{Duration, Instant};

const DAEMON_START_SPAN: Duration = Duration::from_millis(500);
const FIRST_CALLS_START: Duration = Duration::from_millis(4500);
const SETTLING_TIME: Duration = Duration::from_secs(4);
/// How long a fleet keeps running after the measurement, so that the last change can come into force.
const DRAIN_TIME: Duration = Duration::from_millis(800);
const EVENTS_PER_LIMIT_CHECK: u64 = 512;

impl SyntheticFleet {
    /// Creates a bootstrapped control quorum, whose spec has as many functions as the size says, and daemons that are yet
    /// to start.
    pub fn new(size: SyntheticSize) -> Result<Self, SizeError> {
        let memory_limit_bytes = half_of_memory()?;
        memory::start_counting();
        let mut rng = SeededRng::seeded(size.seed);
        let fleet_rng = SeededRng::seeded(rng.number());
        let mut fleet = Self::empty(size, memory_limit_bytes, fleet_rng);
        let first_spec = catalogue::random_spec(&mut rng, size.functions, size.runners);
        fleet.bootstrap(first_spec);
        for daemon in 0..size.daemons {
            fleet.daemons.push(None);
            let starts_at = fleet.rng.within(Duration::ZERO, DAEMON_START_SPAN);
            fleet.push(starts_at, Event::Daemon(daemon, DaemonEvent::Start));
        }
        fleet.push(FIRST_CALLS_START, Event::FirstCalls);
        fleet.push(fleet.measurement_start(), Event::OpenMeter);
        Ok(fleet)
    }

    fn measurement_start(&self) -> Duration {
        FIRST_CALLS_START + daemons::first_calls_span(&self.size) + SETTLING_TIME
    }

    /// Runs the fleet and returns the record of the run.
    pub fn run(mut self) -> RunRecord {
        let started_at = Instant::now();
        let ends_at = self.now + self.measurement_start() + self.size.measured;
        let mut stop_reason = None;
        let mut is_measurement_over = false;
        let mut event_count = 0;
        while let Some((due_at, event)) = self.pop() {
            if due_at > ends_at && !is_measurement_over {
                is_measurement_over = true;
                self.meter.close();
            }
            if due_at > ends_at + DRAIN_TIME {
                break;
            }
            event_count += 1;
            if event_count % EVENTS_PER_LIMIT_CHECK == 0 {
                stop_reason = self.stop_reason(started_at);
                if stop_reason.is_some() {
                    break;
                }
            }
            self.now = due_at;
            self.dispatch(event);
        }
        self.clear_queue();
        self.into_record(started_at.elapsed(), stop_reason)
    }

    fn stop_reason(&self, started_at: Instant) -> Option<StopReason> {
        if started_at.elapsed() > self.size.real_time_limit {
            return Some(StopReason::TimeLimit(self.now));
        }
        (memory::live_bytes() > self.memory_limit_bytes)
            .then_some(StopReason::MemoryLimit(self.now))
    }

    /// Dispatches an event to the layer that handles it.
    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Controller(controller, event) => {
                self.handle_controller_event(controller, event);
            }
            Event::ControllerLink(link, event) => self.handle_controller_link_event(link, event),
            Event::Change => self.send_change(),
            Event::Daemon(daemon, event) => self.handle_daemon_event(daemon, event),
            Event::DaemonLink(link, event) => self.handle_daemon_link_event(link, event),
            Event::Request(request, event) => self.handle_request_event(request, event),
            Event::Holder(holder_key, event) => self.handle_holder_event(holder_key, event),
            Event::Replica(request_key, event) => self.handle_replica_event(request_key, event),
            Event::FirstCalls => self.send_first_calls(),
            Event::Call => self.send_random_call(),
            Event::OpenMeter => self.open_meter(),
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

    fn into_record(mut self, real_time: Duration, stop_reason: Option<StopReason>) -> RunRecord {
        let mut record = std::mem::replace(&mut self.record, RunRecord::new(&self.size));
        record.real_time = real_time;
        record.heap_bytes = memory::live_bytes();
        record.instances = self.platform.runner_count() as u64;
        record.stopped = stop_reason;
        record.counters_by_work = self.meter.counters_by_work().clone();
        let held_count = |daemon: &Daemon| daemon.agent.held_function_count() as u64;
        record.held = self.daemons.iter().flatten().map(held_count).sum();
        for daemon in std::mem::take(&mut self.daemons).into_iter().flatten() {
            measure_daemon_memory(daemon, &mut record);
        }
        for controller in std::mem::take(&mut self.controllers) {
            measure_controller_memory(controller, &mut record);
        }
        record
    }
}

/// Drops a daemon, and records the memory freed by its held functions and by the rest of it.
fn measure_daemon_memory(daemon: Daemon, record: &mut RunRecord) {
    let Daemon {
        agent,
        daemon_control,
        pending_requests,
        awaiting_lease,
        ..
    } = daemon;
    drop((pending_requests, awaiting_lease));
    let bytes_before = memory::live_bytes();
    agent.replace_held_functions(HeldFunctions::new());
    agent.forget_closing();
    let bytes_without_held = memory::live_bytes();
    record
        .holder_bytes
        .push(bytes_before.saturating_sub(bytes_without_held));
    drop(daemon_control);
    drop(agent);
    record
        .ingress_bytes
        .push(bytes_without_held.saturating_sub(memory::live_bytes()));
}

/// Drops a controller, and records the memory that this frees.
fn measure_controller_memory(controller: Controller, record: &mut RunRecord) {
    let is_leader = controller.is_leader();
    let bytes_before = memory::live_bytes();
    drop(controller);
    let freed_bytes = bytes_before.saturating_sub(memory::live_bytes());
    if is_leader {
        record.leading_bytes = freed_bytes;
    } else {
        record.following_bytes = freed_bytes;
    }
}
