//! The errors of the data directory.

use common::spec::DocumentError;
use std::io::{self, ErrorKind};
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
    /// The directory has no identity, or its newest version does not list that controller as a voter.
    #[error("no version on this disk names its member; recover from another disk")]
    NothingToRecover,
}

impl DataDirectoryError {
    /// Whether the cause lies in how the directory is set up and does not go away without an operator.
    pub(super) fn is_permanent(&self) -> bool {
        let Self::File(_, error) = self else {
            return true;
        };
        matches!(
            error.kind(),
            ErrorKind::PermissionDenied
                | ErrorKind::ReadOnlyFilesystem
                | ErrorKind::NotADirectory
                | ErrorKind::IsADirectory
        )
    }

    /// Returns a function that converts an I/O error into [`Self::File`] with this path.
    pub(super) fn at(path: &Path) -> impl FnOnce(io::Error) -> Self {
        |error| Self::File(path.to_owned(), error)
    }
}
