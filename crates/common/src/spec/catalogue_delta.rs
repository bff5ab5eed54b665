//! Deltas between two catalogues of functions and routes: the records that are new or different, and the names of those
//! that are removed.

use super::SpecRecords;
use super::fields::{append_fields, generations_json, read_generations};
use crate::identity::{FunctionName, Version};
use crate::readers::PathReader;
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

const PUT_FUNCTIONS: &str = "put_functions";
const PUT_ROUTES: &str = "put_routes";

/// The functions and routes of a document or view.
#[derive(Clone, Copy)]
pub(super) struct Catalogue<'a> {
    /// The operators' spec.
    pub spec: &'a SpecRecords,
    /// The version in which each function entered the catalogue.
    pub generations: &'a BTreeMap<FunctionName, Version>,
}

/// Encodes the delta as JSON text, with `other_fields` in the same object. Its length and cost grow with what differs,
/// not with the catalogue.
pub(super) fn catalogue_delta(
    base: Catalogue<'_>,
    newer: Catalogue<'_>,
    mut other_fields: Map<String, Value>,
) -> Vec<u8> {
    let functions = base.spec.function_delta(newer.spec);
    let routes = base.spec.route_delta(newer.spec);
    let new_generations: BTreeMap<FunctionName, Version> = newer
        .generations
        .iter()
        .filter(|(name, version)| base.generations.get(*name) != Some(version))
        .map(|(name, version)| (name.clone(), *version))
        .collect();
    let is_removed = |name: &&FunctionName| !newer.generations.contains_key(*name);
    let removed_generations: Vec<&str> = base
        .generations
        .keys()
        .filter(is_removed)
        .map(FunctionName::as_str)
        .collect();
    let is_remainder_same = base.spec.remainder() == newer.spec.remainder();
    let remainder = (!is_remainder_same).then(|| newer.spec.remainder().clone());
    let (has_functions, has_routes) = newer.spec.has_parts();
    let catalogue_fields = [
        ("has_functions", json!(has_functions)),
        ("has_routes", json!(has_routes)),
        ("removed_functions", json!(functions.removed)),
        ("removed_routes", json!(routes.removed)),
        ("rest", json!(remainder)),
        ("put_generations", generations_json(&new_generations)),
        ("removed_generations", json!(removed_generations)),
    ];
    other_fields.extend(catalogue_fields.map(|(field, value)| (field.to_owned(), value)));
    let mut text = Vec::new();
    text.extend_from_slice(b"{\"put_functions\":");
    functions.write_put(&mut text);
    text.extend_from_slice(b",\"put_routes\":");
    routes.write_put(&mut text);
    text.push(b',');
    append_fields(&mut text, &Value::Object(other_fields));
    text
}

/// The records that a delta puts, moved out of it without copying them.
pub(super) struct PutRecords {
    functions: Map<String, Value>,
    routes: Map<String, Value>,
}

impl PutRecords {
    /// Moves them out. What is not an object stays in place, so that reading the delta reports it.
    pub(super) fn take(change: &mut Value) -> Self {
        let mut extract_field = |field: &str| {
            let items = change.get_mut(field).and_then(Value::as_object_mut);
            items.map(std::mem::take).unwrap_or_default()
        };
        Self {
            functions: extract_field(PUT_FUNCTIONS),
            routes: extract_field(PUT_ROUTES),
        }
    }
}

/// Applies a delta whose records were moved out by [`PutRecords::take`].
pub(super) fn apply_catalogue_delta(
    root: &PathReader<'_>,
    put: PutRecords,
    base: Catalogue<'_>,
) -> Option<(SpecRecords, BTreeMap<FunctionName, Version>)> {
    let mut spec = base.spec.clone();
    root.field(PUT_FUNCTIONS).fields();
    for (name, function) in put.functions {
        spec.put_function(&name, function);
    }
    for removed_name in root.field("removed_functions").items() {
        spec.remove_function(removed_name.text()?);
    }
    root.field(PUT_ROUTES).fields();
    for (name, route) in put.routes {
        spec.put_route(&name, route);
    }
    for removed_name in root.field("removed_routes").items() {
        spec.remove_route(removed_name.text()?);
    }
    if root.field("rest").is_present() {
        spec.replace_remainder(root.field("rest").value()?.clone());
    }
    let has_functions = root.field("has_functions").bool_or(true);
    spec.set_present_parts((has_functions, root.field("has_routes").bool_or(true)));
    let mut generations = base.generations.clone();
    generations.extend(read_generations(&root.field("put_generations")));
    for removed_name in root.field("removed_generations").items() {
        generations.remove(removed_name.text()?);
    }
    Some((spec, generations))
}
