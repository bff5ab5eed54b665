//! Reads and writes the files of the data directory.

use super::error::DataDirectoryError;
use super::fault_hook::{DiskFaultHook, NoFaults};
use super::file_names::{self, StoredFile};
use crate::consensus::WriteJob;
use common::seal::{digest, hex};
use common::spec::Document;
use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

/// The number of versions retained; more than one, because the newest may become unreadable.
const RETAINED_VERSIONS: usize = 8;
const RETAINED_VOTES: usize = 2;

/// The data directory of one controller.
pub struct DataDirectory {
    path: PathBuf,
    fault_hook: Box<dyn DiskFaultHook>,
}

impl DataDirectory {
    /// Opens the directory, creates it if it does not exist, and checks that it is writable. If writes
    /// fail only temporarily, as on a full disk, and the directory holds the controller's identity,
    /// opening it succeeds, so that the controller can start.
    ///
    /// # Errors
    ///
    /// [`DataDirectoryError::File`] with the path that could not be created or written.
    pub fn open(path: &Path) -> Result<Self, DataDirectoryError> {
        Self::open_with(path, Box::new(NoFaults))
    }

    /// Opens the directory as [`Self::open`] does, with a hook that may make writes fail.
    ///
    /// # Errors
    ///
    /// [`DataDirectoryError::File`] with the path that could not be created or written.
    pub fn open_with(
        path: &Path,
        fault_hook: Box<dyn DiskFaultHook>,
    ) -> Result<Self, DataDirectoryError> {
        fs::create_dir_all(path).map_err(DataDirectoryError::at(path))?;
        let data_directory = Self {
            path: path.to_owned(),
            fault_hook,
        };
        match data_directory.write_file(file_names::WRITE_PROBE, b"yes") {
            Err(error) if error.is_permanent() || !data_directory.has_identity() => Err(error),
            Err(error) => {
                common::log_event!(Error, common::events::DISK_WRITE_FAILED, "{error}");
                Ok(data_directory)
            }
            Ok(()) => Ok(data_directory),
        }
    }

    /// Whether the directory contains a readable identity.
    fn has_identity(&self) -> bool {
        self.read_file(file_names::IDENTITY).is_some()
    }

    /// Carries out one write job. When it returns `Ok`, the data is on disk.
    ///
    /// # Errors
    ///
    /// [`DataDirectoryError::File`]; the data may or may not be on disk then.
    pub fn write(&self, job: &WriteJob) -> Result<(), DataDirectoryError> {
        match job {
            WriteJob::Vote { term, candidate } => {
                let payload = format!("{:x}", candidate.0);
                self.write_file(&StoredFile::Vote(*term).name(), payload.as_bytes())?;
            }
            WriteJob::Version(document) => {
                let stored_file = StoredFile::Version(document.document_version);
                self.write_file(&stored_file.name(), &document.to_bytes())?;
            }
            WriteJob::Scrub(document) => {
                self.scrub(document.as_ref())?;
                return Ok(());
            }
        }
        self.prune()
    }

    /// Reads every stored file again and returns the names of the damaged ones. Each damaged file is
    /// kept under another name. The newest version is rewritten from memory, and a vote is replaced by
    /// one for no controller, as at start.
    ///
    /// # Errors
    ///
    /// [`DataDirectoryError::File`] if a damaged file could not be replaced or renamed.
    pub fn scrub(&self, newest: Option<&Document>) -> Result<Vec<String>, DataDirectoryError> {
        let mut damaged_names = Vec::new();
        for file_name in self.file_names()? {
            let Some(stored_file) = StoredFile::parse(&file_name) else {
                continue;
            };
            if self.read_file(&file_name).is_some() {
                continue;
            }
            let newest_document = newest.filter(|document| {
                StoredFile::Version(document.document_version).name() == file_name
            });
            self.repair(&file_name, stored_file, newest_document)?;
            common::log_event!(Warn, common::events::DAMAGED_FILE_SET_ASIDE, "{file_name}");
            damaged_names.push(file_name);
        }
        Ok(damaged_names)
    }

