//! A controller's data folder has the files and bytes that it had when the fixture was written, and one that earlier
//! sources wrote is opened, written on, and mended as ever.

mod forms;

use common::frames::Place;
use common::identity::{ChangeId, ControllerId, Serial, Stamp, Term};
use common::spec::{CoreMember, Document, RosterMember, read_spec};
use controlplane::core::{Recalled, WriteJob};
use controlplane::disk::Shelf;
use forms::{Folder, compare, hold};
use googletest::prelude::*;
use serde_json::json;
use std::fs;
use std::path::Path;

/// A healthy folder: identity, mark of the first start, two votes, three versions.
const DATA: &str = "data";
/// The same after a start that found its newest version and its newest vote damaged.
const DAMAGED: &str = "data-damaged";
/// The same after a start that found its identity damaged.
const FOREIGN: &str = "data-foreign";

const OWN: ControllerId = ControllerId(0x0102_0304_0506_0708);
const OTHER: ControllerId = ControllerId(0xa1b2_c3d4);
/// An identity that a start would draw for an empty disk.
const FRESH: ControllerId = ControllerId(0xf4e5);

const NEWEST_VERSION: &str = "spec-0000000000000003-0000000000000003";
const NEWEST_VOTE: &str = "vote-0000000000000003";

fn place(number: u8) -> Place {
    Place(format!("10.0.0.{number}:{}", 4000 + u16::from(number)).parse().expect("an address"))
}

/// The versions in the folder, oldest first.
fn versions() -> [Document; 3] {
    let members = [(OWN, 1), (OTHER, 2)].map(|(id, number)| CoreMember {
        id,
        place: place(number),
        zone: format!("zone-{number}").into(),
    });
    let founding = Document::founding(members.to_vec());
    let spec = json!({
        "functions": {"segment-check": {"memory_mb": 192, "boot_ms": 250, "slots": 3}},
        "routes": {"check": {
            "method": "POST", "path": "/segments/{id}", "function": "segment-check",
            "budget_ms": 900, "kind": "once",
        }},
    });
    let checked_spec = read_spec(&spec).expect("a good spec");
    let first = founding.with_spec(spec, &checked_spec, ChangeId::from("first spec")).numbered(300);
    let mut newest = first.with_zone("zone-2".into(), true, ChangeId::from("zone-2 out"));
    newest.former = vec![newest.core[0].clone()];
    newest.roster = [RosterMember { member: "daemon-5".into(), place: place(5) }].into();
    newest.stamp.term = Term(3);
    [founding, first, newest]
}

fn vote(term: u64, candidate: ControllerId) -> WriteJob {
    WriteJob::Vote { term: Term(term), candidate }
}

/// Fills a folder as a controller does from its first start on.
fn fill(folder: &Path) -> Result<()> {
    let shelf = Shelf::open(folder)?;
    shelf.note_first_start()?;
    shelf.recall(OWN)?;
    let [founding, first, newest] = versions();
    let jobs = [
        WriteJob::Version(founding),
        vote(2, OWN),
        WriteJob::Version(first),
        vote(3, OTHER),
        WriteJob::Version(newest),
    ];
    for job in &jobs {
        shelf.write(job)?;
    }
    Ok(())
}

fn start(folder: &Folder) -> Result<(Recalled, Vec<String>)> {
    Ok(Shelf::open(&folder.0)?.recall(FRESH)?)
}

fn flip_byte(folder: &Folder, file_name: &str, back: usize) -> Result<()> {
    let path = folder.0.join(file_name);
    let mut file_bytes = fs::read(&path)?;
    let place = file_bytes.len() - back;
    file_bytes[place] ^= 1;
    Ok(fs::write(path, file_bytes)?)
}

#[gtest]
fn a_folder_is_written_as_ever() -> Result<()> {
    let folder = Folder::new("written");
    fill(&folder.0)?;
    hold(DATA, &folder.0)
}

