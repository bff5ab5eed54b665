//! The record of applied changes in a document.

use common::identity::{ChangeId, Version};
use common::spec::{AppliedChanges, ChangeStatus, Document, Spec};
use googletest::prelude::*;
use serde_json::{Value, json};

fn name(number: u64) -> ChangeId {
    ChangeId::from(format!("change {number}"))
}

fn applied_changes(numbers: impl Iterator<Item = u64>) -> AppliedChanges {
    let mut applied_changes = AppliedChanges::default();
    for number in numbers {
        applied_changes.record_change(number, Version(number + 9), &name(number));
    }
    applied_changes
}

#[gtest]
fn changes_are_found_by_number_and_name_until_forgotten() -> Result<()> {
    let applied_changes = applied_changes((1..=1500).map(|step| step * 3));
    verify_that!(
        applied_changes.status_of(4500, &name(4500)),
        eq(ChangeStatus::Applied(Version(4509)))
    )?;
    verify_that!(
        applied_changes.status_of(4500, &name(1)),
        eq(ChangeStatus::NotApplied)
    )?;
    verify_that!(
        applied_changes.status_of(4499, &name(4499)),
        eq(ChangeStatus::NotApplied)
    )?;
    verify_that!(
        applied_changes.status_of(4501, &name(4501)),
        eq(ChangeStatus::NotApplied)
    )?;
    verify_that!(
        applied_changes.status_of(3, &name(3)),
        eq(ChangeStatus::Forgotten)
    )?;
    let oldest = (1500 - 1024 + 1) * 3;
    verify_that!(applied_changes.forgotten_up_to(), eq(oldest - 3))?;
    verify_that!(
        applied_changes.status_of(oldest, &name(oldest)),
        eq(ChangeStatus::Applied(Version(oldest + 9)))
    )
}

#[gtest]
fn applied_changes_round_trip_through_text() -> Result<()> {
    for count in [0, 1, 40, 2000] {
        let applied_changes = applied_changes((1..=count).map(|step| step * step));
        let text = applied_changes.to_text();
        verify_that!(text.len(), le(26 * 1024))?;
        let decoded = AppliedChanges::from_text(applied_changes.forgotten_up_to(), &text);
        verify_that!(decoded, some(eq(&applied_changes)))?;
    }
    for corrupt in ["0", "zz", "01", "0102030405"] {
        verify_that!(AppliedChanges::from_text(0, corrupt), none())?;
    }
    Ok(())
}

fn numbered_document(count: u64) -> Document {
    let mut document = Document::initial(Vec::new());
    for number in 1..=count {
        let spec = json!({"functions": {}, "routes": {}});
        document = document
            .with_spec(spec, &Spec::default(), name(number))
            .numbered(number);
    }
    document
}

/// Encodes a document without its record of applied changes, as before the record existed.
fn bytes_without_applied_changes(document: &Document) -> Vec<u8> {
    let mut value: Value = serde_json::from_slice(&document.to_bytes()).expect("JSON");
    value.as_object_mut().expect("an object").remove("taken");
    value.to_string().into_bytes()
}

#[gtest]
fn documents_without_applied_changes_are_read() -> Result<()> {
    let short = Document::from_bytes(&bytes_without_applied_changes(&numbered_document(20)))
        .expect("a document");
    verify_that!(
        short.applied_changes.status_of(1, &name(1)),
        eq(ChangeStatus::Applied(Version(2)))
    )?;
    verify_that!(
        short.applied_changes.status_of(1, &name(2)),
        eq(ChangeStatus::NotApplied)
    )?;
    let long = Document::from_bytes(&bytes_without_applied_changes(&numbered_document(200)))
        .expect("a document");
    verify_that!(
        long.applied_changes.status_of(200, &name(200)),
        eq(ChangeStatus::Applied(Version(201)))
    )?;
    verify_that!(
        long.applied_changes.status_of(100, &name(100)),
        eq(ChangeStatus::Forgotten)
    )?;
    verify_that!(
        long.applied_changes.status_of(201, &name(201)),
        eq(ChangeStatus::NotApplied)
    )
}

#[gtest]
fn a_named_change_is_forgotten_with_the_successor_of_its_base() -> Result<()> {
    let document = numbered_document(100);
    let status_of =
        |base: u64, change: u64| document.status_of_named(Some(Version(base)), &name(change));
    verify_that!(status_of(100, 100), eq(ChangeStatus::Applied(Version(101))))?;
    verify_that!(status_of(90, 7000), eq(ChangeStatus::NotApplied))?;
    verify_that!(status_of(10, 7000), eq(ChangeStatus::Forgotten))?;
    verify_that!(
        document.status_of_named(None, &name(7000)),
        eq(ChangeStatus::NotApplied)
    )
}
