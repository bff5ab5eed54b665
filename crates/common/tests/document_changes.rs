//! Versions of the document by what changes between them: the change leads to the very same version, costs its
//! own size, and is believed only on the version that it leads from.

use common::chance::Chance;
use common::frames::Place;
use common::identity::{ChangeId, ControllerId, Stamp, Term};
use common::spec::{CoreMember, Document, RosterMember, read_spec};
use googletest::prelude::*;
use serde_json::{Value, json};
use std::collections::BTreeSet;

fn place(number: u64) -> Place {
    let (high, low) = (number / 250, number % 250);
    Place(format!("10.0.{high}.{low}:1").parse().expect("an address"))
}

fn members(count: u64) -> Vec<CoreMember> {
    (1..=count)
        .map(|number| CoreMember {
            id: ControllerId(number),
            place: place(number),
            zone: format!("zone-{number}").as_str().into(),
        })
        .collect()
}

fn spec(function_count: u64, slots: u64) -> Value {
    let mut spec = json!({"functions": {}, "routes": {}});
    for number in 0..function_count {
        spec["functions"][format!("f{number}")] =
            json!({"memory_mb": 100, "boot_ms": 10, "slots": 1 + (number + slots) % 3});
        spec["routes"][format!("r{number}")] = json!({
            "host": "h", "prefix": format!("/p{number}/"), "function": format!("f{number}"),
            "budget_ms": 900, "kind": "once",
        });
    }
    spec
}

fn with_spec(held: &Document, spec: Value, number: u64) -> Document {
    let checked_spec = read_spec(&spec).expect("a good spec");
    held.with_spec(spec, &checked_spec, ChangeId::from(format!("change-{number}"))).numbered(number)
}

fn roster(count: u64) -> BTreeSet<RosterMember> {
    (0..count)
        .map(|number| RosterMember {
            member: format!("daemon-{number}").as_str().into(),
            place: place(number),
        })
        .collect()
}

/// A next version of any kind.
fn drawn_version(held: &Document, chance: &mut Chance, number: u64) -> Document {
    match chance.below(6) {
        0 => held.with_roster(roster(chance.below(20))),
        1 => held.with_zone(
            "zone-1".into(),
            chance.happens(0.5),
            ChangeId::from(format!("z{number}")),
        ),
        2 => {
            let mut joint = held.with_core(members(3 + chance.below(3)), ChangeId::from("core"));
            joint.former = held.core.clone();
            joint
        }
        3 => {
            let mut elected = held.clone();
            elected.stamp.term = Term(held.stamp.term.0 + 1);
            elected
        }
        _ => with_spec(held, spec(chance.below(12), chance.below(3)), number),
    }
}

#[gtest]
fn a_change_leads_to_the_very_same_version() -> Result<()> {
    let mut chance = Chance::seeded(21);
    let mut held = Document::founding(members(3));
    for number in 1..3_000 {
        let newer = drawn_version(&held, &mut chance, number * 3);
        let changed = held.changed(&held.change_to(&newer), &newer.digest())?;
        verify_that!(changed == newer, eq(true))?;
        verify_that!(changed.to_bytes() == newer.to_bytes(), eq(true))?;
        held = changed;
    }
    Ok(())
}

#[gtest]
fn a_change_is_believed_on_its_base_only() -> Result<()> {
    let mut chance = Chance::seeded(22);
    let mut held = Document::founding(members(3));
    let mut refused = 0;
    for number in 1..300 {
        let newer = drawn_version(&held, &mut chance, number * 3);
        let other_base = drawn_version(&held, &mut chance, number * 3 + 1);
        let change = held.change_to(&newer);
        if let Ok(changed) = other_base.changed(&change, &newer.digest()) {
            verify_that!(changed == newer, eq(true))?;
        } else {
            refused += 1;
        }
        held = newer;
    }
    verify_that!(refused, gt(100))
}

#[gtest]
fn a_change_of_one_route_costs_the_same_in_a_small_and_a_large_document() -> Result<()> {
    let change_length = |function_count: u64| {
        let founded = Document::founding(members(5)).with_roster(roster(90));
        let mut held = with_spec(&founded, spec(function_count, 0), 1);
        for number in 2..1_200u64 {
            held = held
                .with_zone("z".into(), number.is_multiple_of(2), ChangeId::from("z"))
                .numbered(number);
        }
        let mut changed_spec = spec(function_count, 0);
        changed_spec["routes"]["r3"]["budget_ms"] = json!(777);
        let newer = with_spec(&held, changed_spec, 2_000);
        (held.change_to(&newer).len(), newer.to_bytes().len())
    };
    let ((small_change, _), (large_change, large_document)) =
        (change_length(10), change_length(1_100));
    println!("{small_change} bytes at 10 functions, {large_change} of {large_document} at 1,100");
    verify_that!(large_change, eq(small_change))?;
    verify_that!(large_change * 100, lt(large_document))
}

#[gtest]
fn nonsense_is_no_change() -> Result<()> {
    let held = Document::founding(members(3));
    let newer = held.with_roster(roster(3));
    let change = held.change_to(&newer);
    for cut in 0..change.len() {
        verify_that!(held.changed(&change[..cut], &newer.digest()).is_err(), eq(true))?;
    }
    verify_that!(held.changed(&change, &[]).is_err(), eq(true))?;
    verify_that!(held.stamp, eq(Stamp { term: Term(1), serial: held.stamp.serial }))
}
