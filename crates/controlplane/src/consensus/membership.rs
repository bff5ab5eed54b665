//! Membership changes of the control quorum, by joint consensus (section 6 of the Raft paper).
//!
//! A change takes two versions. The joint version names the next and the previous voters and is committed
//! by a majority of each; the version that settles the change drops the previous voters. The leader starts
//! changes by itself towards the voters that the [`QuorumPlan`] asks for, or on an operator's command. At
//! most one change is under way.

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

/// How many versions a controller may be behind and still replace a voter: while changes follow each
/// other closely, a controller that has the newest one is rarely known to have it.
const MAX_CANDIDATE_LAG: u64 = 8;

/// Why a voter cannot be replaced.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum MembershipError {
    /// This controller does not lead, or has not yet committed under its term.
    #[error("no ready leader here")]
    NotReady,
    /// A proposal is in flight, or an earlier membership change is not settled.
    #[error("another change is in flight")]
    Busy,
    /// The controller to be replaced is not a voter.
    #[error("no such member of the core")]
    NoSuchMember,
    /// The successor is not alive, votes already, or is too far behind.
    #[error("no such controller, or it is not level yet")]
    NoSuchCandidate,
    /// No majority of the next voters, or of the previous ones, is alive.
    #[error("afterwards no majority of the core would be alive")]
    NoMajority,
}

impl ConsensusNode {
    /// Whether these controllers are a majority under a document: of its voters and, while a membership
    /// change is not settled, of its previous voters as well.
    pub(super) fn is_majority_of(
        document: &Document,
        controller_ids: &BTreeSet<ControllerId>,
    ) -> bool {
        let has_majority = |members: &[Voter]| {
            members
                .iter()
                .filter(|member| controller_ids.contains(&member.id))
                .count()
                * 2
                > members.len()
        };
        has_majority(&document.voters)
            && (document.previous_voters.is_empty() || has_majority(&document.previous_voters))
    }

    /// Whether a controller was heard within twice the longest election timeout.
    fn is_alive(&self, now: MonotonicTime, id: ControllerId) -> bool {
        id == self.local.id
            || self.peers.last_heard.get(&id).is_some_and(|last_heard_at| {
                now.since(*last_heard_at) < self.options.timing.election_timeout_max * 2
            })
    }

    /// When this leader was elected; zero on a node that does not lead.
    fn elected_at(&self) -> MonotonicTime {
        match &self.role {
            Role::Leader(heartbeats) => heartbeats.elected_at(),
            _ => MonotonicTime::ZERO,
        }
    }

    /// Since when a controller has been silent towards this leader.
    fn unreachable_since(&self, id: ControllerId) -> MonotonicTime {
        self.peers
            .last_heard
            .get(&id)
            .copied()
            .unwrap_or_default()
            .max(self.elected_at())
    }

    /// The controllers that may become voters: they do not vote, are alive, and accept this leader's
    /// versions.
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

    /// Whether a peer's disk has lately taken a version of this leader. The membership change itself
    /// brings it the newest one.
    fn is_caught_up(&self, peer: &Peer) -> bool {
        let version_lag = self
            .committed
            .version
            .0
            .saturating_sub(peer.accepted.version.0);
        peer.accepted.term == self.hard_state.term && version_lag <= MAX_CANDIDATE_LAG
    }

    /// The version that the next step of a membership change proposes, if a step is due: it settles the
    /// change under way, or begins one towards the voters that the settings ask for.
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
            .filter(|member| self.is_missing(now, member))
            .map(|member| member.id)
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

    /// Whether this leader has lost a voter: it has been silent for too long, its disk takes no
    /// versions, or another controller is at its address.
    fn is_missing(&self, now: MonotonicTime, member: &Voter) -> bool {
        if member.id == self.local.id {
            return false;
        }
        let at_its_address = self.peers.by_address.get(&member.address);
        let is_superseded = at_its_address.is_some_and(|peer| {
            let last_heard_at = self.peers.last_heard.get(&member.id);
            peer.id != member.id
                && last_heard_at.is_none_or(|last_heard_at| *last_heard_at < peer.present_since)
        });
        let is_stalled = at_its_address.is_some_and(|peer| {
            peer.id == member.id
                && peer.behind_since.is_some_and(|behind_since| {
                    now.since(behind_since.max(self.elected_at()))
                        > self.options.timing.stalled_voter_timeout
                })
        });
        let unreachable_for = now.since(self.unreachable_since(member.id));
        is_superseded
            || is_stalled
            || unreachable_for > self.options.timing.unreachable_voter_timeout
    }

    /// The joint version towards these voters. Refused when the voters alive are not a majority of the
    /// next and of the previous voters, since the change could then not be committed.
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
            .map(|member| member.id)
            .filter(|id| self.is_alive(now, *id))
            .collect();
        if Self::is_majority_of(&next_document, &alive) {
            Ok(next_document)
        } else {
            Err(MembershipError::NoMajority)
        }
    }

    /// Replaces a voter by another controller, on an operator's command. Returns the joint version's
    /// number and the outputs that propose it.
    ///
    /// # Errors
    ///
    /// See [`MembershipError`]; nothing is proposed then.
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
        let remaining_voters = document.voters.iter().filter(|member| member.id != missing);
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
            let addresses: Vec<SocketAddress> = document
                .voters
                .iter()
                .map(|member| member.address)
                .collect();
            self.outputs.push(ConsensusOutput::MembershipChange {
                addresses,
                settled: document.previous_voters.is_empty(),
            });
            self.start_proposal(now, document);
        }
    }

    /// Steps down when a settled change has removed this leader from the voters.
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

/// The change identity of a membership change; its form is visible to operators.
fn membership_change_id(document: &Document) -> ChangeId {
    ChangeId::from(format!("core-{}", document.document_version.version.next()))
}

/// A version with this controller as the only voter, for operators whose quorum has lost its majority for
/// good. None when the document does not name the controller a voter. What was committed without
/// reaching this disk is lost.
///
/// Term and version number skip far ahead, so that the version supersedes whatever the lost quorum may
/// have written elsewhere.
pub fn single_voter_document(document: &Document, id: ControllerId) -> Option<Document> {
    let own_member = document
        .voters
        .iter()
        .chain(&document.previous_voters)
        .find(|member| member.id == id)?;
    let mut recovered_document =
        document.with_voters(vec![own_member.clone()], membership_change_id(document));
    recovered_document.previous_voters = Vec::new();
    recovered_document.document_version = DocumentVersion {
        term: Term(document.document_version.term.0 + (1 << 16)),
        version: Version(document.document_version.version.0 + 1000),
    };
    Some(recovered_document)
}
