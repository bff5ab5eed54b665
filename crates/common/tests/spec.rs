//! Reading a spec reports every error, look-ups in a routing table agree with a linear search, and deltas between views
//! either reproduce the newer view or are rejected.

use common::frames::{HeaderField, LengthPrefixed, RequestPayload, SocketAddress};
use common::identity::{ChangeId, ControllerId, Version, Zone};
use common::readers::{SettingsSource, read_addresses};
use common::rng::SeededRng;
use common::spec::{DaemonView, Document, RoutingTable, Voter, read_spec};
use googletest::prelude::*;
use hyper::Method;
use serde_json::{Value, json};

fn function() -> Value {
    json!({"memory_mb": 100, "boot_ms": 10, "slots": 2})
}

fn route(path: &str, name: &str) -> Value {
    json!({"method": "POST", "path": path, "function": name, "budget_ms": 1000, "kind": "once"})
}

fn document() -> Document {
    let voter = Voter {
        id: ControllerId(0xabc),
        address: SocketAddress("127.0.0.1:1".parse().expect("an address")),
        zone: "here".into(),
    };
    Document::initial(vec![voter])
}

fn changed(document: &Document, spec: Value, change: &str) -> Document {
    let checked_spec = read_spec(&spec).expect("a good spec");
    document.with_spec(spec, &checked_spec, ChangeId::from(change))
}

#[gtest]
fn every_invalid_path_is_reported() -> Result<()> {
    let mut bad_function = function();
    bad_function["memory_mb"] = json!(0);
    bad_function["colour"] = json!("red");
    let spec = json!({
        "functions": {"a": function(), "b": bad_function},
        "routes": {
            "one": route("/x/{id}", "a"),
            "same": route("/x/{other}", "a"),
            "lost": route("/y", "nowhere"),
            "odd": {"method": "FETCH", "path": "y", "function": "a", "budget_ms": 0, "kind": "twice"},
        },
        "extra": 1,
    });
    let errors = read_spec(&spec).expect_err("errors");
    let paths: Vec<String> = errors.iter().map(|error| error.path.clone()).collect();
    verify_that!(
        paths,
        unordered_elements_are![
            eq("extra"),
            eq("functions.b.memory_mb"),
            eq("functions.b.colour"),
            eq("routes.same.path"),
            eq("routes.lost.function"),
            eq("routes.odd.method"),
            eq("routes.odd.path"),
            eq("routes.odd.kind"),
            eq("routes.odd.budget_ms"),
        ]
    )
}

/// Finds the route whose pattern matches a path, by a linear search.
fn linear_match<'a>(routes: &'a [(String, String)], path: &str) -> Option<&'a str> {
    let matches_pattern = |pattern: &str| {
        let pattern_parts: Vec<&str> = pattern.split('/').collect();
        let path_parts: Vec<&str> = path.split('/').collect();
        pattern_parts.len() == path_parts.len()
            && pattern_parts
                .iter()
                .zip(&path_parts)
                .all(|(pattern_part, path_part)| {
                    pattern_part == path_part
                        || (pattern_part.starts_with('{') && !path_part.is_empty())
                })
    };
    let literal_count = |pattern: &str| {
        pattern
            .split('/')
            .filter(|part| !part.starts_with('{'))
            .count()
    };
    routes
        .iter()
        .filter(|(_, pattern)| matches_pattern(pattern))
        .max_by_key(|(_, pattern)| literal_count(pattern))
        .map(|(name, _)| name.as_str())
}

#[gtest]
fn thousands_of_routes_match_like_a_linear_search() -> Result<()> {
    let mut routes = serde_json::Map::new();
    let mut patterns = Vec::new();
    for number in 0..3000 {
        let pattern = match number % 3 {
            0 => format!("/area/{number}/tile"),
            1 => format!("/area/{number}/{{tile}}"),
            _ => format!("/{{any}}/list-{number}"),
        };
        let name = format!("r{number}");
        routes.insert(name.clone(), route(&pattern, "a"));
        patterns.push((name, pattern));
    }
    let spec = json!({"functions": {"a": function()}, "routes": routes});
    let view = changed(&document(), spec, "c").view();
    let table = RoutingTable::build(&view)?;
    let mut rng = SeededRng::seeded(3);
    for _ in 0..300 {
        let number = rng.below(3300);
        let path = match rng.below(3) {
            0 => format!("/area/{number}/tile"),
            1 => format!("/area/{number}/other"),
            _ => format!("/w/list-{number}"),
        };
        let found = table.route(&Method::POST, "", &path, &"t".into());
        let found = found.map(|found| found.route.spec.name.as_str());
        verify_that!(found, eq(linear_match(&patterns, &path)))?;
    }
    verify_that!(
        table
            .route(&Method::GET, "", "/area/0/tile", &"t".into())
            .is_none(),
        eq(true)
    )
}

