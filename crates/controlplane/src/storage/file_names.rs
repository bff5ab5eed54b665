//! The names of the stored files. The name of a vote contains its term, the name of a version its term
//! and number, each as hexadecimal digits of a fixed width, so that sorting by name sorts by age.

use common::identity::{DocumentVersion, Term, Version};

/// Holds the controller's identity in hexadecimal.
pub(super) const IDENTITY: &str = "identity";
/// Holds the term and number of the newest version that became unreadable on this disk.
pub(super) const UNREADABLE_VERSION: &str = "distrusted";
/// Marks a disk that took part in the first start of the system.
pub(super) const FIRST_START: &str = "first";
/// Written at each start to check that the directory is writable.
pub(super) const WRITE_PROBE: &str = "writable";

/// A vote or version file, as identified by its name.
#[derive(Clone, Copy)]
pub(super) enum StoredFile {
    /// The vote of this term.
    Vote(Term),
    /// This version of the document.
    Version(DocumentVersion),
}

impl StoredFile {
    /// Parses a file name. Returns `None` for files of any other kind.
    pub(super) fn parse(file_name: &str) -> Option<Self> {
        if let Some(term_text) = file_name.strip_prefix("vote-") {
            return Some(Self::Vote(Term(parse_number(term_text)?)));
        }
        let (term_text, version_text) = file_name.strip_prefix("spec-")?.split_once('-')?;
        Some(Self::Version(DocumentVersion {
            term: Term(parse_number(term_text)?),
            version: Version(parse_number(version_text)?),
        }))
    }

    /// Returns the name of the file.
    pub(super) fn name(self) -> String {
        match self {
            Self::Vote(term) => format!("vote-{:016x}", term.0),
            Self::Version(DocumentVersion { term, version }) => {
                format!("spec-{:016x}-{:016x}", term.0, version.0)
            }
        }
    }

    pub(super) fn is_vote(self) -> bool {
        matches!(self, Self::Vote(_))
    }
}

fn parse_number(text: &str) -> Option<u64> {
    (text.len() == 16).then(|| u64::from_str_radix(text, 16).ok())?
}

/// Returns the name under which a damaged file is kept.
pub(super) fn damaged_name(file_name: &str) -> String {
    format!("damaged-{file_name}")
}

/// Returns the name under which a file of a lost identity is kept.
pub(super) fn foreign_name(file_name: &str) -> String {
    format!("foreign-{file_name}")
}

/// Returns the temporary name under which a file is written before it gets its final name.
pub(super) fn temporary_name(file_name: &str) -> String {
    format!("{file_name}.aside")
}
