//! Ledgers: copies agree with a plain map, differ only where they differ, and are sealed by a successor.

use common::chance::Chance;
use common::clock::Moment;
use common::frames::{HopOutcome, HopReason, LedgerNote, NoteState};
use common::identity::{FunctionKey, GrantSerial, Incarnation, Serial, TransactionId};
use dataplane::ledger::{Book, LedgerReplica, digests, range_of};
use googletest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const LIFE: Incarnation = Incarnation(5);
const GRANT: GrantSerial = GrantSerial(9);

fn function() -> FunctionKey {
    FunctionKey::new("f", Serial(2))
}

fn note(name: &str, state: NoteState) -> LedgerNote {
    LedgerNote { transaction: name.into(), state, left_ms: 5000 }
}

fn names(notes: &[LedgerNote]) -> BTreeMap<TransactionId, NoteState> {
    notes.iter().map(|note| (note.transaction.clone(), note.state)).collect()
}

#[gtest]
fn a_copy_is_mended_in_the_ranges_that_differ() -> Result<()> {
    let now = Moment(1_000_000_000);
    let mut chance = Chance::seeded(2);
    let mut book = Book::default();
    let mut replica = LedgerReplica::new(LIFE);
    for number in 0..400 {
        let name = TransactionId::from(format!("t{number}"));
        let budget_end = now + Duration::from_secs(3);
        book.begin(name.clone(), true, budget_end);
        if chance.happens(0.9) {
            let line = book.line(now, &name).expect("a line");
            replica.note(now, &function(), GRANT, LIFE, &[line]);
        }
        if chance.happens(0.1) {
            let outcome = HopOutcome::Unknown { reason: HopReason::AnswerLost };
            book.end(now, &name, true, budget_end, outcome);
        }
    }
    let copy_of = |replica: &mut LedgerReplica| {
        let mut probe = LedgerReplica::new(LIFE);
        std::mem::swap(&mut probe, replica);
        probe
    };
    let mut copy = copy_of(&mut replica);
    let ranges = copy.compare(now, &function(), GRANT, LIFE, &book.digests(now));
    verify_that!(ranges.is_empty(), eq(false))?;
    let sent = book.lines_in(now, &ranges);
    let all_ranges: BTreeSet<u8> =
        sent.iter().map(|line| range_of(&line.transaction) as u8).collect();
    verify_that!(all_ranges.iter().all(|range| ranges.contains(range)), eq(true))?;
    copy.note(now, &function(), GRANT, LIFE, &sent);
    let differing = copy.compare(now, &function(), GRANT, LIFE, &book.digests(now));
    verify_that!(differing, is_empty())?;
    let collected = copy.collect(now, &function(), GRANT, LIFE).expect("a copy");
    verify_that!(names(&collected) == names(&book.once_lines(now)), eq(true))
}

#[gtest]
fn after_a_successor_collected_an_old_holder_can_note_nothing() -> Result<()> {
    let now = Moment(1_000_000_000);
    let mut replica = LedgerReplica::new(LIFE);
    let first = [note("a", NoteState::Noted)];
    verify_that!(replica.note(now, &function(), GRANT, LIFE, &first), eq(true))?;
    let collected = replica.collect(now, &function(), GRANT, LIFE);
    verify_that!(collected.map(|notes| notes.len()), some(eq(1)))?;
    let late = [note("b", NoteState::Noted)];
    verify_that!(replica.note(now, &function(), GRANT, LIFE, &late), eq(false))?;
    verify_that!(replica.note(now, &function(), GrantSerial(10), LIFE, &late), eq(true))
}

#[gtest]
fn a_steward_in_another_life_says_that_it_does_not_know() -> Result<()> {
    let now = Moment(1_000_000_000);
    let mut replica = LedgerReplica::new(Incarnation(6));
    verify_that!(replica.note(now, &function(), GRANT, LIFE, &[]), eq(false))?;
    verify_that!(replica.collect(now, &function(), GRANT, LIFE).is_none(), eq(true))
}

#[gtest]
fn lines_are_forgotten_when_nobody_waits_for_them() -> Result<()> {
    let now = Moment(1_000_000_000);
    let mut replica = LedgerReplica::new(LIFE);
    replica.note(now, &function(), GRANT, LIFE, &[note("a", NoteState::Noted)]);
    replica.expire(now + Duration::from_secs(4));
    verify_that!(replica.line_count(), eq(1))?;
    replica.expire(now + Duration::from_secs(6));
    verify_that!(replica.line_count(), eq(0))
}

#[gtest]
fn digests_do_not_depend_on_order_but_on_state() -> Result<()> {
    let notes = [note("a", NoteState::Noted), note("b", NoteState::Answered)];
    let turned = [notes[1].clone(), notes[0].clone()];
    verify_that!(digests(notes.iter()) == digests(turned.iter()), eq(true))?;
    let changed = [note("a", NoteState::Unknown), notes[1].clone()];
    verify_that!(digests(notes.iter()) == digests(changed.iter()), eq(false))
}
