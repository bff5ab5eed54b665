//! The runners of a holder: their phases, slots and due looks.

use super::{Holder, HolderOutput};
use common::clock::MonotonicTime;
use common::frames::{ClaimedRunner, Flag, Instance, LengthPrefixed, SocketAddress};
use common::identity::{IdempotencyKey, RunnerId, WorkerName};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const PROBE_INTERVAL: Duration = Duration::from_millis(20);
/// A lost answer keeps its slot so long where a runner cannot be asked what it is running.
const LOST_SEND_SLOT_HOLD: Duration = Duration::from_millis(400);
/// A runner that refused more than we know of gets nothing more for so long.
const THROTTLE_DURATION: Duration = Duration::from_millis(200);
const RUNNING_LIST_INTERVAL: Duration = Duration::from_millis(250);
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(600);
const START_RETRY_DELAY: Duration = Duration::from_millis(150);
const START_TIMEOUT: Duration = Duration::from_secs(3);
const UNRESOLVED_TIMEOUT: Duration = Duration::from_secs(6);
const MAX_CONSECUTIVE_LOSSES: u32 = 5;
/// A runner that owes so many answers in a row is replaced.
const REPLACE_AFTER_LOSSES: u32 = 2;

/// Where a runner is in its life.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    /// The platform was asked to start it.
    StartRequested,
    /// It is started, and not yet ready.
    StartingUp,
    /// It takes transactions.
    Ready,
    /// It finishes what it has.
    Draining,
    /// The platform was asked to stop it.
    Stopping,
    /// It is left as it stands to the next holder.
    Orphaned,
}

#[derive(Clone, Copy)]
struct UnresolvedSend {
    since: MonotonicTime,
    until: MonotonicTime,
}

/// One runner.
pub struct RunnerRecord {
    /// Where it runs.
    pub worker: WorkerName,
    /// The memory set aside for it.
    pub memory_mb: u32,
    /// Where it is in its life.
    pub phase: Phase,
    /// Its life, once the platform has told it.
    pub instance: Option<Instance>,
    /// When it was asked for.
    pub started_at: MonotonicTime,
    /// Since when it is in its phase.
    pub since: MonotonicTime,
    /// When a transaction last ended on it.
    pub last_used_at: MonotonicTime,
    /// How many transactions it was started to run at once.
    pub slots: u32,
    /// How many transactions it may have at once for now.
    pub limit: u32,
    /// Whether a probe is out.
    pub probe_pending: bool,
    /// Since when it is to be drained as soon as another can take over.
    pub replace_since: Option<MonotonicTime>,
    running: BTreeSet<IdempotencyKey>,
    unresolved: BTreeMap<IdempotencyKey, UnresolvedSend>,
    throttle: Option<(MonotonicTime, u32)>,
    consecutive_losses: u32,
    next_check_at: MonotonicTime,
    start_retry_at: Option<MonotonicTime>,
}

impl RunnerRecord {
    /// A runner that the platform is asked to start.
    pub fn starting(now: MonotonicTime, worker: WorkerName, memory_mb: u32, slots: u32) -> Self {
        Self {
            worker,
            memory_mb,
            phase: Phase::StartRequested,
            instance: None,
            started_at: now,
            since: now,
            last_used_at: now,
            slots,
            limit: 1,
            probe_pending: false,
            replace_since: None,
            running: BTreeSet::new(),
            unresolved: BTreeMap::new(),
            throttle: None,
            consecutive_losses: 0,
            next_check_at: now,
            start_retry_at: None,
        }
    }

    /// A runner taken over as it stands; its earlier holder's transactions may still run there, so it
    /// begins with half of its slots.
    pub fn adopted(now: MonotonicTime, listed: ClaimedRunner, slots: u32) -> Option<Self> {
        let instance = listed.instance.0.into_iter().next()?;
        let mut record = Self::starting(now, listed.worker, listed.memory_mb, slots);
        record.phase = Phase::Ready;
        record.instance = Some(instance);
        record.limit = (slots / 2).max(1);
        Some(record)
    }

    /// Where it listens.
    pub fn address(&self) -> Option<SocketAddress> {
        self.instance.as_ref().map(|instance| instance.address)
    }

    /// The order to start it is to be repeated.
    pub fn schedule_start_retry(&mut self, now: MonotonicTime) {
        self.start_retry_at = Some(now + START_RETRY_DELAY);
    }

