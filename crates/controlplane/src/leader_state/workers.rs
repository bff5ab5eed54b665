//! The platform's workers, and the reservation of their memory for runners.

use super::reservations::Reservation;
use super::{EventDetail, LeaderState, StreamId};
use common::adapter::ListedWorker;
use common::clock::MonotonicTime;
use common::events;
use common::frames::{KnownMember, LeaderToDaemon, ReserveResult};
use common::identity::{CorrelationId, FencingToken, FunctionKey, RunnerId, WorkerName, Zone};
use common::rules::Rule;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Minimum interval between events about a lack of worker memory.
const NO_CAPACITY_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The platform's workers.
#[derive(Default)]
pub(super) struct Workers {
    /// The workers in the platform's newest list.
    listed: BTreeMap<WorkerName, ListedWorker>,
    /// Whether the platform's list has arrived in this term.
    are_listed: bool,
    /// When each worker last refused to start a runner.
    start_refused_at: BTreeMap<WorkerName, MonotonicTime>,
    no_capacity_reported_at: MonotonicTime,
}

impl Workers {
    /// Whether the platform's list of workers has arrived in this term.
    pub(super) fn are_listed(&self) -> bool {
        self.are_listed
    }

    /// Returns a worker of the platform's list.
    pub(super) fn get(&self, worker: &WorkerName) -> Option<&ListedWorker> {
        self.listed.get(worker)
    }

    /// Iterates over the platform's workers, ordered by name.
    pub(super) fn iter(&self) -> impl Iterator<Item = &ListedWorker> {
        self.listed.values()
    }

    /// Records that a worker refused to start a runner, so that it gets no new runners for a while.
    pub(super) fn note_refused_start(&mut self, now: MonotonicTime, worker: WorkerName) {
        self.start_refused_at.insert(worker, now);
    }
}

impl LeaderState {
    /// Replaces the list of workers by a new one from the platform.
    pub fn handle_worker_list(&mut self, listed_workers: Vec<ListedWorker>) {
        self.workers.are_listed = true;
        self.workers.listed = listed_workers
            .into_iter()
            .map(|listed| (listed.worker.clone(), listed))
            .collect();
        self.drain_from_unusable_workers();
    }

    /// Whether new runners may be placed on a worker: it is listed, is not draining or being evacuated, and is not in
    /// an evacuated zone.
    pub(super) fn is_worker_usable(&self, worker: &WorkerName) -> bool {
        !self.evacuation.is_evacuating(worker)
            && self.workers.get(worker).is_some_and(|listed| {
                let is_draining = listed.draining && self.rules.enforces(Rule::DrainObeyed);
                !is_draining && !self.is_evacuated(&listed.zone)
            })
    }

    /// Returns the reserved memory of each worker in use, in MiB.
    pub(super) fn reserved_mb(&self) -> &BTreeMap<WorkerName, u64> {
        self.reservations.reserved_mb()
    }

    /// Handles a holder's request for the memory of one more runner.
    pub(super) fn handle_reserve(
        &mut self,
        now: MonotonicTime,
        stream: StreamId,
        correlation: CorrelationId,
        function: FunctionKey,
        fencing_token: FencingToken,
    ) {
        let reserved = self.reserve(now, stream, &function, fencing_token);
        let frame = LeaderToDaemon::Reserved {
            correlation,
            function,
            result: reserved.unwrap_or(ReserveResult::Rejected),
        };
        self.send_frame(stream, frame);
    }

    fn reserve(
        &mut self,
        now: MonotonicTime,
        stream: StreamId,
        function: &FunctionKey,
        fencing_token: FencingToken,
    ) -> Option<ReserveResult> {
        let requester = self.members.on_stream(stream)?;
        if !self.may_reserve(now, requester, function, fencing_token) {
            return None;
        }
        let spec = &self.configuration.table.function_of(function)?.spec;
        let needed_mb = spec.memory_mb;
        if !self.is_below_max_runners(function, spec.max_runners as usize) {
            return None;
        }
        let holder_record = self.members.get(requester);
        let holder_zone = holder_record.map(|record| record.host.zone.clone());
        let has_runner = self
            .reservations
            .all_of(function)
            .any(|(_, reservation)| reservation.is_staying());
        if has_runner && self.is_other_function_starved(now, function) {
            return None;
        }
        let chosen_worker = self.choose_worker(now, function, needed_mb, holder_zone.as_ref());
        let Some(worker) = chosen_worker else {
            self.relieve_memory_pressure(now, function, needed_mb, has_runner);
            return None;
        };
        self.pressure.starved_functions.remove(function);
        let runner = RunnerId {
            fencing_token,
            ordinal: self.next_fencing_token().0,
        };
        let reservation = Reservation::new(function.clone(), worker.clone(), needed_mb);
        self.reservations.insert(runner, reservation);
        Some(ReserveResult::Reserved {
            runner,
            worker,
            memory_mb: needed_mb,
        })
    }

