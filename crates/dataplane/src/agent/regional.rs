//! Functions whose callers in this daemon's region are served under a key of their own.
//!
//! The holder for all regions tells the daemons of a region with its answers once their callers keep a runner of
//! their own busy ([`crate::holder`]). From the moment that it names on, those daemons turn to the region's own
//! key: it has a hash owner, a grant and runners of its own, all in the region. Nothing of this is replicated: a
//! daemon that does not know of it goes to the holder for all regions, which serves every caller.

use super::Agent;
use common::clock::Moment;
use common::identity::{FunctionKey, Region};
use std::collections::BTreeMap;
use std::time::Duration;

/// A region's own key is used for so long without another word of its holder.
const USED_FOR: Duration = Duration::from_secs(10);

/// The unit of the holder's word, in milliseconds.
const TENTH_MS: u64 = 100;

/// Its holder's word renews the use once so much of that has passed.
const RENEWED_AFTER: Duration = Duration::from_secs(5);

/// From when on, and until when, a region's own key is used.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct RegionalUse {
    from: Moment,
    until: Moment,
}

/// The uses known to a daemon, by the functions' keys for all regions.
pub type RegionalUses = BTreeMap<FunctionKey, RegionalUse>;

impl<W> Agent<W> {
    /// The region of this daemon; none when the settings name none.
    pub fn own_region(&self) -> Option<&Region> {
        self.regions.of(&self.own_host.zone)
    }

    /// The key under which this region's callers of a function are served, if it is one of their own.
    pub fn regional_key(&self, now: Moment, whole: &FunctionKey) -> Option<FunctionKey> {
        let uses = self.regional_uses.load();
        let regional_use = uses.get(whole)?;
        let is_in_use = regional_use.from <= now && now < regional_use.until;
        self.own_region().filter(|_| is_in_use).map(|region| whole.in_region(region))
    }

    /// The keys of this region that are or will be in use.
    pub fn regional_wishes(&self, now: Moment) -> Vec<FunctionKey> {
        let Some(region) = self.own_region() else { return Vec::new() };
        let uses = self.regional_uses.load();
        let wished = uses.iter().filter(|(_, regional_use)| now < regional_use.until);
        wished.map(|(whole, _)| whole.in_region(region)).collect()
    }

    /// Hears with an answer in how many tenths of a second this region's callers are served under a key of their own,
    /// or with zero that they are not. Says whether such a key has become known.
    pub fn hear_regional(&self, now: Moment, answered: &FunctionKey, regional_tenths: u8) -> bool {
        let whole = answered.whole();
        let known_use = self.regional_uses.load().get(&whole).copied();
        match (known_use, regional_tenths) {
            (Some(_), 0) if answered.is_regional() => self.forget_regional(answered),
            (Some(known), 1..) if answered.is_regional() => {
                let is_due = known.until.since(now) < USED_FOR.saturating_sub(RENEWED_AFTER);
                if is_due {
                    self.use_regional(now, whole, RegionalUse { until: now + USED_FOR, ..known });
                }
            }
            (known, 1..) if known.is_none_or(|known| known.until <= now) => {
                let from = now + Duration::from_millis(TENTH_MS * u64::from(regional_tenths));
                self.use_regional(now, whole, RegionalUse { from, until: from + USED_FOR });
                return self.own_region().is_some();
            }
            _ => {}
        }
        false
    }

    /// A region's own key does not serve at the moment: its callers go to the holder for all regions for a while.
    pub fn suspend_regional(&self, now: Moment, function: &FunctionKey, pause: Duration) {
        let from = now + pause;
        self.use_regional(now, function.whole(), RegionalUse { from, until: from + USED_FOR });
    }

    /// This region's callers have a key of their own no more.
    fn forget_regional(&self, function: &FunctionKey) {
        let whole = function.whole();
        self.regional_uses.rcu(|uses| {
            let mut changed_uses = RegionalUses::clone(uses);
            changed_uses.remove(&whole);
            changed_uses
        });
    }

    fn use_regional(&self, now: Moment, whole: FunctionKey, regional_use: RegionalUse) {
        self.regional_uses.rcu(|uses| {
            let mut changed_uses = RegionalUses::clone(uses);
            changed_uses.retain(|_, known| now < known.until);
            changed_uses.insert(whole.clone(), regional_use);
            changed_uses
        });
    }

    /// What is told with an outcome of a function held here to a daemon of a region: in how many tenths of a second its
    /// callers are served under a key of their own.
    pub fn regional_word(&self, now: Moment, function: &FunctionKey, region: &Region) -> u8 {
        let is_elsewhere = self.own_region().is_some_and(|own_region| own_region != region);
        if region.as_str().is_empty() || !(function.is_regional() || is_elsewhere) {
            return 0;
        }
        let Some(held) = self.holdings.load().get(function).cloned() else { return 0 };
        let after = held.with(|holder| holder.regional_after(now, region));
        after.map_or(0, |after| {
            let tenths = after.as_millis().div_ceil(u128::from(TENTH_MS));
            tenths.clamp(1, u128::from(u8::MAX)) as u8
        })
    }
}
