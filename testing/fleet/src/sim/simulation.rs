//! A simulated fleet: its processes, virtual clock and event queue.

use super::active_faults::ActiveFaults;
use super::answer_shares::AnswerShares;
use super::checks::SafetyChecks;
use super::daemon::PendingReplicaRequests;
use super::disk::UnsyncedWrites;
use super::event::{CallerEvent, Event, FaultEvent, LinkEvent, PlatformEvent};
use super::event_queue::{EventQueue, STARTED_AT};
use super::frozen_nodes::FrozenNodes;
use super::links::Links;
use super::network::{Network, Node};
use super::nodes::Nodes;
use super::number_sequence::NumberSequence;
use super::operator::PendingChanges;
use super::orders::Operators;
use super::plan::{SimPlan, SimResult};
use super::platform::SimPlatform;
use super::recovery::RecoveryClock;
use super::reply_checks::ReplyChecks;
use super::run_record::RunRecord;
use super::script::ScriptState;
use common::clock::MonotonicTime;
use common::identity::ControllerId;
use common::invariants;
use common::rng::SeededRng;
use std::time::Duration;

/// The virtual time from the start until callers send their first request.
const FIRST_CALL_AFTER: Duration = Duration::from_secs(3);
/// The virtual time from the start until the first random fault.
const FIRST_FAULT_AFTER: Duration = Duration::from_secs(6);
/// The simulation ends early once it has found more violations than this.
const MAX_VIOLATIONS: usize = 20;

/// A simulated fleet.
pub struct Simulation {
    pub(super) plan: SimPlan,
    pub(super) queue: EventQueue,
    pub(super) numbers: NumberSequence,
    pub(super) record: RunRecord,
    pub(super) rng: SeededRng,
    pub(super) nodes: Nodes,
    pub(super) frozen: FrozenNodes,
    pub(super) unsynced: UnsyncedWrites,
    pub(super) platform: SimPlatform,
    pub(super) network: Network,
    pub(super) links: Links,
    pub(super) checks: SafetyChecks,
    pub(super) script: ScriptState,
    pub(super) reply_checks: ReplyChecks,
    pub(super) recovery: RecoveryClock,
    pub(super) changes: PendingChanges,
    pub(super) operators: Operators,
    pub(super) faults: ActiveFaults,
    pub(super) replica_requests: PendingReplicaRequests,
    pub(super) answer_shares: AnswerShares,
}

impl Simulation {
    /// Creates a simulation with a bootstrapped quorum of controllers, daemons that have just started, and a platform
    /// without runners.
    pub fn new(plan: SimPlan, is_tracing: bool) -> Self {
        let mut rng = SeededRng::seeded(plan.seed);
        let ids: Vec<ControllerId> = (0..plan.controllers)
            .map(|_| ControllerId(rng.number() | 1))
            .collect();
        let mut simulation = Self {
            queue: EventQueue::new(),
            numbers: NumberSequence::default(),
            record: RunRecord::new(is_tracing),
            rng,
            nodes: Nodes::default(),
            frozen: FrozenNodes::default(),
            unsynced: UnsyncedWrites::default(),
            platform: SimPlatform::new(4, 1300),
            network: Network::default(),
            links: Links::default(),
            checks: SafetyChecks::default(),
            script: ScriptState::default(),
            reply_checks: ReplyChecks::default(),
            recovery: RecoveryClock::default(),
            changes: PendingChanges::default(),
            operators: Operators::default(),
            faults: ActiveFaults::default(),
            replica_requests: PendingReplicaRequests::default(),
            answer_shares: AnswerShares::default(),
            plan,
        };
        simulation.create_controllers(&ids);
        simulation.create_daemons();
        simulation.schedule_first_events();
        simulation
    }

    /// Schedules the first event of each recurring activity of the plan, and the end of its faults.
    fn schedule_first_events(&mut self) {
        self.queue.push(Duration::ZERO, PlatformEvent::ListTick);
        self.queue.push(FIRST_CALL_AFTER, CallerEvent::Call);
        if self.plan.has_changes {
            self.schedule_change();
        }
        if self.plan.has_numbered_orders {
            self.schedule_read();
        }
        self.schedule_script();
        if self.plan.has_faults {
            self.queue.push(FIRST_FAULT_AFTER, FaultEvent::RandomFault);
        }
        self.queue.push(self.plan.fault_duration, FaultEvent::Heal);
    }

    /// Returns the virtual time at which the plan's faults end.
    pub(super) fn faults_end_at(&self) -> MonotonicTime {
        STARTED_AT + self.plan.fault_duration
    }

