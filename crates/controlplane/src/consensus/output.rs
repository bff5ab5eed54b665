//! The state from which a consensus node is restored, and the outputs that its driver carries out.

use common::frames::{ConsensusFrame, KnownMember, SocketAddress};
use common::identity::{ControllerId, DocumentVersion, Term, Ticket};
use common::spec::Document;
use std::collections::BTreeSet;

/// A node's persistent state, as read from its disk at start.
#[derive(Clone, Debug)]
pub struct PersistedState {
    /// The node's identity, created when the disk was empty.
    pub id: ControllerId,
    /// The last vote cast.
    pub voted_for: Option<(Term, ControllerId)>,
    /// The newest readable version.
    pub accepted: Option<Document>,
    /// The newest version that was written to this disk and can no longer be read; zero if there is
    /// none.
    pub unreadable_version: DocumentVersion,
}

impl PersistedState {
    /// Returns the state of an empty disk.
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

/// A disk write requested by a node.
#[derive(Clone, Debug)]
pub enum WriteJob {
    /// A vote.
    Vote {
        /// The term in which the vote is cast.
        term: Term,
        /// The controller voted for.
        candidate: ControllerId,
    },
    /// A version of the document.
    Version(Document),
    /// Read every stored file again; if the newest version is damaged, rewrite it from this copy.
    Scrub(Option<Document>),
}

/// The result of a write.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum WriteResult {
    /// The data is synced to disk.
    Synced,
    /// The write failed; the data may or may not be on disk.
    Failed,
}

/// An action that the driver carries out for a node, or an event of which the node notifies it.
#[derive(Clone, Debug)]
pub enum ConsensusOutput {
    /// Send a frame.
    Send {
        /// The address of the receiver.
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
        /// The daemons that may hold leases granted by earlier leaders.
        members: BTreeSet<KnownMember>,
        /// Whether no other daemon can hold such a lease.
        complete: bool,
    },
    /// This controller is no longer the leader; the outcome of a proposal in flight is unknown.
    SteppedDown,
    /// A version has been committed.
    Committed(Document),
    /// This leader proposes a change of the set of voters.
    MembershipChange {
        /// The addresses of the next voters.
        addresses: Vec<SocketAddress>,
        /// Whether the proposal completes the change rather than starting it.
        settled: bool,
    },
    /// A write has been in flight for longer than the shortest election timeout, so the leader steps
    /// down.
    DiskStalled,
}
