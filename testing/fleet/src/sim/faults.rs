//! Random faults: their kinds, how they are injected and how they end.

use super::addresses::zone_of_machine;
use super::event::{FaultEvent, OperatorEvent, PlatformEvent};
use super::network::{Node, PLATFORM};
use super::simulation::Simulation;
use common::identity::RunnerId;
use controlplane::controller_state::ChangeKind;
use std::fmt;
use std::time::Duration;

/// The number of requests in a burst for one function.
const CALL_BURST_SIZE: u32 = 60;
/// The number of requests for each function in a burst of rare requests.
const RARE_CALL_BURST_SIZE: u32 = 4;
/// The number of times that operators send changes in a burst.
const CHANGE_BURST_SIZE: u32 = 8;

/// A kind of fault that the simulator injects.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SimFault {
    /// A controller is killed and restarted; writes in progress may or may not reach the disk.
    KillController,
    /// The leader is killed and restarted.
    KillLeader,
    /// A daemon is killed and restarted.
    KillDaemon,
    /// A random group of daemons is killed and restarted.
    KillGroup,
    /// All controllers are killed and restarted.
    KillQuorum,
    /// All processes are killed and restarted.
    RestartAll,
    /// All processes and workers of a zone are lost and restored.
    LoseZone,
    /// A controller is killed and restarted with an empty disk.
    LoseDisk,
    /// A controller is permanently lost and replaced by one with an empty disk and a new address.
    ReplaceVoter,
    /// A controller is killed, and the newest version on its disk is corrupted.
    DamageDisk,
    /// A random group of daemons is killed together with a controller, which loses its disk.
    KillGroupAndDisk,
    /// A machine is frozen and resumed.
    Freeze,
    /// The daemon with the most function leases is frozen for longer than a lease.
    FreezeHolder,
    /// A random group of daemons is frozen.
    FreezeGroup,
    /// The leader is frozen.
    FreezeLeader,
    /// A machine is partitioned from all others.
    Isolation,
    /// The incoming or the outgoing messages of a machine are lost.
    BlockOneDirection,
    /// The fleet is partitioned into two groups.
    Partition,
    /// The leader is partitioned from the other controllers, together with some, all or none of the daemons.
    PartitionQuorum,
    /// A disk stalls.
    StallDisk,
    /// Every write to a disk fails, as if the disk were full.
    FailDisk,
    /// A worker crashes with its runners.
    CrashWorker,
    /// A runner terminates on its own.
    LoseRunner,
    /// A runner announces that it is leaving, and stops later.
    RunnerLeaves,
    /// A worker is drained and restored.
    DrainWorker,
    /// A zone is evacuated and restored.
    Evacuate,
    /// A daemon is stopped gracefully and restarted.
    StopDaemon,
    /// A random group of daemons is stopped gracefully.
    StopGroup,
    /// Responses of runners are lost or corrupted, and runners reject requests.
    RunnerFaults,
    /// A burst of requests for one function.
    CallBurst,
    /// A burst with a few requests for each function.
    RareCallBurst,
    /// Callers retry refused requests immediately.
    ClientRetries,
    /// The platform's lists of runners and workers are older than usual.
    DelayedList,
    /// Operators send many changes in quick succession.
    ChangeBurst,
}

impl SimFault {
    /// All faults.
    pub const ALL: &[SimFault] = &[
        SimFault::KillController,
        SimFault::KillLeader,
        SimFault::KillDaemon,
        SimFault::KillGroup,
        SimFault::KillQuorum,
        SimFault::RestartAll,
        SimFault::LoseZone,
        SimFault::LoseDisk,
        SimFault::ReplaceVoter,
        SimFault::DamageDisk,
        SimFault::KillGroupAndDisk,
        SimFault::Freeze,
        SimFault::FreezeHolder,
        SimFault::FreezeGroup,
        SimFault::FreezeLeader,
        SimFault::Isolation,
        SimFault::BlockOneDirection,
        SimFault::Partition,
        SimFault::PartitionQuorum,
        SimFault::StallDisk,
        SimFault::FailDisk,
        SimFault::CrashWorker,
        SimFault::LoseRunner,
        SimFault::RunnerLeaves,
        SimFault::DrainWorker,
        SimFault::Evacuate,
        SimFault::StopDaemon,
        SimFault::StopGroup,
        SimFault::RunnerFaults,
        SimFault::CallBurst,
        SimFault::RareCallBurst,
        SimFault::ClientRetries,
        SimFault::DelayedList,
        SimFault::ChangeBurst,
    ];

