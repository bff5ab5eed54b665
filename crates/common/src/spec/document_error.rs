//! Errors in reading documents, views and deltas.

use crate::readers::PathError;

/// Why a document, a view or a delta could not be read.
#[derive(Debug, thiserror::Error)]
pub enum DocumentError {
    /// The bytes are not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// A field is missing or invalid.
    #[error("{0}")]
    Path(#[source] PathError),
    /// The delta applies to a version other than the current one.
    #[error("the change leads from another version")]
    WrongBase,
    /// The digest of the resulting document or view is not the one that the sender gave.
    #[error("the changed document has another digest")]
    WrongDigest,
}
