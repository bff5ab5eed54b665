use super::{CallerLimits, DocumentFault, FunctionSpec, RouteMatch, RouteSpec, View, read_spec};
use crate::identity::{FunctionIndex, FunctionKey, FunctionName, Serial, TransactionId, Zone};
use hyper::Method;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeSet, HashMap};
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

/// One function of a snapshot.
pub struct FunctionEntry {
    /// Its key.
    pub key: FunctionKey,
    /// What it needs.
    pub spec: Arc<FunctionSpec>,
}

/// One route of a snapshot.
#[derive(Clone)]
pub struct RouteEntry {
    /// The route.
    pub spec: Arc<RouteSpec>,
    /// Its function's dense number, or the first one's.
    pub function: FunctionIndex,
    /// Several functions with their weights; empty when all goes to one.
    pub shares: Vec<(FunctionIndex, u32)>,
}

impl RouteEntry {
    /// The function of one transaction; the same identity always leads to the same one.
    pub fn choose(&self, transaction: &TransactionId) -> FunctionIndex {
        let weight_sum: u64 = self.shares.iter().map(|(_, weight)| u64::from(*weight)).sum();
        if weight_sum == 0 {
            return self.function;
        }
        let mut identity_hasher = DefaultHasher::new();
        transaction.hash(&mut identity_hasher);
        let mut left = identity_hasher.finish() % weight_sum;
        for (function, weight) in &self.shares {
            if left < u64::from(*weight) {
                return *function;
            }
            left -= u64::from(*weight);
        }
        self.function
    }

    /// Whether the route may lead to a function.
    pub fn leads_to(&self, function: FunctionIndex) -> bool {
        if self.shares.is_empty() {
            return self.function == function;
        }
        self.shares.iter().any(|(shared, weight)| *shared == function && *weight > 0)
    }
}

/// What a look-up found.
pub struct Found<'a> {
    /// The route.
    pub route: &'a RouteEntry,
    /// The transaction's function.
    pub function: &'a FunctionEntry,
}

/// Where functions and routes stand, by their keys, names and matches.
#[derive(Default)]
struct Index {
    matchers: HashMap<Method, matchit::Router<usize>>,
    prefixes: HashMap<String, HashMap<String, usize>>,
    by_route: HashMap<String, usize>,
    by_key: HashMap<FunctionKey, FunctionIndex>,
}

impl Index {
    fn add_prefix(&mut self, host: &str, prefix: &str, route_place: usize) {
        if let Some(host_prefixes) = self.prefixes.get_mut(host) {
            host_prefixes.insert(prefix.to_owned(), route_place);
        } else {
            let host_prefixes = HashMap::from([(prefix.to_owned(), route_place)]);
            self.prefixes.insert(host.to_owned(), host_prefixes);
        }
    }
}

/// An immutable snapshot of a spec, made for look-ups; those that differ in neither keys, names nor matches share
/// their index.
pub struct Table {
    serial: Serial,
    functions: Vec<FunctionEntry>,
    routes: Vec<RouteEntry>,
    index: Arc<Index>,
    limits: CallerLimits,
    evacuated: BTreeSet<Zone>,
    warm: BTreeSet<FunctionIndex>,
}

impl Table {
    /// A table without any function.
    pub fn empty() -> Self {
        Self {
            serial: Serial(0),
            functions: Vec::new(),
            routes: Vec::new(),
            index: Arc::default(),
            limits: CallerLimits::default(),
            evacuated: BTreeSet::new(),
            warm: BTreeSet::new(),
        }
    }

