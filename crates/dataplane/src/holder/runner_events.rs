//! What the leader and the platform report about the runners: reserved, started, ready, stopped, gone.

use super::runners::{Phase, RunnerRecord};
use super::{Holder, HolderMessage, HolderOutput};
use common::clock::Moment;
use common::frames::{ReserveResult, RunnerNews};
use common::identity::{RunnerId, TransactionId};
use common::rules::Rule;
use common::tongue::BeginEnd;

impl Holder {
    /// The leader answered a wish for a runner.
    pub fn reserved(&mut self, now: Moment, result: &ReserveResult) -> Vec<HolderOutput> {
        self.scaling.reserve_ended(now, matches!(result, ReserveResult::Reserved { .. }));
        if let ReserveResult::Reserved { runner, worker, memory_mb } = result {
            if self.is_leaving() || runner.grant != self.grant {
                self.outputs.push(HolderOutput::Tell(HolderMessage::News {
                    runner: *runner,
                    news: RunnerNews::Gone,
                }));
                return std::mem::take(&mut self.outputs);
            }
            let slots = if self.rules.keep(Rule::SlotsKept) { self.spec.slots } else { u32::MAX };
            let mut record = RunnerRecord::starting(now, worker.clone(), *memory_mb, slots);
            if !self.rules.keep(Rule::RampKept) {
                record.limit = slots;
            }
            self.runners.insert(*runner, record);
            let (worker, spec) = (worker.clone(), self.spec.clone());
            self.outputs.push(HolderOutput::Start { runner: *runner, worker, spec });
        }
        std::mem::take(&mut self.outputs)
    }

    /// The wish for a runner got no answer.
    pub fn reserve_lost(&mut self, now: Moment) {
        self.scaling.reserve_ended(now, false);
    }

    /// The platform answered a start. The same order again finds the same runner.
    pub fn started(&mut self, now: Moment, runner: RunnerId, end: BeginEnd) -> Vec<HolderOutput> {
        let Some(record) = self.runners.get_mut(&runner) else { return Vec::new() };
        match end {
            BeginEnd::Begun(life) => {
                if record.life.is_none() {
                    record.life = Some(life.clone());
                    let news = RunnerNews::Begun { life };
                    self.outputs.push(HolderOutput::Tell(HolderMessage::News { runner, news }));
                }
                if record.phase == Phase::Starting {
                    record.phase = Phase::Booting;
                    record.probe_from(record.started_at + self.spec.boot / 2);
                }
            }
            _ if record.phase != Phase::Starting => {}
            BeginEnd::Busy | BeginEnd::Lost => record.order_again(now),
            BeginEnd::NoRoom | BeginEnd::Refused => {
                self.runners.remove(&runner);
                self.scaling.reserve_ended(now, false);
                let news = RunnerNews::Gone;
                self.outputs.push(HolderOutput::Tell(HolderMessage::News { runner, news }));
                self.scale(now);
                self.finish_leaving(now);
            }
        }
        std::mem::take(&mut self.outputs)
    }

    /// A booting runner was asked whether it is ready.
    pub fn probed(&mut self, now: Moment, runner: RunnerId, is_ready: bool) -> Vec<HolderOutput> {
        if let Some(record) = self.runners.get_mut(&runner) {
            record.probe_pending = false;
            if is_ready && record.phase == Phase::Booting {
                record.phase = Phase::Ready;
                record.since = now;
                record.used_at = now;
                self.boots.measured(now.since(record.started_at));
                self.outputs.push(HolderOutput::Tell(HolderMessage::News {
                    runner,
                    news: RunnerNews::Ready,
                }));
            }
        }
        self.dispatch(now);
        std::mem::take(&mut self.outputs)
    }

    /// A runner said what it is running, or could not be reached.
    pub fn settled(
        &mut self,
        now: Moment,
        runner: RunnerId,
        running: Option<Vec<TransactionId>>,
    ) -> Vec<HolderOutput> {
        match (self.runners.get_mut(&runner), running) {
            (Some(record), Some(running)) => record.settle(now, &running),
            (Some(_), None) => self.runner_failed(now, runner),
            (None, _) => {}
        }
        self.dispatch(now);
        self.finish_leaving(now);
        std::mem::take(&mut self.outputs)
    }

    /// The platform confirmed that a runner is stopped.
    pub fn stopped(&mut self, now: Moment, runner: RunnerId) -> Vec<HolderOutput> {
        if self.runners.remove(&runner).is_some() {
            self.outputs
                .push(HolderOutput::Tell(HolderMessage::News { runner, news: RunnerNews::Gone }));
        }
        self.scale(now);
        self.finish_leaving(now);
        std::mem::take(&mut self.outputs)
    }

    /// The platform no longer lists a runner: it is gone.
    pub fn vanished(&mut self, now: Moment, runner: RunnerId) -> Vec<HolderOutput> {
        self.runners.remove(&runner);
        self.scale(now);
        self.finish_leaving(now);
        std::mem::take(&mut self.outputs)
    }

    /// The leader wants a runner drained.
    pub fn drain(&mut self, now: Moment, runner: RunnerId) -> Vec<HolderOutput> {
        if let Some(record) = self.runners.get_mut(&runner) {
            record.unfit_since.get_or_insert(now);
        }
        self.scale(now);
        std::mem::take(&mut self.outputs)
    }
}
