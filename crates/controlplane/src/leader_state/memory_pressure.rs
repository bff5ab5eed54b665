//! What gives way when the workers' memory is short.

use super::{EventDetail, LeaderState, StreamId};
use common::clock::MonotonicTime;
use common::events;
use common::frames::{IdleFunction, KnownMember, LeaderToDaemon};
use common::identity::{FunctionKey, RunnerId};
use std::collections::BTreeMap;
use std::time::Duration;

/// A function that gave up its runners is left alone for this long.
const EVICTION_COOLDOWN: Duration = Duration::from_secs(5);

/// A function without a runner counts as starved for this long after a request that found no room.
const STARVATION_TIMEOUT: Duration = Duration::from_millis(1200);
/// Between two reclaimed runners.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(500);

/// Which functions may give memory back, and which lack it.
#[derive(Default)]
pub(super) struct MemoryPressure {
    /// Since when functions are idle, as their holders reported.
    pub idle_since: BTreeMap<KnownMember, BTreeMap<FunctionKey, MonotonicTime>>,
    /// When functions gave their idle runners back.
    evicted_at: BTreeMap<FunctionKey, MonotonicTime>,
    /// When functions without a runner last found no room.
    pub starved_functions: BTreeMap<FunctionKey, MonotonicTime>,
    runner_reclaimed_at: MonotonicTime,
}

impl LeaderState {
    /// Whether a function with runners has to wait, since another one has none and found no room.
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

    /// A function without a runner finds no room: the function with the most runners gives one up, so that the
    /// load on one function does not take another's only runner.
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

    /// Of the function with the most runners, the runner whose worker then has just enough memory free; if none has,
    /// the one whose worker has the most.
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

    /// The runners that stay, of all functions but the requester, each with the memory that would be free on its
    /// worker without it.
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

    /// A member reports its idle functions: all of them, in place of its earlier report.
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

    /// The functions that their present holders reported as idle, those not called for longest first.
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

    /// No worker has room: the idle functions not called for longest give up their runners, until twice the needed
    /// memory comes free, as not all of it will be on one worker.
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

    /// Has the holder stop a function's runners; the memory in MiB that this frees. None if the holder has no stream.
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