    /// Adds the violations of invariants that the code under test detected itself to those of the safety checks.
    fn take_violations(&mut self) {
        for violation in invariants::take_collected() {
            self.checks
                .report_violation(self.queue.now(), violation.to_string());
        }
    }

    /// Runs the simulation to its end and returns its result.
    pub fn run(mut self) -> SimResult {
        invariants::collect_on_this_thread();
        let end_at = self.queue.now() + self.plan.fault_duration + self.plan.settling_time;
        while self.checks.violations.len() <= MAX_VIOLATIONS
            && let Some(due) = self.queue.pop_due(end_at)
        {
            self.record.digest_event(&due);
            let event = due.event;
            let target = event.target().or_else(|| self.link_target(&event));
            if let Some((node, incarnation)) = target {
                if self.frozen.contains(node, self.queue.now()) {
                    self.frozen.defer(node, event);
                    continue;
                }
                if !self.nodes.is_alive(node, incarnation) {
                    continue;
                }
            }
            self.count_repair_step(&event);
            self.observe_event(&event);
            self.dispatch(event);
            self.take_violations();
            if self.plan.ends_when_recovered
                && self.recovery.recovery_times(self.plan.daemons).is_some()
            {
                break;
            }
        }
        if self.plan.checks_script_end {
            self.check_script_end();
        }
        self.check_refused();
        self.check_operator_history();
        self.check_recovery();
        let record = self.record.finish();
        SimResult {
            violations: self.checks.violations,
            counts: record.counts,
            checked: self.checks.checked,
            settled_answer_share: self.answer_shares.settled_share(),
            recovered_after: self.answer_shares.recovered_after(),
            steps: self.script.steps,
            recovery: self.recovery.recovery_times(self.plan.daemons),
            event_digest: record.event_digest,
            trace: record.trace_lines,
        }
    }

    /// Resumes a machine unless it is still frozen. Its deferred events are handled in their order of arrival, except
    /// that those on operators' connections may be handled before all others.
    pub(super) fn resume_node(&mut self, node: Node) {
        if !self.frozen.contains(node, self.queue.now()) {
            let deferred = self.frozen.resume(node);
            let are_operators_first = self.plan.has_numbered_orders && self.rng.random_bool(0.8);
            let (first, others): (Vec<Event>, Vec<Event>) = deferred
                .into_iter()
                .partition(|event| are_operators_first && event.is_from_operator());
            for event in first.into_iter().chain(others) {
                self.queue.push(Duration::ZERO, event);
            }
        }
    }

    /// Resumes all frozen machines.
    pub(super) fn resume_all(&mut self) {
        for node in self.frozen.end_all() {
            self.resume_node(node);
        }
    }

    /// Returns the process that handles an event on a link, as [`Event::target`] does for other events.
    fn link_target(&self, event: &Event) -> Option<(Node, Option<u64>)> {
        match event {
            Event::Link(LinkEvent::Dialed(number))
            | Event::Link(LinkEvent::FrameToDaemon(number, _)) => self
                .links
                .get(*number)
                .map(|link| (link.daemon, Some(link.daemon_incarnation))),
            Event::Link(LinkEvent::FrameToController(number, _)) => self
                .links
                .get(*number)
                .map(|link| (link.controller, Some(link.controller_incarnation))),
            Event::Link(LinkEvent::LinkLost(_, node)) => Some((*node, None)),
            _ => None,
        }
    }

    /// Whether some leader grants leases, is not frozen, and can exchange messages with the platform and every daemon.
    pub(super) fn is_control_plane_healthy(&self) -> bool {
        let is_frozen = |node: Node| self.frozen.contains(node, self.queue.now());
        let reaches_all = |node: Node| {
            self.nodes
                .daemons_and_platform()
                .all(|other| self.network.reaches(node, other) && self.network.reaches(other, node))
        };
        self.nodes.controllers().iter().any(|controller| {
            controller.is_granting_leader()
                && !is_frozen(controller.node)
                && reaches_all(controller.node)
        })
    }

    /// Returns the time on the clock of a daemon's machine.
    pub(super) fn daemon_now(&self, index: usize) -> MonotonicTime {
        self.nodes.daemon(index).local_time(self.queue.now())
    }

    /// Whether a daemon runs and holds a valid session lease.
    pub(super) fn is_daemon_serving(&self, index: usize) -> bool {
        self.nodes.daemon(index).is_serving(self.queue.now())
    }
}
