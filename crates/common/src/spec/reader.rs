//! Reads and validates a spec. All errors are collected with their paths, so that operators see them at once.

use super::route_reader::{RouteConflicts, has_known_functions, read_route};
use super::{CallerLimits, FunctionSpec, RouteSpec, Spec};
use crate::identity::FunctionName;
use crate::readers::{PathError, PathErrorList, PathErrorReason, PathReader};
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The maximum length of the name of a function or route, in bytes.
const MAX_NAME_LENGTH: usize = 200;

/// Reads and validates a spec.
///
/// # Errors
/// All errors found, each with its path, in the order of reading.
pub fn read_spec(value: &Value) -> Result<Spec, Vec<PathError>> {
    let errors = PathErrorList::default();
    let root_reader = PathReader::new(value, &errors);
    if !value.is_object() {
        root_reader.add_error(PathErrorReason::WrongType("an object"));
    }
    root_reader.allow_only(&["functions", "routes", "limits", "labels"]);
    root_reader.field("labels").check_object();
    let spec = Spec {
        limits: read_limits(&root_reader.field("limits")),
        functions: read_functions(&root_reader.field("functions")),
        routes: read_routes(&root_reader),
    };
    let found_errors = errors.into_inner();
    if found_errors.is_empty() {
        Ok(spec)
    } else {
        Err(found_errors)
    }
}

fn read_functions(reader: &PathReader<'_>) -> BTreeMap<FunctionName, Arc<FunctionSpec>> {
    reader
        .fields()
        .into_iter()
        .filter_map(|(function_name, reader)| {
            let function = read_function(function_name, &reader)?;
            Some((FunctionName::from(function_name), Arc::new(function)))
        })
        .collect()
}

/// Reads the routes. Keeps those that are valid by themselves, name known functions and do not conflict with an earlier
/// route.
fn read_routes(root_reader: &PathReader<'_>) -> Vec<Arc<RouteSpec>> {
    let functions_reader = root_reader.field("functions");
    let mut route_conflicts = RouteConflicts::default();
    let mut routes = Vec::new();
    for (route_name, reader) in root_reader.field("routes").fields() {
        let Some(route) = read_route(route_name, &reader) else {
            continue;
        };
        if has_known_functions(&route, &reader, &functions_reader)
            && route_conflicts.insert(&route, &reader)
        {
            routes.push(Arc::new(route));
        }
    }
    routes
}

/// Reports a name that is empty, too long, or contains characters other than letters, digits, `-`, `_` and `.`.
pub(super) fn check_name(name: &str, reader: &PathReader<'_>) {
    let is_allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    if name.is_empty() || name.len() > MAX_NAME_LENGTH || !name.chars().all(is_allowed) {
        reader.add_error(PathErrorReason::Malformed(
            "needs a name of letters, digits, '-', '_' or '.'".to_owned(),
        ));
    }
}

fn read_limits(reader: &PathReader<'_>) -> CallerLimits {
    reader.allow_only(&[
        "header_bytes",
        "body_bytes",
        "header_ms",
        "idle_ms",
        "labels",
    ]);
    reader.field("labels").check_object();
    let default = CallerLimits::default();
    let duration = |key: &str, default_duration: Duration| {
        let millis = reader
            .field(key)
            .number_or(1..=600_000, default_duration.as_millis() as u64);
        Duration::from_millis(millis)
    };
    let bytes = |key: &str, default_bytes: usize| {
        reader
            .field(key)
            .number_or(1..=64 << 20, default_bytes as u64) as usize
    };
    CallerLimits {
        header_bytes: bytes("header_bytes", default.header_bytes),
        body_bytes: bytes("body_bytes", default.body_bytes),
        header: duration("header_ms", default.header),
        idle: duration("idle_ms", default.idle),
    }
}

/// Reads one function. Returns `None` if a required key is missing or invalid.
pub(super) fn read_function(function_name: &str, reader: &PathReader<'_>) -> Option<FunctionSpec> {
    check_name(function_name, reader);
    reader.allow_only(&[
        "memory_mb",
        "boot_ms",
        "slots",
        "runners",
        "connections",
        "labels",
    ]);
    reader.field("labels").check_object();
    let runners_reader = reader.field("runners");
    runners_reader.allow_only(&["min", "max"]);
    let min_runners = runners_reader.field("min").number_or(0..=1000, 0) as u32;
    let max_runners = runners_reader.field("max").number_or(1..=1000, 8) as u32;
    if min_runners > max_runners {
        runners_reader
            .field("min")
            .add_error(PathErrorReason::Malformed(
                "is above runners.max".to_owned(),
            ));
    }
    let memory_mb = reader.field("memory_mb").number(1..=1_000_000);
    let startup_millis = reader.field("boot_ms").number(0..=600_000);
    let slots = reader.field("slots").number(1..=10_000);
    let connections = reader.field("connections").number_or(1..=100_000, 1024) as u32;
    Some(FunctionSpec {
        connections,
        memory_mb: memory_mb? as u32,
        startup: Duration::from_millis(startup_millis?),
        slots: slots? as u32,
        min_runners,
        max_runners,
    })
}
