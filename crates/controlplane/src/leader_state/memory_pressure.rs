//! Reclaims runners and idle functions when the workers' memory is short.

use super::{EventDetail, LeaderState, StreamId};
use common::clock::MonotonicTime;
use common::events;
use common::frames::{IdleFunction, KnownMember, LeaderToDaemon};
use common::identity::{FunctionKey, RunnerId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum interval between evictions of the same function.
const EVICTION_COOLDOWN: Duration = Duration::from_secs(5);

/// How long a function without a runner counts as starved after a request that found no room.
const STARVATION_TIMEOUT: Duration = Duration::from_millis(1200);
/// Minimum interval between reclaimed runners.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(500);

/// The functions that can give up memory, and those that lack it.
#[derive(Default)]
pub(super) struct MemoryPressure {
    /// Since when functions have been idle, by reporting holder.
    pub idle_since: BTreeMap<KnownMember, BTreeMap<FunctionKey, MonotonicTime>>,
    /// When functions were last ordered to give up their idle runners.
    evicted_at: BTreeMap<FunctionKey, MonotonicTime>,
    /// When functions without a runner last found no room.
    pub starved_functions: BTreeMap<FunctionKey, MonotonicTime>,
    runner_reclaimed_at: MonotonicTime,
}

impl LeaderState {
    /// Whether another function has no runner and found no room, so that functions with runners have to wait.
    pub(super) fn is_other_function_starved(
        &mut self,
        now: MonotonicTime,
        requester: &FunctionKey,
    ) -> bool {
        self.pressure
            .starved_functions
            .retain(|_, requested_at| now.since(*requested_at) < STARVATION_TIMEOUT);
        self.pressure
            .starved_functions
            .keys()
            .any(|function| function != requester)
    }

    /// Reclaims a runner from the function with the most runners for a function that has none, so that the load on one
    /// function does not deprive another of its only runner.
    pub(super) fn reclaim_runner(
        &mut self,
        now: MonotonicTime,
        requester: &FunctionKey,
        needed_mb: u32,
    ) {
        self.pressure
            .starved_functions
            .insert(requester.clone(), now);
        if now.since(self.pressure.runner_reclaimed_at) < RECLAIM_INTERVAL {
            return;
        }
        let Some((function, runner)) = self.runner_to_reclaim(requester, needed_mb) else {
            return;
        };
        self.pressure.runner_reclaimed_at = now;
        let detail = EventDetail::ReclaimedRunner {
            function: function.clone(),
            runner,
            requester: requester.clone(),
        };
        self.record_event(events::IDLE_RUNNERS_RECLAIMED, detail);
        self.drain(function, runner);
    }

    /// Chooses a runner of the function with the most runners: the one whose worker would then have the least
    /// sufficient free memory, or if none has enough, the one whose worker would have the most.
    fn runner_to_reclaim(
        &self,
        requester: &FunctionKey,
        needed_mb: u32,
    ) -> Option<(FunctionKey, RunnerId)> {
        let staying = self.staying_runners(requester);
        let largest_function = staying.into_iter().max_by_key(|(_, runners)| runners.len());
        let (function, runners) = largest_function.filter(|(_, runners)| runners.len() > 1)?;
        let sufficient = runners
            .iter()
            .filter(|(freed_mb, _)| *freed_mb >= u64::from(needed_mb));
        let (_, runner) = sufficient.min().or(runners.iter().max()).copied()?;
        Some((function.clone(), runner))
    }

    /// Returns the staying runners of all functions except the requester, each with the memory that would be free on
    /// its worker without it.
    fn staying_runners(
        &self,
        requester: &FunctionKey,
    ) -> BTreeMap<&FunctionKey, Vec<(u64, RunnerId)>> {
        let reserved_mb_sums = self.reserved_mb();
        let mut staying: BTreeMap<&FunctionKey, Vec<(u64, RunnerId)>> = BTreeMap::new();
        for (runner, reservation) in self.reservations.iter() {
            let worker = &reservation.worker;
            let Some(listed) = self.workers.get(worker) else {
                continue;
            };
            if !reservation.is_staying()
                || reservation.function == *requester
                || !self.is_worker_usable(worker)
            {
                continue;
            }
            let used_mb = reserved_mb_sums.get(worker).copied().unwrap_or(0);
            let free_mb = u64::from(listed.memory_mb).saturating_sub(used_mb);
            let freed_mb = free_mb + u64::from(reservation.memory_mb);
            staying
                .entry(&reservation.function)
                .or_default()
                .push((freed_mb, *runner));
        }
        staying
    }

    /// Handles a member's report of all its idle functions, which replaces its earlier report.
    pub(super) fn handle_idle(
        &mut self,
        now: MonotonicTime,
        stream: StreamId,
        functions: Vec<IdleFunction>,
    ) {
        let Some(holder) = self.members.on_stream(stream) else {
            return;
        };
        let idle_since = functions
            .into_iter()
            .map(|idle| {
                let idle_span = Duration::from_millis(u64::from(idle.idle_ms));
                (idle.function, now - idle_span)
            })
            .collect();
        self.pressure.idle_since.insert(holder.clone(), idle_since);
    }

    /// Returns the functions that their current holders reported as idle, longest idle first.
    fn idle_functions(&self) -> Vec<(MonotonicTime, FunctionKey)> {
        let mut idle_functions: Vec<(MonotonicTime, FunctionKey)> = self
            .pressure
            .idle_since
            .iter()
            .flat_map(|(holder, functions)| {
                let is_held = move |function: &FunctionKey| {
                    self.lease_records
                        .get(function)
                        .is_some_and(|entry| entry.holder == *holder)
                };
                functions
                    .iter()
                    .filter(move |(function, _)| is_held(function))
            })
            .map(|(function, since)| (*since, function.clone()))
            .collect();
        idle_functions.sort();
        idle_functions
    }

    /// Evicts idle functions, longest idle first, until twice the needed memory is freed, since not all of it will be
    /// on one worker.
    pub(super) fn evict_idle_functions(
        &mut self,
        now: MonotonicTime,
        requester: &FunctionKey,
        needed_mb: u32,
    ) {
        self.pressure
            .evicted_at
            .retain(|_, at| now.since(*at) < EVICTION_COOLDOWN);
        let mut idle_functions = self.idle_functions();
        idle_functions.retain(|(_, function)| function != requester && self.is_evictable(function));
        let mut freed_mb = 0;
        for (_, function) in idle_functions {
            if freed_mb >= needed_mb * 2 {
                return;
            }
            freed_mb += self.evict(now, function).unwrap_or(0);
        }
    }

    fn is_evictable(&self, function: &FunctionKey) -> bool {
        let lease = self.lease_records.get(function);
        !self.pressure.evicted_at.contains_key(function)
            && lease.is_some_and(|entry| entry.fencing_since.is_none() && !entry.handing_over)
            && self.reservations.all_of(function).next().is_some()
    }

    /// Orders the holder to stop a function's runners, and returns the memory in MiB that this frees. Returns `None`
    /// if the holder has no stream.
    fn evict(&mut self, now: MonotonicTime, function: FunctionKey) -> Option<u32> {
        let entry = self.lease_records.get(&function)?;
        let fencing_token = entry.fencing_token;
        let stream = self.members.stream_of(&entry.holder)?;
        let freed_mb = self
            .reservations
            .all_of(&function)
            .map(|(_, reservation)| reservation.memory_mb)
            .sum::<u32>();
        self.pressure.evicted_at.insert(function.clone(), now);
        if let Some(idle_since) = self.pressure.idle_since.get_mut(&entry.holder) {
            idle_since.remove(&function);
        }
        let detail = EventDetail::Function {
            function: function.clone(),
        };
        self.record_event(events::IDLE_RUNNERS_RECLAIMED, detail);
        let frame = LeaderToDaemon::ReclaimIdle {
            function,
            fencing_token,
        };
        self.send_frame(stream, frame);
        Some(freed_mb)
    }
}