    /// Whether a member may reserve memory: it holds the function under this lease and has a session lease.
    fn may_reserve(
        &self,
        now: MonotonicTime,
        requester: &KnownMember,
        function: &FunctionKey,
        fencing_token: FencingToken,
    ) -> bool {
        let is_holder = self.lease_records.get(function).is_some_and(|entry| {
            entry.holder == *requester
                && entry.fencing_token == fencing_token
                && entry.fencing_since.is_none()
        });
        is_holder && self.claims.is_reached && self.has_lease(requester, now)
    }

    /// Frees memory when no usable worker has room for a runner: cancels the evacuation of a worker, stops orphans,
    /// evicts idle functions, and reclaims a runner if the function has none. The holder retries its request.
    fn relieve_memory_pressure(
        &mut self,
        now: MonotonicTime,
        function: &FunctionKey,
        needed_mb: u32,
        has_runner: bool,
    ) {
        if now.since(self.workers.no_capacity_reported_at) > NO_CAPACITY_REPORT_INTERVAL {
            self.workers.no_capacity_reported_at = now;
            let detail = EventDetail::MissingMemory {
                function: function.clone(),
                memory_mb: needed_mb,
            };
            self.record_event(events::NO_WORKER_CAPACITY, detail);
        }
        self.evacuation.cancel();
        self.stop_orphans(function);
        self.evict_idle_functions(now, function, needed_mb);
        if !has_runner {
            self.reclaim_runner(now, function, needed_mb);
        }
    }

    /// Whether the function may get one more runner within its limit, which covers all its keys together. If all its
    /// runners are under one key, the holder of that key checks the limit itself.
    fn is_below_max_runners(&self, function: &FunctionKey, limit: usize) -> bool {
        let staying = self
            .reservations
            .all_of(function)
            .filter(|(_, reservation)| reservation.is_staying());
        let total_count = self.reservations.staying_count(function);
        total_count < limit || total_count == staying.count()
    }

    /// Chooses the worker for a new runner. If runners are spread over zones, it prefers workers in use over empty
    /// ones, then the zone with the fewest runners of the function, then the fullest worker that fits. Otherwise it
    /// prefers the holder's zone, since traffic between zones is costly and the loss of the holder interrupts the
    /// function anyway; then workers in use without a runner of the function, those with one, and empty ones; then
    /// the fullest.
    fn choose_worker(
        &mut self,
        now: MonotonicTime,
        function: &FunctionKey,
        needed_mb: u32,
        holder_zone: Option<&Zone>,
    ) -> Option<WorkerName> {
        let refused_start_cooldown = self.timing.refused_start_cooldown;
        self.workers
            .start_refused_at
            .retain(|_, start_refused_at| now.since(*start_refused_at) < refused_start_cooldown);
        let mut zone_counts: BTreeMap<&Zone, usize> = BTreeMap::new();
        let mut function_workers: BTreeSet<&WorkerName> = BTreeSet::new();
        for (_, reservation) in self
            .reservations
            .all_of(function)
            .filter(|(_, reservation)| !reservation.draining)
        {
            function_workers.insert(&reservation.worker);
            if let Some(listed) = self.workers.get(&reservation.worker) {
                *zone_counts.entry(&listed.zone).or_default() += 1;
            }
        }
        let reserved_mb_sums = self.reserved_mb();
        let candidate_workers = self.workers.listed.iter().filter(|(worker, _)| {
            self.is_worker_usable(worker) && !self.workers.start_refused_at.contains_key(*worker)
        });
        candidate_workers
            .filter_map(|(worker, listed)| {
                let used_mb = reserved_mb_sums.get(worker).copied().unwrap_or(0);
                let free_mb = u64::from(listed.memory_mb).checked_sub(used_mb)?;
                let zone = &listed.zone;
                let rank = if self.timing.spread_over_zones {
                    let zone_count = zone_counts.get(zone).copied().unwrap_or(0);
                    (false, usize::from(used_mb == 0), zone_count)
                } else {
                    let use_rank = match (used_mb, function_workers.contains(worker)) {
                        (0, _) => 2,
                        (_, true) => 1,
                        (_, false) => 0,
                    };
                    (Some(zone) != holder_zone, use_rank, 0)
                };
                (free_mb >= u64::from(needed_mb)).then_some((rank, free_mb, worker))
            })
            .min()
            .map(|(_, _, worker)| worker.clone())
    }

    /// Stops the orphaned runners of other functions to free memory.
    fn stop_orphans(&mut self, requester: &FunctionKey) {
        let orphaned_runners: Vec<RunnerId> = self
            .reservations
            .orphaned()
            .iter()
            .copied()
            .filter(|runner| {
                self.reservations
                    .get(*runner)
                    .is_some_and(|reservation| reservation.function != *requester)
            })
            .collect();
        for orphaned_runner in orphaned_runners {
            self.reservations.mark_stopping(orphaned_runner);
        }
    }
}
