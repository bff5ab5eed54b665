//! The controller's data folder: one file a version, written aside, synced, renamed, its folder synced.

use crate::consensus::{PersistedState, WriteJob};
use common::identity::{ControllerId, DocumentVersion, Term, Version};
use common::seal::{digest, hex};
use common::spec::{Document, DocumentError};
use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

const RETAINED_VERSIONS: usize = 8;
const RETAINED_VOTES: usize = 2;

/// Why the data folder could not be used.
#[derive(Debug)]
pub enum DataDirectoryError {
    /// The operating system failed a step on a file.
    File(PathBuf, io::Error),
    /// A written version could not be made sense of.
    Document(DocumentError),
    /// There is no version on this disk that names its member.
    NothingToRecover,
}

impl fmt::Display for DataDirectoryError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(file, error) => write!(out, "{}: {error}", file.display()),
            Self::Document(error) => write!(out, "{error}"),
            Self::NothingToRecover => {
                write!(
                    out,
                    "no version on this disk names its member; recover from another disk"
                )
            }
        }
    }
}

impl std::error::Error for DataDirectoryError {}

impl From<DocumentError> for DataDirectoryError {
    fn from(error: DocumentError) -> Self {
        Self::Document(error)
    }
}

/// A seam at which the proving tools make a disk full, failing or slow; deployed programs leave it empty.
pub trait DiskFaultHook: Send + Sync {
    /// Comes before each file is written.
    fn before_write(&self) -> io::Result<()>;
}

/// The empty seam.
pub struct NoFaults;

impl DiskFaultHook for NoFaults {
    fn before_write(&self) -> io::Result<()> {
        Ok(())
    }
}

/// The data folder of one controller.
pub struct DataDirectory {
    directory: PathBuf,
    fault_hook: Box<dyn DiskFaultHook>,
}

/// Writes a version in which only this disk's member is left of the core; says which stamp it has.
pub fn force_single_voter(directory: &Path) -> Result<DocumentVersion, DataDirectoryError> {
    if !directory.join("identity").exists() {
        return Err(DataDirectoryError::NothingToRecover);
    }
    let data_directory = DataDirectory::open(directory)?;
    let (persisted, _) = data_directory.load(ControllerId(0))?;
    let recovered_document = persisted
        .accepted
        .as_ref()
        .and_then(|document| crate::consensus::single_voter_document(document, persisted.id))
        .ok_or(DataDirectoryError::NothingToRecover)?;
    let document_version = recovered_document.document_version;
    data_directory.write(&WriteJob::Version(recovered_document))?;
    Ok(document_version)
}

enum StoredFile {
    Vote(Term),
    Version(DocumentVersion),
}

fn vote_name(term: Term) -> String {
    format!("vote-{:016x}", term.0)
}

fn version_name(document_version: DocumentVersion) -> String {
    format!(
        "spec-{:016x}-{:016x}",
        document_version.term.0, document_version.version.0
    )
}

fn parse_file_name(file_name: &str) -> Option<StoredFile> {
    let hex_number = |text: &str| (text.len() == 16).then(|| u64::from_str_radix(text, 16).ok())?;
    if let Some(term_text) = file_name.strip_prefix("vote-") {
        return Some(StoredFile::Vote(Term(hex_number(term_text)?)));
    }
    let (term_text, version_text) = file_name.strip_prefix("spec-")?.split_once('-')?;
    let document_version = DocumentVersion {
        term: Term(hex_number(term_text)?),
        version: Version(hex_number(version_text)?),
    };
    Some(StoredFile::Version(document_version))
}

impl DataDirectory {
    /// Opens the folder, making it if need be, and proves that it can be written.
    pub fn open(directory: &Path) -> Result<Self, DataDirectoryError> {
        Self::open_with(directory, Box::new(NoFaults))
    }

    /// The same behind a seam.
    pub fn open_with(
        directory: &Path,
        fault_hook: Box<dyn DiskFaultHook>,
    ) -> Result<Self, DataDirectoryError> {
        let file_error = |error| DataDirectoryError::File(directory.to_owned(), error);
        fs::create_dir_all(directory).map_err(file_error)?;
        let data_directory = Self {
            directory: directory.to_owned(),
            fault_hook,
        };
        data_directory.write_file("writable", b"yes")?;
        Ok(data_directory)
    }

