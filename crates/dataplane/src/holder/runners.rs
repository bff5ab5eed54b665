//! The runners of a holder: their phases, slots and due looks.

use super::{Holder, HolderOutput};
use common::clock::Moment;
use common::frames::{ClaimRunner, Flag, Life, Many, Place};
use common::identity::{RunnerId, TransactionId, WorkerName};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const PROBE_EVERY: Duration = Duration::from_millis(20);
/// A lost answer keeps its slot so long where a runner cannot be asked what it is running.
const LOST_KEEPS_SLOT: Duration = Duration::from_millis(400);
/// A runner that refused more than we know of gets nothing more for so long.
const HELD_DOWN: Duration = Duration::from_millis(200);
const SETTLE_EVERY: Duration = Duration::from_millis(250);
const STOP_AGAIN_AFTER: Duration = Duration::from_millis(600);
const ORDER_AGAIN_AFTER: Duration = Duration::from_millis(150);
const START_PATIENCE: Duration = Duration::from_secs(3);
const HUNG_PATIENCE: Duration = Duration::from_secs(6);
const MOST_LOST: u32 = 5;
/// A runner that owes so many answers in a row is replaced.
const UNFIT_LOST: u32 = 2;

/// Where a runner is in its life.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    /// The platform was asked to start it.
    Starting,
    /// It is started, and not yet ready.
    Booting,
    /// It takes transactions.
    Ready,
    /// It finishes what it has.
    Draining,
    /// The platform was asked to stop it.
    Stopping,
    /// It is left as it stands to the next holder.
    Left,
}

#[derive(Clone, Copy)]
struct Hung {
    since: Moment,
    until: Moment,
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
    pub life: Option<Life>,
    /// When it was asked for.
    pub started_at: Moment,
    /// Since when it is in its phase.
    pub since: Moment,
    /// When a transaction last ended on it.
    pub used_at: Moment,
    /// How many transactions it was started to run at once.
    pub slots: u32,
    /// How many transactions it may have at once for now.
    pub limit: u32,
    /// Whether a probe is out.
    pub probe_pending: bool,
    /// Since when it is to be drained as soon as another can take over.
    pub unfit_since: Option<Moment>,
    running: BTreeSet<TransactionId>,
    hung: BTreeMap<TransactionId, Hung>,
    held_down: Option<(Moment, u32)>,
    lost_in_row: u32,
    next_look_at: Moment,
    order_at: Option<Moment>,
}

impl RunnerRecord {
    /// A runner that the platform is asked to start.
    pub fn starting(now: Moment, worker: WorkerName, memory_mb: u32, slots: u32) -> Self {
        Self {
            worker,
            memory_mb,
            phase: Phase::Starting,
            life: None,
            started_at: now,
            since: now,
            used_at: now,
            slots,
            limit: 1,
            probe_pending: false,
            unfit_since: None,
            running: BTreeSet::new(),
            hung: BTreeMap::new(),
            held_down: None,
            lost_in_row: 0,
            next_look_at: now,
            order_at: None,
        }
    }

    /// A runner taken over as it stands; its earlier holder's transactions may still run there, so it
    /// begins with half of its slots.
    pub fn adopted(now: Moment, listed: ClaimRunner, slots: u32) -> Option<Self> {
        let life = listed.life.0.into_iter().next()?;
        let mut record = Self::starting(now, listed.worker, listed.memory_mb, slots);
        record.phase = Phase::Ready;
        record.life = Some(life);
        record.limit = (slots / 2).max(1);
        Some(record)
    }

    /// Where it listens.
    pub fn place(&self) -> Option<Place> {
        self.life.as_ref().map(|life| life.place)
    }

    /// The order to start it is to be repeated.
    pub fn order_again(&mut self, now: Moment) {
        self.order_at = Some(now + ORDER_AGAIN_AFTER);
    }

