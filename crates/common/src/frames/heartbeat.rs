//! Heartbeats between daemons, and the suspicions that they carry.

use super::LengthPrefixed;
use crate::identity::{Incarnation, MemberName};
use binrw::binrw;

/// One incarnation of a daemon.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct MemberIncarnation {
    /// The daemon's name.
    pub member: MemberName,
    /// The daemon's incarnation.
    pub incarnation: Incarnation,
}

/// The suspicion that a daemon is unreachable, relayed between daemons for a limited number of hops.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Suspicion {
    /// The suspected daemon.
    pub suspect: MemberIncarnation,
    /// How many more times the suspicion may be relayed.
    pub remaining_relays: u8,
}

/// A heartbeat, which a daemon sends to its watchers at a fixed interval. It carries suspicions only during failures.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Heartbeat {
    /// The sender's name.
    pub member: MemberName,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The sequence number of this heartbeat within the incarnation.
    pub sequence_number: u64,
    /// The daemons that the sender suspects.
    pub suspicions: LengthPrefixed<Suspicion>,
}
