//! The state of a consensus node, grouped by concern.

use super::heartbeats::HeartbeatRounds;
use super::{ConsensusTiming, ControllerAddress, PersistedState, QuorumPolicy};
use common::clock::MonotonicTime;
use common::frames::KnownMember;
use common::identity::{ControllerId, DocumentVersion, Term, Zone};
use common::rules::{Rule, Rules};
use common::spec::Document;
use std::collections::BTreeSet;

/// How many pre-votes after a start use the short start-up timeout.
const STARTUP_PRE_VOTES: u32 = 4;

/// What a node takes part with: fixed from its start on.
#[derive(Clone, Debug)]
pub(super) struct LocalNode {
    pub id: ControllerId,
    pub controller_address: ControllerAddress,
    pub zone: Zone,
    /// Whether the node has no data directory: it never votes and only forwards callers to the leader.
    pub diskless: bool,
}

/// How a node is to behave: fixed from its start on.
#[derive(Clone, Debug)]
pub(super) struct NodeOptions {
    pub timing: ConsensusTiming,
    /// The safety rules in force; tests disable single ones.
    pub rules: Rules,
    pub quorum_policy: QuorumPolicy,
    /// Whether the node may bootstrap the control quorum by itself.
    pub may_bootstrap: bool,
}

impl NodeOptions {
    pub(super) fn enforces(&self, rule: Rule) -> bool {
        self.rules.enforces(rule)
    }
}

/// The state that must survive a restart (Raft's persistent state), as far as it is synced to disk.
///
/// The term is the exception: only votes and versions are written. A restarted node begins at the
/// highest term of these, which is enough, since it promised nothing in any later term.
#[derive(Clone, Debug)]
pub(super) struct HardState {
    /// The latest term seen. It never decreases.
    pub term: Term,
    /// The last vote cast.
    pub voted_for: Option<(Term, ControllerId)>,
    /// A version that was written here and can no longer be read; zero when there is none.
    pub unreadable_version: DocumentVersion,
    /// The newest version on this disk.
    pub accepted: Option<Document>,
}

impl HardState {
    /// Restores the state from what the disk holds.
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

    /// The newest version on this disk, zero when there is none.
    pub(super) fn accepted_version(&self) -> DocumentVersion {
        version_of(self.accepted.as_ref())
    }

    /// Whether this disk holds at least what it ever acknowledged. A node whose newest version became
    /// unreadable neither votes nor campaigns until it has accepted that version or a newer one again.
    pub(super) fn may_vote(&self) -> bool {
        self.accepted_version() >= self.unreadable_version
    }

    /// Whether the newest version on this disk names this controller a voter.
    pub(super) fn is_voter(&self, id: ControllerId) -> bool {
        self.accepted
            .as_ref()
            .is_some_and(|document| document.voters.iter().any(|voter| voter.id == id))
    }

    /// Records a vote, unless one in this or a later term is recorded already.
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
    /// Asks whether an election could be won, without a new term yet (Raft's pre-vote, section 9.6 of
    /// Ongaro's dissertation).
    PreCandidate {
        /// Who would vote for this node, itself included.
        granted: BTreeSet<ControllerId>,
    },
    /// Requests votes in its term.
    Candidate {
        /// Whose votes it has.
        granted: BTreeSet<ControllerId>,
        /// Whether its own vote is on disk; no election is won before.
        vote_written: bool,
    },
    /// Leads its term.
    Leader(Box<HeartbeatRounds>),
}

/// A controller and where it is reached.
#[derive(Clone, Copy, Debug)]
pub(super) struct Contact {
    pub id: ControllerId,
    pub controller_address: ControllerAddress,
}

/// What a node knows of the leader.
#[derive(Clone, Debug)]
pub(super) struct LeaderKnowledge {
    /// The leader, while it is heard.
    pub current: Option<Contact>,
    /// Who leads or has led the newest term of which that is known.
    pub of_term: Option<(Term, ControllerId)>,
    /// When the leader was last heard; on the leader itself, when it was elected.
    pub last_heard_at: MonotonicTime,
}

impl LeaderKnowledge {
    /// No leader is known.
    pub(super) fn new(last_heard_at: MonotonicTime) -> Self {
        Self {
            current: None,
            of_term: None,
            last_heard_at,
        }
    }
}

/// When what a node does by itself is due next.
#[derive(Clone, Debug)]
pub(super) struct Timers {
    /// When a node that does not lead starts a pre-vote.
    pub election_deadline: MonotonicTime,
    pub next_hello_at: MonotonicTime,
    pub next_scrub_at: MonotonicTime,
    /// When a leader's heartbeat next goes to controllers that do not vote as well.
    pub next_nonvoter_heartbeat_at: MonotonicTime,
    /// How many pre-votes may still use the short start-up timeout.
    pub startup_pre_votes: u32,
}

impl Timers {
    /// The timers of a node that starts now.
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
    /// These daemons.
    pub members: BTreeSet<KnownMember>,
    /// Whether there are certainly no others.
    pub complete: bool,
}
