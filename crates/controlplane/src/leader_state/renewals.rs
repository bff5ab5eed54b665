//! Renewals of session leases. Each renewal waits for a recent heartbeat round that a majority answered, which confirms
//! that this controller was still the leader. The lease counts from the start of that round.

use super::{LeaderState, QuorumConfirmation, StreamId};
use common::clock::MonotonicTime;
use common::frames::LeaderToDaemon;
use common::identity::{CorrelationId, Version};
use common::rules::Rule;
use std::time::Duration;

/// Maximum age of the quorum confirmation relative to the request that it is used for.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(20);
/// Time after which a waiting renewal uses the newest confirmation available.
const CONFIRMATION_WAIT_TIMEOUT: Duration = Duration::from_millis(60);
/// Interval between checks of waiting renewals when no newer confirmation has arrived.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A renewal that a member requested.
pub(super) struct WaitingRenewal {
    pub stream: StreamId,
    pub correlation: CorrelationId,
    pub requested_at: MonotonicTime,
    /// Whether it waits for a newer confirmation by a majority.
    pub needs_confirmation: bool,
}

/// Renewals that have not been answered yet.
#[derive(Default)]
pub(super) struct Renewals {
    new_renewals: Vec<WaitingRenewal>,
    waiting: Vec<WaitingRenewal>,
    checked_at: MonotonicTime,
    /// When the heartbeat round that the last check relied on was sent.
    last_quorum_confirmed_at: MonotonicTime,
    is_check_due: bool,
}

impl Renewals {
    /// Drops the renewals requested on a stream.
    pub(super) fn forget(&mut self, stream: StreamId) {
        self.new_renewals.retain(|renewal| renewal.stream != stream);
        self.waiting.retain(|renewal| renewal.stream != stream);
    }

    /// Schedules a check because something that renewals may wait for has changed.
    pub(super) fn schedule_check(&mut self) {
        self.is_check_due = true;
    }

    /// Whether a renewal waits for a newer confirmation by a majority.
    pub(super) fn needs_confirmation(&self) -> bool {
        self.waiting
            .iter()
            .any(|renewal| renewal.needs_confirmation)
    }

    /// Whether no renewal is waiting.
    pub(super) fn is_empty(&self) -> bool {
        self.new_renewals.is_empty() && self.waiting.is_empty()
    }

    /// Takes the renewals to decide now: new ones immediately, waiting ones when something has changed or the check
    /// interval has passed.
    fn take_due(
        &mut self,
        now: MonotonicTime,
        quorum_confirmed_at: MonotonicTime,
    ) -> Vec<WaitingRenewal> {
        let is_due = std::mem::take(&mut self.is_check_due)
            || quorum_confirmed_at != self.last_quorum_confirmed_at
            || now.since(self.checked_at) >= CHECK_INTERVAL;
        let new_renewals = std::mem::take(&mut self.new_renewals);
        if !is_due {
            return new_renewals;
        }
        self.checked_at = now;
        self.last_quorum_confirmed_at = quorum_confirmed_at;
        let mut due = std::mem::take(&mut self.waiting);
        due.extend(new_renewals);
        due
    }
}

impl LeaderState {
    /// Handles a member's request for a renewal, which reports the version that it has installed.
    pub(super) fn handle_renew(
        &mut self,
        now: MonotonicTime,
        stream: StreamId,
        correlation: CorrelationId,
        version: Version,
    ) {
        self.handle_installed(stream, version);
        self.renewals.forget(stream);
        let renewal = WaitingRenewal {
            stream,
            correlation,
            requested_at: now,
            needs_confirmation: true,
        };
        self.renewals.new_renewals.push(renewal);
    }

    /// Answers the renewals that can be answered now.
    pub(super) fn reply_to_renewals(
        &mut self,
        now: MonotonicTime,
        confirmation: &QuorumConfirmation<'_>,
    ) {
        let Some(committed_version) = self
            .configuration
            .document
            .as_ref()
            .map(|document| document.view_version())
        else {
            return;
        };
        let lease_expires_at = confirmation.quorum_confirmed_at + self.timing.lease_length;
        if !confirmation.ready || lease_expires_at <= now {
            return;
        }
        for renewal in self
            .renewals
            .take_due(now, confirmation.quorum_confirmed_at)
        {
            self.reply_to_renewal(now, confirmation, committed_version, renewal);
        }
    }

    fn reply_to_renewal(
        &mut self,
        now: MonotonicTime,
        confirmation: &QuorumConfirmation<'_>,
        committed_version: Version,
        mut renewal: WaitingRenewal,
    ) {
        let lease_expires_at = confirmation.quorum_confirmed_at + self.timing.lease_length;
        let lease_expiry_bound = confirmation.quorum_confirmed_at + self.timing.full_lease_wait();
        let Some(known_member) = self.members.on_stream(renewal.stream).cloned() else {
            return;
        };
        let Some(record) = self.members.get(&known_member) else {
            return;
        };
        let is_ready = record.claimed
            && (record.installed >= committed_version
                || !self.rules.enforces(Rule::RenewalNeedsNewestSpec));
        let is_confirmation_stale = confirmation.quorum_confirmed_at + MAX_CONFIRMATION_AGE
            < renewal.requested_at
            && now.since(renewal.requested_at) < CONFIRMATION_WAIT_TIMEOUT;
        let is_confirmed_before_join = confirmation.quorum_confirmed_at < record.joined_at;
        renewal.needs_confirmation =
            is_ready && (is_confirmation_stale || is_confirmed_before_join);
        let may_renew =
            is_ready && !is_confirmation_stale && self.may_hold_lease(&known_member, confirmation);
        let Some(record) = self.members.get_mut(&known_member).filter(|_| may_renew) else {
            self.renewals.waiting.push(renewal);
            return;
        };
        record.had_lease = true;
        record.lease_expires_at = record.lease_expires_at.max(lease_expires_at);
        record.lease_expiry_bound = record.lease_expiry_bound.max(lease_expiry_bound);
        record.last_contact_at = now;
        record.is_expiry_handled = false;
        let lease_ms = lease_expires_at.since(renewal.requested_at).as_millis() as u32;
        let correlation = renewal.correlation;
        let frame = LeaderToDaemon::Renewed {
            correlation,
            lease_ms,
            version: committed_version,
        };
        self.send_frame(renewal.stream, frame);
    }
}