    /// Whether the next holder may take it over as it stands.
    pub fn may_be_orphaned(&self) -> bool {
        let is_healthy = self.consecutive_losses < 2;
        self.phase == Phase::Orphaned || (self.is_usable() && self.instance.is_some() && is_healthy)
    }

    fn stop_output(&self, runner: RunnerId) -> HolderOutput {
        HolderOutput::Stop {
            runner,
            worker: self.worker.clone(),
            instance: self.instance.as_ref().map(|instance| instance.name.clone()),
        }
    }

    /// How the leader is told of it.
    pub fn to_claim(&self, runner: RunnerId) -> ClaimedRunner {
        ClaimedRunner {
            runner,
            worker: self.worker.clone(),
            memory_mb: self.memory_mb,
            instance: LengthPrefixed(self.instance.iter().cloned().collect()),
            is_adoptable: Flag(self.may_be_orphaned()),
        }
    }

    /// Slots in use, those of lost answers included.
    pub fn busy_count(&self) -> usize {
        self.running.len() + self.unresolved.len()
    }

    /// Whether it is ready or will be, and stays so.
    pub fn is_starting_or_ready(&self) -> bool {
        matches!(
            self.phase,
            Phase::StartRequested | Phase::StartingUp | Phase::Ready
        ) && self.replace_since.is_none()
    }

    /// Whether it is ready and stays so.
    pub fn is_usable(&self) -> bool {
        self.phase == Phase::Ready && self.replace_since.is_none()
    }

    /// How many transactions it may have at once now.
    pub fn current_limit(&self, now: MonotonicTime) -> u32 {
        match self.throttle {
            Some((until, throttled_limit)) if now < until => self.limit.min(throttled_limit),
            _ => self.limit,
        }
    }

    /// How many it will have at once within a few answers: its ramp widens fast.
    pub fn expected_limit(&self, now: MonotonicTime) -> u32 {
        match self.throttle {
            Some((until, throttled_limit)) if now < until => self.slots.min(throttled_limit),
            _ => self.slots,
        }
    }

    /// Whether one more transaction fits.
    pub fn has_free_slot(&self, now: MonotonicTime) -> bool {
        self.phase == Phase::Ready && self.busy_count() < self.current_limit(now) as usize
    }

    /// It refused one more than it has from here: others have the rest of its slots for now.
    pub fn handle_rejection(&mut self, now: MonotonicTime) {
        self.throttle = Some((now + THROTTLE_DURATION, self.busy_count() as u32));
    }

    /// It is not asked whether it is ready before that.
    pub fn probe_after(&mut self, first_probe_at: MonotonicTime) {
        self.next_check_at = first_probe_at;
    }

    /// Takes a slot.
    pub fn occupy_slot(&mut self, now: MonotonicTime, idempotency_key: IdempotencyKey) {
        self.last_used_at = now;
        self.running.insert(idempotency_key);
    }

    /// Frees a slot, or keeps it while it is not known whether the runner is done.
    pub fn release_slot(
        &mut self,
        now: MonotonicTime,
        idempotency_key: &IdempotencyKey,
        deadline: MonotonicTime,
        is_resolved: bool,
    ) {
        self.last_used_at = now;
        self.running.remove(idempotency_key);
        if is_resolved {
            self.consecutive_losses = 0;
        } else {
            self.consecutive_losses += 1;
            if self.consecutive_losses >= REPLACE_AFTER_LOSSES {
                self.replace_since.get_or_insert(now);
            }
            let until = deadline.min(now + LOST_SEND_SLOT_HOLD);
            self.unresolved.insert(
                idempotency_key.clone(),
                UnresolvedSend { since: now, until },
            );
            self.next_check_at = now + RUNNING_LIST_INTERVAL;
        }
    }

    /// An answered transaction widens the ramp by one, up to what the runner was started for.
    pub fn widen_limit(&mut self, slots: u32) {
        let upper_limit = self.slots.min(slots).max(1);
        self.limit = self.limit.saturating_add(1).min(upper_limit);
    }

    /// Frees the slots of transactions that the runner is no longer running.
    pub fn resolve_not_running(&mut self, now: MonotonicTime, running: &[IdempotencyKey]) {
        self.probe_pending = false;
        self.unresolved.retain(|idempotency_key, unresolved| {
            running.contains(idempotency_key) || now.since(unresolved.since) < RUNNING_LIST_INTERVAL
        });
    }
}

impl RunnerRecord {
    /// Frees the slots of lost answers by time alone.
    fn expire_unresolved(&mut self, now: MonotonicTime) {
        self.unresolved
            .retain(|_, unresolved| now < unresolved.until);
    }

