//! Why bytes are no document, or no change of one.

use crate::readers::PathError;
use std::fmt;

/// Why bytes are no document.
#[derive(Debug)]
pub enum DocumentError {
    /// They are not JSON.
    NotJson(serde_json::Error),
    /// A path is wrong.
    Path(PathError),
    /// A change leads from another version than the one that is held.
    WrongBase,
    /// The result has another digest than its sender's.
    WrongDigest,
}

impl fmt::Display for DocumentError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotJson(error) => write!(out, "not JSON: {error}"),
            Self::Path(error) => write!(out, "{error}"),
            Self::WrongBase => write!(out, "the change leads from another version"),
            Self::WrongDigest => write!(out, "the changed document has another digest"),
        }
    }
}

impl std::error::Error for DocumentError {}

impl From<serde_json::Error> for DocumentError {
    fn from(error: serde_json::Error) -> Self {
        Self::NotJson(error)
    }
}
