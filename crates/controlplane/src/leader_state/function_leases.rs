//! The current function leases, indexed by function and by holder, so that an operation on one holder costs in
//! proportion to its own leases and not to all leases.

use common::clock::MonotonicTime;
use common::frames::{Host, KnownMember};
use common::identity::{FencingToken, FunctionKey, MemberName};
use std::collections::{BTreeMap, BTreeSet};

/// The lease of a function, held by one member.
pub(super) struct LeaseRecord {
    pub holder: KnownMember,
    pub fencing_token: FencingToken,
    /// Since when the lease has been fenced: the holder has lost the function, but its runners may still run.
    pub fencing_since: Option<MonotonicTime>,
    /// When the session lease of a lost holder has certainly ended.
    pub lost_lease_end: Option<MonotonicTime>,
    /// Whether the holder was ordered to hand the function over.
    pub handing_over: bool,
    /// The member that keeps the replica of the holder's ledger.
    pub replica: Option<Host>,
    /// Whether the replica has the complete ledger.
    pub complete: bool,
}

impl LeaseRecord {
    fn authority(&self) -> OrderAuthority {
        OrderAuthority {
            member: self.holder.member.clone(),
            fencing_token: self.fencing_token,
        }
    }

    /// Creates the record of a lease that was just issued or claimed.
    pub(super) fn new(
        holder: KnownMember,
        fencing_token: FencingToken,
        replica: Option<Host>,
        complete: bool,
    ) -> Self {
        Self {
            holder,
            fencing_token,
            fencing_since: None,
            lost_lease_end: None,
            handing_over: false,
            replica,
            complete,
        }
    }
}

/// The member in whose name, and the fencing token with which, an order about a function is given.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(super) struct OrderAuthority {
    pub member: MemberName,
    pub fencing_token: FencingToken,
}

/// Maximum number of functions without a lease whose last holder is remembered.
const MAX_LAST_HOLDERS: usize = 16_384;

/// All function leases. The holder of a record never changes: another holder gets another lease.
#[derive(Default)]
pub(super) struct FunctionLeases {
    by_function: BTreeMap<FunctionKey, LeaseRecord>,
    by_holder: BTreeMap<KnownMember, BTreeSet<FunctionKey>>,
    /// The last holders of functions that are not leased now.
    last_holders: BTreeMap<FunctionKey, OrderAuthority>,
}

impl FunctionLeases {
    /// Returns the lease of a function.
    pub(super) fn get(&self, function: &FunctionKey) -> Option<&LeaseRecord> {
        self.by_function.get(function)
    }

    /// Returns a mutable reference to the lease of a function. Its holder must not be changed.
    pub(super) fn get_mut(&mut self, function: &FunctionKey) -> Option<&mut LeaseRecord> {
        self.by_function.get_mut(function)
    }

    /// Whether a function is leased. A lease that is being fenced counts.
    pub(super) fn contains(&self, function: &FunctionKey) -> bool {
        self.by_function.contains_key(function)
    }

    /// Returns the number of leased functions.
    pub(super) fn len(&self) -> usize {
        self.by_function.len()
    }

    /// Iterates over all leases, ordered by function.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&FunctionKey, &LeaseRecord)> {
        self.by_function.iter()
    }

    /// Records a lease, which replaces an earlier lease of the function.
    pub(super) fn insert(&mut self, function: FunctionKey, entry: LeaseRecord) {
        self.remove(&function);
        self.last_holders.remove(&function);
        self.by_holder
            .entry(entry.holder.clone())
            .or_default()
            .insert(function.clone());
        self.by_function.insert(function, entry);
    }

    /// Removes the lease of a function and remembers its holder.
    pub(super) fn remove(&mut self, function: &FunctionKey) -> Option<LeaseRecord> {
        let removed_lease = self.by_function.remove(function)?;
        if let Some(functions) = self.by_holder.get_mut(&removed_lease.holder) {
            functions.remove(function);
            if functions.is_empty() {
                self.by_holder.remove(&removed_lease.holder);
            }
        }
        if self.last_holders.len() >= MAX_LAST_HOLDERS {
            self.last_holders.pop_first();
        }
        let last_holder = removed_lease.authority();
        self.last_holders.insert(function.clone(), last_holder);
        Some(removed_lease)
    }

    /// Returns the authority for orders about a function: its holder, or else its last holder. Returns `None` if this
    /// leader knows neither.
    pub(super) fn order_authority(&self, function: &FunctionKey) -> Option<OrderAuthority> {
        let holder = self.get(function).map(LeaseRecord::authority);
        holder.or_else(|| self.last_holders.get(function).cloned())
    }

    /// Iterates over the leases of one holder.
    pub(super) fn all_of(
        &self,
        holder: &KnownMember,
    ) -> impl Iterator<Item = (&FunctionKey, &LeaseRecord)> {
        let functions = self.by_holder.get(holder).into_iter().flatten();
        functions.filter_map(|function| Some((function, self.by_function.get(function)?)))
    }

    /// Returns the functions of one holder.
    pub(super) fn functions_of(&self, holder: &KnownMember) -> Vec<FunctionKey> {
        self.by_holder
            .get(holder)
            .into_iter()
            .flatten()
            .cloned()
            .collect()
    }

    /// Records when the session lease of a lost holder has certainly ended.
    pub(super) fn set_lost_lease_end(&mut self, holder: &KnownMember, lease_end: MonotonicTime) {
        for function in self.functions_of(holder) {
            if let Some(entry) = self.by_function.get_mut(&function) {
                entry.lost_lease_end = Some(lease_end);
            }
        }
    }

    /// Whether a member holds any function.
    pub(super) fn holds_any(&self, holder: &KnownMember) -> bool {
        self.by_holder.contains_key(holder)
    }
}