    /// When something is to be looked at again; none when it is no sooner than the next look at all.
    fn next_due(&self, lists_running: bool) -> Option<MonotonicTime> {
        let unresolved_until = self
            .unresolved
            .values()
            .map(|unresolved| unresolved.until)
            .min()
            .filter(|_| !lists_running);
        let throttled_until = self.throttle.map(|(until, _)| until);
        let check_at = match self.phase {
            Phase::StartingUp if !self.probe_pending => Some(self.next_check_at),
            Phase::Draining if self.busy_count() == 0 => Some(self.since),
            _ => None,
        };
        [unresolved_until, throttled_until, check_at]
            .into_iter()
            .flatten()
            .min()
    }
}

impl Holder {
    /// When it is to be looked at again, if that is soon.
    pub fn next_due(&self) -> Option<MonotonicTime> {
        let runners_due = self
            .runners
            .values()
            .filter_map(|record| record.next_due(self.tuning.lists_running))
            .min();
        [runners_due, self.queue_due()].into_iter().flatten().min()
    }

    pub(super) fn stop_runner(&mut self, now: MonotonicTime, runner: RunnerId) {
        let Some(record) = self.runners.get_mut(&runner) else {
            return;
        };
        if record.phase != Phase::Stopping {
            record.phase = Phase::Stopping;
            record.since = now;
            record.next_check_at = now + STOP_RETRY_INTERVAL;
            let output = record.stop_output(runner);
            self.outputs.push(output);
        }
    }

    pub(super) fn replace_failed_runner(&mut self, now: MonotonicTime, runner: RunnerId) {
        self.stop_runner(now, runner);
    }

    /// Probes what boots, settles what hangs, stops what is done or will not be.
    pub(super) fn check_runners(&mut self, now: MonotonicTime) {
        let startup_timeout = self.spec.startup * 3 + START_TIMEOUT;
        let mut stopped_runners: Vec<RunnerId> = Vec::new();
        for (runner, record) in &mut self.runners {
            if record.throttle.is_some_and(|(until, _)| now >= until) {
                record.throttle = None;
            }
            if !self.tuning.lists_running {
                record.expire_unresolved(now);
            }
            match record.phase {
                Phase::StartRequested if now.since(record.started_at) > START_TIMEOUT => {
                    stopped_runners.push(*runner);
                }
                Phase::StartRequested
                    if record
                        .start_retry_at
                        .is_some_and(|start_retry_at| now >= start_retry_at) =>
                {
                    record.start_retry_at = None;
                    self.outputs.push(HolderOutput::Start {
                        runner: *runner,
                        worker: record.worker.clone(),
                        spec: self.spec.clone(),
                    });
                }
                Phase::StartingUp if now.since(record.started_at) > startup_timeout => {
                    stopped_runners.push(*runner);
                }
                Phase::StartingUp if now >= record.next_check_at && !record.probe_pending => {
                    record.next_check_at = now + PROBE_INTERVAL;
                    record.probe_pending = true;
                    if let Some(address) = record.address() {
                        self.outputs.push(HolderOutput::Probe {
                            runner: *runner,
                            address,
                        });
                    }
                }
                Phase::Draining if record.busy_count() == 0 => stopped_runners.push(*runner),
                Phase::Stopping if now >= record.next_check_at => {
                    record.next_check_at = now + STOP_RETRY_INTERVAL;
                    self.outputs.push(record.stop_output(*runner));
                }
                Phase::Ready | Phase::Draining => {
                    let oldest_unresolved = record
                        .unresolved
                        .values()
                        .map(|unresolved| unresolved.since)
                        .min();
                    let is_hung = oldest_unresolved
                        .is_some_and(|since| now.since(since) > UNRESOLVED_TIMEOUT);
                    if is_hung || record.consecutive_losses >= MAX_CONSECUTIVE_LOSSES {
                        stopped_runners.push(*runner);
                    } else if self.tuning.lists_running
                        && oldest_unresolved.is_some()
                        && now >= record.next_check_at
                    {
                        record.next_check_at = now + RUNNING_LIST_INTERVAL;
                        if let Some(address) = record.address() {
                            self.outputs.push(HolderOutput::ListRunning {
                                runner: *runner,
                                address,
                            });
                        }
                    }
                }
                _ => {}
            }
        }
        for runner in stopped_runners {
            self.stop_runner(now, runner);
        }
    }
}