#[gtest]
fn a_folder_of_earlier_sources_is_opened_as_ever() -> Result<()> {
    let folder = Folder::copy_of(DATA, "opened")?;
    let (recalled, set_aside) = start(&folder)?;
    verify_that!(recalled.id, eq(OWN))?;
    verify_that!(recalled.voted, some(eq((Term(3), OTHER))))?;
    let newest = recalled.accepted.expect("a version");
    verify_that!(newest.stamp, eq(Stamp { term: Term(3), serial: Serial(3) }))?;
    verify_that!(newest == versions()[2], eq(true))?;
    verify_that!(recalled.distrusted, eq(Stamp::default()))?;
    verify_that!(set_aside, is_empty())?;
    verify_that!(Shelf::open(&folder.0)?.is_first_start(), eq(true))?;
    compare(DATA, &folder.0)
}

#[gtest]
fn a_folder_of_earlier_sources_is_written_on() -> Result<()> {
    let folder = Folder::copy_of(DATA, "written-on")?;
    let (recalled, _) = start(&folder)?;
    let newest = recalled.accepted.expect("a version");
    let next = newest.with_zone("zone-2".into(), false, ChangeId::from("zone-2 back"));
    let shelf = Shelf::open(&folder.0)?;
    shelf.write(&vote(5, OWN))?;
    shelf.write(&WriteJob::Version(next.clone()))?;
    let (recalled, set_aside) = start(&folder)?;
    verify_that!(recalled.id, eq(OWN))?;
    verify_that!(recalled.voted, some(eq((Term(5), OWN))))?;
    verify_that!(recalled.accepted == Some(next), eq(true))?;
    verify_that!(set_aside, is_empty())?;
    let has = |file_name: &str| folder.0.join(file_name).exists();
    verify_that!(has("vote-0000000000000005"), eq(true))?;
    verify_that!(has(NEWEST_VOTE), eq(true))?;
    verify_that!(has("vote-0000000000000002"), eq(false))?;
    verify_that!(has("spec-0000000000000003-0000000000000004"), eq(true))?;
    verify_that!(has(NEWEST_VERSION), eq(true))
}

#[gtest]
fn damaged_files_of_earlier_sources_are_set_aside_as_ever() -> Result<()> {
    let folder = Folder::copy_of(DATA, "damaged")?;
    flip_byte(&folder, NEWEST_VERSION, 40)?;
    flip_byte(&folder, NEWEST_VOTE, 1)?;
    let (recalled, set_aside) = start(&folder)?;
    verify_that!(set_aside, eq(&[NEWEST_VERSION, NEWEST_VOTE]))?;
    verify_that!(recalled.id, eq(OWN))?;
    verify_that!(recalled.voted, some(eq((Term(3), ControllerId(0)))))?;
    verify_that!(recalled.accepted.as_ref() == Some(&versions()[1]), eq(true))?;
    verify_that!(recalled.distrusted, eq(versions()[2].stamp))?;
    hold(DAMAGED, &folder.0)
}

#[gtest]
fn what_earlier_sources_kept_of_a_damage_is_known_as_ever() -> Result<()> {
    let folder = Folder::copy_of(DAMAGED, "known")?;
    let (recalled, set_aside) = start(&folder)?;
    verify_that!(set_aside, is_empty())?;
    verify_that!(recalled.voted, some(eq((Term(3), ControllerId(0)))))?;
    verify_that!(recalled.accepted.as_ref() == Some(&versions()[1]), eq(true))?;
    verify_that!(recalled.distrusted, eq(Stamp { term: Term(3), serial: Serial(3) }))?;
    compare(DAMAGED, &folder.0)
}

#[gtest]
fn a_folder_without_its_identity_is_foreign_as_ever() -> Result<()> {
    let folder = Folder::copy_of(DATA, "foreign")?;
    flip_byte(&folder, "identity", 1)?;
    let (recalled, _) = start(&folder)?;
    verify_that!(recalled.id, eq(FRESH))?;
    verify_that!(recalled.voted, none())?;
    verify_that!(recalled.accepted.is_none(), eq(true))?;
    verify_that!(Shelf::open(&folder.0)?.is_first_start(), eq(false))?;
    hold(FOREIGN, &folder.0)
}
