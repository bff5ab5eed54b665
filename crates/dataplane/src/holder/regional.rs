//! Decides which regions are served under a regional key of their own.
//!
//! Traffic between regions is slow and expensive, and a function that needs several runners anyway can have some of
//! them close to its callers. A regional key costs at least one runner in the region, so it is worthwhile only while
//! the region's callers keep a sufficient fraction of that runner busy.

use super::Holder;
use super::demand::DecayingCounter;
use common::clock::MonotonicTime;
use common::identity::Region;
use common::rules::Rule;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time constant over which a region's calls are counted.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// Fraction of a runner's slots that a region's callers have to keep busy to get a regional key.
const OPEN_LOAD_FRACTION: f64 = 0.2;
/// Fraction below which a region loses its regional key.
const CLOSE_LOAD_FRACTION: f64 = 0.1;
/// A new regional key is used after this many start-up times plus [`LOOKUP_MARGIN`], which leave time to find its
/// holder and to start its first runner.
const STARTUPS_AHEAD: u32 = 2;
/// The part of that delay that does not depend on the start-up time.
const LOOKUP_MARGIN: Duration = Duration::from_millis(500);
/// Minimum time for which a regional key stays in use, whatever the load.
const MIN_RETENTION: Duration = Duration::from_secs(5);

/// The load from one region.
struct RegionLoad {
    calls: DecayingCounter,
    first_call_at: MonotonicTime,
    in_use_from: Option<MonotonicTime>,
}

/// The recent calls from regions other than the holder's, and which of these regions use a regional key.
#[derive(Default)]
pub(super) struct RegionalDemand {
    loads: BTreeMap<Region, RegionLoad>,
    /// Whether there was any recorded request. Retries under its idempotency key must reach the one holder that has
    /// recorded it.
    has_recorded_calls: bool,
}

impl RegionalDemand {
    /// Counts a call; `region` is `None` for callers of the holder's own region.
    pub(super) fn record_call(
        &mut self,
        now: MonotonicTime,
        region: Option<&Region>,
        is_recorded: bool,
    ) {
        self.has_recorded_calls |= is_recorded;
        let Some(region) = region else { return };
        if !self.loads.contains_key(region) {
            let calls = DecayingCounter::new(RATE_WINDOW.as_secs_f64());
            let load = RegionLoad {
                calls,
                first_call_at: now,
                in_use_from: None,
            };
            self.loads.insert(region.clone(), load);
        }
        if let Some(load) = self.loads.get_mut(region) {
            load.calls.add(now);
        }
    }
}

impl RegionLoad {
    /// Returns the recent average number of slots in use.
    fn busy_slots(&self, now: MonotonicTime, service_time: Duration) -> f64 {
        let age = now.since(self.first_call_at).as_secs_f64();
        let effective_window = self.calls.effective_window(age).max(f64::EPSILON);
        self.calls.at(now) / effective_window * service_time.as_secs_f64()
    }
}

impl Holder {
    /// Whether the function key is regional and no runner is ready. Until one is, callers are better served by the
    /// holder for all regions.
    pub(super) fn is_unready_regional(&self) -> bool {
        self.lease.function.is_regional() && !self.runners.has_ready()
    }

    /// Returns the time until a region's callers should use their regional key, or `None` if they should not use one.
    /// The holder of a regional key returns zero while that key stays in use.
    pub fn regional_use_delay(&mut self, now: MonotonicTime, region: &Region) -> Option<Duration> {
        let slots = f64::from(self.spec.slots.max(1));
        if self.lease.function.is_regional() {
            let load = self.demand.rate(now) * self.requests.service_time.as_secs_f64();
            let is_young = now.since(self.lease.held_since) < MIN_RETENTION;
            return (is_young || load >= slots * CLOSE_LOAD_FRACTION).then_some(Duration::ZERO);
        }
        let (startup, service_time) = (self.spec.startup, self.requests.service_time);
        if self.regional.has_recorded_calls && self.rules.enforces(Rule::OneHolderRemembersKeys) {
            return None;
        }
        let load = self.regional.loads.get_mut(region)?;
        let busy_slots = load.busy_slots(now, service_time);
        let is_known = now.since(load.first_call_at) >= RATE_WINDOW;
        let should_open = is_known && busy_slots >= slots * OPEN_LOAD_FRACTION;
        let is_idle = busy_slots < slots * CLOSE_LOAD_FRACTION;
        match load.in_use_from {
            None if should_open => {
                load.in_use_from = Some(now + startup * STARTUPS_AHEAD + LOOKUP_MARGIN);
            }
            Some(from) if is_idle && now.since(from) >= MIN_RETENTION => load.in_use_from = None,
            _ => {}
        }
        load.in_use_from.map(|from| from.since(now))
    }
}
