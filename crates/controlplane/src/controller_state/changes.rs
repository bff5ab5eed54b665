//! Operators' changes on their way: queued, put forward, acknowledged, or given up.

use super::content::derive_change_id;
use super::proposal_outcome::ProposalOutcome;
use super::{
    ChangeKind, ControllerOutput, ControllerState, Numbering, Operation, OperationReply,
    OperationTicket, Unavailable, Wait,
};
use crate::leader_state::LeaderState;
use common::clock::MonotonicTime;
use common::identity::{ChangeId, Version};
use common::invariants::{Invariant, require};
use common::rules::Rule;
use common::spec::Document;
use serde_json::json;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// How soon after a request its caller's hanging up is heard, if it came late over the network.
const DISCONNECT_NOTICE_DELAY: Duration = Duration::from_millis(25);
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(800);
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);

/// A change as an operator asked for it.
pub struct ChangeRequest {
    /// The serial it is built on.
    pub base: Option<Version>,
    /// The operators' own numbers.
    pub numbering: Option<Numbering>,
    /// The operator's name for it.
    pub change: Option<ChangeId>,
    /// What it does.
    pub kind: ChangeKind,
    /// What to wait for.
    pub wait: Wait,
}

/// A change that waits to be put forward.
pub(super) struct QueuedChange {
    /// Whom to answer.
    pub ticket: OperationTicket,
    /// The version it is built on.
    pub base: Option<Version>,
    /// The operators' own numbers.
    pub numbering: Option<Numbering>,
    /// Its name.
    pub change: ChangeId,
    /// Whether the operator named it.
    pub is_named: bool,
    /// What it does.
    pub kind: ChangeKind,
    /// What its operator waits for.
    pub wait: Wait,
    /// When it was asked for.
    pub requested_at: MonotonicTime,
}

impl QueuedChange {
    fn into_proposed(self, version: Version, number: u64) -> ProposedChange {
        ProposedChange {
            ticket: self.ticket,
            change: self.change,
            version,
            number,
            wait: self.wait,
            requested_at: self.requested_at,
        }
    }
}

struct ProposedChange {
    ticket: OperationTicket,
    change: ChangeId,
    version: Version,
    number: u64,
    wait: Wait,
    requested_at: MonotonicTime,
}

/// Operators' changes on their way.
#[derive(Default)]
pub struct OperatorChanges {
    queue: VecDeque<QueuedChange>,
    /// Those whose answer needs a majority's word.
    awaiting_proof: VecDeque<QueuedChange>,
    in_flight: Vec<ProposedChange>,
    accepted: Vec<ProposedChange>,
}

fn take_expired(now: MonotonicTime, queue: &mut VecDeque<QueuedChange>) -> Vec<QueuedChange> {
    let (expired, retained): (VecDeque<_>, VecDeque<_>) = std::mem::take(queue)
        .into_iter()
        .partition(|queued| now.since(queued.requested_at) > PROPOSAL_TIMEOUT);
    *queue = retained;
    expired.into()
}

fn accepted_reply(proposed_change: &ProposedChange, in_force: Version) -> OperationReply {
    OperationReply::Accepted {
        change: proposed_change.change.clone(),
        version: proposed_change.version,
        number: proposed_change.number,
        in_force: in_force >= proposed_change.version,
    }
}

impl OperatorChanges {
    /// Whether no change waits to be put forward.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty()
    }

    /// Whether an answer waits for a majority's word.
    pub fn needs_proof(&self) -> bool {
        !self.awaiting_proof.is_empty()
    }
}

impl ControllerState {
    pub(super) fn queue_change(
        &mut self,
        requested_at: MonotonicTime,
        ticket: OperationTicket,
        requested: ChangeRequest,
    ) {
        let ChangeRequest {
            base,
            numbering,
            change,
            kind,
            wait,
        } = requested;
        let is_named = change.is_some();
        let change = change.unwrap_or_else(|| match &kind {
            ChangeKind::Evacuate { .. } | ChangeKind::Restore { .. } => {
                ChangeId::from(format!("turn-{}-{}", self.consensus.term(), ticket.0))
            }
            _ => derive_change_id(base, numbering, &kind),
        });
        self.changes.queue.push_back(QueuedChange {
            ticket,
            base,
            numbering,
            change,
            is_named,
            kind,
            wait,
            requested_at,
        });
    }

