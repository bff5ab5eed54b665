//! Reads and validates the routes of a spec.

use super::reader::check_name;
use super::{RouteMatcher, RouteSpec};
use crate::identity::FunctionName;
use crate::readers::{PathErrorReason, PathReader};
use hyper::Method;
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;

/// The keys that a route may have.
const KNOWN_KEYS: [&str; 14] = [
    "method",
    "path",
    "host",
    "prefix",
    "function",
    "functions",
    "budget_ms",
    "patience_ms",
    "target_ms",
    "rank",
    "tries",
    "kind",
    "identities",
    "labels",
];

/// Reads one route. Returns `None` if a required key is missing or invalid.
pub(super) fn read_route(route_name: &str, reader: &PathReader<'_>) -> Option<RouteSpec> {
    check_name(route_name, reader);
    reader.allow_only(&KNOWN_KEYS);
    reader.field("labels").check_object();
    let by_prefix = reader.field("prefix").is_present() || reader.field("host").is_present();
    let matching = if by_prefix {
        read_prefix(reader)
    } else {
        read_pattern(reader)
    };
    let shares = read_shares(&reader.field("functions"));
    let function = match shares.first() {
        Some((first_name, _)) => Some(first_name.clone()),
        None => reader.field("function").text().map(FunctionName::from),
    };
    let once = read_once(&reader.field("kind"));
    let recorded = read_recorded(&reader.field("identities"));
    let timeout_millis = reader.field("budget_ms").number(1..=60_000);
    let default_ms = timeout_millis.unwrap_or(1000);
    let queue_timeout_millis = reader
        .field("patience_ms")
        .number_or(0..=60_000, default_ms);
    let target_ms = reader.field("target_ms").number_or(1..=60_000, default_ms);
    let rank = reader.field("rank").number_or(0..=255, 0) as u8;
    let max_attempts = reader.field("tries").number_or(1..=100, 3) as u32;
    Some(RouteSpec {
        name: route_name.to_owned(),
        matching: matching?,
        function: function?,
        shares,
        timeout: Duration::from_millis(timeout_millis?),
        queue_timeout: Duration::from_millis(queue_timeout_millis),
        target: Duration::from_millis(target_ms),
        rank,
        max_attempts,
        once: once?,
        recorded,
    })
}

fn read_pattern(reader: &PathReader<'_>) -> Option<RouteMatcher> {
    let method_reader = reader.field("method");
    let method = method_reader.text().and_then(|method_text| {
        let known_methods = [
            Method::GET,
            Method::POST,
            Method::PUT,
            Method::PATCH,
            Method::DELETE,
            Method::HEAD,
        ];
        let found_method = known_methods
            .into_iter()
            .find(|method| method.as_str() == method_text);
        if found_method.is_none() {
            method_reader.add_error(PathErrorReason::Malformed(format!(
                "is not a supported method: {method_text:?}"
            )));
        }
        found_method
    });
    let path_reader = reader.field("path");
    let path = path_reader.text().filter(|path_text| {
        if !path_text.starts_with('/') {
            path_reader.add_error(PathErrorReason::Malformed(
                "does not start with /".to_owned(),
            ));
        }
        path_text.starts_with('/')
    });
    Some(RouteMatcher::Pattern(method?, path?.to_owned()))
}

fn read_prefix(reader: &PathReader<'_>) -> Option<RouteMatcher> {
    let host = reader.field("host").text().map(str::to_ascii_lowercase);
    let prefix_reader = reader.field("prefix");
    let prefix = prefix_reader.text().filter(|prefix_text| {
        let is_valid = prefix_text.starts_with('/') && prefix_text.ends_with('/');
        if !is_valid {
            let reason = "does not begin and end with /".to_owned();
            prefix_reader.add_error(PathErrorReason::Malformed(reason));
        }
        is_valid
    });
    for pattern_key in ["method", "path"] {
        if reader.field(pattern_key).is_present() {
            let reason = "cannot be combined with a prefix".to_owned();
            reader
                .field(pattern_key)
                .add_error(PathErrorReason::Malformed(reason));
        }
    }
    Some(RouteMatcher::Prefix(host?, prefix?.to_owned()))
}

