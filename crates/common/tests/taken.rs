//! What a document remembers of the changes that were taken.

use common::identity::{ChangeId, Serial};
use common::spec::{ChangeFate, Document, Spec, TakenChanges};
use googletest::prelude::*;
use serde_json::{Value, json};

fn name(number: u64) -> ChangeId {
    ChangeId::from(format!("change {number}"))
}

fn taken(numbers: impl Iterator<Item = u64>) -> TakenChanges {
    let mut taken = TakenChanges::default();
    for number in numbers {
        taken.note(number, Serial(number + 9), &name(number));
    }
    taken
}

#[gtest]
fn numbers_are_known_by_their_content_until_they_are_forgotten() -> Result<()> {
    let taken = taken((1..=1500).map(|step| step * 3));
    verify_that!(taken.fate(4500, &name(4500)), eq(ChangeFate::Taken(Serial(4509))))?;
    verify_that!(taken.fate(4500, &name(1)), eq(ChangeFate::NotTaken))?;
    verify_that!(taken.fate(4499, &name(4499)), eq(ChangeFate::NotTaken))?;
    verify_that!(taken.fate(4501, &name(4501)), eq(ChangeFate::NotTaken))?;
    verify_that!(taken.fate(3, &name(3)), eq(ChangeFate::Forgotten))?;
    let oldest = (1500 - 1024 + 1) * 3;
    verify_that!(taken.forgotten_up_to(), eq(oldest - 3))?;
    verify_that!(taken.fate(oldest, &name(oldest)), eq(ChangeFate::Taken(Serial(oldest + 9))))
}

#[gtest]
fn the_memory_is_read_back_as_it_was_written() -> Result<()> {
    for count in [0, 1, 40, 2000] {
        let taken = taken((1..=count).map(|step| step * step));
        let text = taken.to_text();
        verify_that!(text.len(), le(26 * 1024))?;
        let read_back = TakenChanges::from_text(taken.forgotten_up_to(), &text);
        verify_that!(read_back, some(eq(&taken)))?;
    }
    for damaged in ["0", "zz", "01", "0102030405"] {
        verify_that!(TakenChanges::from_text(0, damaged), none())?;
    }
    Ok(())
}

fn numbered_document(count: u64) -> Document {
    let mut document = Document::founding(Vec::new());
    for number in 1..=count {
        let spec = json!({"functions": {}, "routes": {}});
        document = document.with_spec(spec, &Spec::default(), name(number)).numbered(number);
    }
    document
}

/// The document's bytes as they were written before numbers were remembered.
fn old_bytes(document: &Document) -> Vec<u8> {
    let mut value: Value = serde_json::from_slice(&document.to_bytes()).expect("JSON");
    value.as_object_mut().expect("an object").remove("taken");
    value.to_string().into_bytes()
}

#[gtest]
fn documents_written_without_it_are_read_and_forget_what_they_do_not_name() -> Result<()> {
    let short = Document::from_bytes(&old_bytes(&numbered_document(20))).expect("a document");
    verify_that!(short.taken.fate(1, &name(1)), eq(ChangeFate::Taken(Serial(2))))?;
    verify_that!(short.taken.fate(1, &name(2)), eq(ChangeFate::NotTaken))?;
    let long = Document::from_bytes(&old_bytes(&numbered_document(200))).expect("a document");
    verify_that!(long.taken.fate(200, &name(200)), eq(ChangeFate::Taken(Serial(201))))?;
    verify_that!(long.taken.fate(100, &name(100)), eq(ChangeFate::Forgotten))?;
    verify_that!(long.taken.fate(201, &name(201)), eq(ChangeFate::NotTaken))
}

#[gtest]
fn a_named_change_is_forgotten_only_if_the_successor_of_its_base_is() -> Result<()> {
    let document = numbered_document(100);
    let fate = |base: u64, change: u64| document.fate_of_named(Some(Serial(base)), &name(change));
    verify_that!(fate(100, 100), eq(ChangeFate::Taken(Serial(101))))?;
    verify_that!(fate(90, 7000), eq(ChangeFate::NotTaken))?;
    verify_that!(fate(10, 7000), eq(ChangeFate::Forgotten))?;
    verify_that!(document.fate_of_named(None, &name(7000)), eq(ChangeFate::NotTaken))
}
