//! A whole virtual fleet: its parts, its clock and its queue of events.

use super::checks::Checks;
use super::controller::SimController;
use super::daemon::SimDaemon;
use super::digest::EventDigest;
use super::event::Event;
use super::links::Link;
use super::network::{Network, Node, PLATFORM};
use super::operator::SimChange;
use super::orders::Operators;
use super::plan::{SimEnd, SimPlan};
use super::platform::SimPlatform;
use super::recovery::RecoveryClock;
use super::script::ScriptState;
use super::statements::Statements;
use common::chance::Chance;
use common::clock::Moment;
use common::identity::{ChangeId, ControllerId, TransactionId};
use common::invariants;
use controlplane::controller_state::OperationTicket;
use controlplane::core::WriteJob;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// When every simulated day begins.
const STARTED_AT: Moment = Moment(1_000_000_000);

/// A whole virtual fleet.
pub struct World {
    pub(super) plan: SimPlan,
    pub(super) now: Moment,
    pub(super) chance: Chance,
    pub(super) controllers: Vec<SimController>,
    pub(super) daemons: Vec<SimDaemon>,
    pub(super) platform: SimPlatform,
    pub(super) network: Network,
    pub(super) links: HashMap<u64, Link>,
    pub(super) frozen: BTreeMap<Node, Moment>,
    deferred: BTreeMap<Node, Vec<Event>>,
    pub(super) checks: Checks,
    pub(super) script: ScriptState,
    pub(super) statements: Statements,
    pub(super) recovery: RecoveryClock,
    pub(super) unsynced: Vec<(usize, WriteJob)>,
    pub(super) changes: HashMap<OperationTicket, SimChange>,
    pub(super) refused_changes: Vec<ChangeId>,
    pub(super) operators: Operators,
    pub(super) next_number: u64,
    pub(super) mischief: f64,
    pub(super) impatient_until: Moment,
    pub(super) open_questions: BTreeSet<u64>,
    pub(super) is_tracing: bool,
    pub(super) trace: Vec<String>,
    counts: BTreeMap<String, u64>,
    queue: BTreeMap<(Moment, u64), Event>,
    next_event: u64,
    last_in_order: HashMap<(Node, Node), Moment>,
    event_digest: EventDigest,
    pub(super) is_healed: bool,
    pub(super) moved_count: u8,
    pub(super) late_calls: BTreeMap<TransactionId, usize>,
    pub(super) late_shares: Vec<(u64, u64)>,
}

impl World {
    /// A founded core, daemons that have just started, and an empty platform.
    pub fn new(plan: SimPlan, is_tracing: bool) -> Self {
        let mut chance = Chance::seeded(plan.seed);
        let ids: Vec<ControllerId> =
            (0..plan.controllers).map(|_| ControllerId(chance.number() | 1)).collect();
        let mut world = Self {
            now: STARTED_AT,
            chance,
            controllers: Vec::new(),
            daemons: Vec::new(),
            platform: SimPlatform::new(4, 1300),
            network: Network::default(),
            links: HashMap::new(),
            frozen: BTreeMap::new(),
            deferred: BTreeMap::new(),
            checks: Checks::default(),
            script: ScriptState::default(),
            statements: Statements::default(),
            recovery: RecoveryClock::default(),
            unsynced: Vec::new(),
            changes: HashMap::new(),
            refused_changes: Vec::new(),
            operators: Operators::default(),
            next_number: 0,
            mischief: 0.0,
            impatient_until: Moment::ZERO,
            open_questions: BTreeSet::new(),
            is_tracing,
            trace: Vec::new(),
            counts: BTreeMap::new(),
            queue: BTreeMap::new(),
            next_event: 0,
            last_in_order: HashMap::new(),
            event_digest: EventDigest::default(),
            is_healed: false,
            moved_count: 0,
            late_calls: BTreeMap::new(),
            late_shares: Vec::new(),
            plan,
        };
        world.found(&ids);
        for place in 0..world.plan.daemons {
            let clock_ahead = Duration::from_secs(world.chance.below(100_000));
            let clock_drift = world.some_drift();
            let node = Node::of_daemon(place);
            world.daemons.push(SimDaemon { node, life: 0, clock_ahead, clock_drift, body: None });
            world.start_daemon(place);
        }
        world.push(Duration::ZERO, Event::ListTick);
        world.push(Duration::from_secs(3), Event::Call);
        if world.plan.has_changes {
            world.schedule_change();
        }
        if world.plan.numbers_orders {
            world.schedule_reading();
        }
        world.schedule_script();
        if world.plan.has_faults {
            world.push(Duration::from_secs(6), Event::Fault);
        }
        let lasts = world.plan.lasts;
        world.push(lasts, Event::Heal);
        world
    }

    /// When the day began.
    pub(super) fn started_at(&self) -> Moment {
        STARTED_AT
    }

    pub(super) fn push(&mut self, delay: Duration, event: Event) {
        self.next_event += 1;
        self.queue.insert((self.now + delay, self.next_event), event);
    }

