//! The simulated platform with its workers and runners.

use super::event::Event;
use super::network::Requester;
use super::simulation::Simulation;
use common::adapter::{ListedRunner, ListedWorker, StartOutcome};
use common::clock::MonotonicTime;
use common::frames::{Instance, SocketAddress};
use common::identity::{
    FencingToken, FunctionKey, IdempotencyKey, InstanceId, RunnerId, WorkerName, Zone,
};
use common::spec::FunctionSpec;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// A simulated runner.
#[derive(Clone)]
pub(crate) struct SimRunner {
    /// Its function.
    pub function: FunctionKey,
    /// Its worker.
    pub worker: WorkerName,
    /// Its instance id at the platform.
    pub instance: Instance,
    /// When its startup is finished.
    pub ready_at: MonotonicTime,
    /// The requests that it runs, with the fencing tokens of their lease holders.
    pub running: BTreeMap<IdempotencyKey, FencingToken>,
    /// How many requests it may run concurrently.
    pub slots: u32,
    /// The number of good answers that it has sent.
    pub answered: u32,
    /// The last answer that it sealed, with the names in the seal.
    pub last_sealed: Option<(IdempotencyKey, String, Vec<u8>)>,
}

/// A simulated platform: runners, delayed lists, stopped runner ids that never start again, and addresses that are
/// reused as soon as a runner has ended.
pub(crate) struct SimPlatform {
    /// The workers.
    pub workers: Vec<ListedWorker>,
    /// The draining workers and since when they are drained.
    pub draining_since: BTreeMap<WorkerName, MonotonicTime>,
    /// The running runners.
    pub runners: BTreeMap<RunnerId, SimRunner>,
    /// The runner ids that have ended.
    pub ended: BTreeSet<RunnerId>,
    /// The delay of the list of runners.
    pub list_delay: Duration,
    listening: BTreeMap<SocketAddress, RunnerId>,
    by_instance: BTreeMap<InstanceId, RunnerId>,
    instance_count: u64,
    free_addresses: Vec<SocketAddress>,
    address_count: u16,
    /// The runners that announced that they leave, and when.
    pub leaving_since: BTreeMap<RunnerId, MonotonicTime>,
    listed_snapshots: VecDeque<(MonotonicTime, Vec<ListedRunner>, Vec<ListedWorker>)>,
}

impl SimPlatform {
    /// Creates workers in three zones.
    pub(crate) fn new(worker_count: usize, memory_mb: u32) -> Self {
        let workers = (0..worker_count)
            .map(|number| ListedWorker {
                worker: format!("worker-{number}").into(),
                zone: format!("locality-{}", number % 3 + 1).into(),
                memory_mb,
                draining: false,
            })
            .collect();
        Self {
            workers,
            draining_since: BTreeMap::new(),
            runners: BTreeMap::new(),
            ended: BTreeSet::new(),
            list_delay: Duration::from_millis(1000),
            listening: BTreeMap::new(),
            by_instance: BTreeMap::new(),
            instance_count: 0,
            free_addresses: Vec::new(),
            address_count: 0,
            leaving_since: BTreeMap::new(),
            listed_snapshots: VecDeque::new(),
        }
    }

    /// Takes a snapshot of the current lists.
    pub(crate) fn snapshot_lists(&mut self, now: MonotonicTime) {
        let listed = self
            .runners
            .iter()
            .map(|(runner, held)| ListedRunner {
                instance: held.instance.clone(),
                runner: None,
                function: held.function.name.clone(),
                key: None,
                worker: held.worker.clone(),
                leaving: self.leaving_since.contains_key(runner),
            })
            .collect();
        self.listed_snapshots
            .push_back((now, listed, self.workers.clone()));
        while self.listed_snapshots.len() > 1
            && now.since(self.listed_snapshots[1].0) >= self.list_delay
        {
            self.listed_snapshots.pop_front();
        }
    }

