//! Handles the requests that daemons and leaders send to the simulated platform.

use super::event::{ControllerEvent, HolderEvent, PlatformEvent};
use super::flaw::Flaw;
use super::network::Requester;
use super::platform::SimRunner;
use super::simulation::Simulation;
use common::adapter::{StartOutcome, StopOrder};
use common::frames::{Instance, SocketAddress};
use common::identity::{FunctionKey, InstanceId, RunnerId, WorkerName};
use common::spec::FunctionSpec;
use std::time::Duration;

/// How often the platform takes a snapshot of its lists.
const LIST_INTERVAL: Duration = Duration::from_millis(100);

impl Simulation {
    /// Handles a request to start a runner. At random, the platform is busy or its response is lost.
    pub(super) fn start_runner(
        &mut self,
        requester: Requester,
        function: FunctionKey,
        runner: RunnerId,
        worker: WorkerName,
        spec: &FunctionSpec,
    ) {
        let is_busy = self.rng.random_bool(0.02);
        let is_answer_lost = self.rng.random_bool(0.02);
        let is_known = self.platform.is_known_runner(runner);
        let outcome = if is_busy {
            StartOutcome::Busy
        } else {
            if !is_known {
                let alive = self
                    .platform
                    .running()
                    .map(|(key, sim_runner)| (key, &sim_runner.function, &sim_runner.instance));
                self.checks.check_sole_start(
                    self.queue.now(),
                    &function,
                    runner.fencing_token,
                    alive,
                );
            }
            let started = SimRunner {
                function: function.clone(),
                worker,
                instance: Instance {
                    name: "".into(),
                    address: SocketAddress::UNSPECIFIED,
                },
                ready_at: self.queue.now() + spec.startup,
                running: Default::default(),
                slots: spec.slots,
                answered: 0,
                last_sealed: None,
            };
            self.platform.start(runner, started)
        };
        let outcome = if is_answer_lost {
            StartOutcome::Lost
        } else {
            outcome
        };
        let delay = self.network.delay(&mut self.rng);
        self.queue.push(
            delay,
            HolderEvent::Started(requester, function, runner, outcome),
        );
    }

    /// Handles a daemon's request to stop a runner.
    pub(super) fn stop_runner(
        &mut self,
        requester: Requester,
        function: FunctionKey,
        runner: RunnerId,
        instance: Option<&InstanceId>,
    ) {
        self.platform.stop_instance(runner, instance);
        let delay = self.network.delay(&mut self.rng);
        self.queue
            .push(delay, HolderEvent::Stopped(requester, function, runner));
    }

    /// Handles a leader's request to stop a runner. The flaws of stop requests leave the runner running, and
    /// [`Flaw::StopRequestsLost`] leaves out the confirmation as well.
    pub(super) fn stop_runner_for_leader(&mut self, requester: Requester, order: &StopOrder) {
        let flaw = self.plan.flaw;
        if !matches!(flaw, Flaw::StopRequestsIgnored | Flaw::StopRequestsLost) {
            self.platform
                .stop_instance(order.runner, order.instance.as_ref());
        }
        let delay = self.network.delay(&mut self.rng);
        if flaw != Flaw::StopRequestsLost {
            let stopped = ControllerEvent::RunnerStopped(requester, order.runner);
            self.queue.push(delay, stopped);
        }
    }

    /// Takes a snapshot of the platform's lists, and checks that each runner instance has at most one owner.
    pub(super) fn handle_list_tick(&mut self) {
        self.platform.snapshot_lists(self.queue.now());
        self.check_instance_owners();
        if self.platform.are_lists_delayed() || !self.is_control_plane_healthy() {
            self.checks.record_control_outage(self.queue.now());
        }
        self.queue.push(LIST_INTERVAL, PlatformEvent::ListTick);
    }
}
