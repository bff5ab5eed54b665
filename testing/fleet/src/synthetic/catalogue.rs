//! The spec of a synthetic fleet, and its changes.

use common::rng::SeededRng;
use serde_json::{Map, Value, json};

/// The name of the function with this number, and of its route.
pub(super) fn name_of(number: usize) -> String {
    format!("function-{number:05}")
}

fn function_of(rng: &mut SeededRng, runners: u32) -> Value {
    json!({
        "memory_mb": 128 + 64 * rng.below(4),
        "boot_ms": 500 + rng.below(900),
        "slots": 4,
        "runners": {"min": runners, "max": runners.max(8)},
    })
}

/// A spec with this number of functions, one route each; requests of one in four must run at most once.
pub(super) fn spec_of(rng: &mut SeededRng, functions: usize, runners: u32) -> Value {
    let mut function_rows = Map::new();
    let mut route_rows = Map::new();
    for number in 0..functions {
        let name = name_of(number);
        let kind = if number % 4 == 0 {
            "once"
        } else {
            "repeatable"
        };
        let route_row = json!({
            "method": "POST",
            "path": format!("/{name}/{{id}}"),
            "function": name,
            "budget_ms": 3000,
            "kind": kind,
        });
        function_rows.insert(name.clone(), function_of(rng, runners));
        route_rows.insert(name, route_row);
    }
    json!({"functions": function_rows, "routes": route_rows})
}

/// Changes the slots of one function.
pub(super) fn change_of(rng: &mut SeededRng, functions: usize, turn: u32) -> Value {
    let name = name_of(rng.below(functions as u64) as usize);
    json!({"functions": {name: {"slots": 5 + turn % 100}}})
}
