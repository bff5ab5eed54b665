use super::event::Event;
use super::network::{Node, PLATFORM};
use super::world::World;
use controlplane::controller_state::ChangeKind;
use std::fmt;
use std::time::Duration;

/// What the simulator does to a fleet.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SimFault {
    /// A controller is killed and returns; writes under way reach the disk or do not.
    KillController,
    /// The leading controller is killed and returns.
    KillLeader,
    /// A daemon is killed and returns.
    KillDaemon,
    /// Some daemons are killed at once and return.
    KillHerd,
    /// All controllers are killed and return.
    KillCore,
    /// Everything is killed and returns.
    RestartAll,
    /// A zone is lost whole, workers and all, and returns.
    LoseZone,
    /// A controller is killed and returns with an empty disk.
    LoseDisk,
    /// A controller is lost for good, and an empty one at a new address takes its place.
    ReplaceCore,
    /// A controller is killed, and the newest version on its disk rots.
    DamageDisk,
    /// Some daemons are killed together with a controller that loses its disk.
    HerdWithDisk,
    /// A machine freezes and wakes.
    Freeze,
    /// The daemon that holds most freezes for longer than a grant.
    FreezeHolder,
    /// Several daemons freeze at once.
    FreezeHerd,
    /// The leader freezes.
    FreezeLeader,
    /// A machine is cut off, both ways.
    CutOff,
    /// A machine hears nothing, or is not heard.
    CutOneWay,
    /// The fleet is cut in two.
    CutInTwo,
    /// The core is cut in two, the daemons on the leader's side or not.
    CutCore,
    /// A disk stalls.
    StallDisk,
    /// A disk fails every write, as a full one does.
    FailDisk,
    /// A worker crashes with its runners.
    CrashWorker,
    /// A runner leaves by itself.
    LoseRunner,
    /// A runner says that it leaves, and stops some time later.
    RunnerLeaves,
    /// A worker is drained, and comes back.
    DrainWorker,
    /// A zone is evacuated, and brought back.
    Evacuate,
    /// A daemon is warned, given its grace, and returns.
    StopInOrder,
    /// A daemon is warned while another one freezes.
    StopAll,
    /// Runners lose, spoil and refuse answers.
    Mischief,
    /// A crowd calls one function.
    Crowd,
    /// Every function is called at once.
    RareCrowd,
    /// Callers repeat at once what was refused.
    Impatience,
    /// The platform's list of runners is very late.
    LateList,
    /// Operators send changes as fast as they can.
    Storm,
}

impl SimFault {
    /// Every fault.
    pub const ALL: &[SimFault] = &[
        SimFault::KillController,
        SimFault::KillLeader,
        SimFault::KillDaemon,
        SimFault::KillHerd,
        SimFault::KillCore,
        SimFault::RestartAll,
        SimFault::LoseZone,
        SimFault::LoseDisk,
        SimFault::ReplaceCore,
        SimFault::DamageDisk,
        SimFault::HerdWithDisk,
        SimFault::Freeze,
        SimFault::FreezeHolder,
        SimFault::FreezeHerd,
        SimFault::FreezeLeader,
        SimFault::CutOff,
        SimFault::CutOneWay,
        SimFault::CutInTwo,
        SimFault::CutCore,
        SimFault::StallDisk,
        SimFault::FailDisk,
        SimFault::CrashWorker,
        SimFault::LoseRunner,
        SimFault::RunnerLeaves,
        SimFault::DrainWorker,
        SimFault::Evacuate,
        SimFault::StopInOrder,
        SimFault::StopAll,
        SimFault::Mischief,
        SimFault::Crowd,
        SimFault::RareCrowd,
        SimFault::Impatience,
        SimFault::LateList,
        SimFault::Storm,
    ];

    /// The fault of a name.
    pub fn named(name: &str) -> Option<SimFault> {
        Self::ALL.iter().copied().find(|fault| fault.to_string() == name)
    }
}

impl fmt::Display for SimFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::KillController => "kill-controller",
            Self::KillLeader => "kill-leader",
            Self::KillDaemon => "kill-daemon",
            Self::KillHerd => "kill-herd",
            Self::KillCore => "kill-core",
            Self::RestartAll => "restart-all",
            Self::LoseZone => "lose-locality",
            Self::LoseDisk => "lose-disk",
            Self::ReplaceCore => "replace-core",
            Self::DamageDisk => "damage-disk",
            Self::HerdWithDisk => "herd-with-disk",
            Self::Freeze => "freeze",
            Self::FreezeHolder => "freeze-holder",
            Self::FreezeHerd => "freeze-herd",
            Self::FreezeLeader => "freeze-leader",
            Self::CutOff => "cut-off",
            Self::CutOneWay => "cut-one-way",
            Self::CutInTwo => "cut-in-two",
            Self::CutCore => "cut-core",
            Self::StallDisk => "stall-disk",
            Self::FailDisk => "fail-disk",
            Self::CrashWorker => "crash-worker",
            Self::LoseRunner => "lose-runner",
            Self::RunnerLeaves => "runner-leaves",
            Self::DrainWorker => "drain-worker",
            Self::Evacuate => "evacuate",
            Self::StopInOrder => "stop-in-order",
            Self::StopAll => "stop-all",
            Self::Mischief => "mischief",
            Self::Crowd => "crowd",
            Self::RareCrowd => "rare-crowd",
            Self::Impatience => "impatience",
            Self::LateList => "late-list",
            Self::Storm => "storm",
        })
    }
}

