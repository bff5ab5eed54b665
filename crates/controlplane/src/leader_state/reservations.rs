//! Reservations: the memory of workers that runners use, with indexes by function, instance and worker.

use common::clock::MonotonicTime;
use common::frames::{ClaimedRunner, Flag, Instance, LengthPrefixed};
use common::identity::{FunctionKey, InstanceId, RunnerId, WorkerName};
use std::collections::btree_map::Iter;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How many ended runners, ended instances and former names are remembered at most.
const MAX_ENDED_REMEMBERED: usize = 8192;

/// Who answers for a runner. A runner that has to stop stays so until it has ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Ownership {
    /// The holder of its function.
    Held,
    /// Nobody; the next holder may adopt it.
    Orphaned { since: MonotonicTime },
    /// Nobody; it has to stop. `ordered_at` is when the platform was last requested to stop it.
    Stopping { ordered_at: Option<MonotonicTime> },
}

/// The memory reserved for one runner, and what is known of the runner.
pub(super) struct Reservation {
    pub function: FunctionKey,
    pub worker: WorkerName,
    pub memory_mb: u32,
    pub instance: Option<Instance>,
    pub started_at: MonotonicTime,
    pub ready: bool,
    pub draining: bool,
    ownership: Ownership,
    /// Whether the platform did not report under which of the function's keys it was started.
    pub key_unknown: bool,
}

impl Reservation {
    /// A runner that has not started yet.
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

    /// Whether the next holder can adopt it as it stands.
    pub(super) fn is_adoptable(&self) -> bool {
        self.ready && !self.draining && !self.is_stopping() && self.instance.is_some()
    }

    /// Whether it is neither draining nor stopping nor orphaned.
    pub(super) fn is_staying(&self) -> bool {
        !self.draining && self.ownership == Ownership::Held
    }

    /// Whether nobody holds it, and the next holder may adopt it.
    pub(super) fn is_orphaned(&self) -> bool {
        self.orphaned_since().is_some()
    }

    /// Whether it has to stop.
    pub(super) fn is_stopping(&self) -> bool {
        matches!(self.ownership, Ownership::Stopping { .. })
    }

    /// Since when nobody holds it.
    pub(super) fn orphaned_since(&self) -> Option<MonotonicTime> {
        match self.ownership {
            Ownership::Orphaned { since } => Some(since),
            Ownership::Held | Ownership::Stopping { .. } => None,
        }
    }

    /// When its stop was last ordered.
    pub(super) fn stop_ordered_at(&self) -> Option<MonotonicTime> {
        match self.ownership {
            Ownership::Stopping { ordered_at } => ordered_at,
            Ownership::Held | Ownership::Orphaned { .. } => None,
        }
    }

