//! How many runners a holder wants: asks for more, drains or stops those it does not need.

use super::runners::Phase;
use super::{Holder, HolderMessage, HolderOutput};
use common::clock::Moment;
use common::identity::RunnerId;
use std::time::Duration;

const RESERVE_PATIENCE: Duration = Duration::from_millis(1500);
const RESERVE_AGAIN_AFTER: Duration = Duration::from_millis(400);
const REPLACE_WITHIN: Duration = Duration::from_millis(1000);
const MOST_RESERVING: usize = 8;
/// A runner is not drained before it is so old: what it was started or taken over for may be on its way.
const SETTLED_AFTER: Duration = Duration::from_secs(1);
/// A runner that boots for nothing is stopped up to this share of its boot; later it may as well be used.
const BOOT_GIVEN_UP: f64 = 0.5;
/// A runner is given up only when a load higher by this factor could do without it too: measured loads swing, and
/// what is given up on one swing is started again on the next.
const GIVEN_UP_LOAD: f64 = 1.25;

/// The holder's view of what it has asked for.
pub struct Scaling {
    reserving_since: Vec<Moment>,
    next_reserve_at: Moment,
    next_drain_at: Moment,
}

impl Scaling {
    /// Needs none yet.
    pub fn new(now: Moment) -> Self {
        Self { reserving_since: Vec::new(), next_reserve_at: now, next_drain_at: now }
    }

    /// An asked-for runner was given or refused.
    pub fn reserve_ended(&mut self, now: Moment, is_given: bool) {
        self.reserving_since.pop();
        if !is_given {
            self.next_reserve_at = now + RESERVE_AGAIN_AFTER;
        }
    }
}

impl Holder {
    /// Asks for runners, or gives some up, as the load and what waits tell.
    pub(super) fn scale(&mut self, now: Moment) {
        if self.is_leaving() {
            return;
        }
        let reserving = &mut self.scaling.reserving_since;
        reserving.retain(|since| now.since(*since) < RESERVE_PATIENCE);
        let least = u32::from(!self.resting);
        let floor = self.spec.min_runners.max(least).min(self.spec.max_runners) as usize;
        let most = self.spec.max_runners.max(1) as usize;
        let fit_count = self.runners.values().filter(|record| record.is_coming_or_fit()).count();
        let coming_count = fit_count + self.scaling.reserving_since.len();
        let load = self.demand.rate(now) * self.service.as_secs_f64();
        let is_load_known = !self.resting && self.demand.is_known(now);
        let load_count = if is_load_known { self.runners_for(load) } else { 0 };
        let late_count = self.runners_for_waiting(now, load);
        let wanted_count = load_count.max(coming_count * usize::from(late_count > 0) + late_count);
        let wanted_count = wanted_count.clamp(floor, most.max(floor));
        self.reserve(now, wanted_count, coming_count);
        let kept_count = wanted_count.max(self.runners_for(load * GIVEN_UP_LOAD)).min(most);
        if self.inbox.is_empty() {
            self.give_up_booting(now, kept_count);
        }
        self.drain_extra(now, kept_count);
    }

    /// The runners for a load, in slots, with a margin for its swings that grows as its root.
    fn runners_for(&self, load: f64) -> usize {
        let margin = f64::from(self.tuning.margin_percent) / 100.0 * load.sqrt();
        ((load + margin) / f64::from(self.spec.slots.max(1))).ceil() as usize
    }

    /// The runners to be started for what waits: those without which it would not be sent in time. What
    /// runs, boots or is asked for counts with what it can do until then.
    fn runners_for_waiting(&self, now: Moment, load: f64) -> usize {
        let boot = self.spec.boot.as_secs_f64();
        let service = self.service.as_secs_f64().max(0.001);
        let slots = f64::from(self.spec.slots.max(1));
        let horizon = self.inbox.iter().map(|waiting| {
            let target = waiting.entry.target.as_secs_f64();
            let budget = waiting.entry.budget_end.since(now).as_secs_f64();
            if target > boot + 2.0 * service { target } else { boot.midpoint(budget.max(boot)) }
        });
        let Some(horizon) = horizon.max_by(f64::total_cmp) else { return 0 };
        let turns = |span: f64| (span / service).max(0.0);
        let of_runners: f64 = self
            .runners
            .values()
            .filter(|record| record.is_coming_or_fit())
            .map(|record| match record.phase {
                Phase::Ready => f64::from(record.limit_soon(now)) * turns(horizon),
                _ => {
                    let ready_in = (record.started_at + self.spec.boot).since(now).as_secs_f64();
                    slots * turns(horizon - ready_in).max(1.0)
                }
            })
            .sum();
        let asked_count = self.scaling.reserving_since.len() as f64;
        let fresh_turns = slots * turns(horizon - boot).max(1.0);
        let is_ready = self.runners.values().any(|record| record.phase == Phase::Ready);
        let arriving = if is_ready { load / service * horizon } else { 0.0 };
        let able = (of_runners + asked_count * fresh_turns - arriving).max(0.0);
        let unserved = self.inbox.len() as f64 - able;
        if unserved > 0.0 { (unserved / fresh_turns).ceil() as usize } else { 0 }
    }

    fn reserve(&mut self, now: Moment, wanted_count: usize, coming_count: usize) {
        if now < self.scaling.next_reserve_at {
            return;
        }
        let asked_count = self.scaling.reserving_since.len();
        let missing_count = wanted_count.saturating_sub(coming_count);
        for _ in 0..missing_count.min(MOST_RESERVING.saturating_sub(asked_count)) {
            self.scaling.reserving_since.push(now);
            self.outputs.push(HolderOutput::Tell(HolderMessage::Reserve));
        }
    }

    /// Stops the youngest runner that boots and is no longer needed, while little of its boot is paid for.
    fn give_up_booting(&mut self, now: Moment, wanted_count: usize) {
        let fit_count = self.runners.values().filter(|record| record.is_coming_or_fit()).count();
        let ready_count = self.runners.values().filter(|record| record.is_fit()).count();
        if fit_count <= wanted_count || ready_count < wanted_count {
            return;
        }
        let paid_until = self.spec.boot.mul_f64(BOOT_GIVEN_UP);
        let youngest = self
            .runners
            .iter()
            .filter(|(_, record)| matches!(record.phase, Phase::Starting | Phase::Booting))
            .max_by_key(|(_, record)| record.started_at)
            .filter(|(_, record)| now.since(record.started_at) < paid_until)
            .map(|(runner, _)| *runner);
        if let Some(runner) = youngest {
            self.stop_runner(now, runner);
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
            self.scaling.next_drain_at = now + self.tuning.drain_pause(self.spec.boot);
            let least_busy = ready_runners
                .into_iter()
                .filter(|runner| now.since(self.runners[runner].since) >= SETTLED_AFTER)
                .min_by_key(|runner| self.runners[runner].busy_count());
            if let Some(record) = least_busy.and_then(|runner| self.runners.get_mut(&runner)) {
                record.phase = Phase::Draining;
                record.since = now;
            }
        }
    }
}