impl World {
    fn some_controller(&mut self) -> usize {
        self.chance.below(self.controllers.len() as u64) as usize
    }

    fn some_daemon(&mut self) -> usize {
        self.chance.below(self.daemons.len() as u64) as usize
    }

    fn some_node(&mut self) -> Node {
        let count = self.controllers.len() + self.daemons.len();
        let place = self.chance.below(count as u64) as usize;
        match place.checked_sub(self.controllers.len()) {
            Some(daemon) => Node::of_daemon(daemon),
            None => Node(place),
        }
    }

    /// Some daemons, at least one and not all.
    fn some_herd(&mut self) -> Vec<usize> {
        let count = 1 + self.chance.below(self.daemons.len() as u64 - 1) as usize;
        let first = self.some_daemon();
        (0..count).map(|step| (first + step) % self.daemons.len()).collect()
    }

    pub(super) fn leading_controller(&self) -> Option<usize> {
        self.controllers.iter().position(|controller| {
            controller
                .controller_state
                .as_ref()
                .is_some_and(|controller_state| controller_state.core().is_leader())
        })
    }

    pub(super) fn schedule_fault(&mut self) {
        let wait_span = self.chance.within(Duration::from_millis(300), self.plan.gap);
        self.push(wait_span, Event::Fault);
    }

    /// Causes one fault by chance, or the day's own; each is undone some time later.
    pub(super) fn cause_fault(&mut self) {
        let lasts = self.chance.within(Duration::from_millis(300), Duration::from_millis(6000));
        let chosen = self.chance.below(SimFault::ALL.len() as u64) as usize;
        let own_count = self.plan.focus.len() as u64;
        let own = (own_count > 0).then(|| self.chance.below(own_count) as usize);
        let fault = own.map_or(SimFault::ALL[chosen], |own| self.plan.focus[own]);
        self.traced(|now| format!("{now} fault {fault} for {lasts:?}"));
        self.counted(&format!("fault {fault}"));
        self.cause(fault, lasts);
    }

