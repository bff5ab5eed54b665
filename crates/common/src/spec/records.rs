//! A spec as records: one for each function and each route, shared between versions, so that a change
//! costs what it changes.

use super::{FunctionSpec, RouteMatch, RouteSpec, Spec, read_function, read_route, read_spec};
use crate::identity::FunctionName;
use crate::readers::{FaultList, PathFault, PathReader};
use crate::seal::digest;
use serde_json::{Map, Value};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::sync::{Arc, OnceLock};

const FUNCTIONS: &str = "functions";
const ROUTES: &str = "routes";

/// The length of a digest in bytes.
pub const DIGEST_LENGTH: usize = 32;

/// What a record says once it is checked.
pub trait RecordContent: Sized {
    /// The part of the spec it stands in.
    const PART: &'static str;

    /// Reads it; faults are noted with the reader.
    fn read(name: &str, reader: &PathReader<'_>) -> Option<Self>;
}

impl RecordContent for FunctionSpec {
    const PART: &'static str = FUNCTIONS;

    fn read(name: &str, reader: &PathReader<'_>) -> Option<Self> {
        read_function(name, reader)
    }
}

impl RecordContent for RouteSpec {
    const PART: &'static str = ROUTES;

    fn read(name: &str, reader: &PathReader<'_>) -> Option<Self> {
        read_route(name, reader)
    }
}

/// One function or route as operators wrote it; what is derived from it is derived once.
pub struct Record<T> {
    value: Value,
    checked: OnceLock<Option<Arc<T>>>,
    digest: OnceLock<[u8; DIGEST_LENGTH]>,
}

impl<T: RecordContent> Record<T> {
    fn new(value: Value) -> Self {
        Self { value, checked: OnceLock::new(), digest: OnceLock::new() }
    }

    /// The record as operators wrote it.
    pub fn value(&self) -> &Value {
        &self.value
    }

    /// What it says; nothing when it has a fault of its own.
    fn checked(&self, name: &str) -> Option<&Arc<T>> {
        let read_once = || {
            let faults = FaultList::default();
            let content = T::read(name, &PathReader::new(&self.value, &faults));
            content.filter(|_| faults.into_inner().is_empty()).map(Arc::new)
        };
        self.checked.get_or_init(read_once).as_ref()
    }

    fn digest(&self, name: &str) -> &[u8; DIGEST_LENGTH] {
        self.digest.get_or_init(|| {
            let mut digested_text = format!("{}\n{name}\n", T::PART).into_bytes();
            write_json(&mut digested_text, &self.value);
            digest(&digested_text)
        })
    }
}

/// The records of one part by name; copied only when it changes.
type Part<T> = Arc<BTreeMap<Arc<str>, Arc<Record<T>>>>;

fn is_same<T>(one: &Arc<Record<T>>, other: &Arc<Record<T>>) -> bool {
    Arc::ptr_eq(one, other) || one.value == other.value
}

fn is_same_part<T>(one: &Option<Part<T>>, other: &Option<Part<T>>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => {
            Arc::ptr_eq(one, other)
                || (one.len() == other.len()
                    && one.iter().zip(other.iter()).all(|((name, record), (other_name, held))| {
                        name == other_name && is_same(record, held)
                    }))
        }
        (None, None) => true,
        _ => false,
    }
}

/// What leads from one part to another.
pub(super) struct PartChange<'a> {
    /// The records that are new or different.
    put: Vec<(&'a str, &'a Value)>,
    /// The names that are gone.
    pub removed: Vec<&'a str>,
}

impl PartChange<'_> {
    /// Appends the records that are new or different as JSON text.
    pub fn write_put(&self, text: &mut Vec<u8>) {
        write_items(text, self.put.iter().copied());
    }
}

