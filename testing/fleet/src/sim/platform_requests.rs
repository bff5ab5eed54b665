//! The platform's side of the requests that daemons and leaders send to it.

use super::event::Event;
use super::network::Requester;
use super::platform::SimRunner;
use super::simulation::Simulation;
use common::adapter::StartOutcome;
use common::frames::{Instance, SocketAddress};
use common::identity::{FunctionKey, RunnerId, WorkerName};
use common::spec::FunctionSpec;

impl Simulation {
    /// Handles a request to start a runner; its response may be lost, or the platform overloaded.
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
        let is_known = self.platform.has_seen(runner);
        let end = if is_busy {
            StartOutcome::Busy
        } else {
            if !is_known {
                let alive = self
                    .platform
                    .running()
                    .map(|(key, held)| (key, &held.function, &held.instance));
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
        let end = if is_answer_lost {
            StartOutcome::Lost
        } else {
            end
        };
        let delay = self.network.delay(&mut self.rng);
        self.queue
            .push(delay, Event::Started(requester, function, runner, end));
    }
}
