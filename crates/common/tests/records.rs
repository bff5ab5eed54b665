//! A spec in records says what the whole text says: checked, written, changed and digested alike.

use common::chance::Chance;
use common::identity::{ChangeId, FunctionIndex, Serial, TransactionId};
use common::spec::{Document, SpecRecords, Table, View, read_spec};
use googletest::prelude::*;
use hyper::Method;
use serde_json::{Value, json};

const FUNCTIONS: u64 = 12;

fn drawn_route(chance: &mut Chance) -> Value {
    let function = format!("f{}", chance.below(FUNCTIONS + 1));
    let kind = if chance.happens(0.9) { "once" } else { "twice" };
    let mut route =
        json!({"function": function, "budget_ms": 1000 + chance.below(3), "kind": kind});
    if chance.happens(0.5) {
        route["host"] = json!("h.example");
        route["prefix"] = json!(format!("/p{}/", chance.below(40)));
    } else {
        route["method"] = json!("POST");
        route["path"] = json!(format!("/q{}/{{id}}", chance.below(40)));
    }
    route
}

fn drawn_spec(chance: &mut Chance) -> Value {
    let mut spec = json!({"functions": {}, "routes": {}});
    for number in 0..FUNCTIONS {
        let slots = u64::from(chance.happens(0.98)) * (1 + chance.below(3));
        spec["functions"][format!("f{number}")] =
            json!({"memory_mb": 100, "boot_ms": 10, "slots": slots});
    }
    for number in 0..chance.below(5) {
        spec["routes"][format!("r{number}")] = drawn_route(chance);
    }
    if chance.happens(0.2) {
        spec["limits"] = json!({"idle_ms": 500 + chance.below(9)});
    }
    if chance.happens(0.05) {
        spec["extra"] = json!(1);
    }
    if chance.happens(0.05) {
        spec["routes"] = json!([]);
    }
    spec
}

fn view_of(spec: &SpecRecords, serial: u64) -> View {
    let checked_spec = spec.check().unwrap_or_default();
    let mut document = Document::founding(Vec::new());
    document.stamp.serial = Serial(serial);
    document.with_spec(spec.clone(), &checked_spec, ChangeId::from("c")).view()
}

#[gtest]
fn records_are_checked_as_the_whole_text_is() -> Result<()> {
    let mut chance = Chance::seeded(11);
    let (mut good_count, mut bad_count) = (0, 0);
    for _ in 0..2_000 {
        let spec = drawn_spec(&mut chance);
        let (by_records, by_text) = (SpecRecords::new(spec.clone()).check(), read_spec(&spec));
        verify_that!(by_records == by_text, eq(true))?;
        if by_text.is_ok() {
            good_count += 1;
        } else {
            bad_count += 1;
        }
    }
    verify_that!(good_count, gt(100))?;
    verify_that!(bad_count, gt(100))
}

#[gtest]
fn records_are_written_as_the_whole_text_is() -> Result<()> {
    let mut chance = Chance::seeded(12);
    let odd_specs = [json!({}), json!(7), json!({"functions": 3}), json!({"labels": {"a": 1}})];
    let drawn_specs: Vec<Value> = (0..200).map(|_| drawn_spec(&mut chance)).collect();
    for spec in odd_specs.into_iter().chain(drawn_specs) {
        let records = SpecRecords::new(spec.clone());
        let mut text = Vec::new();
        records.write_to(&mut text);
        verify_that!(serde_json::from_slice::<Value>(&text)?, eq(&spec))?;
        verify_that!(records.to_value(), eq(&spec))?;
    }
    Ok(())
}

#[gtest]
fn a_change_by_records_leads_to_the_newer_view() -> Result<()> {
    let mut chance = Chance::seeded(13);
    let mut held_view = view_of(&SpecRecords::new(drawn_spec(&mut chance)), 1);
    for serial in 2..400 {
        let drawn = SpecRecords::new(drawn_spec(&mut chance));
        let newer_spec =
            if chance.happens(0.5) { drawn.succeeding(&held_view.spec) } else { drawn };
        let newer_view = view_of(&newer_spec, serial);
        let change = held_view.change_to(&newer_view);
        let changed_view = held_view.changed(&change, &newer_view.digest())?;
        verify_that!(changed_view == newer_view, eq(true))?;
        verify_that!(held_view.changed(&change, &held_view.digest()).is_err(), eq(true))?;
        held_view = changed_view;
    }
    Ok(())
}

