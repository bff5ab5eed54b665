//! Reservations of worker memory for runners, indexed by function, instance and worker.

use common::clock::MonotonicTime;
use common::frames::{ClaimedRunner, Flag, Instance, LengthPrefixed};
use common::identity::{FunctionKey, InstanceId, RunnerId, WorkerName};
use std::collections::btree_map::Iter;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of ended runners, of ended instances and of former names that are remembered.
const MAX_ENDED_REMEMBERED: usize = 8192;

/// Who is responsible for a runner. A runner marked as stopping stays in that state until it has ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Ownership {
    /// The holder of its function is responsible.
    Held,
    /// No member holds it; the next holder may adopt it.
    Orphaned { since: MonotonicTime },
    /// It has to stop. `ordered_at` is when the platform was last ordered to stop it.
    Stopping { ordered_at: Option<MonotonicTime> },
}

/// The memory reserved for one runner, and the runner's state.
pub(super) struct Reservation {
    pub function: FunctionKey,
    pub worker: WorkerName,
    pub memory_mb: u32,
    pub instance: Option<Instance>,
    pub started_at: MonotonicTime,
    pub ready: bool,
    pub draining: bool,
    ownership: Ownership,
    /// Whether it is unknown under which of the function's keys it was started, because the platform did not report it.
    pub key_unknown: bool,
}

impl Reservation {
    /// Creates the reservation of a runner that has not started yet.
    pub(super) fn new(function: FunctionKey, worker: WorkerName, memory_mb: u32) -> Self {
        Self {
            function,
            worker,
            memory_mb,
            instance: None,
            started_at: MonotonicTime::ZERO,
            ready: false,
            draining: false,
            ownership: Ownership::Held,
            key_unknown: false,
        }
    }

    /// Whether the next holder can adopt it: it is ready, has an instance and neither drains nor stops.
    pub(super) fn is_adoptable(&self) -> bool {
        self.ready && !self.draining && !self.is_stopping() && self.instance.is_some()
    }

    /// Whether it is not draining, stopping or orphaned.
    pub(super) fn is_staying(&self) -> bool {
        !self.draining && self.ownership == Ownership::Held
    }

    /// Whether no member holds it, and the next holder may adopt it.
    pub(super) fn is_orphaned(&self) -> bool {
        self.orphaned_since().is_some()
    }

    /// Whether it has to stop.
    pub(super) fn is_stopping(&self) -> bool {
        matches!(self.ownership, Ownership::Stopping { .. })
    }

    /// Returns since when it has been orphaned.
    pub(super) fn orphaned_since(&self) -> Option<MonotonicTime> {
        match self.ownership {
            Ownership::Orphaned { since } => Some(since),
            Ownership::Held | Ownership::Stopping { .. } => None,
        }
    }

    /// Returns when its stop was last ordered.
    pub(super) fn stop_ordered_at(&self) -> Option<MonotonicTime> {
        match self.ownership {
            Ownership::Stopping { ordered_at } => ordered_at,
            Ownership::Held | Ownership::Orphaned { .. } => None,
        }
    }

    /// Returns the runner in the form in which its next holder receives it.
    pub(super) fn as_claim(&self, runner: RunnerId) -> ClaimedRunner {
        ClaimedRunner {
            runner,
            worker: self.worker.clone(),
            memory_mb: self.memory_mb,
            instance: LengthPrefixed(self.instance.iter().cloned().collect()),
            is_adoptable: Flag(true),
        }
    }
}

/// All reservations, indexed by runner, function and instance. An instance belongs to at most one reservation.
#[derive(Default)]
pub(super) struct Reservations {
    all: BTreeMap<RunnerId, Reservation>,
    by_function: BTreeMap<FunctionKey, BTreeSet<RunnerId>>,
    by_instance: BTreeMap<InstanceId, RunnerId>,
    reserved_mb_by_worker: BTreeMap<WorkerName, u64>,
    runner_count_by_worker: BTreeMap<WorkerName, usize>,
    stopping: BTreeSet<RunnerId>,
    due_stops: BTreeSet<RunnerId>,
    orphaned: BTreeSet<RunnerId>,
    renamed: BTreeMap<RunnerId, RunnerId>,
    ended_runners: BTreeSet<RunnerId>,
    ended_instances: BTreeSet<InstanceId>,
    ended_instances_by_age: VecDeque<InstanceId>,
}

