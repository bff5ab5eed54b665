//! Why bytes are no document, or no change of one.

use crate::readers::PathFault;
use std::fmt;

/// Why bytes are no document.
#[derive(Debug)]
pub enum DocumentFault {
    /// They are not JSON.
    NotJson(serde_json::Error),
    /// A path is wrong.
    Path(PathFault),
    /// A change leads from another version than the one that is held.
    Base,
    /// The result has another digest than its sender's.
    Digest,
}

impl fmt::Display for DocumentFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotJson(fault) => write!(out, "not JSON: {fault}"),
            Self::Path(fault) => write!(out, "{fault}"),
            Self::Base => write!(out, "the change leads from another version"),
            Self::Digest => write!(out, "the changed document has another digest"),
        }
    }
}

impl std::error::Error for DocumentFault {}

impl From<serde_json::Error> for DocumentFault {
    fn from(fault: serde_json::Error) -> Self {
        Self::NotJson(fault)
    }
}
