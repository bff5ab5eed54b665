use super::{Desk, StreamId};
use serde_json::json;
use std::collections::BTreeMap;
use std::time::Duration;
use waymark::clock::Moment;
use waymark::events;
use waymark::frames::{ReserveResult, StreamDown};
use waymark::identity::{CorrelationId, FunctionKey, GrantSerial, Locality, RunnerId, WorkerName};
use waymark::rules::Rule;
use waymark::tongue::{ListedRunner, ListedWorker};

pub(super) struct WorkerRecord {
    pub listed: ListedWorker,
}

pub(super) struct Reservation {
    pub function: FunctionKey,
    pub worker: WorkerName,
    pub memory_mb: u32,
    pub ready: bool,
    pub draining: bool,
    pub stop_wanted: bool,
    pub stop_asked_at: Option<Moment>,
}

impl Desk {
    /// Takes the platform's list of workers.
    pub fn workers_listed(&mut self, listed_workers: Vec<ListedWorker>) {
        self.workers_listed = true;
        self.workers = listed_workers
            .into_iter()
            .map(|listed| (listed.worker.clone(), WorkerRecord { listed }))
            .collect();
        self.drain_unfit();
    }

    /// Takes the platform's list of runners, which shows how things stood at a moment.
    pub fn runners_listed(&mut self, content_moment: Moment, listed_runners: &[ListedRunner]) {
        self.runners_listed_at = self.runners_listed_at.max(content_moment);
        for listed in listed_runners.iter().filter(|listed| listed.leaving) {
            self.drain_leaving(listed);
        }
        if !self.opened && content_moment < self.elected_at + self.timing.claims_wait {
            return;
        }
        for listed in listed_runners {
            let (Some(runner), Some(function)) = (listed.runner, &listed.key) else { continue };
            let is_known = self.reservations.contains_key(&runner) || self.ended.contains(&runner);
            if !is_known {
                let orphan = Reservation {
                    function: function.clone(),
                    worker: listed.worker.clone(),
                    memory_mb: 0,
                    ready: true,
                    draining: true,
                    stop_wanted: true,
                    stop_asked_at: None,
                };
                self.reservations.insert(runner, orphan);
                self.tell(
                    events::ORPHAN,
                    json!({"runner": runner.to_string(), "worker": listed.worker.as_str()}),
                );
            }
        }
    }

    pub(super) fn is_worker_fit(&self, worker: &WorkerName) -> bool {
        let is_emptied = self.emptying.as_ref().is_some_and(|emptying| emptying.worker == *worker);
        !is_emptied
            && self.workers.get(worker).is_some_and(|record| {
                let is_draining = record.listed.draining && self.rules.keep(Rule::DrainObeyed);
                !is_draining && !self.is_evacuated(&record.listed.locality)
            })
    }

    pub(super) fn reserved_mb(&self) -> BTreeMap<WorkerName, u64> {
        let mut reserved_sums: BTreeMap<WorkerName, u64> = BTreeMap::new();
        for reservation in self.reservations.values() {
            *reserved_sums.entry(reservation.worker.clone()).or_default() +=
                u64::from(reservation.memory_mb);
        }
        reserved_sums
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

    /// Picks a worker in use before an empty one, then the locality where the function has fewest
    /// runners that stay, then the fullest worker that fits.
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
        let Some(needed_mb) = self.table.function_of(function).map(|entry| entry.spec.memory_mb)
        else {
            return ReserveResult::Shed;
        };
        let has_runner = self
            .reservations
            .values()
            .any(|held| held.function == *function && !held.draining && !held.stop_wanted);
        if has_runner && self.must_wait(now, function) {
            return ReserveResult::Shed;
        }
        let reserved_sums = self.reserved_mb();
        let mut locality_counts: BTreeMap<&Locality, usize> = BTreeMap::new();
        let staying = |held: &&Reservation| held.function == *function && !held.draining;
        for reservation in self.reservations.values().filter(staying) {
            if let Some(record) = self.workers.get(&reservation.worker) {
                *locality_counts.entry(&record.listed.locality).or_default() += 1;
            }
        }
        let chosen_worker = self
            .workers
            .iter()
            .filter(|(worker, _)| self.is_worker_fit(worker))
            .filter_map(|(worker, record)| {
                let used_mb = reserved_sums.get(worker).copied().unwrap_or(0);
                let free_mb = u64::from(record.listed.memory_mb).checked_sub(used_mb)?;
                let locality_count =
                    locality_counts.get(&record.listed.locality).copied().unwrap_or(0);
                (free_mb >= u64::from(needed_mb)).then_some((
                    used_mb == 0,
                    locality_count,
                    free_mb,
                    worker,
                ))
            })
            .min()
            .map(|(_, _, _, worker)| worker.clone());
        let Some(worker) = chosen_worker else {
            let detail = json!({"function": function.to_string(), "memory_mb": needed_mb});
            if now.since(self.no_room_told_at) > Duration::from_secs(1) {
                self.no_room_told_at = now;
                self.tell(events::NO_ROOM, detail);
            }
            self.emptying = None;
            self.make_room(now, function, needed_mb);
            if !has_runner {
                self.take_back(now, function, needed_mb);
            }
            return ReserveResult::Shed;
        };
        self.starving.remove(function);
        let runner = RunnerId { grant, ordinal: self.next_number().0 };
        self.reservations.insert(
            runner,
            Reservation {
                function: function.clone(),
                worker: worker.clone(),
                memory_mb: needed_mb,
                ready: false,
                draining: false,
                stop_wanted: false,
                stop_asked_at: None,
            },
        );
        ReserveResult::Reserved { runner, worker, memory_mb: needed_mb }
    }

    fn is_granted(&self, known_member: &waymark::frames::KnownMember, now: Moment) -> bool {
        self.members.get(known_member).is_some_and(|record| record.grant_end > now)
    }
}