#[gtest]
fn a_digest_tells_every_part_of_a_view_apart() -> Result<()> {
    let mut chance = Chance::seeded(14);
    let base_spec = json!({
        "functions": {"f0": {"memory_mb": 1, "boot_ms": 1, "slots": 1}},
        "routes": {"r": {"host": "h", "prefix": "/", "function": "f0", "budget_ms": 9, "kind": "once"}},
    });
    let base_view = view_of(&SpecRecords::new(base_spec.clone()), 1);
    let mut others = Vec::new();
    for (part, name, field) in [("functions", "f0", "slots"), ("routes", "r", "budget_ms")] {
        let mut other_spec = base_spec.clone();
        other_spec[part][name][field] = json!(2 + chance.below(5));
        others.push(view_of(&SpecRecords::new(other_spec), 1));
    }
    let mut limited_spec = base_spec;
    limited_spec["limits"] = json!({"idle_ms": 77});
    others.push(view_of(&SpecRecords::new(limited_spec), 1));
    others.push(View { serial: Serial(9), ..base_view.clone() });
    others.push(View { evacuated: ["z".into()].into(), ..base_view.clone() });
    others.push(View { generations: Default::default(), ..base_view.clone() });
    for other in others {
        verify_that!(other.digest() == base_view.digest(), eq(false))?;
    }
    let read_again = View::from_bytes(&base_view.to_bytes())?;
    verify_that!(read_again.digest() == base_view.digest(), eq(true))
}

#[gtest]
fn a_table_of_a_changed_view_shares_what_did_not_change() -> Result<()> {
    let mut chance = Chance::seeded(15);
    let mut spec = json!({"functions": {}, "routes": {}});
    for number in 0..20 {
        spec["functions"][format!("f{number}")] =
            json!({"memory_mb": 100, "boot_ms": 10, "slots": 1 + chance.below(3)});
    }
    let base_view = view_of(&SpecRecords::new(spec.clone()), 1);
    let base_table = Table::build(&base_view)?;
    spec["functions"]["f7"]["slots"] = json!(9);
    let newer_view = view_of(&SpecRecords::new(spec), 2);
    let change = base_view.change_to(&newer_view);
    let changed_view = base_view.changed(&change, &newer_view.digest())?;
    let changed_table = Table::build(&changed_view)?;
    let pairs = base_table.functions().iter().zip(changed_table.functions());
    let shared = pairs.filter(|(held, newer)| std::sync::Arc::ptr_eq(&held.spec, &newer.spec));
    verify_that!(shared.count(), eq(19))
}

/// What a table answers, as text: every function, route and look-up.
fn told_by(table: &Table) -> String {
    let functions = table.functions().iter().enumerate().map(|(place, entry)| {
        let index = FunctionIndex(place);
        let is_found = table.index_of(&entry.key) == Some(index);
        format!("{} {:?} {is_found} {}", entry.key, entry.spec, table.is_warm(index))
    });
    let routes = table.routes().iter().map(|route| {
        let is_found = table
            .route_named(&route.spec.name)
            .is_some_and(|found| found.spec == route.spec && found.function == route.function);
        format!("{:?} {:?} {:?} {is_found}", route.spec, route.function, route.shares)
    });
    let transaction = TransactionId::from("t");
    let lookups = (0..40).flat_map(|number| {
        [("h.example", format!("/p{number}/x")), ("", format!("/q{number}/x"))].map(
            |(host, path)| {
                let found = table.route(&Method::POST, host, &path, &transaction);
                format!("{path}: {:?}", found.map(|found| &found.route.spec.name))
            },
        )
    });
    let all: Vec<String> = functions.chain(routes).chain(lookups).collect();
    format!("{} {:?} {}", table.serial(), table.limits(), all.join("\n"))
}

#[gtest]
fn a_table_made_from_an_earlier_one_answers_as_one_made_anew() -> Result<()> {
    let mut chance = Chance::seeded(17);
    let mut earlier = Table::empty();
    let mut plain_spec = drawn_spec(&mut chance);
    let mut good_count = 0;
    for serial in 2..3_000 {
        if chance.happens(0.2) {
            plain_spec = drawn_spec(&mut chance);
        } else if let Some((_, route)) =
            plain_spec["routes"].as_object_mut().and_then(|routes| routes.iter_mut().next())
        {
            route["function"] = json!(format!("f{}", chance.below(FUNCTIONS + 1)));
            route["budget_ms"] = json!(900 + chance.below(3));
        }
        let view = view_of(&SpecRecords::new(plain_spec.clone()), serial);
        let anew = Table::build(&view);
        let after = Table::build_after(&earlier, &view);
        verify_that!(after.is_ok(), eq(anew.is_ok()))?;
        if let (Ok(anew), Ok(after)) = (anew, after) {
            good_count += 1;
            verify_that!(told_by(&after), eq(&told_by(&anew)))?;
            earlier = after;
        }
    }
    println!("{good_count} tables");
    verify_that!(good_count, gt(500))
}