    fn cause(&mut self, fault: SimFault, lasts: Duration) {
        match fault {
            SimFault::KillController => {
                let place = self.some_controller();
                self.lose_controller(place, lasts);
            }
            SimFault::KillLeader => {
                if let Some(place) = self.leading_controller() {
                    self.lose_controller(place, lasts);
                }
            }
            SimFault::KillDaemon => {
                let place = self.some_daemon();
                self.lose_daemon(place, lasts);
            }
            SimFault::KillHerd => {
                for place in self.some_herd() {
                    self.lose_daemon(place, lasts);
                }
            }
            SimFault::KillCore => {
                for place in 0..self.controllers.len() {
                    self.lose_controller(place, lasts);
                }
            }
            SimFault::RestartAll => {
                for place in 0..self.controllers.len() {
                    self.lose_controller(place, lasts);
                }
                for place in 0..self.daemons.len() {
                    self.lose_daemon(place, lasts);
                }
            }
            SimFault::LoseZone => self.lose_zone(lasts),
            SimFault::LoseDisk => {
                if self.may_lose_disk() {
                    self.counted("disk lost");
                    let place = self.some_controller();
                    self.lose_controller(place, lasts);
                    self.lose_disk(place);
                }
            }
            SimFault::ReplaceCore => {
                if self.may_lose_disk() {
                    self.counted("disk lost");
                    let place = self.some_controller();
                    self.lose_controller(place, lasts);
                    self.lose_disk(place);
                    self.move_controller(place);
                }
            }
            SimFault::DamageDisk => {
                if self.may_lose_disk() {
                    let place = self.some_controller();
                    self.lose_controller(place, lasts);
                    self.damage_disk(place);
                }
            }
            SimFault::HerdWithDisk => {
                if self.may_lose_disk() {
                    for place in self.some_herd() {
                        self.lose_daemon(place, lasts);
                    }
                    let place = self.some_controller();
                    self.lose_controller(place, lasts);
                    self.lose_disk(place);
                }
            }
            SimFault::Freeze => {
                let node = self.some_node();
                self.freeze(node, lasts);
            }
            SimFault::FreezeHolder => {
                let holder = (0..self.daemons.len()).max_by_key(|place| {
                    self.agent(*place).map_or(0, |agent| agent.holdings.load().len())
                });
                if let Some(holder) = holder {
                    self.freeze(self.daemons[holder].node, Duration::from_secs(3) + lasts / 2);
                }
            }
            SimFault::FreezeHerd => {
                for place in self.some_herd() {
                    self.freeze(self.daemons[place].node, lasts);
                }
            }
            SimFault::FreezeLeader => {
                if let Some(place) = self.leading_controller() {
                    self.freeze(self.controllers[place].node, lasts);
                }
            }
            SimFault::CutOff => {
                let lonely_node = self.some_node();
                for other in self.all_nodes() {
                    self.network.cut(lonely_node, other);
                    self.network.cut(other, lonely_node);
                }
                self.push(lasts, Event::Mend);
            }
            SimFault::CutOneWay => {
                let lonely_node = self.some_node();
                let hears_nothing = self.chance.happens(0.5);
                for other in self.all_nodes() {
                    if hears_nothing {
                        self.network.cut(other, lonely_node);
                    } else {
                        self.network.cut(lonely_node, other);
                    }
                }
                self.push(lasts, Event::Mend);
            }
            SimFault::CutInTwo => {
                let salt = lasts.subsec_nanos() as usize;
                let (left, right): (Vec<Node>, Vec<Node>) = self
                    .all_nodes()
                    .into_iter()
                    .partition(|node| (node.0 * 7 + salt).is_multiple_of(3));
                self.cut_apart(&left, &right);
                self.push(lasts, Event::Mend);
            }
            SimFault::CutCore => self.cut_core(lasts),
            SimFault::StallDisk => {
                let place = self.some_controller();
                self.controllers[place].disk.stalled_until = self.now + lasts;
            }
            SimFault::FailDisk => {
                let place = self.some_controller();
                self.controllers[place].disk.failing_until = self.now + lasts;
            }
            SimFault::CrashWorker => {
                let worker_place = self.chance.below(self.platform.workers.len() as u64) as usize;
                let worker = self.platform.workers[worker_place].worker.clone();
                self.platform.crash(&worker);
            }
            SimFault::LoseRunner => {
                let count = self.platform.runners.len() as u64;
                let chosen = self.chance.below(count) as usize;
                if let Some(runner) = self.platform.runners.keys().nth(chosen).copied() {
                    self.platform.stop(runner);
                }
            }
            SimFault::RunnerLeaves => {
                let count = self.platform.runners.len() as u64;
                let chosen = self.chance.below(count) as usize;
                if let Some(runner) = self.platform.runners.keys().nth(chosen).copied() {
                    self.platform.leaving_since.entry(runner).or_insert(self.now);
                    self.push(Duration::from_secs(6), Event::RunnerLeft(runner));
                }
            }
            SimFault::DrainWorker => {
                let worker_place = self.chance.below(self.platform.workers.len() as u64) as usize;
                self.platform.drain(self.now, worker_place);
                self.push(Duration::from_secs(5) + lasts, Event::RestoreWorkers);
            }
            SimFault::Evacuate => self.evacuate(lasts),
            SimFault::StopInOrder => {
                let place = self.some_daemon();
                self.warn_daemon(place);
            }
            SimFault::StopAll => {
                for place in self.some_herd() {
                    self.warn_daemon(place);
                }
            }
            SimFault::Mischief => {
                self.mischief = 0.15;
                self.push(lasts, Event::Behave);
            }
            SimFault::Crowd => {
                let routes = ["f0", "f1", "canary"];
                let route = routes[self.chance.below(routes.len() as u64) as usize];
                for _ in 0..60 {
                    self.call_one(route);
                }
            }
            SimFault::RareCrowd => {
                for _ in 0..4 {
                    for route in ["f0", "f1", "f2", "f3", "f4", "f5"] {
                        self.call_one(route);
                    }
                }
            }
            SimFault::Impatience => {
                self.impatient_until = self.now + lasts;
            }
            SimFault::LateList => {
                self.platform.lag = Duration::from_millis(1000) + lasts / 2;
                self.push(lasts, Event::Behave);
            }
            SimFault::Storm => {
                for _ in 0..8 {
                    self.send_change();
                }
            }
        }
    }

    fn lose_controller(&mut self, place: usize, lasts: Duration) {
        self.kill_controller(place);
        self.push(lasts, Event::Return(self.controllers[place].node));
    }

    fn lose_daemon(&mut self, place: usize, lasts: Duration) {
        self.kill_daemon(place);
        self.push(lasts, Event::Return(self.daemons[place].node));
    }

