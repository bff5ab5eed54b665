//! The catalogue of events is complete, and its numbers are stable.

#[path = "../../../testing/support/forms.rs"]
mod forms;

use common::events::ALL;
use std::collections::BTreeSet;
use std::fmt::Write;

#[test]
fn every_event_has_a_unique_number_and_a_catalogue_row() {
    let catalogue = include_str!("../../../docs/events.md");
    let mut numbers = BTreeSet::new();
    for event in ALL {
        assert!(numbers.insert(event.number), "{event} shares its number");
        let row = format!("| E{:04} | {} |", event.number, event.name);
        assert!(
            catalogue.contains(&row),
            "docs/events.md has no row {row:?}"
        );
    }
}

/// Names may change; operators' tools identify an event by its number.
#[test]
fn event_numbers_match_the_fixture() {
    let numbers: BTreeSet<u16> = ALL.iter().map(|event| event.number).collect();
    let mut text = String::new();
    for number in numbers {
        let _ = writeln!(text, "{number}");
    }
    forms::check(env!("CARGO_MANIFEST_DIR"), "events.txt", &text);
}

#[test]
fn the_log_shows_an_event_by_its_number_and_name() {
    let event = ALL[0];
    assert_eq!(
        event.to_string(),
        format!("[E{:04}] {}", event.number, event.name)
    );
}
