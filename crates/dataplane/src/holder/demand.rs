//! Measures the demand for a function.

use super::Tuning;
use common::clock::MonotonicTime;
use std::time::Duration;

/// The time since the first call counts as at least this long, in seconds, so that the first calls do not appear as a
/// very high rate.
const MIN_WINDOW_S: f64 = 0.25;
/// Lower bound of all time constants, in seconds. A time constant of zero would make counts and rates undefined.
const MIN_TIME_CONSTANT_S: f64 = 0.05;
/// Number of recent calls from which the rate counts as known, however recent the first call.
const KNOWN_RATE_CALLS: f64 = 32.0;
/// Time constant of the long-term rate, in break-even times.
const LONG_TERM_BREAK_EVENS: f64 = 8.0;

/// An exponentially decaying count of events.
pub(super) struct DecayingCounter {
    time_constant: f64,
    count: f64,
    counted_at: Option<MonotonicTime>,
}

impl DecayingCounter {
    pub(super) fn new(time_constant: f64) -> Self {
        Self {
            time_constant,
            count: 0.0,
            counted_at: None,
        }
    }

    pub(super) fn at(&self, now: MonotonicTime) -> f64 {
        self.counted_at.map_or(0.0, |counted_at| {
            self.count * (-now.since(counted_at).as_secs_f64() / self.time_constant).exp()
        })
    }

    pub(super) fn add(&mut self, now: MonotonicTime) {
        self.count = self.at(now) + 1.0;
        self.counted_at = Some(now);
    }

    /// Returns the time in seconds that the count covers if counting began `age` seconds ago. The count divided by this
    /// window is the rate.
    pub(super) fn effective_window(&self, age: f64) -> f64 {
        self.time_constant * (1.0 - (-age / self.time_constant).exp())
    }
}

/// The demand for a function: its recent rate of calls, and whether the next call is expected soon.
pub(super) struct Demand {
    short_term: DecayingCounter,
    long_term: DecayingCounter,
    first_call_at: Option<MonotonicTime>,
    smoothed_rate: f64,
    smoothed_at: MonotonicTime,
    decay: f64,
}

impl Demand {
    /// Creates the state before the first call. `startup` and `break_even` determine the time constants, besides
    /// `tuning`.
    pub(super) fn new(
        now: MonotonicTime,
        tuning: &Tuning,
        startup: Duration,
        break_even: Duration,
    ) -> Self {
        let break_even = break_even
            .max(startup)
            .as_secs_f64()
            .max(MIN_TIME_CONSTANT_S);
        Self {
            short_term: DecayingCounter::new(
                tuning.rate_window.as_secs_f64().max(MIN_TIME_CONSTANT_S),
            ),
            long_term: DecayingCounter::new(break_even * LONG_TERM_BREAK_EVENS),
            first_call_at: None,
            smoothed_rate: 0.0,
            smoothed_at: now,
            decay: tuning
                .decay_time(startup)
                .as_secs_f64()
                .max(MIN_TIME_CONSTANT_S),
        }
    }

    /// Counts a call.
    pub(super) fn record_call(&mut self, now: MonotonicTime) {
        self.first_call_at.get_or_insert(now);
        self.short_term.add(now);
        self.long_term.add(now);
    }

    /// Whether there has been any call.
    pub(super) fn was_called(&self) -> bool {
        self.first_call_at.is_some()
    }

    /// Returns the time since the first call in seconds, or zero if there was none.
    pub(super) fn age(&self, now: MonotonicTime) -> f64 {
        self.first_call_at
            .map_or(0.0, |first_call_at| now.since(first_call_at).as_secs_f64())
    }

    /// Whether calls have come for long enough, or in sufficient number, for the rate to be meaningful.
    pub(super) fn is_known(&self, now: MonotonicTime) -> bool {
        self.age(now) >= 2.0 * self.short_term.time_constant
            || self.short_term.at(now) >= KNOWN_RATE_CALLS
    }

    /// Returns the rate in calls per second. It rises immediately and decays slowly.
    pub(super) fn rate(&mut self, now: MonotonicTime) -> f64 {
        let effective_window = self
            .short_term
            .effective_window(self.age(now).max(MIN_WINDOW_S));
        let rate = self.short_term.at(now) / effective_window;
        let elapsed = now.since(self.smoothed_at).as_secs_f64();
        self.smoothed_at = now;
        self.smoothed_rate =
            rate.max(rate + (self.smoothed_rate - rate) * (-elapsed / self.decay).exp());
        self.smoothed_rate
    }

    /// Whether the next call is expected within the break-even time of a retained runner.
    pub(super) fn is_frequent(&self, now: MonotonicTime, break_even: Duration) -> bool {
        let break_even = break_even.as_secs_f64();
        let effective_window = self.long_term.effective_window(self.age(now));
        let count = self.long_term.at(now);
        count > 0.0 && (effective_window + break_even) / count < break_even
    }
}
