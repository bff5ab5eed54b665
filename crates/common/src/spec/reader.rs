use crate::identity::FunctionName;
use crate::readers::{PathError, PathErrorList, PathErrorReason, PathReader};
use hyper::Method;
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// What one function needs.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct FunctionSpec {
    /// Memory of one runner, in megabytes.
    pub memory_mb: u32,
    /// How long a runner boots.
    pub startup: Duration,
    /// Transactions one runner may run at once.
    pub slots: u32,
    /// The least runners while the function is held.
    pub min_runners: u32,
    /// The most runners.
    pub max_runners: u32,
    /// The most connections one runner takes.
    pub connections: u32,
}

/// Which transactions go to which function, and how patiently.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct RouteSpec {
    /// The route's name.
    pub name: String,
    /// What is matched.
    pub matching: RouteMatcher,
    /// The function, or the first of several.
    pub function: FunctionName,
    /// Several functions with their weights; empty when all goes to one.
    pub shares: Vec<(FunctionName, u32)>,
    /// The longest budget a caller may name.
    pub timeout: Duration,
    /// How long a transaction may wait in the inbox.
    pub queue_timeout: Duration,
    /// The time within which an answer is worth its full value.
    pub target: Duration,
    /// Its rank; 0 goes first.
    pub rank: u8,
    /// The most runners one try may go to.
    pub max_attempts: u32,
    /// Whether a transaction may be sent to a runner only once.
    pub once: bool,
    /// Whether callers may send the same identity again, so that a once-transaction is noted elsewhere
    /// before it is sent.
    pub recorded: bool,
}

/// What a route matches.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum RouteMatcher {
    /// A method and a path; `{name}` stands for one part, `{*name}` for the rest.
    Pattern(Method, String),
    /// A host, and how the path begins; the longest prefix of a host wins. The prefix ends with a slash.
    Prefix(String, String),
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct CallerLimits {
    /// The largest head of a call, in bytes.
    pub header_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// How long a head may take.
    pub header: Duration,
    /// How long a connection may be idle.
    pub idle: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 64 << 10,
            body_bytes: 1 << 20,
            header: Duration::from_secs(10),
            idle: Duration::from_secs(60),
        }
    }
}

/// A checked spec.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Spec {
    /// The catalogue.
    pub functions: BTreeMap<FunctionName, Arc<FunctionSpec>>,
    /// The routes by name.
    pub routes: Vec<Arc<RouteSpec>>,
    /// The callers' limits.
    pub limits: CallerLimits,
}

/// Reads a spec; on failure every fault with its path.
pub fn read_spec(value: &Value) -> Result<Spec, Vec<PathError>> {
    let errors = PathErrorList::default();
    let root_reader = PathReader::new(value, &errors);
    if !value.is_object() {
        root_reader.error(PathErrorReason::WrongType("an object"));
    }
    root_reader.allow_only(&["functions", "routes", "limits", "labels"]);
    let limits = read_limits(&root_reader.field("limits"));
    let functions: BTreeMap<FunctionName, Arc<FunctionSpec>> = root_reader
        .field("functions")
        .fields()
        .into_iter()
        .filter_map(|(function_name, reader)| {
            let function = read_function(function_name, &reader)?;
            Some((FunctionName::from(function_name), Arc::new(function)))
        })
        .collect();
    let function_readers = root_reader.field("functions");
    let mut routes = Vec::new();
    let mut matchers: BTreeMap<String, matchit::Router<String>> = BTreeMap::new();
    let mut prefixes: BTreeMap<(String, String), String> = BTreeMap::new();
    for (route_name, reader) in root_reader.field("routes").fields() {
        let Some(route) = read_route(route_name, &reader) else {
            continue;
        };
        let named = route
            .shares
            .iter()
            .map(|(name, _)| name)
            .chain([&route.function]);
        let unknown = named
            .into_iter()
            .find(|name| !function_readers.field(name.as_str()).is_present());
        if let Some(unknown_name) = unknown {
            let key = if route.shares.is_empty() {
                "function"
            } else {
                "functions"
            };
            reader.field(key).error(PathErrorReason::UnknownReference(
                "function",
                unknown_name.to_string(),
            ));
            continue;
        }
        let (method, path) = match &route.matching {
            RouteMatcher::Pattern(method, path) => (method.clone(), path.clone()),
            RouteMatcher::Prefix(host, prefix) => {
                let prefix_key = (host.clone(), prefix.clone());
                match prefixes.insert(prefix_key, route_name.to_owned()) {
                    Some(other_name) => {
                        reader
                            .field("prefix")
                            .error(PathErrorReason::Duplicate(other_name));
                    }
                    None => routes.push(Arc::new(route)),
                }
                continue;
            }
        };
        let matcher = matchers.entry(method.to_string()).or_default();
        match matcher.insert(path, route_name.to_owned()) {
            Ok(()) => routes.push(Arc::new(route)),
            Err(matchit::InsertError::Conflict { with }) => {
                let other_name = matcher.at(&with).map(|found| found.value.clone());
                reader
                    .field("path")
                    .error(PathErrorReason::Duplicate(other_name.unwrap_or(with)));
            }
            Err(error) => reader
                .field("path")
                .error(PathErrorReason::Malformed(error.to_string())),
        }
    }
    let found_errors = errors.into_inner();
    if found_errors.is_empty() {
        Ok(Spec {
            functions,
            routes,
            limits,
        })
    } else {
        Err(found_errors)
    }
}