    /// A table from a view; fails when the view's spec does not check.
    pub fn build(view: &View) -> Result<Self, DocumentFault> {
        let checked_spec = view.checked()?;
        let mut table =
            Table { serial: view.serial, evacuated: view.evacuated.clone(), ..Self::empty() };
        let (function_count, route_count) = view.spec.counts();
        let mut index = Index {
            by_route: HashMap::with_capacity(route_count),
            by_key: HashMap::with_capacity(function_count),
            ..Index::default()
        };
        table.functions.reserve(function_count);
        table.routes.reserve(route_count);
        for (function_name, function_spec) in checked_spec.functions {
            let generation = view.generations.get(&function_name).copied().unwrap_or(view.serial);
            let key = FunctionKey::new(function_name, generation);
            index.by_key.insert(key.clone(), FunctionIndex(table.functions.len()));
            table.functions.push(FunctionEntry { key, spec: function_spec });
        }
        table.limits = checked_spec.limits;
        let by_name: HashMap<_, _> = table
            .functions
            .iter()
            .enumerate()
            .map(|(place, entry)| (entry.key.name.clone(), FunctionIndex(place)))
            .collect();
        for route_spec in checked_spec.routes {
            let Some(function) = by_name.get(&route_spec.function).copied() else { continue };
            let route_place = table.routes.len();
            match &route_spec.matching {
                RouteMatch::Pattern(method, path) => {
                    let matcher = index.matchers.entry(method.clone()).or_default();
                    if matcher.insert(path.clone(), route_place).is_err() {
                        continue;
                    }
                }
                RouteMatch::Prefix(host, prefix) => {
                    index.add_prefix(host, prefix, route_place);
                }
            }
            let shares = route_spec
                .shares
                .iter()
                .filter_map(|(name, weight)| Some((*by_name.get(name)?, *weight)))
                .collect();
            index.by_route.insert(route_spec.name.clone(), route_place);
            table.routes.push(RouteEntry { spec: route_spec, function, shares });
        }
        table.index = Arc::new(index);
        table.warm = table.find_warm();
        Ok(table)
    }

    /// A table from a view, as [`Table::build`] makes it; what concerns neither the names of functions nor where
    /// routes lead from is taken over from an earlier one.
    pub fn build_after(earlier: &Table, view: &View) -> Result<Self, DocumentFault> {
        match earlier.with_shape_of(view) {
            Some(table) => Ok(table),
            None => Self::build(view),
        }
    }

    /// The table of a view that has the same functions, and the same routes by name and match; none if it has
    /// others, or any fault.
    fn with_shape_of(&self, view: &View) -> Option<Self> {
        let function_specs = view.spec.checked_function_records();
        let mut functions = Vec::with_capacity(self.functions.len());
        for (place, (name, spec)) in function_specs.enumerate() {
            let key = &self.functions.get(place)?.key;
            let is_same = *key.name.as_str() == **name
                && view.generations.get(&**name) == Some(&key.generation);
            let spec = spec.filter(|_| is_same)?.clone();
            functions.push(FunctionEntry { key: key.clone(), spec });
        }
        let mut routes = Vec::with_capacity(self.routes.len());
        for (place, (_, spec)) in view.spec.checked_route_records().enumerate() {
            routes.push(self.route_in_place(place, spec?, view)?);
        }
        if functions.len() != self.functions.len() || routes.len() != self.routes.len() {
            return None;
        }
        let mut table = Self {
            serial: view.serial,
            functions,
            routes,
            index: self.index.clone(),
            limits: read_spec(view.spec.rest()).ok()?.limits,
            evacuated: view.evacuated.clone(),
            warm: BTreeSet::new(),
        };
        table.warm = table.find_warm();
        Some(table)
    }

    /// A route that stands where one with its name and match stood.
    fn route_in_place(
        &self,
        place: usize,
        spec: &Arc<RouteSpec>,
        view: &View,
    ) -> Option<RouteEntry> {
        let earlier = self.routes.get(place)?;
        if Arc::ptr_eq(&earlier.spec, spec) {
            return Some(earlier.clone());
        }
        if earlier.spec.name != spec.name || earlier.spec.matching != spec.matching {
            return None;
        }
        let index_of = |name: &FunctionName| {
            let generation = *view.generations.get(name)?;
            self.index_of(&FunctionKey::new(name.clone(), generation))
        };
        let shares = spec.shares.iter().map(|(name, weight)| Some((index_of(name)?, *weight)));
        Some(RouteEntry {
            function: index_of(&spec.function)?,
            shares: shares.collect::<Option<_>>()?,
            spec: spec.clone(),
        })
    }

