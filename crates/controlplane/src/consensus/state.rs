//! The state of a consensus node, grouped by concern.

use super::heartbeats::HeartbeatRounds;
use super::{ConsensusTiming, ControllerAddress, PersistedState, QuorumPolicy};
use common::clock::MonotonicTime;
use common::frames::KnownMember;
use common::identity::{ControllerId, DocumentVersion, Term, Zone};
use common::rules::{Rule, Rules};
use common::spec::Document;
use std::collections::BTreeSet;

/// The number of pre-votes after a start that use the short start-up timeout.
const STARTUP_PRE_VOTES: u32 = 4;

/// A node's own identity, addresses and zone, fixed at start.
#[derive(Clone, Debug)]
pub(super) struct LocalNode {
    pub id: ControllerId,
    pub controller_address: ControllerAddress,
    pub zone: Zone,
    /// Whether the node has no data directory, so that it never votes and only forwards to the leader.
    pub diskless: bool,
}

/// The options of a node, fixed at start.
#[derive(Clone, Debug)]
pub(super) struct NodeOptions {
    pub timing: ConsensusTiming,
    /// The safety rules to enforce; tests disable single ones.
    pub rules: Rules,
    pub quorum_policy: QuorumPolicy,
    /// Whether the node may bootstrap the control quorum without an operator's command.
    pub may_bootstrap: bool,
}

impl NodeOptions {
    pub(super) fn enforces(&self, rule: Rule) -> bool {
        self.rules.enforces(rule)
    }
}

/// The state that must survive a restart (Raft's persistent state). It holds only what is synced to
/// disk, except for the term.
///
/// The term itself is not written, only votes and versions are. A restarted node continues from the
/// highest term among them, which is safe because it has neither voted nor accepted a version in any
/// later term.
#[derive(Clone, Debug)]
pub(super) struct HardState {
    /// The highest term seen; it never decreases.
    pub term: Term,
    /// The last vote cast.
    pub voted_for: Option<(Term, ControllerId)>,
    /// The newest version that was written to this disk and can no longer be read; zero if there is
    /// none.
    pub unreadable_version: DocumentVersion,
    /// The newest version on this disk.
    pub accepted: Option<Document>,
}

impl HardState {
    /// Restores the state that was read from the disk.
    pub(super) fn restore(persisted: PersistedState) -> Self {
        let accepted_version = version_of(persisted.accepted.as_ref());
        let voted_term = persisted.voted_for.map_or(Term(0), |(term, _)| term);
        Self {
            term: accepted_version.term.max(voted_term),
            voted_for: persisted.voted_for,
            unreadable_version: persisted.unreadable_version,
            accepted: persisted.accepted,
        }
    }

    /// Returns the newest version on this disk, or zero if there is none.
    pub(super) fn accepted_version(&self) -> DocumentVersion {
        version_of(self.accepted.as_ref())
    }

    /// Whether the version on this disk is at least as new as every version it has acknowledged. A node
    /// whose newest version became unreadable neither votes nor campaigns until it has accepted that
    /// version again or a newer one.
    pub(super) fn may_vote(&self) -> bool {
        self.accepted_version() >= self.unreadable_version
    }

    /// Whether the newest version on this disk lists this controller as a voter.
    pub(super) fn is_voter(&self, id: ControllerId) -> bool {
        self.accepted
            .as_ref()
            .is_some_and(|document| document.voters.iter().any(|voter| voter.id == id))
    }

    /// Records a vote, unless a vote in this or a later term is already recorded.
    pub(super) fn record_vote(&mut self, term: Term, candidate: ControllerId) {
        if self
            .voted_for
            .is_none_or(|(voted_term, _)| voted_term < term)
        {
            self.voted_for = Some((term, candidate));
        }
    }
}

fn version_of(document: Option<&Document>) -> DocumentVersion {
    document.map_or(DocumentVersion::default(), |document| {
        document.document_version
    })
}

/// A node's role in its term.
#[derive(Clone, Debug)]
pub(super) enum Role {
    /// Accepts versions from the leader of the term, if there is one.
    Follower,
    /// Asks whether it could win an election, without entering a new term yet (Raft's pre-vote, section
    /// 9.6 of Ongaro's dissertation).
    PreCandidate {
        /// The controllers that would vote for this node, itself included.
        granted: BTreeSet<ControllerId>,
    },
    /// Requests votes in its term.
    Candidate {
        /// The controllers that have voted for this node.
        granted: BTreeSet<ControllerId>,
        /// Whether its own vote is on disk; it cannot win the election before.
        vote_written: bool,
    },
    /// Leads in its term.
    Leader(Box<HeartbeatRounds>),
}

/// A controller's identity and addresses.
#[derive(Clone, Copy, Debug)]
pub(super) struct Contact {
    pub id: ControllerId,
    pub controller_address: ControllerAddress,
}

/// What a node knows about the leader.
#[derive(Clone, Debug)]
pub(super) struct LeaderKnowledge {
    /// The leader, as long as its frames arrive.
    pub current: Option<Contact>,
    /// The newest term whose leader is known, and that leader.
    pub term_leader: Option<(Term, ControllerId)>,
    /// When the last frame of the leader arrived; on the leader itself, when it was elected.
    pub last_received_at: MonotonicTime,
}

impl LeaderKnowledge {
    /// Creates the state in which no leader is known.
    pub(super) fn new(last_received_at: MonotonicTime) -> Self {
        Self {
            current: None,
            term_leader: None,
            last_received_at,
        }
    }
}

/// When the timed actions of a node are due next.
#[derive(Clone, Debug)]
pub(super) struct Timers {
    /// When a node that is not the leader starts a pre-vote.
    pub election_deadline: MonotonicTime,
    pub next_hello_at: MonotonicTime,
    pub next_scrub_at: MonotonicTime,
    /// When a heartbeat round of the leader next also goes to controllers that do not vote.
    pub next_nonvoter_heartbeat_at: MonotonicTime,
    /// The number of pre-votes that may still use the short start-up timeout.
    pub startup_pre_votes: u32,
}

impl Timers {
    /// Creates the timers of a node that starts now.
    pub(super) fn new(now: MonotonicTime, timing: &ConsensusTiming) -> Self {
        Self {
            election_deadline: now,
            next_hello_at: now,
            next_scrub_at: now + timing.scrub_interval,
            next_nonvoter_heartbeat_at: now,
            startup_pre_votes: STARTUP_PRE_VOTES,
        }
    }
}

/// The daemons that may hold leases, as a leader reports them to the voters.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct ReportedMembership {
    /// The daemons known.
    pub members: BTreeSet<KnownMember>,
    /// Whether no other daemon can hold a lease.
    pub complete: bool,
}
