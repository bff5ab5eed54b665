//! The function grants that stand, by function and by holder: what concerns one holder costs what that one
//! holds, not what the fleet holds.

use common::clock::MonotonicTime;
use common::frames::{Host, KnownMember};
use common::identity::{FencingToken, FunctionKey};
use std::collections::{BTreeMap, BTreeSet};

/// A function's grant to one daemon.
pub(super) struct LeaseRecord {
    pub holder: KnownMember,
    pub fencing_token: FencingToken,
    pub fencing_since: Option<MonotonicTime>,
    /// When the lease of a holder that was lost has surely ended.
    pub lost_lease_end: Option<MonotonicTime>,
    pub handing_over: bool,
    pub replica: Option<Host>,
    pub complete: bool,
}

/// All grants; an entry's holder never changes, another holder is another entry.
#[derive(Default)]
pub(super) struct FunctionLeases {
    by_function: BTreeMap<FunctionKey, LeaseRecord>,
    by_holder: BTreeMap<KnownMember, BTreeSet<FunctionKey>>,
}

impl FunctionLeases {
    pub fn get(&self, function: &FunctionKey) -> Option<&LeaseRecord> {
        self.by_function.get(function)
    }

    pub fn get_mut(&mut self, function: &FunctionKey) -> Option<&mut LeaseRecord> {
        self.by_function.get_mut(function)
    }

    pub fn contains(&self, function: &FunctionKey) -> bool {
        self.by_function.contains_key(function)
    }

    pub fn len(&self) -> usize {
        self.by_function.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = (&FunctionKey, &LeaseRecord)> {
        self.by_function.iter()
    }

    /// Puts an entry in the place of what stood for its function.
    pub fn insert(&mut self, function: FunctionKey, entry: LeaseRecord) {
        self.remove(&function);
        self.by_holder
            .entry(entry.holder.clone())
            .or_default()
            .insert(function.clone());
        self.by_function.insert(function, entry);
    }

    pub fn remove(&mut self, function: &FunctionKey) -> Option<LeaseRecord> {
        let removed_lease = self.by_function.remove(function)?;
        if let Some(functions) = self.by_holder.get_mut(&removed_lease.holder) {
            functions.remove(function);
            if functions.is_empty() {
                self.by_holder.remove(&removed_lease.holder);
            }
        }
        Some(removed_lease)
    }

    /// The entries of one holder.
    pub fn all_of(
        &self,
        holder: &KnownMember,
    ) -> impl Iterator<Item = (&FunctionKey, &LeaseRecord)> {
        let functions = self.by_holder.get(holder).into_iter().flatten();
        functions.filter_map(|function| Some((function, self.by_function.get(function)?)))
    }

    /// The functions of one holder.
    pub fn functions_of(&self, holder: &KnownMember) -> Vec<FunctionKey> {
        self.by_holder
            .get(holder)
            .into_iter()
            .flatten()
            .cloned()
            .collect()
    }

    /// A holder was lost; its lease has surely ended at that moment.
    pub fn set_lost_lease_end(&mut self, holder: &KnownMember, lease_end: MonotonicTime) {
        for function in self.functions_of(holder) {
            if let Some(entry) = self.by_function.get_mut(&function) {
                entry.lost_lease_end = Some(lease_end);
            }
        }
    }

    /// Whether a daemon holds anything.
    pub fn holds_any(&self, holder: &KnownMember) -> bool {
        self.by_holder.contains_key(holder)
    }
}
