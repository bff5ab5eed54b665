//! Runners by grant and ordinal.

use super::{GrantSerial, LifeName};
use binrw::binrw;
use std::fmt;
use std::str::FromStr;

/// A runner's name: the grant it runs under, and a number no other runner has.
#[binrw]
#[brw(big)]
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunnerId {
    /// The function grant under which it was placed.
    pub grant: GrantSerial,
    /// The leader's number for this placing.
    pub ordinal: u64,
}

impl RunnerId {
    /// The name under which a life was started, where the platform keeps it in the life's name after
    /// a dot; a runner that was taken over goes by it all its life.
    pub fn started_as(life: &LifeName) -> Option<RunnerId> {
        life.as_str().split_once('.')?.1.parse().ok()
    }

    /// The name that a runner itself goes by: the one it was started under if that is known.
    pub fn face(self, life: Option<&LifeName>) -> RunnerId {
        life.and_then(Self::started_as).unwrap_or(self)
    }
}

impl fmt::Display for RunnerId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "r-{:x}-{:x}", self.grant.0, self.ordinal)
    }
}

impl fmt::Debug for RunnerId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{self}")
    }
}

/// The text is no runner's name.
#[derive(Debug)]
pub struct RunnerIdFault(String);

impl fmt::Display for RunnerIdFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:?} is not a runner id", self.0)
    }
}

impl std::error::Error for RunnerIdFault {}

impl FromStr for RunnerId {
    type Err = RunnerIdFault;
    fn from_str(given_text: &str) -> Result<Self, RunnerIdFault> {
        let parse = || {
            let (grant_text, ordinal_text) = given_text.strip_prefix("r-")?.split_once('-')?;
            let grant = GrantSerial(u64::from_str_radix(grant_text, 16).ok()?);
            let ordinal = u64::from_str_radix(ordinal_text, 16).ok()?;
            Some(RunnerId { grant, ordinal })
        };
        parse().ok_or_else(|| RunnerIdFault(given_text.to_owned()))
    }
}
