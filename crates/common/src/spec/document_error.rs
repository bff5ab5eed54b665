//! The error of reading documents, views and deltas.

use crate::readers::PathError;

/// Why bytes could not be read as a document, a view or a delta of one.
#[derive(Debug, thiserror::Error)]
pub enum DocumentError {
    /// The bytes are not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// A field is missing or invalid.
    #[error("{0}")]
    Path(#[source] PathError),
    /// A delta applies to another version than the one held.
    #[error("the change leads from another version")]
    WrongBase,
    /// The resulting document has another digest than its sender's.
    #[error("the changed document has another digest")]
    WrongDigest,
}
