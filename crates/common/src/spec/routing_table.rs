//! The routing table, in which a daemon looks up the route and the function of a request.

use super::{
    CallerLimits, DaemonView, DocumentError, FunctionSpec, RouteMatcher, RouteSpec, read_spec,
};
use crate::frames::RequestPayload;
use crate::identity::{FunctionIndex, FunctionKey, FunctionName, IdempotencyKey, Version, Zone};
use hyper::Method;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

/// A function in a routing table.
pub struct FunctionEntry {
    /// The function's key.
    pub key: FunctionKey,
    /// The function's spec.
    pub spec: Arc<FunctionSpec>,
}

/// A route in a routing table.
#[derive(Clone)]
pub struct RouteEntry {
    /// The route's spec.
    pub spec: Arc<RouteSpec>,
    /// The index of the route's function, or of the first one if it has several.
    pub function: FunctionIndex,
    /// The functions that share the requests, with their weights; empty if `function` serves all requests.
    pub shares: Vec<(FunctionIndex, u32)>,
}

impl RouteEntry {
    /// Chooses the function for a request by weight. Requests with the same idempotency key go to the same function.
    pub fn choose_function(&self, idempotency_key: &IdempotencyKey) -> FunctionIndex {
        let weight_sum: u64 = self
            .shares
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        if weight_sum == 0 {
            return self.function;
        }
        let mut key_hasher = DefaultHasher::new();
        idempotency_key.hash(&mut key_hasher);
        let mut remaining = key_hasher.finish() % weight_sum;
        for (function, weight) in &self.shares {
            if remaining < u64::from(*weight) {
                return *function;
            }
            remaining -= u64::from(*weight);
        }
        self.function
    }

    /// Whether a function may serve requests of this route.
    pub fn may_lead_to(&self, function: FunctionIndex) -> bool {
        if self.shares.is_empty() {
            return self.function == function;
        }
        self.shares
            .iter()
            .any(|(shared, weight)| *shared == function && *weight > 0)
    }
}

/// The result of looking up a request.
pub struct RouteMatch<'a> {
    /// The route that matches the request.
    pub route: &'a RouteEntry,
    /// The function that serves the request.
    pub function: &'a FunctionEntry,
}

/// The positions of a table's functions by key, and of its routes by pattern and prefix.
#[derive(Default)]
struct Index {
    matchers: HashMap<Method, matchit::Router<usize>>,
    prefixes: HashMap<String, HashMap<String, usize>>,
    by_key: HashMap<FunctionKey, FunctionIndex>,
}

impl Index {
    /// Adds a route by its pattern or prefix. Returns false if its pattern is invalid or conflicts with another.
    fn add_route(&mut self, spec: &RouteSpec, route_position: usize) -> bool {
        match &spec.matching {
            RouteMatcher::Pattern(method, path) => {
                let matcher = self.matchers.entry(method.clone()).or_default();
                if matcher.insert(path.clone(), route_position).is_err() {
                    return false;
                }
            }
            RouteMatcher::Prefix(host, prefix) => self.add_prefix(host, prefix, route_position),
        }
        true
    }

    fn add_prefix(&mut self, host: &str, prefix: &str, route_position: usize) {
        if let Some(host_prefixes) = self.prefixes.get_mut(host) {
            host_prefixes.insert(prefix.to_owned(), route_position);
        } else {
            let host_prefixes = HashMap::from([(prefix.to_owned(), route_position)]);
            self.prefixes.insert(host.to_owned(), host_prefixes);
        }
    }
}

/// An immutable table for looking up requests in one version of a spec. Tables with the same function keys, and the same
/// patterns and prefixes of routes, share their index.
pub struct RoutingTable {
    version: Version,
    functions: Vec<FunctionEntry>,
    routes: Vec<RouteEntry>,
    index: Arc<Index>,
    limits: CallerLimits,
    evacuated: BTreeSet<Zone>,
    prewarmed: BTreeSet<FunctionIndex>,
}

impl RoutingTable {
    /// Creates a table without functions and routes.
    pub fn empty() -> Self {
        Self {
            version: Version(0),
            functions: Vec::new(),
            routes: Vec::new(),
            index: Arc::default(),
            limits: CallerLimits::default(),
            evacuated: BTreeSet::new(),
            prewarmed: BTreeSet::new(),
        }
    }

    /// Builds a table from a view.
    ///
    /// # Errors
    /// [`DocumentError::Path`] with the first error of the view's spec.
    pub fn build(view: &DaemonView) -> Result<Self, DocumentError> {
        let checked_spec = view.check_spec()?;
        let mut table = RoutingTable {
            version: view.version,
            evacuated: view.evacuated.clone(),
            limits: checked_spec.limits,
            ..Self::empty()
        };
        let (function_count, route_count) = view.spec.counts();
        let mut index = Index {
            by_key: HashMap::with_capacity(function_count),
            ..Index::default()
        };
        table.functions.reserve(function_count);
        table.routes.reserve(route_count);
        table.add_functions(&mut index, checked_spec.functions, view);
        table.add_routes(&mut index, checked_spec.routes);
        table.index = Arc::new(index);
        table.prewarmed = table.find_prewarmed();
        Ok(table)
    }