impl Reservations {
    /// Iterates over all reservations, ordered by runner.
    pub(super) fn iter(&self) -> Iter<'_, RunnerId, Reservation> {
        self.all.iter()
    }

    /// Iterates over all reservations.
    pub(super) fn values(&self) -> impl Iterator<Item = &Reservation> {
        self.all.values()
    }

    /// Returns the number of reservations.
    pub(super) fn len(&self) -> usize {
        self.all.len()
    }

    /// Returns the reservation of a runner.
    pub(super) fn get(&self, runner: RunnerId) -> Option<&Reservation> {
        self.all.get(&runner)
    }

    /// Returns the current name of a runner, which changes with each adoption.
    pub(super) fn current_name(&self, runner: RunnerId) -> RunnerId {
        let mut current_name = runner;
        while let Some(new_name) = self.renamed.get(&current_name) {
            current_name = *new_name;
        }
        current_name
    }

    /// Iterates over the runners of a function and their reservations.
    pub(super) fn all_of(
        &self,
        function: &FunctionKey,
    ) -> impl Iterator<Item = (RunnerId, &Reservation)> {
        let runners = self.by_function.get(function).into_iter().flatten();
        runners.filter_map(|runner| Some((*runner, self.all.get(runner)?)))
    }

    /// Returns the runners of a function that may have been started under any of its keys.
    pub(super) fn with_unknown_key(&self, function: &FunctionKey) -> Vec<RunnerId> {
        let all_regions = function.all_regions();
        let unkeyed_runners = self
            .all_of(&all_regions)
            .filter(|(_, reservation)| reservation.key_unknown);
        unkeyed_runners.map(|(runner, _)| runner).collect()
    }

    /// Counts the staying runners of a function under all its keys.
    pub(super) fn staying_count(&self, function: &FunctionKey) -> usize {
        let keys = self.by_function.range(function.all_regions()..);
        let own_keys = keys.take_while(|(key, _)| key.is_same_function(function));
        let runners = own_keys.flat_map(|(_, runners)| runners);
        runners
            .filter_map(|runner| self.all.get(runner))
            .filter(|reservation| reservation.is_staying())
            .count()
    }

    /// Returns the runner that an instance belongs to.
    pub(super) fn runner_with_instance(&self, instance: &InstanceId) -> Option<RunnerId> {
        self.by_instance.get(instance).copied()
    }

    /// Whether a runner, or its instance, is known to have ended.
    pub(super) fn has_ended(&self, runner: RunnerId, instance: Option<&InstanceId>) -> bool {
        self.ended_runners.contains(&runner)
            || instance.is_some_and(|name| self.has_instance_ended(name))
    }

    /// Whether an instance is known to have ended.
    pub(super) fn has_instance_ended(&self, instance: &InstanceId) -> bool {
        self.ended_instances.contains(instance)
    }

    /// Returns the reserved memory of each worker, in MiB.
    pub(super) fn reserved_mb(&self) -> &BTreeMap<WorkerName, u64> {
        &self.reserved_mb_by_worker
    }

    /// Returns the runners that have to stop.
    pub(super) fn stopping(&self) -> &BTreeSet<RunnerId> {
        &self.stopping
    }

    /// Takes the runners whose stop has to be ordered now.
    pub(super) fn take_due_stops(&mut self) -> BTreeSet<RunnerId> {
        std::mem::take(&mut self.due_stops)
    }

    /// Returns the orphaned runners.
    pub(super) fn orphaned(&self) -> &BTreeSet<RunnerId> {
        &self.orphaned
    }

    /// Adds a reservation. If its instance belongs to another one, that one is replaced.
    pub(super) fn insert(&mut self, runner: RunnerId, mut reservation: Reservation) {
        self.remove(runner);
        let instance = reservation.instance.take();
        let ownership = std::mem::replace(&mut reservation.ownership, Ownership::Held);
        self.by_function
            .entry(reservation.function.clone())
            .or_default()
            .insert(runner);
        *self
            .reserved_mb_by_worker
            .entry(reservation.worker.clone())
            .or_default() += u64::from(reservation.memory_mb);
        *self
            .runner_count_by_worker
            .entry(reservation.worker.clone())
            .or_default() += 1;
        let started_at = reservation.started_at;
        self.all.insert(runner, reservation);
        if let Some(instance) = instance {
            self.note_started(runner, instance, started_at);
        }
        match ownership {
            Ownership::Held => {}
            Ownership::Orphaned { since } => self.mark_orphaned(runner, since),
            Ownership::Stopping { .. } => self.mark_stopping(runner),
        }
    }

    /// Records the instance of a runner. Another runner with this instance is the same runner under an earlier name
    /// and is replaced.
    pub(super) fn note_started(
        &mut self,
        runner: RunnerId,
        instance: Instance,
        started_at: MonotonicTime,
    ) {
        if !self.all.contains_key(&runner) {
            return;
        }
        if let Some(other) = self
            .by_instance
            .get(&instance.name)
            .copied()
            .filter(|other| *other != runner)
        {
            self.remove(other);
            self.rename(other, runner);
        }
        let Some(reservation) = self.all.get_mut(&runner) else {
            return;
        };
        if let Some(earlier) = reservation
            .instance
            .take_if(|earlier| earlier.name != instance.name)
        {
            self.by_instance.remove(&earlier.name);
        }
        if reservation.instance.is_none() {
            reservation.started_at = started_at;
        }
        self.by_instance.insert(instance.name.clone(), runner);
        reservation.instance = Some(instance);
    }

    fn rename(&mut self, earlier: RunnerId, later: RunnerId) {
        self.renamed.insert(earlier, later);
        if self.renamed.len() > MAX_ENDED_REMEMBERED {
            self.renamed.pop_first();
        }
    }

    /// Changes fields that no index depends on. The function, the instance, the worker and the ownership must not be
    /// changed this way.
    pub(super) fn update(&mut self, runner: RunnerId, change: impl FnOnce(&mut Reservation)) {
        if let Some(reservation) = self.all.get_mut(&runner) {
            change(reservation);
        }
    }

    /// Marks a runner as stopping, so that it can no longer be adopted, and schedules the stop order.
    pub(super) fn mark_stopping(&mut self, runner: RunnerId) {
        if let Some(reservation) = self.all.get_mut(&runner) {
            let ordered_at = reservation.stop_ordered_at();
            reservation.ownership = Ownership::Stopping { ordered_at };
            self.orphaned.remove(&runner);
            self.stopping.insert(runner);
            self.due_stops.insert(runner);
        }
    }

    /// Marks a runner as orphaned: no member holds it, and the next holder may adopt it.
    pub(super) fn mark_orphaned(&mut self, runner: RunnerId, now: MonotonicTime) {
        if let Some(reservation) = self.all.get_mut(&runner) {
            let since = reservation.orphaned_since().unwrap_or(now);
            reservation.ownership = Ownership::Orphaned { since };
            self.orphaned.insert(runner);
        }
    }

    /// Records that the stop of a runner was ordered; the order is repeated if it is not confirmed.
    pub(super) fn note_stop_ordered(&mut self, runner: RunnerId, now: MonotonicTime) {
        if let Some(reservation) = self.all.get_mut(&runner) {
            let ordered_at = Some(now);
            reservation.ownership = Ownership::Stopping { ordered_at };
        }
    }

    /// Adopts an orphaned runner under a new lease, which gives it a new name.
    pub(super) fn adopt(&mut self, orphaned_runner: RunnerId, runner: RunnerId) {
        let Some(mut reservation) = self.remove(orphaned_runner) else {
            return;
        };
        reservation.ownership = Ownership::Held;
        reservation.key_unknown = false;
        self.insert(runner, reservation);
        self.rename(orphaned_runner, runner);
    }

    /// Adopts a runner but also leaves it adoptable by others, which [`Rule::InstanceAdoptedOnce`] forbids.
    ///
    /// [`Rule::InstanceAdoptedOnce`]: common::rules::Rule::InstanceAdoptedOnce
    pub(super) fn adopt_without_transfer(&mut self, orphaned_runner: RunnerId, runner: RunnerId) {
        let Some(orphaned) = self.all.get(&orphaned_runner) else {
            return;
        };
        let (function, worker) = (orphaned.function.clone(), orphaned.worker.clone());
        let instance = orphaned.instance.clone();
        let mut reservation = Reservation::new(function, worker, orphaned.memory_mb);
        reservation.ready = true;
        self.insert(runner, reservation);
        self.update(runner, |reservation| reservation.instance = instance);
        self.update(orphaned_runner, |reservation| {
            // In the future, so that the orphan does not time out.
            let since = MonotonicTime(u64::MAX);
            reservation.ownership = Ownership::Orphaned { since };
        });
    }

    /// Removes and returns a reservation.
    pub(super) fn remove(&mut self, runner: RunnerId) -> Option<Reservation> {
        let reservation = self.all.remove(&runner)?;
        if let Some(runners) = self.by_function.get_mut(&reservation.function) {
            runners.remove(&runner);
            if runners.is_empty() {
                self.by_function.remove(&reservation.function);
            }
        }
        if let Some(instance) = &reservation.instance
            && self.by_instance.get(&instance.name) == Some(&runner)
        {
            self.by_instance.remove(&instance.name);
        }
        if let Some(reserved_sum) = self.reserved_mb_by_worker.get_mut(&reservation.worker) {
            *reserved_sum = reserved_sum.saturating_sub(u64::from(reservation.memory_mb));
        }
        if let Some(count) = self.runner_count_by_worker.get_mut(&reservation.worker) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.runner_count_by_worker.remove(&reservation.worker);
                self.reserved_mb_by_worker.remove(&reservation.worker);
            }
        }
        self.stopping.remove(&runner);
        self.due_stops.remove(&runner);
        self.orphaned.remove(&runner);
        Some(reservation)
    }

    /// Removes the reservation of a runner that has ended, and remembers that it and its instance have ended.
    pub(super) fn end(&mut self, runner: RunnerId) -> Option<Reservation> {
        self.ended_runners.insert(runner);
        if self.ended_runners.len() > MAX_ENDED_REMEMBERED {
            self.ended_runners.pop_first();
        }
        let reservation = self.remove(runner)?;
        if let Some(instance) = &reservation.instance {
            self.ended_instances.insert(instance.name.clone());
            self.ended_instances_by_age.push_back(instance.name.clone());
            if self.ended_instances_by_age.len() > MAX_ENDED_REMEMBERED
                && let Some(oldest) = self.ended_instances_by_age.pop_front()
            {
                self.ended_instances.remove(&oldest);
            }
        }
        Some(reservation)
    }
}