    pub(super) fn freeze(&mut self, node: Node, lasts: Duration) {
        let until = self.now + lasts;
        let frozen_until = self.frozen.entry(node).or_insert(until);
        *frozen_until = (*frozen_until).max(until);
        let wakes_at = *frozen_until;
        if !node.is_controller()
            && let Some(daemon) = self.daemons.get_mut(node.daemon_place())
            && let Some(body) = &mut daemon.body
        {
            body.is_disturbed = true;
        }
        self.push(wakes_at.since(self.now), Event::Wake(node));
    }

    fn lose_zone(&mut self, lasts: Duration) {
        let number = self.chance.below(3) as usize;
        let zone = World::zone(number);
        self.lose_controller(number, lasts);
        for place in (0..self.daemons.len()).filter(|place| place % 3 == number) {
            self.lose_daemon(place, lasts);
        }
        let lost_workers: Vec<_> =
            self.platform.workers.iter().filter(|listed| listed.zone == zone).cloned().collect();
        for lost_worker in &lost_workers {
            self.platform.crash(&lost_worker.worker);
        }
        self.platform.workers.retain(|listed| listed.zone != zone);
        self.push(lasts, Event::WorkersReturn(lost_workers));
    }

    fn cut_apart(&mut self, left: &[Node], right: &[Node]) {
        for left_node in left {
            for right_node in right {
                self.network.cut(*left_node, *right_node);
                self.network.cut(*right_node, *left_node);
            }
        }
    }

    /// One controller, often the leader, alone or with some daemons, apart from the rest.
    fn cut_core(&mut self, lasts: Duration) {
        let by_chance = self.some_controller();
        let lonely = self.leading_controller().unwrap_or(by_chance);
        let with_daemons = self.chance.below(self.daemons.len() as u64 + 1) as usize;
        let left: Vec<Node> =
            [Node(lonely)].into_iter().chain((0..with_daemons).map(Node::of_daemon)).collect();
        let right: Vec<Node> = self
            .all_nodes()
            .into_iter()
            .filter(|node| !left.contains(node) && *node != PLATFORM)
            .collect();
        self.cut_apart(&left, &right);
        self.push(lasts, Event::Mend);
    }

    fn evacuate(&mut self, lasts: Duration) {
        if self.checks.has_evacuated() {
            return;
        }
        let zone = World::zone(self.chance.below(3) as usize);
        self.send(None, ChangeKind::Evacuate { zone: zone.clone(), force: false });
        self.push(Duration::from_secs(6) + lasts, Event::Restore(zone));
    }

    /// Only when every member of the core is alive, on the disk it is known by, and nothing is
    /// unsettled, may one more disk be lost: the deployments bear one loss at a time.
    fn may_lose_disk(&self) -> bool {
        let controller_states =
            self.controllers.iter().filter_map(|controller| controller.controller_state.as_ref());
        let ready_plane = controller_states
            .into_iter()
            .find(|controller_state| controller_state.core().is_ready());
        let Some(document) =
            ready_plane.and_then(|controller_state| controller_state.core().accepted())
        else {
            return false;
        };
        let is_known = |controller: &super::controller::SimController| {
            let durable = &controller.disk.durable;
            let accepted_stamp = durable.accepted.as_ref().map(|held| held.stamp);
            controller.controller_state.is_some()
                && document.core.iter().any(|member| member.id == durable.id)
                && accepted_stamp.unwrap_or_default() >= durable.distrusted
        };
        document.former.is_empty() && self.controllers.iter().all(is_known)
    }

    pub(super) fn all_nodes(&self) -> Vec<Node> {
        let controllers = (0..self.controllers.len()).map(Node);
        let daemons = (0..self.daemons.len()).map(Node::of_daemon);
        controllers.chain(daemons).chain([PLATFORM]).collect()
    }

    /// A killed machine returns.
    pub(super) fn bring_back(&mut self, node: Node) {
        if node.is_controller() {
            if self.controllers[node.0].controller_state.is_none() {
                self.start_controller(node.0);
            }
        } else if self.daemons[node.daemon_place()].body.is_none() {
            self.start_daemon(node.daemon_place());
        }
    }

    /// Everything returns and is mended.
    pub(super) fn heal(&mut self) {
        self.network.mend();
        self.wake_all();
        self.mischief = 0.0;
        self.platform.lag = Duration::from_millis(1000);
        self.platform.restore();
        for node in self.all_nodes() {
            if node != PLATFORM {
                self.bring_back(node);
            }
        }
        for controller in &mut self.controllers {
            controller.disk.stalled_until = common::clock::Moment::ZERO;
            controller.disk.failing_until = common::clock::Moment::ZERO;
        }
        for number in 0..3 {
            self.push(Duration::from_secs(4), Event::Restore(World::zone(number)));
        }
    }
}
