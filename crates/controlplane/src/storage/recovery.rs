//! Reads a controller's state from its data directory at start, and handles damage found there.

use super::directory::DataDirectory;
use super::error::DataDirectoryError;
use super::file_names::{self, StoredFile};
use crate::consensus::{PersistedState, WriteJob, single_voter_document};
use common::identity::{ControllerId, DocumentVersion, Term, Version};
use common::spec::Document;
use std::fs;
use std::path::Path;

/// The candidate recorded for a vote that became unreadable. It is no controller's identity, so the vote
/// is never sent to any candidate again.
const UNREADABLE_CANDIDATE: ControllerId = ControllerId(0);

/// The state loaded from a data directory at start.
#[derive(Clone, Debug)]
pub struct LoadedState {
    /// The persistent state.
    pub persisted: PersistedState,
    /// The original names of the damaged files, which are now kept under other names.
    pub quarantined: Vec<String>,
}

/// Writes a version in which the controller of this disk is the only voter, and returns its document
/// version. Meant for operators whose control quorum has permanently lost its majority. The controller
/// must be stopped.
///
/// # Errors
///
/// [`DataDirectoryError::NothingToRecover`] if the directory has no identity or its newest version does
/// not list that controller as a voter, and [`DataDirectoryError::File`] if reading or writing fails.
pub fn force_single_voter(directory: &Path) -> Result<DocumentVersion, DataDirectoryError> {
    if !directory.join(file_names::IDENTITY).exists() {
        return Err(DataDirectoryError::NothingToRecover);
    }
    let data_directory = DataDirectory::open(directory)?;
    let persisted = data_directory.load(ControllerId(0))?.persisted;
    let recovered_document = persisted
        .accepted
        .as_ref()
        .and_then(|document| single_voter_document(document, persisted.id))
        .ok_or(DataDirectoryError::NothingToRecover)?;
    let document_version = recovered_document.document_version;
    data_directory.write(&WriteJob::Version(recovered_document))?;
    Ok(document_version)
}

impl DataDirectory {
    /// Reads the persistent state. An empty directory gets the identity `fresh_id`. Damage is recorded,
    /// and damaged files are kept under other names.
    ///
    /// If the identity is not readable, the owner of the votes and versions is unknown: they are kept
    /// under other names, and the controller starts without them, with the identity `fresh_id`.
    ///
    /// # Errors
    ///
    /// [`DataDirectoryError::File`] if the directory could not be read or damage could not be recorded.
    /// Damage recorded before the error stays recorded, and the next call finds the rest again.
    pub fn load(&self, fresh_id: ControllerId) -> Result<LoadedState, DataDirectoryError> {
        let stored_id = self.read_id(file_names::IDENTITY);
        let mut persisted = PersistedState::empty(stored_id.unwrap_or(fresh_id));
        let damaged_names = self.read_stored_files(&mut persisted)?;
        self.record_unreadable_version(&mut persisted)?;
        for damaged_name in &damaged_names {
            self.quarantine(damaged_name)?;
        }
        if stored_id.is_none() {
            self.write_identity(&mut persisted)?;
        }
        Ok(LoadedState {
            persisted,
            quarantined: damaged_names,
        })
    }

    /// Reads votes and versions from old to new and returns the names of the damaged files.
    fn read_stored_files(
        &self,
        persisted: &mut PersistedState,
    ) -> Result<Vec<String>, DataDirectoryError> {
        let mut damaged_names = Vec::new();
        for file_name in self.file_names()? {
            let is_readable = match StoredFile::parse(&file_name) {
                Some(StoredFile::Vote(term)) => {
                    let candidate = self.read_id(&file_name);
                    persisted.voted_for = Some((term, candidate.unwrap_or(UNREADABLE_CANDIDATE)));
                    candidate.is_some()
                }
                Some(StoredFile::Version(document_version)) => {
                    let document = self.read_version(&file_name, document_version);
                    let is_readable = document.is_some();
                    if is_readable {
                        persisted.accepted = document;
                    } else {
                        persisted.unreadable_version =
                            persisted.unreadable_version.max(document_version);
                    }
                    is_readable
                }
                None => true,
            };
            if !is_readable {
                damaged_names.push(file_name);
            }
        }
        Ok(damaged_names)
    }

