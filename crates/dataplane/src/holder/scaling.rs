//! Scales the number of runners with the load: requests more, and drains or stops those that are not needed.

use super::runners::Phase;
use super::{Holder, HolderMessage};
use common::clock::MonotonicTime;
use std::time::Duration;

/// How long a reservation without a reply counts as pending.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Delay before the next reservation after one was rejected or lost with the stream to the leader, or after the
/// platform rejected a start.
const RESERVE_RETRY_DELAY: Duration = Duration::from_millis(400);
/// How long a runner that is to be replaced remains in use while no other runner is ready.
const REPLACE_TIMEOUT: Duration = Duration::from_millis(1000);
/// The maximum number of reservations that are pending at the same time.
const MAX_PENDING_RESERVATIONS: usize = 8;
/// Minimum age of a runner before it is drained: the requests that it was started or adopted for may still be on their
/// way.
const STABLE_AFTER: Duration = Duration::from_secs(1);
/// Fraction of the start-up time up to which an unneeded starting runner is stopped. After that it may as well be used.
const CANCELLABLE_STARTUP_FRACTION: f64 = 0.5;
/// Hysteresis: a runner is stopped or drained only if it is not needed even for a load higher by this factor. Measured
/// loads fluctuate, and a runner removed in one fluctuation would be started again in the next.
const CANCEL_LOAD_FACTOR: f64 = 1.25;

/// The scaling state of a holder: its pending reservations, and when it may next reserve or drain a runner.
pub(super) struct Scaling {
    reserving_since: Vec<MonotonicTime>,
    next_reserve_at: MonotonicTime,
    next_drain_at: MonotonicTime,
}

impl Scaling {
    /// Creates the state with no pending reservation.
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self {
            reserving_since: Vec::new(),
            next_reserve_at: now,
            next_drain_at: now,
        }
    }

    /// Records that a pending reservation was granted, rejected, or got no reply.
    pub(super) fn record_reserve_result(&mut self, now: MonotonicTime, is_reserved: bool) {
        self.reserving_since.pop();
        if !is_reserved {
            self.next_reserve_at = now + RESERVE_RETRY_DELAY;
        }
    }
}

impl Holder {
    /// Adjusts the number of runners to the load and the queue.
    pub(super) fn scale(&mut self, now: MonotonicTime) {
        if self.is_releasing() {
            return;
        }
        self.scaling
            .reserving_since
            .retain(|since| now.since(*since) < RESERVE_TIMEOUT);
        let floor = self.runner_floor();
        let max_runner_count = self.spec.max_runners.max(1) as usize;
        let pending_count =
            self.runners.starting_or_ready_count() + self.scaling.reserving_since.len();
        let load = self.demand.rate(now) * self.requests.service_time.as_secs_f64();
        let is_load_known = !self.lifecycle.is_idle_stopped() && self.demand.is_known(now);
        let load_count = if is_load_known {
            self.runners_for_load(load)
        } else {
            0
        };
        let queue_runner_count = self.runners_for_queue(now, load);
        let target_count = load_count
            .max(pending_count * usize::from(queue_runner_count > 0) + queue_runner_count);
        let target_count = target_count.clamp(floor, max_runner_count.max(floor));
        self.request_reservations(now, target_count, pending_count);
        let retained_count = target_count
            .max(self.runners_for_load(load * CANCEL_LOAD_FACTOR))
            .min(max_runner_count);
        if self.requests.queue.is_empty() {
            self.cancel_excess_startup(now, retained_count);
        }
        self.scale_down(now, retained_count);
    }

    /// Returns the minimum number of runners without any load.
    fn runner_floor(&self) -> usize {
        let default_floor = u32::from(!self.lifecycle.is_idle_stopped());
        self.spec
            .min_runners
            .max(default_floor)
            .min(self.spec.max_runners) as usize
    }

    /// Returns the number of runners for a load in slots, with a margin for fluctuations that grows with the square
    /// root of the load.
    fn runners_for_load(&self, load: f64) -> usize {
        let margin = f64::from(self.tuning.margin_percent) / 100.0 * load.sqrt();
        ((load + margin) / f64::from(self.spec.slots.max(1))).ceil() as usize
    }

    /// Returns the number of additional runners needed to serve the queue in time, after subtracting the requests that
    /// runners already ready, starting or reserved can run by then.
    fn runners_for_queue(&self, now: MonotonicTime, load: f64) -> usize {
        let Some(horizon) = self.queue_horizon(now) else {
            return 0;
        };
        let startup = self.spec.startup.as_secs_f64();
        let service_time = self.service_seconds();
        let slots = f64::from(self.spec.slots.max(1));
        let runner_capacity = self.runner_capacity(now, horizon);
        let reserving_count = self.scaling.reserving_since.len() as f64;
        let new_runner_capacity = slots * requests_within(horizon - startup, service_time).max(1.0);
        let expected_arrivals = if self.runners.has_ready() {
            load / service_time * horizon
        } else {
            0.0
        };
        let capacity =
            (runner_capacity + reserving_count * new_runner_capacity - expected_arrivals).max(0.0);
        let unserved = self.requests.queue.len() as f64 - capacity;
        if unserved > 0.0 {
            (unserved / new_runner_capacity).ceil() as usize
        } else {
            0
        }
    }

