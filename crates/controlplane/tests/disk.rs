//! What the data folder gives back after crashes and damage.

use common::frames::Place;
use common::identity::{ChangeId, ControllerId, Stamp, Term, Zone};
use common::spec::{CoreMember, Document};
use controlplane::core::WriteJob;
use controlplane::disk::{Seam, Shelf};
use googletest::prelude::*;
use std::fs;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("rudder-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        Self(path)
    }

    fn newest(&self, prefix: &str) -> PathBuf {
        let mut names: Vec<PathBuf> = fs::read_dir(&self.0)
            .expect("a folder")
            .map(|listed| listed.expect("an entry").path())
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

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn versions(count: u64) -> Vec<Document> {
    let member = CoreMember { id: ControllerId(7), place: Place::NOWHERE, zone: "here".into() };
    let mut kept = vec![Document::founding(vec![member])];
    for number in 1..count {
        let last = kept.last().expect("one");
        let zone = Zone::from(format!("l{number}"));
        kept.push(last.with_zone(zone, true, ChangeId::from(format!("c{number}"))));
    }
    kept
}

fn fill(folder: &Folder, count: u64) -> Vec<Document> {
    let shelf = Shelf::open(&folder.0).expect("a shelf");
    shelf.recall(ControllerId(7)).expect("recalled");
    let kept = versions(count);
    for document in &kept {
        shelf.write(&WriteJob::Version(document.clone())).expect("written");
    }
    shelf.write(&WriteJob::Vote { term: Term(4), candidate: ControllerId(9) }).expect("written");
    kept
}

#[gtest]
fn the_newest_version_and_vote_come_back_and_old_ones_go() -> Result<()> {
    let folder = Folder::new("newest");
    let kept = fill(&folder, 30);
    let (recalled, set_aside) = Shelf::open(&folder.0)?.recall(ControllerId(1))?;
    verify_that!(recalled.id, eq(ControllerId(7)))?;
    verify_that!(recalled.voted, some(eq((Term(4), ControllerId(9)))))?;
    verify_that!(recalled.accepted.as_ref() == kept.last(), eq(true))?;
    verify_that!(set_aside.is_empty(), eq(true))?;
    let file_count = fs::read_dir(&folder.0)?.count();
    verify_that!(file_count, le(8 + 2 + 3))
}

#[gtest]
fn a_write_cut_at_any_byte_leaves_the_version_before() -> Result<()> {
    let folder = Folder::new("cut");
    let kept = fill(&folder, 3);
    let whole_bytes = fs::read(folder.newest("spec-"))?;
    let aside_path = folder.0.join(format!("spec-{:016x}-{:016x}.aside", 9, 9));
    for cut in (0..whole_bytes.len()).step_by(37) {
        fs::write(&aside_path, &whole_bytes[..cut])?;
        let (recalled, set_aside) = Shelf::open(&folder.0)?.recall(ControllerId(1))?;
        verify_that!(recalled.accepted.as_ref() == kept.last(), eq(true))?;
        verify_that!(set_aside.is_empty(), eq(true))?;
        verify_that!(recalled.distrusted, eq(Stamp::default()))?;
    }
    Ok(())
}

#[gtest]
fn a_damaged_version_is_set_aside_and_the_loss_is_remembered() -> Result<()> {
    let folder = Folder::new("damaged");
    let kept = fill(&folder, 4);
    let damaged_path = folder.newest("spec-");
    let mut damaged_bytes = fs::read(&damaged_path)?;
    let middle = damaged_bytes.len() / 2;
    damaged_bytes[middle] ^= 1;
    fs::write(&damaged_path, damaged_bytes)?;
    for _ in 0..2 {
        let (recalled, _) = Shelf::open(&folder.0)?.recall(ControllerId(1))?;
        verify_that!(recalled.accepted.as_ref() == kept.get(2), eq(true))?;
        verify_that!(recalled.distrusted, eq(kept[3].stamp))?;
    }
    Ok(())
}

#[gtest]
fn a_damaged_vote_still_counts_as_one_given() -> Result<()> {
    let folder = Folder::new("vote");
    fill(&folder, 2);
    fs::write(folder.newest("vote-"), "")?;
    let (recalled, set_aside) = Shelf::open(&folder.0)?.recall(ControllerId(1))?;
    verify_that!(set_aside.len(), eq(1))?;
    verify_that!(recalled.voted, some(eq((Term(4), ControllerId(0)))))
}

#[gtest]
fn an_empty_folder_is_a_new_identity() -> Result<()> {
    let folder = Folder::new("empty");
    let (recalled, _) = Shelf::open(&folder.0)?.recall(ControllerId(42))?;
    verify_that!(recalled.id, eq(ControllerId(42)))?;
    verify_that!(recalled.accepted.is_none(), eq(true))?;
    let (again, _) = Shelf::open(&folder.0)?.recall(ControllerId(43))?;
    verify_that!(again.id, eq(ControllerId(42)))
}

#[gtest]
fn a_damaged_newest_version_is_mended_from_memory_while_running() -> Result<()> {
    let folder = Folder::new("scrub");
    let kept = fill(&folder, 4);
    let shelf = Shelf::open(&folder.0)?;
    verify_that!(shelf.scrub(kept.last())?, is_empty())?;
    fs::write(folder.newest("spec-"), "rot")?;
    verify_that!(shelf.scrub(kept.last())?.len(), eq(1))?;
    let (recalled, set_aside) = shelf.recall(ControllerId(1))?;
    verify_that!(recalled.accepted.as_ref() == kept.last(), eq(true))?;
    verify_that!(recalled.distrusted, eq(Stamp::default()))?;
    verify_that!(set_aside, is_empty())
}

#[gtest]
fn recovery_alone_needs_a_disk_that_was_a_member() -> Result<()> {
    let empty = Folder::new("recover-empty");
    verify_that!(controlplane::disk::leave_alone(&empty.0).is_err(), eq(true))?;
    let folder = Folder::new("recover");
    let kept = fill(&folder, 3);
    let stamp = controlplane::disk::leave_alone(&folder.0)?;
    verify_that!(stamp > kept[2].stamp, eq(true))?;
    let (recalled, _) = Shelf::open(&folder.0)?.recall(ControllerId(1))?;
    let alone = recalled.accepted.expect("a version");
    verify_that!(alone.core.len(), eq(1))?;
    verify_that!(&alone.evacuated, eq(&kept[2].evacuated))
}

#[gtest]
fn a_first_start_is_noted_on_an_empty_disk_only_and_goes_with_a_lost_identity() -> Result<()> {
    let folder = Folder::new("first");
    let shelf = Shelf::open(&folder.0)?;
    verify_that!(shelf.is_first_start(), eq(false))?;
    shelf.note_first_start()?;
    shelf.recall(ControllerId(7))?;
    verify_that!(Shelf::open(&folder.0)?.is_first_start(), eq(true))?;
    let later = Folder::new("later");
    let shelf = Shelf::open(&later.0)?;
    shelf.recall(ControllerId(7))?;
    shelf.note_first_start()?;
    verify_that!(shelf.is_first_start(), eq(false))?;
    fill(&folder, 2);
    fs::write(folder.0.join("identity"), "rot")?;
    let shelf = Shelf::open(&folder.0)?;
    let (recalled, _) = shelf.recall(ControllerId(9))?;
    verify_that!(recalled.is_nothing(), eq(true))?;
    verify_that!(shelf.is_first_start(), eq(false))
}

/// A disk that takes some more files and then no other one.
struct FullAfter(AtomicUsize);

impl Seam for FullAfter {
    fn before_write(&self) -> io::Result<()> {
        let left =
            self.0.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1));
        left.map(drop).map_err(|_| io::Error::from(io::ErrorKind::StorageFull))
    }
}

