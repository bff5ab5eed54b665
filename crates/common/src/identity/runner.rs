//! Runner identities.

use super::{FencingToken, InstanceId};
use binrw::binrw;
use std::fmt;
use std::str::FromStr;

/// A runner's identity: the fencing token of the lease it was started under, and an ordinal.
///
/// Its text form is `r-TOKEN-ORDINAL`, both in hexadecimal.
#[binrw]
#[brw(big)]
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunnerId {
    /// The fencing token of the lease under which it was placed.
    pub fencing_token: FencingToken,
    /// The leader's number of this placement.
    pub ordinal: u64,
}

impl RunnerId {
    /// Returns the identity that an instance was started with, where the platform keeps it in the instance's name after
    /// a dot. A runner that was adopted by a later holder still reports that one.
    pub fn from_instance(instance: &InstanceId) -> Option<RunnerId> {
        instance.as_str().split_once('.')?.1.parse().ok()
    }

    /// Returns the identity that the runner reports itself: the one it was started with if `instance` tells it, else
    /// this one.
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

/// A text is not a runner identity.
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