    /// Whether the next holder may take it over as it stands.
    pub fn may_be_left(&self) -> bool {
        let is_healthy = self.lost_in_row < 2;
        self.phase == Phase::Left || (self.is_fit() && self.life.is_some() && is_healthy)
    }

    fn stop_order(&self, runner: RunnerId) -> HolderOutput {
        HolderOutput::Stop {
            runner,
            worker: self.worker.clone(),
            life: self.life.as_ref().map(|life| life.name.clone()),
        }
    }

    /// How the leader is told of it.
    pub fn as_claim(&self, runner: RunnerId) -> ClaimRunner {
        ClaimRunner {
            runner,
            worker: self.worker.clone(),
            memory_mb: self.memory_mb,
            life: Many(self.life.iter().cloned().collect()),
            fit: Flag(self.may_be_left()),
        }
    }

    /// Slots in use, those of lost answers included.
    pub fn busy_count(&self) -> usize {
        self.running.len() + self.hung.len()
    }

    /// Whether it is ready or will be, and stays so.
    pub fn is_coming_or_fit(&self) -> bool {
        matches!(self.phase, Phase::Starting | Phase::Booting | Phase::Ready)
            && self.unfit_since.is_none()
    }

    /// Whether it is ready and stays so.
    pub fn is_fit(&self) -> bool {
        self.phase == Phase::Ready && self.unfit_since.is_none()
    }

    /// How many transactions it may have at once now.
    pub fn limit_at(&self, now: Moment) -> u32 {
        match self.held_down {
            Some((until, held_limit)) if now < until => self.limit.min(held_limit),
            _ => self.limit,
        }
    }

    /// How many it will have at once within a few answers: its ramp widens fast.
    pub fn limit_soon(&self, now: Moment) -> u32 {
        match self.held_down {
            Some((until, held_limit)) if now < until => self.slots.min(held_limit),
            _ => self.slots,
        }
    }

    /// Whether one more transaction fits.
    pub fn has_free_slot(&self, now: Moment) -> bool {
        self.phase == Phase::Ready && self.busy_count() < self.limit_at(now) as usize
    }

    /// It refused one more than it has from here: others have the rest of its slots for now.
    pub fn refused(&mut self, now: Moment) {
        self.held_down = Some((now + HELD_DOWN, self.busy_count() as u32));
    }

    /// It is not asked whether it is ready before that.
    pub fn probe_from(&mut self, first_probe_at: Moment) {
        self.next_look_at = first_probe_at;
    }

    /// Takes a slot.
    pub fn begin_send(&mut self, now: Moment, transaction: TransactionId) {
        self.used_at = now;
        self.running.insert(transaction);
    }

    /// Frees a slot, or keeps it while it is not known whether the runner is done.
    pub fn send_ended(
        &mut self,
        now: Moment,
        transaction: &TransactionId,
        budget_end: Moment,
        is_settled: bool,
    ) {
        self.used_at = now;
        self.running.remove(transaction);
        if is_settled {
            self.lost_in_row = 0;
        } else {
            self.lost_in_row += 1;
            if self.lost_in_row >= UNFIT_LOST {
                self.unfit_since.get_or_insert(now);
            }
            let until = budget_end.min(now + LOST_KEEPS_SLOT);
            self.hung.insert(transaction.clone(), Hung { since: now, until });
            self.next_look_at = now + SETTLE_EVERY;
        }
    }

    /// An answered transaction widens the ramp by one, up to what the runner was started for.
    pub fn answered(&mut self, slots: u32) {
        let most = self.slots.min(slots).max(1);
        self.limit = self.limit.saturating_add(1).min(most);
    }

    /// Frees the slots of transactions that the runner is no longer running.
    pub fn settle(&mut self, now: Moment, running: &[TransactionId]) {
        self.probe_pending = false;
        self.hung.retain(|transaction, hung| {
            running.contains(transaction) || now.since(hung.since) < SETTLE_EVERY
        });
    }
}

