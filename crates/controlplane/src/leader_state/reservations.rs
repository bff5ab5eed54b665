use common::clock::Moment;
use common::frames::{ClaimRunner, Flag, Life, Many};
use common::identity::{FunctionKey, LifeName, RunnerId, WorkerName};
use std::collections::btree_map::Iter;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const KEPT_ENDED: usize = 8192;

/// The memory set aside for one runner, and what is known of the runner.
pub(super) struct Reservation {
    pub function: FunctionKey,
    pub worker: WorkerName,
    pub memory_mb: u32,
    pub life: Option<Life>,
    pub begun_at: Moment,
    pub ready: bool,
    pub draining: bool,
    pub stop_wanted: bool,
    pub stop_asked_at: Option<Moment>,
    pub left_since: Option<Moment>,
    /// The platform did not tell under which of the function's keys it was started.
    pub key_unknown: bool,
}

impl Reservation {
    /// A runner that has not begun yet.
    pub fn new(function: FunctionKey, worker: WorkerName, memory_mb: u32) -> Self {
        Self {
            function,
            worker,
            memory_mb,
            life: None,
            begun_at: Moment::ZERO,
            ready: false,
            draining: false,
            stop_wanted: false,
            stop_asked_at: None,
            left_since: None,
            key_unknown: false,
        }
    }

    /// Whether it can be taken over as it stands.
    pub fn is_fit(&self) -> bool {
        self.ready && !self.draining && !self.stop_wanted && self.life.is_some()
    }

    /// Whether it is there to stay.
    pub fn is_staying(&self) -> bool {
        !self.draining && !self.stop_wanted && self.left_since.is_none()
    }

    /// Whether nobody holds it, and the next holder may take it over.
    pub fn is_left(&self) -> bool {
        self.left_since.is_some() && !self.stop_wanted
    }

    /// How the next holder is told of it.
    pub fn as_claim(&self, runner: RunnerId) -> ClaimRunner {
        ClaimRunner {
            runner,
            worker: self.worker.clone(),
            memory_mb: self.memory_mb,
            life: Many(self.life.iter().cloned().collect()),
            fit: Flag(true),
        }
    }
}

/// All reservations, found by runner, by function and by life. A life is in one of them at most.
#[derive(Default)]
pub(super) struct Reservations {
    all: BTreeMap<RunnerId, Reservation>,
    by_function: BTreeMap<FunctionKey, BTreeSet<RunnerId>>,
    by_life: BTreeMap<LifeName, RunnerId>,
    by_worker: BTreeMap<WorkerName, u64>,
    worker_counts: BTreeMap<WorkerName, usize>,
    stopping: BTreeSet<RunnerId>,
    due_stops: BTreeSet<RunnerId>,
    left: BTreeSet<RunnerId>,
    renamed: BTreeMap<RunnerId, RunnerId>,
    ended: BTreeSet<RunnerId>,
    ended_lives: BTreeSet<LifeName>,
    ended_in_order: VecDeque<LifeName>,
}