    fn find_warm(&self) -> BTreeSet<FunctionIndex> {
        let mut warm_functions = BTreeSet::new();
        for route in &self.routes {
            let shared = route.shares.iter().filter(|(_, weight)| *weight > 0);
            let single = route.shares.is_empty().then_some(route.function);
            let led_to = shared.map(|(function, _)| *function).chain(single);
            let target = route.spec.target;
            warm_functions
                .extend(led_to.filter(|function| self.function(*function).spec.boot > target));
        }
        warm_functions
    }

    /// Whether a function boots longer than an answer by one of its routes is worth its full value.
    pub fn is_warm(&self, index: FunctionIndex) -> bool {
        self.warm.contains(&index)
    }

    /// The functions that boot longer than an answer is worth its full value.
    pub fn warm_functions(&self) -> impl Iterator<Item = &FunctionKey> {
        self.warm.iter().map(|index| &self.function(*index).key)
    }

    /// The serial this was made from.
    pub fn serial(&self) -> Serial {
        self.serial
    }

    /// The route that a call leads to, and its function: by host and longest prefix, else by method and
    /// path.
    pub fn route(
        &self,
        method: &Method,
        host: &str,
        path: &str,
        transaction: &TransactionId,
    ) -> Option<Found<'_>> {
        let place = self.prefixed(host, path).or_else(|| {
            let found_match = self.index.matchers.get(method)?.at(path).ok()?;
            Some(*found_match.value)
        })?;
        let route = self.routes.get(place)?;
        Some(Found { route, function: self.function(route.choose(transaction)) })
    }

    fn prefixed(&self, host: &str, path: &str) -> Option<usize> {
        let plain_host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let lower_host;
        let asked_host = if plain_host.bytes().any(|byte| byte.is_ascii_uppercase()) {
            lower_host = plain_host.to_ascii_lowercase();
            &lower_host
        } else {
            plain_host
        };
        let host_prefixes = self.index.prefixes.get(asked_host)?;
        let mut rest = path;
        while let Some(slash) = rest.rfind('/') {
            if let Some(place) = host_prefixes.get(&rest[..=slash]) {
                return Some(*place);
            }
            rest = &rest[..slash];
        }
        None
    }

    /// Whether a route, by its name, may lead to a function.
    pub fn allows(&self, route_name: &str, key: &FunctionKey) -> bool {
        let function = self.index_of(key);
        let route = self.route_named(route_name);
        route.zip(function).is_some_and(|(route, function)| route.leads_to(function))
    }

    /// The callers' limits.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// The routes.
    pub fn routes(&self) -> &[RouteEntry] {
        &self.routes
    }

    /// The route of a name.
    pub fn route_named(&self, route_name: &str) -> Option<&RouteEntry> {
        self.routes.get(*self.index.by_route.get(route_name)?)
    }

    /// The function of a dense number.
    pub fn function(&self, index: FunctionIndex) -> &FunctionEntry {
        &self.functions[index.0]
    }

    /// The function of a key, for whichever callers the key is.
    pub fn function_of(&self, key: &FunctionKey) -> Option<&FunctionEntry> {
        self.index_of(key).map(|index| &self.functions[index.0])
    }

    /// The dense number of a key's function.
    pub fn index_of(&self, key: &FunctionKey) -> Option<FunctionIndex> {
        let found = if key.is_regional() {
            self.index.by_key.get(&key.whole())
        } else {
            self.index.by_key.get(key)
        };
        found.copied()
    }

    /// All functions in dense order.
    pub fn functions(&self) -> &[FunctionEntry] {
        &self.functions
    }

    /// The number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Whether callers may send the identity of a once-transaction of this function again, so that its
    /// ledger is kept elsewhere and waited for; not so when no once-route of it asks for that.
    pub fn is_noted(&self, index: FunctionIndex) -> bool {
        let mut once_routes =
            self.routes.iter().filter(|route| route.spec.once && route.leads_to(index)).peekable();
        once_routes.peek().is_none() || once_routes.any(|route| route.spec.noted)
    }

    /// The longest budget any route allows.
    pub fn longest_budget(&self) -> Duration {
        self.routes.iter().map(|route| route.spec.budget).max().unwrap_or_default()
    }

    /// Whether any zone is evacuated.
    pub fn has_evacuated(&self) -> bool {
        !self.evacuated.is_empty()
    }

    /// Whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &Zone) -> bool {
        self.evacuated.contains(zone)
    }
}
