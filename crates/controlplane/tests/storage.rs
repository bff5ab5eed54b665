//! The data directory after crashes, file damage and failed writes.

use common::frames::SocketAddress;
use common::identity::{ChangeId, ControllerId, DocumentVersion, Term, Zone};
use common::spec::{Document, Voter};
use controlplane::consensus::{PersistedState, WriteJob};
use controlplane::storage::{DataDirectory, DiskFaultHook, LoadedState};
use googletest::prelude::*;
use std::fs;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};

struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("rudder-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        Self(path)
    }

    fn newest(&self, prefix: &str) -> PathBuf {
        let mut names: Vec<PathBuf> = fs::read_dir(&self.0)
            .expect("a directory")
            .map(|entry| entry.expect("an entry").path())
            .filter(|path| {
                path.file_name()
                    .and_then(|name| name.to_str())
                    .is_some_and(|name| name.starts_with(prefix))
            })
            .collect();
        names.sort();
        names.pop().expect("a file")
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn document_versions(count: u64) -> Vec<Document> {
    let voter = Voter {
        id: ControllerId(7),
        address: SocketAddress::UNSPECIFIED,
        zone: "here".into(),
    };
    let mut stored_versions = vec![Document::initial(vec![voter])];
    for number in 1..count {
        let last = stored_versions.last().expect("one");
        let zone = Zone::from(format!("l{number}"));
        stored_versions.push(last.with_zone(zone, true, ChangeId::from(format!("c{number}"))));
    }
    stored_versions
}

fn fill_directory(directory: &TempDirectory, count: u64) -> Vec<Document> {
    let data_directory = DataDirectory::open(&directory.0).expect("a data directory");
    data_directory.load(ControllerId(7)).expect("loaded");
    let stored_versions = document_versions(count);
    for document in &stored_versions {
        data_directory
            .write(&WriteJob::Version(document.clone()))
            .expect("written");
    }
    data_directory
        .write(&WriteJob::Vote {
            term: Term(4),
            candidate: ControllerId(9),
        })
        .expect("written");
    stored_versions
}

/// Creates a directory with this many versions and one vote.
fn filled_directory(name: &str, count: u64) -> (TempDirectory, Vec<Document>) {
    let directory = TempDirectory::new(name);
    let stored_versions = fill_directory(&directory, count);
    (directory, stored_versions)
}

/// Loads the directory as a controller does at start; returns its state and the names of the quarantined
/// files.
fn start(directory: &TempDirectory) -> Result<(PersistedState, Vec<String>)> {
    let LoadedState {
        persisted,
        quarantined,
    } = DataDirectory::open(&directory.0)?.load(ControllerId(1))?;
    Ok((persisted, quarantined))
}

/// Loads the directory and checks which version is recorded as unreadable.
fn check_unreadable_version(
    directory: &TempDirectory,
    expected: DocumentVersion,
) -> Result<PersistedState> {
    let (persisted, _) = start(directory)?;
    verify_that!(persisted.unreadable_version, eq(expected))?;
    Ok(persisted)
}

#[gtest]
fn the_newest_version_and_vote_are_loaded_and_old_ones_are_removed() -> Result<()> {
    let (directory, stored_versions) = filled_directory("newest", 30);
    let (persisted, quarantined) = start(&directory)?;
    verify_that!(persisted.id, eq(ControllerId(7)))?;
    verify_that!(persisted.voted_for, some(eq((Term(4), ControllerId(9)))))?;
    verify_that!(
        persisted.accepted.as_ref() == stored_versions.last(),
        eq(true)
    )?;
    verify_that!(quarantined.is_empty(), eq(true))?;
    let file_count = fs::read_dir(&directory.0)?.count();
    verify_that!(file_count, le(8 + 2 + 3))
}

#[gtest]
fn a_write_interrupted_at_any_byte_leaves_the_previous_version() -> Result<()> {
    let (directory, stored_versions) = filled_directory("cut", 3);
    let full_bytes = fs::read(directory.newest("spec-"))?;
    let temporary_path = directory
        .0
        .join(format!("spec-{:016x}-{:016x}.aside", 9, 9));
    for cut in (0..full_bytes.len()).step_by(37) {
        fs::write(&temporary_path, &full_bytes[..cut])?;
        let (persisted, quarantined) = start(&directory)?;
        verify_that!(
            persisted.accepted.as_ref() == stored_versions.last(),
            eq(true)
        )?;
        verify_that!(quarantined.is_empty(), eq(true))?;
        verify_that!(persisted.unreadable_version, eq(DocumentVersion::default()))?;
    }
    Ok(())
}

#[gtest]
fn a_damaged_version_is_quarantined_and_the_loss_is_recorded() -> Result<()> {
    let (directory, stored_versions) = filled_directory("damaged", 4);
    let damaged_path = directory.newest("spec-");
    let mut damaged_bytes = fs::read(&damaged_path)?;
    let middle = damaged_bytes.len() / 2;
    damaged_bytes[middle] ^= 1;
    fs::write(&damaged_path, damaged_bytes)?;
    for _ in 0..2 {
        let persisted = check_unreadable_version(&directory, stored_versions[3].document_version)?;
        verify_that!(
            persisted.accepted.as_ref() == stored_versions.get(2),
            eq(true)
        )?;
    }
    Ok(())
}

#[gtest]
fn a_damaged_vote_still_counts_as_granted() -> Result<()> {
    let (directory, _) = filled_directory("vote", 2);
    fs::write(directory.newest("vote-"), "")?;
    let (persisted, quarantined) = start(&directory)?;
    verify_that!(quarantined.len(), eq(1))?;
    verify_that!(persisted.voted_for, some(eq((Term(4), ControllerId(0)))))
}

#[gtest]
fn an_empty_directory_gets_a_new_identity() -> Result<()> {
    let directory = TempDirectory::new("empty");
    let persisted = DataDirectory::open(&directory.0)?
        .load(ControllerId(42))?
        .persisted;
    verify_that!(persisted.id, eq(ControllerId(42)))?;
    verify_that!(persisted.accepted.is_none(), eq(true))?;
    let reopened = DataDirectory::open(&directory.0)?
        .load(ControllerId(43))?
        .persisted;
    verify_that!(reopened.id, eq(ControllerId(42)))
}

#[gtest]
fn a_damaged_newest_version_is_rewritten_from_memory_while_running() -> Result<()> {
    let (directory, stored_versions) = filled_directory("scrub", 4);
    let data_directory = DataDirectory::open(&directory.0)?;
    verify_that!(data_directory.scrub(stored_versions.last())?, is_empty())?;
    fs::write(directory.newest("spec-"), "rot")?;
    verify_that!(data_directory.scrub(stored_versions.last())?.len(), eq(1))?;
    let LoadedState {
        persisted,
        quarantined,
    } = data_directory.load(ControllerId(1))?;
    verify_that!(
        persisted.accepted.as_ref() == stored_versions.last(),
        eq(true)
    )?;
    verify_that!(persisted.unreadable_version, eq(DocumentVersion::default()))?;
    verify_that!(quarantined, is_empty())
}

/// Guards against a damaged vote that every scrub reports again until the next start.
#[gtest]
fn a_vote_that_is_damaged_while_running_is_reported_once_and_counts_as_granted() -> Result<()> {
    let (directory, stored_versions) = filled_directory("scrub-vote", 2);
    let data_directory = DataDirectory::open(&directory.0)?;
    fs::write(directory.newest("vote-"), "rot")?;
    verify_that!(data_directory.scrub(stored_versions.last())?.len(), eq(1))?;
    verify_that!(data_directory.scrub(stored_versions.last())?, is_empty())?;
    let (persisted, _) = start(&directory)?;
    verify_that!(persisted.voted_for, some(eq((Term(4), ControllerId(0)))))
}

#[gtest]
fn single_voter_recovery_needs_the_disk_of_a_voter() -> Result<()> {
    let empty = TempDirectory::new("recover-empty");
    verify_that!(
        controlplane::storage::force_single_voter(&empty.0).is_err(),
        eq(true)
    )?;
    let (directory, stored_versions) = filled_directory("recover", 3);
    let document_version = controlplane::storage::force_single_voter(&directory.0)?;
    verify_that!(
        document_version > stored_versions[2].document_version,
        eq(true)
    )?;
    let (persisted, _) = start(&directory)?;
    let recovered_document = persisted.accepted.expect("a version");
    verify_that!(recovered_document.voters.len(), eq(1))?;
    verify_that!(
        &recovered_document.evacuated,
        eq(&stored_versions[2].evacuated)
    )
}

#[gtest]
fn a_first_start_is_recorded_only_on_an_empty_disk_and_forgotten_with_its_identity() -> Result<()> {
    let directory = TempDirectory::new("first");
    let data_directory = DataDirectory::open(&directory.0)?;
    verify_that!(data_directory.is_first_start(), eq(false))?;
    data_directory.record_first_start()?;
    data_directory.load(ControllerId(7))?;
    verify_that!(
        DataDirectory::open(&directory.0)?.is_first_start(),
        eq(true)
    )?;
    let later = TempDirectory::new("later");
    let data_directory = DataDirectory::open(&later.0)?;
    data_directory.load(ControllerId(7))?;
    data_directory.record_first_start()?;
    verify_that!(data_directory.is_first_start(), eq(false))?;
    fill_directory(&directory, 2);
    fs::write(directory.0.join("identity"), "rot")?;
    let data_directory = DataDirectory::open(&directory.0)?;
    let persisted = data_directory.load(ControllerId(9))?.persisted;
    verify_that!(persisted.is_empty(), eq(true))?;
    verify_that!(data_directory.is_first_start(), eq(false))
}

/// A disk that is full after this many further file writes.
struct FullAfter(AtomicUsize);

impl DiskFaultHook for FullAfter {
    fn before_write(&self) -> io::Result<()> {
        let remaining = self
            .0
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |remaining| {
                remaining.checked_sub(1)
            });
        remaining
            .map(drop)
            .map_err(|_| io::Error::from(io::ErrorKind::StorageFull))
    }
}

