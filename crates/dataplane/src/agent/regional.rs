//! Regional keys: keys under which this region's callers of a function have their own holder.
//!
//! Once the callers of a region keep a runner busy on their own, the holder for all regions sends a hint to that
//! region's daemons with its responses ([`crate::holder`]). From the time given in the hint, those daemons use the
//! regional key, which has its own hash owner, lease and runners, all in the region. None of this is replicated: a
//! daemon that has no hint forwards to the holder for all regions, which serves every caller.

use super::Agent;
use arc_swap::ArcSwap;
use common::clock::MonotonicTime;
use common::identity::{FunctionKey, Region};
use common::ring::Regions;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a regional key is used without another hint from its holder.
const KEY_USE_TIMEOUT: Duration = Duration::from_secs(10);

/// The unit of a hint, in milliseconds.
const HINT_UNIT_MS: u64 = 100;

/// Another hint extends the use of a regional key only after this much of it has passed, so that not every response
/// changes the map.
const KEY_USE_RENEWAL: Duration = Duration::from_secs(5);

/// The period during which a regional key is used.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct RegionalKeyUse {
    from: MonotonicTime,
    until: MonotonicTime,
}

/// The known periods, by the function's key for all regions.
type RegionalKeyUses = BTreeMap<FunctionKey, RegionalKeyUse>;

/// The mapping of zones to regions, and the regional keys in use.
pub(super) struct RegionalKeys {
    /// The mapping of zones to regions.
    pub regions: Regions,
    uses: ArcSwap<RegionalKeyUses>,
}

impl RegionalKeys {
    /// Creates the state without regions and regional keys.
    pub(crate) fn new() -> Self {
        Self {
            regions: Regions::default(),
            uses: ArcSwap::from_pointee(RegionalKeyUses::new()),
        }
    }

    /// Ends the use of a regional key.
    fn remove(&self, all_regions_key: &FunctionKey) {
        self.uses.rcu(|uses| {
            let mut changed_uses = RegionalKeyUses::clone(uses);
            changed_uses.remove(all_regions_key);
            changed_uses
        });
    }

    /// Sets the period during which a regional key is used, and drops the periods that have ended.
    fn set(&self, now: MonotonicTime, all_regions_key: &FunctionKey, regional_use: RegionalKeyUse) {
        self.uses.rcu(|uses| {
            let mut changed_uses = RegionalKeyUses::clone(uses);
            changed_uses.retain(|_, known_use| now < known_use.until);
            changed_uses.insert(all_regions_key.clone(), regional_use);
            changed_uses
        });
    }
}

impl<W> Agent<W> {
    /// Returns the region of this daemon; `None` if the settings assign none.
    pub fn own_region(&self) -> Option<&Region> {
        self.regional_keys.regions.region_of(&self.own_host.zone)
    }

    /// Returns the regional key under which this region's callers of a function are served, if one is in use.
    pub fn regional_key(
        &self,
        now: MonotonicTime,
        all_regions_key: &FunctionKey,
    ) -> Option<FunctionKey> {
        let uses = self.regional_keys.uses.load();
        let regional_use = uses.get(all_regions_key)?;
        let is_in_use = regional_use.from <= now && now < regional_use.until;
        self.own_region()
            .filter(|_| is_in_use)
            .map(|region| all_regions_key.in_region(region))
    }

    /// Returns this region's keys that are in use or will be.
    pub fn regional_keys_wanted(&self, now: MonotonicTime) -> Vec<FunctionKey> {
        let Some(region) = self.own_region() else {
            return Vec::new();
        };
        let uses = self.regional_keys.uses.load();
        let wanted = uses
            .iter()
            .filter(|(_, regional_use)| now < regional_use.until);
        wanted
            .map(|(all_regions_key, _)| all_regions_key.in_region(region))
            .collect()
    }

    /// Handles the hint in a response: after how many tenths of a second this region's callers are to use the regional
    /// key, or zero if they are not to use one. Returns true if a regional key has newly become known.
    pub fn handle_regional_hint(
        &self,
        now: MonotonicTime,
        served_key: &FunctionKey,
        regional_delay_deciseconds: u8,
    ) -> bool {
        let all_regions_key = served_key.all_regions();
        let current_use = self
            .regional_keys
            .uses
            .load()
            .get(&all_regions_key)
            .copied();
        match (current_use, regional_delay_deciseconds) {
            (Some(_), 0) if served_key.is_regional() => self.regional_keys.remove(&all_regions_key),
            (Some(known_use), 1..) if served_key.is_regional() => {
                let is_due =
                    known_use.until.since(now) < KEY_USE_TIMEOUT.saturating_sub(KEY_USE_RENEWAL);
                if is_due {
                    self.regional_keys.set(
                        now,
                        &all_regions_key,
                        RegionalKeyUse {
                            until: now + KEY_USE_TIMEOUT,
                            ..known_use
                        },
                    );
                }
            }
            (known_use, 1..) if known_use.is_none_or(|known_use| known_use.until <= now) => {
                let from = now
                    + Duration::from_millis(HINT_UNIT_MS * u64::from(regional_delay_deciseconds));
                self.regional_keys.set(
                    now,
                    &all_regions_key,
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

    /// Suspends the use of a regional key that cannot be served at the moment: for the duration of `backoff`, its
    /// callers use the holder for all regions.
    pub fn suspend_regional_key(
        &self,
        now: MonotonicTime,
        function: &FunctionKey,
        backoff: Duration,
    ) {
        let from = now + backoff;
        self.regional_keys.set(
            now,
            &function.all_regions(),
            RegionalKeyUse {
                from,
                until: from + KEY_USE_TIMEOUT,
            },
        );
    }

    /// Returns the hint to send with a response of a function held here to a daemon in `region`: after how many tenths
    /// of a second that region's callers are to use the regional key, or zero if they are not to use one.
    pub fn regional_hint(&self, now: MonotonicTime, function: &FunctionKey, region: &Region) -> u8 {
        let is_other_region = self
            .own_region()
            .is_some_and(|own_region| own_region != region);
        if region.as_str().is_empty() || !(function.is_regional() || is_other_region) {
            return 0;
        }
        let Some(held) = self.held_function(function) else {
            return 0;
        };
        let after = held.with(|holder| holder.regional_use_delay(now, region));
        after.map_or(0, |after| {
            let tenths = after.as_millis().div_ceil(u128::from(HINT_UNIT_MS));
            tenths.clamp(1, u128::from(u8::MAX)) as u8
        })
    }
}
