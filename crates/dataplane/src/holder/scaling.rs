//! How many runners a holder wants: asks for more, drains or stops those it does not need.

use super::runners::Phase;
use super::{Holder, HolderMessage, HolderOutput};
use common::clock::MonotonicTime;
use common::identity::RunnerId;
use std::time::Duration;

const RESERVE_TIMEOUT: Duration = Duration::from_millis(1500);
const RESERVE_RETRY_DELAY: Duration = Duration::from_millis(400);
const REPLACE_TIMEOUT: Duration = Duration::from_millis(1000);
const MAX_PENDING_RESERVATIONS: usize = 8;
/// A runner is not drained before it is so old: what it was started or taken over for may be on its way.
const STABLE_AFTER: Duration = Duration::from_secs(1);
/// A runner that boots for nothing is stopped up to this share of its boot; later it may as well be used.
const CANCELLABLE_STARTUP_FRACTION: f64 = 0.5;
/// A runner is given up only when a load higher by this factor could do without it too: measured loads swing, and
/// what is given up on one swing is started again on the next.
const CANCEL_LOAD_FACTOR: f64 = 1.25;

/// The holder's view of what it has asked for.
pub struct Scaling {
    reserving_since: Vec<MonotonicTime>,
    next_reserve_at: MonotonicTime,
    next_drain_at: MonotonicTime,
}

impl Scaling {
    /// Needs none yet.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            reserving_since: Vec::new(),
            next_reserve_at: now,
            next_drain_at: now,
        }
    }

    /// An asked-for runner was given or refused.
    pub fn reserve_ended(&mut self, now: MonotonicTime, is_reserved: bool) {
        self.reserving_since.pop();
        if !is_reserved {
            self.next_reserve_at = now + RESERVE_RETRY_DELAY;
        }
    }
}

impl Holder {
    /// Asks for runners, or gives some up, as the load and what waits tell.
    pub(super) fn scale(&mut self, now: MonotonicTime) {
        if self.is_releasing() {
            return;
        }
        let reserving = &mut self.scaling.reserving_since;
        reserving.retain(|since| now.since(*since) < RESERVE_TIMEOUT);
        let unless_idle_stopped = u32::from(!self.idle_stopped);
        let floor = self
            .spec
            .min_runners
            .max(unless_idle_stopped)
            .min(self.spec.max_runners) as usize;
        let max_runner_count = self.spec.max_runners.max(1) as usize;
        let usable_count = self
            .runners
            .values()
            .filter(|record| record.is_starting_or_ready())
            .count();
        let pending_count = usable_count + self.scaling.reserving_since.len();
        let load = self.demand.rate(now) * self.service_time.as_secs_f64();
        let is_load_known = !self.idle_stopped && self.demand.is_known(now);
        let load_count = if is_load_known {
            self.runners_for_load(load)
        } else {
            0
        };
        let queue_runner_count = self.runners_for_queue(now, load);
        let target_count = load_count
            .max(pending_count * usize::from(queue_runner_count > 0) + queue_runner_count);
        let target_count = target_count.clamp(floor, max_runner_count.max(floor));
        self.reserve(now, target_count, pending_count);
        let retained_count = target_count
            .max(self.runners_for_load(load * CANCEL_LOAD_FACTOR))
            .min(max_runner_count);
        if self.queue.is_empty() {
            self.cancel_excess_startup(now, retained_count);
        }
        self.scale_down(now, retained_count);
    }

    /// The runners for a load, in slots, with a margin for its swings that grows as its root.
    fn runners_for_load(&self, load: f64) -> usize {
        let margin = f64::from(self.tuning.margin_percent) / 100.0 * load.sqrt();
        ((load + margin) / f64::from(self.spec.slots.max(1))).ceil() as usize
    }

