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

/// The longest time since a controller received a frame from the leader to which it redirects: the longest election
/// timeout on a clock that is 5 % slow, plus the time to the next tick.
const MAX_REDIRECT_CONTACT_AGE: Duration = Duration::from_millis(680);

/// An operator's request, and what had been acknowledged when it arrived.
struct ReplyExpectation {
    operation: Operation,
    acknowledged: Version,
    was_accepted: bool,
}

/// The open requests to controllers, the acknowledgements so far, and the times of the last frames between controllers.
#[derive(Default)]
pub(super) struct ReplyChecks {
    expectations: HashMap<OperationTicket, ReplyExpectation>,
    acknowledged: Version,
    acknowledged_at: MonotonicTime,
    accepted_changes: HashSet<ChangeId>,
    first_acknowledged: Option<Operation>,
    last_frame_at: HashMap<(Node, SocketAddress), MonotonicTime>,
}

impl ReplyChecks {
    /// Returns the first order that was acknowledged, as it was sent.
    pub(crate) fn first_acknowledged(&self) -> Option<Operation> {
        self.first_acknowledged.clone()
    }

    /// Returns the newest version that was acknowledged.
    pub(crate) fn acknowledged(&self) -> Version {
        self.acknowledged
    }

    /// Returns when an order was last acknowledged.
    pub(crate) fn acknowledged_at(&self) -> MonotonicTime {
        self.acknowledged_at
    }

    /// Records that a controller received a frame from another one.
    pub(crate) fn record_contact(
        &mut self,
        now: MonotonicTime,
        controller: Node,
        from: SocketAddress,
    ) {
        self.last_frame_at.insert((controller, from), now);
    }

    /// Records that a request reached a controller.
    pub(crate) fn record_request(&mut self, ticket: OperationTicket, operation: &Operation) {
        let was_accepted =
            change_of(operation).is_some_and(|change| self.accepted_changes.contains(change));
        let expectation = ReplyExpectation {
            operation: operation.clone(),
            acknowledged: self.acknowledged,
            was_accepted,
        };
        self.expectations.insert(ticket, expectation);
    }

    fn acknowledge(
        &mut self,
        now: MonotonicTime,
        change: &ChangeId,
        version: Version,
        expectation: ReplyExpectation,
    ) {
        self.acknowledged = self.acknowledged.max(version);
        self.acknowledged_at = now;
        self.accepted_changes.insert(change.clone());
        if self.first_acknowledged.is_none() && change_of(&expectation.operation).is_some() {
            self.first_acknowledged = Some(expectation.operation);
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
        let Some(expectation) = self.reply_checks.expectations.remove(&ticket) else {
            return;
        };
        let required_version = expectation.acknowledged;
        match reply {
            OperationReply::Spec { document, .. } => {
                self.check_reading(controller, document.view_version(), required_version);
            }
            OperationReply::Accepted {
                change, version, ..
            } => {
                self.reply_checks
                    .acknowledge(self.queue.now(), change, *version, expectation);
                self.recovery.record_acknowledgement(self.queue.now());
                self.schedule_requested_power_losses();
            }
            OperationReply::Stale {
                change, version, ..
            } => self.check_stale(controller, change, *version, &expectation),
            OperationReply::Invalid(_) if expectation.was_accepted => {
                self.report_violation(format!(
                    "controller {controller} refuses an accepted order as invalid"
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
                "controller {controller} reads {version}, but {required_version} was acknowledged before"
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
        expectation: &ReplyExpectation,
    ) {
        self.checks.count_check("refusal by state");
        let required_version = expectation.acknowledged;
        if version < required_version {
            self.report_violation(format!(
                "controller {controller} refuses {change} on the basis of {version}, but {required_version} was \
                 acknowledged before"
            ));
        }
        if expectation.was_accepted {
            self.report_violation(format!(
                "controller {controller} refuses {change}, which was acknowledged before"
            ));
        }
    }

    fn check_redirect(&mut self, controller: usize, leader: SocketAddress) {
        self.checks.count_check("redirect");
        let last_frame_at = self
            .reply_checks
            .last_frame_at
            .get(&(Node(controller), leader))
            .copied();
        let contact_age = self.queue.now().since(last_frame_at.unwrap_or_default());
        if contact_age > MAX_REDIRECT_CONTACT_AGE {
            let contact_age_ms = contact_age.as_millis();
            self.report_violation(format!(
                "controller {controller} names {leader} as leader, but received no frame from it for \
                 {contact_age_ms} ms"
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

    /// Checks the end of a scripted run: acknowledged changes can be read, orders are acknowledged again, and the
    /// quorum has its intended number of voters.
    pub(super) fn check_script_end(&mut self) {
        self.checks.count_check("end of a script");
        let acknowledged = self.reply_checks.acknowledged();
        let Some(document) = self.nodes.ready_leader_document() else {
            self.report_violation("no leader is ready at the end".to_owned());
            return;
        };
        let (version, voters) = (document.view_version(), document.voters.len());
        let is_voter_change_done = document.previous_voters.is_empty();
        if version < acknowledged {
            self.report_violation(format!(
                "{acknowledged} was acknowledged, but the leader has {version} at the end"
            ));
        }
        if voters < self.plan.voters || !is_voter_change_done {
            let intended_voters = self.plan.voters;
            self.report_violation(format!(
                "the quorum has {voters} of {intended_voters} voters at the end, change of voters \
                 completed: {is_voter_change_done}"
            ));
        }
        if self.reply_checks.acknowledged_at() < self.faults_end_at() + LAST_ACKNOWLEDGEMENT_AFTER {
            self.report_violation(
                "no order was acknowledged after all faults were undone".to_owned(),
            );
        }
    }
}

/// At least this long after all faults are undone, an order must still be acknowledged.
const LAST_ACKNOWLEDGEMENT_AFTER: Duration = Duration::from_secs(6);