impl RunnerRecord {
    /// Frees the slots of lost answers by time alone.
    fn settle_by_time(&mut self, now: Moment) {
        self.hung.retain(|_, hung| now < hung.until);
    }

    /// When something is to be looked at again; none when it is no sooner than the next look at all.
    fn next_due(&self, settles: bool) -> Option<Moment> {
        let hung_until = self.hung.values().map(|hung| hung.until).min().filter(|_| !settles);
        let held_until = self.held_down.map(|(until, _)| until);
        let look_at = match self.phase {
            Phase::Booting if !self.probe_pending => Some(self.next_look_at),
            Phase::Draining if self.busy_count() == 0 => Some(self.since),
            _ => None,
        };
        [hung_until, held_until, look_at].into_iter().flatten().min()
    }
}

impl Holder {
    /// When it is to be looked at again, if that is soon.
    pub fn next_due(&self) -> Option<Moment> {
        let runners_due =
            self.runners.values().filter_map(|record| record.next_due(self.tuning.settles)).min();
        [runners_due, self.inbox_due()].into_iter().flatten().min()
    }

    pub(super) fn stop_runner(&mut self, now: Moment, runner: RunnerId) {
        let Some(record) = self.runners.get_mut(&runner) else { return };
        if record.phase != Phase::Stopping {
            record.phase = Phase::Stopping;
            record.since = now;
            record.next_look_at = now + STOP_AGAIN_AFTER;
            let output = record.stop_order(runner);
            self.outputs.push(output);
        }
    }

    pub(super) fn runner_failed(&mut self, now: Moment, runner: RunnerId) {
        self.stop_runner(now, runner);
    }

    /// Probes what boots, settles what hangs, stops what is done or will not be.
    pub(super) fn watch_runners(&mut self, now: Moment) {
        let boot_patience = self.spec.boot * 3 + START_PATIENCE;
        let mut stopped_runners: Vec<RunnerId> = Vec::new();
        for (runner, record) in &mut self.runners {
            if record.held_down.is_some_and(|(until, _)| now >= until) {
                record.held_down = None;
            }
            if !self.tuning.settles {
                record.settle_by_time(now);
            }
            match record.phase {
                Phase::Starting if now.since(record.started_at) > START_PATIENCE => {
                    stopped_runners.push(*runner);
                }
                Phase::Starting if record.order_at.is_some_and(|order_at| now >= order_at) => {
                    record.order_at = None;
                    self.outputs.push(HolderOutput::Start {
                        runner: *runner,
                        worker: record.worker.clone(),
                        spec: self.spec.clone(),
                    });
                }
                Phase::Booting if now.since(record.started_at) > boot_patience => {
                    stopped_runners.push(*runner);
                }
                Phase::Booting if now >= record.next_look_at && !record.probe_pending => {
                    record.next_look_at = now + PROBE_EVERY;
                    record.probe_pending = true;
                    if let Some(place) = record.place() {
                        self.outputs.push(HolderOutput::Probe { runner: *runner, place });
                    }
                }
                Phase::Draining if record.busy_count() == 0 => stopped_runners.push(*runner),
                Phase::Stopping if now >= record.next_look_at => {
                    record.next_look_at = now + STOP_AGAIN_AFTER;
                    self.outputs.push(record.stop_order(*runner));
                }
                Phase::Ready | Phase::Draining => {
                    let oldest_hung = record.hung.values().map(|hung| hung.since).min();
                    let is_stuck =
                        oldest_hung.is_some_and(|since| now.since(since) > HUNG_PATIENCE);
                    if is_stuck || record.lost_in_row >= MOST_LOST {
                        stopped_runners.push(*runner);
                    } else if self.tuning.settles
                        && oldest_hung.is_some()
                        && now >= record.next_look_at
                    {
                        record.next_look_at = now + SETTLE_EVERY;
                        if let Some(place) = record.place() {
                            self.outputs.push(HolderOutput::Settle { runner: *runner, place });
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
