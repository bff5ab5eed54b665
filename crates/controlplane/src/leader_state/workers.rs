use super::reservations::Reservation;
use super::{LeaderState, StreamId};
use common::clock::Moment;
use common::events;
use common::frames::{ReserveResult, StreamDown};
use common::identity::{CorrelationId, FunctionKey, GrantSerial, RunnerId, WorkerName, Zone};
use common::rules::Rule;
use common::tongue::ListedWorker;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub(super) struct WorkerRecord {
    pub listed: ListedWorker,
}

impl LeaderState {
    /// Takes the platform's list of workers.
    pub fn workers_listed(&mut self, listed_workers: Vec<ListedWorker>) {
        self.workers_listed = true;
        self.workers = listed_workers
            .into_iter()
            .map(|listed| (listed.worker.clone(), WorkerRecord { listed }))
            .collect();
        self.drain_unfit();
    }

    pub(super) fn is_worker_fit(&self, worker: &WorkerName) -> bool {
        let is_emptied = self.emptying.as_ref().is_some_and(|emptying| emptying.worker == *worker);
        !is_emptied
            && self.workers.get(worker).is_some_and(|record| {
                let is_draining = record.listed.draining && self.rules.keep(Rule::DrainObeyed);
                !is_draining && !self.is_evacuated(&record.listed.zone)
            })
    }

    pub(super) fn reserved_mb(&self) -> &BTreeMap<WorkerName, u64> {
        self.reservations.reserved_mb()
    }

    pub(super) fn hear_reserve(
        &mut self,
        now: Moment,
        stream: StreamId,
        correlation: CorrelationId,
        function: FunctionKey,
        grant: GrantSerial,
    ) {
        let result = self.reserve(now, stream, &function, grant);
        self.down(stream, StreamDown::Reserved { correlation, function, result });
    }

    fn reserve(
        &mut self,
        now: Moment,
        stream: StreamId,
        function: &FunctionKey,
        grant: GrantSerial,
    ) -> ReserveResult {
        let Some(asker) = self.streams.get(&stream) else { return ReserveResult::Shed };
        let is_holder = self.entries.get(function).is_some_and(|entry| {
            entry.holder == *asker && entry.grant == grant && entry.fencing_since.is_none()
        });
        if !is_holder || !self.opened || !self.is_granted(asker, now) {
            return ReserveResult::Shed;
        }
        let Some(spec) = self.table.function_of(function).map(|entry| entry.spec.clone()) else {
            return ReserveResult::Shed;
        };
        let needed_mb = spec.memory_mb;
        if !self.is_below_most(function, spec.max_runners as usize) {
            return ReserveResult::Shed;
        }
        let holder_zone = self.members.get(asker).map(|record| record.host.zone.clone());
        let has_runner = self.reservations.of(function).any(|(_, held)| held.is_staying());
        if has_runner && self.must_wait(now, function) {
            return ReserveResult::Shed;
        }
        let chosen_worker = self.choose_worker(now, function, needed_mb, holder_zone.as_ref());
        let Some(worker) = chosen_worker else {
            let detail = json!({"function": function.to_string(), "memory_mb": needed_mb});
            if now.since(self.no_room_told_at) > Duration::from_secs(1) {
                self.no_room_told_at = now;
                self.tell(events::NO_ROOM, detail);
            }
            self.emptying = None;
            self.stop_left(function);
            self.make_room(now, function, needed_mb);
            if !has_runner {
                self.take_back(now, function, needed_mb);
            }
            return ReserveResult::Shed;
        };
        self.starving.remove(function);
        let runner = RunnerId { grant, ordinal: self.next_number().0 };
        let reservation = Reservation::new(function.clone(), worker.clone(), needed_mb);
        self.reservations.insert(runner, reservation);
        ReserveResult::Reserved { runner, worker, memory_mb: needed_mb }
    }

    /// Whether one more runner stays within the most that a function may have under all its keys together. A
    /// holder that has them all under one key counts them itself.
    fn is_below_most(&self, function: &FunctionKey, most: usize) -> bool {
        let staying = self.reservations.of(function).filter(|(_, held)| held.is_staying());
        let of_all = self.reservations.staying_count(function);
        of_all < most || of_all == staying.count()
    }

    /// Spread: a worker in use before an empty one, then the zone where the function has fewest
    /// runners that stay, then the fullest that fits. Not spread: the holder's zone before others,
    /// since bytes between zones are dear and the holder's loss takes the service with it anyhow;
    /// then a worker in use without a runner of the function, one with, an empty one; then the fullest.
    fn choose_worker(
        &mut self,
        now: Moment,
        function: &FunctionKey,
        needed_mb: u32,
        holder_zone: Option<&Zone>,
    ) -> Option<WorkerName> {
        let refused_for = self.timing.refused_for;
        self.refused_at.retain(|_, refused_at| now.since(*refused_at) < refused_for);
        let mut zone_counts: BTreeMap<&Zone, usize> = BTreeMap::new();
        let mut own_workers: BTreeSet<&WorkerName> = BTreeSet::new();
        for (_, held) in self.reservations.of(function).filter(|(_, held)| !held.draining) {
            own_workers.insert(&held.worker);
            if let Some(record) = self.workers.get(&held.worker) {
                *zone_counts.entry(&record.listed.zone).or_default() += 1;
            }
        }
        let reserved_sums = self.reserved_mb();
        let fitting_workers = self.workers.iter().filter(|(worker, _)| {
            self.is_worker_fit(worker) && !self.refused_at.contains_key(*worker)
        });
        fitting_workers
            .filter_map(|(worker, record)| {
                let used_mb = reserved_sums.get(worker).copied().unwrap_or(0);
                let free_mb = u64::from(record.listed.memory_mb).checked_sub(used_mb)?;
                let zone = &record.listed.zone;
                let rank = if self.timing.spread {
                    let zone_count = zone_counts.get(zone).copied().unwrap_or(0);
                    (false, usize::from(used_mb == 0), zone_count)
                } else {
                    let use_rank = match (used_mb, own_workers.contains(worker)) {
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

    /// Memory is short: what was left for a next holder of another function goes first.
    fn stop_left(&mut self, asker: &FunctionKey) {
        let left_runners: Vec<RunnerId> = self
            .reservations
            .left()
            .iter()
            .copied()
            .filter(|runner| {
                self.reservations.get(*runner).is_some_and(|held| held.function != *asker)
            })
            .collect();
        for left_runner in left_runners {
            self.reservations.want_stop(left_runner);
        }
    }

    fn is_granted(&self, known_member: &common::frames::KnownMember, now: Moment) -> bool {
        self.members.get(known_member).is_some_and(|record| record.grant_end > now)
    }
}
