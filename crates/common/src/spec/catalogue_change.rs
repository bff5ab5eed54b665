//! What leads from one catalogue of functions and routes to a newer one: the records that are new or
//! different, and the names of those that are gone.

use super::SpecRecords;
use super::fields::{generations_json, read_generations};
use crate::identity::{FunctionName, Serial};
use crate::readers::PathReader;
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

/// The functions and routes of a document or view.
#[derive(Clone, Copy)]
pub(super) struct Catalogue<'a> {
    /// The operators' spec.
    pub spec: &'a SpecRecords,
    /// The serial at which each function entered the catalogue.
    pub generations: &'a BTreeMap<FunctionName, Serial>,
}

/// The change as the fields of a JSON object.
pub(super) fn catalogue_change(base: Catalogue<'_>, newer: Catalogue<'_>) -> Map<String, Value> {
    let functions = base.spec.function_change(newer.spec);
    let routes = base.spec.route_change(newer.spec);
    let new_generations: BTreeMap<FunctionName, Serial> = newer
        .generations
        .iter()
        .filter(|(name, serial)| base.generations.get(*name) != Some(serial))
        .map(|(name, serial)| (name.clone(), *serial))
        .collect();
    let is_gone = |name: &&FunctionName| !newer.generations.contains_key(*name);
    let gone_generations: Vec<&str> =
        base.generations.keys().filter(is_gone).map(FunctionName::as_str).collect();
    let is_rest_same = base.spec.rest() == newer.spec.rest();
    let rest = (!is_rest_same).then(|| newer.spec.rest().clone());
    let (has_functions, has_routes) = newer.spec.has_parts();
    [
        ("has_functions", json!(has_functions)),
        ("has_routes", json!(has_routes)),
        ("put_functions", Value::Object(functions.put)),
        ("removed_functions", json!(functions.removed)),
        ("put_routes", Value::Object(routes.put)),
        ("removed_routes", json!(routes.removed)),
        ("rest", json!(rest)),
        ("put_generations", generations_json(&new_generations)),
        ("removed_generations", json!(gone_generations)),
    ]
    .into_iter()
    .map(|(field, value)| (field.to_owned(), value))
    .collect()
}

/// Applies such a change.
pub(super) fn read_catalogue_change(
    root: &PathReader<'_>,
    base: Catalogue<'_>,
) -> Option<(SpecRecords, BTreeMap<FunctionName, Serial>)> {
    let mut spec = base.spec.clone();
    for (name, reader) in root.field("put_functions").fields() {
        spec.put_function(name, reader.value()?.clone());
    }
    for removed_name in root.field("removed_functions").items() {
        spec.remove_function(removed_name.text()?);
    }
    for (name, reader) in root.field("put_routes").fields() {
        spec.put_route(name, reader.value()?.clone());
    }
    for removed_name in root.field("removed_routes").items() {
        spec.remove_route(removed_name.text()?);
    }
    if root.field("rest").is_there() {
        spec.replace_rest(root.field("rest").value()?.clone());
    }
    let has_functions = root.field("has_functions").flag_or(true);
    spec.settle_parts((has_functions, root.field("has_routes").flag_or(true)));
    let mut generations = base.generations.clone();
    generations.extend(read_generations(&root.field("put_generations")));
    for removed_name in root.field("removed_generations").items() {
        generations.remove(removed_name.text()?);
    }
    Some((spec, generations))
}
