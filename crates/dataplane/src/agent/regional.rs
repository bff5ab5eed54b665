//! Functions whose callers in this daemon's region are served under a key of their own.
//!
//! The holder for all regions tells the daemons of a region with its answers once their callers keep a runner of
//! their own busy ([`crate::holder`]). From the moment that it names on, those daemons turn to the region's own
//! key: it has a hash owner, a grant and runners of its own, all in the region. Nothing of this is replicated: a
//! daemon that does not know of it goes to the holder for all regions, which serves every caller.

use super::Agent;
use common::clock::MonotonicTime;
use common::identity::{FunctionKey, Region};
use std::collections::BTreeMap;
use std::time::Duration;

/// A region's own key is used for so long without another word of its holder.
const KEY_USE_TIMEOUT: Duration = Duration::from_secs(10);

/// The unit of the holder's word, in milliseconds.
const HINT_UNIT_MS: u64 = 100;

/// Its holder's word renews the use once so much of that has passed.
const KEY_USE_RENEWAL: Duration = Duration::from_secs(5);

/// From when on, and until when, a region's own key is used.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct RegionalKeyUse {
    from: MonotonicTime,
    until: MonotonicTime,
}

/// The uses known to a daemon, by the functions' keys for all regions.
pub type RegionalKeyUses = BTreeMap<FunctionKey, RegionalKeyUse>;

impl<W> Agent<W> {
    /// The region of this daemon; none when the settings name none.
    pub fn own_region(&self) -> Option<&Region> {
        self.regions.region_of(&self.own_host.zone)
    }

    /// The key under which this region's callers of a function are served, if it is one of their own.
    pub fn regional_key(
        &self,
        now: MonotonicTime,
        all_regions: &FunctionKey,
    ) -> Option<FunctionKey> {
        let uses = self.regional_key_uses.load();
        let regional_use = uses.get(all_regions)?;
        let is_in_use = regional_use.from <= now && now < regional_use.until;
        self.own_region()
            .filter(|_| is_in_use)
            .map(|region| all_regions.in_region(region))
    }

    /// The keys of this region that are or will be in use.
    pub fn regional_keys_wanted(&self, now: MonotonicTime) -> Vec<FunctionKey> {
        let Some(region) = self.own_region() else {
            return Vec::new();
        };
        let uses = self.regional_key_uses.load();
        let wanted = uses
            .iter()
            .filter(|(_, regional_use)| now < regional_use.until);
        wanted
            .map(|(all_regions, _)| all_regions.in_region(region))
            .collect()
    }

    /// Hears with an answer in how many tenths of a second this region's callers are served under a key of their own,
    /// or with zero that they are not. Says whether such a key has become known.
    pub fn handle_regional_hint(
        &self,
        now: MonotonicTime,
        answered_key: &FunctionKey,
        regional_tenths: u8,
    ) -> bool {
        let all_regions = answered_key.all_regions();
        let current_use = self.regional_key_uses.load().get(&all_regions).copied();
        match (current_use, regional_tenths) {
            (Some(_), 0) if answered_key.is_regional() => self.drop_regional_key(answered_key),
            (Some(known_key_use), 1..) if answered_key.is_regional() => {
                let is_due = known_key_use.until.since(now)
                    < KEY_USE_TIMEOUT.saturating_sub(KEY_USE_RENEWAL);
                if is_due {
                    self.set_regional_key_use(
                        now,
                        all_regions,
                        RegionalKeyUse {
                            until: now + KEY_USE_TIMEOUT,
                            ..known_key_use
                        },
                    );
                }
            }
            (known_key_use, 1..)
                if known_key_use.is_none_or(|known_key_use| known_key_use.until <= now) =>
            {
                let from = now + Duration::from_millis(HINT_UNIT_MS * u64::from(regional_tenths));
                self.set_regional_key_use(
                    now,
                    all_regions,
                    RegionalKeyUse {
                        from,
                        until: from + KEY_USE_TIMEOUT,
                    },
                );
                return self.own_region().is_some();
            }
            _ => {}
        }
        false
    }

    /// A region's own key does not serve at the moment: its callers go to the holder for all regions for a while.
    pub fn suspend_regional_key(
        &self,
        now: MonotonicTime,
        function: &FunctionKey,
        backoff: Duration,
    ) {
        let from = now + backoff;
        self.set_regional_key_use(
            now,
            function.all_regions(),
            RegionalKeyUse {
                from,
                until: from + KEY_USE_TIMEOUT,
            },
        );
    }

    /// This region's callers have a key of their own no more.
    fn drop_regional_key(&self, function: &FunctionKey) {
        let all_regions = function.all_regions();
        self.regional_key_uses.rcu(|uses| {
            let mut changed_uses = RegionalKeyUses::clone(uses);
            changed_uses.remove(&all_regions);
            changed_uses
        });
    }

    fn set_regional_key_use(
        &self,
        now: MonotonicTime,
        all_regions: FunctionKey,
        regional_use: RegionalKeyUse,
    ) {
        self.regional_key_uses.rcu(|uses| {
            let mut changed_uses = RegionalKeyUses::clone(uses);
            changed_uses.retain(|_, known_key_use| now < known_key_use.until);
            changed_uses.insert(all_regions.clone(), regional_use);
            changed_uses
        });
    }

    /// What is told with an outcome of a function held here to a daemon of a region: in how many tenths of a second its
    /// callers are served under a key of their own.
    pub fn regional_hint(&self, now: MonotonicTime, function: &FunctionKey, region: &Region) -> u8 {
        let is_other_region = self
            .own_region()
            .is_some_and(|own_region| own_region != region);
        if region.as_str().is_empty() || !(function.is_regional() || is_other_region) {
            return 0;
        }
        let Some(held) = self.held_functions.load().get(function).cloned() else {
            return 0;
        };
        let after = held.with(|holder| holder.regional_use_delay(now, region));
        after.map_or(0, |after| {
            let tenths = after.as_millis().div_ceil(u128::from(HINT_UNIT_MS));
            tenths.clamp(1, u128::from(u8::MAX)) as u8
        })
    }
}
