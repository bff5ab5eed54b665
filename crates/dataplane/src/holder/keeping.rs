//! What keeping the last runner of a function is worth, and when it is stopped.
//!
//! A runner that nobody calls costs its memory; without it the next call costs a start, and comes late where a boot
//! takes longer than the caller gladly waits. The runner is kept while the next call is to be expected before its
//! memory has cost as much as that: the break-even span.

use super::Holder;
use super::runners::Phase;
use common::clock::Moment;
use common::identity::RunnerId;
use std::time::Duration;

/// A runner is not stopped before it is so old: what it was started or taken over for may be on its way.
const SETTLED_AFTER: Duration = Duration::from_secs(1);
/// A function called often keeps a runner through so many break-even spans without a call.
const FREQUENT_KEPT: u32 = 2;
/// One called rarely keeps it for this part of a boot, for a call that follows at once.
const RARE_KEPT_BOOTS: f64 = 0.25;
/// A runner that was started before the first call is kept so long for it.
const UNCALLED_KEPT: Duration = Duration::from_secs(60);
/// How often a function is called is known after so many break-even spans.
const KNOWN_SPANS: u32 = 4;
/// How far boots are taken to lie from their mean, until some are measured, and how fast measured ones count.
const EXPECTED_SPREAD: f64 = 0.3;
const MEASURED_PART: f64 = 0.125;
/// A boot lies within so many mean deviations of the mean.
const FARTHEST_DEVIATIONS: f64 = 2.0;

/// How long runners boot, as far as it was measured.
pub struct Boots {
    mean: f64,
    deviation: f64,
}

impl Boots {
    /// None was measured yet; the spec names a mean.
    pub fn new(expected: Duration) -> Self {
        let mean = expected.as_secs_f64();
        Self { mean, deviation: mean * EXPECTED_SPREAD }
    }

    /// A boot took so long.
    pub fn measured(&mut self, span: Duration) {
        let distance = span.as_secs_f64() - self.mean;
        self.mean += distance * MEASURED_PART;
        self.deviation += (distance.abs() - self.deviation) * MEASURED_PART;
    }

    /// The part of calls that start a runner whose answers take longer than a target.
    pub fn late_part(&self, service: Duration, target: Duration) -> f64 {
        let reach = (self.deviation * FARTHEST_DEVIATIONS).max(f64::EPSILON);
        let longest = self.mean + reach + service.as_secs_f64();
        ((longest - target.as_secs_f64()) / (2.0 * reach)).clamp(0.0, 1.0)
    }
}

impl Holder {
    /// The span without a call after which the last runner has cost more than doing without it.
    pub(super) fn break_even(&self) -> Duration {
        let Some(cost) = self.tuning.idle_cost else {
            return self.spec.boot * self.tuning.idle_boots;
        };
        let target = self.shortest_target.unwrap_or(Duration::MAX);
        let late_mb_s = f64::from(cost.late_mb_s) * self.boots.late_part(self.service, target);
        let cold_mb_s = f64::from(cost.start_mb_s) + late_mb_s;
        self.spec.boot + Duration::from_secs_f64(cold_mb_s / f64::from(self.spec.memory_mb.max(1)))
    }

    /// How long the last runner is kept without a call; none when it is never stopped for that.
    fn longest_idle(&self, now: Moment) -> Option<Duration> {
        let break_even = self.break_even();
        if self.tuning.idle_cost.is_some() {
            if self.warm && !self.demand.was_called() {
                return Some(UNCALLED_KEPT);
            }
            let is_unknown = self.demand.age(now) < (break_even * KNOWN_SPANS).as_secs_f64();
            let is_frequent = self.demand.is_frequent(now, break_even);
            return Some(if is_frequent || (self.warm && is_unknown) {
                break_even * FREQUENT_KEPT
            } else {
                self.spec.boot.mul_f64(RARE_KEPT_BOOTS).min(break_even)
            });
        }
        if self.warm || self.tuning.idle_boots == 0 {
            return None;
        }
        Some(match self.tuning.idle_rare {
            Some(idle_rare) if !self.demand.is_frequent(now, break_even) => {
                idle_rare.min(break_even)
            }
            Some(_) => break_even * FREQUENT_KEPT,
            None => break_even,
        })
    }

    /// Stops the runners of a function that nobody calls; it stays held.
    pub(super) fn rest_if_idle(&mut self, now: Moment) {
        if self.is_leaving() || self.resting || self.spec.min_runners > 0 {
            return;
        }
        let Some(longest_idle) = self.longest_idle(now) else { return };
        let used_at = self.runners.values().map(|record| record.used_at).max();
        let has_ready = self.runners.values().any(|record| record.phase == Phase::Ready);
        let is_settled =
            self.runners.values().all(|record| now.since(record.started_at) >= SETTLED_AFTER);
        let is_long_idle = self.idle(now).is_some_and(|span| span > longest_idle)
            && used_at.is_some_and(|used_at| now.since(used_at) > longest_idle);
        if has_ready && is_long_idle && (is_settled || !self.has_adopted) {
            self.rest(now);
        }
    }

    /// Stops every runner until the next call.
    pub(super) fn rest(&mut self, now: Moment) {
        self.resting = true;
        let all_runners: Vec<RunnerId> = self.runners.keys().copied().collect();
        for runner in all_runners {
            self.stop_runner(now, runner);
        }
    }
}
