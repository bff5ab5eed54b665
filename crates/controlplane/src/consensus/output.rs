//! What a consensus node is restored from and what it has its driver do.

use common::frames::{ConsensusFrame, KnownMember, SocketAddress};
use common::identity::{ControllerId, DocumentVersion, Term, Ticket};
use common::spec::Document;
use std::collections::BTreeSet;

/// A node's persistent state, as read from its disk at start.
#[derive(Clone, Debug)]
pub struct PersistedState {
    /// The node's identity, created when the disk was empty.
    pub id: ControllerId,
    /// The last vote.
    pub voted_for: Option<(Term, ControllerId)>,
    /// The newest readable version.
    pub accepted: Option<Document>,
    /// A version that was written here and can no longer be read; zero when there is none.
    pub unreadable_version: DocumentVersion,
}

impl PersistedState {
    /// The state on an empty disk.
    pub fn empty(id: ControllerId) -> Self {
        Self {
            id,
            voted_for: None,
            accepted: None,
            unreadable_version: DocumentVersion::default(),
        }
    }

    /// Whether the disk holds nothing but an identity.
    pub fn is_empty(&self) -> bool {
        self.voted_for.is_none()
            && self.accepted.is_none()
            && self.unreadable_version == DocumentVersion::default()
    }
}

/// A write for the disk.
#[derive(Clone, Debug)]
pub enum WriteJob {
    /// A vote.
    Vote {
        /// The term voted in.
        term: Term,
        /// Whom the vote is for.
        candidate: ControllerId,
    },
    /// A version of the document.
    Version(Document),
    /// Read every stored file again; if the newest version is damaged, write it again from this copy.
    Scrub(Option<Document>),
}

/// The result of a write.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum WriteResult {
    /// It is on disk, synced.
    Synced,
    /// It failed; it may or may not be on disk.
    Failed,
}

/// What a driver is to carry out for a node, or is notified of.
#[derive(Clone, Debug)]
pub enum ConsensusOutput {
    /// Send a frame.
    Send {
        /// The receiver's address.
        to: SocketAddress,
        /// The frame.
        frame: ConsensusFrame,
    },
    /// Write to disk.
    Write {
        /// Identifies the write when it completes.
        ticket: Ticket,
        /// What to write.
        job: WriteJob,
    },
    /// This controller has started an election.
    Campaigning {
        /// The term of the election.
        term: Term,
    },
    /// This controller has become leader.
    Elected {
        /// The term it leads.
        term: Term,
        /// The daemons that may hold leases of earlier leaders.
        members: BTreeSet<KnownMember>,
        /// Whether there are certainly no others.
        complete: bool,
    },
    /// This controller no longer leads; the outcome of a proposal in flight is unknown.
    SteppedDown,
    /// A version is committed.
    Committed(Document),
    /// This leader proposes a change of the voters.
    MembershipChange {
        /// The addresses of the next voters.
        addresses: Vec<SocketAddress>,
        /// Whether the proposal settles the change, rather than beginning it.
        settled: bool,
    },
    /// A write has been in flight for longer than the shortest election timeout, and the leader steps
    /// down.
    DiskStalled,
}
