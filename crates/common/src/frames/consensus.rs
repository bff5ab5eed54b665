//! Frames between controllers: election, rounds, versions of the document.

use super::{ByteString, Flag, LengthPrefixed, SocketAddress};
use crate::identity::{ControllerId, DocumentVersion, Incarnation, MemberName, Term, Zone};
use binrw::binrw;

/// A daemon as the core remembers it over a change of leader.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct KnownMember {
    /// Its name.
    pub member: MemberName,
    /// The life that was last granted to.
    pub incarnation: Incarnation,
    /// Where it listens; another life there proves that this one is gone.
    pub address: SocketAddress,
}

impl KnownMember {
    /// Whether this is another life of the same daemon, at the same place: only one of them can be
    /// alive, since it holds the place's port.
    pub fn is_other_incarnation_of(&self, other: &KnownMember) -> bool {
        self.member == other.member
            && self.address == other.address
            && self.incarnation != other.incarnation
    }
}

/// What one core member sends another.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug)]
pub struct ConsensusFrame {
    /// Who sends.
    pub from: ControllerId,
    /// Where answers reach the sender.
    pub address: SocketAddress,
    /// Where operators reach the sender.
    pub operators: SocketAddress,
    /// The sender's zone.
    pub zone: Zone,
    /// What is said.
    pub body: ConsensusMessage,
}

/// The parts of the core's talk.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug)]
pub enum ConsensusMessage {
    /// Says who is here and how far its disk is.
    #[brw(magic = 1u8)]
    Hello {
        /// The newest accepted version, zero when the disk is empty.
        accepted: DocumentVersion,
        /// The sender's term.
        term: Term,
        /// Whether the sender keeps nothing: it never votes, and only passes on.
        diskless: Flag,
    },
    /// The first document, for a member it names whose disk holds none.
    #[brw(magic = 2u8)]
    Bootstrap {
        /// The document.
        document: ByteString,
    },
    /// Asks for a vote.
    #[brw(magic = 3u8)]
    VoteRequest {
        /// The term asked for.
        term: Term,
        /// The candidate's newest accepted version.
        accepted: DocumentVersion,
        /// Whether the candidate only asks if it would be given.
        is_pre_vote: Flag,
    },
    /// Answers a vote asked for; a yes is on disk before it is sent.
    #[brw(magic = 4u8)]
    VoteResponse {
        /// The voter's term.
        term: Term,
        /// The term asked for.
        requested_term: Term,
        /// Whether it answers a trial.
        is_pre_vote: Flag,
        /// Whether the vote is given.
        granted: Flag,
        /// The daemons the voter last heard of.
        members: LengthPrefixed<KnownMember>,
        /// Whether the voter heard of them in this life, from a leader that knew all.
        complete: Flag,
    },
    /// One round of the leader.
    #[brw(magic = 5u8)]
    Heartbeat {
        /// The leader's term.
        term: Term,
        /// The round's number.
        round: u64,
        /// The leader's newest accepted version.
        accepted: DocumentVersion,
        /// The newest committed version.
        committed: DocumentVersion,
        /// The daemons that may hold grants.
        members: LengthPrefixed<KnownMember>,
        /// Whether the leader knows that there are no others.
        complete: Flag,
    },
    /// Answers a round.
    #[brw(magic = 6u8)]
    HeartbeatResponse {
        /// The answering member's term.
        term: Term,
        /// The round answered.
        round: u64,
        /// The newest version on the member's disk.
        accepted: DocumentVersion,
    },
    /// A whole version to be written.
    #[brw(magic = 7u8)]
    AcceptFull {
        /// The leader's term.
        term: Term,
        /// Where the version stands.
        document_version: DocumentVersion,
        /// The document, packed.
        document: ByteString,
    },
    /// A version to be written, as what leads to it from the one before.
    #[brw(magic = 10u8)]
    AcceptDelta {
        /// The leader's term.
        term: Term,
        /// The version that the change leads from.
        base: DocumentVersion,
        /// Where the version stands.
        document_version: DocumentVersion,
        /// The change, packed.
        delta: ByteString,
        /// The digest of the changed document.
        digest: ByteString,
    },
    /// A change led from a version that is not held here: asks for the whole version.
    #[brw(magic = 11u8)]
    SnapshotRequest {
        /// The member's term.
        term: Term,
        /// The newest version on the member's disk.
        accepted: DocumentVersion,
    },
    /// Names the leader and the members of the core to one that is no member.
    #[brw(magic = 9u8)]
    VoterAddresses {
        /// Where they are reached.
        addresses: LengthPrefixed<SocketAddress>,
    },
    /// Says what is on disk, synced.
    #[brw(magic = 8u8)]
    Accepted {
        /// The member's term.
        term: Term,
        /// The newest version on the member's disk.
        document_version: DocumentVersion,
    },
}
