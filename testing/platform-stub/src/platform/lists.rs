//! Lists that are as late as a real platform's.

use common::clock::Moment;
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::time::Duration;

/// Lists that show how things stood some time ago.
pub struct LateLists {
    lag: Duration,
    taken: VecDeque<(Moment, Value, Value)>,
}

impl LateLists {
    /// No list yet.
    pub fn new(lag: Duration) -> Self {
        Self { lag, taken: VecDeque::new() }
    }

    /// Takes how things stand now.
    pub fn take(&mut self, now: Moment, workers: Value, runners: Value) {
        self.taken.push_back((now, workers, runners));
        while self.taken.len() > 1 && now.since(self.taken[1].0) >= self.lag {
            self.taken.pop_front();
        }
    }

    fn age_ms(&self, now: Moment) -> u64 {
        self.taken.front().map_or(0, |(taken_at, _, _)| now.since(*taken_at).as_millis() as u64 + 1)
    }

    /// The late list of workers.
    pub fn workers(&self, now: Moment) -> Value {
        let listed = self.taken.front().map(|(_, workers, _)| workers.clone());
        json!({"age_ms": self.age_ms(now), "workers": listed.unwrap_or_else(|| json!([]))})
    }

    /// The late list of runners.
    pub fn runners(&self, now: Moment) -> Value {
        let listed = self.taken.front().map(|(_, _, runners)| runners.clone());
        json!({"age_ms": self.age_ms(now), "runners": listed.unwrap_or_else(|| json!([]))})
    }
}