    pub(super) fn push_in_order(&mut self, key: (Node, Node), delay: Duration, event: Event) {
        let earliest = self.last_in_order.get(&key).copied().unwrap_or_default();
        let due_at = (self.now + delay).max(earliest + Duration::from_nanos(1));
        self.last_in_order.insert(key, due_at);
        self.push(due_at.since(self.now), event);
    }

    pub(super) fn counted(&mut self, label: &str) {
        self.counted_by(label, 1);
    }

    pub(super) fn counted_by(&mut self, label: &str, count: usize) {
        *self.counts.entry(label.to_owned()).or_default() += count as u64;
    }

    /// What the code found broken by itself is a breach like any other.
    fn take_violations(&mut self) {
        for violation in invariants::take_seen() {
            self.checks.breach(self.now, violation.to_string());
        }
    }

    /// Runs the day to its end.
    pub fn run(mut self) -> SimEnd {
        invariants::collect_on_this_thread();
        let end_at = self.now + self.plan.lasts + self.plan.closing;
        while let Some(((due_at, number), event)) = self.queue.pop_first() {
            if due_at > end_at || self.checks.breaches.len() > 20 {
                break;
            }
            self.now = self.now.max(due_at);
            self.event_digest.add(due_at, number, &event);
            let target = event.target().or_else(|| self.link_target(&event));
            if let Some((node, life)) = target {
                if self.is_frozen(node) {
                    self.deferred.entry(node).or_default().push(event);
                    continue;
                }
                if !self.is_living(node, life) {
                    continue;
                }
            }
            self.count_step(&event);
            self.note_statement(&event);
            self.happen(event);
            self.take_violations();
            if self.plan.ends_when_back && self.recovery.measured(self.plan.daemons).is_some() {
                break;
            }
        }
        if self.plan.judges_script {
            self.check_script_end();
        }
        self.check_refused();
        self.judge_operators();
        let (share_after, back_after) = self.return_to_service();
        self.check_return();
        SimEnd {
            breaches: self.checks.breaches,
            counts: self.counts,
            looked: self.checks.looked,
            share_after,
            back_after,
            steps: self.script.steps,
            recovery: self.recovery.measured(self.plan.daemons),
            event_digest: self.event_digest.finish(),
            trace: self.trace,
        }
    }

    pub(super) fn is_frozen(&self, node: Node) -> bool {
        self.frozen.get(&node).is_some_and(|until| *until > self.now)
    }

    /// A frozen machine wakes: what came meanwhile is taken in the order in which it came, but for
    /// operators' connections, which may be read before all others.
    pub(super) fn wake_machine(&mut self, node: Node) {
        if !self.is_frozen(node) {
            self.frozen.remove(&node);
            let deferred = self.deferred.remove(&node).unwrap_or_default();
            let is_read_first = self.plan.numbers_orders && self.chance.happens(0.8);
            let (first, others): (Vec<Event>, Vec<Event>) =
                deferred.into_iter().partition(|event| is_read_first && event.is_from_operator());
            for event in first.into_iter().chain(others) {
                self.push(Duration::ZERO, event);
            }
        }
    }

    /// Every frozen machine wakes.
    pub(super) fn wake_all(&mut self) {
        let frozen_nodes: Vec<Node> = std::mem::take(&mut self.frozen).into_keys().collect();
        for node in frozen_nodes {
            self.wake_machine(node);
        }
    }

    fn link_target(&self, event: &Event) -> Option<(Node, Option<u64>)> {
        match event {
            Event::Dialed(number) | Event::LinkDown(number, _) => {
                self.links.get(number).map(|link| (link.daemon, Some(link.daemon_life)))
            }
            Event::LinkUp(number, _) => {
                self.links.get(number).map(|link| (link.controller, Some(link.controller_life)))
            }
            Event::LinkLost(_, node) => Some((*node, None)),
            _ => None,
        }
    }

    fn is_living(&self, node: Node, life: Option<u64>) -> bool {
        if node.is_controller() {
            let controller = &self.controllers[node.0];
            controller.controller_state.is_some() && life.is_none_or(|life| life == controller.life)
        } else if node != PLATFORM {
            let daemon = &self.daemons[node.daemon_place()];
            daemon.body.is_some() && life.is_none_or(|life| life == daemon.life)
        } else {
            true
        }
    }

    /// Whether there is a leader that is awake and reaches the platform and every daemon.
    pub(super) fn is_control_whole(&self) -> bool {
        let is_awake = |node: &Node| self.frozen.get(node).is_none_or(|until| *until <= self.now);
        self.controllers.iter().any(|controller| {
            controller.controller_state.as_ref().is_some_and(|controller_state| {
                controller_state.core().is_ready()
                    && controller_state
                        .leader_state()
                        .is_some_and(|leader_state| leader_state.is_open())
            }) && is_awake(&controller.node)
                && self.all_nodes().iter().skip(self.controllers.len()).all(|node| {
                    self.network.reaches(controller.node, *node)
                        && self.network.reaches(*node, controller.node)
                })
        })
    }
}