fn part_change<'a, T>(base: &'a Option<Part<T>>, newer: &'a Option<Part<T>>) -> PartChange<'a> {
    let mut change = PartChange { put: Vec::new(), removed: Vec::new() };
    if let (Some(base), Some(newer)) = (base, newer)
        && Arc::ptr_eq(base, newer)
    {
        return change;
    }
    let mut held_records = base.iter().flat_map(|part| part.iter()).peekable();
    for (name, record) in newer.iter().flat_map(|part| part.iter()) {
        while let Some((gone, _)) = held_records.next_if(|(held_name, _)| *held_name < name) {
            change.removed.push(gone);
        }
        let held = held_records.next_if(|(held_name, _)| *held_name == name);
        if !held.is_some_and(|(_, held)| is_same(held, record)) {
            change.put.push((name, &record.value));
        }
    }
    change.removed.extend(held_records.map(|(gone, _)| &**gone));
    change
}

fn take_part<T: RecordContent>(root: &mut Map<String, Value>) -> Option<Part<T>> {
    if !root.get(T::PART).is_some_and(Value::is_object) {
        return None;
    }
    let Some(Value::Object(items)) = root.remove(T::PART) else { return None };
    let records =
        items.into_iter().map(|(name, value)| (Arc::from(name), Arc::new(Record::new(value))));
    Some(Arc::new(records.collect()))
}

fn succeeding_part<T>(part: &Option<Part<T>>, earlier: &Option<Part<T>>) -> Option<Part<T>> {
    let (Some(records), Some(earlier_records)) = (part, earlier) else { return part.clone() };
    if is_same_part(part, earlier) {
        return earlier.clone();
    }
    let shared = records.iter().map(|(name, record)| {
        let held = earlier_records.get(name).filter(|held| is_same(held, record));
        (name.clone(), held.unwrap_or(record).clone())
    });
    Some(Arc::new(shared.collect()))
}

fn part_value<T>(part: &Part<T>) -> Value {
    let items = part.iter().map(|(name, record)| (name.to_string(), record.value.clone()));
    Value::Object(items.collect())
}

fn put<T: RecordContent>(part: &mut Option<Part<T>>, name: &str, value: Value) {
    let records = Arc::make_mut(part.get_or_insert_default());
    if records.get(name).is_none_or(|held| held.value != value) {
        records.insert(Arc::from(name), Arc::new(Record::new(value)));
    }
}

fn remove<T>(part: &mut Option<Part<T>>, name: &str) {
    if let Some(records) = part
        && records.contains_key(name)
    {
        Arc::make_mut(records).remove(name);
    }
}

/// Appends a value as JSON text.
pub(super) fn write_json(text: &mut Vec<u8>, value: &Value) {
    // Writing a JSON value into memory cannot fail.
    let _ = serde_json::to_writer(text, value);
}

fn write_part<T>(text: &mut Vec<u8>, part: &Part<T>) {
    write_items(text, part.iter().map(|(name, record)| (&**name, &record.value)));
}

fn write_items<'a>(text: &mut Vec<u8>, items: impl Iterator<Item = (&'a str, &'a Value)>) {
    text.push(b'{');
    for (place, (name, value)) in items.enumerate() {
        if place > 0 {
            text.push(b',');
        }
        let _ = serde_json::to_writer(&mut *text, name);
        text.push(b':');
        write_json(text, value);
    }
    text.push(b'}');
}

/// The operators' spec; a copy shares all records with its original.
#[derive(Clone)]
pub struct SpecRecords {
    functions: Option<Part<FunctionSpec>>,
    routes: Option<Part<RouteSpec>>,
    rest: Arc<Value>,
}

impl SpecRecords {
    /// The records of a spec; whatever is neither function nor route is kept as it is.
    pub fn new(mut spec: Value) -> Self {
        let (functions, routes) = match spec.as_object_mut() {
            Some(root) => (take_part(root), take_part(root)),
            None => (None, None),
        };
        Self { functions, routes, rest: Arc::new(spec) }
    }

