//! The controller's data folder: one file a version, written aside, synced, renamed, its folder synced.

use crate::core::{Recalled, WriteJob};
use common::identity::{ControllerId, Serial, Stamp, Term};
use common::seal::{digest, hex};
use common::spec::{Document, DocumentFault};
use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

const KEPT_VERSIONS: usize = 8;
const KEPT_VOTES: usize = 2;

/// Why the data folder could not be used.
#[derive(Debug)]
pub enum ShelfFault {
    /// The operating system failed a step on a file.
    File(PathBuf, io::Error),
    /// A written version could not be made sense of.
    Document(DocumentFault),
    /// There is no version on this disk that names its member.
    NothingToRecover,
}

impl fmt::Display for ShelfFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(file, fault) => write!(out, "{}: {fault}", file.display()),
            Self::Document(fault) => write!(out, "{fault}"),
            Self::NothingToRecover => {
                write!(out, "no version on this disk names its member; recover from another disk")
            }
        }
    }
}

impl std::error::Error for ShelfFault {}

impl From<DocumentFault> for ShelfFault {
    fn from(fault: DocumentFault) -> Self {
        Self::Document(fault)
    }
}

/// A seam at which the proving tools make a disk full, failing or slow; deployed programs leave it empty.
pub trait Seam: Send + Sync {
    /// Comes before each file is written.
    fn before_write(&self) -> io::Result<()>;
}

/// The empty seam.
pub struct Sound;

impl Seam for Sound {
    fn before_write(&self) -> io::Result<()> {
        Ok(())
    }
}

/// The data folder of one controller.
pub struct Shelf {
    folder: PathBuf,
    seam: Box<dyn Seam>,
}

/// Writes a version in which only this disk's member is left of the core; says which stamp it has.
pub fn leave_alone(folder: &Path) -> Result<Stamp, ShelfFault> {
    if !folder.join("identity").exists() {
        return Err(ShelfFault::NothingToRecover);
    }
    let shelf = Shelf::open(folder)?;
    let (recalled, _) = shelf.recall(ControllerId(0))?;
    let alone = recalled
        .accepted
        .as_ref()
        .and_then(|document| crate::core::left_alone(document, recalled.id))
        .ok_or(ShelfFault::NothingToRecover)?;
    let stamp = alone.stamp;
    shelf.write(&WriteJob::Version(alone))?;
    Ok(stamp)
}

enum Kept {
    Vote(Term),
    Version(Stamp),
}

fn vote_name(term: Term) -> String {
    format!("vote-{:016x}", term.0)
}

fn version_name(stamp: Stamp) -> String {
    format!("spec-{:016x}-{:016x}", stamp.term.0, stamp.serial.0)
}

fn kept_of(file_name: &str) -> Option<Kept> {
    let hex_number = |text: &str| (text.len() == 16).then(|| u64::from_str_radix(text, 16).ok())?;
    if let Some(term_text) = file_name.strip_prefix("vote-") {
        return Some(Kept::Vote(Term(hex_number(term_text)?)));
    }
    let (term_text, serial_text) = file_name.strip_prefix("spec-")?.split_once('-')?;
    let stamp =
        Stamp { term: Term(hex_number(term_text)?), serial: Serial(hex_number(serial_text)?) };
    Some(Kept::Version(stamp))
}

impl Shelf {
    /// Opens the folder, making it if need be, and proves that it can be written.
    pub fn open(folder: &Path) -> Result<Self, ShelfFault> {
        Self::open_with(folder, Box::new(Sound))
    }

    /// The same behind a seam.
    pub fn open_with(folder: &Path, seam: Box<dyn Seam>) -> Result<Self, ShelfFault> {
        let at = |fault| ShelfFault::File(folder.to_owned(), fault);
        fs::create_dir_all(folder).map_err(at)?;
        let shelf = Self { folder: folder.to_owned(), seam };
        shelf.write_file("writable", b"yes")?;
        Ok(shelf)
    }