    /// The runners to be started for what waits: those without which it would not be sent in time. What
    /// runs, boots or is asked for counts with what it can do until then.
    fn runners_for_queue(&self, now: MonotonicTime, load: f64) -> usize {
        let startup = self.spec.startup.as_secs_f64();
        let service_time = self.service_time.as_secs_f64().max(0.001);
        let slots = f64::from(self.spec.slots.max(1));
        let horizon = self.queue.iter().map(|queued| {
            let target = queued.request.target.as_secs_f64();
            let remaining_time = queued.request.deadline.since(now).as_secs_f64();
            if target > startup + 2.0 * service_time {
                target
            } else {
                startup.midpoint(remaining_time.max(startup))
            }
        });
        let Some(horizon) = horizon.max_by(f64::total_cmp) else {
            return 0;
        };
        let requests_within = |span: f64| (span / service_time).max(0.0);
        let runner_capacity: f64 = self
            .runners
            .values()
            .filter(|record| record.is_starting_or_ready())
            .map(|record| match record.phase {
                Phase::Ready => f64::from(record.expected_limit(now)) * requests_within(horizon),
                _ => {
                    let ready_in = (record.started_at + self.spec.startup)
                        .since(now)
                        .as_secs_f64();
                    slots * requests_within(horizon - ready_in).max(1.0)
                }
            })
            .sum();
        let reserving_count = self.scaling.reserving_since.len() as f64;
        let new_runner_capacity = slots * requests_within(horizon - startup).max(1.0);
        let is_ready = self
            .runners
            .values()
            .any(|record| record.phase == Phase::Ready);
        let expected_arrivals = if is_ready {
            load / service_time * horizon
        } else {
            0.0
        };
        let capacity =
            (runner_capacity + reserving_count * new_runner_capacity - expected_arrivals).max(0.0);
        let unserved = self.queue.len() as f64 - capacity;
        if unserved > 0.0 {
            (unserved / new_runner_capacity).ceil() as usize
        } else {
            0
        }
    }

    fn reserve(&mut self, now: MonotonicTime, target_count: usize, pending_count: usize) {
        if now < self.scaling.next_reserve_at {
            return;
        }
        let reserving_count = self.scaling.reserving_since.len();
        let missing_count = target_count.saturating_sub(pending_count);
        for _ in 0..missing_count.min(MAX_PENDING_RESERVATIONS.saturating_sub(reserving_count)) {
            self.scaling.reserving_since.push(now);
            self.outputs
                .push(HolderOutput::Report(HolderMessage::Reserve));
        }
    }

    /// Stops the youngest runner that boots and is no longer needed, while little of its boot is paid for.
    fn cancel_excess_startup(&mut self, now: MonotonicTime, target_count: usize) {
        let usable_count = self
            .runners
            .values()
            .filter(|record| record.is_starting_or_ready())
            .count();
        let ready_count = self
            .runners
            .values()
            .filter(|record| record.is_usable())
            .count();
        if usable_count <= target_count || ready_count < target_count {
            return;
        }
        let cancellable_for = self.spec.startup.mul_f64(CANCELLABLE_STARTUP_FRACTION);
        let youngest = self
            .runners
            .iter()
            .filter(|(_, record)| matches!(record.phase, Phase::StartRequested | Phase::StartingUp))
            .max_by_key(|(_, record)| record.started_at)
            .filter(|(_, record)| now.since(record.started_at) < cancellable_for)
            .map(|(runner, _)| *runner);
        if let Some(runner) = youngest {
            self.stop_runner(now, runner);
        }
    }

    fn scale_down(&mut self, now: MonotonicTime, target_count: usize) {
        let ready_runners: Vec<RunnerId> = self
            .runners
            .iter()
            .filter(|(_, record)| record.is_usable())
            .map(|(runner, _)| *runner)
            .collect();
        let has_replacement = !ready_runners.is_empty();
        for record in self.runners.values_mut() {
            let is_overdue = record
                .replace_since
                .is_some_and(|since| now.since(since) > REPLACE_TIMEOUT);
            let needs_replacement = record.replace_since.is_some() && record.phase == Phase::Ready;
            if needs_replacement && (has_replacement || is_overdue) {
                record.phase = Phase::Draining;
                record.since = now;
            }
        }
        if !self.idle_stopped
            && ready_runners.len() > target_count.max(1)
            && now >= self.scaling.next_drain_at
        {
            self.scaling.next_drain_at = now + self.tuning.drain_interval_for(self.spec.startup);
            let least_busy = ready_runners
                .into_iter()
                .filter(|runner| now.since(self.runners[runner].since) >= STABLE_AFTER)
                .min_by_key(|runner| self.runners[runner].busy_count());
            if let Some(record) = least_busy.and_then(|runner| self.runners.get_mut(&runner)) {
                record.phase = Phase::Draining;
                record.since = now;
            }
        }
    }
}
