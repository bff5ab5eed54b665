//! Acquires functions before they are called, so that no caller has to wait for their start-up.

use super::is_current_owner;
use common::clock::MonotonicTime;
use common::frames::Host;
use common::identity::{FunctionKey, MemberName};
use common::ring::{self, Regions};
use common::spec::RoutingTable;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Interval between two scans for functions without a holder.
const SCAN_INTERVAL: Duration = Duration::from_secs(2);
/// Minimum interval between two requests to the leader.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which a function is requested again.
const REQUEST_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The state of a daemon from which the functions to acquire are selected.
pub struct WarmContext<'a> {
    /// The spec in use.
    pub table: &'a RoutingTable,
    /// This daemon.
    pub own_member: &'a MemberName,
    /// The live daemons.
    pub hosts: &'a [Host],
    /// The regions of the daemons' zones.
    pub regions: &'a Regions,
    /// The regional function keys of this daemon's region.
    pub regional_keys: &'a [FunctionKey],
    /// The cached owners.
    pub owners: &'a BTreeMap<FunctionKey, Host>,
    /// Whether this daemon holds a function.
    pub holds: &'a dyn Fn(&FunctionKey) -> bool,
}

impl WarmContext<'_> {
    /// Whether no holder of the function is known and this daemon is its hash owner. Only the hash owner requests the
    /// lease.
    fn should_acquire(&self, function: &FunctionKey) -> bool {
        let hash_owner = ring::hash_owner_in(function, self.hosts.iter(), self.regions);
        let has_owner = self.owners.get(function).is_some_and(|owner| {
            owner.member != *self.own_member && is_current_owner(owner, self.hosts)
        });
        hash_owner.is_some_and(|host| host.member == *self.own_member)
            && !has_owner
            && !(self.holds)(function)
    }
}

/// Selects the functions to acquire, one at a time: regional keys, and functions whose start-up takes longer than their
/// callers should wait. No I/O.
pub struct WarmAcquirer {
    scan_at: MonotonicTime,
    request_at: MonotonicTime,
    pending: VecDeque<FunctionKey>,
    requested: BTreeMap<FunctionKey, MonotonicTime>,
}

impl WarmAcquirer {
    /// Creates an acquirer whose first scan is due immediately.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            scan_at: now,
            request_at: now,
            pending: VecDeque::new(),
            requested: BTreeMap::new(),
        }
    }

    /// Makes a scan due immediately. Called when the spec, the live daemons or the held functions have changed.
    pub fn schedule_scan(&mut self, now: MonotonicTime) {
        self.scan_at = self.scan_at.min(now);
    }

    /// Returns when [`WarmAcquirer::next`] is due next.
    pub fn next_due(&self) -> MonotonicTime {
        if self.pending.is_empty() {
            self.scan_at
        } else {
            self.scan_at.min(self.request_at)
        }
    }

    /// Returns the function to request from the leader now, if any.
    pub fn next(&mut self, now: MonotonicTime, context: &WarmContext<'_>) -> Option<FunctionKey> {
        if now >= self.scan_at {
            self.scan(now, context);
        }
        if now < self.request_at {
            return None;
        }
        while let Some(function) = self.pending.pop_front() {
            if !self.requested.contains_key(&function) && context.should_acquire(&function) {
                self.request_at = now + REQUEST_INTERVAL;
                self.requested.insert(function.clone(), now);
                return Some(function);
            }
        }
        None
    }

    fn scan(&mut self, now: MonotonicTime, context: &WarmContext<'_>) {
        self.scan_at = now + SCAN_INTERVAL;
        self.requested
            .retain(|_, requested_at| now.since(*requested_at) < REQUEST_RETRY_AFTER);
        let candidates = context
            .regional_keys
            .iter()
            .chain(context.table.prewarmed_functions());
        self.pending = candidates
            .filter(|function| context.should_acquire(function))
            .cloned()
            .collect();
    }
}