    fn add_functions(
        &mut self,
        index: &mut Index,
        function_specs: BTreeMap<FunctionName, Arc<FunctionSpec>>,
        view: &DaemonView,
    ) {
        for (function_name, spec) in function_specs {
            let generation = view
                .generations
                .get(&function_name)
                .copied()
                .unwrap_or(view.version);
            let key = FunctionKey::new(function_name, generation);
            let function = FunctionIndex(self.functions.len());
            index.by_key.insert(key.clone(), function);
            self.functions.push(FunctionEntry { key, spec });
        }
    }

    /// Adds the routes. A route is skipped if its function is not in the table.
    fn add_routes(&mut self, index: &mut Index, route_specs: Vec<Arc<RouteSpec>>) {
        let function_by_name: HashMap<_, _> = self
            .functions
            .iter()
            .enumerate()
            .map(|(position, entry)| (entry.key.name.clone(), FunctionIndex(position)))
            .collect();
        for spec in route_specs {
            let Some(function) = function_by_name.get(&spec.function).copied() else {
                continue;
            };
            if !index.add_route(&spec, self.routes.len()) {
                continue;
            }
            let shares = spec
                .shares
                .iter()
                .filter_map(|(name, weight)| Some((*function_by_name.get(name)?, *weight)))
                .collect();
            self.routes.push(RouteEntry {
                spec,
                function,
                shares,
            });
        }
    }

    /// Builds a table as [`RoutingTable::build`] does, but reuses the index of an earlier table if the function keys
    /// and the patterns and prefixes of the routes are unchanged.
    ///
    /// # Errors
    /// As [`RoutingTable::build`].
    pub fn build_after(earlier: &RoutingTable, view: &DaemonView) -> Result<Self, DocumentError> {
        match earlier.build_with_same_index(view) {
            Some(table) => Ok(table),
            None => Self::build(view),
        }
    }

    /// Builds the table of a view that needs the same index as this table: the same function keys, and routes with the
    /// same patterns and prefixes. Returns `None` if these differ, or if the view has any error.
    fn build_with_same_index(&self, view: &DaemonView) -> Option<Self> {
        let function_specs = view.spec.checked_function_records();
        let mut functions = Vec::with_capacity(self.functions.len());
        for (position, (name, spec)) in function_specs.enumerate() {
            let key = &self.functions.get(position)?.key;
            let is_same = *key.name.as_str() == **name
                && view.generations.get(&**name) == Some(&key.generation);
            let spec = spec.filter(|_| is_same)?.clone();
            functions.push(FunctionEntry {
                key: key.clone(),
                spec,
            });
        }
        let mut routes = Vec::with_capacity(self.routes.len());
        for (position, (_, spec)) in view.spec.checked_route_records().enumerate() {
            routes.push(self.route_at_position(position, spec?, view)?);
        }
        if functions.len() != self.functions.len() || routes.len() != self.routes.len() {
            return None;
        }
        let mut table = Self {
            version: view.version,
            functions,
            routes,
            index: self.index.clone(),
            limits: read_spec(view.spec.remainder()).ok()?.limits,
            evacuated: view.evacuated.clone(),
            prewarmed: BTreeSet::new(),
        };
        table.prewarmed = table.find_prewarmed();
        Some(table)
    }

    /// Builds the entry of a route if this table's route at the position has the same pattern or prefix.
    fn route_at_position(
        &self,
        position: usize,
        spec: &Arc<RouteSpec>,
        view: &DaemonView,
    ) -> Option<RouteEntry> {
        let earlier = self.routes.get(position)?;
        if Arc::ptr_eq(&earlier.spec, spec) {
            return Some(earlier.clone());
        }
        if earlier.spec.matching != spec.matching {
            return None;
        }
        let index_of = |name: &FunctionName| {
            let generation = *view.generations.get(name)?;
            self.index_of(&FunctionKey::new(name.clone(), generation))
        };
        let shares = spec
            .shares
            .iter()
            .map(|(name, weight)| Some((index_of(name)?, *weight)));
        Some(RouteEntry {
            function: index_of(&spec.function)?,
            shares: shares.collect::<Option<_>>()?,
            spec: spec.clone(),
        })
    }

    /// Returns the functions that take longer to start than the target response time of one of their routes.
    fn find_prewarmed(&self) -> BTreeSet<FunctionIndex> {
        let mut prewarmed_functions = BTreeSet::new();
        for route in &self.routes {
            let shared = route.shares.iter().filter(|(_, weight)| *weight > 0);
            let single = route.shares.is_empty().then_some(route.function);
            let route_functions = shared.map(|(function, _)| *function).chain(single);
            let target = route.spec.target;
            prewarmed_functions.extend(
                route_functions.filter(|function| self.function(*function).spec.startup > target),
            );
        }
        prewarmed_functions
    }

