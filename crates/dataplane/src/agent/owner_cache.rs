//! The owners of functions, as learned from responses and from the leader.

use arc_swap::{ArcSwap, Guard};
use common::frames::Host;
use common::identity::FunctionKey;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A cache of functions' owners. Its entries are hints only: an owner that no longer holds the function declines
/// requests, and is then evicted. Reads take no lock; a change copies the map.
pub(super) struct OwnerCache(ArcSwap<BTreeMap<FunctionKey, Host>>);

impl OwnerCache {
    /// Creates an empty cache.
    pub(crate) fn new() -> Self {
        Self(ArcSwap::from_pointee(BTreeMap::new()))
    }

    /// Returns the current entries.
    pub(crate) fn load(&self) -> Guard<Arc<BTreeMap<FunctionKey, Host>>> {
        self.0.load()
    }

    /// Caches the owner of a function.
    pub(crate) fn insert(&self, function: &FunctionKey, owner: &Host) {
        let is_known = self.0.load().get(function) == Some(owner);
        if !is_known {
            self.0.rcu(|owners| {
                let mut changed_owners = BTreeMap::clone(owners);
                changed_owners.insert(function.clone(), owner.clone());
                changed_owners
            });
        }
    }

    /// Evicts the owner of a function.
    pub(crate) fn evict(&self, function: &FunctionKey) {
        if self.0.load().contains_key(function) {
            self.0.rcu(|owners| {
                let mut changed_owners = BTreeMap::clone(owners);
                changed_owners.remove(function);
                changed_owners
            });
        }
    }

    /// Evicts all owners.
    pub(crate) fn clear(&self) {
        self.0.store(Arc::new(BTreeMap::new()));
    }
}
