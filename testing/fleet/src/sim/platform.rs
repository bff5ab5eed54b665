use super::event::Event;
use super::network::Node;
use super::world::World;
use common::clock::Moment;
use common::frames::{Life, Place};
use common::identity::{
    FunctionKey, GrantSerial, LifeName, RunnerId, TransactionId, WorkerName, Zone,
};
use common::spec::FunctionSpec;
use common::tongue::{BeginEnd, ListedRunner, ListedWorker};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// One virtual runner.
#[derive(Clone)]
pub struct SimRunner {
    /// Its function.
    pub function: FunctionKey,
    /// Where it runs.
    pub worker: WorkerName,
    /// Its life, as the platform names it.
    pub life: Life,
    /// When it is ready.
    pub ready_at: Moment,
    /// What it is running, and for which grant.
    pub running: BTreeMap<TransactionId, GrantSerial>,
    /// How many it may run.
    pub slots: u32,
    /// How many good answers it has sent.
    pub answered: u32,
    /// The last answer it sealed, with the names in the seal.
    pub last_sealed: Option<(TransactionId, String, Vec<u8>)>,
}

/// A virtual platform: runners, late lists, stopped names that never start again, and addresses that
/// are given to the next runner as soon as one is gone.
pub struct SimPlatform {
    /// The workers.
    pub workers: Vec<ListedWorker>,
    /// Since when workers are being drained.
    pub draining_since: BTreeMap<WorkerName, Moment>,
    /// The runners alive.
    pub runners: BTreeMap<RunnerId, SimRunner>,
    /// The names that have ended.
    pub ended: BTreeSet<RunnerId>,
    /// How late the list of runners is.
    pub lag: Duration,
    listening: BTreeMap<Place, RunnerId>,
    by_life: BTreeMap<LifeName, RunnerId>,
    life_count: u64,
    free_places: Vec<Place>,
    place_count: u16,
    /// Since when runners are about to leave.
    pub leaving_since: BTreeMap<RunnerId, Moment>,
    taken_lists: VecDeque<(Moment, Vec<ListedRunner>, Vec<ListedWorker>)>,
}

impl SimPlatform {
    /// Workers in three zones.
    pub fn new(worker_count: usize, memory_mb: u32) -> Self {
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
            lag: Duration::from_millis(1000),
            listening: BTreeMap::new(),
            by_life: BTreeMap::new(),
            life_count: 0,
            free_places: Vec::new(),
            place_count: 0,
            leaving_since: BTreeMap::new(),
            taken_lists: VecDeque::new(),
        }
    }

    /// Takes a list as things stand.
    pub fn take_list(&mut self, now: Moment) {
        let listed = self
            .runners
            .iter()
            .map(|(runner, held)| ListedRunner {
                life: held.life.clone(),
                runner: None,
                function: held.function.name.clone(),
                key: None,
                worker: held.worker.clone(),
                leaving: self.leaving_since.contains_key(runner),
            })
            .collect();
        self.taken_lists.push_back((now, listed, self.workers.clone()));
        while self.taken_lists.len() > 1 && now.since(self.taken_lists[1].0) >= self.lag {
            self.taken_lists.pop_front();
        }
    }

    /// The late lists with their age.
    pub fn late_lists(&self, now: Moment) -> (Duration, Vec<ListedRunner>, Vec<ListedWorker>) {
        self.taken_lists
            .front()
            .map_or((Duration::ZERO, Vec::new(), Vec::new()), |(taken_at, listed, workers)| {
                (now.since(*taken_at), listed.clone(), workers.clone())
            })
    }

    /// The zone of a worker.
    pub fn zone_of(&self, worker: &WorkerName) -> Option<&Zone> {
        self.workers.iter().find(|listed| listed.worker == *worker).map(|listed| &listed.zone)
    }

    /// Who listens at a place.
    pub fn at(&self, place: Place) -> Option<(RunnerId, &SimRunner)> {
        let runner = *self.listening.get(&place)?;
        self.runners.get(&runner).map(|held| (runner, held))
    }

    /// Starts a runner under a key, unless that has ended; the same key finds the same life.
    pub fn start(&mut self, runner: RunnerId, mut started: SimRunner) -> BeginEnd {
        if let Some(held) = self.runners.get(&runner) {
            return BeginEnd::Begun(held.life.clone());
        }
        if self.ended.contains(&runner) {
            return BeginEnd::Refused;
        }
        if self.zone_of(&started.worker).is_none() {
            return BeginEnd::NoRoom;
        }
        let place = self.free_places.pop().unwrap_or_else(|| {
            self.place_count += 1;
            Place(SocketAddrV4::new(Ipv4Addr::new(10, 0, 9, 1), self.place_count))
        });
        self.life_count += 1;
        let life = Life { name: format!("l{}.{runner}", self.life_count).into(), place };
        started.life = life.clone();
        self.listening.insert(place, runner);
        self.by_life.insert(life.name.clone(), runner);
        self.runners.insert(runner, started);
        BeginEnd::Begun(life)
    }

    /// Stops a life for good; without one, whatever the key has started or will.
    pub fn stop_life(&mut self, runner: RunnerId, life: Option<&LifeName>) {
        match life {
            Some(life) => {
                if let Some(key) = self.by_life.get(life).copied() {
                    self.stop(key);
                }
            }
            None => self.stop(runner),
        }
    }

    /// Stops the runner of a key for good.
    pub fn stop(&mut self, runner: RunnerId) {
        self.leaving_since.remove(&runner);
        if let Some(held) = self.runners.remove(&runner) {
            self.listening.remove(&held.life.place);
            self.free_places.push(held.life.place);
        }
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

    /// Begins to drain a worker.
    pub fn drain(&mut self, now: Moment, place: usize) {
        let listed = &mut self.workers[place];
        listed.draining = true;
        self.draining_since.entry(listed.worker.clone()).or_insert(now);
    }

    /// Takes every drained worker back.
    pub fn restore(&mut self) {
        self.draining_since.clear();
        self.workers.iter_mut().for_each(|listed| listed.draining = false);
    }
}

/// Who asked the platform for something.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Asker {
    /// The node.
    pub node: Node,
    /// Its life.
    pub life: u64,
}

impl World {
    /// An order to start reaches the platform; its answer may be lost, or the platform busy.
    pub(super) fn start_runner(
        &mut self,
        asker: Asker,
        function: FunctionKey,
        runner: RunnerId,
        worker: WorkerName,
        spec: &FunctionSpec,
    ) {
        let is_busy = self.chance.happens(0.02);
        let is_answer_lost = self.chance.happens(0.02);
        let is_known =
            self.platform.ended.contains(&runner) || self.platform.runners.contains_key(&runner);
        let end = if is_busy {
            BeginEnd::Busy
        } else {
            if !is_known {
                let alive = self
                    .platform
                    .runners
                    .iter()
                    .map(|(key, held)| (key, &held.function, &held.life));
                self.checks.starts_alone(self.now, &function, runner.grant, alive);
            }
            let started = SimRunner {
                function: function.clone(),
                worker,
                life: Life { name: "".into(), place: Place::NOWHERE },
                ready_at: self.now + spec.boot,
                running: Default::default(),
                slots: spec.slots,
                answered: 0,
                last_sealed: None,
            };
            self.platform.start(runner, started)
        };
        let end = if is_answer_lost { BeginEnd::Lost } else { end };
        let delay = self.network.delay(&mut self.chance);
        self.push(delay, Event::Started(asker, function, runner, end));
    }
}
