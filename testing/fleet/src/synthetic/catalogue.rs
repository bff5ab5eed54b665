//! The spec of a synthetic fleet and changes to it.

use common::rng::SeededRng;
use serde_json::{Map, Value, json};

/// Returns the name of the function with this number, which is also that of its route.
pub(super) fn function_name(number: usize) -> String {
    format!("function-{number:05}")
}

fn random_function(rng: &mut SeededRng, runners: u32) -> Value {
    json!({
        "memory_mb": 128 + 64 * rng.below(4),
        "boot_ms": 500 + rng.below(900),
        "slots": 4,
        "runners": {"min": runners, "max": runners.max(8)},
    })
}

/// Draws a spec with this number of functions and one route for each. One route in four is for requests that must run at
/// most once.
pub(super) fn random_spec(rng: &mut SeededRng, functions: usize, runners: u32) -> Value {
    let mut function_rows = Map::new();
    let mut route_rows = Map::new();
    for number in 0..functions {
        let name = function_name(number);
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
        function_rows.insert(name.clone(), random_function(rng, runners));
        route_rows.insert(name, route_row);
    }
    json!({"functions": function_rows, "routes": route_rows})
}

/// Draws a change of the slots of one function.
pub(super) fn random_change(rng: &mut SeededRng, functions: usize, change_number: u32) -> Value {
    let name = function_name(rng.below(functions as u64) as usize);
    json!({"functions": {name: {"slots": 5 + change_number % 100}}})
}