    fn write_file(&self, file_name: &str, payload: &[u8]) -> Result<(), DataDirectoryError> {
        let final_path = self.directory.join(file_name);
        let temporary_path = self.directory.join(format!("{file_name}.aside"));
        let file_error = |path: &Path| {
            let failed_path = path.to_owned();
            move |error| DataDirectoryError::File(failed_path, error)
        };
        self.fault_hook
            .before_write()
            .map_err(file_error(&final_path))?;
        let mut temporary_file = OpenOptions::new()
            .create(true)
            .write(true)
            .truncate(true)
            .open(&temporary_path)
            .map_err(file_error(&temporary_path))?;
        let mut file_bytes = hex(&digest(payload)).into_bytes();
        file_bytes.push(b'\n');
        file_bytes.extend_from_slice(payload);
        temporary_file
            .write_all(&file_bytes)
            .map_err(file_error(&temporary_path))?;
        temporary_file
            .sync_all()
            .map_err(file_error(&temporary_path))?;
        drop(temporary_file);
        fs::rename(&temporary_path, &final_path).map_err(file_error(&final_path))?;
        let directory_handle = File::open(&self.directory).map_err(file_error(&self.directory))?;
        directory_handle
            .sync_all()
            .map_err(file_error(&self.directory))
    }

    fn read_file(&self, file_name: &str) -> Option<Vec<u8>> {
        let file_bytes = fs::read(self.directory.join(file_name)).ok()?;
        let line_end = file_bytes.iter().position(|byte| *byte == b'\n')?;
        let payload = &file_bytes[line_end + 1..];
        (hex(&digest(payload)).as_bytes() == &file_bytes[..line_end]).then(|| payload.to_vec())
    }

    fn file_names(&self) -> Result<Vec<String>, DataDirectoryError> {
        let file_error = |error| DataDirectoryError::File(self.directory.clone(), error);
        let mut file_names = Vec::new();
        for entry in fs::read_dir(&self.directory).map_err(file_error)? {
            if let Ok(file_name) = entry.map_err(file_error)?.file_name().into_string() {
                file_names.push(file_name);
            }
        }
        file_names.sort();
        Ok(file_names)
    }

    /// Does one write; only when it returns is the job on disk.
    pub fn write(&self, job: &WriteJob) -> Result<(), DataDirectoryError> {
        match job {
            WriteJob::Vote { term, candidate } => {
                self.write_file(&vote_name(*term), format!("{:x}", candidate.0).as_bytes())?;
            }
            WriteJob::Version(document) => {
                self.write_file(
                    &version_name(document.document_version),
                    &document.to_bytes(),
                )?;
            }
            WriteJob::Scrub(document) => {
                self.scrub(document.as_ref())?;
                return Ok(());
            }
        }
        self.prune()
    }

    /// Reads every kept file; a damaged one is set aside and named, and the newest version mended
    /// from memory before that.
    pub fn scrub(&self, newest: Option<&Document>) -> Result<Vec<String>, DataDirectoryError> {
        let mut damaged_names = Vec::new();
        for file_name in self.file_names()? {
            if parse_file_name(&file_name).is_none() || self.read_file(&file_name).is_some() {
                continue;
            }
            let stored_path = self.directory.join(&file_name);
            let quarantine_path = self.directory.join(format!("damaged-{file_name}"));
            let file_error = |error| DataDirectoryError::File(quarantine_path.clone(), error);
            let newest_document =
                newest.filter(|document| version_name(document.document_version) == file_name);
            match newest_document {
                Some(document) => {
                    fs::copy(&stored_path, &quarantine_path).map_err(file_error)?;
                    self.write_file(&file_name, &document.to_bytes())?;
                }
                None if matches!(parse_file_name(&file_name), Some(StoredFile::Version(_))) => {
                    fs::rename(&stored_path, &quarantine_path).map_err(file_error)?;
                }
                None => {}
            }
            common::log_event!(Warn, common::events::DAMAGED_FILE_SET_ASIDE, "{file_name}");
            damaged_names.push(file_name);
        }
        Ok(damaged_names)
    }

    fn prune(&self) -> Result<(), DataDirectoryError> {
        let file_names = self.file_names()?;
        let is_vote = |name: &&String| matches!(parse_file_name(name), Some(StoredFile::Vote(_)));
        let is_version =
            |name: &&String| matches!(parse_file_name(name), Some(StoredFile::Version(_)));
        let old_votes = file_names.iter().filter(is_vote).rev().skip(RETAINED_VOTES);
        let old_versions = file_names
            .iter()
            .filter(is_version)
            .rev()
            .skip(RETAINED_VERSIONS);
        for old_name in old_votes.chain(old_versions) {
            let _ = fs::remove_file(self.directory.join(old_name));
        }
        Ok(())
    }

