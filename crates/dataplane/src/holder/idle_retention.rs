//! What keeping the last runner of a function is worth, and when it is stopped.
//!
//! A runner that nobody calls costs its memory; without it the next call costs a start, and comes late where a boot
//! takes longer than the caller gladly waits. The runner is kept while the next call is to be expected before its
//! memory has cost as much as that: the break-even span.

use super::Holder;
use super::runners::Phase;
use common::clock::MonotonicTime;
use common::identity::RunnerId;
use std::time::Duration;

/// A runner is not stopped before it is so old: what it was started or taken over for may be on its way.
const STABLE_AFTER: Duration = Duration::from_secs(1);
/// A function called often keeps a runner through so many break-even spans without a call.
const FREQUENT_IDLE_FACTOR: u32 = 2;
/// One called rarely keeps it for this part of a boot, for a call that follows at once.
const RARE_IDLE_STARTUPS: f64 = 0.25;
/// A runner that was started before the first call is kept so long for it.
const UNCALLED_IDLE_LIMIT: Duration = Duration::from_secs(60);
/// How often a function is called is known after so many break-even spans.
const KNOWN_DEMAND_BREAK_EVENS: u32 = 4;
/// How far boots are taken to lie from their mean, until some are measured, and how fast measured ones count.
const INITIAL_DEVIATION_FRACTION: f64 = 0.3;
const SMOOTHING_FACTOR: f64 = 0.125;
/// A boot lies within so many mean deviations of the mean.
const MAX_DEVIATIONS: f64 = 2.0;

/// How long runners boot, as far as it was measured.
pub struct StartupTimes {
    mean: f64,
    deviation: f64,
}

impl StartupTimes {
    /// None was measured yet; the spec names a mean.
    pub fn new(expected: Duration) -> Self {
        let mean = expected.as_secs_f64();
        Self {
            mean,
            deviation: mean * INITIAL_DEVIATION_FRACTION,
        }
    }

    /// A boot took so long.
    pub fn record_startup(&mut self, span: Duration) {
        let distance = span.as_secs_f64() - self.mean;
        self.mean += distance * SMOOTHING_FACTOR;
        self.deviation += (distance.abs() - self.deviation) * SMOOTHING_FACTOR;
    }

    /// The part of calls that start a runner whose answers take longer than a target.
    pub fn late_fraction(&self, service_time: Duration, target: Duration) -> f64 {
        let half_width = (self.deviation * MAX_DEVIATIONS).max(f64::EPSILON);
        let longest = self.mean + half_width + service_time.as_secs_f64();
        ((longest - target.as_secs_f64()) / (2.0 * half_width)).clamp(0.0, 1.0)
    }
}

impl Holder {
    /// The span without a call after which the last runner has cost more than doing without it.
    pub(super) fn break_even(&self) -> Duration {
        let Some(cost) = self.tuning.idle_cost else {
            return self.spec.startup * self.tuning.idle_startups;
        };
        let target = self.shortest_target.unwrap_or(Duration::MAX);
        let late_cost_mb_s = f64::from(cost.late_cost_mb_s)
            * self.startup_times.late_fraction(self.service_time, target);
        let cold_start_cost_mb_s = f64::from(cost.start_cost_mb_s) + late_cost_mb_s;
        self.spec.startup
            + Duration::from_secs_f64(cold_start_cost_mb_s / f64::from(self.spec.memory_mb.max(1)))
    }

    /// How long the last runner is kept without a call; none when it is never stopped for that.
    fn idle_limit(&self, now: MonotonicTime) -> Option<Duration> {
        let break_even = self.break_even();
        if self.tuning.idle_cost.is_some() {
            if self.warm && !self.demand.was_called() {
                return Some(UNCALLED_IDLE_LIMIT);
            }
            let is_unknown =
                self.demand.age(now) < (break_even * KNOWN_DEMAND_BREAK_EVENS).as_secs_f64();
            let is_frequent = self.demand.is_frequent(now, break_even);
            return Some(if is_frequent || (self.warm && is_unknown) {
                break_even * FREQUENT_IDLE_FACTOR
            } else {
                self.spec
                    .startup
                    .mul_f64(RARE_IDLE_STARTUPS)
                    .min(break_even)
            });
        }
        if self.warm || self.tuning.idle_startups == 0 {
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

    /// Stops the runners of a function that nobody calls; it stays held.
    pub(super) fn stop_runners_if_idle(&mut self, now: MonotonicTime) {
        if self.is_releasing() || self.idle_stopped || self.spec.min_runners > 0 {
            return;
        }
        let Some(idle_limit) = self.idle_limit(now) else {
            return;
        };
        let last_used_at = self
            .runners
            .values()
            .map(|record| record.last_used_at)
            .max();
        let has_ready = self
            .runners
            .values()
            .any(|record| record.phase == Phase::Ready);
        let is_stable = self
            .runners
            .values()
            .all(|record| now.since(record.started_at) >= STABLE_AFTER);
        let is_long_idle = self.idle(now).is_some_and(|span| span > idle_limit)
            && last_used_at.is_some_and(|last_used_at| now.since(last_used_at) > idle_limit);
        if has_ready && is_long_idle && (is_stable || !self.has_adopted) {
            self.stop_idle_runners(now);
        }
    }

    /// Stops every runner until the next call.
    pub(super) fn stop_idle_runners(&mut self, now: MonotonicTime) {
        self.idle_stopped = true;
        let all_runners: Vec<RunnerId> = self.runners.keys().copied().collect();
        for runner in all_runners {
            self.stop_runner(now, runner);
        }
    }
}