/// The disk becomes full after one to three writes of the start that finds the damage. The first write
/// checks that the directory is writable and the second records the damage, so only the start with one write
/// fails. Guards against a start that renames the damaged file before it records the damage: if the record
/// then fails, the next start does not know of the damage.
#[gtest]
fn a_damaged_version_is_known_at_the_next_start_if_the_disk_becomes_full() -> Result<()> {
    for writes in 1..4 {
        let (directory, stored_versions) = filled_directory("unreadable-full", 4);
        fs::write(directory.newest("spec-"), "rot")?;
        let full = Box::new(FullAfter(AtomicUsize::new(writes)));
        let _ = DataDirectory::open_with(&directory.0, full)?.load(ControllerId(1));
        check_unreadable_version(&directory, stored_versions[3].document_version)?;
    }
    Ok(())
}

#[gtest]
fn older_damage_found_later_does_not_lower_the_unreadable_version() -> Result<()> {
    let (directory, stored_versions) = filled_directory("unreadable-older", 4);
    for _ in 0..2 {
        fs::write(directory.newest("spec-"), "rot")?;
        check_unreadable_version(&directory, stored_versions[3].document_version)?;
    }
    Ok(())
}

#[gtest]
fn a_damaged_vote_counts_as_granted_at_every_later_start() -> Result<()> {
    let (directory, _) = filled_directory("vote-later", 2);
    fs::write(directory.newest("vote-"), "")?;
    for _ in 0..3 {
        let (persisted, _) = start(&directory)?;
        verify_that!(persisted.voted_for, some(eq((Term(4), ControllerId(0)))))?;
    }
    Ok(())
}

