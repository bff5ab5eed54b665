//! Frames between controllers: elections, heartbeat rounds, and replication of the document.

use super::{ByteString, Flag, LengthPrefixed, SocketAddress};
use crate::identity::{ControllerId, DocumentVersion, Incarnation, MemberName, Term, Zone};
use binrw::binrw;

/// A daemon that controllers know of, so that a new leader knows which daemons may still have session leases.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct KnownMember {
    /// The daemon's name.
    pub member: MemberName,
    /// The incarnation that last had a session lease.
    pub incarnation: Incarnation,
    /// The address at which the daemon listens. Another incarnation at this address proves that this one has ended.
    pub address: SocketAddress,
}

impl KnownMember {
    /// Whether both are different incarnations of the same daemon at the same address. Only one of them can be alive,
    /// because only one process can bind the port.
    pub fn is_other_incarnation_of(&self, other: &KnownMember) -> bool {
        self.member == other.member
            && self.address == other.address
            && self.incarnation != other.incarnation
    }
}

/// A frame from one controller to another: a message and its sender.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug)]
pub struct ConsensusFrame {
    /// The sender's identity.
    pub from: ControllerId,
    /// The address at which the sender listens for other processes.
    pub address: SocketAddress,
    /// The address at which the sender listens for operators' HTTP requests.
    pub operators: SocketAddress,
    /// The sender's zone.
    pub zone: Zone,
    /// The message.
    pub body: ConsensusMessage,
}

/// The messages between controllers.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug)]
pub enum ConsensusMessage {
    /// Sent repeatedly to the seeds and the voters: introduces the sender and reports which version it has on disk.
    #[brw(magic = 1u8)]
    Hello {
        /// The sender's newest accepted version; zero if its disk is empty.
        accepted: DocumentVersion,
        /// The sender's term.
        term: Term,
        /// Whether the sender has no disk. Such a controller never votes and only relays between daemons and the
        /// leader.
        diskless: Flag,
    },
    /// The initial document, sent to a voter that it lists and that has no document on disk.
    #[brw(magic = 2u8)]
    Bootstrap {
        /// The document as JSON, compressed by [`compress`](super::compress).
        document: ByteString,
    },
    /// From a candidate to each voter: requests the voter's vote.
    #[brw(magic = 3u8)]
    VoteRequest {
        /// The term in which the candidate wants to lead.
        term: Term,
        /// The candidate's newest accepted version.
        accepted: DocumentVersion,
        /// Whether this is a pre-vote: the voter answers whether it would grant its vote, without committing itself.
        is_pre_vote: Flag,
    },
    /// From a voter to a candidate: answers a vote request. A vote, unlike a pre-vote, is written to the voter's disk
    /// before this is sent.
    #[brw(magic = 4u8)]
    VoteResponse {
        /// The voter's term.
        term: Term,
        /// The term of the vote request that is answered.
        requested_term: Term,
        /// Whether this answers a pre-vote.
        is_pre_vote: Flag,
        /// Whether the vote is granted.
        granted: Flag,
        /// The daemons that the voter knows of from the last leader's heartbeats.
        members: LengthPrefixed<KnownMember>,
        /// Whether `members` is complete: the voter received it after it started, from a leader whose list was
        /// complete.
        complete: Flag,
    },
    /// From the leader to each voter, once in each heartbeat round.
    #[brw(magic = 5u8)]
    Heartbeat {
        /// The leader's term.
        term: Term,
        /// The heartbeat round's number within the term.
        round: u64,
        /// The leader's newest accepted version.
        accepted: DocumentVersion,
        /// The newest committed version.
        committed: DocumentVersion,
        /// The daemons that may hold a session lease.
        members: LengthPrefixed<KnownMember>,
        /// Whether `members` is complete: the leader knows that there are no others.
        complete: Flag,
    },
    /// From a voter to the leader: answers a heartbeat.
    #[brw(magic = 6u8)]
    HeartbeatResponse {
        /// The voter's term.
        term: Term,
        /// The heartbeat round that is answered.
        round: u64,
        /// The newest version on the voter's disk.
        accepted: DocumentVersion,
    },
    /// From the leader to a voter: a full document to write to disk.
    #[brw(magic = 7u8)]
    AcceptFull {
        /// The leader's term.
        term: Term,
        /// The version of the document.
        document_version: DocumentVersion,
        /// The document as JSON, compressed by [`compress`](super::compress).
        document: ByteString,
    },
    /// From the leader to a voter: a version to write to disk, as a delta to an earlier version.
    #[brw(magic = 10u8)]
    AcceptDelta {
        /// The leader's term.
        term: Term,
        /// The version that the delta applies to.
        base: DocumentVersion,
        /// The version of the resulting document.
        document_version: DocumentVersion,
        /// The delta as JSON, compressed by [`compress`](super::compress).
        delta: ByteString,
        /// The SHA-256 digest of the resulting document.
        digest: ByteString,
    },
    /// From a voter to the leader: requests the full document, because a delta could not be applied.
    #[brw(magic = 11u8)]
    SnapshotRequest {
        /// The voter's term.
        term: Term,
        /// The newest version on the voter's disk.
        accepted: DocumentVersion,
    },
    /// Answers the `Hello` of a controller that is not a voter: the addresses of the leader and of the voters.
    #[brw(magic = 9u8)]
    VoterAddresses {
        /// The addresses.
        addresses: LengthPrefixed<SocketAddress>,
    },
    /// From a voter to the leader: reports the version that is synced to the voter's disk.
    #[brw(magic = 8u8)]
    Accepted {
        /// The voter's term.
        term: Term,
        /// The newest version on the voter's disk.
        document_version: DocumentVersion,
    },
}
