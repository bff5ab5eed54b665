use super::network::Node;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use survey::desk::{ListedRunner, ListedWorker};
use waymark::clock::Moment;
use waymark::frames::Place;
use waymark::identity::{FunctionKey, RunnerId, TransactionId, WorkerName};

/// One virtual runner.
#[derive(Clone)]
pub struct SimRunner {
    /// Its function.
    pub function: FunctionKey,
    /// Where it runs.
    pub worker: WorkerName,
    /// When it is ready.
    pub ready_at: Moment,
    /// What it is running.
    pub running: BTreeSet<TransactionId>,
    /// How many it may run.
    pub slots: u32,
}

/// A virtual platform: runners, late lists, stopped names that never start again.
pub struct SimPlatform {
    /// The workers.
    pub workers: Vec<ListedWorker>,
    /// The runners alive.
    pub runners: BTreeMap<RunnerId, SimRunner>,
    /// The names that have ended.
    pub ended: BTreeSet<RunnerId>,
    taken_lists: VecDeque<(Moment, Vec<ListedRunner>)>,
    lag: Duration,
}

impl SimPlatform {
    /// Workers in three localities.
    pub fn new(worker_count: usize, memory_mb: u32) -> Self {
        let workers = (0..worker_count)
            .map(|number| ListedWorker {
                worker: format!("worker-{number}").into(),
                locality: format!("locality-{}", number % 3 + 1).into(),
                memory_mb,
                draining: false,
            })
            .collect();
        Self {
            workers,
            runners: BTreeMap::new(),
            ended: BTreeSet::new(),
            taken_lists: VecDeque::new(),
            lag: Duration::from_millis(1000),
        }
    }

    /// Takes a list as things stand.
    pub fn take_list(&mut self, now: Moment) {
        let listed = self
            .runners
            .iter()
            .map(|(runner, held)| ListedRunner {
                runner: *runner,
                function: held.function.clone(),
                worker: held.worker.clone(),
            })
            .collect();
        self.taken_lists.push_back((now, listed));
        while self.taken_lists.len() > 1 && now.since(self.taken_lists[1].0) >= self.lag {
            self.taken_lists.pop_front();
        }
    }

    /// The late list with its age.
    pub fn late_list(&self, now: Moment) -> (Duration, Vec<ListedRunner>) {
        self.taken_lists.front().map_or((Duration::ZERO, Vec::new()), |(taken_at, listed)| {
            (now.since(*taken_at), listed.clone())
        })
    }

    /// Starts a runner, unless its name has ended.
    pub fn start(&mut self, runner: RunnerId, started: SimRunner) -> bool {
        if self.ended.contains(&runner) || self.runners.contains_key(&runner) {
            return self.runners.contains_key(&runner);
        }
        self.runners.insert(runner, started);
        true
    }

    /// Stops a runner for good.
    pub fn stop(&mut self, runner: RunnerId) {
        self.runners.remove(&runner);
        self.ended.insert(runner);
    }

    /// Stops every runner of a worker.
    pub fn crash(&mut self, worker: &WorkerName) {
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
}

/// A runner's place says nothing in the simulator.
pub fn runner_place() -> Place {
    Place::NOWHERE
}

/// Who asked the platform for something.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Asker {
    /// The node.
    pub node: Node,
    /// Its life.
    pub life: u64,
}
