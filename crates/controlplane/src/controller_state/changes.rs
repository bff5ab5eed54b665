//! The lifecycle of operators' changes: queueing, evaluation, proposal, reply and timeout.

use super::change_evaluation::{ChangeEvaluator, EvaluationResult};
use super::content::derive_change_id;
use super::pending_changes::{ProposedChange, QueuedChange};
use super::{
    ChangeKind, ChangeRequest, ControllerOutput, ControllerState, Operation, OperationReply,
    OperationTicket, Unavailable, UnrecordedChange,
};
use crate::leader_state::LeaderState;
use common::clock::MonotonicTime;
use common::identity::{ChangeId, Version};
use common::invariants::{Invariant, require};
use common::rules::Rule;
use common::spec::Document;
use std::time::Duration;

/// How long after a request its caller's disconnection may still go unnoticed.
const DISCONNECT_NOTICE_DELAY: Duration = Duration::from_millis(25);

impl ControllerState {
    /// Queues a change, and derives an ID for it if the operator gave none.
    pub(super) fn queue_change(
        &mut self,
        requested_at: MonotonicTime,
        ticket: OperationTicket,
        request: ChangeRequest,
    ) {
        let change = match (&request.change, &request.kind) {
            (Some(given_id), _) => given_id.clone(),
            // A later evacuation of the same zone is a different change, so the ID cannot be derived from the content.
            (None, ChangeKind::Evacuate { .. } | ChangeKind::Restore { .. }) => {
                ChangeId::from(format!("turn-{}-{}", self.consensus.term(), ticket.0))
            }
            (None, kind) => derive_change_id(request.base, request.numbering, kind),
        };
        self.pending_changes.queue.push_back(QueuedChange {
            ticket,
            request,
            change,
            requested_at,
        });
    }

    /// Evaluates and proposes queued changes as far as possible, and replies to those that timed out.
    pub(super) fn progress_changes(&mut self, now: MonotonicTime) {
        self.pending_changes.requeue_awaiting_confirmation();
        while self.may_evaluate_changes(now) {
            let Some(queued) = self.pending_changes.queue.pop_front() else {
                break;
            };
            self.evaluate_change(now, queued);
        }
        self.pending_changes.attach_repeated_changes();
        self.expire_changes(now);
    }

    fn may_evaluate_changes(&self, now: MonotonicTime) -> bool {
        let can_propose = self.consensus.is_ready() && !self.consensus.is_proposing();
        can_propose
            && (self.is_recently_confirmed(now)
                || !self.rules.enforces(Rule::RejectionConfirmedByMajority))
    }

    fn expire_changes(&mut self, now: MonotonicTime) {
        let expired = self.pending_changes.take_expired(now);
        for queued in expired.unproposed {
            let change = Some(queued.change);
            let reason = Unavailable::NoQuorum;
            self.send_reply(
                queued.ticket,
                OperationReply::NotAccepted { reason, change },
            );
        }
        for proposed_change in expired.uncommitted {
            self.reply_unknown(&proposed_change, Unavailable::NoQuorum);
        }
        for proposed_change in expired.not_in_force {
            let reply = proposed_change.accepted_reply(Version(0));
            self.send_reply(proposed_change.ticket, reply);
        }
    }

    /// Sends the reply to one operation.
    pub(super) fn send_reply(&mut self, ticket: OperationTicket, reply: OperationReply) {
        self.outputs
            .push(ControllerOutput::OperatorReply(ticket, reply));
    }

    /// Replies that it is unknown whether a proposed change will be committed.
    pub(super) fn reply_unknown(&mut self, proposed_change: &ProposedChange, reason: Unavailable) {
        let change = Some(proposed_change.change.clone());
        self.send_reply(
            proposed_change.ticket,
            OperationReply::Unknown { reason, change },
        );
    }

    fn evaluate_change(&mut self, now: MonotonicTime, queued: QueuedChange) {
        let Some(current_document) = self.consensus.accepted().cloned() else {
            return;
        };
        let evaluation_result = ChangeEvaluator {
            current_document: &current_document,
            leader_state: self.leader_state.as_ref(),
            rules: self.rules,
        }
        .evaluate(&queued);
        if !self.may_act_on(now, &evaluation_result, &queued) {
            self.pending_changes.awaiting_confirmation.push_back(queued);
            return;
        }
        match evaluation_result {
            EvaluationResult::Applied { version, number } => {
                self.pending_changes
                    .accepted
                    .push(queued.into_proposed(version, number));
            }
            EvaluationResult::AlreadyInState => {
                let version = current_document.view_version();
                self.pending_changes
                    .accepted
                    .push(queued.into_proposed(version, 0));
            }
            EvaluationResult::Reply(reply) => self.send_reply(queued.ticket, reply),
            EvaluationResult::NewDocument(next_document) => {
                self.propose_change(now, queued, *next_document)
            }
        }
    }

    /// Whether the result of an evaluation may be acted on now. A reply that depends on the current state requires
    /// that a majority has confirmed this leader since the request. So does a change of a zone, which has no base
    /// version by which it could become stale; it is also delayed until a disconnection of its caller would have been
    /// noticed.
    fn may_act_on(
        &self,
        now: MonotonicTime,
        evaluation_result: &EvaluationResult,
        queued: &QueuedChange,
    ) -> bool {
        let is_confirmed = self.is_confirmed_since(now, queued.requested_at);
        match evaluation_result {
            EvaluationResult::Applied { .. } => true,
            EvaluationResult::AlreadyInState => is_confirmed,
            EvaluationResult::Reply(reply) => {
                let knows_zones = self
                    .leader_state
                    .as_ref()
                    .is_some_and(LeaderState::is_claims_quorum_reached);
                let concerns_zones = matches!(
                    reply,
                    OperationReply::UnknownZone { .. } | OperationReply::LastZone
                );
                let skips_confirmation = !self.rules.enforces(Rule::RejectionConfirmedByMajority);
                (is_confirmed && (knows_zones || !concerns_zones)) || skips_confirmation
            }
            EvaluationResult::NewDocument(_) if queued.request.kind.is_zone_change() => {
                let is_delayed = now.since(queued.requested_at) < DISCONNECT_NOTICE_DELAY;
                is_confirmed && !(is_delayed && self.rules.enforces(Rule::AbandonedChangeDropped))
            }
            EvaluationResult::NewDocument(_) => true,
        }
    }

