//! A change of the product's own API that cannot be read in full is refused: whatever is accepted is taken whole.

#[path = "../../../testing/support/json_mutations.rs"]
mod json_mutations;
#[path = "../../../testing/support/operator_requests.rs"]
mod operator_requests;

use common::spec::read_spec;
use controlplane::controller_state::{ChangeKind, ItemChange, Operation};
use controlplane::drivers::{NativeOperatorApi, OperatorApiAdapter};
use googletest::prelude::*;
use json_mutations::{repeated_names, wrong_types};
use operator_requests::request_head;
use serde_json::{Map, Value, json};

fn read(method: &str, target: &str, body: &Value) -> Option<ChangeKind> {
    read_text(method, target, &body.to_string())
}

fn read_text(method: &str, target: &str, body: &str) -> Option<ChangeKind> {
    let head = request_head(method, target, &[]);
    match NativeOperatorApi.read(&head, body.as_bytes()) {
        Ok(Operation::Change(request)) => Some(request.kind),
        _ => None,
    }
}

fn functions() -> Value {
    json!({"f": {
        "memory_mb": 100, "boot_ms": 200, "slots": 2, "runners": {"min": 0, "max": 3},
        "connections": 20, "labels": {"team": "a"},
    }})
}

fn routes() -> Value {
    json!({
        "by-prefix": {
            "host": "h", "prefix": "/p/", "functions": {"f": 3}, "budget_ms": 3000, "kind": "once",
            "identities": "fresh", "tries": 2, "target_ms": 100, "patience_ms": 100, "rank": 1,
        },
        "by-path": {
            "method": "POST", "path": "/r", "function": "f", "budget_ms": 3000,
            "kind": "repeatable", "labels": {"team": "a"},
        },
    })
}

fn limits() -> Value {
    json!({"header_bytes": 16384, "body_bytes": 1000, "header_ms": 100, "idle_ms": 100})
}

fn whole_spec() -> Value {
    json!({
        "base_serial": 5, "change_id": "c", "wait": "accepted",
        "spec": {
            "functions": functions(), "routes": routes(), "limits": limits(),
            "labels": {"owner": "a"},
        },
    })
}

fn named_items() -> Value {
    json!({
        "number": 9, "base_number": 8, "change_id": "c", "wait": "in_force",
        "put": {
            "functions": functions(), "routes": routes(), "limits": limits(),
            "labels": {"owner": "a"},
        },
        "remove": {"functions": ["g"], "routes": ["old"]},
    })
}

/// Whether a change would be accepted, as far as its own content goes.
fn is_accepted(kind: &ChangeKind) -> bool {
    match kind {
        ChangeKind::FullSpec(spec) => read_spec(&spec.to_value()).is_ok(),
        ChangeKind::Items(items) => read_spec(&spec_of(items)).is_ok(),
        _ => true,
    }
}

/// A spec of the items that are put, with the function that the routes need.
fn spec_of(items: &ItemChange) -> Value {
    let mut functions: Map<String, Value> = items
        .put_functions
        .iter()
        .map(|(name, function)| (name.to_string(), function.clone()))
        .collect();
    functions
        .entry("f")
        .or_insert_with(|| json!({"memory_mb": 1, "boot_ms": 1, "slots": 1}));
    let routes: Map<String, Value> = items
        .put_routes
        .iter()
        .map(|(name, route)| (name.to_string(), route.clone()))
        .collect();
    json!({"functions": functions, "routes": routes, "limits": items.limits, "labels": items.labels})
}

/// What is below labels is kept and never read, so that it may be anything.
fn is_label(path: &str) -> bool {
    path.contains("labels.")
}

