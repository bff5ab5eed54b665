//! Checks the replies of controllers to operators against what had been acknowledged when the request arrived.

use super::event::{ControllerEvent, Event};
use super::network::Node;
use super::simulation::Simulation;
use common::clock::MonotonicTime;
use common::frames::SocketAddress;
use common::identity::{ChangeId, Version};
use controlplane::controller_state::{Operation, OperationReply, OperationTicket};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// The longest time since a controller received a frame of the leader that it reports: its longest election timeout on a
/// clock that is slow by a twentieth, and the time to its next tick.
const REDIRECT_CONTACT_WITHIN: Duration = Duration::from_millis(680);

/// An operator's request and the state when it arrived.
struct ReplyExpectation {
    operation: Operation,
    acknowledged: Version,
    was_accepted: bool,
}

/// The requests to controllers, their acknowledgements, and the frames between them.
#[derive(Default)]
pub(super) struct ReplyChecks {
    expectations: HashMap<OperationTicket, ReplyExpectation>,
    acknowledged: Version,
    acknowledged_at: MonotonicTime,
    accepted_changes: HashSet<ChangeId>,
    first: Option<Operation>,
    last_heard_at: HashMap<(Node, SocketAddress), MonotonicTime>,
}

impl ReplyChecks {
    /// The first order that was acknowledged, as it was sent.
    pub(crate) fn first_acknowledged(&self) -> Option<Operation> {
        self.first.clone()
    }

    /// The newest version that was acknowledged.
    pub(crate) fn acknowledged(&self) -> Version {
        self.acknowledged
    }

    /// When an order was last acknowledged.
    pub(crate) fn acknowledged_at(&self) -> MonotonicTime {
        self.acknowledged_at
    }

    /// Records that a controller receives a frame of another one.
    pub(crate) fn record_contact(
        &mut self,
        now: MonotonicTime,
        controller: Node,
        from: SocketAddress,
    ) {
        self.last_heard_at.insert((controller, from), now);
    }

    /// Records that a request reaches a controller.
    pub(crate) fn record_request(&mut self, ticket: OperationTicket, operation: &Operation) {
        let was_accepted =
            change_of(operation).is_some_and(|change| self.accepted_changes.contains(change));
        let expectations = ReplyExpectation {
            operation: operation.clone(),
            acknowledged: self.acknowledged,
            was_accepted,
        };
        self.expectations.insert(ticket, expectations);
    }

    fn acknowledge(
        &mut self,
        now: MonotonicTime,
        change: &ChangeId,
        version: Version,
        expectations: ReplyExpectation,
    ) {
        self.acknowledged = self.acknowledged.max(version);
        self.acknowledged_at = now;
        self.accepted_changes.insert(change.clone());
        if self.first.is_none() && change_of(&expectations.operation).is_some() {
            self.first = Some(expectations.operation);
        }
    }
}

fn change_of(operation: &Operation) -> Option<&ChangeId> {
    match operation {
        Operation::Change(request) => request.change.as_ref(),
        _ => None,
    }
}

impl Simulation {
    /// Checks a controller's reply to an operator.
    pub(super) fn check_reply(
        &mut self,
        controller: usize,
        ticket: OperationTicket,
        reply: &OperationReply,
    ) {
        let Some(expectations) = self.reply_checks.expectations.remove(&ticket) else {
            return;
        };
        let required_version = expectations.acknowledged;
        match reply {
            OperationReply::Spec { document, .. } => {
                self.check_reading(controller, document.view_version(), required_version);
            }
            OperationReply::Accepted {
                change, version, ..
            } => {
                self.reply_checks
                    .acknowledge(self.queue.now(), change, *version, expectations);
                self.recovery.acknowledged(self.queue.now());
                self.note_acknowledgement();
            }
            OperationReply::Stale {
                change, version, ..
            } => self.check_stale(controller, change, *version, &expectations),
            OperationReply::Invalid(_) if expectations.was_accepted => {
                self.report_violation(format!(
                    "controller {controller} finds a taken order invalid"
                ));
            }
            OperationReply::Redirect(leader) => self.check_redirect(controller, *leader),
            _ => {}
        }
    }

    fn check_reading(&mut self, controller: usize, version: Version, required_version: Version) {
        self.checks.count_check("reading");
        if version < required_version {
            self.report_violation(format!(
                "controller {controller} reads {version}, {required_version} was acknowledged before"
            ));
        }
        if !self.checks.is_committed(version) {
            self.report_violation(format!(
                "controller {controller} reads {version}, which is not committed"
            ));
        }
    }

    fn check_stale(
        &mut self,
        controller: usize,
        change: &ChangeId,
        version: Version,
        expectations: &ReplyExpectation,
    ) {
        self.checks.count_check("refusal by state");
        let required_version = expectations.acknowledged;
        if version < required_version {
            self.report_violation(format!(
                "controller {controller} refuses {change} by {version}, {required_version} was \
                 acknowledged before"
            ));
        }
        if expectations.was_accepted {
            self.report_violation(format!(
                "controller {controller} refuses {change}, which was acknowledged before"
            ));
        }
    }

    fn check_redirect(&mut self, controller: usize, leader: SocketAddress) {
        self.checks.count_check("redirect");
        let last_heard_at = self
            .reply_checks
            .last_heard_at
            .get(&(Node(controller), leader))
            .copied();
        let contact_age = self.queue.now().since(last_heard_at.unwrap_or_default());
        if contact_age > REDIRECT_CONTACT_WITHIN {
            let contact_age_ms = contact_age.as_millis();
            self.report_violation(format!(
                "controller {controller} names {leader}, not heard for {contact_age_ms} ms"
            ));
        }
    }

    fn report_violation(&mut self, what: String) {
        self.checks.report_violation(self.queue.now(), what);
    }

    /// Records received frames and requests before they are handled.
    pub(super) fn observe_event(&mut self, event: &Event) {
        match event {
            Event::Controller(ControllerEvent::ConsensusFrame(node, frame)) => {
                self.reply_checks
                    .record_contact(self.queue.now(), *node, frame.address);
            }
            Event::Controller(ControllerEvent::OperatorRequest(_, ticket, operation)) => {
                self.reply_checks.record_request(*ticket, operation)
            }
            _ => {}
        }
    }

    /// Checks the end of a scripted day: acknowledged changes can be read, orders are acknowledged again, and the quorum
    /// has its full number of voters.
    pub(super) fn check_script_end(&mut self) {
        self.checks.count_check("end of a script");
        let acknowledged = self.reply_checks.acknowledged();
        let Some(document) = self.nodes.ready_leader_document() else {
            self.report_violation("no leader is ready at the end".to_owned());
            return;
        };
        let (version, voters) = (document.view_version(), document.voters.len());
        let is_settled = document.previous_voters.is_empty();
        if version < acknowledged {
            self.report_violation(format!(
                "{acknowledged} was acknowledged, {version} is read at the end"
            ));
        }
        if voters < self.plan.voters || !is_settled {
            let wanted = self.plan.voters;
            self.report_violation(format!(
                "{voters} of {wanted} voters at the end, settled: {is_settled}"
            ));
        }
        if self.reply_checks.acknowledged_at() < self.faults_end_at() + ACKNOWLEDGED_AFTER {
            self.report_violation("no order is acknowledged after the mending".to_owned());
        }
    }
}

/// How long after all faults are undone orders must be acknowledged again.
const ACKNOWLEDGED_AFTER: Duration = Duration::from_secs(6);
