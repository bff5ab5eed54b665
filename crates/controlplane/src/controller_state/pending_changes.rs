//! Operators' changes that have not been replied to, grouped by progress.

use super::{ChangeRequest, OperationReply, OperationTicket, Wait};
use common::clock::MonotonicTime;
use common::identity::{ChangeId, Version};
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// How long after its request a change is given up if it has not been proposed.
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(800);
/// How long after its request a proposed change is given up if it has not been committed.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);
/// How long after its request a committed change is replied to even if its version is not in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);

/// A change that is waiting to be proposed.
pub(super) struct QueuedChange {
    /// The operation to reply to.
    pub ticket: OperationTicket,
    /// The operator's request.
    pub request: ChangeRequest,
    /// The ID that the operator gave the change, or a generated one.
    pub change: ChangeId,
    /// When the controller received the request.
    pub requested_at: MonotonicTime,
}

impl QueuedChange {
    /// Converts this into a change that produced `version`. `number` is the operators' own number of that version, or
    /// zero if they gave none.
    pub(super) fn into_proposed(self, version: Version, number: u64) -> ProposedChange {
        ProposedChange {
            ticket: self.ticket,
            change: self.change,
            version,
            number,
            wait: self.request.wait,
            requested_at: self.requested_at,
        }
    }
}

/// A change that has produced a version.
pub(super) struct ProposedChange {
    /// The operation to reply to.
    pub ticket: OperationTicket,
    /// The change's ID.
    pub change: ChangeId,
    /// The version that the change produced.
    pub version: Version,
    /// The operators' own number of that version, or zero if they gave none.
    pub number: u64,
    /// What the operator is waiting for.
    pub wait: Wait,
    /// When the controller received the request.
    pub requested_at: MonotonicTime,
}

impl ProposedChange {
    /// Returns the reply to the change after it is committed. `in_force` is the newest version in force everywhere.
    pub(super) fn accepted_reply(&self, in_force: Version) -> OperationReply {
        OperationReply::Accepted {
            change: self.change.clone(),
            version: self.version,
            number: self.number,
            in_force: in_force >= self.version,
        }
    }
}

/// Operators' changes that have not been replied to.
#[derive(Default)]
pub(super) struct PendingChanges {
    /// Changes that are waiting to be evaluated and proposed, oldest first.
    pub queue: VecDeque<QueuedChange>,
    /// Changes that were evaluated, but can be acted on only after a majority confirms this leader.
    pub awaiting_confirmation: VecDeque<QueuedChange>,
    /// Changes that were proposed and are not committed.
    pub in_flight: Vec<ProposedChange>,
    /// Committed changes. Their operators may be waiting for the version to be in force.
    pub accepted: Vec<ProposedChange>,
}

/// Changes that timed out, grouped by progress.
pub(super) struct ExpiredChanges {
    /// Changes that were never proposed.
    pub unproposed: Vec<QueuedChange>,
    /// Changes that were proposed. Whether they will be committed is unknown.
    pub uncommitted: Vec<ProposedChange>,
    /// Changes that are committed, but not in force everywhere.
    pub not_in_force: Vec<ProposedChange>,
}

impl PendingChanges {
    /// Whether every change has been replied to.
    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
            && self.awaiting_confirmation.is_empty()
            && self.in_flight.is_empty()
            && self.accepted.is_empty()
    }

    /// Whether the queue of changes to propose is empty.
    pub(super) fn is_idle(&self) -> bool {
        self.queue.is_empty()
    }

    /// Whether a change is waiting for a majority to confirm this leader.
    pub(super) fn needs_confirmation(&self) -> bool {
        !self.awaiting_confirmation.is_empty()
    }

    /// Whether a change with this ID is waiting to be proposed.
    pub(super) fn is_queued(&self, change: &ChangeId) -> bool {
        self.queue
            .iter()
            .chain(&self.awaiting_confirmation)
            .any(|queued| queued.change == *change)
    }

    /// Moves the changes that are awaiting confirmation to the end of the queue.
    pub(super) fn requeue_awaiting_confirmation(&mut self) {
        let awaiting_confirmation = std::mem::take(&mut self.awaiting_confirmation);
        self.queue.extend(awaiting_confirmation);
    }

    /// Attaches each queued change that has the ID of a change in flight to the version of that change, so that it does
    /// not produce a second version.
    pub(super) fn attach_repeated_changes(&mut self) {
        let in_flight_changes: BTreeSet<ChangeId> = self
            .in_flight
            .iter()
            .map(|proposed_change| proposed_change.change.clone())
            .collect();
        let (repeated, others): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(|queued| in_flight_changes.contains(&queued.change));
        self.queue = others;
        for queued in repeated {
            let first = self
                .in_flight
                .iter()
                .find(|proposed_change| proposed_change.change == queued.change);
            if let Some((version, number)) = first.map(|first| (first.version, first.number)) {
                self.in_flight.push(queued.into_proposed(version, number));
            }
        }
    }

    /// Removes and returns the changes that timed out.
    pub(super) fn take_expired(&mut self, now: MonotonicTime) -> ExpiredChanges {
        let mut unproposed = take_expired_queued(now, &mut self.queue);
        unproposed.extend(take_expired_queued(now, &mut self.awaiting_confirmation));
        let uncommitted = take_matching(&mut self.in_flight, |proposed_change| {
            now.since(proposed_change.requested_at) > COMMIT_TIMEOUT
        });
        let not_in_force = take_matching(&mut self.accepted, |proposed_change| {
            now.since(proposed_change.requested_at) > IN_FORCE_TIMEOUT
        });
        ExpiredChanges {
            unproposed,
            uncommitted,
            not_in_force,
        }
    }

    /// Marks the changes that produced this version as committed.
    pub(super) fn mark_committed(&mut self, version: Version) {
        let committed = take_matching(&mut self.in_flight, |proposed_change| {
            proposed_change.version == version
        });
        self.accepted.extend(committed);
    }

    /// Removes and returns the committed changes that have reached the state their operators are waiting for.
    pub(super) fn take_fulfilled(&mut self, in_force: Version) -> Vec<ProposedChange> {
        take_matching(&mut self.accepted, |proposed_change| {
            proposed_change.wait == Wait::Accepted || in_force >= proposed_change.version
        })
    }

    /// Drops the operation's change unless it has been proposed.
    pub(super) fn drop_unproposed(&mut self, ticket: OperationTicket) {
        self.queue.retain(|queued| queued.ticket != ticket);
        self.awaiting_confirmation
            .retain(|queued| queued.ticket != ticket);
    }
}

fn take_expired_queued(
    now: MonotonicTime,
    queue: &mut VecDeque<QueuedChange>,
) -> Vec<QueuedChange> {
    let (expired, retained): (VecDeque<_>, VecDeque<_>) = std::mem::take(queue)
        .into_iter()
        .partition(|queued| now.since(queued.requested_at) > PROPOSAL_TIMEOUT);
    *queue = retained;
    expired.into()
}

fn take_matching(
    changes: &mut Vec<ProposedChange>,
    is_taken: impl FnMut(&ProposedChange) -> bool,
) -> Vec<ProposedChange> {
    let (taken, retained): (Vec<_>, Vec<_>) =
        std::mem::take(changes).into_iter().partition(is_taken);
    *changes = retained;
    taken
}