    /// The same spec; records that are equal in an earlier one are shared with it, and so is what was
    /// derived from them.
    pub fn succeeding(&self, earlier: &SpecRecords) -> Self {
        Self {
            functions: succeeding_part(&self.functions, &earlier.functions),
            routes: succeeding_part(&self.routes, &earlier.routes),
            rest: self.rest.clone(),
        }
    }

    /// The spec as operators wrote it.
    pub fn to_value(&self) -> Value {
        let mut spec = (*self.rest).clone();
        if let Some(root) = spec.as_object_mut() {
            if let Some(functions) = &self.functions {
                root.insert(FUNCTIONS.to_owned(), part_value(functions));
            }
            if let Some(routes) = &self.routes {
                root.insert(ROUTES.to_owned(), part_value(routes));
            }
        }
        spec
    }

    /// Appends the spec as JSON text.
    pub fn write_to(&self, text: &mut Vec<u8>) {
        let Some(root) = self.rest.as_object() else {
            write_json(text, &self.rest);
            return;
        };
        let mut separator = b'{';
        let mut begin_field = |text: &mut Vec<u8>, name: &str| {
            text.push(separator);
            separator = b',';
            let _ = serde_json::to_writer(&mut *text, name);
            text.push(b':');
        };
        if let Some(functions) = &self.functions {
            begin_field(text, FUNCTIONS);
            write_part(text, functions);
        }
        for (name, value) in root {
            begin_field(text, name);
            write_json(text, value);
        }
        if let Some(routes) = &self.routes {
            begin_field(text, ROUTES);
            write_part(text, routes);
        }
        if separator == b'{' {
            text.push(b'{');
        }
        text.push(b'}');
    }

    /// Puts a function in the place of what had its name.
    pub fn put_function(&mut self, name: &str, function: Value) {
        put(&mut self.functions, name, function);
    }

    /// Removes a function, if it is there.
    pub fn remove_function(&mut self, name: &str) {
        remove(&mut self.functions, name);
    }

    /// Puts a route in the place of what had its name.
    pub fn put_route(&mut self, name: &str, route: Value) {
        put(&mut self.routes, name, route);
    }

    /// Removes a route, if it is there.
    pub fn remove_route(&mut self, name: &str) {
        remove(&mut self.routes, name);
    }

    /// What is neither function nor route.
    pub fn rest(&self) -> &Value {
        &self.rest
    }

    /// Puts a field that is neither function nor route.
    pub fn put_field(&mut self, name: &str, value: Value) {
        if let Some(root) = Arc::make_mut(&mut self.rest).as_object_mut() {
            root.insert(name.to_owned(), value);
        }
    }

    pub(super) fn replace_rest(&mut self, rest: Value) {
        self.rest = Arc::new(rest);
    }

    /// Whether the spec has functions and routes at all, if only none.
    pub(super) fn has_parts(&self) -> (bool, bool) {
        (self.functions.is_some(), self.routes.is_some())
    }

    /// Drops the parts that the spec is not to have, and adds empty ones that it is to have.
    pub(super) fn settle_parts(&mut self, (has_functions, has_routes): (bool, bool)) {
        self.functions = has_functions.then(|| self.functions.take().unwrap_or_default());
        self.routes = has_routes.then(|| self.routes.take().unwrap_or_default());
    }

    pub(super) fn function_change<'a>(&'a self, newer: &'a SpecRecords) -> PartChange<'a> {
        part_change(&self.functions, &newer.functions)
    }

    pub(super) fn route_change<'a>(&'a self, newer: &'a SpecRecords) -> PartChange<'a> {
        part_change(&self.routes, &newer.routes)
    }

    /// The number of functions and of routes.
    pub fn counts(&self) -> (usize, usize) {
        let function_count = self.functions.as_ref().map_or(0, |part| part.len());
        (function_count, self.routes.as_ref().map_or(0, |part| part.len()))
    }

