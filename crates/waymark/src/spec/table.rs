use super::{DocumentFault, FunctionSpec, RouteSpec, View};
use crate::identity::{FunctionIndex, FunctionKey, Locality, Serial};
use hyper::Method;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// One function of a snapshot.
pub struct FunctionEntry {
    /// Its key.
    pub key: FunctionKey,
    /// What it needs.
    pub spec: FunctionSpec,
}

/// One route of a snapshot.
pub struct RouteEntry {
    /// The route.
    pub spec: RouteSpec,
    /// Its function's dense number.
    pub function: FunctionIndex,
}

/// An immutable snapshot of a spec, made for look-ups.
pub struct Table {
    serial: Serial,
    functions: Vec<FunctionEntry>,
    routes: Vec<RouteEntry>,
    matchers: HashMap<Method, matchit::Router<usize>>,
    by_route: HashMap<String, usize>,
    by_key: HashMap<FunctionKey, FunctionIndex>,
    evacuated: BTreeSet<Locality>,
}

impl Table {
    /// A table without any function.
    pub fn empty() -> Self {
        Self {
            serial: Serial(0),
            functions: Vec::new(),
            routes: Vec::new(),
            matchers: HashMap::new(),
            by_route: HashMap::new(),
            by_key: HashMap::new(),
            evacuated: BTreeSet::new(),
        }
    }

    /// A table from a view; fails when the view's spec does not check.
    pub fn build(view: &View) -> Result<Self, DocumentFault> {
        let checked_spec = view.checked()?;
        let mut table =
            Table { serial: view.serial, evacuated: view.evacuated.clone(), ..Self::empty() };
        for (function_name, function_spec) in checked_spec.functions {
            let generation = view.generations.get(&function_name).copied().unwrap_or(view.serial);
            let key = FunctionKey { name: function_name, generation };
            table.by_key.insert(key.clone(), FunctionIndex(table.functions.len()));
            table.functions.push(FunctionEntry { key, spec: function_spec });
        }
        let by_name: HashMap<_, _> = table
            .functions
            .iter()
            .enumerate()
            .map(|(place, entry)| (entry.key.name.clone(), FunctionIndex(place)))
            .collect();
        for route_spec in checked_spec.routes {
            let Some(function) = by_name.get(&route_spec.function).copied() else { continue };
            let route_place = table.routes.len();
            let matcher = table.matchers.entry(route_spec.method.clone()).or_default();
            if matcher.insert(route_spec.path.clone(), route_place).is_err() {
                continue;
            }
            table.by_route.insert(route_spec.name.clone(), route_place);
            table.routes.push(RouteEntry { spec: route_spec, function });
        }
        Ok(table)
    }

    /// The serial this was made from.
    pub fn serial(&self) -> Serial {
        self.serial
    }

    /// The route for a method and path.
    pub fn route(&self, method: &Method, path: &str) -> Option<&RouteEntry> {
        let found_match = self.matchers.get(method)?.at(path).ok()?;
        self.routes.get(*found_match.value)
    }

    /// The route of a name.
    pub fn route_named(&self, route_name: &str) -> Option<&RouteEntry> {
        self.routes.get(*self.by_route.get(route_name)?)
    }

    /// The function of a dense number.
    pub fn function(&self, index: FunctionIndex) -> &FunctionEntry {
        &self.functions[index.0]
    }

    /// The function of a key.
    pub fn function_of(&self, key: &FunctionKey) -> Option<&FunctionEntry> {
        self.by_key.get(key).map(|index| &self.functions[index.0])
    }

    /// The dense number of a key.
    pub fn index_of(&self, key: &FunctionKey) -> Option<FunctionIndex> {
        self.by_key.get(key).copied()
    }

    /// All functions in dense order.
    pub fn functions(&self) -> &[FunctionEntry] {
        &self.functions
    }

    /// The number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// The longest budget any route allows.
    pub fn longest_budget(&self) -> Duration {
        self.routes.iter().map(|route| route.spec.budget).max().unwrap_or_default()
    }

    /// Whether a locality is evacuated.
    pub fn is_evacuated(&self, locality: &Locality) -> bool {
        self.evacuated.contains(locality)
    }
}
