//! Regions whose callers keep a runner of their own busy: they are served under a key of their own.
//!
//! What crosses regions is slow and dear, and a function that needs several runners anyway can as well have some of
//! them where its callers are. A region's own key costs at least one runner there, so it is worth it only while the
//! region's callers keep a fair part of that runner busy.

use super::Holder;
use super::demand::DecayingCounter;
use super::runners::Phase;
use common::clock::MonotonicTime;
use common::identity::Region;
use common::rules::Rule;
use std::collections::BTreeMap;
use std::time::Duration;

/// Over which span a region's calls are counted.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// The part of a runner's slots that a region's callers keep busy when they get a key of their own.
const OPEN_LOAD_FRACTION: f64 = 0.2;
/// The part below which they lose it again.
const CLOSE_LOAD_FRACTION: f64 = 0.1;
/// The region's holder is found and its first runner boots within so many boot times and this span.
const STARTUPS_AHEAD: u32 = 2;
const LOOKUP_MARGIN: Duration = Duration::from_millis(500);
/// A key is kept for so long after it came into use, whatever the load.
const MIN_RETENTION: Duration = Duration::from_secs(5);

struct RegionLoad {
    calls: DecayingCounter,
    first_at: MonotonicTime,
    in_use_from: Option<MonotonicTime>,
}

/// The calls of late from regions other than the holder's, and which of them are sent to a key of their own.
#[derive(Default)]
pub struct RegionalDemand {
    loads: BTreeMap<Region, RegionLoad>,
    /// Identities of this function may come again, and must find the one holder that remembers them.
    has_recorded_calls: bool,
}

impl RegionalDemand {
    /// A call came from a region, or from the holder's own.
    pub fn record_call(&mut self, now: MonotonicTime, region: Option<&Region>, is_recorded: bool) {
        self.has_recorded_calls |= is_recorded;
        let Some(region) = region else { return };
        if !self.loads.contains_key(region) {
            let calls = DecayingCounter::new(RATE_WINDOW.as_secs_f64());
            let load = RegionLoad {
                calls,
                first_at: now,
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
    /// Slots in use on average, of late.
    fn busy_slots(&self, now: MonotonicTime, service_time: Duration) -> f64 {
        let age = now.since(self.first_at).as_secs_f64();
        let effective_window = self.calls.effective_window(age).max(f64::EPSILON);
        self.calls.at(now) / effective_window * service_time.as_secs_f64()
    }
}

impl Holder {
    /// Whether it is held for one region alone and has no runner ready: its callers are better served by the holder
    /// for all regions meanwhile.
    pub(super) fn is_unready_regional(&self) -> bool {
        self.function.is_regional()
            && !self
                .runners
                .values()
                .any(|record| record.phase == Phase::Ready)
    }

    /// In what time a region's callers are served under a key of their own; none when they are not. Asked of a
    /// holder for one region, it says whether that key stays in use.
    pub fn regional_use_delay(&mut self, now: MonotonicTime, region: &Region) -> Option<Duration> {
        let slots = f64::from(self.spec.slots.max(1));
        if self.function.is_regional() {
            let load = self.demand.rate(now) * self.service_time.as_secs_f64();
            let is_young = now.since(self.held_since) < MIN_RETENTION;
            return (is_young || load >= slots * CLOSE_LOAD_FRACTION).then_some(Duration::ZERO);
        }
        let (startup, service_time) = (self.spec.startup, self.service_time);
        if self.regional.has_recorded_calls && self.rules.enforces(Rule::OneHolderRemembersKeys) {
            return None;
        }
        let load = self.regional.loads.get_mut(region)?;
        let busy_slots = load.busy_slots(now, service_time);
        let is_known = now.since(load.first_at) >= RATE_WINDOW;
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
