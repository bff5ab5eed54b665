//! Membership changes of the control quorum by joint consensus (section 6 of the Raft paper).
//!
//! A change takes two versions. The joint version lists the next and the previous voters and is committed
//! by a majority of each; a second version, which drops the previous voters, settles the change. The
//! leader starts a change when the [`QuorumPlan`] asks for other voters, or on an operator's command. At
//! most one change is in progress at a time.

use super::peers::Peer;
use super::quorum_plan::QuorumPlan;
use super::state::Role;
use super::{ConsensusNode, ConsensusOutput};
use common::clock::MonotonicTime;
use common::frames::SocketAddress;
use common::identity::{ChangeId, ControllerId, DocumentVersion, Term, Version};
use common::rules::Rule;
use common::spec::{Document, Voter};
use std::collections::BTreeSet;

/// How many versions a controller may lag behind and still replace a voter. While changes follow each
/// other closely, the leader rarely knows that a controller has the newest version, even if it does.
const MAX_CANDIDATE_LAG: u64 = 8;

/// Why a voter cannot be replaced.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum MembershipError {
    /// This controller is not the leader, or has not yet committed a version in its term.
    #[error("no ready leader here")]
    NotReady,
    /// A proposal is in flight, or an earlier membership change is not settled.
    #[error("another change is in flight")]
    Busy,
    /// The controller to replace is not a voter.
    #[error("no such member of the core")]
    NoSuchMember,
    /// The successor is not alive, is a voter already, or is too far behind.
    #[error("no such controller, or it is not caught up yet")]
    NoSuchCandidate,
    /// No majority of the next voters, or of the previous ones, is alive.
    #[error("no majority of the core would be alive after the change")]
    NoMajority,
}

impl ConsensusNode {
    /// Whether these controllers are a majority of a document's voters and, while a membership change is
    /// in progress, also of its previous voters.
    pub(super) fn is_majority_of(
        document: &Document,
        controller_ids: &BTreeSet<ControllerId>,
    ) -> bool {
        let has_majority = |voters: &[Voter]| {
            voters
                .iter()
                .filter(|voter| controller_ids.contains(&voter.id))
                .count()
                * 2
                > voters.len()
        };
        has_majority(&document.voters)
            && (document.previous_voters.is_empty() || has_majority(&document.previous_voters))
    }

    /// Whether a frame of this controller arrived within twice the longest election timeout.
    fn is_alive(&self, now: MonotonicTime, id: ControllerId) -> bool {
        id == self.local.id
            || self
                .peers
                .last_received
                .get(&id)
                .is_some_and(|last_received_at| {
                    now.since(*last_received_at) < self.options.timing.election_timeout_max * 2
                })
    }

    /// Returns when this leader was elected, or zero if this node is not the leader.
    fn elected_at(&self) -> MonotonicTime {
        match &self.role {
            Role::Leader(heartbeats) => heartbeats.elected_at(),
            _ => MonotonicTime::ZERO,
        }
    }

    /// Returns since when this leader has received nothing from a controller.
    fn unreachable_since(&self, id: ControllerId) -> MonotonicTime {
        self.peers
            .last_received
            .get(&id)
            .copied()
            .unwrap_or_default()
            .max(self.elected_at())
    }

    /// Returns the controllers that may become voters: those that are not voters, are alive and accept
    /// this leader's versions.
    fn candidates(&self, now: MonotonicTime) -> Vec<Voter> {
        self.peers
            .by_address
            .values()
            .filter(|peer| {
                !self.is_voter(peer.id) && self.is_alive(now, peer.id) && self.is_caught_up(peer)
            })
            .map(|peer| Voter {
                id: peer.id,
                address: peer.controller_address.address,
                zone: peer.zone.clone(),
            })
            .collect()
    }

    /// Whether a peer has a recent version of this leader on its disk. It need not be the newest one,
    /// because the membership change sends it that.
    fn is_caught_up(&self, peer: &Peer) -> bool {
        let version_lag = self
            .committed
            .version
            .0
            .saturating_sub(peer.accepted.version.0);
        peer.accepted.term == self.hard_state.term && version_lag <= MAX_CANDIDATE_LAG
    }

    /// Returns the version to propose for the next step of a membership change, if a step is due: it
    /// settles the change in progress, or starts a change to the voters that the settings ask for.
    fn next_membership_step(&self, now: MonotonicTime) -> Option<Document> {
        if !self.is_ready() || self.proposed.is_some() {
            return None;
        }
        let document = self
            .hard_state
            .accepted
            .as_ref()
            .filter(|document| document.document_version == self.committed)?;
        if !document.previous_voters.is_empty() {
            let mut settled =
                document.with_voters(document.voters.clone(), membership_change_id(document));
            settled.previous_voters = Vec::new();
            return Some(settled);
        }
        let missing: BTreeSet<ControllerId> = document
            .voters
            .iter()
            .filter(|voter| self.is_missing(now, voter))
            .map(|voter| voter.id)
            .collect();
        let plan = QuorumPlan {
            quorum_policy: self.options.quorum_policy,
            voters: &document.voters,
            leader: self.local.id,
            missing: &missing,
            candidates: self.candidates(now),
        };
        let next_voters = plan.next_voters()?;
        self.joint_document(now, document, next_voters).ok()
    }

