//! Renewals of session leases: each waits for a round of the quorum that a majority answered after it was asked.

use super::{LeaderState, Proof, StreamId};
use common::clock::Moment;
use common::frames::StreamDown;
use common::identity::{CorrelationId, Serial};
use common::rules::Rule;
use std::time::Duration;

/// A renewal waits for a proof that is no older than so, beside its own age.
const PROOF_SPAN: Duration = Duration::from_millis(20);
/// A renewal that waited so long takes the proof there is.
const PROOF_PATIENCE: Duration = Duration::from_millis(60);
/// Renewals that wait are looked at again so often although no newer proof has come.
const LOOK_EVERY: Duration = Duration::from_millis(5);

/// A renewal that a daemon asked for.
pub(super) struct WaitingRenewal {
    pub stream: StreamId,
    pub correlation: CorrelationId,
    pub asked_at: Moment,
    pub wants_proof: bool,
}

/// The renewals that are not answered yet.
#[derive(Default)]
pub(super) struct Renewals {
    fresh: Vec<WaitingRenewal>,
    waiting: Vec<WaitingRenewal>,
    looked_at: Moment,
    proof_looked_at: Moment,
    is_look_due: bool,
}

impl Renewals {
    /// Drops what was asked on a stream.
    pub fn forget(&mut self, stream: StreamId) {
        self.fresh.retain(|renewal| renewal.stream != stream);
        self.waiting.retain(|renewal| renewal.stream != stream);
    }

    /// Something has changed that renewals may wait for.
    pub fn look_again(&mut self) {
        self.is_look_due = true;
    }

    /// Whether one waits for a newer proof of the majority.
    pub fn wants_proof(&self) -> bool {
        self.waiting.iter().any(|renewal| renewal.wants_proof)
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.fresh.is_empty() && self.waiting.is_empty()
    }

    /// Those to be decided now: the new ones at once, the others when something has changed.
    fn take_due(&mut self, now: Moment, proof: Moment) -> Vec<WaitingRenewal> {
        let is_due = std::mem::take(&mut self.is_look_due)
            || proof != self.proof_looked_at
            || now.since(self.looked_at) >= LOOK_EVERY;
        let fresh = std::mem::take(&mut self.fresh);
        if !is_due {
            return fresh;
        }
        self.looked_at = now;
        self.proof_looked_at = proof;
        let mut due = std::mem::take(&mut self.waiting);
        due.extend(fresh);
        due
    }
}

impl LeaderState {
    pub(super) fn hear_renew(
        &mut self,
        now: Moment,
        stream: StreamId,
        correlation: CorrelationId,
        serial: Serial,
    ) {
        self.hear_installed(stream, serial);
        self.renewals.forget(stream);
        let asked = WaitingRenewal { stream, correlation, asked_at: now, wants_proof: true };
        self.renewals.fresh.push(asked);
    }

    pub(super) fn answer_renewals(&mut self, now: Moment, proof: &Proof<'_>) {
        let Some(committed_serial) = self.document.as_ref().map(|held| held.view_serial()) else {
            return;
        };
        let grant_end = proof.quorum_moment + self.timing.grant_length;
        if !proof.ready || grant_end <= now {
            return;
        }
        for renewal in self.renewals.take_due(now, proof.quorum_moment) {
            self.answer_renewal(now, proof, committed_serial, renewal);
        }
    }

    fn answer_renewal(
        &mut self,
        now: Moment,
        proof: &Proof<'_>,
        committed_serial: Serial,
        mut renewal: WaitingRenewal,
    ) {
        let grant_end = proof.quorum_moment + self.timing.grant_length;
        let grant_bound = proof.quorum_moment + self.timing.full_wait();
        let Some(known_member) = self.streams.get(&renewal.stream).cloned() else { return };
        let Some(record) = self.members.get(&known_member) else { return };
        let is_ready = record.claimed
            && (record.installed >= committed_serial || !self.rules.keep(Rule::RenewalNeedsSpec));
        let is_proof_old = proof.quorum_moment + PROOF_SPAN < renewal.asked_at
            && now.since(renewal.asked_at) < PROOF_PATIENCE;
        let is_proof_early = proof.quorum_moment < record.joined_at;
        renewal.wants_proof = is_ready && (is_proof_old || is_proof_early);
        let may_renew = is_ready && !is_proof_old && self.may_be_granted(&known_member, proof);
        let Some(record) = self.members.get_mut(&known_member).filter(|_| may_renew) else {
            self.renewals.waiting.push(renewal);
            return;
        };
        record.was_granted = true;
        record.grant_end = record.grant_end.max(grant_end);
        record.grant_bound = record.grant_bound.max(grant_bound);
        record.heard_at = now;
        record.swept = false;
        let length_ms = grant_end.since(renewal.asked_at).as_millis() as u32;
        let correlation = renewal.correlation;
        let frame = StreamDown::Renewed { correlation, length_ms, serial: committed_serial };
        self.down(renewal.stream, frame);
    }
}
