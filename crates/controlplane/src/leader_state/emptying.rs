use super::LeaderState;
use common::clock::Moment;
use common::events;
use common::identity::WorkerName;
use serde_json::json;
use std::collections::BTreeMap;
use std::time::Duration;

const BETWEEN: Duration = Duration::from_secs(8);
const AFTER_FAILURE: Duration = Duration::from_secs(30);
const GIVE_UP_AFTER: Duration = Duration::from_secs(20);
const HEADROOM_PERCENT: u64 = 10;

/// A worker that is being emptied so that it can be switched off.
pub struct Emptying {
    pub(super) worker: WorkerName,
    since: Moment,
}

impl LeaderState {
    /// Empties the least used worker when all its runners fit on the others in use, one at a time.
    pub(super) fn empty_workers(&mut self, now: Moment) {
        if !self.opened || !self.timing.emptying {
            return;
        }
        if let Some(emptying) = &self.emptying {
            let worker = emptying.worker.clone();
            let is_empty = !self.reservations.values().any(|held| held.worker == worker);
            let is_hopeless = now.since(emptying.since) > GIVE_UP_AFTER;
            if is_empty {
                self.tell(events::WORKER_EMPTY, json!({"worker": worker.as_str()}));
            }
            if is_empty || is_hopeless {
                self.emptying = None;
                self.next_emptying_at = now + if is_empty { BETWEEN } else { AFTER_FAILURE };
            }
            return;
        }
        if now < self.next_emptying_at {
            return;
        }
        self.next_emptying_at = now + BETWEEN;
        if let Some(worker) = self.worker_to_empty() {
            self.tell(events::WORKER_EMPTYING, json!({"worker": worker.as_str()}));
            self.emptying = Some(Emptying { worker, since: now });
            self.drain_unfit();
        }
    }

    fn worker_to_empty(&self) -> Option<WorkerName> {
        let reserved_sums = self.reserved_mb();
        let used_workers: Vec<(&WorkerName, u64)> = reserved_sums
            .iter()
            .filter(|(worker, _)| self.is_worker_fit(worker))
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
                let memory_mb = u64::from(self.workers.get(*worker)?.listed.memory_mb);
                let kept_mb = memory_mb * HEADROOM_PERCENT / 100;
                Some((*worker, memory_mb.saturating_sub(*sum).saturating_sub(kept_mb)))
            })
            .collect();
        let mut moved_sizes: Vec<u64> = self
            .reservations
            .values()
            .filter(|held| held.worker == **least_used)
            .map(|held| u64::from(held.memory_mb))
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
