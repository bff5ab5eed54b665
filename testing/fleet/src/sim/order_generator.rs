//! Random orders of operators: configurations with version numbers that skip values, some of them invalid.

use super::operator::spec;
use crate::history::{Effect, Order};
use common::rng::SeededRng;
use controlplane::controller_state::{ChangeKind, ItemChange};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// The share of orders that are invalid.
const INVALID_SHARE: f64 = 0.12;
/// The share of orders that change single items of the configuration.
const ITEMS_SHARE: f64 = 0.3;
/// The share of orders whose base version is older than the newest one that the operator knows.
const OLD_BASE_SHARE: f64 = 0.08;
/// The largest difference between the number of an order and the number of its base version.
const MAX_NUMBER_STEP: u64 = 5;

/// A defect that makes an order invalid on every base version.
#[derive(Clone, Copy)]
enum Defect {
    UnknownFunction,
    DuplicatePath,
    ZeroBudget,
    NumberNotAboveBase,
}

const DEFECTS: [Defect; 4] = [
    Defect::UnknownFunction,
    Defect::DuplicatePath,
    Defect::ZeroBudget,
    Defect::NumberNotAboveBase,
];

fn canary_route(function: &str) -> Value {
    json!({
        "method": "POST",
        "path": "/canary",
        "function": function,
        "budget_ms": 3000,
        "kind": "repeatable",
    })
}

/// A generated order and the operation that requests it.
pub(crate) struct GeneratedOrder {
    /// The order for the history.
    pub order: Order,
    /// The operation for the controller.
    pub kind: ChangeKind,
}

/// Chooses a random number above the number of the base version.
pub(crate) fn generate_number(rng: &mut SeededRng, base: u64) -> u64 {
    base + 1 + rng.below(MAX_NUMBER_STEP)
}

/// Chooses a base version: the newest known one, or occasionally the one before.
pub(crate) fn generate_base(rng: &mut SeededRng, known_numbers: &[u64]) -> u64 {
    let newest = known_numbers.last().copied().unwrap_or(0);
    if rng.random_bool(OLD_BASE_SHARE) && known_numbers.len() > 1 {
        known_numbers[known_numbers.len() - 2]
    } else {
        newest
    }
}

/// Generates an order with this number and base version. The label makes its content unique.
pub(crate) fn generate_order(
    rng: &mut SeededRng,
    number: u64,
    base: u64,
    label: u64,
) -> GeneratedOrder {
    let defect = rng
        .random_bool(INVALID_SHARE)
        .then(|| DEFECTS[rng.below(DEFECTS.len() as u64) as usize]);
    let number = if matches!(defect, Some(Defect::NumberNotAboveBase)) {
        base
    } else {
        number
    };
    if defect.is_none() && rng.random_bool(ITEMS_SHARE) {
        return generate_item_order(rng, number, base, label);
    }
    let mut content = spec(rng.below(6));
    content["labels"] = json!({"order": label});
    match defect {
        Some(Defect::UnknownFunction) => {
            content["routes"]["canary"]["function"] = json!("nowhere");
        }
        Some(Defect::DuplicatePath) => content["routes"]["again"] = canary_route("f0"),
        Some(Defect::ZeroBudget) => content["routes"]["canary"]["budget_ms"] = json!(0),
        Some(Defect::NumberNotAboveBase) | None => {}
    }
    let effect = Effect::Replace(content.clone());
    let is_valid = defect.is_none();
    let order = Order {
        number,
        base,
        effect,
        is_valid,
    };
    GeneratedOrder {
        order,
        kind: ChangeKind::FullSpec(content.into()),
    }
}

/// Generates an order that changes the function of the canary route.
fn generate_item_order(rng: &mut SeededRng, number: u64, base: u64, label: u64) -> GeneratedOrder {
    let mut route = canary_route(&format!("f{}", rng.below(5)));
    route["labels"] = json!({"order": label});
    let item_name = ("routes".to_owned(), "canary".to_owned());
    let effect = Effect::Amend(BTreeMap::from([(item_name, Some(route.clone()))]));
    let put_routes = BTreeMap::from([("canary".to_owned(), route)]);
    let items = ItemChange {
        put_routes,
        ..ItemChange::default()
    };
    let order = Order {
        number,
        base,
        effect,
        is_valid: true,
    };
    GeneratedOrder {
        order,
        kind: ChangeKind::Items(Box::new(items)),
    }
}
