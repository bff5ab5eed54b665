//! Heartbeats between daemons, and the suspicions they carry.

use super::LengthPrefixed;
use crate::identity::{Incarnation, MemberName};
use binrw::binrw;

/// One life of a daemon.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct MemberIncarnation {
    /// Whose.
    pub member: MemberName,
    /// Which.
    pub incarnation: Incarnation,
}

/// That a daemon has fallen silent, as far as its watchers know.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Suspicion {
    /// Who is silent.
    pub instance: MemberIncarnation,
    /// How often the word may still be passed on.
    pub remaining_relays: u8,
}

/// What a daemon sends to its watchers. In calm times it carries nobody but its sender.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Heartbeat {
    /// Who sends.
    pub member: MemberName,
    /// Which life of it.
    pub incarnation: Incarnation,
    /// Counts the heartbeats of that life.
    pub count: u64,
    /// Whom the sender believes silent.
    pub suspicions: LengthPrefixed<Suspicion>,
}