/// The disk fills, or power is lost, at each write of the start that finds the damage.
#[gtest]
fn a_damaged_version_is_distrusted_at_whatever_write_the_start_ends() -> Result<()> {
    for writes in 1..4 {
        let folder = Folder::new("distrust-full");
        let kept = fill(&folder, 4);
        fs::write(folder.newest("spec-"), "rot")?;
        let full = Box::new(FullAfter(AtomicUsize::new(writes)));
        let _ = Shelf::open_with(&folder.0, full)?.recall(ControllerId(1));
        let (recalled, _) = Shelf::open(&folder.0)?.recall(ControllerId(1))?;
        verify_that!(recalled.distrusted, eq(kept[3].stamp))?;
    }
    Ok(())
}

#[gtest]
fn an_older_damage_found_later_does_not_lower_the_distrust() -> Result<()> {
    let folder = Folder::new("distrust-older");
    let kept = fill(&folder, 4);
    for _ in 0..2 {
        fs::write(folder.newest("spec-"), "rot")?;
        let (recalled, _) = Shelf::open(&folder.0)?.recall(ControllerId(1))?;
        verify_that!(recalled.distrusted, eq(kept[3].stamp))?;
    }
    Ok(())
}

#[gtest]
fn a_damaged_vote_counts_as_one_given_at_every_later_start() -> Result<()> {
    let folder = Folder::new("vote-later");
    fill(&folder, 2);
    fs::write(folder.newest("vote-"), "")?;
    for _ in 0..3 {
        let (recalled, _) = Shelf::open(&folder.0)?.recall(ControllerId(1))?;
        verify_that!(recalled.voted, some(eq((Term(4), ControllerId(0)))))?;
    }
    Ok(())
}