    fn propose_change(
        &mut self,
        now: MonotonicTime,
        queued: QueuedChange,
        mut next_document: Document,
    ) {
        let target_membership = self
            .leader_state
            .as_ref()
            .and_then(|leader_state| leader_state.target_membership(now));
        if let Some(target_membership) = target_membership {
            next_document.membership = target_membership;
        }
        self.check_proposal_invariants(&queued, &next_document);
        let number = queued.request.numbering.map_or(0, |given| given.number);
        let version = next_document.document_version.version;
        self.traces
            .record_proposal(now, self.consensus.term(), version);
        match self.consensus.propose(now, next_document) {
            Ok(consensus_outputs) => {
                let proposed_change = queued.into_proposed(version, number);
                if self.rules.enforces(Rule::AcknowledgedByMajority) {
                    self.pending_changes.in_flight.push(proposed_change);
                } else {
                    self.pending_changes.accepted.push(proposed_change);
                }
                self.execute(now, consensus_outputs);
            }
            Err(error) => {
                let reason = error.into();
                self.send_reply(
                    queued.ticket,
                    OperationReply::NotAccepted {
                        reason,
                        change: None,
                    },
                );
            }
        }
    }

    /// Checks the invariants of a proposal, independently of the rules that are enforced.
    fn check_proposal_invariants(&self, queued: &QueuedChange, next_document: &Document) {
        let Some(current) = self.consensus.accepted() else {
            return;
        };
        let (version, number) = (current.view_version(), current.number);
        let is_on_base = queued.request.base.is_none_or(|base| base == version)
            && queued
                .request
                .numbering
                .is_none_or(|given| given.base_number == number);
        require(self.rules, Invariant::ChangeOnNamedBase, is_on_base, || {
            format!(
                "change {} does not name the current version {version} or number {number} as its base",
                queued.change
            )
        });
        // Only in debug builds, because a second check of a complete spec is too expensive on a small CPU share.
        let is_valid = !cfg!(debug_assertions) || next_document.spec.check().is_ok();
        require(self.rules, Invariant::ProposedSpecValid, is_valid, || {
            format!("change {} is proposed with an invalid spec", queued.change)
        });
    }

    /// Drops the operation of a caller that has disconnected, unless it is a change that has been proposed.
    pub(super) fn drop_disconnected_caller(&mut self, ticket: OperationTicket) {
        if self.rules.enforces(Rule::AbandonedChangeDropped) {
            self.waiting_operations
                .retain(|waiting| waiting.ticket != ticket);
            self.pending_changes.drop_unproposed(ticket);
        }
    }

    /// Replies to the committed changes that have reached the state their operators are waiting for.
    pub(super) fn reply_to_fulfilled_changes(&mut self) {
        let in_force = self.in_force();
        for proposed_change in self.pending_changes.take_fulfilled(in_force) {
            let reply = proposed_change.accepted_reply(in_force);
            self.send_reply(proposed_change.ticket, reply);
        }
    }

    /// Replies to the proposed and the committed changes when leadership is lost. The other changes wait for a new
    /// leader.
    pub(super) fn resolve_changes_on_step_down(&mut self) {
        let pending = std::mem::take(&mut self.pending_changes);
        for proposed_change in pending.in_flight {
            self.reply_unknown(&proposed_change, Unavailable::NoQuorum);
        }
        for proposed_change in pending.accepted {
            let reply = proposed_change.accepted_reply(Version(0));
            self.send_reply(proposed_change.ticket, reply);
        }
        for queued in pending
            .queue
            .into_iter()
            .chain(pending.awaiting_confirmation)
        {
            let operation = Operation::Change(queued.request);
            self.wait_for_leader(queued.requested_at, queued.ticket, operation);
        }
    }

    fn in_force(&self) -> Version {
        self.leader_state
            .as_ref()
            .map(|leader_state| leader_state.in_force())
            .unwrap_or_default()
    }

    /// Reports what this controller knows about the change with this ID.
    pub(super) fn report_change_status(&self, change: &ChangeId) -> OperationReply {
        let document = self.consensus.accepted();
        let recorded = document
            .filter(|_| !self.consensus.is_proposing())
            .and_then(|document| {
                document
                    .changes
                    .iter()
                    .find(|recorded| recorded.id == *change)
            });
        if let Some(recorded) = recorded {
            return OperationReply::Accepted {
                change: change.clone(),
                version: recorded.version,
                number: recorded.number,
                in_force: self.in_force() >= recorded.version,
            };
        }
        let is_pending = self.consensus.is_proposing() || self.pending_changes.is_queued(change);
        let is_forgotten = document.is_some_and(Document::has_forgotten_changes);
        let state = if is_pending || is_forgotten {
            UnrecordedChange::Unknown
        } else {
            UnrecordedChange::NotAccepted
        };
        OperationReply::ChangeUnrecorded {
            change: change.clone(),
            state,
        }
    }
}