/// A disk that fails every write with this kind of error.
struct FailingWrites(io::ErrorKind);

impl DiskFaultHook for FailingWrites {
    fn before_write(&self) -> io::Result<()> {
        Err(self.0.into())
    }
}

/// Guards against a controller that exits when it is restarted while its disk is full, although its start
/// needs no write.
#[gtest]
fn a_controller_with_an_identity_starts_on_a_disk_that_refuses_writes() -> Result<()> {
    for reason in [io::ErrorKind::StorageFull, io::ErrorKind::Other] {
        let (directory, stored_versions) = filled_directory("start-full", 3);
        let data_directory =
            DataDirectory::open_with(&directory.0, Box::new(FailingWrites(reason)))?;
        let persisted = data_directory.load(ControllerId(1))?.persisted;
        verify_that!(persisted.id, eq(ControllerId(7)))?;
        verify_that!(persisted.voted_for, some(eq((Term(4), ControllerId(9)))))?;
        verify_that!(
            persisted.accepted.as_ref() == stored_versions.last(),
            eq(true)
        )?;
    }
    Ok(())
}

/// A new identity and damage must be recorded before the controller takes part in the consensus. A directory
/// that is read-only or whose permissions deny writing is a wrong setting and must be reported.
#[gtest]
fn a_start_that_needs_a_write_fails_on_a_disk_that_refuses_it() -> Result<()> {
    let failing_writes = |reason| Box::new(FailingWrites(reason));
    let empty = TempDirectory::new("start-full-empty");
    let opened = DataDirectory::open_with(&empty.0, failing_writes(io::ErrorKind::StorageFull));
    verify_that!(opened.is_err(), eq(true))?;
    let (directory, _) = filled_directory("start-full-damaged", 3);
    fs::write(directory.newest("spec-"), "rot")?;
    let data_directory =
        DataDirectory::open_with(&directory.0, failing_writes(io::ErrorKind::StorageFull))?;
    verify_that!(data_directory.load(ControllerId(1)).is_err(), eq(true))?;
    for reason in [
        io::ErrorKind::PermissionDenied,
        io::ErrorKind::ReadOnlyFilesystem,
    ] {
        let opened = DataDirectory::open_with(&directory.0, failing_writes(reason));
        verify_that!(opened.is_err(), eq(true))?;
    }
    Ok(())
}
