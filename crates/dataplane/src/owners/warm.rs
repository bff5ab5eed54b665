//! Which functions are asked for before they are called.

use super::is_valid;
use common::clock::Moment;
use common::frames::Host;
use common::identity::{FunctionKey, MemberName};
use common::ring::{self, Regions};
use common::spec::Table;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

const LOOK_EVERY: Duration = Duration::from_secs(2);
const ASK_EVERY: Duration = Duration::from_millis(5);
const ASK_AGAIN_AFTER: Duration = Duration::from_secs(1);

/// What is looked at for functions that want an owner before they are called.
pub struct WarmSight<'a> {
    /// The spec in use.
    pub table: &'a Table,
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

impl WarmSight<'_> {
    /// Whether this daemon, as the hash owner, has to ask for a function: it is the only one that does.
    fn wants(&self, function: &FunctionKey) -> bool {
        let hash_owner = ring::hash_owner_in(function, self.hosts.iter(), self.regions);
        let has_owner = self
            .owners
            .get(function)
            .is_some_and(|owner| owner.member != *self.own_member && is_valid(owner, self.hosts));
        hash_owner.is_some_and(|host| host.member == *self.own_member)
            && !has_owner
            && !(self.holds)(function)
    }
}

/// Seeks owners for functions that boot longer than their callers gladly wait, one after the other. No
/// I/O.
pub struct WarmSeeker {
    look_at: Moment,
    ask_at: Moment,
    wishes: VecDeque<FunctionKey>,
    asked: BTreeMap<FunctionKey, Moment>,
}

impl WarmSeeker {
    /// Looks at once.
    pub fn new(now: Moment) -> Self {
        Self { look_at: now, ask_at: now, wishes: VecDeque::new(), asked: BTreeMap::new() }
    }

    /// Spec, daemons alive or holdings have changed.
    pub fn changed(&mut self, now: Moment) {
        self.look_at = self.look_at.min(now);
    }

    /// When to look again.
    pub fn next_due(&self) -> Moment {
        if self.wishes.is_empty() { self.look_at } else { self.look_at.min(self.ask_at) }
    }

    /// The function that the leader is to be asked for now, if there is one.
    pub fn next(&mut self, now: Moment, sight: &WarmSight<'_>) -> Option<FunctionKey> {
        if now >= self.look_at {
            self.look_at = now + LOOK_EVERY;
            self.asked.retain(|_, asked_at| now.since(*asked_at) < ASK_AGAIN_AFTER);
            let wished = sight.regional.iter().chain(sight.table.warm_functions());
            self.wishes = wished.filter(|wish| sight.wants(wish)).cloned().collect();
        }
        if now < self.ask_at {
            return None;
        }
        while let Some(wish) = self.wishes.pop_front() {
            if !self.asked.contains_key(&wish) && sight.wants(&wish) {
                self.ask_at = now + ASK_EVERY;
                self.asked.insert(wish.clone(), now);
                return Some(wish);
            }
        }
        None
    }
}
