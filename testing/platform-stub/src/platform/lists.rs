//! Lists of workers and runners that lag behind the current state, like those of a real platform.

use common::clock::MonotonicTime;
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::time::Duration;

/// The lists of workers and runners as they were `lag` ago.
pub(crate) struct DelayedLists {
    lag: Duration,
    snapshots: VecDeque<Snapshot>,
}

struct Snapshot {
    taken_at: MonotonicTime,
    workers: Value,
    runners: Value,
}

impl DelayedLists {
    /// Creates empty lists with the given delay.
    pub(crate) fn new(lag: Duration) -> Self {
        Self {
            lag,
            snapshots: VecDeque::new(),
        }
    }

    /// Stores a snapshot of the current lists and drops snapshots that are no longer needed.
    pub(crate) fn take_snapshot(&mut self, now: MonotonicTime, workers: Value, runners: Value) {
        self.snapshots.push_back(Snapshot {
            taken_at: now,
            workers,
            runners,
        });
        while self.snapshots.len() > 1 && now.since(self.snapshots[1].taken_at) >= self.lag {
            self.snapshots.pop_front();
        }
    }

    /// Returns the age of the listed snapshot in milliseconds, never less than the exact age.
    fn age_ms(&self, now: MonotonicTime) -> u64 {
        self.snapshots.front().map_or(0, |snapshot| {
            now.since(snapshot.taken_at).as_millis() as u64 + 1
        })
    }

    /// Returns the delayed list of workers with its age.
    pub(crate) fn workers(&self, now: MonotonicTime) -> Value {
        let listed = self
            .snapshots
            .front()
            .map(|snapshot| snapshot.workers.clone());
        json!({"age_ms": self.age_ms(now), "workers": listed.unwrap_or_else(|| json!([]))})
    }

    /// Returns the delayed list of runners with its age.
    pub(crate) fn runners(&self, now: MonotonicTime) -> Value {
        let listed = self
            .snapshots
            .front()
            .map(|snapshot| snapshot.runners.clone());
        json!({"age_ms": self.age_ms(now), "runners": listed.unwrap_or_else(|| json!([]))})
    }
}
