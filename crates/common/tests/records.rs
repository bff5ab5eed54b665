//! A spec that is split into records is validated, serialized, changed and digested like the whole spec.

use common::identity::{ChangeId, FunctionIndex, IdempotencyKey, Version};
use common::rng::SeededRng;
use common::spec::{DaemonView, Document, RoutingTable, SpecRecords, read_spec};
use googletest::prelude::*;
use hyper::Method;
use serde_json::{Value, json};

const FUNCTIONS: u64 = 12;

fn random_route(rng: &mut SeededRng) -> Value {
    let function = format!("f{}", rng.below(FUNCTIONS + 1));
    let kind = if rng.random_bool(0.9) {
        "once"
    } else {
        "twice"
    };
    let mut route = json!({"function": function, "budget_ms": 1000 + rng.below(3), "kind": kind});
    if rng.random_bool(0.5) {
        route["host"] = json!("h.example");
        route["prefix"] = json!(format!("/p{}/", rng.below(40)));
    } else {
        route["method"] = json!("POST");
        route["path"] = json!(format!("/q{}/{{id}}", rng.below(40)));
    }
    route
}

fn random_spec(rng: &mut SeededRng) -> Value {
    let mut spec = json!({"functions": {}, "routes": {}});
    for number in 0..FUNCTIONS {
        let slots = u64::from(rng.random_bool(0.98)) * (1 + rng.below(3));
        spec["functions"][format!("f{number}")] =
            json!({"memory_mb": 100, "boot_ms": 10, "slots": slots});
    }
    for number in 0..rng.below(5) {
        spec["routes"][format!("r{number}")] = random_route(rng);
    }
    if rng.random_bool(0.2) {
        spec["limits"] = json!({"idle_ms": 500 + rng.below(9)});
    }
    if rng.random_bool(0.05) {
        spec["extra"] = json!(1);
    }
    if rng.random_bool(0.05) {
        spec["routes"] = json!([]);
    }
    spec
}

fn view_of(spec: &SpecRecords, version: u64) -> DaemonView {
    let checked_spec = spec.check().unwrap_or_default();
    let mut document = Document::initial(Vec::new());
    document.document_version.version = Version(version);
    document
        .with_spec(spec.clone(), &checked_spec, ChangeId::from("c"))
        .view()
}

#[gtest]
fn records_check_like_the_full_spec() -> Result<()> {
    let mut rng = SeededRng::seeded(11);
    let (mut valid_count, mut invalid_count) = (0, 0);
    for _ in 0..2_000 {
        let spec = random_spec(&mut rng);
        let (from_records, from_value) = (SpecRecords::new(spec.clone()).check(), read_spec(&spec));
        verify_that!(from_records == from_value, eq(true))?;
        if from_value.is_ok() {
            valid_count += 1;
        } else {
            invalid_count += 1;
        }
    }
    verify_that!(valid_count, gt(100))?;
    verify_that!(invalid_count, gt(100))
}

#[gtest]
fn records_serialize_like_the_full_spec() -> Result<()> {
    let mut rng = SeededRng::seeded(12);
    let unusual_specs = [
        json!({}),
        json!(7),
        json!({"functions": 3}),
        json!({"labels": {"a": 1}}),
    ];
    let random_specs: Vec<Value> = (0..200).map(|_| random_spec(&mut rng)).collect();
    for spec in unusual_specs.into_iter().chain(random_specs) {
        let records = SpecRecords::new(spec.clone());
        let mut text = Vec::new();
        records.write_to(&mut text);
        verify_that!(serde_json::from_slice::<Value>(&text)?, eq(&spec))?;
        verify_that!(records.to_value(), eq(&spec))?;
    }
    Ok(())
}

#[gtest]
fn a_record_delta_reproduces_the_newer_view() -> Result<()> {
    let mut rng = SeededRng::seeded(13);
    let mut current_view = view_of(&SpecRecords::new(random_spec(&mut rng)), 1);
    for version in 2..400 {
        let random_records = SpecRecords::new(random_spec(&mut rng));
        let newer_spec = if rng.random_bool(0.5) {
            random_records.sharing_records_with(&current_view.spec)
        } else {
            random_records
        };
        let newer_view = view_of(&newer_spec, version);
        let delta = current_view.delta_to(&newer_view);
        let changed_view = current_view.apply_delta(&delta, &newer_view.digest())?;
        verify_that!(changed_view == newer_view, eq(true))?;
        verify_that!(
            current_view
                .apply_delta(&delta, &current_view.digest())
                .is_err(),
            eq(true)
        )?;
        current_view = changed_view;
    }
    Ok(())
}

