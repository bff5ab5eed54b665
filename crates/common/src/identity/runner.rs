//! The identities of runners.

use super::{FencingToken, InstanceId};
use binrw::binrw;
use std::fmt;
use std::str::FromStr;

/// The identity of a runner: the fencing token of a lease and an ordinal.
///
/// Its text form is `r-TOKEN-ORDINAL`, both in hexadecimal.
#[binrw]
#[brw(big)]
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunnerId {
    /// The fencing token of the lease under which the runner was placed.
    pub fencing_token: FencingToken,
    /// The number that the leader gave the placement.
    pub ordinal: u64,
}

impl RunnerId {
    /// Returns the identity that an instance was started with, if the platform keeps it in the instance's name, after a
    /// dot. A runner that a later holder has adopted still reports this identity.
    pub fn from_instance(instance: &InstanceId) -> Option<RunnerId> {
        instance.as_str().split_once('.')?.1.parse().ok()
    }

    /// Returns the identity that the runner itself reports: the one that its instance was started with if the
    /// instance's name contains it, otherwise this one.
    pub fn self_reported_id(self, instance: Option<&InstanceId>) -> RunnerId {
        instance.and_then(Self::from_instance).unwrap_or(self)
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

/// The error for a text that is not a runner identity.
#[derive(Debug, thiserror::Error)]
#[error("{0:?} is not a runner id")]
pub struct RunnerIdError(String);

impl FromStr for RunnerId {
    type Err = RunnerIdError;
    fn from_str(text: &str) -> Result<Self, RunnerIdError> {
        let parse = || {
            let (token_text, ordinal_text) = text.strip_prefix("r-")?.split_once('-')?;
            let fencing_token = FencingToken(u64::from_str_radix(token_text, 16).ok()?);
            let ordinal = u64::from_str_radix(ordinal_text, 16).ok()?;
            Some(RunnerId {
                fencing_token,
                ordinal,
            })
        };
        parse().ok_or_else(|| RunnerIdError(text.to_owned()))
    }
}