    fn write_file(&self, file_name: &str, payload: &[u8]) -> Result<(), ShelfFault> {
        let final_path = self.folder.join(file_name);
        let aside_path = self.folder.join(format!("{file_name}.aside"));
        let at = |path: &Path| {
            let failed_path = path.to_owned();
            move |fault| ShelfFault::File(failed_path, fault)
        };
        self.seam.before_write().map_err(at(&final_path))?;
        let mut aside_file = OpenOptions::new()
            .create(true)
            .write(true)
            .truncate(true)
            .open(&aside_path)
            .map_err(at(&aside_path))?;
        let mut file_bytes = hex(&digest(payload)).into_bytes();
        file_bytes.push(b'\n');
        file_bytes.extend_from_slice(payload);
        aside_file.write_all(&file_bytes).map_err(at(&aside_path))?;
        aside_file.sync_all().map_err(at(&aside_path))?;
        drop(aside_file);
        fs::rename(&aside_path, &final_path).map_err(at(&final_path))?;
        let folder_file = File::open(&self.folder).map_err(at(&self.folder))?;
        folder_file.sync_all().map_err(at(&self.folder))
    }

    fn read_file(&self, file_name: &str) -> Option<Vec<u8>> {
        let file_bytes = fs::read(self.folder.join(file_name)).ok()?;
        let line_end = file_bytes.iter().position(|byte| *byte == b'\n')?;
        let payload = &file_bytes[line_end + 1..];
        (hex(&digest(payload)).as_bytes() == &file_bytes[..line_end]).then(|| payload.to_vec())
    }

    fn file_names(&self) -> Result<Vec<String>, ShelfFault> {
        let at = |fault| ShelfFault::File(self.folder.clone(), fault);
        let mut file_names = Vec::new();
        for listed in fs::read_dir(&self.folder).map_err(at)? {
            if let Ok(file_name) = listed.map_err(at)?.file_name().into_string() {
                file_names.push(file_name);
            }
        }
        file_names.sort();
        Ok(file_names)
    }