#[gtest]
fn the_digest_covers_every_part_of_a_view() -> Result<()> {
    let mut rng = SeededRng::seeded(14);
    let base_spec = json!({
        "functions": {"f0": {"memory_mb": 1, "boot_ms": 1, "slots": 1}},
        "routes": {"r": {"host": "h", "prefix": "/", "function": "f0", "budget_ms": 9, "kind": "once"}},
    });
    let base_view = view_of(&SpecRecords::new(base_spec.clone()), 1);
    let mut others = Vec::new();
    for (part, name, field) in [("functions", "f0", "slots"), ("routes", "r", "budget_ms")] {
        let mut other_spec = base_spec.clone();
        other_spec[part][name][field] = json!(2 + rng.below(5));
        others.push(view_of(&SpecRecords::new(other_spec), 1));
    }
    let mut limited_spec = base_spec;
    limited_spec["limits"] = json!({"idle_ms": 77});
    others.push(view_of(&SpecRecords::new(limited_spec), 1));
    others.push(DaemonView {
        version: Version(9),
        ..base_view.clone()
    });
    others.push(DaemonView {
        evacuated: ["z".into()].into(),
        ..base_view.clone()
    });
    others.push(DaemonView {
        generations: Default::default(),
        ..base_view.clone()
    });
    for other in others {
        verify_that!(other.digest() == base_view.digest(), eq(false))?;
    }
    let decoded = DaemonView::from_bytes(&base_view.to_bytes())?;
    verify_that!(decoded.digest() == base_view.digest(), eq(true))
}

#[gtest]
fn a_table_of_a_changed_view_shares_unchanged_records() -> Result<()> {
    let mut rng = SeededRng::seeded(15);
    let mut spec = json!({"functions": {}, "routes": {}});
    for number in 0..20 {
        spec["functions"][format!("f{number}")] =
            json!({"memory_mb": 100, "boot_ms": 10, "slots": 1 + rng.below(3)});
    }
    let base_view = view_of(&SpecRecords::new(spec.clone()), 1);
    let base_table = RoutingTable::build(&base_view)?;
    spec["functions"]["f7"]["slots"] = json!(9);
    let newer_view = view_of(&SpecRecords::new(spec), 2);
    let delta = base_view.delta_to(&newer_view);
    let changed_view = base_view.apply_delta(&delta, &newer_view.digest())?;
    let changed_table = RoutingTable::build(&changed_view)?;
    let pairs = base_table.functions().iter().zip(changed_table.functions());
    let shared = pairs.filter(|(base, changed)| std::sync::Arc::ptr_eq(&base.spec, &changed.spec));
    verify_that!(shared.count(), eq(19))
}

/// Returns all functions and routes of a table, and the results of look-ups, as text.
fn lookup_results(table: &RoutingTable) -> String {
    let functions = table
        .functions()
        .iter()
        .enumerate()
        .map(|(position, entry)| {
            let index = FunctionIndex(position);
            let is_found = table.index_of(&entry.key) == Some(index);
            format!(
                "{} {:?} {is_found} {}",
                entry.key,
                entry.spec,
                table.is_prewarmed(index)
            )
        });
    let routes = table.routes().iter().map(|route| {
        let is_found = table
            .route_named(&route.spec.name)
            .is_some_and(|found| found.spec == route.spec && found.function == route.function);
        format!(
            "{:?} {:?} {:?} {is_found}",
            route.spec, route.function, route.shares
        )
    });
    let idempotency_key = IdempotencyKey::from("t");
    let lookups = (0..40).flat_map(|number| {
        [
            ("h.example", format!("/p{number}/x")),
            ("", format!("/q{number}/x")),
        ]
        .map(|(host, path)| {
            let found = table.route(&Method::POST, host, &path, &idempotency_key);
            format!("{path}: {:?}", found.map(|found| &found.route.spec.name))
        })
    });
    let all: Vec<String> = functions.chain(routes).chain(lookups).collect();
    format!(
        "{} {:?} {}",
        table.version(),
        table.limits(),
        all.join("\n")
    )
}

#[gtest]
fn an_incrementally_built_table_equals_a_new_one() -> Result<()> {
    let mut rng = SeededRng::seeded(17);
    let mut earlier = RoutingTable::empty();
    let mut spec = random_spec(&mut rng);
    let mut valid_count = 0;
    for version in 2..3_000 {
        if rng.random_bool(0.2) {
            spec = random_spec(&mut rng);
        } else if let Some((_, route)) = spec["routes"]
            .as_object_mut()
            .and_then(|routes| routes.iter_mut().next())
        {
            route["function"] = json!(format!("f{}", rng.below(FUNCTIONS + 1)));
            route["budget_ms"] = json!(900 + rng.below(3));
        }
        let view = view_of(&SpecRecords::new(spec.clone()), version);
        let full_table = RoutingTable::build(&view);
        let incremental_table = RoutingTable::build_after(&earlier, &view);
        verify_that!(incremental_table.is_ok(), eq(full_table.is_ok()))?;
        if let (Ok(full_table), Ok(incremental_table)) = (full_table, incremental_table) {
            valid_count += 1;
            verify_that!(
                lookup_results(&incremental_table),
                eq(&lookup_results(&full_table))
            )?;
            earlier = incremental_table;
        }
    }
    println!("{valid_count} tables");
    verify_that!(valid_count, gt(500))
}
