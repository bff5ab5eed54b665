//! Scripts of timed actions on the control plane of a simulated fleet, and their execution.

use super::addresses::zone_of_machine;
use super::event::{ControllerEvent, Event, FaultEvent};
use super::network::{Node, PLATFORM};
use super::operator::spec;
use super::simulation::Simulation;
use controlplane::controller_state::{ChangeKind, Operation, OperationTicket};
use serde_json::{Value, json};
use std::time::Duration;

/// The target of an action; the controller is chosen when the action is due.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Target {
    /// The leader.
    Leader,
    /// A running voter that is not the leader.
    Follower,
    /// A random controller.
    Any,
    /// One of the controllers at the seed addresses.
    Seed,
    /// The controller that an earlier action lost or partitioned.
    Victim,
}

/// The directions in which a controller's messages are lost.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Direction {
    /// Outgoing and incoming messages.
    Both,
    /// Outgoing messages.
    Outgoing,
    /// Incoming messages.
    Incoming,
}

/// The ways in which a controller is lost.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Loss {
    /// Its process is killed; unsynced writes may be lost.
    Killed,
    /// Its machine loses power: connections are not closed, and unsynced writes may be lost.
    PowerLost,
    /// It restarts with an empty disk at the same address.
    Wiped,
    /// It is replaced by an empty machine with a new address.
    Replaced,
    /// Its process is frozen until it is resumed.
    Frozen,
    /// It is partitioned from all other nodes.
    Isolation,
}

/// An action on the control plane, or an operator's request.
#[derive(Clone, Debug)]
pub enum Action {
    /// Makes a controller fail; it becomes the victim.
    Lose(Target, Loss),
    /// Blocks messages of a controller; it becomes the victim.
    Cut(Target, Direction),
    /// Unblocks all messages and resumes all frozen machines.
    Rejoin,
    /// Starts the victim, or restarts it if it is running.
    Restart,
    /// Replaces the victim's machine by an empty one with a new address, and starts it.
    ReplaceVictim,
    /// Sends changes as an operator, some of them concurrent and some invalid.
    Change,
    /// Sends a complete spec with this number of additional functions as an operator.
    LargeChange(u64),
    /// Reads the configuration as an operator.
    Read(Target),
    /// Evacuates a zone as an operator.
    Evacuate(usize),
    /// Restores an evacuated zone as an operator.
    Restore(usize),
    /// Sends the first acknowledged order again as an operator.
    ResendFirst,
    /// Starts to count the steps of the control plane; the plan's second loss happens at one of them.
    CountSteps,
    /// Cuts the power of all machines right after the next acknowledgement, and again at most 2 s later.
    PowerLossAfterAcknowledgement,
    /// Cuts the power of all machines.
    LosePowerEverywhere,
    /// Starts the measurement of the recovery times.
    StartRecoveryClock,
}

/// A second loss at one step of the control plane.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct SecondLoss {
    /// The step before which it happens, counted from one.
    pub step: u64,
    /// The controller that is lost.
    pub target: Target,
    /// The kind of loss.
    pub loss: Loss,
}

/// How long a machine is down after the second loss.
const SECOND_LOSS_DURATION: Duration = Duration::from_secs(3);
/// The longest time between two power losses of all machines.
const MAX_POWER_LOSS_INTERVAL: Duration = Duration::from_secs(2);

/// The progress of a script.
#[derive(Default)]
pub(super) struct ScriptState {
    victim: Option<usize>,
    counts_steps: bool,
    /// The number of steps of the control plane since [`Action::CountSteps`].
    pub steps: u64,
    loses_power_on_next_acknowledgement: bool,
}

impl Simulation {
    /// Schedules the actions of the plan's script.
    pub(super) fn schedule_script(&mut self) {
        for (due_after, action) in std::mem::take(&mut self.plan.script) {
            self.queue.push(due_after, FaultEvent::RunAction(action));
        }
    }

    /// Executes one action.
    pub(super) fn run_action(&mut self, action: Action) {
        self.record
            .trace(self.queue.now(), || format!("action {action:?}"));
        match action {
            Action::Lose(target, loss) => {
                if let Some(index) = self.resolve_target(target) {
                    self.script.victim = Some(index);
                    self.apply_loss(index, loss);
                }
            }
            Action::Cut(target, direction) => {
                if let Some(index) = self.resolve_target(target) {
                    self.script.victim = Some(index);
                    self.isolate_controller(index, direction);
                }
            }
            Action::Rejoin => {
                self.network.clear_partitions();
                self.resume_all();
            }
            Action::Restart => self.restart_victim(),
            Action::ReplaceVictim => {
                if let Some(index) = self.script.victim {
                    self.apply_loss(index, Loss::Replaced);
                    self.start_controller(index);
                }
            }
            Action::Change => self.send_change(),
            Action::LargeChange(functions) => self.send_large_change(functions),
            Action::Read(target) => self.read_configuration(target),
            Action::Evacuate(zone) => {
                let zone = zone_of_machine(zone);
                self.submit_change(None, ChangeKind::Evacuate { zone, force: false });
            }
            Action::Restore(zone) => {
                self.submit_change(
                    None,
                    ChangeKind::Restore {
                        zone: zone_of_machine(zone),
                    },
                );
            }
            Action::ResendFirst => self.resend_first_acknowledged(),
            Action::CountSteps => self.script.counts_steps = true,
            Action::PowerLossAfterAcknowledgement => {
                self.script.loses_power_on_next_acknowledgement = true
            }
            Action::LosePowerEverywhere => self.power_off_all(),
            Action::StartRecoveryClock => self.recovery.start(self.queue.now()),
        }
    }