    fn repair(
        &self,
        file_name: &str,
        stored_file: StoredFile,
        newest_document: Option<&Document>,
    ) -> Result<(), DataDirectoryError> {
        let stored_path = self.path_of(file_name);
        let quarantine_path = self.path_of(&file_names::damaged_name(file_name));
        if stored_file.is_vote() {
            return self.quarantine(file_name);
        }
        if let Some(document) = newest_document {
            fs::copy(&stored_path, &quarantine_path)
                .map_err(DataDirectoryError::at(&quarantine_path))?;
            self.write_file(file_name, &document.to_bytes())?;
        } else {
            fs::rename(&stored_path, &quarantine_path)
                .map_err(DataDirectoryError::at(&quarantine_path))?;
        }
        Ok(())
    }

    /// Removes all but the newest versions and votes. Files that cannot be removed remain until the next
    /// call.
    fn prune(&self) -> Result<(), DataDirectoryError> {
        let file_names = self.file_names()?;
        let is_stored = |is_vote: bool| {
            move |name: &&String| {
                StoredFile::parse(name).is_some_and(|stored_file| stored_file.is_vote() == is_vote)
            }
        };
        let votes = file_names.iter().filter(is_stored(true));
        let versions = file_names.iter().filter(is_stored(false));
        let old_votes = votes.rev().skip(RETAINED_VOTES);
        let old_versions = versions.rev().skip(RETAINED_VERSIONS);
        for old_name in old_votes.chain(old_versions) {
            let _ = fs::remove_file(self.path_of(old_name));
        }
        Ok(())
    }

    pub(super) fn path_of(&self, file_name: &str) -> PathBuf {
        self.path.join(file_name)
    }

    /// Writes a file with its digest atomically and durably.
    pub(super) fn write_file(
        &self,
        file_name: &str,
        payload: &[u8],
    ) -> Result<(), DataDirectoryError> {
        let final_path = self.path_of(file_name);
        let temporary_path = self.path_of(&file_names::temporary_name(file_name));
        self.fault_hook
            .before_write()
            .map_err(DataDirectoryError::at(&final_path))?;
        let mut temporary_file = OpenOptions::new()
            .create(true)
            .write(true)
            .truncate(true)
            .open(&temporary_path)
            .map_err(DataDirectoryError::at(&temporary_path))?;
        let mut file_bytes = hex(&digest(payload)).into_bytes();
        file_bytes.push(b'\n');
        file_bytes.extend_from_slice(payload);
        temporary_file
            .write_all(&file_bytes)
            .map_err(DataDirectoryError::at(&temporary_path))?;
        temporary_file
            .sync_all()
            .map_err(DataDirectoryError::at(&temporary_path))?;
        drop(temporary_file);
        fs::rename(&temporary_path, &final_path).map_err(DataDirectoryError::at(&final_path))?;
        File::open(&self.path)
            .and_then(|directory| directory.sync_all())
            .map_err(DataDirectoryError::at(&self.path))
    }

    /// Returns the payload of a file, or `None` if it cannot be read or its digest does not match.
    pub(super) fn read_file(&self, file_name: &str) -> Option<Vec<u8>> {
        let file_bytes = fs::read(self.path_of(file_name)).ok()?;
        let line_end = file_bytes.iter().position(|byte| *byte == b'\n')?;
        let payload = &file_bytes[line_end + 1..];
        (hex(&digest(payload)).as_bytes() == &file_bytes[..line_end]).then(|| payload.to_vec())
    }

    /// Returns the sorted names of all files. In this order both votes and versions go from old to new.
    pub(super) fn file_names(&self) -> Result<Vec<String>, DataDirectoryError> {
        let mut file_names = Vec::new();
        for entry in fs::read_dir(&self.path).map_err(DataDirectoryError::at(&self.path))? {
            let entry = entry.map_err(DataDirectoryError::at(&self.path))?;
            if let Ok(file_name) = entry.file_name().into_string() {
                file_names.push(file_name);
            }
        }
        file_names.sort();
        Ok(file_names)
    }
}