fn check_name(given_name: &str, reader: &PathReader<'_>) {
    let is_allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    if given_name.is_empty() || given_name.len() > 200 || !given_name.chars().all(is_allowed) {
        reader.error(PathErrorReason::Malformed(
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
    let default = CallerLimits::default();
    let span = |key: &str, default_span: Duration| {
        let millis = reader
            .field(key)
            .number_or(1..=600_000, default_span.as_millis() as u64);
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
        header: span("header_ms", default.header),
        idle: span("idle_ms", default.idle),
    }
}

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
    let runners_reader = reader.field("runners");
    runners_reader.allow_only(&["min", "max"]);
    let min_runners = runners_reader.field("min").number_or(0..=1000, 0) as u32;
    let max_runners = runners_reader.field("max").number_or(1..=1000, 8) as u32;
    if min_runners > max_runners {
        runners_reader
            .field("min")
            .error(PathErrorReason::Malformed(
                "is above runners.max".to_owned(),
            ));
    }
    let memory_mb = reader.field("memory_mb").number(1..=1_000_000);
    let boot_ms = reader.field("boot_ms").number(0..=600_000);
    let slots = reader.field("slots").number(1..=10_000);
    let connections = reader.field("connections").number_or(1..=100_000, 1024) as u32;
    Some(FunctionSpec {
        connections,
        memory_mb: memory_mb? as u32,
        startup: Duration::from_millis(boot_ms?),
        slots: slots? as u32,
        min_runners,
        max_runners,
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
            method_reader.error(PathErrorReason::Malformed(format!(
                "is not a method: {method_text:?}"
            )));
        }
        found_method
    });
    let path_reader = reader.field("path");
    let path = path_reader.text().filter(|path_text| {
        if !path_text.starts_with('/') {
            path_reader.error(PathErrorReason::Malformed(
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
            prefix_reader.error(PathErrorReason::Malformed(reason));
        }
        is_valid
    });
    for pattern_key in ["method", "path"] {
        if reader.field(pattern_key).is_present() {
            let reason = "does not go with a prefix".to_owned();
            reader
                .field(pattern_key)
                .error(PathErrorReason::Malformed(reason));
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
        reader.error(PathErrorReason::Malformed(
            "has weights that sum to 0".to_owned(),
        ));
    }
    shares
}

pub(super) fn read_route(route_name: &str, reader: &PathReader<'_>) -> Option<RouteSpec> {
    check_name(route_name, reader);
    reader.allow_only(&[
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
    ]);
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
    let kind_reader = reader.field("kind");
    let once = match kind_reader.text() {
        Some("once") => Some(true),
        Some("repeatable") => Some(false),
        Some(_) => {
            kind_reader.error(PathErrorReason::Malformed(
                "is neither once nor repeatable".to_owned(),
            ));
            None
        }
        None => None,
    };
    let identities_reader = reader.field("identities");
    let recorded = match identities_reader.value().and_then(Value::as_str) {
        Some("fresh") => false,
        Some("may_come_again") => true,
        _ => {
            if identities_reader.is_present() {
                let reason = "is neither fresh nor may_come_again".to_owned();
                identities_reader.error(PathErrorReason::Malformed(reason));
            }
            true
        }
    };
    let timeout_ms = reader.field("budget_ms").number(1..=60_000);
    let default_ms = timeout_ms.unwrap_or(1000);
    let queue_timeout_ms = reader
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
        timeout: Duration::from_millis(timeout_ms?),
        queue_timeout: Duration::from_millis(queue_timeout_ms),
        target: Duration::from_millis(target_ms),
        rank,
        max_attempts,
        once: once?,
        recorded,
    })
}
