use crate::identity::FunctionName;
use crate::readers::{FaultList, FaultReason, PathFault, PathReader};
use hyper::Method;
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;

/// What one function needs.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct FunctionSpec {
    /// Memory of one runner, in megabytes.
    pub memory_mb: u32,
    /// How long a runner boots.
    pub boot: Duration,
    /// Transactions one runner may run at once.
    pub slots: u32,
    /// The least runners while the function is held.
    pub min_runners: u32,
    /// The most runners.
    pub max_runners: u32,
}

/// Which transactions go to which function, and how patiently.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct RouteSpec {
    /// The route's name.
    pub name: String,
    /// The method matched.
    pub method: Method,
    /// The path matched; `{name}` stands for one part, `{*name}` for the rest.
    pub path: String,
    /// The function.
    pub function: FunctionName,
    /// The longest budget a caller may name.
    pub budget: Duration,
    /// How long a transaction may wait in the inbox.
    pub patience: Duration,
    /// Whether a transaction may be sent to a runner only once.
    pub once: bool,
}

/// A checked spec.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Spec {
    /// The catalogue.
    pub functions: BTreeMap<FunctionName, FunctionSpec>,
    /// The routes by name.
    pub routes: Vec<RouteSpec>,
}

/// Reads a spec; on failure every fault with its path.
pub fn read_spec(value: &Value) -> Result<Spec, Vec<PathFault>> {
    let faults = FaultList::default();
    let root_reader = PathReader::new(value, &faults);
    if !value.is_object() {
        root_reader.fault(FaultReason::NotA("an object"));
    }
    root_reader.only(&["functions", "routes"]);
    let functions: BTreeMap<FunctionName, FunctionSpec> = root_reader
        .field("functions")
        .fields()
        .into_iter()
        .filter_map(|(function_name, reader)| {
            check_name(function_name, &reader);
            Some((FunctionName::from(function_name), read_function(&reader)?))
        })
        .collect();
    let function_readers = root_reader.field("functions");
    let mut routes = Vec::new();
    let mut matchers: BTreeMap<String, matchit::Router<String>> = BTreeMap::new();
    for (route_name, reader) in root_reader.field("routes").fields() {
        let Some(route) = read_route(route_name, &reader) else { continue };
        if !function_readers.field(route.function.as_str()).is_there() {
            reader
                .field("function")
                .fault(FaultReason::NoSuch("function", route.function.to_string()));
            continue;
        }
        let matcher = matchers.entry(route.method.to_string()).or_default();
        match matcher.insert(route.path.clone(), route_name.to_owned()) {
            Ok(()) => routes.push(route),
            Err(matchit::InsertError::Conflict { with }) => {
                let other_name = matcher.at(&with).map(|found| found.value.clone());
                reader.field("path").fault(FaultReason::Duplicate(other_name.unwrap_or(with)));
            }
            Err(fault) => reader.field("path").fault(FaultReason::Form(fault.to_string())),
        }
    }
    let found_faults = faults.into_inner();
    if found_faults.is_empty() { Ok(Spec { functions, routes }) } else { Err(found_faults) }
}

fn check_name(given_name: &str, reader: &PathReader<'_>) {
    let fitting = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    if given_name.is_empty() || given_name.len() > 200 || !given_name.chars().all(fitting) {
        reader.fault(FaultReason::Form(
            "needs a name of letters, digits, '-', '_' or '.'".to_owned(),
        ));
    }
}

fn read_function(reader: &PathReader<'_>) -> Option<FunctionSpec> {
    reader.only(&["memory_mb", "boot_ms", "slots", "runners"]);
    let runners_reader = reader.field("runners");
    runners_reader.only(&["min", "max"]);
    let min_runners = runners_reader.field("min").number_or(0..=1000, 0) as u32;
    let max_runners = runners_reader.field("max").number_or(1..=1000, 8) as u32;
    if min_runners > max_runners {
        runners_reader.field("min").fault(FaultReason::Form("is above runners.max".to_owned()));
    }
    let memory_mb = reader.field("memory_mb").number(1..=1_000_000);
    let boot_ms = reader.field("boot_ms").number(0..=600_000);
    let slots = reader.field("slots").number(1..=10_000);
    Some(FunctionSpec {
        memory_mb: memory_mb? as u32,
        boot: Duration::from_millis(boot_ms?),
        slots: slots? as u32,
        min_runners,
        max_runners,
    })
}

fn read_route(route_name: &str, reader: &PathReader<'_>) -> Option<RouteSpec> {
    check_name(route_name, reader);
    reader.only(&["method", "path", "function", "budget_ms", "patience_ms", "kind"]);
    let method_reader = reader.field("method");
    let method = method_reader.text().and_then(|method_text| {
        let known_methods =
            [Method::GET, Method::POST, Method::PUT, Method::PATCH, Method::DELETE, Method::HEAD];
        let found_method = known_methods.into_iter().find(|method| method.as_str() == method_text);
        if found_method.is_none() {
            method_reader.fault(FaultReason::Form(format!("is not a method: {method_text:?}")));
        }
        found_method
    });
    let path_reader = reader.field("path");
    let path = path_reader.text().filter(|path_text| {
        if !path_text.starts_with('/') {
            path_reader.fault(FaultReason::Form("does not start with /".to_owned()));
        }
        path_text.starts_with('/')
    });
    let function = reader.field("function").text();
    let kind_reader = reader.field("kind");
    let once = match kind_reader.text() {
        Some("once") => Some(true),
        Some("repeatable") => Some(false),
        Some(_) => {
            kind_reader.fault(FaultReason::Form("is neither once nor repeatable".to_owned()));
            None
        }
        None => None,
    };
    let budget_ms = reader.field("budget_ms").number(1..=60_000);
    let patience_ms = reader.field("patience_ms").number_or(0..=60_000, budget_ms.unwrap_or(1000));
    Some(RouteSpec {
        name: route_name.to_owned(),
        method: method?,
        path: path?.to_owned(),
        function: FunctionName::from(function?),
        budget: Duration::from_millis(budget_ms?),
        patience: Duration::from_millis(patience_ms),
        once: once?,
    })
}