    /// The digests of all records and of the rest, combined so that their order does not matter.
    pub fn digest(&self) -> [u8; DIGEST_LENGTH] {
        let mut rest_text = Vec::new();
        write_json(&mut rest_text, &self.rest);
        let mut combined = digest(&rest_text);
        let functions = self.functions.iter().flat_map(|part| part.iter());
        let routes = self.routes.iter().flat_map(|part| part.iter());
        let function_digests = functions.map(|(name, record)| record.digest(name));
        let route_digests = routes.map(|(name, record)| record.digest(name));
        for record_digest in function_digests.chain(route_digests) {
            combined.iter_mut().zip(record_digest).for_each(|(byte, other)| *byte ^= other);
        }
        combined
    }

    /// What each function says, by name; nothing where it has a fault of its own.
    pub(super) fn checked_function_records(
        &self,
    ) -> impl Iterator<Item = (&Arc<str>, Option<&Arc<FunctionSpec>>)> {
        let records = self.functions.iter().flat_map(|part| part.iter());
        records.map(|(name, record)| (name, record.checked(name)))
    }

    /// What each route says, by name; nothing where it has a fault of its own.
    pub(super) fn checked_route_records(
        &self,
    ) -> impl Iterator<Item = (&Arc<str>, Option<&Arc<RouteSpec>>)> {
        let records = self.routes.iter().flat_map(|part| part.iter());
        records.map(|(name, record)| (name, record.checked(name)))
    }

    /// Checks the spec; on failure every fault with its path. Records that were checked with an earlier
    /// spec are not read again.
    pub fn check(&self) -> Result<Spec, Vec<PathFault>> {
        match self.check_records() {
            Some(checked_spec) => Ok(checked_spec),
            None => read_spec(&self.to_value()),
        }
    }

    /// The checked spec if nothing at all is wrong with it.
    fn check_records(&self) -> Option<Spec> {
        let functions = self.checked_functions()?;
        let routes = self.checked_routes(&functions)?;
        let rest_spec = read_spec(&self.rest).ok()?;
        Some(Spec { functions, routes, limits: rest_spec.limits })
    }

    fn checked_functions(&self) -> Option<BTreeMap<FunctionName, Arc<FunctionSpec>>> {
        let records = self.functions.iter().flat_map(|part| part.iter());
        records
            .map(|(name, record)| {
                Some((FunctionName::from(name.clone()), record.checked(name)?.clone()))
            })
            .collect()
    }

    fn checked_routes(
        &self,
        functions: &BTreeMap<FunctionName, Arc<FunctionSpec>>,
    ) -> Option<Vec<Arc<RouteSpec>>> {
        let mut matchers: HashMap<&str, matchit::Router<()>> = HashMap::new();
        let (_, route_count) = self.counts();
        let mut prefixes: HashSet<(&str, &str)> = HashSet::with_capacity(route_count);
        let mut routes = Vec::with_capacity(route_count);
        for (name, record) in self.routes.iter().flat_map(|part| part.iter()) {
            let route = record.checked(name)?;
            let mut led_to = route.shares.iter().map(|(name, _)| name).chain([&route.function]);
            let is_distinct = match &route.matching {
                RouteMatch::Prefix(host, prefix) => prefixes.insert((host, prefix)),
                RouteMatch::Pattern(method, path) => {
                    let matcher = matchers.entry(method.as_str()).or_default();
                    matcher.insert(path.clone(), ()).is_ok()
                }
            };
            if !is_distinct || !led_to.all(|function| functions.contains_key(function)) {
                return None;
            }
            routes.push(route.clone());
        }
        Some(routes)
    }
}

impl From<Value> for SpecRecords {
    fn from(spec: Value) -> Self {
        Self::new(spec)
    }
}

impl PartialEq for SpecRecords {
    fn eq(&self, other: &Self) -> bool {
        is_same_part(&self.functions, &other.functions)
            && is_same_part(&self.routes, &other.routes)
            && (Arc::ptr_eq(&self.rest, &other.rest) || self.rest == other.rest)
    }
}

impl fmt::Debug for SpecRecords {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (function_count, route_count) = self.counts();
        write!(out, "{function_count} functions, {route_count} routes")
    }
}