    /// Does one write; only when it returns is the job on disk.
    pub fn write(&self, job: &WriteJob) -> Result<(), ShelfFault> {
        match job {
            WriteJob::Vote { term, candidate } => {
                self.write_file(&vote_name(*term), format!("{:x}", candidate.0).as_bytes())?;
            }
            WriteJob::Version(document) => {
                self.write_file(&version_name(document.stamp), &document.to_bytes())?;
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
    pub fn scrub(&self, newest: Option<&Document>) -> Result<Vec<String>, ShelfFault> {
        let mut damaged_names = Vec::new();
        for file_name in self.file_names()? {
            if kept_of(&file_name).is_none() || self.read_file(&file_name).is_some() {
                continue;
            }
            let kept_path = self.folder.join(&file_name);
            let aside_path = self.folder.join(format!("damaged-{file_name}"));
            let at = |fault| ShelfFault::File(aside_path.clone(), fault);
            let newest_document =
                newest.filter(|document| version_name(document.stamp) == file_name);
            match newest_document {
                Some(document) => {
                    fs::copy(&kept_path, &aside_path).map_err(at)?;
                    self.write_file(&file_name, &document.to_bytes())?;
                }
                None if matches!(kept_of(&file_name), Some(Kept::Version(_))) => {
                    fs::rename(&kept_path, &aside_path).map_err(at)?;
                }
                None => {}
            }
            common::note!(Warn, common::events::FILE_SET_ASIDE, "{file_name}");
            damaged_names.push(file_name);
        }
        Ok(damaged_names)
    }

    fn prune(&self) -> Result<(), ShelfFault> {
        let file_names = self.file_names()?;
        let is_vote = |name: &&String| matches!(kept_of(name), Some(Kept::Vote(_)));
        let is_version = |name: &&String| matches!(kept_of(name), Some(Kept::Version(_)));
        let old_votes = file_names.iter().filter(is_vote).rev().skip(KEPT_VOTES);
        let old_versions = file_names.iter().filter(is_version).rev().skip(KEPT_VERSIONS);
        for old_name in old_votes.chain(old_versions) {
            let _ = fs::remove_file(self.folder.join(old_name));
        }
        Ok(())
    }

    /// Reads what the disk remembers; damaged files are set aside and named.
    pub fn recall(&self, fresh_id: ControllerId) -> Result<(Recalled, Vec<String>), ShelfFault> {
        let mut set_aside = Vec::new();
        let kept_id = self
            .read_file("identity")
            .and_then(|payload| u64::from_str_radix(std::str::from_utf8(&payload).ok()?, 16).ok());
        let mut recalled = Recalled {
            id: kept_id.map_or(fresh_id, ControllerId),
            voted: None,
            accepted: None,
            distrusted: Stamp::default(),
        };
        for file_name in self.file_names()? {
            match kept_of(&file_name) {
                Some(Kept::Vote(term)) => {
                    let candidate = self.read_file(&file_name).and_then(|payload| {
                        u64::from_str_radix(std::str::from_utf8(&payload).ok()?, 16).ok()
                    });
                    if candidate.is_none() {
                        set_aside.push(file_name);
                    }
                    recalled.voted = Some((term, ControllerId(candidate.unwrap_or(0))));
                }
                Some(Kept::Version(stamp)) => {
                    let document = self
                        .read_file(&file_name)
                        .and_then(|payload| Document::from_bytes(&payload).ok())
                        .filter(|document| document.stamp == stamp);
                    match document {
                        Some(document) => recalled.accepted = Some(document),
                        None => {
                            set_aside.push(file_name);
                            recalled.distrusted = recalled.distrusted.max(stamp);
                        }
                    }
                }
                None => {}
            }
        }
        recalled.distrusted = recalled.distrusted.max(self.kept_distrust().unwrap_or_default());
        let accepted_stamp = recalled.accepted.as_ref().map_or(Stamp::default(), |held| held.stamp);
        if recalled.distrusted > accepted_stamp {
            self.write_file("distrusted", recalled.distrusted.to_string().as_bytes())?;
        }
        for damaged_name in &set_aside {
            self.set_aside(damaged_name)?;
        }
        if kept_id.is_none() {
            if recalled.accepted.is_some() || recalled.voted.is_some() {
                recalled.voted = None;
                recalled.accepted = None;
                self.set_all_aside()?;
                let _ = fs::remove_file(self.folder.join("first"));
            }
            self.write_file("identity", format!("{:x}", recalled.id.0).as_bytes())?;
        }
        Ok((recalled, set_aside))
    }

    /// Keeps a damaged file under another name. What its loss forbids must be on disk before: a version
    /// is distrusted, and a vote counts as given to nobody.
    fn set_aside(&self, damaged_name: &str) -> Result<(), ShelfFault> {
        let damaged_path = self.folder.join(damaged_name);
        let aside_path = self.folder.join(format!("damaged-{damaged_name}"));
        let at = |fault| ShelfFault::File(damaged_path.clone(), fault);
        if matches!(kept_of(damaged_name), Some(Kept::Vote(_))) {
            fs::copy(&damaged_path, &aside_path).map_err(at)?;
            self.write_file(damaged_name, b"0")
        } else {
            fs::rename(&damaged_path, &aside_path).map_err(at)
        }
    }

    /// Notes on a disk without an identity that the whole system starts for the first time. On a disk
    /// that has one nothing is noted.
    pub fn note_first_start(&self) -> Result<(), ShelfFault> {
        if self.folder.join("identity").exists() {
            return Ok(());
        }
        self.write_file("first", b"yes")
    }

    /// Whether this disk began with the whole system's first start.
    pub fn is_first_start(&self) -> bool {
        self.read_file("first").is_some()
    }

    fn kept_distrust(&self) -> Option<Stamp> {
        let payload = self.read_file("distrusted")?;
        let (term_text, serial_text) = std::str::from_utf8(&payload).ok()?.split_once('/')?;
        Some(Stamp {
            term: Term(term_text.parse().ok()?),
            serial: Serial(serial_text.parse().ok()?),
        })
    }

    fn set_all_aside(&self) -> Result<(), ShelfFault> {
        for file_name in self.file_names()? {
            if kept_of(&file_name).is_some() {
                let kept_path = self.folder.join(&file_name);
                fs::rename(&kept_path, self.folder.join(format!("foreign-{file_name}")))
                    .map_err(|fault| ShelfFault::File(kept_path, fault))?;
            }
        }
        Ok(())
    }
}
