//! Deltas between versions of the document: a delta reproduces the newer version exactly, its size depends only on the
//! differences, and it is accepted only on its base.

use common::frames::SocketAddress;
use common::identity::{ChangeId, ControllerId, DocumentVersion, Term};
use common::rng::SeededRng;
use common::spec::{Document, ListedMember, Voter, read_spec};
use googletest::prelude::*;
use serde_json::{Value, json};
use std::collections::BTreeSet;

fn address(number: u64) -> SocketAddress {
    let (high, low) = (number / 250, number % 250);
    SocketAddress(format!("10.0.{high}.{low}:1").parse().expect("an address"))
}

fn voters(count: u64) -> Vec<Voter> {
    (1..=count)
        .map(|number| Voter {
            id: ControllerId(number),
            address: address(number),
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

fn with_spec(current: &Document, spec: Value, number: u64) -> Document {
    let checked_spec = read_spec(&spec).expect("a good spec");
    current
        .with_spec(
            spec,
            &checked_spec,
            ChangeId::from(format!("change-{number}")),
        )
        .numbered(number)
}

fn membership(count: u64) -> BTreeSet<ListedMember> {
    (0..count)
        .map(|number| ListedMember {
            member: format!("daemon-{number}").as_str().into(),
            address: address(number),
        })
        .collect()
}

/// Returns a next version with a random kind of change.
fn random_version(current: &Document, rng: &mut SeededRng, number: u64) -> Document {
    match rng.below(6) {
        0 => current.with_membership(membership(rng.below(20))),
        1 => current.with_zone(
            "zone-1".into(),
            rng.random_bool(0.5),
            ChangeId::from(format!("z{number}")),
        ),
        2 => {
            let mut joint = current.with_voters(voters(3 + rng.below(3)), ChangeId::from("core"));
            joint.previous_voters = current.voters.clone();
            joint
        }
        3 => {
            let mut elected = current.clone();
            elected.document_version.term = Term(current.document_version.term.0 + 1);
            elected
        }
        _ => with_spec(current, spec(rng.below(12), rng.below(3)), number),
    }
}

#[gtest]
fn a_delta_reproduces_the_same_version() -> Result<()> {
    let mut rng = SeededRng::seeded(21);
    let mut current = Document::initial(voters(3));
    for number in 1..3_000 {
        let newer = random_version(&current, &mut rng, number * 3);
        let changed = current.apply_delta(&current.delta_to(&newer), &newer.digest())?;
        verify_that!(changed == newer, eq(true))?;
        verify_that!(changed.to_bytes() == newer.to_bytes(), eq(true))?;
        current = changed;
    }
    Ok(())
}

#[gtest]
fn a_delta_is_accepted_only_on_its_base() -> Result<()> {
    let mut rng = SeededRng::seeded(22);
    let mut current = Document::initial(voters(3));
    let mut rejected_count = 0;
    for number in 1..300 {
        let newer = random_version(&current, &mut rng, number * 3);
        let other_base = random_version(&current, &mut rng, number * 3 + 1);
        let delta = current.delta_to(&newer);
        if let Ok(changed) = other_base.apply_delta(&delta, &newer.digest()) {
            verify_that!(changed == newer, eq(true))?;
        } else {
            rejected_count += 1;
        }
        current = newer;
    }
    verify_that!(rejected_count, gt(100))
}

#[gtest]
fn a_one_route_delta_has_the_same_size_in_small_and_large_documents() -> Result<()> {
    let delta_length = |function_count: u64| {
        let first_document = Document::initial(voters(5)).with_membership(membership(90));
        let mut current = with_spec(&first_document, spec(function_count, 0), 1);
        for number in 2..1_200u64 {
            current = current
                .with_zone("z".into(), number.is_multiple_of(2), ChangeId::from("z"))
                .numbered(number);
        }
        let mut changed_spec = spec(function_count, 0);
        changed_spec["routes"]["r3"]["budget_ms"] = json!(777);
        let newer = with_spec(&current, changed_spec, 2_000);
        (current.delta_to(&newer).len(), newer.to_bytes().len())
    };
    let ((small_delta, _), (large_delta, large_document)) = (delta_length(10), delta_length(1_100));
    println!("{small_delta} bytes at 10 functions, {large_delta} of {large_document} at 1,100");
    verify_that!(large_delta, eq(small_delta))?;
    verify_that!(large_delta * 100, lt(large_document))
}

#[gtest]
fn truncated_deltas_are_rejected() -> Result<()> {
    let current = Document::initial(voters(3));
    let newer = current.with_membership(membership(3));
    let delta = current.delta_to(&newer);
    for length in 0..delta.len() {
        verify_that!(
            current
                .apply_delta(&delta[..length], &newer.digest())
                .is_err(),
            eq(true)
        )?;
    }
    verify_that!(current.apply_delta(&delta, &[]).is_err(), eq(true))?;
    verify_that!(
        current.document_version,
        eq(DocumentVersion {
            term: Term(1),
            version: current.document_version.version
        })
    )
}
