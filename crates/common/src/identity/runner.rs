//! Runners by grant and ordinal.

use super::{FencingToken, InstanceId};
use binrw::binrw;
use std::fmt;
use std::str::FromStr;

/// A runner's name: the grant it runs under, and a number no other runner has.
#[binrw]
#[brw(big)]
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunnerId {
    /// The function grant under which it was placed.
    pub fencing_token: FencingToken,
    /// The leader's number for this placing.
    pub ordinal: u64,
}

impl RunnerId {
    /// The name under which a life was started, where the platform keeps it in the life's name after
    /// a dot; a runner that was taken over goes by it all its life.
    pub fn started_id(instance: &InstanceId) -> Option<RunnerId> {
        instance.as_str().split_once('.')?.1.parse().ok()
    }

    /// The name that a runner itself goes by: the one it was started under if that is known.
    pub fn self_reported_id(self, instance: Option<&InstanceId>) -> RunnerId {
        instance.and_then(Self::started_id).unwrap_or(self)
    }
}

impl fmt::Display for RunnerId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "r-{:x}-{:x}", self.fencing_token.0, self.ordinal)
    }
}

impl fmt::Debug for RunnerId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{self}")
    }
}

/// The text is no runner's name.
#[derive(Debug)]
pub struct RunnerIdError(String);

impl fmt::Display for RunnerIdError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:?} is not a runner id", self.0)
    }
}

impl std::error::Error for RunnerIdError {}

impl FromStr for RunnerId {
    type Err = RunnerIdError;
    fn from_str(given_text: &str) -> Result<Self, RunnerIdError> {
        let parse = || {
            let (token_text, ordinal_text) = given_text.strip_prefix("r-")?.split_once('-')?;
            let fencing_token = FencingToken(u64::from_str_radix(token_text, 16).ok()?);
            let ordinal = u64::from_str_radix(ordinal_text, 16).ok()?;
            Some(RunnerId {
                fencing_token,
                ordinal,
            })
        };
        parse().ok_or_else(|| RunnerIdError(given_text.to_owned()))
    }
}