    /// The runner as its next holder gets it.
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

/// All reservations, by runner, function and instance. An instance is in at most one of them.
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
    /// All reservations, by runner.
    pub(super) fn iter(&self) -> Iter<'_, RunnerId, Reservation> {
        self.all.iter()
    }

    /// All reservations.
    pub(super) fn values(&self) -> impl Iterator<Item = &Reservation> {
        self.all.values()
    }

    /// How many runners there are.
    pub(super) fn len(&self) -> usize {
        self.all.len()
    }

    /// The reservation of a runner.
    pub(super) fn get(&self, runner: RunnerId) -> Option<&Reservation> {
        self.all.get(&runner)
    }

    /// The name that a runner goes by after adoptions.
    pub(super) fn current_name(&self, runner: RunnerId) -> RunnerId {
        let mut current_name = runner;
        while let Some(new_name) = self.renamed.get(&current_name) {
            current_name = *new_name;
        }
        current_name
    }

    /// The runners of a function with their reservations.
    pub(super) fn all_of(
        &self,
        function: &FunctionKey,
    ) -> impl Iterator<Item = (RunnerId, &Reservation)> {
        let runners = self.by_function.get(function).into_iter().flatten();
        runners.filter_map(|runner| Some((*runner, self.all.get(runner)?)))
    }

    /// The runners of a function that may have been started under any of its keys.
    pub(super) fn with_unknown_key(&self, function: &FunctionKey) -> Vec<RunnerId> {
        let all_regions = function.all_regions();
        let unkeyed_runners = self
            .all_of(&all_regions)
            .filter(|(_, reservation)| reservation.key_unknown);
        unkeyed_runners.map(|(runner, _)| runner).collect()
    }

    /// How many staying runners a function has under all its keys.
    pub(super) fn staying_count(&self, function: &FunctionKey) -> usize {
        let keys = self.by_function.range(function.all_regions()..);
        let own_keys = keys.take_while(|(key, _)| key.is_same_function(function));
        let runners = own_keys.flat_map(|(_, runners)| runners);
        runners
            .filter_map(|runner| self.all.get(runner))
            .filter(|reservation| reservation.is_staying())
            .count()
    }

    /// The runner that has an instance.
    pub(super) fn runner_with_instance(&self, instance: &InstanceId) -> Option<RunnerId> {
        self.by_instance.get(instance).copied()
    }

    /// Whether a runner is known to have ended.
    pub(super) fn has_ended(&self, runner: RunnerId, instance: Option<&InstanceId>) -> bool {
        self.ended_runners.contains(&runner)
            || instance.is_some_and(|name| self.has_instance_ended(name))
    }

    /// Whether an instance is known to have ended.
    pub(super) fn has_instance_ended(&self, instance: &InstanceId) -> bool {
        self.ended_instances.contains(instance)
    }

    /// The memory in MiB that is reserved on each worker.
    pub(super) fn reserved_mb(&self) -> &BTreeMap<WorkerName, u64> {
        &self.reserved_mb_by_worker
    }

    /// The runners that have to stop.
    pub(super) fn stopping(&self) -> &BTreeSet<RunnerId> {
        &self.stopping
    }

    /// Takes the runners whose stop has to be ordered now.
    pub(super) fn take_due_stops(&mut self) -> BTreeSet<RunnerId> {
        std::mem::take(&mut self.due_stops)
    }

    /// The runners that wait for a next holder.
    pub(super) fn orphaned(&self) -> &BTreeSet<RunnerId> {
        &self.orphaned
    }

    /// Adds a reservation; an instance that another one has moves here.
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

    /// The instance of a runner is known. If another runner had it, that one was the same under an earlier
    /// name.
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

    /// Changes fields that no index depends on: neither name, function, instance, worker nor whether it is
    /// stopped or orphaned.
    pub(super) fn update(&mut self, runner: RunnerId, change: impl FnOnce(&mut Reservation)) {
        if let Some(reservation) = self.all.get_mut(&runner) {
            change(reservation);
        }
    }

    /// Marks a runner for stopping; nobody adopts it any more.
    pub(super) fn mark_stopping(&mut self, runner: RunnerId) {
        if let Some(reservation) = self.all.get_mut(&runner) {
            let ordered_at = reservation.stop_ordered_at();
            reservation.ownership = Ownership::Stopping { ordered_at };
            self.orphaned.remove(&runner);
            self.stopping.insert(runner);
            self.due_stops.insert(runner);
        }
    }

    /// Marks a runner as orphaned: nobody holds it, and the next holder may adopt it.
    pub(super) fn mark_orphaned(&mut self, runner: RunnerId, now: MonotonicTime) {
        if let Some(reservation) = self.all.get_mut(&runner) {
            let since = reservation.orphaned_since().unwrap_or(now);
            reservation.ownership = Ownership::Orphaned { since };
            self.orphaned.insert(runner);
        }
    }

    /// The stop of a runner has been ordered; it is ordered again if it is not confirmed.
    pub(super) fn note_stop_ordered(&mut self, runner: RunnerId, now: MonotonicTime) {
        if let Some(reservation) = self.all.get_mut(&runner) {
            let ordered_at = Some(now);
            reservation.ownership = Ownership::Stopping { ordered_at };
        }
    }

    /// Gives an orphaned runner a new name, under a new lease.
    pub(super) fn adopt(&mut self, orphaned_runner: RunnerId, runner: RunnerId) {
        let Some(mut reservation) = self.remove(orphaned_runner) else {
            return;
        };
        reservation.ownership = Ownership::Held;
        reservation.key_unknown = false;
        self.insert(runner, reservation);
        self.rename(orphaned_runner, runner);
    }

    /// Adopts a runner and leaves it for others all the same: what the rule of single adoption rules out.
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
            let since = MonotonicTime(u64::MAX);
            reservation.ownership = Ownership::Orphaned { since };
        });
    }

    /// Removes a reservation.
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

    /// A runner has ended for good.
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
