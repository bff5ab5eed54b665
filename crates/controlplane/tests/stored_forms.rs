//! The disk format: a controller's data directory has the files and bytes of the fixtures, and a directory
//! written by an earlier release is loaded, written and repaired as before.

#[path = "../../../testing/support/form_folders.rs"]
mod forms;

use common::frames::SocketAddress;
use common::identity::{ChangeId, ControllerId, DocumentVersion, Term, Version};
use common::spec::{Document, ListedMember, Voter, read_spec};
use controlplane::consensus::{PersistedState, WriteJob};
use controlplane::storage::{DataDirectory, LoadedState};
use forms::{TempDirectory, check, compare};
use googletest::prelude::*;
use serde_json::json;
use std::fs;
use std::path::Path;

/// An undamaged directory: the identity, the record of the first start, two votes and three versions.
const DATA: &str = "data";
/// `DATA` after a start at which the newest version and the newest vote were damaged.
const DAMAGED: &str = "data-damaged";
/// `DATA` after a start at which the identity was damaged.
const FOREIGN: &str = "data-foreign";

const OWN_ID: ControllerId = ControllerId(0x0102_0304_0506_0708);
const OTHER_ID: ControllerId = ControllerId(0xa1b2_c3d4);
/// The identity offered to a directory without one.
const FRESH_ID: ControllerId = ControllerId(0xf4e5);

const NEWEST_VERSION: &str = "spec-0000000000000003-0000000000000003";
const NEWEST_VOTE: &str = "vote-0000000000000003";

fn address(number: u8) -> SocketAddress {
    SocketAddress(
        format!("10.0.0.{number}:{}", 4000 + u16::from(number))
            .parse()
            .expect("an address"),
    )
}

/// The versions in the directory, oldest first.
fn document_versions() -> [Document; 3] {
    let members = [(OWN_ID, 1), (OTHER_ID, 2)].map(|(id, number)| Voter {
        id,
        address: address(number),
        zone: format!("zone-{number}").into(),
    });
    let founding = Document::initial(members.to_vec());
    let spec = json!({
        "functions": {"segment-check": {"memory_mb": 192, "boot_ms": 250, "slots": 3}},
        "routes": {"check": {
            "method": "POST", "path": "/segments/{id}", "function": "segment-check",
            "budget_ms": 900, "kind": "once",
        }},
    });
    let checked_spec = read_spec(&spec).expect("a valid spec");
    let first = founding
        .with_spec(spec, &checked_spec, ChangeId::from("first spec"))
        .numbered(300);
    let mut newest = first.with_zone("zone-2".into(), true, ChangeId::from("zone-2 out"));
    newest.previous_voters = vec![newest.voters[0].clone()];
    newest.membership = [ListedMember {
        member: "daemon-5".into(),
        address: address(5),
    }]
    .into();
    newest.document_version.term = Term(3);
    [founding, first, newest]
}

fn vote(term: u64, candidate: ControllerId) -> WriteJob {
    WriteJob::Vote {
        term: Term(term),
        candidate,
    }
}

/// Fills a directory in the way a controller does from its first start.
fn fill_directory(directory: &Path) -> Result<()> {
    let data_directory = DataDirectory::open(directory)?;
    data_directory.record_first_start()?;
    data_directory.load(OWN_ID)?;
    let [founding, first, newest] = document_versions();
    let jobs = [
        WriteJob::Version(founding),
        vote(2, OWN_ID),
        WriteJob::Version(first),
        vote(3, OTHER_ID),
        WriteJob::Version(newest),
    ];
    for job in &jobs {
        data_directory.write(job)?;
    }
    Ok(())
}

fn start(directory: &TempDirectory) -> Result<LoadedState> {
    Ok(DataDirectory::open(&directory.0)?.load(FRESH_ID)?)
}

fn flip_byte(directory: &TempDirectory, file_name: &str, offset_from_end: usize) -> Result<()> {
    let path = directory.0.join(file_name);
    let mut file_bytes = fs::read(&path)?;
    let index = file_bytes.len() - offset_from_end;
    file_bytes[index] ^= 1;
    Ok(fs::write(path, file_bytes)?)
}

#[gtest]
fn a_data_directory_is_written_in_the_recorded_format() -> Result<()> {
    let directory = TempDirectory::new("written");
    fill_directory(&directory.0)?;
    check(DATA, &directory.0)
}

