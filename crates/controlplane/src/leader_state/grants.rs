//! The function grants that stand, by function and by holder: what concerns one holder costs what that one
//! holds, not what the fleet holds.

use common::clock::Moment;
use common::frames::{Host, KnownMember};
use common::identity::{FunctionKey, GrantSerial};
use std::collections::{BTreeMap, BTreeSet};

/// A function's grant to one daemon.
pub(super) struct GrantEntry {
    pub holder: KnownMember,
    pub grant: GrantSerial,
    pub fencing_since: Option<Moment>,
    /// When the lease of a holder that was lost has surely ended.
    pub lost_lease_end: Option<Moment>,
    pub handing_over: bool,
    pub steward: Option<Host>,
    pub whole: bool,
}

/// All grants; an entry's holder never changes, another holder is another entry.
#[derive(Default)]
pub(super) struct FunctionGrants {
    by_function: BTreeMap<FunctionKey, GrantEntry>,
    by_holder: BTreeMap<KnownMember, BTreeSet<FunctionKey>>,
}

impl FunctionGrants {
    pub fn get(&self, function: &FunctionKey) -> Option<&GrantEntry> {
        self.by_function.get(function)
    }

    pub fn get_mut(&mut self, function: &FunctionKey) -> Option<&mut GrantEntry> {
        self.by_function.get_mut(function)
    }

    pub fn contains(&self, function: &FunctionKey) -> bool {
        self.by_function.contains_key(function)
    }

    pub fn len(&self) -> usize {
        self.by_function.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = (&FunctionKey, &GrantEntry)> {
        self.by_function.iter()
    }

    /// Puts an entry in the place of what stood for its function.
    pub fn insert(&mut self, function: FunctionKey, entry: GrantEntry) {
        self.remove(&function);
        self.by_holder.entry(entry.holder.clone()).or_default().insert(function.clone());
        self.by_function.insert(function, entry);
    }

    pub fn remove(&mut self, function: &FunctionKey) -> Option<GrantEntry> {
        let removed_entry = self.by_function.remove(function)?;
        if let Some(functions) = self.by_holder.get_mut(&removed_entry.holder) {
            functions.remove(function);
            if functions.is_empty() {
                self.by_holder.remove(&removed_entry.holder);
            }
        }
        Some(removed_entry)
    }

    /// The entries of one holder.
    pub fn of(&self, holder: &KnownMember) -> impl Iterator<Item = (&FunctionKey, &GrantEntry)> {
        let functions = self.by_holder.get(holder).into_iter().flatten();
        functions.filter_map(|function| Some((function, self.by_function.get(function)?)))
    }

    /// The functions of one holder.
    pub fn functions_of(&self, holder: &KnownMember) -> Vec<FunctionKey> {
        self.by_holder.get(holder).into_iter().flatten().cloned().collect()
    }

    /// A holder was lost; its lease has surely ended at that moment.
    pub fn note_lost(&mut self, holder: &KnownMember, lease_end: Moment) {
        for function in self.functions_of(holder) {
            if let Some(entry) = self.by_function.get_mut(&function) {
                entry.lost_lease_end = Some(lease_end);
            }
        }
    }

    /// Whether a daemon holds anything.
    pub fn has_any(&self, holder: &KnownMember) -> bool {
        self.by_holder.contains_key(holder)
    }
}