    /// Returns the fault with this name.
    pub fn by_name(name: &str) -> Option<SimFault> {
        Self::ALL
            .iter()
            .copied()
            .find(|fault| fault.to_string() == name)
    }
}

impl fmt::Display for SimFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::KillController => "kill-controller",
            Self::KillLeader => "kill-leader",
            Self::KillDaemon => "kill-daemon",
            Self::KillGroup => "kill-herd",
            Self::KillQuorum => "kill-core",
            Self::RestartAll => "restart-all",
            Self::LoseZone => "lose-locality",
            Self::LoseDisk => "lose-disk",
            Self::ReplaceVoter => "replace-core",
            Self::DamageDisk => "damage-disk",
            Self::KillGroupAndDisk => "herd-with-disk",
            Self::Freeze => "freeze",
            Self::FreezeHolder => "freeze-holder",
            Self::FreezeGroup => "freeze-herd",
            Self::FreezeLeader => "freeze-leader",
            Self::Isolation => "cut-off",
            Self::BlockOneDirection => "cut-one-way",
            Self::Partition => "cut-in-two",
            Self::PartitionQuorum => "cut-core",
            Self::StallDisk => "stall-disk",
            Self::FailDisk => "fail-disk",
            Self::CrashWorker => "crash-worker",
            Self::LoseRunner => "lose-runner",
            Self::RunnerLeaves => "runner-leaves",
            Self::DrainWorker => "drain-worker",
            Self::Evacuate => "evacuate",
            Self::StopDaemon => "stop-in-order",
            Self::StopGroup => "stop-all",
            Self::RunnerFaults => "mischief",
            Self::CallBurst => "crowd",
            Self::RareCallBurst => "rare-crowd",
            Self::ClientRetries => "impatience",
            Self::DelayedList => "late-list",
            Self::ChangeBurst => "storm",
        })
    }
}

impl Simulation {
    fn random_controller_index(&mut self) -> usize {
        self.rng.below(self.nodes.controllers().len() as u64) as usize
    }

    fn random_daemon(&mut self) -> usize {
        self.rng.below(self.nodes.daemons().len() as u64) as usize
    }

    fn random_node(&mut self) -> Node {
        let count = self.nodes.controllers().len() + self.nodes.daemons().len();
        let index = self.rng.below(count as u64) as usize;
        match index.checked_sub(self.nodes.controllers().len()) {
            Some(daemon) => Node::of_daemon(daemon),
            None => Node(index),
        }
    }

    /// Chooses some of the daemons at random, at least one but not all.
    fn random_group(&mut self) -> Vec<usize> {
        let count = 1 + self.rng.below(self.nodes.daemons().len() as u64 - 1) as usize;
        let first = self.random_daemon();
        (0..count)
            .map(|step| (first + step) % self.nodes.daemons().len())
            .collect()
    }

    pub(super) fn schedule_fault(&mut self) {
        let delay = self
            .rng
            .within(Duration::from_millis(300), self.plan.max_fault_interval);
        self.queue.push(delay, FaultEvent::RandomFault);
    }

    /// Injects a random fault of the kinds that the plan allows. A fault with a duration is undone after a random time.
    pub(super) fn inject_random_fault(&mut self) {
        let duration = self
            .rng
            .within(Duration::from_millis(300), Duration::from_millis(6000));
        let chosen = self.rng.below(SimFault::ALL.len() as u64) as usize;
        let planned_count = self.plan.fault_kinds.len() as u64;
        let planned = (planned_count > 0).then(|| self.rng.below(planned_count) as usize);
        let fault = planned.map_or(SimFault::ALL[chosen], |index| self.plan.fault_kinds[index]);
        self.record.trace(self.queue.now(), || {
            format!("fault {fault} for {duration:?}")
        });
        self.record.count_event(&format!("fault {fault}"));
        self.inject(fault, duration);
    }

