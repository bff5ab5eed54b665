//! The simulated platform with its workers and runners.

use common::adapter::{ListedRunner, ListedWorker, StartOutcome};
use common::clock::MonotonicTime;
use common::frames::{Instance, SocketAddress};
use common::identity::{
    FencingToken, FunctionKey, IdempotencyKey, InstanceId, RunnerId, WorkerName, Zone,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// The usual age of the lists of runners and workers.
const DEFAULT_LIST_DELAY: Duration = Duration::from_millis(1000);

/// A simulated runner.
#[derive(Clone)]
pub(crate) struct SimRunner {
    /// Its function.
    pub function: FunctionKey,
    /// Its worker.
    pub worker: WorkerName,
    /// Its instance at the platform.
    pub instance: Instance,
    /// When its startup finishes.
    pub ready_at: MonotonicTime,
    /// The requests that it runs, with the fencing tokens of their lease holders.
    pub running: BTreeMap<IdempotencyKey, FencingToken>,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// The number of good responses that it has sent.
    pub answered: u32,
    /// The last response that it sealed: the idempotency key, the seal and the body.
    pub last_sealed: Option<(IdempotencyKey, String, Vec<u8>)>,
}

/// A simulated platform. Its lists are delayed, the id of a stopped runner is never started again, and the address of a
/// stopped runner is free for reuse immediately.
pub(crate) struct SimPlatform {
    /// The workers.
    workers: Vec<ListedWorker>,
    /// When each draining worker began to drain.
    draining_since: BTreeMap<WorkerName, MonotonicTime>,
    /// The runners that are running.
    runners: BTreeMap<RunnerId, SimRunner>,
    /// The ids of runners that were stopped.
    stopped: BTreeSet<RunnerId>,
    /// The delay of the lists of runners and workers.
    list_delay: Duration,
    /// The running runner at each address.
    listening: BTreeMap<SocketAddress, RunnerId>,
    by_instance: BTreeMap<InstanceId, RunnerId>,
    instance_count: u64,
    /// The addresses of stopped runners, which are reused before new ones.
    free_addresses: Vec<SocketAddress>,
    address_count: u16,
    /// When each leaving runner announced that it is leaving.
    leaving_since: BTreeMap<RunnerId, MonotonicTime>,
    /// The snapshots of the lists, each with its time, from the one that is currently visible to the newest.
    listed_snapshots: VecDeque<(MonotonicTime, Vec<ListedRunner>, Vec<ListedWorker>)>,
}

impl SimPlatform {
    /// Creates a platform with workers in three zones.
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
            stopped: BTreeSet::new(),
            list_delay: DEFAULT_LIST_DELAY,
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
            .map(|(runner, sim_runner)| ListedRunner {
                instance: sim_runner.instance.clone(),
                runner: None,
                function: sim_runner.function.name.clone(),
                key: None,
                worker: sim_runner.worker.clone(),
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

    /// Returns the delayed lists and their age.
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

    /// Returns the zone of a worker.
    pub(crate) fn zone_of(&self, worker: &WorkerName) -> Option<&Zone> {
        self.workers
            .iter()
            .find(|listed| listed.worker == *worker)
            .map(|listed| &listed.zone)
    }

    /// Returns the runner that listens at an address.
    pub(crate) fn runner_at(&self, address: SocketAddress) -> Option<(RunnerId, &SimRunner)> {
        let runner = *self.listening.get(&address)?;
        self.runners
            .get(&runner)
            .map(|sim_runner| (runner, sim_runner))
    }

    /// Starts a runner with this id, or returns its instance if it is already running. The id of a stopped runner is
    /// rejected.
    pub(crate) fn start(&mut self, runner: RunnerId, mut started: SimRunner) -> StartOutcome {
        if let Some(sim_runner) = self.runners.get(&runner) {
            return StartOutcome::Started(sim_runner.instance.clone());
        }
        if self.stopped.contains(&runner) {
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

    /// Stops an instance permanently. Without an instance, stops the runner with this id and rejects later starts of
    /// it.
    pub(crate) fn stop_instance(&mut self, runner: RunnerId, instance: Option<&InstanceId>) {
        match instance {
            Some(instance) => {
                if let Some(started_as) = self.by_instance.get(instance).copied() {
                    self.stop(started_as);
                }
            }
            None => self.stop(runner),
        }
    }

    /// Stops the runner with this id permanently.
    pub(crate) fn stop(&mut self, runner: RunnerId) {
        self.leaving_since.remove(&runner);
        if let Some(sim_runner) = self.runners.remove(&runner) {
            self.listening.remove(&sim_runner.instance.address);
            self.free_addresses.push(sim_runner.instance.address);
        }
        self.stopped.insert(runner);
    }

    /// Stops all runners of a worker.
    pub(crate) fn crash_worker(&mut self, worker: &WorkerName) {
        let lost_runners: Vec<RunnerId> = self
            .runners
            .iter()
            .filter(|(_, sim_runner)| sim_runner.worker == *worker)
            .map(|(runner, _)| *runner)
            .collect();
        for lost_runner in lost_runners {
            self.stop(lost_runner);
        }
    }

    /// Returns the number of workers.
    pub(crate) fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// Returns the name of a worker.
    pub(crate) fn worker_name(&self, index: usize) -> WorkerName {
        self.workers[index].worker.clone()
    }

    /// Returns the runners that are running.
    pub(crate) fn running(&self) -> impl Iterator<Item = (&RunnerId, &SimRunner)> {
        self.runners.iter()
    }

    /// Returns the number of runners that are running.
    pub(crate) fn runner_count(&self) -> usize {
        self.runners.len()
    }

    /// Returns the id of the running runner at this index in the order of ids.
    pub(crate) fn nth_runner(&self, index: usize) -> Option<RunnerId> {
        self.runners.keys().nth(index).copied()
    }

    /// Returns the running runner with this id.
    pub(crate) fn runner(&self, runner: RunnerId) -> Option<&SimRunner> {
        self.runners.get(&runner)
    }

    /// Returns a mutable reference to the running runner with this id.
    pub(crate) fn runner_mut(&mut self, runner: RunnerId) -> Option<&mut SimRunner> {
        self.runners.get_mut(&runner)
    }

    /// Whether the runner with this id is running or was stopped.
    pub(crate) fn is_known_runner(&self, runner: RunnerId) -> bool {
        self.stopped.contains(&runner) || self.runners.contains_key(&runner)
    }

    /// Returns when a worker began to drain, if it is draining.
    pub(crate) fn draining_since(&self, worker: &WorkerName) -> Option<MonotonicTime> {
        self.draining_since.get(worker).copied()
    }

    /// Returns when a runner announced that it is leaving.
    pub(crate) fn leaving_since(&self, runner: RunnerId) -> Option<MonotonicTime> {
        self.leaving_since.get(&runner).copied()
    }

    /// Records a runner's announcement that it is leaving.
    pub(crate) fn announce_leaving(&mut self, runner: RunnerId, now: MonotonicTime) {
        self.leaving_since.entry(runner).or_insert(now);
    }

    /// Delays the lists by more than usual.
    pub(crate) fn delay_lists(&mut self, additional_delay: Duration) {
        self.list_delay = DEFAULT_LIST_DELAY + additional_delay;
    }

    /// Restores the usual delay of the lists.
    pub(crate) fn end_list_delay(&mut self) {
        self.list_delay = DEFAULT_LIST_DELAY;
    }

    /// Whether the lists are delayed by more than usual.
    pub(crate) fn are_lists_delayed(&self) -> bool {
        self.list_delay > DEFAULT_LIST_DELAY
    }

    /// Removes the workers of a zone and stops their runners. Returns the workers.
    pub(crate) fn remove_zone(&mut self, zone: &Zone) -> Vec<ListedWorker> {
        let removed_workers: Vec<ListedWorker> = self
            .workers
            .extract_if(.., |listed| listed.zone == *zone)
            .collect();
        for removed_worker in &removed_workers {
            self.crash_worker(&removed_worker.worker);
        }
        removed_workers
    }

    /// Restores removed workers, without their runners.
    pub(crate) fn restore_workers(&mut self, workers: Vec<ListedWorker>) {
        self.workers.extend(workers);
        self.workers
            .sort_by(|left, right| left.worker.cmp(&right.worker));
    }

    /// Starts to drain a worker.
    pub(crate) fn drain_worker(&mut self, now: MonotonicTime, index: usize) {
        let listed = &mut self.workers[index];
        listed.draining = true;
        self.draining_since
            .entry(listed.worker.clone())
            .or_insert(now);
    }

    /// Ends the draining of all workers.
    pub(crate) fn end_worker_drains(&mut self) {
        self.draining_since.clear();
        self.workers
            .iter_mut()
            .for_each(|listed| listed.draining = false);
    }
}