/// Guards against daemons that find different routes for one request (review/7): the payload that travels between them
/// leads to the route that the ingress found by the caller's header and URI.
#[gtest]
fn a_forwarded_request_matches_the_route_that_the_ingress_matched() -> Result<()> {
    let prefix = |host: &str, prefix: &str| {
        json!({
            "host": host, "prefix": prefix, "function": "a", "budget_ms": 1000, "kind": "once",
        })
    };
    let spec = json!({
        "functions": {"a": function()},
        "routes": {
            "short": prefix("h.example", "/x/"),
            "long": prefix("h.example", "/x/y/"),
            "other-host": prefix("other.example", "/x/y/"),
            "pattern": route("/x/{id}", "a"),
        },
    });
    let table = RoutingTable::build(&changed(&document(), spec, "c").view())?;
    for (host, target, expected) in [
        ("h.example", "/x/1", Some("short")),
        ("H.Example:8080", "/x/y/1?to=/z/", Some("long")),
        ("other.example", "/x/y/", Some("other-host")),
        ("", "/x/1?y", Some("pattern")),
        ("unknown.example", "/x/1", Some("pattern")),
        ("unknown.example", "/x/1/2", None),
    ] {
        let payload = RequestPayload {
            target: target.into(),
            header_fields: LengthPrefixed(vec![HeaderField {
                name: "Host".into(),
                value: host.as_bytes().to_vec().into(),
            }]),
            ..RequestPayload::from_body(Vec::new().into())
        };
        let path = target.split('?').next().unwrap_or("");
        let matched = table.route(&Method::POST, host, path, &"t".into());
        let matched = matched.map(|found| found.route.spec.name.as_str());
        let found = table.route_of(&payload);
        let found = found.map(|route| route.spec.name.as_str());
        verify_that!((matched, found), eq((expected, expected)))?;
    }
    Ok(())
}

#[gtest]
fn a_recreated_function_has_a_new_generation() -> Result<()> {
    let with_a = json!({"functions": {"a": function()}, "routes": {}});
    let without_a = json!({"functions": {}, "routes": {}});
    let first = changed(&document(), with_a.clone(), "1");
    let unchanged = changed(&first, with_a.clone(), "2");
    let recreated = changed(&changed(&unchanged, without_a, "3"), with_a, "4");
    let key_of = |document: &Document| {
        RoutingTable::build(&document.view()).map(|table| table.functions()[0].key.to_string())
    };
    verify_that!(key_of(&first)?, eq("a@2"))?;
    verify_that!(key_of(&unchanged)?, eq("a@2"))?;
    verify_that!(key_of(&recreated)?, eq("a@5"))
}

#[gtest]
fn deltas_reproduce_the_view_or_are_rejected() -> Result<()> {
    let old_document = document();
    let spec = json!({"functions": {"a": function()}, "routes": {"r": route("/r", "a")}});
    let new_document = changed(&old_document, spec, "c1").with_zone(
        Zone::from("north"),
        true,
        ChangeId::from("c2"),
    );
    let (old_view, new_view) = (old_document.view(), new_document.view());
    let delta = old_view.delta_to(&new_view);
    verify_that!(
        old_view.apply_delta(&delta, &new_view.digest())? == new_view,
        eq(true)
    )?;
    verify_that!(old_view.apply_delta(&delta, &[0; 32]).is_err(), eq(true))?;
    let other_base = old_document
        .with_zone(Zone::from("south"), true, ChangeId::from("c3"))
        .view();
    verify_that!(
        other_base.apply_delta(&delta, &new_view.digest()).is_err(),
        eq(true)
    )?;
    let decoded = DaemonView::from_bytes(&new_view.to_bytes())?;
    verify_that!(decoded == new_view, eq(true))?;
    verify_that!(
        Document::from_bytes(&new_document.to_bytes())? == new_document,
        eq(true)
    )?;
    verify_that!(new_view.version, eq(Version(3)))
}

fn seeds_error(seeds: Value) -> String {
    let source = SettingsSource::from_value("file.json", json!({"seeds": seeds}));
    let read = source.read(|root| read_addresses(&root.field("seeds"), 1..=3));
    read.expect_err("an error").to_string()
}

#[gtest]
fn settings_errors_name_source_key_and_reason() -> Result<()> {
    let seeds = json!(["127.0.0.1:1", "nowhere:2", "127.0.0.1:3"]);
    verify_that!(
        seeds_error(seeds),
        eq("file.json: seeds.1 is not an IP number with port: \"nowhere:2\"")
    )?;
    verify_that!(
        seeds_error(json!([])),
        eq("file.json: seeds needs 1 to 3 addresses")
    )
}