    /// Reads what the disk remembers; damaged files are set aside and named.
    pub fn load(
        &self,
        fresh_id: ControllerId,
    ) -> Result<(PersistedState, Vec<String>), DataDirectoryError> {
        let mut quarantined = Vec::new();
        let stored_id = self
            .read_file("identity")
            .and_then(|payload| u64::from_str_radix(std::str::from_utf8(&payload).ok()?, 16).ok());
        let mut persisted = PersistedState {
            id: stored_id.map_or(fresh_id, ControllerId),
            voted_for: None,
            accepted: None,
            unreadable_version: DocumentVersion::default(),
        };
        for file_name in self.file_names()? {
            match parse_file_name(&file_name) {
                Some(StoredFile::Vote(term)) => {
                    let candidate = self.read_file(&file_name).and_then(|payload| {
                        u64::from_str_radix(std::str::from_utf8(&payload).ok()?, 16).ok()
                    });
                    if candidate.is_none() {
                        quarantined.push(file_name);
                    }
                    persisted.voted_for = Some((term, ControllerId(candidate.unwrap_or(0))));
                }
                Some(StoredFile::Version(document_version)) => {
                    let document = self
                        .read_file(&file_name)
                        .and_then(|payload| Document::from_bytes(&payload).ok())
                        .filter(|document| document.document_version == document_version);
                    match document {
                        Some(document) => persisted.accepted = Some(document),
                        None => {
                            quarantined.push(file_name);
                            persisted.unreadable_version =
                                persisted.unreadable_version.max(document_version);
                        }
                    }
                }
                None => {}
            }
        }
        persisted.unreadable_version = persisted
            .unreadable_version
            .max(self.stored_unreadable_version().unwrap_or_default());
        let accepted_document_version = persisted
            .accepted
            .as_ref()
            .map_or(DocumentVersion::default(), |document| {
                document.document_version
            });
        if persisted.unreadable_version > accepted_document_version {
            self.write_file(
                "distrusted",
                persisted.unreadable_version.to_string().as_bytes(),
            )?;
        }
        for damaged_name in &quarantined {
            self.quarantine(damaged_name)?;
        }
        if stored_id.is_none() {
            if persisted.accepted.is_some() || persisted.voted_for.is_some() {
                persisted.voted_for = None;
                persisted.accepted = None;
                self.quarantine_all_files()?;
                let _ = fs::remove_file(self.directory.join("first"));
            }
            self.write_file("identity", format!("{:x}", persisted.id.0).as_bytes())?;
        }
        Ok((persisted, quarantined))
    }

    /// Keeps a damaged file under another name. What its loss forbids must be on disk before: a version
    /// is distrusted, and a vote counts as given to nobody.
    fn quarantine(&self, damaged_name: &str) -> Result<(), DataDirectoryError> {
        let damaged_path = self.directory.join(damaged_name);
        let quarantine_path = self.directory.join(format!("damaged-{damaged_name}"));
        let file_error = |error| DataDirectoryError::File(damaged_path.clone(), error);
        if matches!(parse_file_name(damaged_name), Some(StoredFile::Vote(_))) {
            fs::copy(&damaged_path, &quarantine_path).map_err(file_error)?;
            self.write_file(damaged_name, b"0")
        } else {
            fs::rename(&damaged_path, &quarantine_path).map_err(file_error)
        }
    }

    /// Notes on a disk without an identity that the whole system starts for the first time. On a disk
    /// that has one nothing is noted.
    pub fn record_first_start(&self) -> Result<(), DataDirectoryError> {
        if self.directory.join("identity").exists() {
            return Ok(());
        }
        self.write_file("first", b"yes")
    }

    /// Whether this disk began with the whole system's first start.
    pub fn is_first_start(&self) -> bool {
        self.read_file("first").is_some()
    }

    fn stored_unreadable_version(&self) -> Option<DocumentVersion> {
        let payload = self.read_file("distrusted")?;
        let (term_text, version_text) = std::str::from_utf8(&payload).ok()?.split_once('/')?;
        Some(DocumentVersion {
            term: Term(term_text.parse().ok()?),
            version: Version(version_text.parse().ok()?),
        })
    }

    fn quarantine_all_files(&self) -> Result<(), DataDirectoryError> {
        for file_name in self.file_names()? {
            if parse_file_name(&file_name).is_some() {
                let stored_path = self.directory.join(&file_name);
                fs::rename(
                    &stored_path,
                    self.directory.join(format!("foreign-{file_name}")),
                )
                .map_err(|error| DataDirectoryError::File(stored_path, error))?;
            }
        }
        Ok(())
    }
}
