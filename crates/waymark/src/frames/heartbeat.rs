use super::Many;
use crate::identity::{Incarnation, MemberName};
use binrw::binrw;

/// How lately a daemon was heard, as its sender knows.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct View {
    /// Of whom.
    pub member: MemberName,
    /// Which life.
    pub incarnation: Incarnation,
    /// How many milliseconds ago.
    pub age_ms: u32,
}

/// What a daemon sends to its watchers.
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
    /// What the sender knows of the others.
    pub views: Many<View>,
}
