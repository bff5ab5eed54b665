//! A spec split into one record per function and route. Versions share unchanged records, so that the cost of a change
//! depends on the records that it touches.

use super::reader::read_function;
use super::route_reader::read_route;
use super::{FunctionSpec, RouteMatcher, RouteSpec, Spec, read_spec};
use crate::identity::FunctionName;
use crate::readers::{PathError, PathErrorList, PathReader};
use crate::seal::digest;
use serde_json::{Map, Value};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::sync::{Arc, OnceLock};

/// The key of a spec's functions.
const FUNCTIONS: &str = "functions";
/// The key of a spec's routes.
const ROUTES: &str = "routes";

/// The length of a SHA-256 digest in bytes.
pub(super) const DIGEST_LENGTH: usize = 32;

/// The parsed content of a record: a function or a route.
pub trait RecordContent: Sized {
    /// The spec's key for records with this content.
    const PART: &'static str;

    /// Reads the content of a record. Errors are reported to the reader.
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

/// One function or route as the operators wrote it. Its content and its digest are computed once, on first use.
pub struct Record<T> {
    value: Value,
    checked: OnceLock<Option<Arc<T>>>,
    digest: OnceLock<[u8; DIGEST_LENGTH]>,
}

impl<T: RecordContent> Record<T> {
    fn new(value: Value) -> Self {
        Self {
            value,
            checked: OnceLock::new(),
            digest: OnceLock::new(),
        }
    }

    /// Returns the record as the operators wrote it.
    pub fn value(&self) -> &Value {
        &self.value
    }

    /// Returns the parsed content, or `None` if the record by itself is invalid.
    fn checked(&self, name: &str) -> Option<&Arc<T>> {
        let read_once = || {
            let errors = PathErrorList::default();
            let content = T::read(name, &PathReader::new(&self.value, &errors));
            content
                .filter(|_| errors.into_inner().is_empty())
                .map(Arc::new)
        };
        self.checked.get_or_init(read_once).as_ref()
    }

    fn digest(&self, name: &str) -> &[u8; DIGEST_LENGTH] {
        self.digest.get_or_init(|| {
            let mut digest_input = format!("{}\n{name}\n", T::PART).into_bytes();
            write_json(&mut digest_input, &self.value);
            digest(&digest_input)
        })
    }
}

/// The functions or the routes of a spec by name, copied on write.
type Part<T> = Arc<BTreeMap<Arc<str>, Arc<Record<T>>>>;

fn is_same<T>(one: &Arc<Record<T>>, other: &Arc<Record<T>>) -> bool {
    Arc::ptr_eq(one, other) || one.value == other.value
}

fn is_same_part<T>(one: &Option<Part<T>>, other: &Option<Part<T>>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => {
            Arc::ptr_eq(one, other)
                || (one.len() == other.len()
                    && one.iter().zip(other.iter()).all(
                        |((name, record), (other_name, other_record))| {
                            name == other_name && is_same(record, other_record)
                        },
                    ))
        }
        (None, None) => true,
        _ => false,
    }
}

/// The differences between two versions of the functions or of the routes.
pub(super) struct PartDelta<'a> {
    /// The records that were added or changed.
    put: Vec<(&'a str, &'a Value)>,
    /// The names of the records that were removed.
    pub removed: Vec<&'a str>,
}

impl PartDelta<'_> {
    /// Appends the added and changed records as JSON text.
    pub(super) fn write_put(&self, text: &mut Vec<u8>) {
        write_items(text, self.put.iter().copied());
    }
}

fn part_delta<'a, T>(base: &'a Option<Part<T>>, newer: &'a Option<Part<T>>) -> PartDelta<'a> {
    let mut delta = PartDelta {
        put: Vec::new(),
        removed: Vec::new(),
    };
    if let (Some(base), Some(newer)) = (base, newer)
        && Arc::ptr_eq(base, newer)
    {
        return delta;
    }
    let mut base_records = base.iter().flat_map(|part| part.iter()).peekable();
    for (name, record) in newer.iter().flat_map(|part| part.iter()) {
        while let Some((removed_name, _)) = base_records.next_if(|(base_name, _)| *base_name < name)
        {
            delta.removed.push(removed_name);
        }
        let other_record = base_records.next_if(|(base_name, _)| *base_name == name);
        if !other_record.is_some_and(|(_, other_record)| is_same(other_record, record)) {
            delta.put.push((name, &record.value));
        }
    }
    delta
        .removed
        .extend(base_records.map(|(removed_name, _)| &**removed_name));
    delta
}

