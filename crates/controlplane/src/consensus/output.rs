use common::frames::{ConsensusFrame, KnownMember, SocketAddress};
use common::identity::{ControllerId, DocumentVersion, Term, Ticket};
use common::spec::Document;
use std::collections::BTreeSet;

/// What a core member's disk remembers.
#[derive(Clone, Debug)]
pub struct PersistedState {
    /// The member's identity, made when the disk was empty.
    pub id: ControllerId,
    /// The last vote.
    pub voted_for: Option<(Term, ControllerId)>,
    /// The newest whole version.
    pub accepted: Option<Document>,
    /// A version that was written here and can no longer be read; zero when there is none.
    pub unreadable_version: DocumentVersion,
}

impl PersistedState {
    /// What an empty disk remembers.
    pub fn empty(id: ControllerId) -> Self {
        Self {
            id,
            voted_for: None,
            accepted: None,
            unreadable_version: DocumentVersion::default(),
        }
    }

    /// Whether nothing but an identity is remembered.
    pub fn is_empty(&self) -> bool {
        self.voted_for.is_none()
            && self.accepted.is_none()
            && self.unreadable_version == DocumentVersion::default()
    }
}

/// What the disk is told to write.
#[derive(Clone, Debug)]
pub enum WriteJob {
    /// A vote.
    Vote {
        /// The term voted in.
        term: Term,
        /// Who got the vote.
        candidate: ControllerId,
    },
    /// A version of the document.
    Version(Document),
    /// Read every kept file again; a damaged newest version is written anew from memory.
    Scrub(Option<Document>),
}

/// How a write ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum WriteResult {
    /// It is on disk, synced.
    Synced,
    /// It may or may not be on disk.
    Failed,
}

/// What the core orders.
#[derive(Clone, Debug)]
pub enum ConsensusOutput {
    /// Send a frame.
    Send {
        /// Where to.
        to: SocketAddress,
        /// The frame.
        frame: ConsensusFrame,
    },
    /// Write to disk.
    Write {
        /// Names the write when it has ended.
        ticket: Ticket,
        /// What to write.
        job: WriteJob,
    },
    /// This controller asks for votes.
    Campaigning {
        /// In this term.
        term: Term,
    },
    /// This controller leads.
    Elected {
        /// In this term.
        term: Term,
        /// The daemons that may hold grants of earlier leaders.
        members: BTreeSet<KnownMember>,
        /// Whether there are surely no others.
        complete: bool,
    },
    /// This controller leads no longer; a change in flight is unknown.
    SteppedDown,
    /// A version is committed.
    Committed(Document),
    /// The voters of the control quorum are about to change.
    MembershipChange {
        /// Where the members will stand.
        addresses: Vec<SocketAddress>,
        /// Whether this ends the change.
        settled: bool,
    },
    /// The leader's disk did not end a write within an election timeout.
    DiskStalled,
}