    fn read_id(&self, file_name: &str) -> Option<ControllerId> {
        let payload = self.read_file(file_name)?;
        let id = u64::from_str_radix(std::str::from_utf8(&payload).ok()?, 16).ok()?;
        Some(ControllerId(id))
    }

    fn read_version(&self, file_name: &str, document_version: DocumentVersion) -> Option<Document> {
        Document::from_bytes(&self.read_file(file_name)?)
            .ok()
            .filter(|document| document.document_version == document_version)
    }

    /// Takes the unreadable version recorded by earlier starts into account and, if the unreadable
    /// version is newer than the accepted one, records it on disk. This must happen before the damaged
    /// file is renamed.
    fn record_unreadable_version(
        &self,
        persisted: &mut PersistedState,
    ) -> Result<(), DataDirectoryError> {
        let recorded = self.recorded_unreadable_version().unwrap_or_default();
        persisted.unreadable_version = persisted.unreadable_version.max(recorded);
        let accepted_version = persisted
            .accepted
            .as_ref()
            .map_or(DocumentVersion::default(), |document| {
                document.document_version
            });
        if persisted.unreadable_version > accepted_version {
            let payload = persisted.unreadable_version.to_string();
            self.write_file(file_names::UNREADABLE_VERSION, payload.as_bytes())?;
        }
        Ok(())
    }

    fn recorded_unreadable_version(&self) -> Option<DocumentVersion> {
        let payload = self.read_file(file_names::UNREADABLE_VERSION)?;
        let (term_text, version_text) = std::str::from_utf8(&payload).ok()?.split_once('/')?;
        Some(DocumentVersion {
            term: Term(term_text.parse().ok()?),
            version: Version(version_text.parse().ok()?),
        })
    }

    /// Keeps a damaged file under another name. A damaged vote is replaced by a vote for no controller,
    /// so that this node does not vote again in the same term.
    pub(super) fn quarantine(&self, damaged_name: &str) -> Result<(), DataDirectoryError> {
        let damaged_path = self.path_of(damaged_name);
        let quarantine_path = self.path_of(&file_names::damaged_name(damaged_name));
        if StoredFile::parse(damaged_name).is_some_and(StoredFile::is_vote) {
            fs::copy(&damaged_path, &quarantine_path)
                .map_err(DataDirectoryError::at(&damaged_path))?;
            let payload = format!("{:x}", UNREADABLE_CANDIDATE.0);
            self.write_file(damaged_name, payload.as_bytes())
        } else {
            fs::rename(&damaged_path, &quarantine_path)
                .map_err(DataDirectoryError::at(&damaged_path))
        }
    }

    /// Writes the identity of a directory that has none. Votes and versions found there belong to
    /// another identity and are not used.
    fn write_identity(&self, persisted: &mut PersistedState) -> Result<(), DataDirectoryError> {
        if persisted.accepted.is_some() || persisted.voted_for.is_some() {
            persisted.voted_for = None;
            persisted.accepted = None;
            self.rename_foreign_files()?;
            let _ = fs::remove_file(self.path_of(file_names::FIRST_START));
        }
        let payload = format!("{:x}", persisted.id.0);
        self.write_file(file_names::IDENTITY, payload.as_bytes())
    }

    fn rename_foreign_files(&self) -> Result<(), DataDirectoryError> {
        for file_name in self.file_names()? {
            if StoredFile::parse(&file_name).is_some() {
                let stored_path = self.path_of(&file_name);
                let foreign_path = self.path_of(&file_names::foreign_name(&file_name));
                fs::rename(&stored_path, foreign_path)
                    .map_err(DataDirectoryError::at(&stored_path))?;
            }
        }
        Ok(())
    }

    /// Records the first start of the system if the disk has no identity yet; otherwise does nothing.
    ///
    /// # Errors
    ///
    /// [`DataDirectoryError::File`] if the record could not be written.
    pub fn record_first_start(&self) -> Result<(), DataDirectoryError> {
        if self.path_of(file_names::IDENTITY).exists() {
            return Ok(());
        }
        self.write_file(file_names::FIRST_START, b"yes")
    }

    /// Whether this disk is recorded to have taken part in the first start of the system. The record is
    /// removed when a disk with votes or versions loses its identity.
    pub fn is_first_start(&self) -> bool {
        self.read_file(file_names::FIRST_START).is_some()
    }
}
