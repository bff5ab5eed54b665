use super::runners::Phase;
use super::{Holder, HolderOutput, HolderWord};
use std::time::Duration;
use waymark::clock::Moment;
use waymark::identity::RunnerId;

const TARGET_SHARE: f64 = 0.7;
const RESERVE_PATIENCE: Duration = Duration::from_millis(1500);
const RESERVE_AGAIN_AFTER: Duration = Duration::from_millis(400);
const REPLACE_WITHIN: Duration = Duration::from_millis(1000);
const MOST_RESERVING: usize = 4;

/// The holder's view of how many runners it needs.
pub struct Scaling {
    smoothed: f64,
    smoothed_at: Moment,
    reserving_since: Vec<Moment>,
    next_reserve_at: Moment,
    next_drain_at: Moment,
}

impl Scaling {
    /// Needs none yet.
    pub fn new(now: Moment) -> Self {
        Self {
            smoothed: 0.0,
            smoothed_at: now,
            reserving_since: Vec::new(),
            next_reserve_at: now,
            next_drain_at: now,
        }
    }

    /// An asked-for runner was given or refused.
    pub fn reserve_ended(&mut self, now: Moment, is_given: bool) {
        self.reserving_since.pop();
        if !is_given {
            self.next_reserve_at = now + RESERVE_AGAIN_AFTER;
        }
    }

    /// The function rests: what was wanted before counts no more.
    pub(super) fn rest(&mut self) {
        self.smoothed = 0.0;
    }

    /// Quick up, smooth down.
    fn smooth(&mut self, now: Moment, wanted: f64, fall: Duration) -> f64 {
        let passed_seconds = now.since(self.smoothed_at).as_secs_f64();
        self.smoothed_at = now;
        let fallen =
            wanted + (self.smoothed - wanted) * (-passed_seconds / fall.as_secs_f64()).exp();
        self.smoothed = fallen.max(wanted);
        self.smoothed
    }
}

impl Holder {
    /// Asks for runners, or drains one, as busyness tells.
    pub(super) fn scale(&mut self, now: Moment) {
        if self.is_leaving() {
            return;
        }
        let busy_count = (self.inbox.len() + self.sent.len()) as f64;
        let wanted = busy_count / (f64::from(self.spec.slots) * TARGET_SHARE);
        let smoothed = self.scaling.smooth(now, wanted, self.tuning.fall);
        let least = u32::from(!self.resting);
        let floor = self.spec.min_runners.max(least).min(self.spec.max_runners);
        let wanted_count =
            (smoothed.ceil() as u32).clamp(floor, self.spec.max_runners.max(1)) as usize;
        let fit_count = self
            .runners
            .values()
            .filter(|record| {
                matches!(record.phase, Phase::Starting | Phase::Booting | Phase::Ready)
                    && record.unfit_since.is_none()
            })
            .count();
        self.reserve(now, wanted_count, fit_count);
        self.drain_extra(now, wanted_count);
    }

    /// Stops the runners of a function that nobody has called for so many boot times; it stays held. A
    /// function that boots longer than its callers gladly wait keeps one.
    pub(super) fn rest_if_idle(&mut self, now: Moment) {
        let is_to_rest = self.tuning.idle_boots > 0
            && !self.warm
            && !self.is_leaving()
            && !self.resting
            && self.spec.min_runners == 0;
        if !is_to_rest {
            return;
        }
        let longest_idle = self.spec.boot * self.tuning.idle_boots;
        let used_at = self.runners.values().map(|record| record.used_at).max();
        let has_ready = self.runners.values().any(|record| record.phase == Phase::Ready);
        let is_long_idle = self.idle(now).is_some_and(|span| span > longest_idle)
            && used_at.is_some_and(|used_at| now.since(used_at) > longest_idle);
        if has_ready && is_long_idle {
            self.rest(now);
        }
    }

    /// Stops every runner until the next call.
    pub(super) fn rest(&mut self, now: Moment) {
        self.resting = true;
        self.scaling.rest();
        let all_runners: Vec<RunnerId> = self.runners.keys().copied().collect();
        for runner in all_runners {
            self.stop_runner(now, runner);
        }
    }

    fn reserve(&mut self, now: Moment, wanted_count: usize, fit_count: usize) {
        let reserving = &mut self.scaling.reserving_since;
        reserving.retain(|since| now.since(*since) < RESERVE_PATIENCE);
        let coming_count = fit_count + reserving.len();
        let step_count = wanted_count.min(fit_count * 2 + 1).saturating_sub(coming_count);
        let most_count = step_count.min(MOST_RESERVING.saturating_sub(reserving.len()));
        if now < self.scaling.next_reserve_at {
            return;
        }
        for _ in 0..most_count {
            self.scaling.reserving_since.push(now);
            self.outputs.push(HolderOutput::Tell(HolderWord::Reserve));
        }
    }

    fn drain_extra(&mut self, now: Moment, wanted_count: usize) {
        let ready_runners: Vec<RunnerId> = self
            .runners
            .iter()
            .filter(|(_, record)| record.is_fit())
            .map(|(runner, _)| *runner)
            .collect();
        let has_replacement = !ready_runners.is_empty();
        for record in self.runners.values_mut() {
            let is_overdue =
                record.unfit_since.is_some_and(|since| now.since(since) > REPLACE_WITHIN);
            let is_unfit = record.unfit_since.is_some() && record.phase == Phase::Ready;
            if is_unfit && (has_replacement || is_overdue) {
                record.phase = Phase::Draining;
                record.since = now;
            }
        }
        if !self.resting
            && ready_runners.len() > wanted_count.max(1)
            && now >= self.scaling.next_drain_at
        {
            self.scaling.next_drain_at = now + self.tuning.drain_every;
            let least_busy =
                ready_runners.into_iter().min_by_key(|runner| self.runners[runner].busy_count());
            if let Some(record) = least_busy.and_then(|runner| self.runners.get_mut(&runner)) {
                record.phase = Phase::Draining;
                record.since = now;
            }
        }
    }
}