    /// Returns the time within which the queue should be served, in seconds, or `None` if it is empty. For a request
    /// whose target leaves no time for a start-up, it is midway between the start-up time and the deadline.
    fn queue_horizon(&self, now: MonotonicTime) -> Option<f64> {
        let startup = self.spec.startup.as_secs_f64();
        let service_time = self.service_seconds();
        let horizons = self.requests.queue.iter().map(|queued| {
            let target = queued.request.target.as_secs_f64();
            let remaining_time = queued.request.deadline.since(now).as_secs_f64();
            if target > startup + 2.0 * service_time {
                target
            } else {
                startup.midpoint(remaining_time.max(startup))
            }
        });
        horizons.max_by(f64::total_cmp)
    }

    /// Returns the number of requests that the present runners can run within a horizon in seconds.
    fn runner_capacity(&self, now: MonotonicTime, horizon: f64) -> f64 {
        let service_time = self.service_seconds();
        let slots = f64::from(self.spec.slots.max(1));
        self.runners
            .records()
            .filter(|record| record.is_starting_or_ready())
            .map(|record| match record.phase {
                Phase::Ready => {
                    f64::from(record.expected_limit(now)) * requests_within(horizon, service_time)
                }
                _ => {
                    let ready_in = (record.started_at + self.spec.startup)
                        .since(now)
                        .as_secs_f64();
                    slots * requests_within(horizon - ready_in, service_time).max(1.0)
                }
            })
            .sum()
    }

    /// Requests the reservation of the missing runners, up to the maximum number of pending reservations.
    fn request_reservations(
        &mut self,
        now: MonotonicTime,
        target_count: usize,
        pending_count: usize,
    ) {
        if now < self.scaling.next_reserve_at {
            return;
        }
        let reserving_count = self.scaling.reserving_since.len();
        let missing_count = target_count.saturating_sub(pending_count);
        for _ in 0..missing_count.min(MAX_PENDING_RESERVATIONS.saturating_sub(reserving_count)) {
            self.scaling.reserving_since.push(now);
            self.report(HolderMessage::Reserve);
        }
    }

    /// Stops the youngest starting runner if it is no longer needed and less than a fraction of its start-up has
    /// passed.
    fn cancel_excess_startup(&mut self, now: MonotonicTime, target_count: usize) {
        let ready_count = self.usable_count();
        if self.runners.starting_or_ready_count() <= target_count || ready_count < target_count {
            return;
        }
        let cancellable_for = self.spec.startup.mul_f64(CANCELLABLE_STARTUP_FRACTION);
        let youngest = self
            .runners
            .starting()
            .max_by_key(|(_, record)| record.started_at)
            .filter(|(_, record)| now.since(record.started_at) < cancellable_for)
            .map(|(runner, _)| runner);
        if let Some(runner) = youngest {
            self.stop_runner(now, runner);
        }
    }

    /// Returns the number of runners that are ready and not to be replaced.
    fn usable_count(&self) -> usize {
        self.runners
            .records()
            .filter(|record| record.is_usable())
            .count()
    }

    /// Drains the runners that are to be replaced and, once per drain interval, one that is not needed.
    fn scale_down(&mut self, now: MonotonicTime, target_count: usize) {
        let usable_count = self.usable_count();
        self.drain_replaced(now, usable_count > 0);
        if !self.lifecycle.is_idle_stopped()
            && usable_count > target_count.max(1)
            && now >= self.scaling.next_drain_at
        {
            self.scaling.next_drain_at = now + self.tuning.drain_interval_for(self.spec.startup);
            let least_busy = self
                .runners
                .iter_mut()
                .filter(|(_, record)| record.is_usable())
                .filter(|(_, record)| now.since(record.phase_since) >= STABLE_AFTER)
                .min_by_key(|(_, record)| record.busy_count());
            if let Some((_, record)) = least_busy {
                record.begin_draining(now);
            }
        }
    }

    /// Drains the runners that are to be replaced, once another one is ready or [`REPLACE_TIMEOUT`] has passed.
    fn drain_replaced(&mut self, now: MonotonicTime, has_replacement: bool) {
        for (_, record) in self.runners.iter_mut() {
            let is_overdue = record
                .replace_since
                .is_some_and(|since| now.since(since) > REPLACE_TIMEOUT);
            let needs_replacement = record.replace_since.is_some() && record.phase == Phase::Ready;
            if needs_replacement && (has_replacement || is_overdue) {
                record.begin_draining(now);
            }
        }
    }
}

/// Returns the number of requests that one slot runs within a span; both times are in seconds.
fn requests_within(span: f64, service_time: f64) -> f64 {
    (span / service_time).max(0.0)
}
