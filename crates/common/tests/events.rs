//! The catalogue of events is whole.

use common::events::ALL;
use std::collections::BTreeSet;

#[test]
fn every_event_has_its_own_number_and_stands_in_the_catalogue() {
    let catalogue = include_str!("../../../docs/events.md");
    let mut numbers = BTreeSet::new();
    for event in ALL {
        assert!(numbers.insert(event.number), "{event} shares its number");
        let row = format!("| E{:04} | {} |", event.number, event.name);
        assert!(catalogue.contains(&row), "docs/events.md has no row {row:?}");
    }
}