fn verify_refused(method: &str, target: &str, document: &Value) -> Result<()> {
    let kind = read(method, target, document);
    verify_that!(kind.is_some_and(|kind| is_accepted(&kind)), eq(true))?;
    for mutation in wrong_types(document) {
        if is_label(&mutation.path) {
            continue;
        }
        let kind = read(method, target, &mutation.document);
        let is_taken = kind.is_some_and(|kind| is_accepted(&kind));
        verify_that!(is_taken, eq(false))
            .with_failure_message(|| format!("{}: {}", mutation.path, mutation.document))?;
    }
    Ok(())
}

/// Items whose parts are no objects were accepted and changed nothing: the same as review case CONFIG.
#[gtest]
fn named_items_with_a_value_of_a_wrong_type_are_refused() -> Result<()> {
    verify_refused("PATCH", "/v1/spec", &named_items())
}

/// Limits, labels and runners that were no objects were accepted, and their defaults were in force.
#[gtest]
fn a_spec_with_a_value_of_a_wrong_type_is_refused() -> Result<()> {
    verify_refused("PUT", "/v1/spec", &whole_spec())
}

#[gtest]
fn an_evacuation_with_a_value_of_a_wrong_type_is_refused() -> Result<()> {
    let body = json!({"base_serial": 5, "change_id": "c", "force": true, "wait": "accepted"});
    verify_refused("POST", "/v1/localities/north/evacuate", &body)
}

/// An item without a value was left out, and the change was accepted without it.
#[gtest]
fn an_item_without_a_value_is_refused() -> Result<()> {
    for part in ["functions", "routes"] {
        let mut body = named_items();
        body["put"][part]["other"] = Value::Null;
        let is_read = read("PATCH", "/v1/spec", &body).is_some();
        verify_that!(is_read, eq(false)).with_failure_message(|| body.to_string())?;
    }
    Ok(())
}

/// What another call alters was passed over by this one.
#[gtest]
fn a_change_with_the_content_of_another_call_is_refused() -> Result<()> {
    let calls = [
        ("PUT", "/v1/spec", whole_spec()),
        ("PATCH", "/v1/spec", named_items()),
        (
            "POST",
            "/v1/localities/north/restore",
            json!({"change_id": "c"}),
        ),
    ];
    let contents = [
        ("spec", json!({})),
        ("patch", json!({"routes": {"r": null}})),
        ("put", json!({"functions": {}})),
        ("remove", json!({"routes": ["r"]})),
        ("force", json!(true)),
    ];
    for (method, target, body) in calls {
        let own: &[&str] = match method {
            "PUT" => &["spec"],
            "PATCH" => &["put", "remove"],
            _ => &["force"],
        };
        for (name, content) in &contents {
            let mut mixed = body.clone();
            mixed[*name] = content.clone();
            let is_read = read(method, target, &mixed).is_some();
            verify_that!(is_read, eq(own.contains(name)))
                .with_failure_message(|| format!("{method} {target} {mixed}"))?;
        }
    }
    Ok(())
}

/// A restoration with a value of a wrong type was acknowledged: its reader passed `force` over.
#[gtest]
fn a_restoration_with_a_value_of_a_wrong_type_is_refused() -> Result<()> {
    let body = json!({"base_serial": 5, "change_id": "c", "force": true, "wait": "accepted"});
    verify_refused("POST", "/v1/localities/north/restore", &body)
}

/// Of a name that stood twice only the last value was taken, and the change was acknowledged without the first.
#[gtest]
fn a_change_with_a_name_that_stands_twice_is_refused() -> Result<()> {
    let evacuation = json!({"change_id": "c", "force": true});
    for (method, target, body) in [
        ("PUT", "/v1/spec", whole_spec()),
        ("PATCH", "/v1/spec", named_items()),
        ("POST", "/v1/localities/north/evacuate", evacuation),
    ] {
        for repeated in repeated_names(&body) {
            let is_read = read_text(method, target, &repeated.text).is_some();
            verify_that!(is_read, eq(false))
                .with_failure_message(|| format!("{}: {}", repeated.path, repeated.text))?;
        }
    }
    Ok(())
}
