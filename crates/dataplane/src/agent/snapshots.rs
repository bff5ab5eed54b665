//! The state that all tasks of a daemon read: the routing table, the live daemons, the held functions and the end of
//! the session lease.
//!
//! Each part is a snapshot that is replaced as a whole, so that reads take no lock. Methods that return a [`Guard`] are
//! the cheapest, for short reads; methods that return an [`Arc`] are for snapshots that are kept longer.

use super::{Agent, HeldFunction};
use arc_swap::Guard;
use common::clock::MonotonicTime;
use common::frames::Host;
use common::frames::RequestPayload;
use common::identity::FunctionKey;
use common::rules::Rule;
use common::spec::{RouteEntry, RoutingTable};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Held functions by their keys.
pub type HeldFunctions<W> = BTreeMap<FunctionKey, Arc<HeldFunction<W>>>;

impl<W> Agent<W> {
    /// Returns the routing table of the installed spec.
    pub fn routing_table(&self) -> Guard<Arc<RoutingTable>> {
        self.routing_table.load()
    }

    /// Returns the routing table of the installed spec, to be kept while a request is handled.
    pub fn routing_table_snapshot(&self) -> Arc<RoutingTable> {
        self.routing_table.load_full()
    }

    /// Returns the route of a request in a spec, which may be newer than the one with which the request was matched.
    /// `earlier_name` is the name of the route that matched it then.
    pub fn route_of_request<'a>(
        &self,
        table: &'a RoutingTable,
        payload: &RequestPayload,
        earlier_name: &str,
    ) -> Option<&'a RouteEntry> {
        if self.rules.enforces(Rule::RouteFoundByRequest) {
            table.route_of(payload)
        } else {
            table.route_named(earlier_name)
        }
    }

    /// Replaces the routing table.
    pub fn set_routing_table(&self, table: Arc<RoutingTable>) {
        self.routing_table.store(table);
    }

    /// Returns the daemons that are considered alive.
    pub fn live_hosts(&self) -> Guard<Arc<Vec<Host>>> {
        self.live_hosts.load()
    }

    /// Replaces the daemons that are considered alive.
    pub fn set_live_hosts(&self, live_hosts: Vec<Host>) {
        self.live_hosts.store(Arc::new(live_hosts));
    }

    /// Returns when the session lease ends; zero without one.
    pub fn session_lease_end(&self) -> MonotonicTime {
        self.session_lease_end.get()
    }

    /// Sets when the session lease ends.
    pub fn set_session_lease_end(&self, lease_end: MonotonicTime) {
        self.session_lease_end.set(lease_end);
    }

    /// Returns all held functions.
    pub fn held_functions(&self) -> Arc<HeldFunctions<W>> {
        self.held_functions.load_full()
    }

    /// Returns the number of held functions.
    pub fn held_function_count(&self) -> usize {
        self.held_functions.load().len()
    }

    /// Returns a function if it is held, under any lease.
    pub fn held_function(&self, function: &FunctionKey) -> Option<Arc<HeldFunction<W>>> {
        self.held_functions.load().get(function).cloned()
    }

    /// Replaces the held functions, and returns the previous ones.
    pub fn replace_held_functions(
        &self,
        held_functions: HeldFunctions<W>,
    ) -> Arc<HeldFunctions<W>> {
        self.held_functions.swap(Arc::new(held_functions))
    }

    /// Adds a held function, replacing any with the same key.
    pub(super) fn insert_held_function(&self, held: &Arc<HeldFunction<W>>) {
        self.held_functions.rcu(|held_functions| {
            let mut changed_functions = BTreeMap::clone(held_functions);
            changed_functions.insert(held.function.clone(), held.clone());
            changed_functions
        });
    }

    /// Removes a held function.
    pub(super) fn remove_held_function(&self, function: &FunctionKey) {
        self.held_functions.rcu(|held_functions| {
            let mut changed_functions = BTreeMap::clone(held_functions);
            changed_functions.remove(function);
            changed_functions
        });
    }
}
