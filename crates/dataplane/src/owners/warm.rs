//! Which functions are asked for before they are called.

use super::is_current_owner;
use common::clock::MonotonicTime;
use common::frames::Host;
use common::identity::{FunctionKey, MemberName};
use common::ring::{self, Regions};
use common::spec::RoutingTable;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

const SCAN_INTERVAL: Duration = Duration::from_secs(2);
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);
const REQUEST_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What is looked at for functions that want an owner before they are called.
pub struct WarmContext<'a> {
    /// The spec in use.
    pub table: &'a RoutingTable,
    /// This daemon.
    pub own_member: &'a MemberName,
    /// The daemons alive.
    pub hosts: &'a [Host],
    /// Which regions their zones lie in.
    pub regions: &'a Regions,
    /// The keys that the callers of this daemon's region have to themselves.
    pub regional: &'a [FunctionKey],
    /// The owners learned so far.
    pub owners: &'a BTreeMap<FunctionKey, Host>,
    /// Whether this daemon holds a function.
    pub holds: &'a dyn Fn(&FunctionKey) -> bool,
}

impl WarmContext<'_> {
    /// Whether this daemon, as the hash owner, has to ask for a function: it is the only one that does.
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

/// Seeks owners for functions that boot longer than their callers gladly wait, one after the other. No
/// I/O.
pub struct WarmAcquirer {
    scan_at: MonotonicTime,
    request_at: MonotonicTime,
    wanted: VecDeque<FunctionKey>,
    requested: BTreeMap<FunctionKey, MonotonicTime>,
}

impl WarmAcquirer {
    /// Looks at once.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            scan_at: now,
            request_at: now,
            wanted: VecDeque::new(),
            requested: BTreeMap::new(),
        }
    }

    /// Spec, daemons alive or holdings have changed.
    pub fn changed(&mut self, now: MonotonicTime) {
        self.scan_at = self.scan_at.min(now);
    }

    /// When to look again.
    pub fn next_due(&self) -> MonotonicTime {
        if self.wanted.is_empty() {
            self.scan_at
        } else {
            self.scan_at.min(self.request_at)
        }
    }

    /// The function that the leader is to be asked for now, if there is one.
    pub fn next(&mut self, now: MonotonicTime, context: &WarmContext<'_>) -> Option<FunctionKey> {
        if now >= self.scan_at {
            self.scan_at = now + SCAN_INTERVAL;
            self.requested
                .retain(|_, requested_at| now.since(*requested_at) < REQUEST_RETRY_AFTER);
            let candidates = context
                .regional
                .iter()
                .chain(context.table.prewarmed_functions());
            self.wanted = candidates
                .filter(|function| context.should_acquire(function))
                .cloned()
                .collect();
        }
        if now < self.request_at {
            return None;
        }
        while let Some(function) = self.wanted.pop_front() {
            if !self.requested.contains_key(&function) && context.should_acquire(&function) {
                self.request_at = now + REQUEST_INTERVAL;
                self.requested.insert(function.clone(), now);
                return Some(function);
            }
        }
        None
    }
}