    pub(super) fn progress_changes(&mut self, now: MonotonicTime) {
        let awaiting_proof = std::mem::take(&mut self.changes.awaiting_proof);
        self.changes.queue.extend(awaiting_proof);
        while self.may_evaluate_changes(now) {
            let Some(queued) = self.changes.queue.pop_front() else {
                break;
            };
            self.begin_proposal(now, queued);
        }
        let attached_changes: BTreeSet<ChangeId> = self
            .changes
            .in_flight
            .iter()
            .map(|proposed_change| proposed_change.change.clone())
            .collect();
        let (attached, others): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut self.changes.queue)
                .into_iter()
                .partition(|queued| attached_changes.contains(&queued.change));
        self.changes.queue = others;
        for queued in attached {
            let Some((version, number)) = self
                .changes
                .in_flight
                .iter()
                .find(|proposed_change| proposed_change.change == queued.change)
                .map(|proposed_change| (proposed_change.version, proposed_change.number))
            else {
                continue;
            };
            self.changes.in_flight.push(ProposedChange {
                ticket: queued.ticket,
                change: queued.change,
                version,
                number,
                wait: queued.wait,
                requested_at: queued.requested_at,
            });
        }
        self.expire_changes(now);
    }

    fn may_evaluate_changes(&self, now: MonotonicTime) -> bool {
        let is_free = self.consensus.is_ready() && !self.consensus.is_proposing();
        is_free
            && (self.is_quorum_fresh(now)
                || !self.rules.enforces(Rule::RejectionConfirmedByMajority))
    }

    fn expire_changes(&mut self, now: MonotonicTime) {
        let mut expired = take_expired(now, &mut self.changes.queue);
        expired.extend(take_expired(now, &mut self.changes.awaiting_proof));
        for queued in expired {
            let change = Some(queued.change);
            let reason = Unavailable::NoQuorum;
            let reply = OperationReply::NotAccepted { reason, change };
            self.answer(queued.ticket, reply);
        }
        let (expired, retained): (Vec<_>, Vec<_>) = std::mem::take(&mut self.changes.in_flight)
            .into_iter()
            .partition(|proposed_change| now.since(proposed_change.requested_at) > COMMIT_TIMEOUT);
        self.changes.in_flight = retained;
        for proposed_change in expired {
            self.reply_unknown(&proposed_change);
        }
        let (expired, retained): (Vec<_>, Vec<_>) = std::mem::take(&mut self.changes.accepted)
            .into_iter()
            .partition(|proposed_change| {
                now.since(proposed_change.requested_at) > IN_FORCE_TIMEOUT
            });
        self.changes.accepted = retained;
        for proposed_change in expired {
            self.answer(
                proposed_change.ticket,
                accepted_reply(&proposed_change, Version(0)),
            );
        }
    }

    fn answer(&mut self, ticket: OperationTicket, reply: OperationReply) {
        self.outputs
            .push(ControllerOutput::OperatorReply(ticket, reply));
    }

    fn reply_unknown(&mut self, proposed_change: &ProposedChange) {
        let change = Some(proposed_change.change.clone());
        self.answer(
            proposed_change.ticket,
            OperationReply::Unknown {
                reason: Unavailable::NoQuorum,
                change,
            },
        );
    }

    fn begin_proposal(&mut self, now: MonotonicTime, queued: QueuedChange) {
        let Some(current_document) = self.consensus.accepted().cloned() else {
            return;
        };
        let proposal_outcome = self.evaluate_change(&current_document, &queued);
        if !self.may_act_on(now, &proposal_outcome, &queued) {
            self.changes.awaiting_proof.push_back(queued);
            return;
        }
        match proposal_outcome {
            ProposalOutcome::Applied { version, number } => {
                self.changes
                    .accepted
                    .push(queued.into_proposed(version, number));
            }
            ProposalOutcome::AlreadyInState => {
                let version = current_document.view_version();
                self.changes.accepted.push(queued.into_proposed(version, 0));
            }
            ProposalOutcome::Answered(reply) => self.answer(queued.ticket, reply),
            ProposalOutcome::NewDocument(next_document) => {
                self.propose_change(now, queued, *next_document)
            }
        }
    }

    /// What is said from the state of the moment needs a majority's word from after it was asked for.
    /// An evacuation, which is built on no version that could be overtaken, waits besides until its
    /// caller would have been heard hanging up.
    fn may_act_on(
        &self,
        now: MonotonicTime,
        proposal_outcome: &ProposalOutcome,
        queued: &QueuedChange,
    ) -> bool {
        let is_proven = self.is_proven_since(now, queued.requested_at);
        match proposal_outcome {
            ProposalOutcome::Applied { .. } => true,
            ProposalOutcome::AlreadyInState => is_proven,
            ProposalOutcome::Answered(reply) => {
                let knows_zones = self.leader_state.as_ref().is_some_and(LeaderState::is_open);
                let concerns_zones = matches!(
                    reply,
                    OperationReply::NoZone { .. } | OperationReply::LastZone
                );
                let skips_proof = !self.rules.enforces(Rule::RejectionConfirmedByMajority);
                (is_proven && (knows_zones || !concerns_zones)) || skips_proof
            }
            ProposalOutcome::NewDocument(_) if queued.kind.is_zone_change() => {
                let is_delayed = now.since(queued.requested_at) < DISCONNECT_NOTICE_DELAY;
                is_proven && !(is_delayed && self.rules.enforces(Rule::AbandonedChangeDropped))
            }
            ProposalOutcome::NewDocument(_) => true,
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
        self.check_proposal(&queued, &next_document);
        let number = queued.numbering.map_or(0, |given| given.number);
        let version = next_document.document_version.version;
        self.traces
            .begin_proposal(now, self.consensus.term(), version);
        match self.consensus.propose(now, next_document) {
            Ok(consensus_outputs) => {
                let proposed_change = queued.into_proposed(version, number);
                if self.rules.enforces(Rule::AcknowledgedByMajority) {
                    self.changes.in_flight.push(proposed_change);
                } else {
                    self.changes.accepted.push(proposed_change);
                }
                self.execute(now, consensus_outputs);
            }
            Err(error) => {
                let reason = error.into();
                self.answer(
                    queued.ticket,
                    OperationReply::NotAccepted {
                        reason,
                        change: None,
                    },
                );
            }
        }
    }

    fn check_proposal(&self, queued: &QueuedChange, next_document: &Document) {
        let Some(current) = self.consensus.accepted() else {
            return;
        };
        let (version, number) = (current.view_version(), current.number);
        let is_on_base = queued.base.is_none_or(|base| base == version)
            && queued
                .numbering
                .is_none_or(|given| given.base_number == number);
        require(self.rules, Invariant::ChangeOnNamedBase, is_on_base, || {
            format!(
                "{} goes on version {version}, number {number}",
                queued.change
            )
        });
        // A second check of a whole spec is dear on a small share of a core: debug builds only.
        let is_valid = !cfg!(debug_assertions) || next_document.spec.check().is_ok();
        require(self.rules, Invariant::ProposedSpecValid, is_valid, || {
            format!("{} is invalid and put forward", queued.change)
        });
    }

    /// An operator hung up: what it asked for and was not put forward is dropped.
    pub(super) fn drop_disconnected_caller(&mut self, ticket: OperationTicket) {
        if self.rules.enforces(Rule::AbandonedChangeDropped) {
            self.waiting.retain(|waiting| waiting.ticket != ticket);
            self.changes.queue.retain(|queued| queued.ticket != ticket);
            self.changes
                .awaiting_proof
                .retain(|queued| queued.ticket != ticket);
        }
    }

    pub(super) fn change_committed(&mut self, version: Version) {
        let (done, retained): (Vec<_>, Vec<_>) = std::mem::take(&mut self.changes.in_flight)
            .into_iter()
            .partition(|proposed_change| proposed_change.version == version);
        self.changes.in_flight = retained;
        self.changes.accepted.extend(done);
    }

    pub(super) fn answer_fulfilled_changes(&mut self) {
        let in_force = self
            .leader_state
            .as_ref()
            .map(|leader_state| leader_state.in_force())
            .unwrap_or_default();
        let (done, retained): (Vec<_>, Vec<_>) = std::mem::take(&mut self.changes.accepted)
            .into_iter()
            .partition(|proposed_change| {
                proposed_change.wait == Wait::Accepted || in_force >= proposed_change.version
            });
        self.changes.accepted = retained;
        for proposed_change in done {
            self.answer(
                proposed_change.ticket,
                accepted_reply(&proposed_change, in_force),
            );
        }
    }

    pub(super) fn drop_changes(&mut self) {
        for proposed_change in std::mem::take(&mut self.changes.in_flight) {
            self.reply_unknown(&proposed_change);
        }
        for proposed_change in std::mem::take(&mut self.changes.accepted) {
            self.answer(
                proposed_change.ticket,
                accepted_reply(&proposed_change, Version(0)),
            );
        }
        let awaiting_proof = std::mem::take(&mut self.changes.awaiting_proof);
        for queued in std::mem::take(&mut self.changes.queue)
            .into_iter()
            .chain(awaiting_proof)
        {
            let operation = Operation::Change {
                base: queued.base,
                numbering: queued.numbering,
                change: queued.is_named.then_some(queued.change),
                kind: queued.kind,
                wait: queued.wait,
            };
            self.wait_for_leader(queued.requested_at, queued.ticket, operation);
        }
    }

    pub(super) fn report_change_status(&self, change: &ChangeId) -> OperationReply {
        let in_force = self
            .leader_state
            .as_ref()
            .map(|leader_state| leader_state.in_force())
            .unwrap_or_default();
        let noted_change = self
            .consensus
            .accepted()
            .filter(|_| !self.consensus.is_proposing())
            .and_then(|document| {
                document
                    .changes
                    .iter()
                    .find(|recorded| recorded.id == *change)
            });
        if let Some(recorded) = noted_change {
            return OperationReply::Accepted {
                change: change.clone(),
                version: recorded.version,
                number: recorded.number,
                in_force: in_force >= recorded.version,
            };
        }
        let queued_changes = self
            .changes
            .queue
            .iter()
            .chain(&self.changes.awaiting_proof);
        let is_pending = self.consensus.is_proposing()
            || queued_changes
                .into_iter()
                .any(|queued| queued.change == *change);
        let is_forgotten = self
            .consensus
            .accepted()
            .is_some_and(Document::has_forgotten_changes);
        let state = if is_pending || is_forgotten {
            "unknown"
        } else {
            "not_accepted"
        };
        OperationReply::StatusAndBody(200, json!({"state": state, "change_id": change.as_str()}))
    }
}
