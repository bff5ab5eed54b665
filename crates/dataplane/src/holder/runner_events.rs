//! Handles the events of a runner's life that the leader and the platform report, from its reservation to its stop.

use super::runners::{Phase, RunnerRecord};
use super::{Holder, HolderMessage, HolderOutput};
use common::adapter::StartOutcome;
use common::clock::MonotonicTime;
use common::frames::{ReserveResult, RunnerStatus};
use common::identity::{IdempotencyKey, RunnerId};
use common::rules::Rule;

impl Holder {
    /// Handles the leader's reply to a reservation request.
    pub fn handle_reserve_result(
        &mut self,
        now: MonotonicTime,
        result: &ReserveResult,
    ) -> Vec<HolderOutput> {
        self.scaling
            .record_reserve_result(now, matches!(result, ReserveResult::Reserved { .. }));
        if let ReserveResult::Reserved {
            runner,
            worker,
            memory_mb,
        } = result
        {
            if self.is_releasing() || runner.fencing_token != self.lease.fencing_token {
                self.report_runner(*runner, RunnerStatus::Gone);
                return self.take_outputs();
            }
            let slots = self.slots_per_runner();
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
        self.take_outputs()
    }

    /// Handles a reservation request that got no reply.
    pub fn handle_reserve_failure(&mut self, now: MonotonicTime) {
        self.scaling.record_reserve_result(now, false);
    }

    /// Handles the platform's reply to a start. A repeated start yields the same runner.
    pub fn handle_start_outcome(
        &mut self,
        now: MonotonicTime,
        runner: RunnerId,
        outcome: StartOutcome,
    ) -> Vec<HolderOutput> {
        let Some(record) = self.runners.get_mut(runner) else {
            return Vec::new();
        };
        match outcome {
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
                self.runners.remove(runner);
                self.scaling.record_reserve_result(now, false);
                self.report_runner(runner, RunnerStatus::Gone);
                self.scale(now);
                self.finish_release(now);
            }
        }
        self.take_outputs()
    }

    /// Handles the result of a readiness probe.
    pub fn handle_probe_result(
        &mut self,
        now: MonotonicTime,
        runner: RunnerId,
        is_ready: bool,
    ) -> Vec<HolderOutput> {
        if let Some(record) = self.runners.get_mut(runner) {
            record.probe_pending = false;
            if is_ready && record.phase == Phase::StartingUp {
                record.phase = Phase::Ready;
                record.phase_since = now;
                record.last_used_at = now;
                self.idle_retention
                    .record_startup(now.since(record.started_at));
                self.report_runner(runner, RunnerStatus::Ready);
            }
        }
        self.dispatch(now);
        self.take_outputs()
    }

    /// Handles a runner's list of the requests that it is running; `running` is `None` if it could not be reached.
    pub fn handle_running_list(
        &mut self,
        now: MonotonicTime,
        runner: RunnerId,
        running: Option<Vec<IdempotencyKey>>,
    ) -> Vec<HolderOutput> {
        match (self.runners.get_mut(runner), running) {
            (Some(record), Some(running)) => record.resolve_not_running(now, &running),
            (Some(_), None) => self.replace_failed_runner(now, runner),
            (None, _) => {}
        }
        self.dispatch(now);
        self.finish_release(now);
        self.take_outputs()
    }

    /// Handles the platform's confirmation that a runner is stopped.
    pub fn handle_runner_stopped(
        &mut self,
        now: MonotonicTime,
        runner: RunnerId,
    ) -> Vec<HolderOutput> {
        if self.runners.remove(runner).is_some() {
            self.report_runner(runner, RunnerStatus::Gone);
        }
        self.scale(now);
        self.finish_release(now);
        self.take_outputs()
    }

    /// Handles the report that the platform no longer lists a runner.
    pub fn handle_runner_gone(
        &mut self,
        now: MonotonicTime,
        runner: RunnerId,
    ) -> Vec<HolderOutput> {
        self.runners.remove(runner);
        self.scale(now);
        self.finish_release(now);
        self.take_outputs()
    }

    /// Handles the leader's order to drain a runner: it is drained as soon as another one is ready.
    pub fn drain_runner(&mut self, now: MonotonicTime, runner: RunnerId) -> Vec<HolderOutput> {
        if let Some(record) = self.runners.get_mut(runner) {
            record.replace_since.get_or_insert(now);
        }
        self.scale(now);
        self.take_outputs()
    }
}