    fn resolve_target(&mut self, target: Target) -> Option<usize> {
        let count = self.nodes.controllers().len() as u64;
        match target {
            Target::Leader => self.nodes.leading_controller(),
            Target::Any => Some(self.rng.below(count) as usize),
            Target::Seed => Some(self.rng.below(count.min(3)) as usize),
            Target::Victim => self.script.victim,
            Target::Follower => {
                let followers = self.nodes.followers();
                let chosen = self.rng.below(followers.len() as u64) as usize;
                followers.get(chosen).copied()
            }
        }
    }

    fn apply_loss(&mut self, index: usize, loss: Loss) {
        let node = self.nodes.controller(index).node;
        match loss {
            Loss::Killed => self.kill_controller(index),
            Loss::PowerLost => self.power_off_controller(index),
            Loss::Wiped => {
                self.power_off_controller(index);
                self.lose_disk(index);
            }
            Loss::Replaced => {
                self.power_off_controller(index);
                self.lose_disk(index);
                self.nodes.move_controller(index);
            }
            Loss::Frozen => self.freeze(node, Duration::from_secs(3600)),
            Loss::Isolation => self.isolate_controller(index, Direction::Both),
        }
    }

    fn isolate_controller(&mut self, index: usize, direction: Direction) {
        let node = Node(index);
        let others = self.nodes.all().into_iter().filter(|other| *other != node);
        for other in others.collect::<Vec<Node>>() {
            if direction != Direction::Incoming {
                self.network.block(node, other);
            }
            if direction != Direction::Outgoing {
                self.network.block(other, node);
            }
        }
    }

    fn restart_victim(&mut self) {
        let Some(index) = self.script.victim else {
            return;
        };
        if self.nodes.controller(index).is_running() {
            self.kill_controller(index);
        }
        self.start_controller(index);
    }

    fn send_large_change(&mut self, functions: u64) {
        let base = self.checks.newest_version();
        let variant = self.rng.below(6);
        let new_spec = large_spec(variant, functions);
        self.submit_change(Some(base), ChangeKind::FullSpec(new_spec.into()));
    }

    fn read_configuration(&mut self, target: Target) {
        if let Some(index) = self.resolve_target(target) {
            self.send_operation(Node(index), Operation::ReadSpec);
        }
    }

    fn resend_first_acknowledged(&mut self) {
        let Some(first) = self.reply_checks.first_acknowledged() else {
            return;
        };
        if let Some(index) = self.resolve_target(Target::Any) {
            self.send_operation(Node(index), first);
        }
    }

    /// Sends an operation as an operator; only its reply is checked.
    pub(super) fn send_operation(&mut self, node: Node, operation: Operation) {
        let ticket = OperationTicket(self.numbers.next());
        let delay = self.network.delay(&mut self.rng);
        self.queue.push(
            delay,
            ControllerEvent::OperatorRequest(node, ticket, operation),
        );
    }

    fn power_off_all(&mut self) {
        let nodes = self
            .nodes
            .all()
            .into_iter()
            .filter(|node| *node != PLATFORM);
        for node in nodes.collect::<Vec<Node>>() {
            if node.is_controller() {
                self.power_off_controller(node.0);
            } else {
                self.kill_daemon(node.daemon_index());
            }
            let off_for = self
                .rng
                .within(Duration::from_millis(100), Duration::from_millis(600));
            self.queue.push(off_for, FaultEvent::RestartNode(node));
        }
    }

    /// Schedules the power losses that [`Action::PowerLossAfterAcknowledgement`] requested, if any; called at an
    /// acknowledgement.
    pub(super) fn schedule_requested_power_losses(&mut self) {
        if std::mem::take(&mut self.script.loses_power_on_next_acknowledgement) {
            let first_delay = self.rng.within(Duration::ZERO, Duration::from_millis(5));
            let second_delay = self
                .rng
                .within(Duration::from_millis(50), MAX_POWER_LOSS_INTERVAL);
            self.queue.push(
                first_delay,
                FaultEvent::RunAction(Action::LosePowerEverywhere),
            );
            self.queue.push(
                second_delay,
                FaultEvent::RunAction(Action::LosePowerEverywhere),
            );
        }
    }

    /// Counts an event if it is a step of the control plane, until all faults are undone. Applies the plan's second
    /// loss before its step.
    pub(super) fn count_repair_step(&mut self, event: &Event) {
        let is_step = match event {
            Event::Controller(ControllerEvent::ConsensusFrame(..))
            | Event::Controller(ControllerEvent::Durable(..)) => true,
            Event::Controller(ControllerEvent::Written(node, ..)) => node.is_controller(),
            _ => false,
        };
        if !is_step || !self.script.counts_steps || self.queue.now() >= self.faults_end_at() {
            return;
        }
        self.script.steps += 1;
        let due_second_loss = self
            .plan
            .second_loss
            .filter(|second| second.step == self.script.steps);
        if let Some(second) = due_second_loss
            && let Some(index) = self.resolve_target(second.target)
        {
            self.record.trace(self.queue.now(), || {
                format!("second loss {second:?} of controller {index}")
            });
            self.apply_loss(index, second.loss);
            self.queue.push(
                SECOND_LOSS_DURATION,
                Event::Fault(FaultEvent::RestartNode(Node(index))),
            );
        }
    }
}

/// The usual spec with additional functions that are never called.
fn large_spec(variant: u64, functions: u64) -> Value {
    let mut large_spec = spec(variant);
    for number in 0..functions {
        let name = format!("extra-{number}");
        large_spec["functions"][&name] = json!({
            "memory_mb": 300 + variant, "boot_ms": 200, "slots": 3, "runners": {"max": 5},
        });
        large_spec["routes"][&name] = json!({
            "method": "POST",
            "path": format!("/{name}"),
            "function": name,
            "budget_ms": 3000,
            "kind": "repeatable",
        });
    }
    large_spec
}
