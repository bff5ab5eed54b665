//! Deltas between two catalogues of functions and routes: the records that were added or changed, and the names of
//! those that were removed.

use super::SpecRecords;
use super::fields::{append_fields, read_generations};
use crate::identity::{FunctionName, Version};
use crate::readers::PathReader;
use serde::Serialize;
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// The JSON keys under which a delta has its added and changed records.
const PUT_FUNCTIONS: &str = "put_functions";
const PUT_ROUTES: &str = "put_routes";

/// The functions and routes of a document or view.
#[derive(Clone, Copy)]
pub(super) struct Catalogue<'a> {
    /// The operators' spec.
    pub spec: &'a SpecRecords,
    /// The version in which each function was added to the catalogue.
    pub generations: &'a BTreeMap<FunctionName, Version>,
}

/// The JSON fields of a delta, except its added and changed records, together with the fields of the document or view.
#[derive(Serialize)]
struct DeltaFields<'a, T> {
    has_functions: bool,
    has_routes: bool,
    removed_functions: &'a [&'a str],
    removed_routes: &'a [&'a str],
    /// The part of the spec that is neither functions nor routes; null if it is unchanged.
    #[serde(rename = "rest")]
    remainder: Option<&'a Value>,
    put_generations: BTreeMap<&'a FunctionName, Version>,
    removed_generations: Vec<&'a FunctionName>,
    #[serde(flatten)]
    other_fields: &'a T,
}

/// Encodes the delta as JSON text, with `other_fields` in the same object. Its length depends on the number of
/// differences, not on the size of the catalogue.
pub(super) fn catalogue_delta(
    base: Catalogue<'_>,
    newer: Catalogue<'_>,
    other_fields: &impl Serialize,
) -> Vec<u8> {
    let functions = base.spec.function_delta(newer.spec);
    let routes = base.spec.route_delta(newer.spec);
    let (has_functions, has_routes) = newer.spec.has_parts();
    let remainder = newer.spec.remainder();
    let delta_fields = DeltaFields {
        has_functions,
        has_routes,
        removed_functions: &functions.removed,
        removed_routes: &routes.removed,
        remainder: (remainder != base.spec.remainder()).then_some(remainder),
        put_generations: put_generations(base, newer),
        removed_generations: removed_generations(base, newer),
        other_fields,
    };
    let mut text = Vec::new();
    text.extend_from_slice(b"{\"put_functions\":");
    functions.write_put(&mut text);
    text.extend_from_slice(b",\"put_routes\":");
    routes.write_put(&mut text);
    text.push(b',');
    append_fields(&mut text, &delta_fields);
    text
}

/// Returns the generations that were added or changed.
fn put_generations<'a>(
    base: Catalogue<'_>,
    newer: Catalogue<'a>,
) -> BTreeMap<&'a FunctionName, Version> {
    newer
        .generations
        .iter()
        .filter(|(name, version)| base.generations.get(*name) != Some(version))
        .map(|(name, version)| (name, *version))
        .collect()
}

/// Returns the functions whose generations were removed.
fn removed_generations<'a>(base: Catalogue<'a>, newer: Catalogue<'_>) -> Vec<&'a FunctionName> {
    base.generations
        .keys()
        .filter(|name| !newer.generations.contains_key(*name))
        .collect()
}

/// The added and changed records of a delta, moved out of its JSON without copying.
pub(super) struct PutRecords {
    functions: Map<String, Value>,
    routes: Map<String, Value>,
}

impl PutRecords {
    /// Moves the records out of a delta. A value that is not an object stays in place, so that reading the delta
    /// reports it as an error.
    pub(super) fn take(delta: &mut Value) -> Self {
        let mut extract_field = |field: &str| {
            let items = delta.get_mut(field).and_then(Value::as_object_mut);
            items.map(std::mem::take).unwrap_or_default()
        };
        Self {
            functions: extract_field(PUT_FUNCTIONS),
            routes: extract_field(PUT_ROUTES),
        }
    }
}

/// Applies a delta whose records were moved out by [`PutRecords::take`] to a base catalogue. Returns the new spec and
/// the new generations.
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