/// Moves the functions or the routes out of a spec; `None` if the spec has no object under their key.
fn extract_part<T: RecordContent>(root: &mut Map<String, Value>) -> Option<Part<T>> {
    if !root.get(T::PART).is_some_and(Value::is_object) {
        return None;
    }
    let Some(Value::Object(items)) = root.remove(T::PART) else {
        return None;
    };
    let records = items
        .into_iter()
        .map(|(name, value)| (Arc::from(name), Arc::new(Record::new(value))));
    Some(Arc::new(records.collect()))
}

/// Returns a part with every record that is equal in an earlier part replaced by the earlier one.
fn part_sharing_records_with<T>(
    part: &Option<Part<T>>,
    earlier: &Option<Part<T>>,
) -> Option<Part<T>> {
    let (Some(records), Some(earlier_records)) = (part, earlier) else {
        return part.clone();
    };
    if is_same_part(part, earlier) {
        return earlier.clone();
    }
    let shared = records.iter().map(|(name, record)| {
        let other_record = earlier_records
            .get(name)
            .filter(|other_record| is_same(other_record, record));
        (name.clone(), other_record.unwrap_or(record).clone())
    });
    Some(Arc::new(shared.collect()))
}

fn part_value<T>(part: &Part<T>) -> Value {
    let items = part
        .iter()
        .map(|(name, record)| (name.to_string(), record.value.clone()));
    Value::Object(items.collect())
}

fn put<T: RecordContent>(part: &mut Option<Part<T>>, name: &str, value: Value) {
    let records = Arc::make_mut(part.get_or_insert_default());
    if records
        .get(name)
        .is_none_or(|other_record| other_record.value != value)
    {
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
    write_items(
        text,
        part.iter().map(|(name, record)| (&**name, &record.value)),
    );
}

fn write_items<'a>(text: &mut Vec<u8>, items: impl Iterator<Item = (&'a str, &'a Value)>) {
    text.push(b'{');
    for (index, (name, value)) in items.enumerate() {
        if index > 0 {
            text.push(b',');
        }
        let _ = serde_json::to_writer(&mut *text, name);
        text.push(b':');
        write_json(text, value);
    }
    text.push(b'}');
}

/// The operators' spec, split into records. A clone shares all records with the original.
#[derive(Clone)]
pub struct SpecRecords {
    functions: Option<Part<FunctionSpec>>,
    routes: Option<Part<RouteSpec>>,
    remainder: Arc<Value>,
}

impl SpecRecords {
    /// Splits a spec into records. The remainder, which is neither functions nor routes, is kept as one value.
    pub fn new(mut spec: Value) -> Self {
        let (functions, routes) = match spec.as_object_mut() {
            Some(root) => (extract_part(root), extract_part(root)),
            None => (None, None),
        };
        Self {
            functions,
            routes,
            remainder: Arc::new(spec),
        }
    }

    /// Returns the same spec, sharing every record that is equal in an earlier spec, with its computed content and
    /// digest.
    pub fn sharing_records_with(&self, earlier: &SpecRecords) -> Self {
        Self {
            functions: part_sharing_records_with(&self.functions, &earlier.functions),
            routes: part_sharing_records_with(&self.routes, &earlier.routes),
            remainder: self.remainder.clone(),
        }
    }

