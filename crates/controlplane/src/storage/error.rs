//! The errors of the data directory.

use common::spec::DocumentError;
use std::io;
use std::path::{Path, PathBuf};

/// Why the data directory could not be used.
#[derive(Debug, thiserror::Error)]
pub enum DataDirectoryError {
    /// An operation on a file or directory failed.
    #[error("{path}: {error}", path = .0.display(), error = .1)]
    File(PathBuf, #[source] io::Error),
    /// A stored version cannot be decoded.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// No version on this disk names its controller a voter.
    #[error("no version on this disk names its member; recover from another disk")]
    NothingToRecover,
}

impl DataDirectoryError {
    /// Returns what turns an I/O error into one that names this path.
    pub(super) fn at(path: &Path) -> impl FnOnce(io::Error) -> Self {
        |error| Self::File(path.to_owned(), error)
    }
}