    /// The delayed lists with their age.
    pub(crate) fn delayed_lists(
        &self,
        now: MonotonicTime,
    ) -> (Duration, Vec<ListedRunner>, Vec<ListedWorker>) {
        self.listed_snapshots.front().map_or(
            (Duration::ZERO, Vec::new(), Vec::new()),
            |(snapshot_at, listed, workers)| {
                (now.since(*snapshot_at), listed.clone(), workers.clone())
            },
        )
    }

    /// The zone of a worker.
    pub(crate) fn zone_of(&self, worker: &WorkerName) -> Option<&Zone> {
        self.workers
            .iter()
            .find(|listed| listed.worker == *worker)
            .map(|listed| &listed.zone)
    }

    /// The runner that listens at an address.
    pub(crate) fn at(&self, address: SocketAddress) -> Option<(RunnerId, &SimRunner)> {
        let runner = *self.listening.get(&address)?;
        self.runners.get(&runner).map(|held| (runner, held))
    }

    /// Starts a runner with this id, unless the id has ended; the same id gives the same instance.
    pub(crate) fn start(&mut self, runner: RunnerId, mut started: SimRunner) -> StartOutcome {
        if let Some(held) = self.runners.get(&runner) {
            return StartOutcome::Started(held.instance.clone());
        }
        if self.ended.contains(&runner) {
            return StartOutcome::Rejected;
        }
        if self.zone_of(&started.worker).is_none() {
            return StartOutcome::NoCapacity;
        }
        let address = self.free_addresses.pop().unwrap_or_else(|| {
            self.address_count += 1;
            SocketAddress(SocketAddrV4::new(
                Ipv4Addr::new(10, 0, 9, 1),
                self.address_count,
            ))
        });
        self.instance_count += 1;
        let instance = Instance {
            name: format!("l{}.{runner}", self.instance_count).into(),
            address,
        };
        started.instance = instance.clone();
        self.listening.insert(address, runner);
        self.by_instance.insert(instance.name.clone(), runner);
        self.runners.insert(runner, started);
        StartOutcome::Started(instance)
    }

    /// Stops an instance for good; without one, whatever was or will be started with the id.
    pub(crate) fn stop_instance(&mut self, runner: RunnerId, instance: Option<&InstanceId>) {
        match instance {
            Some(instance) => {
                if let Some(key) = self.by_instance.get(instance).copied() {
                    self.stop(key);
                }
            }
            None => self.stop(runner),
        }
    }

    /// Stops the runner with this id for good.
    pub(crate) fn stop(&mut self, runner: RunnerId) {
        self.leaving_since.remove(&runner);
        if let Some(held) = self.runners.remove(&runner) {
            self.listening.remove(&held.instance.address);
            self.free_addresses.push(held.instance.address);
        }
        self.ended.insert(runner);
    }

    /// Stops every runner of a worker.
    pub(crate) fn crash(&mut self, worker: &WorkerName) {
        let lost_runners: Vec<RunnerId> = self
            .runners
            .iter()
            .filter(|(_, held)| held.worker == *worker)
            .map(|(runner, _)| *runner)
            .collect();
        for lost_runner in lost_runners {
            self.stop(lost_runner);
        }
    }

    /// Begins to drain a worker.
    pub(crate) fn drain(&mut self, now: MonotonicTime, index: usize) {
        let listed = &mut self.workers[index];
        listed.draining = true;
        self.draining_since
            .entry(listed.worker.clone())
            .or_insert(now);
    }

    /// Restores all drained workers.
    pub(crate) fn restore(&mut self) {
        self.draining_since.clear();
        self.workers
            .iter_mut()
            .for_each(|listed| listed.draining = false);
    }
}

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
        let is_known =
            self.platform.ended.contains(&runner) || self.platform.runners.contains_key(&runner);
        let end = if is_busy {
            StartOutcome::Busy
        } else {
            if !is_known {
                let alive = self
                    .platform
                    .runners
                    .iter()
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