    /// Whether runners are kept warm for a function, because it takes longer to start than the target response time of
    /// one of its routes.
    pub fn is_prewarmed(&self, index: FunctionIndex) -> bool {
        self.prewarmed.contains(&index)
    }

    /// Returns the functions for which runners are kept warm; see [`is_prewarmed`](Self::is_prewarmed).
    pub fn prewarmed_functions(&self) -> impl Iterator<Item = &FunctionKey> {
        self.prewarmed
            .iter()
            .map(|index| &self.function(*index).key)
    }

    /// Returns the version of the view that the table was built from.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Looks up the route and the function of a request: first by host and longest path prefix, then by method and path
    /// pattern.
    pub fn route(
        &self,
        method: &Method,
        host: &str,
        path: &str,
        idempotency_key: &IdempotencyKey,
    ) -> Option<RouteMatch<'_>> {
        let route = self.matching_route(method, host, path)?;
        Some(RouteMatch {
            route,
            function: self.function(route.choose_function(idempotency_key)),
        })
    }

    /// Returns the route that matches a request. Tables of different versions are asked for a request's route in this
    /// way, and never by the route's name: a later version may give the name to another route.
    pub fn route_of(&self, payload: &RequestPayload) -> Option<&RouteEntry> {
        let method = Method::from_bytes(payload.method.as_str().as_bytes()).ok()?;
        self.matching_route(&method, payload.host(), payload.path())
    }

    fn matching_route(&self, method: &Method, host: &str, path: &str) -> Option<&RouteEntry> {
        let position = self.find_by_prefix(host, path).or_else(|| {
            let matched = self.index.matchers.get(method)?.at(path).ok()?;
            Some(*matched.value)
        })?;
        self.routes.get(position)
    }

    /// Returns the position of the route with the longest matching path prefix for a host, ignoring the host's port.
    fn find_by_prefix(&self, host: &str, path: &str) -> Option<usize> {
        let host_without_port = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let lowercase_host;
        let requested_host = if host_without_port
            .bytes()
            .any(|byte| byte.is_ascii_uppercase())
        {
            lowercase_host = host_without_port.to_ascii_lowercase();
            &lowercase_host
        } else {
            host_without_port
        };
        let host_prefixes = self.index.prefixes.get(requested_host)?;
        let mut remainder = path;
        while let Some(slash) = remainder.rfind('/') {
            if let Some(position) = host_prefixes.get(&remainder[..=slash]) {
                return Some(*position);
            }
            remainder = &remainder[..slash];
        }
        None
    }

    /// Whether a route of this table may lead to the function with the given key.
    pub fn leads_to(&self, route: &RouteEntry, key: &FunctionKey) -> bool {
        self.index_of(key)
            .is_some_and(|function| route.may_lead_to(function))
    }

    /// Returns the limits for callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns all routes.
    pub fn routes(&self) -> &[RouteEntry] {
        &self.routes
    }

    /// Returns the route with the given name, after a search through all routes. A name means nothing beyond one version
    /// of a spec; see [`route_of`](Self::route_of).
    pub fn route_named(&self, route_name: &str) -> Option<&RouteEntry> {
        self.routes
            .iter()
            .find(|route| route.spec.name == route_name)
    }

    /// Returns the function at the given index of this table.
    pub fn function(&self, index: FunctionIndex) -> &FunctionEntry {
        &self.functions[index.0]
    }

    /// Returns the function with the given key. A regional key leads to the same function as the key for all regions.
    pub fn function_of(&self, key: &FunctionKey) -> Option<&FunctionEntry> {
        self.index_of(key).map(|index| &self.functions[index.0])
    }

    /// Returns the index of the function with the given key, regional or not.
    pub fn index_of(&self, key: &FunctionKey) -> Option<FunctionIndex> {
        let found = if key.is_regional() {
            self.index.by_key.get(&key.all_regions())
        } else {
            self.index.by_key.get(key)
        };
        found.copied()
    }

    /// Returns all functions in the order of their indexes.
    pub fn functions(&self) -> &[FunctionEntry] {
        &self.functions
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Whether a ledger replica must record a function's requests before they are sent to a runner. False only if the
    /// function has routes whose requests may run only once, and none of these is [`recorded`](RouteSpec::recorded).
    pub fn is_recorded(&self, index: FunctionIndex) -> bool {
        let mut once_routes = self
            .routes
            .iter()
            .filter(|route| route.spec.once && route.may_lead_to(index))
            .peekable();
        once_routes.peek().is_none() || once_routes.any(|route| route.spec.recorded)
    }

    /// Returns the longest timeout that any route allows.
    pub fn longest_timeout(&self) -> Duration {
        self.routes
            .iter()
            .map(|route| route.spec.timeout)
            .max()
            .unwrap_or_default()
    }

    /// Whether any zone is evacuated.
    pub fn has_evacuated_zones(&self) -> bool {
        !self.evacuated.is_empty()
    }

    /// Whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &Zone) -> bool {
        self.evacuated.contains(zone)
    }
}