#[gtest]
fn a_data_directory_of_an_earlier_release_is_loaded() -> Result<()> {
    let directory = TempDirectory::copy_of(DATA, "opened")?;
    let LoadedState {
        persisted,
        quarantined,
    } = start(&directory)?;
    verify_that!(persisted.id, eq(OWN_ID))?;
    verify_that!(persisted.voted_for, some(eq((Term(3), OTHER_ID))))?;
    let newest = persisted.accepted.expect("a version");
    verify_that!(
        newest.document_version,
        eq(DocumentVersion {
            term: Term(3),
            version: Version(3)
        })
    )?;
    verify_that!(newest == document_versions()[2], eq(true))?;
    verify_that!(persisted.unreadable_version, eq(DocumentVersion::default()))?;
    verify_that!(quarantined, is_empty())?;
    verify_that!(
        DataDirectory::open(&directory.0)?.is_first_start(),
        eq(true)
    )?;
    compare(DATA, &directory.0)
}

#[gtest]
fn a_data_directory_of_an_earlier_release_accepts_further_writes() -> Result<()> {
    let directory = TempDirectory::copy_of(DATA, "written-on")?;
    let persisted = start(&directory)?.persisted;
    let newest = persisted.accepted.expect("a version");
    let next = newest.with_zone("zone-2".into(), false, ChangeId::from("zone-2 back"));
    let data_directory = DataDirectory::open(&directory.0)?;
    data_directory.write(&vote(5, OWN_ID))?;
    data_directory.write(&WriteJob::Version(next.clone()))?;
    let LoadedState {
        persisted,
        quarantined,
    } = start(&directory)?;
    verify_that!(persisted.id, eq(OWN_ID))?;
    verify_that!(persisted.voted_for, some(eq((Term(5), OWN_ID))))?;
    verify_that!(persisted.accepted == Some(next), eq(true))?;
    verify_that!(quarantined, is_empty())?;
    let has = |file_name: &str| directory.0.join(file_name).exists();
    verify_that!(has("vote-0000000000000005"), eq(true))?;
    verify_that!(has(NEWEST_VOTE), eq(true))?;
    verify_that!(has("vote-0000000000000002"), eq(false))?;
    verify_that!(has("spec-0000000000000003-0000000000000004"), eq(true))?;
    verify_that!(has(NEWEST_VERSION), eq(true))
}

/// Checks the state after the newest vote and the newest version were damaged: the vote counts as granted,
/// and the previous version is the accepted one.
fn check_state_after_damage(persisted: &PersistedState) -> Result<()> {
    verify_that!(persisted.voted_for, some(eq((Term(3), ControllerId(0)))))?;
    verify_that!(
        persisted.accepted.as_ref() == Some(&document_versions()[1]),
        eq(true)
    )?;
    verify_that!(
        persisted.unreadable_version,
        eq(DocumentVersion {
            term: Term(3),
            version: Version(3)
        })
    )
}

#[gtest]
fn damaged_files_of_an_earlier_release_are_quarantined() -> Result<()> {
    let directory = TempDirectory::copy_of(DATA, "damaged")?;
    flip_byte(&directory, NEWEST_VERSION, 40)?;
    flip_byte(&directory, NEWEST_VOTE, 1)?;
    let LoadedState {
        persisted,
        quarantined,
    } = start(&directory)?;
    verify_that!(quarantined, eq(&[NEWEST_VERSION, NEWEST_VOTE]))?;
    verify_that!(persisted.id, eq(OWN_ID))?;
    check_state_after_damage(&persisted)?;
    verify_that!(
        persisted.unreadable_version,
        eq(document_versions()[2].document_version)
    )?;
    check(DAMAGED, &directory.0)
}

#[gtest]
fn damage_recorded_by_an_earlier_release_is_recognized() -> Result<()> {
    let directory = TempDirectory::copy_of(DAMAGED, "known")?;
    let LoadedState {
        persisted,
        quarantined,
    } = start(&directory)?;
    verify_that!(quarantined, is_empty())?;
    check_state_after_damage(&persisted)?;
    compare(DAMAGED, &directory.0)
}

#[gtest]
fn files_of_a_lost_identity_are_renamed_as_foreign() -> Result<()> {
    let directory = TempDirectory::copy_of(DATA, "foreign")?;
    flip_byte(&directory, "identity", 1)?;
    let persisted = start(&directory)?.persisted;
    verify_that!(persisted.id, eq(FRESH_ID))?;
    verify_that!(persisted.voted_for, none())?;
    verify_that!(persisted.accepted.is_none(), eq(true))?;
    verify_that!(
        DataDirectory::open(&directory.0)?.is_first_start(),
        eq(false)
    )?;
    check(FOREIGN, &directory.0)
}
