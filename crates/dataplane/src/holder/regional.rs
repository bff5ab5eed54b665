//! Regions whose callers keep a runner of their own busy: they are served under a key of their own.
//!
//! What crosses regions is slow and dear, and a function that needs several runners anyway can as well have some of
//! them where its callers are. A region's own key costs at least one runner there, so it is worth it only while the
//! region's callers keep a fair part of that runner busy.

use super::Holder;
use super::demand::Fading;
use super::runners::Phase;
use common::clock::Moment;
use common::identity::Region;
use common::rules::Rule;
use std::collections::BTreeMap;
use std::time::Duration;

/// Over which span a region's calls are counted.
const SIGHT: Duration = Duration::from_secs(2);
/// The part of a runner's slots that a region's callers keep busy when they get a key of their own.
const WORTH_A_RUNNER: f64 = 0.2;
/// The part below which they lose it again.
const NOT_WORTH_A_RUNNER: f64 = 0.1;
/// The region's holder is found and its first runner boots within so many boot times and this span.
const BOOTS_AHEAD: u32 = 2;
const FOUND_WITHIN: Duration = Duration::from_millis(500);
/// A key is kept for so long after it came into use, whatever the load.
const KEPT_AT_LEAST: Duration = Duration::from_secs(5);

struct RegionLoad {
    calls: Fading,
    first_at: Moment,
    in_use_from: Option<Moment>,
}

/// The calls of late from regions other than the holder's, and which of them are sent to a key of their own.
#[derive(Default)]
pub struct RegionalDemand {
    loads: BTreeMap<Region, RegionLoad>,
    /// Identities of this function may come again, and must find the one holder that remembers them.
    is_remembering: bool,
}

impl RegionalDemand {
    /// A call came from a region, or from the holder's own.
    pub fn called(&mut self, now: Moment, region: Option<&Region>, is_noted: bool) {
        self.is_remembering |= is_noted;
        let Some(region) = region else { return };
        if !self.loads.contains_key(region) {
            let calls = Fading::new(SIGHT.as_secs_f64());
            let load = RegionLoad { calls, first_at: now, in_use_from: None };
            self.loads.insert(region.clone(), load);
        }
        if let Some(load) = self.loads.get_mut(region) {
            load.calls.add(now);
        }
    }
}

impl RegionLoad {
    /// Slots in use on average, of late.
    fn slots_busy(&self, now: Moment, service: Duration) -> f64 {
        let age = now.since(self.first_at).as_secs_f64();
        let sight = self.calls.sight(age).max(f64::EPSILON);
        self.calls.at(now) / sight * service.as_secs_f64()
    }
}

impl Holder {
    /// Whether it is held for one region alone and has no runner ready: its callers are better served by the holder
    /// for all regions meanwhile.
    pub(super) fn is_unready_regional(&self) -> bool {
        self.function.is_regional()
            && !self.runners.values().any(|record| record.phase == Phase::Ready)
    }

    /// In what time a region's callers are served under a key of their own; none when they are not. Asked of a
    /// holder for one region, it says whether that key stays in use.
    pub fn regional_after(&mut self, now: Moment, region: &Region) -> Option<Duration> {
        let slots = f64::from(self.spec.slots.max(1));
        if self.function.is_regional() {
            let load = self.demand.rate(now) * self.service.as_secs_f64();
            let is_young = now.since(self.held_since) < KEPT_AT_LEAST;
            return (is_young || load >= slots * NOT_WORTH_A_RUNNER).then_some(Duration::ZERO);
        }
        let (boot, service) = (self.spec.boot, self.service);
        if self.regional.is_remembering && self.rules.keep(Rule::RememberedByOne) {
            return None;
        }
        let load = self.regional.loads.get_mut(region)?;
        let slots_busy = load.slots_busy(now, service);
        let is_known = now.since(load.first_at) >= SIGHT;
        let is_worth_it = is_known && slots_busy >= slots * WORTH_A_RUNNER;
        let is_idle = slots_busy < slots * NOT_WORTH_A_RUNNER;
        match load.in_use_from {
            None if is_worth_it => {
                load.in_use_from = Some(now + boot * BOOTS_AHEAD + FOUND_WITHIN);
            }
            Some(from) if is_idle && now.since(from) >= KEPT_AT_LEAST => load.in_use_from = None,
            _ => {}
        }
        load.in_use_from.map(|from| from.since(now))
    }
}