    /// Whether a voter counts as lost: it has been silent for too long, its disk accepts no versions, or
    /// another controller is now at its address.
    fn is_missing(&self, now: MonotonicTime, voter: &Voter) -> bool {
        if voter.id == self.local.id {
            return false;
        }
        let peer_at_address = self.peers.by_address.get(&voter.address);
        let is_superseded = peer_at_address.is_some_and(|peer| {
            let last_received_at = self.peers.last_received.get(&voter.id);
            peer.id != voter.id
                && last_received_at
                    .is_none_or(|last_received_at| *last_received_at < peer.present_since)
        });
        let is_stalled = peer_at_address.is_some_and(|peer| {
            peer.id == voter.id
                && peer.behind_since.is_some_and(|behind_since| {
                    now.since(behind_since.max(self.elected_at()))
                        > self.options.timing.stalled_voter_timeout
                })
        });
        let unreachable_for = now.since(self.unreachable_since(voter.id));
        is_superseded
            || is_stalled
            || unreachable_for > self.options.timing.unreachable_voter_timeout
    }

    /// Returns the joint version for a change to these voters. Fails if the voters that are alive are
    /// not a majority of both the next and the previous voters, because the change could then not be
    /// committed.
    fn joint_document(
        &self,
        now: MonotonicTime,
        document: &Document,
        next_voters: Vec<Voter>,
    ) -> Result<Document, MembershipError> {
        let mut next_document = document.with_voters(next_voters, membership_change_id(document));
        if self.options.rules.enforces(Rule::VoterReplacedInTwoSteps) {
            next_document.previous_voters = document.voters.clone();
        }
        let alive: BTreeSet<ControllerId> = next_document
            .voters
            .iter()
            .chain(&next_document.previous_voters)
            .map(|voter| voter.id)
            .filter(|id| self.is_alive(now, *id))
            .collect();
        if Self::is_majority_of(&next_document, &alive) {
            Ok(next_document)
        } else {
            Err(MembershipError::NoMajority)
        }
    }

    /// Replaces a voter by another controller, on an operator's command. Returns the number of the joint
    /// version and the outputs that propose it.
    ///
    /// # Errors
    ///
    /// See [`MembershipError`]. On error nothing is proposed.
    pub fn replace_voter(
        &mut self,
        now: MonotonicTime,
        missing: ControllerId,
        successor: ControllerId,
    ) -> Result<(Version, Vec<ConsensusOutput>), MembershipError> {
        if !self.is_ready() {
            return Err(MembershipError::NotReady);
        }
        let settled = self
            .hard_state
            .accepted
            .as_ref()
            .filter(|document| document.previous_voters.is_empty() && self.proposed.is_none());
        let document = settled.ok_or(MembershipError::Busy)?;
        if !self.is_voter(missing) {
            return Err(MembershipError::NoSuchMember);
        }
        let candidates = self.candidates(now);
        let matching_candidate = candidates
            .iter()
            .find(|candidate| candidate.id == successor);
        let successor = matching_candidate.ok_or(MembershipError::NoSuchCandidate)?;
        let remaining_voters = document.voters.iter().filter(|voter| voter.id != missing);
        let next_voters = remaining_voters.chain([successor]).cloned().collect();
        let next_document = self.joint_document(now, document, next_voters)?;
        let version = next_document.document_version.version;
        self.start_proposal(now, next_document);
        Ok((version, self.take_outputs()))
    }

    /// Proposes the next step of a membership change, if one is due.
    pub(super) fn advance_membership_change(&mut self, now: MonotonicTime) {
        if let Some(mut document) = self.next_membership_step(now) {
            document.document_version.term = self.hard_state.term;
            let addresses: Vec<SocketAddress> =
                document.voters.iter().map(|voter| voter.address).collect();
            self.outputs.push(ConsensusOutput::MembershipChange {
                addresses,
                settled: document.previous_voters.is_empty(),
            });
            self.start_proposal(now, document);
        }
    }

    /// Steps down if a settled change has removed this leader from the voters.
    pub(super) fn step_down_if_removed(&mut self, now: MonotonicTime) {
        let is_removed = self
            .hard_state
            .accepted
            .as_ref()
            .is_some_and(|document| document.previous_voters.is_empty())
            && !self.is_voter(self.local.id);
        if is_removed {
            self.step_down(now, self.hard_state.term);
        }
    }
}

/// Returns the change identity of a membership change. Operators see it, so its format must not change.
fn membership_change_id(document: &Document) -> ChangeId {
    ChangeId::from(format!("core-{}", document.document_version.version.next()))
}

/// Returns a version with this controller as the only voter, for operators whose quorum has permanently
/// lost its majority, or `None` if the document lists the controller neither as a voter nor as a
/// previous voter. Versions that were committed without reaching this disk are lost.
///
/// Term and version number skip far ahead, so that the version supersedes any version that the lost
/// quorum may have written elsewhere.
pub fn single_voter_document(document: &Document, id: ControllerId) -> Option<Document> {
    let own_voter = document
        .voters
        .iter()
        .chain(&document.previous_voters)
        .find(|voter| voter.id == id)?;
    let mut recovered_document =
        document.with_voters(vec![own_voter.clone()], membership_change_id(document));
    recovered_document.previous_voters = Vec::new();
    recovered_document.document_version = DocumentVersion {
        term: Term(document.document_version.term.0 + (1 << 16)),
        version: Version(document.document_version.version.0 + 1000),
    };
    Some(recovered_document)
}
