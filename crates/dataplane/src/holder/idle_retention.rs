//! Decides how long the last runner of an idle function is retained.
//!
//! An idle runner costs memory. Without it the next request costs a cold start, and its response is late if the
//! start-up exceeds the request's target. The break-even time is the idle time after which the memory has cost as much
//! as both; the runner is retained while the next request is expected earlier than that.

use super::Holder;
use super::lifecycle::Lifecycle;
use common::clock::MonotonicTime;
use std::time::Duration;

/// Minimum age of a runner before it is stopped: the requests that it was started or adopted for may still be on their
/// way.
const STABLE_AFTER: Duration = Duration::from_secs(1);
/// Idle limit of a frequently called function, in break-even times.
const FREQUENT_IDLE_FACTOR: u32 = 2;
/// Idle limit of a rarely called function, in start-up times; covers a request that follows directly.
const RARE_IDLE_STARTUPS: f64 = 0.25;
/// Idle limit of a prewarmed runner before the first request.
const UNCALLED_IDLE_LIMIT: Duration = Duration::from_secs(60);
/// Time after the first call until the call frequency counts as known, in break-even times.
const KNOWN_DEMAND_BREAK_EVENS: u32 = 4;
/// Assumed mean deviation of start-up times before any measurement, as a fraction of their mean.
const INITIAL_DEVIATION_FRACTION: f64 = 0.3;
/// Weight of a new measurement in the exponentially smoothed start-up times.
const SMOOTHING_FACTOR: f64 = 0.125;
/// Start-up times are assumed to lie within this many mean deviations of their mean.
const MAX_DEVIATIONS: f64 = 2.0;

/// The smoothed mean and mean deviation of runners' start-up times, in seconds.
pub(super) struct StartupTimes {
    mean: f64,
    deviation: f64,
}

impl StartupTimes {
    /// Creates the state before any measurement, with the mean that the spec declares.
    pub(super) fn new(expected: Duration) -> Self {
        let mean = expected.as_secs_f64();
        Self {
            mean,
            deviation: mean * INITIAL_DEVIATION_FRACTION,
        }
    }

    /// Records the duration of a runner's start-up.
    pub(super) fn record_startup(&mut self, span: Duration) {
        let distance = span.as_secs_f64() - self.mean;
        self.mean += distance * SMOOTHING_FACTOR;
        self.deviation += (distance.abs() - self.deviation) * SMOOTHING_FACTOR;
    }

    /// Returns the expected fraction of late responses among the requests that wait for a start-up, assuming that
    /// start-up times are uniformly distributed.
    pub(super) fn late_fraction(&self, service_time: Duration, target: Duration) -> f64 {
        let half_width = (self.deviation * MAX_DEVIATIONS).max(f64::EPSILON);
        let longest = self.mean + half_width + service_time.as_secs_f64();
        ((longest - target.as_secs_f64()) / (2.0 * half_width)).clamp(0.0, 1.0)
    }
}

/// The measurements by which the retention of a function's last runner is decided.
pub(super) struct IdleRetention {
    startup_times: StartupTimes,
    /// The shortest target response time of the requests so far.
    shortest_target: Option<Duration>,
    last_request_at: MonotonicTime,
    is_prewarmed: bool,
}

impl IdleRetention {
    /// Creates the state before the first request, with the start-up time that the spec declares.
    pub(super) fn new(now: MonotonicTime, startup: Duration) -> Self {
        Self {
            startup_times: StartupTimes::new(startup),
            shortest_target: None,
            last_request_at: now,
            is_prewarmed: false,
        }
    }

    pub(super) fn set_prewarmed(&mut self, is_prewarmed: bool) {
        self.is_prewarmed = is_prewarmed;
    }

    pub(super) fn record_request(&mut self, now: MonotonicTime, target: Duration) {
        self.last_request_at = now;
        let shortest_target = self.shortest_target.unwrap_or(target);
        self.shortest_target = Some(shortest_target.min(target));
    }

    pub(super) fn record_startup(&mut self, span: Duration) {
        self.startup_times.record_startup(span);
    }

    pub(super) fn since_last_request(&self, now: MonotonicTime) -> Duration {
        now.since(self.last_request_at)
    }

    fn late_fraction(&self, service_time: Duration) -> f64 {
        let target = self.shortest_target.unwrap_or(Duration::MAX);
        self.startup_times.late_fraction(service_time, target)
    }
}

impl Holder {
    /// Returns the break-even time: the idle time after which the last runner has cost more than a cold start would.
    pub(super) fn break_even(&self) -> Duration {
        let Some(cost) = self.tuning.idle_cost else {
            return self.spec.startup * self.tuning.idle_startups;
        };
        let late_cost_mb_s = f64::from(cost.late_cost_mb_s)
            * self
                .idle_retention
                .late_fraction(self.requests.service_time);
        let cold_start_cost_mb_s = f64::from(cost.start_cost_mb_s) + late_cost_mb_s;
        self.spec.startup
            + Duration::from_secs_f64(cold_start_cost_mb_s / f64::from(self.spec.memory_mb.max(1)))
    }

    /// Returns the idle time after which the last runner is stopped, or `None` if it is retained indefinitely.
    fn idle_limit(&self, now: MonotonicTime) -> Option<Duration> {
        let break_even = self.break_even();
        if self.tuning.idle_cost.is_some() {
            if self.idle_retention.is_prewarmed && !self.demand.was_called() {
                return Some(UNCALLED_IDLE_LIMIT);
            }
            let is_unknown =
                self.demand.age(now) < (break_even * KNOWN_DEMAND_BREAK_EVENS).as_secs_f64();
            let is_frequent = self.demand.is_frequent(now, break_even);
            return Some(
                if is_frequent || (self.idle_retention.is_prewarmed && is_unknown) {
                    break_even * FREQUENT_IDLE_FACTOR
                } else {
                    self.spec
                        .startup
                        .mul_f64(RARE_IDLE_STARTUPS)
                        .min(break_even)
                },
            );
        }
        if self.idle_retention.is_prewarmed || self.tuning.idle_startups == 0 {
            return None;
        }
        Some(match self.tuning.rare_idle_limit {
            Some(rare_idle_limit) if !self.demand.is_frequent(now, break_even) => {
                rare_idle_limit.min(break_even)
            }
            Some(_) => break_even * FREQUENT_IDLE_FACTOR,
            None => break_even,
        })
    }

    /// Stops the runners if the function has been idle for too long. The lease is retained.
    pub(super) fn stop_runners_if_idle(&mut self, now: MonotonicTime) {
        if self.lifecycle != Lifecycle::Serving || self.spec.min_runners > 0 {
            return;
        }
        let Some(idle_limit) = self.idle_limit(now) else {
            return;
        };
        let last_used_at = self
            .runners
            .records()
            .map(|record| record.last_used_at)
            .max();
        let is_stable = self
            .runners
            .records()
            .all(|record| now.since(record.started_at) >= STABLE_AFTER);
        let is_long_idle = self.idle_time(now).is_some_and(|span| span > idle_limit)
            && last_used_at.is_some_and(|last_used_at| now.since(last_used_at) > idle_limit);
        let may_be_needed = self.runners.has_adopted() && !is_stable;
        if self.runners.has_ready() && is_long_idle && !may_be_needed {
            self.stop_idle_runners(now);
        }
    }

    /// Stops all runners until the next request.
    pub(super) fn stop_idle_runners(&mut self, now: MonotonicTime) {
        self.lifecycle.set_idle_stopped();
        for runner in self.runners.ids() {
            self.stop_runner(now, runner);
        }
    }
}
