//! The operators' changes that have no reply yet, by how far each has come.

use super::{ChangeRequest, OperationReply, OperationTicket, Wait};
use common::clock::MonotonicTime;
use common::identity::{ChangeId, Version};
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// How long a change may wait to be proposed.
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a proposed change may wait to be committed.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the reply to a committed change may wait for the version to be in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);

/// A change that waits to be proposed.
pub(super) struct QueuedChange {
    /// The operation that the reply belongs to.
    pub ticket: OperationTicket,
    /// What its operator requested.
    pub request: ChangeRequest,
    /// Its name: the operator's, or one by its content.
    pub change: ChangeId,
    /// When the controller received it.
    pub requested_at: MonotonicTime,
}

impl QueuedChange {
    /// The change once it has made a version; `number` is the operators' own, zero without one.
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

/// A change whose version is known.
pub(super) struct ProposedChange {
    /// The operation that the reply belongs to.
    pub ticket: OperationTicket,
    /// Its name.
    pub change: ChangeId,
    /// The version it made.
    pub version: Version,
    /// The operators' own number of that version; zero without one.
    pub number: u64,
    /// What its operator waits for.
    pub wait: Wait,
    /// When the controller received it.
    pub requested_at: MonotonicTime,
}

impl ProposedChange {
    /// The reply once the change is committed; `in_force` is the newest version in force everywhere.
    pub(super) fn accepted_reply(&self, in_force: Version) -> OperationReply {
        OperationReply::Accepted {
            change: self.change.clone(),
            version: self.version,
            number: self.number,
            in_force: in_force >= self.version,
        }
    }
}

/// The operators' changes that have no reply yet.
#[derive(Default)]
pub(super) struct PendingChanges {
    /// Those that wait to be evaluated and proposed, oldest first.
    pub queue: VecDeque<QueuedChange>,
    /// Those whose reply a majority must confirm first.
    pub awaiting_confirmation: VecDeque<QueuedChange>,
    /// Those proposed and not committed.
    pub in_flight: Vec<ProposedChange>,
    /// Those committed whose operators may wait for the version to be in force.
    pub accepted: Vec<ProposedChange>,
}

/// Changes that have waited too long, by what they waited for.
pub(super) struct ExpiredChanges {
    /// They were never proposed.
    pub unproposed: Vec<QueuedChange>,
    /// They were proposed; whether they will be committed is not known.
    pub uncommitted: Vec<ProposedChange>,
    /// They are committed, and not in force everywhere.
    pub not_in_force: Vec<ProposedChange>,
}

impl PendingChanges {
    /// Whether every change has its reply.
    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
            && self.awaiting_confirmation.is_empty()
            && self.in_flight.is_empty()
            && self.accepted.is_empty()
    }

    /// Whether no change waits to be proposed.
    pub(super) fn is_idle(&self) -> bool {
        self.queue.is_empty()
    }

    /// Whether a reply waits to be confirmed by a majority.
    pub(super) fn needs_confirmation(&self) -> bool {
        !self.awaiting_confirmation.is_empty()
    }

    /// Whether a change of this name waits to be proposed.
    pub(super) fn is_queued(&self, change: &ChangeId) -> bool {
        self.queue
            .iter()
            .chain(&self.awaiting_confirmation)
            .any(|queued| queued.change == *change)
    }

    /// Returns the changes that waited for proof to the end of the queue.
    pub(super) fn requeue_awaiting_confirmation(&mut self) {
        let awaiting_confirmation = std::mem::take(&mut self.awaiting_confirmation);
        self.queue.extend(awaiting_confirmation);
    }

    /// Queued changes of the same name as one in flight wait for its version instead of making another.
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

    /// Removes the changes that have waited too long.
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

    /// A version is committed, and with it the changes that made it.
    pub(super) fn mark_committed(&mut self, version: Version) {
        let committed = take_matching(&mut self.in_flight, |proposed_change| {
            proposed_change.version == version
        });
        self.accepted.extend(committed);
    }

    /// Removes the committed changes that have come as far as their operators wait for.
    pub(super) fn take_fulfilled(&mut self, in_force: Version) -> Vec<ProposedChange> {
        take_matching(&mut self.accepted, |proposed_change| {
            proposed_change.wait == Wait::Accepted || in_force >= proposed_change.version
        })
    }

    /// Drops what the operation asked for unless it has been proposed.
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