    fn inject(&mut self, fault: SimFault, duration: Duration) {
        match fault {
            SimFault::KillController => drop(self.kill_random_controller(duration)),
            SimFault::KillLeader => self.kill_leader(duration),
            SimFault::KillDaemon => self.kill_random_daemon(duration),
            SimFault::KillGroup => self.kill_group(duration),
            SimFault::KillQuorum => self.kill_quorum(duration),
            SimFault::RestartAll => self.kill_all(duration),
            SimFault::LoseZone => self.lose_zone(duration),
            SimFault::LoseDisk => drop(self.lose_random_disk(duration)),
            SimFault::ReplaceVoter => self.replace_random_voter(duration),
            SimFault::DamageDisk => self.damage_random_disk(duration),
            SimFault::KillGroupAndDisk => self.kill_group_and_disk(duration),
            SimFault::Freeze => self.freeze_random_node(duration),
            SimFault::FreezeHolder => self.freeze_holder(duration),
            SimFault::FreezeGroup => self.freeze_group(duration),
            SimFault::FreezeLeader => self.freeze_leader(duration),
            SimFault::Isolation => self.isolate_random_node(duration),
            SimFault::BlockOneDirection => self.block_one_direction(duration),
            SimFault::Partition => self.partition_fleet(duration),
            SimFault::PartitionQuorum => self.partition_quorum(duration),
            SimFault::StallDisk => self.stall_random_disk(duration),
            SimFault::FailDisk => self.fail_random_disk(duration),
            SimFault::CrashWorker => self.crash_random_worker(),
            SimFault::LoseRunner => self.lose_random_runner(),
            SimFault::RunnerLeaves => self.announce_leaving_runner(),
            SimFault::DrainWorker => self.drain_random_worker(duration),
            SimFault::Evacuate => self.evacuate(duration),
            SimFault::StopDaemon => self.stop_random_daemon(),
            SimFault::StopGroup => self.stop_group(),
            SimFault::RunnerFaults => self.start_runner_faults(duration),
            SimFault::CallBurst => self.send_call_burst(),
            SimFault::RareCallBurst => self.send_rare_call_burst(),
            SimFault::ClientRetries => self
                .faults
                .start_caller_retries(self.queue.now() + duration),
            SimFault::DelayedList => self.delay_lists(duration),
            SimFault::ChangeBurst => self.send_change_burst(),
        }
    }

    fn kill_random_daemon(&mut self, duration: Duration) {
        let index = self.random_daemon();
        self.lose_daemon(index, duration);
    }

    fn replace_random_voter(&mut self, duration: Duration) {
        if let Some(index) = self.lose_random_disk(duration) {
            self.nodes.move_controller(index);
        }
    }

    fn freeze_random_node(&mut self, duration: Duration) {
        let node = self.random_node();
        self.freeze(node, duration);
    }

    fn stall_random_disk(&mut self, duration: Duration) {
        let index = self.random_controller_index();
        self.nodes.controller_mut(index).disk.stalled_until = self.queue.now() + duration;
    }

    fn fail_random_disk(&mut self, duration: Duration) {
        let index = self.random_controller_index();
        self.nodes.controller_mut(index).disk.failing_until = self.queue.now() + duration;
    }

    fn stop_random_daemon(&mut self) {
        let index = self.random_daemon();
        self.begin_shutdown(index);
    }

    fn start_runner_faults(&mut self, duration: Duration) {
        self.faults.start_runner_faults();
        self.queue.push(duration, FaultEvent::EndPlatformFaults);
    }

    fn delay_lists(&mut self, duration: Duration) {
        self.platform.delay_lists(duration / 2);
        self.queue.push(duration, FaultEvent::EndPlatformFaults);
    }

    fn kill_random_controller(&mut self, duration: Duration) -> usize {
        let index = self.random_controller_index();
        self.lose_controller(index, duration);
        index
    }

    fn kill_leader(&mut self, duration: Duration) {
        if let Some(index) = self.nodes.leading_controller() {
            self.lose_controller(index, duration);
        }
    }

    fn kill_group(&mut self, duration: Duration) {
        for index in self.random_group() {
            self.lose_daemon(index, duration);
        }
    }

    fn kill_quorum(&mut self, duration: Duration) {
        for index in 0..self.nodes.controllers().len() {
            self.lose_controller(index, duration);
        }
    }

    fn kill_all(&mut self, duration: Duration) {
        self.kill_quorum(duration);
        for index in 0..self.nodes.daemons().len() {
            self.lose_daemon(index, duration);
        }
    }

