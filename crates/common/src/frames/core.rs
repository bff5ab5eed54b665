//! Frames between controllers: election, rounds, versions of the document.

use super::{Blob, Flag, Many, Place};
use crate::identity::{ControllerId, Incarnation, MemberName, Stamp, Term, Zone};
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
    pub place: Place,
}

impl KnownMember {
    /// Whether this is another life of the same daemon, at the same place: only one of them can be
    /// alive, since it holds the place's port.
    pub fn is_reborn_as(&self, other: &KnownMember) -> bool {
        self.member == other.member
            && self.place == other.place
            && self.incarnation != other.incarnation
    }
}

/// What one core member sends another.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug)]
pub struct CoreFrame {
    /// Who sends.
    pub from: ControllerId,
    /// Where answers reach the sender.
    pub place: Place,
    /// Where operators reach the sender.
    pub operators: Place,
    /// The sender's zone.
    pub zone: Zone,
    /// What is said.
    pub body: CoreBody,
}

/// The parts of the core's talk.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug)]
pub enum CoreBody {
    /// Says who is here and how far its disk is.
    #[brw(magic = 1u8)]
    Hello {
        /// The newest accepted version, zero when the disk is empty.
        accepted: Stamp,
        /// The sender's term.
        term: Term,
        /// Whether the sender keeps nothing: it never votes, and only passes on.
        passes_on: Flag,
    },
    /// The first document, for a member it names whose disk holds none.
    #[brw(magic = 2u8)]
    Found {
        /// The document.
        document: Blob,
    },
    /// Asks for a vote.
    #[brw(magic = 3u8)]
    VoteAsk {
        /// The term asked for.
        term: Term,
        /// The candidate's newest accepted version.
        accepted: Stamp,
        /// Whether the candidate only asks if it would be given.
        trial: Flag,
    },
    /// Answers a vote asked for; a yes is on disk before it is sent.
    #[brw(magic = 4u8)]
    VoteReply {
        /// The voter's term.
        term: Term,
        /// The term asked for.
        asked: Term,
        /// Whether it answers a trial.
        trial: Flag,
        /// Whether the vote is given.
        given: Flag,
        /// The daemons the voter last heard of.
        members: Many<KnownMember>,
        /// Whether the voter heard of them in this life, from a leader that knew all.
        whole: Flag,
    },
    /// One round of the leader.
    #[brw(magic = 5u8)]
    Round {
        /// The leader's term.
        term: Term,
        /// The round's number.
        round: u64,
        /// The leader's newest accepted version.
        accepted: Stamp,
        /// The newest committed version.
        committed: Stamp,
        /// The daemons that may hold grants.
        members: Many<KnownMember>,
        /// Whether the leader knows that there are no others.
        whole: Flag,
    },
    /// Answers a round.
    #[brw(magic = 6u8)]
    RoundReply {
        /// The answering member's term.
        term: Term,
        /// The round answered.
        round: u64,
        /// The newest version on the member's disk.
        accepted: Stamp,
    },
    /// A whole version to be written.
    #[brw(magic = 7u8)]
    Accept {
        /// The leader's term.
        term: Term,
        /// Where the version stands.
        stamp: Stamp,
        /// The document, packed.
        document: Blob,
    },
    /// A version to be written, as what leads to it from the one before.
    #[brw(magic = 10u8)]
    AcceptChange {
        /// The leader's term.
        term: Term,
        /// The version that the change leads from.
        base: Stamp,
        /// Where the version stands.
        stamp: Stamp,
        /// The change, packed.
        change: Blob,
        /// The digest of the changed document.
        digest: Blob,
    },
    /// A change led from a version that is not held here: asks for the whole version.
    #[brw(magic = 11u8)]
    AskWhole {
        /// The member's term.
        term: Term,
        /// The newest version on the member's disk.
        accepted: Stamp,
    },
    /// Names the leader and the members of the core to one that is no member.
    #[brw(magic = 9u8)]
    Named {
        /// Where they are reached.
        places: Many<Place>,
    },
    /// Says what is on disk, synced.
    #[brw(magic = 8u8)]
    Accepted {
        /// The member's term.
        term: Term,
        /// The newest version on the member's disk.
        stamp: Stamp,
    },
}