    /// Returns the spec as the operators wrote it.
    pub fn to_value(&self) -> Value {
        let mut spec = (*self.remainder).clone();
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
        let Some(root) = self.remainder.as_object() else {
            write_json(text, &self.remainder);
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

    /// Adds a function, or replaces the function of the same name.
    pub fn put_function(&mut self, name: &str, function: Value) {
        put(&mut self.functions, name, function);
    }

    /// Removes a function, if it exists.
    pub fn remove_function(&mut self, name: &str) {
        remove(&mut self.functions, name);
    }

    /// Adds a route, or replaces the route of the same name.
    pub fn put_route(&mut self, name: &str, route: Value) {
        put(&mut self.routes, name, route);
    }

    /// Removes a route, if it exists.
    pub fn remove_route(&mut self, name: &str) {
        remove(&mut self.routes, name);
    }

    /// Returns the part of the spec that is neither functions nor routes.
    pub fn remainder(&self) -> &Value {
        &self.remainder
    }

    /// Sets a field of the remainder, which is neither functions nor routes.
    pub fn put_field(&mut self, name: &str, value: Value) {
        if let Some(root) = Arc::make_mut(&mut self.remainder).as_object_mut() {
            root.insert(name.to_owned(), value);
        }
    }

    pub(super) fn replace_remainder(&mut self, remainder: Value) {
        self.remainder = Arc::new(remainder);
    }

    /// Whether the spec has the keys `functions` and `routes`, even if they are empty.
    pub(super) fn has_parts(&self) -> (bool, bool) {
        (self.functions.is_some(), self.routes.is_some())
    }

    /// Adds the keys `functions` and `routes`, empty if they are missing, or removes them.
    pub(super) fn set_present_parts(&mut self, (has_functions, has_routes): (bool, bool)) {
        self.functions = has_functions.then(|| self.functions.take().unwrap_or_default());
        self.routes = has_routes.then(|| self.routes.take().unwrap_or_default());
    }

    pub(super) fn function_delta<'a>(&'a self, newer: &'a SpecRecords) -> PartDelta<'a> {
        part_delta(&self.functions, &newer.functions)
    }

    pub(super) fn route_delta<'a>(&'a self, newer: &'a SpecRecords) -> PartDelta<'a> {
        part_delta(&self.routes, &newer.routes)
    }

    /// Returns the number of functions and the number of routes.
    pub fn counts(&self) -> (usize, usize) {
        let function_count = self.functions.as_ref().map_or(0, |part| part.len());
        (
            function_count,
            self.routes.as_ref().map_or(0, |part| part.len()),
        )
    }

    /// Returns the digests of all records and of the remainder, combined by XOR. After a change to one record, only
    /// that record's digest and the remainder's are computed.
    pub fn digest(&self) -> [u8; DIGEST_LENGTH] {
        let mut remainder_text = Vec::new();
        write_json(&mut remainder_text, &self.remainder);
        let mut combined = digest(&remainder_text);
        let functions = self.functions.iter().flat_map(|part| part.iter());
        let routes = self.routes.iter().flat_map(|part| part.iter());
        let function_digests = functions.map(|(name, record)| record.digest(name));
        let route_digests = routes.map(|(name, record)| record.digest(name));
        for record_digest in function_digests.chain(route_digests) {
            combined
                .iter_mut()
                .zip(record_digest)
                .for_each(|(byte, other)| *byte ^= other);
        }
        combined
    }

    /// Returns each function's name and content; the content is `None` if the record by itself is invalid.
    pub(super) fn checked_function_records(
        &self,
    ) -> impl Iterator<Item = (&Arc<str>, Option<&Arc<FunctionSpec>>)> {
        let records = self.functions.iter().flat_map(|part| part.iter());
        records.map(|(name, record)| (name, record.checked(name)))
    }

    /// Returns each route's name and content; the content is `None` if the record by itself is invalid.
    pub(super) fn checked_route_records(
        &self,
    ) -> impl Iterator<Item = (&Arc<str>, Option<&Arc<RouteSpec>>)> {
        let records = self.routes.iter().flat_map(|part| part.iter());
        records.map(|(name, record)| (name, record.checked(name)))
    }

    /// Validates the spec. Records that are shared with an earlier, validated spec are not parsed again.
    ///
    /// # Errors
    /// All errors found, each with its path.
    pub fn check(&self) -> Result<Spec, Vec<PathError>> {
        match self.check_records() {
            Some(checked_spec) => Ok(checked_spec),
            None => read_spec(&self.to_value()),
        }
    }

    /// Returns the validated spec, or `None` if it has any error. [`read_spec`], which is slower, lists the errors.
    fn check_records(&self) -> Option<Spec> {
        let functions = self.checked_functions()?;
        let routes = self.checked_routes(&functions)?;
        let remainder_spec = read_spec(&self.remainder).ok()?;
        Some(Spec {
            functions,
            routes,
            limits: remainder_spec.limits,
        })
    }

    fn checked_functions(&self) -> Option<BTreeMap<FunctionName, Arc<FunctionSpec>>> {
        let records = self.functions.iter().flat_map(|part| part.iter());
        records
            .map(|(name, record)| {
                Some((
                    FunctionName::from(name.clone()),
                    record.checked(name)?.clone(),
                ))
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
            let mut target_functions = route
                .shares
                .iter()
                .map(|(name, _)| name)
                .chain([&route.function]);
            let is_distinct = match &route.matching {
                RouteMatcher::Prefix(host, prefix) => prefixes.insert((host, prefix)),
                RouteMatcher::Pattern(method, path) => {
                    let matcher = matchers.entry(method.as_str()).or_default();
                    matcher.insert(path.clone(), ()).is_ok()
                }
            };
            if !is_distinct || !target_functions.all(|function| functions.contains_key(function)) {
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
            && (Arc::ptr_eq(&self.remainder, &other.remainder) || self.remainder == other.remainder)
    }
}

impl fmt::Debug for SpecRecords {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (function_count, route_count) = self.counts();
        write!(out, "{function_count} functions, {route_count} routes")
    }
}