    /// Kills a random controller and erases its disk, if another disk may be lost. Returns the controller's index.
    fn lose_random_disk(&mut self, duration: Duration) -> Option<usize> {
        if !self.nodes.may_lose_disk() {
            return None;
        }
        self.record.count_event("disk lost");
        let index = self.kill_random_controller(duration);
        self.lose_disk(index);
        Some(index)
    }

    fn damage_random_disk(&mut self, duration: Duration) {
        if self.nodes.may_lose_disk() {
            let index = self.kill_random_controller(duration);
            self.nodes
                .controller_mut(index)
                .disk
                .corrupt_newest_version();
        }
    }

    fn kill_group_and_disk(&mut self, duration: Duration) {
        if self.nodes.may_lose_disk() {
            self.kill_group(duration);
            let index = self.kill_random_controller(duration);
            self.lose_disk(index);
        }
    }

    fn freeze_holder(&mut self, duration: Duration) {
        let holder = (0..self.nodes.daemons().len()).max_by_key(|index| {
            self.nodes
                .agent(*index)
                .map_or(0, |agent| agent.held_function_count())
        });
        if let Some(holder) = holder {
            self.freeze(
                self.nodes.daemon(holder).node,
                Duration::from_secs(3) + duration / 2,
            );
        }
    }

    fn freeze_group(&mut self, duration: Duration) {
        for index in self.random_group() {
            self.freeze(self.nodes.daemon(index).node, duration);
        }
    }

    fn freeze_leader(&mut self, duration: Duration) {
        if let Some(index) = self.nodes.leading_controller() {
            self.freeze(self.nodes.controller(index).node, duration);
        }
    }

    fn isolate_random_node(&mut self, duration: Duration) {
        let isolated_node = self.random_node();
        for other in self.nodes.all() {
            self.network.block(isolated_node, other);
            self.network.block(other, isolated_node);
        }
        self.queue.push(duration, FaultEvent::ClearPartitions);
    }

    fn block_one_direction(&mut self, duration: Duration) {
        let isolated_node = self.random_node();
        let blocks_incoming = self.rng.random_bool(0.5);
        for other in self.nodes.all() {
            if blocks_incoming {
                self.network.block(other, isolated_node);
            } else {
                self.network.block(isolated_node, other);
            }
        }
        self.queue.push(duration, FaultEvent::ClearPartitions);
    }

    /// Partitions the fleet into two groups, which are derived from the random duration.
    fn partition_fleet(&mut self, duration: Duration) {
        let salt = duration.subsec_nanos() as usize;
        let (left, right): (Vec<Node>, Vec<Node>) = self
            .nodes
            .all()
            .into_iter()
            .partition(|node| (node.0 * 7 + salt).is_multiple_of(3));
        self.partition(&left, &right);
        self.queue.push(duration, FaultEvent::ClearPartitions);
    }

    fn random_worker_index(&mut self) -> usize {
        self.rng.below(self.platform.worker_count() as u64) as usize
    }

    fn random_runner(&mut self) -> Option<RunnerId> {
        let count = self.platform.runner_count() as u64;
        let chosen = self.rng.below(count) as usize;
        self.platform.nth_runner(chosen)
    }

    fn crash_random_worker(&mut self) {
        let worker_index = self.random_worker_index();
        let worker = self.platform.worker_name(worker_index);
        self.platform.crash_worker(&worker);
    }

    fn lose_random_runner(&mut self) {
        if let Some(runner) = self.random_runner() {
            self.platform.stop(runner);
        }
    }

    fn announce_leaving_runner(&mut self) {
        if let Some(runner) = self.random_runner() {
            self.platform.announce_leaving(runner, self.queue.now());
            self.queue.push(
                Duration::from_secs(6),
                PlatformEvent::StopLeavingRunner(runner),
            );
        }
    }

    fn drain_random_worker(&mut self, duration: Duration) {
        let worker_index = self.random_worker_index();
        self.platform.drain_worker(self.queue.now(), worker_index);
        self.queue.push(
            Duration::from_secs(5) + duration,
            PlatformEvent::EndWorkerDrains,
        );
    }

    fn stop_group(&mut self) {
        for index in self.random_group() {
            self.begin_shutdown(index);
        }
    }

    fn send_call_burst(&mut self) {
        let routes = ["f0", "f1", "canary"];
        let route = routes[self.rng.below(routes.len() as u64) as usize];
        for _ in 0..CALL_BURST_SIZE {
            self.send_call(route);
        }
    }

