//! Timed actions on the control side of a simulated fleet, and the world's part in carrying them out.

use super::event::Event;
use super::network::{Node, PLATFORM};
use super::operator::spec;
use super::simulation::Simulation;
use common::clock::MonotonicTime;
use controlplane::controller_state::{ChangeKind, Operation, OperationTicket};
use serde_json::{Value, json};
use std::time::Duration;

/// Which controller an action is about; chosen when the action is due.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Target {
    /// The one that leads.
    Leader,
    /// A voter that is alive and does not lead.
    Follower,
    /// Any controller, as an operator picks one.
    Any,
    /// One of the controllers at the seed addresses.
    Seed,
    /// The one that an earlier action cut off, stopped or replaced.
    Victim,
}

/// Which messages of a controller are lost.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Direction {
    /// Those from it and those to it.
    Both,
    /// Those from it.
    Outgoing,
    /// Those to it.
    Incoming,
}

/// How a controller goes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Loss {
    /// Its process is killed; what was not yet synced may be lost.
    Killed,
    /// Its machine loses power: nobody is told, and what was not yet synced may be lost.
    PowerLost,
    /// It returns with an empty disk at the same address.
    Wiped,
    /// An empty machine at a new address takes its place.
    Replaced,
    /// Its process stands still until it is woken.
    Frozen,
    /// It neither hears nor is heard.
    Isolation,
}

/// One thing done to the control side, or asked of it.
#[derive(Clone, Debug)]
pub enum Action {
    /// A controller goes; it becomes the victim.
    Lose(Target, Loss),
    /// Messages of a controller are lost; it becomes the victim.
    Cut(Target, Direction),
    /// All messages get through again, and every frozen machine wakes.
    Rejoin,
    /// The victim starts, or starts anew.
    Restart,
    /// The victim's machine is replaced by an empty one at a new address, which starts.
    ReplaceVictim,
    /// An operator sends changes, some of them racing and some invalid.
    Change,
    /// An operator sends one whole spec with so many functions.
    LargeChange(u64),
    /// An operator reads the configuration.
    Read(Target),
    /// An operator evacuates a zone.
    Evacuate(usize),
    /// An operator brings an evacuated zone back.
    Restore(usize),
    /// An operator sends the first order that was acknowledged once more.
    ResendFirst,
    /// The steps of the control side are counted from here on, and the plan's second loss is due.
    CountSteps,
    /// Everything loses power right after the next acknowledgement, and again at most 2 s later.
    PowerLossAfterAcknowledgement,
    /// All power is lost at once.
    LosePowerEverywhere,
    /// The time to the next acknowledgement and to the next renewed session leases runs from here.
    StartRecoveryClock,
}

/// Another loss, at one step of the control side's work.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct SecondLoss {
    /// The step before which it falls, counted from one.
    pub step: u64,
    /// Whom it hits.
    pub target: Target,
    /// What it is.
    pub loss: Loss,
}

/// How long a machine stays away after its second loss.
const SECOND_LOSS_LASTS: Duration = Duration::from_secs(3);
/// The longest time from one loss of power everywhere to the next.
const POWER_LOST_AGAIN_WITHIN: Duration = Duration::from_secs(2);

/// What a script has done so far.
#[derive(Default)]
pub(super) struct ScriptState {
    victim: Option<usize>,
    counts_repair_steps: bool,
    /// How many steps the control side has taken since they are counted.
    pub steps: u64,
    loses_power_on_next_acknowledgement: bool,
}

impl Simulation {
    /// Schedules the plan's script.
    pub(super) fn schedule_script(&mut self) {
        for (due_after, action) in std::mem::take(&mut self.plan.script) {
            self.push(due_after, Event::RunAction(action));
        }
    }