fn read_shares(reader: &PathReader<'_>) -> Vec<(FunctionName, u32)> {
    let shares: Vec<(FunctionName, u32)> = reader
        .fields()
        .into_iter()
        .filter_map(|(name, share)| {
            Some((
                FunctionName::from(name),
                share.number(0..=1_000_000)? as u32,
            ))
        })
        .collect();
    if reader.is_present() && shares.iter().all(|(_, weight)| *weight == 0) {
        reader.add_error(PathErrorReason::Malformed(
            "has weights that sum to 0".to_owned(),
        ));
    }
    shares
}

/// Reads the required key `kind`. Returns whether requests may run only once.
fn read_once(reader: &PathReader<'_>) -> Option<bool> {
    match reader.text()? {
        "once" => Some(true),
        "repeatable" => Some(false),
        _ => {
            reader.add_error(PathErrorReason::Malformed(
                "is neither once nor repeatable".to_owned(),
            ));
            None
        }
    }
}

/// Reads the key `identities`. Returns whether idempotency keys are recorded, by default true.
fn read_recorded(reader: &PathReader<'_>) -> bool {
    match reader.value().and_then(Value::as_str) {
        Some("fresh") => false,
        Some("may_come_again") => true,
        _ => {
            if reader.is_present() {
                let reason = "is neither fresh nor may_come_again".to_owned();
                reader.add_error(PathErrorReason::Malformed(reason));
            }
            true
        }
    }
}

/// Whether all functions of a route are in the spec. Reports the first that is not.
pub(super) fn has_known_functions(
    route: &RouteSpec,
    reader: &PathReader<'_>,
    functions_reader: &PathReader<'_>,
) -> bool {
    let unknown = route
        .shares
        .iter()
        .map(|(name, _)| name)
        .chain([&route.function])
        .find(|name| !functions_reader.field(name.as_str()).is_present());
    if let Some(unknown_name) = unknown {
        let key = if route.shares.is_empty() {
            "function"
        } else {
            "functions"
        };
        reader
            .field(key)
            .add_error(PathErrorReason::UnknownReference(
                "function",
                unknown_name.to_string(),
            ));
    }
    unknown.is_none()
}

/// The patterns and prefixes of the routes read so far, with the routes' names, to detect conflicting routes.
#[derive(Default)]
pub(super) struct RouteConflicts {
    patterns: BTreeMap<String, matchit::Router<String>>,
    prefixes: BTreeMap<(String, String), String>,
}

impl RouteConflicts {
    /// Adds the pattern or prefix of a route. Returns false and reports an error if it conflicts with another route's,
    /// or if the pattern is invalid.
    pub(super) fn insert(&mut self, route: &RouteSpec, reader: &PathReader<'_>) -> bool {
        match &route.matching {
            RouteMatcher::Pattern(method, path) => {
                self.insert_pattern(method, path, &route.name, &reader.field("path"))
            }
            RouteMatcher::Prefix(host, prefix) => {
                let prefix_key = (host.clone(), prefix.clone());
                let conflicting_name = self.prefixes.insert(prefix_key, route.name.clone());
                let is_new = conflicting_name.is_none();
                if let Some(other_name) = conflicting_name {
                    reader
                        .field("prefix")
                        .add_error(PathErrorReason::Duplicate(other_name));
                }
                is_new
            }
        }
    }

    fn insert_pattern(
        &mut self,
        method: &Method,
        path: &str,
        route_name: &str,
        reader: &PathReader<'_>,
    ) -> bool {
        let matcher = self.patterns.entry(method.to_string()).or_default();
        let reason = match matcher.insert(path, route_name.to_owned()) {
            Ok(()) => return true,
            Err(matchit::InsertError::Conflict { with }) => {
                let other_name = matcher.at(&with).map(|found| found.value.clone());
                PathErrorReason::Duplicate(other_name.unwrap_or(with))
            }
            Err(error) => PathErrorReason::Malformed(error.to_string()),
        };
        reader.add_error(reason);
        false
    }
}