    fn send_rare_call_burst(&mut self) {
        for _ in 0..RARE_CALL_BURST_SIZE {
            for route in ["f0", "f1", "f2", "f3", "f4", "f5"] {
                self.send_call(route);
            }
        }
    }

    fn send_change_burst(&mut self) {
        for _ in 0..CHANGE_BURST_SIZE {
            self.send_change();
        }
    }

    fn lose_controller(&mut self, index: usize, duration: Duration) {
        self.kill_controller(index);
        self.queue.push(
            duration,
            FaultEvent::RestartNode(self.nodes.controller(index).node),
        );
    }

    fn lose_daemon(&mut self, index: usize, duration: Duration) {
        self.kill_daemon(index);
        self.queue.push(
            duration,
            FaultEvent::RestartNode(self.nodes.daemon(index).node),
        );
    }

    /// Freezes a machine for the given time, or longer if it is already frozen for longer.
    pub(super) fn freeze(&mut self, node: Node, duration: Duration) {
        let until = self.queue.now() + duration;
        let resumes_at = self.frozen.freeze(node, until);
        if !node.is_controller()
            && let Some(process) = &mut self.nodes.daemon_mut(node.daemon_index()).process
        {
            process.is_disturbed = true;
        }
        self.queue.push(
            resumes_at.since(self.queue.now()),
            FaultEvent::ResumeNode(node),
        );
    }

    fn lose_zone(&mut self, duration: Duration) {
        let number = self.rng.below(3) as usize;
        let zone = zone_of_machine(number);
        self.lose_controller(number, duration);
        for index in (0..self.nodes.daemons().len()).filter(|index| index % 3 == number) {
            self.lose_daemon(index, duration);
        }
        let lost_workers = self.platform.remove_zone(&zone);
        self.queue
            .push(duration, PlatformEvent::RestoreWorkers(lost_workers));
    }

    fn partition(&mut self, left: &[Node], right: &[Node]) {
        for left_node in left {
            for right_node in right {
                self.network.block(*left_node, *right_node);
                self.network.block(*right_node, *left_node);
            }
        }
    }

    /// Partitions the leader, or a random controller if there is none, from the other controllers. A random number of
    /// daemons is on its side.
    fn partition_quorum(&mut self, duration: Duration) {
        let random_controller = self.random_controller_index();
        let isolated = self.nodes.leading_controller().unwrap_or(random_controller);
        let daemon_count = self.rng.below(self.nodes.daemons().len() as u64 + 1) as usize;
        let left: Vec<Node> = [Node(isolated)]
            .into_iter()
            .chain((0..daemon_count).map(Node::of_daemon))
            .collect();
        let right: Vec<Node> = self
            .nodes
            .all()
            .into_iter()
            .filter(|node| !left.contains(node) && *node != PLATFORM)
            .collect();
        self.partition(&left, &right);
        self.queue.push(duration, FaultEvent::ClearPartitions);
    }

    fn evacuate(&mut self, duration: Duration) {
        if self.checks.has_evacuated_zone() {
            return;
        }
        let zone = zone_of_machine(self.rng.below(3) as usize);
        self.submit_change(
            None,
            ChangeKind::Evacuate {
                zone: zone.clone(),
                force: false,
            },
        );
        self.queue.push(
            Duration::from_secs(6) + duration,
            OperatorEvent::Restore(zone),
        );
    }

    /// Starts a controller or daemon again if it is not running.
    pub(super) fn restart_node(&mut self, node: Node) {
        if node.is_controller() {
            if !self.nodes.controller(node.0).is_running() {
                self.start_controller(node.0);
            }
        } else if self.nodes.daemon(node.daemon_index()).process.is_none() {
            self.start_daemon(node.daemon_index());
        }
    }

    /// Undoes all faults and starts all controllers and daemons that are not running.
    pub(super) fn heal(&mut self) {
        self.network.clear_partitions();
        self.resume_all();
        self.faults.end_runner_faults();
        self.platform.end_list_delay();
        self.platform.end_worker_drains();
        for node in self.nodes.all() {
            if node != PLATFORM {
                self.restart_node(node);
            }
        }
        for controller in self.nodes.controllers_mut() {
            controller.disk.clear_faults();
        }
        for number in 0..3 {
            self.queue.push(
                Duration::from_secs(4),
                OperatorEvent::Restore(zone_of_machine(number)),
            );
        }
    }
}
