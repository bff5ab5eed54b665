//! Lists that are as late as a real platform's.

use common::clock::MonotonicTime;
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::time::Duration;

/// Lists that show how things stood some time ago.
pub struct DelayedLists {
    lag: Duration,
    taken: VecDeque<(MonotonicTime, Value, Value)>,
}

impl DelayedLists {
    /// No list yet.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            taken: VecDeque::new(),
        }
    }

    /// Takes how things stand now.
    pub fn take(&mut self, now: MonotonicTime, workers: Value, runners: Value) {
        self.taken.push_back((now, workers, runners));
        while self.taken.len() > 1 && now.since(self.taken[1].0) >= self.lag {
            self.taken.pop_front();
        }
    }

    fn age_ms(&self, now: MonotonicTime) -> u64 {
        self.taken.front().map_or(0, |(taken_at, _, _)| {
            now.since(*taken_at).as_millis() as u64 + 1
        })
    }

    /// The late list of workers.
    pub fn workers(&self, now: MonotonicTime) -> Value {
        let listed = self.taken.front().map(|(_, workers, _)| workers.clone());
        json!({"age_ms": self.age_ms(now), "workers": listed.unwrap_or_else(|| json!([]))})
    }

    /// The late list of runners.
    pub fn runners(&self, now: MonotonicTime) -> Value {
        let listed = self.taken.front().map(|(_, _, runners)| runners.clone());
        json!({"age_ms": self.age_ms(now), "runners": listed.unwrap_or_else(|| json!([]))})
    }
}
