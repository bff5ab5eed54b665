//! Consolidation: the runners of an underused worker move to other workers, so that it can be switched off.

use super::{EventDetail, LeaderState};
use common::clock::MonotonicTime;
use common::events;
use common::identity::WorkerName;
use std::collections::BTreeMap;
use std::time::Duration;

/// Delay after the election before the first evacuation.
const FIRST_EVACUATION_AFTER: Duration = Duration::from_secs(15);
/// Interval between two evacuations.
const EVACUATION_INTERVAL: Duration = Duration::from_secs(8);
/// Delay before the next evacuation after one that timed out.
const EVACUATION_RETRY_DELAY: Duration = Duration::from_secs(30);
/// Time after which an evacuation is abandoned.
const EVACUATION_TIMEOUT: Duration = Duration::from_secs(20);
/// Share of their memory that the remaining workers must keep free.
const HEADROOM_PERCENT: u64 = 10;

/// An evacuation of one worker that is in progress.
struct WorkerEvacuation {
    worker: WorkerName,
    since: MonotonicTime,
}

/// Schedule of evacuations. At most one worker is evacuated at a time.
pub(super) struct WorkerEvacuations {
    current: Option<WorkerEvacuation>,
    next_at: MonotonicTime,
}

impl WorkerEvacuations {
    /// Creates the schedule. No worker is evacuated for a while after the election.
    pub(super) fn new(elected_at: MonotonicTime) -> Self {
        Self {
            current: None,
            next_at: elected_at + FIRST_EVACUATION_AFTER,
        }
    }

    /// Whether the worker is being evacuated.
    pub(super) fn is_evacuating(&self, worker: &WorkerName) -> bool {
        self.current
            .as_ref()
            .is_some_and(|evacuation| evacuation.worker == *worker)
    }

    /// Cancels the evacuation in progress, so that the worker is used again.
    pub(super) fn cancel(&mut self) {
        self.current = None;
    }
}

impl LeaderState {
    /// Continues the evacuation in progress. If there is none, starts to evacuate the least used worker if all its
    /// runners fit on the other workers in use.
    pub(super) fn evacuate_workers(&mut self, now: MonotonicTime) {
        if !self.claims.is_reached || !self.timing.worker_evacuation {
            return;
        }
        if let Some(worker_evacuation) = &self.evacuation.current {
            let worker = worker_evacuation.worker.clone();
            let is_empty = !self
                .reservations
                .values()
                .any(|reservation| reservation.worker == worker);
            let is_timed_out = now.since(worker_evacuation.since) > EVACUATION_TIMEOUT;
            if is_empty {
                self.record_event(events::WORKER_EVACUATED, EventDetail::Worker { worker });
            }
            if is_empty || is_timed_out {
                self.evacuation.current = None;
                self.evacuation.next_at = now
                    + if is_empty {
                        EVACUATION_INTERVAL
                    } else {
                        EVACUATION_RETRY_DELAY
                    };
            }
            return;
        }
        if now < self.evacuation.next_at {
            return;
        }
        self.evacuation.next_at = now + EVACUATION_INTERVAL;
        if let Some(worker) = self.worker_to_evacuate() {
            let detail = EventDetail::Worker {
                worker: worker.clone(),
            };
            self.record_event(events::WORKER_EVACUATING, detail);
            self.evacuation.current = Some(WorkerEvacuation { worker, since: now });
            self.drain_from_unusable_workers();
        }
    }

    /// Returns the worker in use with the least reserved memory, if its runners, placed largest first, fit on the
    /// others.
    fn worker_to_evacuate(&self) -> Option<WorkerName> {
        let reserved_mb_sums = self.reserved_mb();
        let used_workers: Vec<(&WorkerName, u64)> = reserved_mb_sums
            .iter()
            .filter(|(worker, _)| self.is_worker_usable(worker))
            .map(|(worker, sum)| (worker, *sum))
            .collect();
        let (least_used, _) = used_workers.iter().min_by_key(|(_, sum)| *sum)?;
        if used_workers.len() < 2 {
            return None;
        }
        let mut free_sums: BTreeMap<&WorkerName, u64> = used_workers
            .iter()
            .filter(|(worker, _)| worker != least_used)
            .filter_map(|(worker, sum)| {
                let memory_mb = u64::from(self.workers.get(worker)?.memory_mb);
                let headroom_mb = memory_mb * HEADROOM_PERCENT / 100;
                Some((
                    *worker,
                    memory_mb.saturating_sub(*sum).saturating_sub(headroom_mb),
                ))
            })
            .collect();
        let mut moved_sizes: Vec<u64> = self
            .reservations
            .values()
            .filter(|reservation| reservation.worker == **least_used)
            .map(|reservation| u64::from(reservation.memory_mb))
            .collect();
        moved_sizes.sort_unstable_by(|left, right| right.cmp(left));
        for moved_size in moved_sizes {
            let fullest_fitting = free_sums
                .iter()
                .filter(|(_, free_mb)| **free_mb >= moved_size)
                .min_by_key(|(_, free_mb)| **free_mb)
                .map(|(worker, _)| *worker)?;
            if let Some(free_mb) = free_sums.get_mut(fullest_fitting) {
                *free_mb -= moved_size;
            }
        }
        Some((*least_used).clone())
    }
}