    /// Carries out one action.
    pub(super) fn run_action(&mut self, action: Action) {
        self.trace_line(|now| format!("{now} action {action:?}"));
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
                let zone = Simulation::zone(zone);
                self.submit_change(None, ChangeKind::Evacuate { zone, force: false });
            }
            Action::Restore(zone) => {
                self.submit_change(
                    None,
                    ChangeKind::Restore {
                        zone: Simulation::zone(zone),
                    },
                );
            }
            Action::ResendFirst => self.resend_first_acknowledged(),
            Action::CountSteps => self.script.counts_repair_steps = true,
            Action::PowerLossAfterAcknowledgement => {
                self.script.loses_power_on_next_acknowledgement = true
            }
            Action::LosePowerEverywhere => self.power_off_all(),
            Action::StartRecoveryClock => self.recovery.start(self.now),
        }
    }

    fn resolve_target(&mut self, target: Target) -> Option<usize> {
        let count = self.controllers.len() as u64;
        match target {
            Target::Leader => self.leading_controller(),
            Target::Any => Some(self.rng.below(count) as usize),
            Target::Seed => Some(self.rng.below(count.min(3)) as usize),
            Target::Victim => self.script.victim,
            Target::Follower => {
                let followers = self.followers();
                let chosen = self.rng.below(followers.len() as u64) as usize;
                followers.get(chosen).copied()
            }
        }
    }

    /// The voters that are alive and do not lead.
    fn followers(&self) -> Vec<usize> {
        let leading = self.leading_controller();
        let leader_document = leading.and_then(|index| {
            let leader = self.controllers[index].controller_state.as_ref()?;
            leader.consensus().accepted()
        });
        let Some(document) = leader_document else {
            return Vec::new();
        };
        let is_follower = |index: &usize| {
            let controller = &self.controllers[*index];
            let is_voter = document
                .voters
                .iter()
                .any(|member| member.id == controller.disk.durable.id);
            Some(*index) != leading && controller.controller_state.is_some() && is_voter
        };
        (0..self.controllers.len()).filter(is_follower).collect()
    }

    fn apply_loss(&mut self, index: usize, loss: Loss) {
        let node = self.controllers[index].node;
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
                self.move_controller(index);
            }
            Loss::Frozen => self.freeze(node, Duration::from_secs(3600)),
            Loss::Isolation => self.isolate_controller(index, Direction::Both),
        }
    }

    fn isolate_controller(&mut self, index: usize, direction: Direction) {
        let node = Node(index);
        let others = self.all_nodes().into_iter().filter(|other| *other != node);
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
        if self.controllers[index].controller_state.is_some() {
            self.kill_controller(index);
        }
        self.start_controller(index);
    }

    fn send_large_change(&mut self, functions: u64) {
        let base = self.checks.newest_version();
        let turn = self.rng.below(6);
        let new_spec = large_spec(turn, functions);
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

    /// Sends an operation that is only judged by what is said on it.
    pub(super) fn send_operation(&mut self, node: Node, operation: Operation) {
        self.next_number += 1;
        let ticket = OperationTicket(self.next_number);
        let delay = self.network.delay(&mut self.rng);
        self.push(delay, Event::Operate(node, ticket, operation));
    }

    fn power_off_all(&mut self) {
        let nodes = self
            .all_nodes()
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
            self.push(off_for, Event::RestartNode(node));
        }
    }

    /// An acknowledgement has just been said; power may be lost right after it.
    pub(super) fn note_acknowledgement(&mut self) {
        if std::mem::take(&mut self.script.loses_power_on_next_acknowledgement) {
            let at_once = self.rng.within(Duration::ZERO, Duration::from_millis(5));
            let again = self
                .rng
                .within(Duration::from_millis(50), POWER_LOST_AGAIN_WITHIN);
            self.push(at_once, Event::RunAction(Action::LosePowerEverywhere));
            self.push(again, Event::RunAction(Action::LosePowerEverywhere));
        }
    }

    /// Counts a step of the control side until everything is mended; the plan's second loss falls
    /// before the step it names.
    pub(super) fn count_repair_step(&mut self, event: &Event) {
        let is_step = match event {
            Event::ConsensusFrame(..) | Event::Durable(..) => true,
            Event::Written(node, ..) => node.is_controller(),
            _ => false,
        };
        if !is_step || !self.script.counts_repair_steps || self.now >= self.script_end() {
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
            self.trace_line(|now| format!("{now} second loss {second:?} of controller {index}"));
            self.apply_loss(index, second.loss);
            self.push(SECOND_LOSS_LASTS, Event::RestartNode(Node(index)));
        }
    }

    /// The moment at which the script's faults are over.
    pub(super) fn script_end(&self) -> MonotonicTime {
        self.started_at() + self.plan.lasts
    }
}

/// The usual configuration with further functions that nobody calls.
fn large_spec(turn: u64, functions: u64) -> Value {
    let mut large_spec = spec(turn);
    for number in 0..functions {
        let name = format!("extra-{number}");
        large_spec["functions"][&name] = json!({
            "memory_mb": 300 + turn, "boot_ms": 200, "slots": 3, "runners": {"max": 5},
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
