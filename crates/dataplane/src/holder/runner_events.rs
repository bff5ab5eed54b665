//! What the leader and the platform report about the runners: reserved, started, ready, stopped, gone.

use super::runners::{Phase, RunnerRecord};
use super::{Holder, HolderMessage, HolderOutput};
use common::adapter::StartOutcome;
use common::clock::MonotonicTime;
use common::frames::{ReserveResult, RunnerStatus};
use common::identity::{IdempotencyKey, RunnerId};
use common::rules::Rule;

impl Holder {
    /// The leader answered a wish for a runner.
    pub fn reserved(&mut self, now: MonotonicTime, result: &ReserveResult) -> Vec<HolderOutput> {
        self.scaling
            .reserve_ended(now, matches!(result, ReserveResult::Reserved { .. }));
        if let ReserveResult::Reserved {
            runner,
            worker,
            memory_mb,
        } = result
        {
            if self.is_releasing() || runner.fencing_token != self.fencing_token {
                self.outputs
                    .push(HolderOutput::Report(HolderMessage::RunnerStatus {
                        runner: *runner,
                        runner_status: RunnerStatus::Gone,
                    }));
                return std::mem::take(&mut self.outputs);
            }
            let slots = if self.rules.enforces(Rule::SlotLimitRespected) {
                self.spec.slots
            } else {
                u32::MAX
            };
            let mut record = RunnerRecord::starting(now, worker.clone(), *memory_mb, slots);
            if !self.rules.enforces(Rule::SlowStartRespected) {
                record.limit = slots;
            }
            self.runners.insert(*runner, record);
            let (worker, spec) = (worker.clone(), self.spec.clone());
            self.outputs.push(HolderOutput::Start {
                runner: *runner,
                worker,
                spec,
            });
        }
        std::mem::take(&mut self.outputs)
    }

    /// The wish for a runner got no answer.
    pub fn reserve_failed(&mut self, now: MonotonicTime) {
        self.scaling.reserve_ended(now, false);
    }

    /// The platform answered a start. The same order again finds the same runner.
    pub fn started(
        &mut self,
        now: MonotonicTime,
        runner: RunnerId,
        end: StartOutcome,
    ) -> Vec<HolderOutput> {
        let Some(record) = self.runners.get_mut(&runner) else {
            return Vec::new();
        };
        match end {
            StartOutcome::Started(instance) => {
                if record.instance.is_none() {
                    record.instance = Some(instance.clone());
                    let runner_status = RunnerStatus::Started { instance };
                    self.outputs
                        .push(HolderOutput::Report(HolderMessage::RunnerStatus {
                            runner,
                            runner_status,
                        }));
                }
                if record.phase == Phase::StartRequested {
                    record.phase = Phase::StartingUp;
                    record.probe_after(record.started_at + self.spec.startup / 2);
                }
            }
            _ if record.phase != Phase::StartRequested => {}
            StartOutcome::Busy | StartOutcome::Lost => record.schedule_start_retry(now),
            StartOutcome::NoCapacity | StartOutcome::Rejected => {
                self.runners.remove(&runner);
                self.scaling.reserve_ended(now, false);
                let runner_status = RunnerStatus::Gone;
                self.outputs
                    .push(HolderOutput::Report(HolderMessage::RunnerStatus {
                        runner,
                        runner_status,
                    }));
                self.scale(now);
                self.finish_release(now);
            }
        }
        std::mem::take(&mut self.outputs)
    }

    /// A booting runner was asked whether it is ready.
    pub fn probed(
        &mut self,
        now: MonotonicTime,
        runner: RunnerId,
        is_ready: bool,
    ) -> Vec<HolderOutput> {
        if let Some(record) = self.runners.get_mut(&runner) {
            record.probe_pending = false;
            if is_ready && record.phase == Phase::StartingUp {
                record.phase = Phase::Ready;
                record.since = now;
                record.last_used_at = now;
                self.startup_times
                    .record_startup(now.since(record.started_at));
                self.outputs
                    .push(HolderOutput::Report(HolderMessage::RunnerStatus {
                        runner,
                        runner_status: RunnerStatus::Ready,
                    }));
            }
        }
        self.dispatch(now);
        std::mem::take(&mut self.outputs)
    }

    /// A runner said what it is running, or could not be reached.
    pub fn running_listed(
        &mut self,
        now: MonotonicTime,
        runner: RunnerId,
        running: Option<Vec<IdempotencyKey>>,
    ) -> Vec<HolderOutput> {
        match (self.runners.get_mut(&runner), running) {
            (Some(record), Some(running)) => record.resolve_not_running(now, &running),
            (Some(_), None) => self.replace_failed_runner(now, runner),
            (None, _) => {}
        }
        self.dispatch(now);
        self.finish_release(now);
        std::mem::take(&mut self.outputs)
    }

    /// The platform confirmed that a runner is stopped.
    pub fn stopped(&mut self, now: MonotonicTime, runner: RunnerId) -> Vec<HolderOutput> {
        if self.runners.remove(&runner).is_some() {
            self.outputs
                .push(HolderOutput::Report(HolderMessage::RunnerStatus {
                    runner,
                    runner_status: RunnerStatus::Gone,
                }));
        }
        self.scale(now);
        self.finish_release(now);
        std::mem::take(&mut self.outputs)
    }

    /// The platform no longer lists a runner: it is gone.
    pub fn vanished(&mut self, now: MonotonicTime, runner: RunnerId) -> Vec<HolderOutput> {
        self.runners.remove(&runner);
        self.scale(now);
        self.finish_release(now);
        std::mem::take(&mut self.outputs)
    }

    /// The leader wants a runner drained.
    pub fn drain(&mut self, now: MonotonicTime, runner: RunnerId) -> Vec<HolderOutput> {
        if let Some(record) = self.runners.get_mut(&runner) {
            record.replace_since.get_or_insert(now);
        }
        self.scale(now);
        std::mem::take(&mut self.outputs)
    }
}
