//! The measured demand for a function.

use super::Tuning;
use common::clock::Moment;
use std::time::Duration;

const SHORTEST_SIGHT: f64 = 0.25;
/// So many calls of late say something of the rate even of a function that was never called before.
const CALLS_ENOUGH: f64 = 32.0;
/// How many break-even spans the calls' gaps are remembered.
const GAPS_KEPT: f64 = 8.0;

/// A count that fades.
pub(super) struct Fading {
    span: f64,
    count: f64,
    counted_at: Option<Moment>,
}

impl Fading {
    pub(super) fn new(span: f64) -> Self {
        Self { span, count: 0.0, counted_at: None }
    }

    pub(super) fn at(&self, now: Moment) -> f64 {
        self.counted_at.map_or(0.0, |counted_at| {
            self.count * (-now.since(counted_at).as_secs_f64() / self.span).exp()
        })
    }

    pub(super) fn add(&mut self, now: Moment) {
        self.count = self.at(now) + 1.0;
        self.counted_at = Some(now);
    }

    /// The time that the count stands for, when it began so long ago.
    pub(super) fn sight(&self, age: f64) -> f64 {
        self.span * (1.0 - (-age / self.span).exp())
    }
}

/// What is asked of a function: calls a second of late, and the gap to be expected before the next one.
pub struct Demand {
    recent: Fading,
    remembered: Fading,
    first_at: Option<Moment>,
    smoothed: f64,
    smoothed_at: Moment,
    fall: f64,
}

impl Demand {
    /// Nothing was called yet.
    pub fn new(now: Moment, tuning: &Tuning, boot: Duration, break_even: Duration) -> Self {
        let break_even = break_even.max(boot).as_secs_f64().max(0.05);
        Self {
            recent: Fading::new(tuning.rise.as_secs_f64().max(0.05)),
            remembered: Fading::new(break_even * GAPS_KEPT),
            first_at: None,
            smoothed: 0.0,
            smoothed_at: now,
            fall: tuning.fall_after(boot).as_secs_f64().max(0.05),
        }
    }

    /// A call came.
    pub fn called(&mut self, now: Moment) {
        self.first_at.get_or_insert(now);
        self.recent.add(now);
        self.remembered.add(now);
    }

    /// Whether any call came.
    pub fn was_called(&self) -> bool {
        self.first_at.is_some()
    }

    /// How long ago the first call came, in seconds.
    pub fn age(&self, now: Moment) -> f64 {
        self.first_at.map_or(0.0, |first_at| now.since(first_at).as_secs_f64())
    }

    /// Whether it was called for long enough, or often enough, that its rate says something.
    pub fn is_known(&self, now: Moment) -> bool {
        self.age(now) >= 2.0 * self.recent.span || self.recent.at(now) >= CALLS_ENOUGH
    }

    /// Calls a second: quick up, and slowly down.
    pub fn rate(&mut self, now: Moment) -> f64 {
        let sight = self.recent.sight(self.age(now).max(SHORTEST_SIGHT));
        let rate = self.recent.at(now) / sight;
        let passed = now.since(self.smoothed_at).as_secs_f64();
        self.smoothed_at = now;
        self.smoothed = rate.max(rate + (self.smoothed - rate) * (-passed / self.fall).exp());
        self.smoothed
    }

    /// Whether the next call is to be expected sooner than a runner kept for it costs more than a start.
    pub fn is_frequent(&self, now: Moment, break_even: Duration) -> bool {
        let break_even = break_even.as_secs_f64();
        let sight = self.remembered.sight(self.age(now));
        let count = self.remembered.at(now);
        count > 0.0 && (sight + break_even) / count < break_even
    }
}