impl Reservations {
    pub fn iter(&self) -> Iter<'_, RunnerId, Reservation> {
        self.all.iter()
    }

    pub fn values(&self) -> impl Iterator<Item = &Reservation> {
        self.all.values()
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    pub fn get(&self, runner: RunnerId) -> Option<&Reservation> {
        self.all.get(&runner)
    }

    /// The name that a runner goes by now.
    pub fn name_now(&self, runner: RunnerId) -> RunnerId {
        let mut name_now = runner;
        while let Some(later_name) = self.renamed.get(&name_now) {
            name_now = *later_name;
        }
        name_now
    }

    /// The runners of a function with their reservations.
    pub fn of(&self, function: &FunctionKey) -> impl Iterator<Item = (RunnerId, &Reservation)> {
        let runners = self.by_function.get(function).into_iter().flatten();
        runners.filter_map(|runner| Some((*runner, self.all.get(runner)?)))
    }

    /// The runners of a function that may have been started under any of its keys.
    pub fn of_unknown_key(&self, function: &FunctionKey) -> Vec<RunnerId> {
        let whole = function.whole();
        let of_whole = self.of(&whole).filter(|(_, held)| held.key_unknown);
        of_whole.map(|(runner, _)| runner).collect()
    }

    /// How many runners a function has that stay, under all its keys.
    pub fn staying_count(&self, function: &FunctionKey) -> usize {
        let keys = self.by_function.range(function.whole()..);
        let own_keys = keys.take_while(|(key, _)| key.is_same_function(function));
        let runners = own_keys.flat_map(|(_, runners)| runners);
        runners.filter_map(|runner| self.all.get(runner)).filter(|held| held.is_staying()).count()
    }

    /// Who has a life.
    pub fn with_life(&self, life: &LifeName) -> Option<RunnerId> {
        self.by_life.get(life).copied()
    }

    /// Whether a runner is known to have ended.
    pub fn has_ended(&self, runner: RunnerId, life: Option<&LifeName>) -> bool {
        self.ended.contains(&runner) || life.is_some_and(|name| self.has_life_ended(name))
    }

    /// Whether a life is known to have ended.
    pub fn has_life_ended(&self, life: &LifeName) -> bool {
        self.ended_lives.contains(life)
    }

    /// The memory set aside on each worker.
    pub fn reserved_mb(&self) -> &BTreeMap<WorkerName, u64> {
        &self.by_worker
    }

    /// Those to be stopped.
    pub fn stopping(&self) -> &BTreeSet<RunnerId> {
        &self.stopping
    }

    /// Those whose stop is to be ordered now.
    pub fn take_due_stops(&mut self) -> BTreeSet<RunnerId> {
        std::mem::take(&mut self.due_stops)
    }

    /// Those left for a next holder.
    pub fn left(&self) -> &BTreeSet<RunnerId> {
        &self.left
    }

    /// Sets a reservation down; a life that another one has moves here.
    pub fn insert(&mut self, runner: RunnerId, mut reservation: Reservation) {
        self.take(runner);
        let life = reservation.life.take();
        let (stop_wanted, left_since) = (reservation.stop_wanted, reservation.left_since.take());
        reservation.stop_wanted = false;
        self.by_function.entry(reservation.function.clone()).or_default().insert(runner);
        *self.by_worker.entry(reservation.worker.clone()).or_default() +=
            u64::from(reservation.memory_mb);
        *self.worker_counts.entry(reservation.worker.clone()).or_default() += 1;
        let begun_at = reservation.begun_at;
        self.all.insert(runner, reservation);
        if let Some(life) = life {
            self.begun(runner, life, begun_at);
        }
        if let Some(left_since) = left_since {
            self.leave(runner, left_since);
        }
        if stop_wanted {
            self.want_stop(runner);
        }
    }

    /// A runner's life is known. Whoever else had it goes: its name is now this one.
    pub fn begun(&mut self, runner: RunnerId, life: Life, begun_at: Moment) {
        if !self.all.contains_key(&runner) {
            return;
        }
        if let Some(other) = self.by_life.get(&life.name).copied().filter(|other| *other != runner)
        {
            self.take(other);
            self.rename(other, runner);
        }
        let Some(reservation) = self.all.get_mut(&runner) else { return };
        if let Some(earlier) = reservation.life.take_if(|earlier| earlier.name != life.name) {
            self.by_life.remove(&earlier.name);
        }
        if reservation.life.is_none() {
            reservation.begun_at = begun_at;
        }
        self.by_life.insert(life.name.clone(), runner);
        reservation.life = Some(life);
    }

    fn rename(&mut self, earlier: RunnerId, later: RunnerId) {
        self.renamed.insert(earlier, later);
        if self.renamed.len() > KEPT_ENDED {
            self.renamed.pop_first();
        }
    }

    /// Changes what is neither name, life, place nor fate.
    pub fn note(&mut self, runner: RunnerId, change: impl FnOnce(&mut Reservation)) {
        if let Some(reservation) = self.all.get_mut(&runner) {
            change(reservation);
        }
    }

    /// It is to be stopped; nobody takes it over any more.
    pub fn want_stop(&mut self, runner: RunnerId) {
        if let Some(reservation) = self.all.get_mut(&runner) {
            reservation.stop_wanted = true;
            reservation.left_since = None;
            self.left.remove(&runner);
            self.stopping.insert(runner);
            self.due_stops.insert(runner);
        }
    }

    /// Nobody holds it any more, and the next holder may take it over.
    pub fn leave(&mut self, runner: RunnerId, now: Moment) {
        if let Some(reservation) = self.all.get_mut(&runner) {
            reservation.left_since.get_or_insert(now);
            self.left.insert(runner);
        }
    }

    /// A left runner goes by a new name, under a new grant.
    pub fn adopt(&mut self, left_runner: RunnerId, runner: RunnerId) {
        let Some(mut reservation) = self.take(left_runner) else { return };
        reservation.left_since = None;
        reservation.key_unknown = false;
        self.insert(runner, reservation);
        self.rename(left_runner, runner);
    }

    /// What must never be: it is taken over and left for others all the same.
    pub fn adopt_and_leave(&mut self, left_runner: RunnerId, runner: RunnerId) {
        let Some(left) = self.all.get(&left_runner) else { return };
        let (function, worker) = (left.function.clone(), left.worker.clone());
        let life = left.life.clone();
        let mut reservation = Reservation::new(function, worker, left.memory_mb);
        reservation.ready = true;
        self.insert(runner, reservation);
        self.note(runner, |held| held.life = life);
        self.note(left_runner, |held| held.left_since = Some(Moment(u64::MAX)));
    }

    /// Takes a reservation out.
    pub fn take(&mut self, runner: RunnerId) -> Option<Reservation> {
        let reservation = self.all.remove(&runner)?;
        if let Some(runners) = self.by_function.get_mut(&reservation.function) {
            runners.remove(&runner);
            if runners.is_empty() {
                self.by_function.remove(&reservation.function);
            }
        }
        if let Some(life) = &reservation.life
            && self.by_life.get(&life.name) == Some(&runner)
        {
            self.by_life.remove(&life.name);
        }
        if let Some(reserved_sum) = self.by_worker.get_mut(&reservation.worker) {
            *reserved_sum = reserved_sum.saturating_sub(u64::from(reservation.memory_mb));
        }
        if let Some(count) = self.worker_counts.get_mut(&reservation.worker) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.worker_counts.remove(&reservation.worker);
                self.by_worker.remove(&reservation.worker);
            }
        }
        self.stopping.remove(&runner);
        self.due_stops.remove(&runner);
        self.left.remove(&runner);
        Some(reservation)
    }

    /// A runner has ended for good.
    pub fn end(&mut self, runner: RunnerId) -> Option<Reservation> {
        self.ended.insert(runner);
        if self.ended.len() > KEPT_ENDED {
            self.ended.pop_first();
        }
        let reservation = self.take(runner)?;
        if let Some(life) = &reservation.life {
            self.ended_lives.insert(life.name.clone());
            self.ended_in_order.push_back(life.name.clone());
            if self.ended_in_order.len() > KEPT_ENDED
                && let Some(oldest) = self.ended_in_order.pop_front()
            {
                self.ended_lives.remove(&oldest);
            }
        }
        Some(reservation)
    }
}
