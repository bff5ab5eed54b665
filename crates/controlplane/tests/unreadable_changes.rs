//! A change of the product's own API that cannot be read completely is rejected, so that no part of an accepted change
//! is ignored.

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

fn full_spec_change() -> Value {
    json!({
        "base_serial": 5, "change_id": "c", "wait": "accepted",
        "spec": {
            "functions": functions(), "routes": routes(), "limits": limits(),
            "labels": {"owner": "a"},
        },
    })
}

fn item_change() -> Value {
    json!({
        "number": 9, "base_number": 8, "change_id": "c", "wait": "in_force",
        "put": {
            "functions": functions(), "routes": routes(), "limits": limits(),
            "labels": {"owner": "a"},
        },
        "remove": {"functions": ["g"], "routes": ["old"]},
    })
}

/// Whether the content of a change is valid.
fn is_accepted(kind: &ChangeKind) -> bool {
    match kind {
        ChangeKind::FullSpec(spec) => read_spec(&spec.to_value()).is_ok(),
        ChangeKind::Items(items) => read_spec(&spec_of(items)).is_ok(),
        _ => true,
    }
}

/// Returns a spec with the items to put and with the function that the routes refer to.
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

/// Whether the path is inside labels, which are stored without being interpreted and may have any type.
fn is_label(path: &str) -> bool {
    path.contains("labels.")
}

/// Checks that a valid change is accepted, and that each variant of it with a value of a wrong type is rejected.
fn verify_wrong_types_rejected(method: &str, target: &str, document: &Value) -> Result<()> {
    let kind = read(method, target, document);
    verify_that!(kind.is_some_and(|kind| is_accepted(&kind)), eq(true))?;
    for mutation in wrong_types(document) {
        if is_label(&mutation.path) {
            continue;
        }
        let kind = read(method, target, &mutation.document);
        let is_accepted = kind.is_some_and(|kind| is_accepted(&kind));
        verify_that!(is_accepted, eq(false))
            .with_failure_message(|| format!("{}: {}", mutation.path, mutation.document))?;
    }
    Ok(())
}

/// Guards against a change of items that is accepted and changes nothing, because a part of it, such as `put` or its
/// `functions`, is not an object and is skipped.
#[gtest]
fn an_item_change_with_a_value_of_a_wrong_type_is_rejected() -> Result<()> {
    verify_wrong_types_rejected("PATCH", "/v1/spec", &item_change())
}

/// Guards against limits, labels or runners that are not objects, but are accepted and replaced with their defaults.
#[gtest]
fn a_spec_with_a_value_of_a_wrong_type_is_rejected() -> Result<()> {
    verify_wrong_types_rejected("PUT", "/v1/spec", &full_spec_change())
}

#[gtest]
fn an_evacuation_with_a_value_of_a_wrong_type_is_rejected() -> Result<()> {
    let body = json!({"base_serial": 5, "change_id": "c", "force": true, "wait": "accepted"});
    verify_wrong_types_rejected("POST", "/v1/localities/north/evacuate", &body)
}

/// Guards against a change that is accepted without one of its items because the item has no value.
#[gtest]
fn an_item_without_a_value_is_rejected() -> Result<()> {
    for part in ["functions", "routes"] {
        let mut body = item_change();
        body["put"][part]["other"] = Value::Null;
        let is_read = read("PATCH", "/v1/spec", &body).is_some();
        verify_that!(is_read, eq(false)).with_failure_message(|| body.to_string())?;
    }
    Ok(())
}

/// Guards against a call that ignores fields of its body that belong to another call.
#[gtest]
fn a_change_with_the_content_of_another_call_is_rejected() -> Result<()> {
    let calls = [
        ("PUT", "/v1/spec", full_spec_change()),
        ("PATCH", "/v1/spec", item_change()),
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
        let own_fields: &[&str] = match method {
            "PUT" => &["spec"],
            "PATCH" => &["put", "remove"],
            _ => &["force"],
        };
        for (name, content) in &contents {
            let mut mixed = body.clone();
            mixed[*name] = content.clone();
            let is_read = read(method, target, &mixed).is_some();
            verify_that!(is_read, eq(own_fields.contains(name)))
                .with_failure_message(|| format!("{method} {target} {mixed}"))?;
        }
    }
    Ok(())
}

/// Guards against a restore that is acknowledged although `force` has a wrong type, because the field is not read.
#[gtest]
fn a_restore_with_a_value_of_a_wrong_type_is_rejected() -> Result<()> {
    let body = json!({"base_serial": 5, "change_id": "c", "force": true, "wait": "accepted"});
    verify_wrong_types_rejected("POST", "/v1/localities/north/restore", &body)
}

/// Guards against a change that is acknowledged although it contains a name twice, so that only the last value is
/// applied.
#[gtest]
fn a_change_with_a_duplicate_name_is_rejected() -> Result<()> {
    let evacuation = json!({"change_id": "c", "force": true});
    for (method, target, body) in [
        ("PUT", "/v1/spec", full_spec_change()),
        ("PATCH", "/v1/spec", item_change()),
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
