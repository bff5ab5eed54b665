use super::{LeaderState, StreamId};
use common::clock::Moment;
use common::events;
use common::frames::{IdleFunction, StreamDown};
use common::identity::{FunctionKey, RunnerId};
use serde_json::json;
use std::collections::BTreeMap;
use std::time::Duration;

/// A function that gave way is left alone for so long.
const LEFT_ALONE: Duration = Duration::from_secs(5);

/// A function without a runner that found no room counts as starving for so long after it asked.
const STARVES_FOR: Duration = Duration::from_millis(1200);
/// From one runner taken back to the next.
const TAKE_BACK_EVERY: Duration = Duration::from_millis(500);

impl LeaderState {
    /// Whether a function with runners must wait, since another one has none and found no room.
    pub(super) fn must_wait(&mut self, now: Moment, asker: &FunctionKey) -> bool {
        self.starving.retain(|_, asked_at| now.since(*asked_at) < STARVES_FOR);
        self.starving.keys().any(|function| function != asker)
    }

    /// A function without any runner finds no room: the one that has most gives one back, so that no
    /// crowd on one takes another's only runner.
    pub(super) fn take_back(&mut self, now: Moment, asker: &FunctionKey, needed_mb: u32) {
        self.starving.insert(asker.clone(), now);
        if now.since(self.took_back_at) < TAKE_BACK_EVERY {
            return;
        }
        let reserved_sums = self.reserved_mb();
        let mut staying: BTreeMap<&FunctionKey, Vec<(u64, RunnerId)>> = BTreeMap::new();
        for (runner, held) in self.reservations.iter() {
            let has_gone = held.draining || held.stop_wanted || held.left_since.is_some();
            let Some(record) = self.workers.get(&held.worker) else { continue };
            if has_gone || held.function == *asker || !self.is_worker_fit(&held.worker) {
                continue;
            }
            let used_mb = reserved_sums.get(&held.worker).copied().unwrap_or(0);
            let free_mb = u64::from(record.listed.memory_mb).saturating_sub(used_mb);
            let freed_mb = free_mb + u64::from(held.memory_mb);
            staying.entry(&held.function).or_default().push((freed_mb, *runner));
        }
        let richest = staying.into_iter().max_by_key(|(_, runners)| runners.len());
        let Some((function, runners)) = richest.filter(|(_, runners)| runners.len() > 1) else {
            return;
        };
        let enough = runners.iter().filter(|(freed_mb, _)| *freed_mb >= u64::from(needed_mb));
        let Some((_, runner)) = enough.min().or(runners.iter().max()).copied() else { return };
        let function = function.clone();
        self.took_back_at = now;
        let detail = json!({
            "function": function.to_string(),
            "runner": runner.to_string(),
            "for": asker.to_string(),
        });
        self.tell(events::GAVE_WAY, detail);
        self.drain(function, runner);
    }

    /// A daemon says which of its functions are idle: all of them, in place of what it said before.
    pub(super) fn hear_idle(
        &mut self,
        now: Moment,
        stream: StreamId,
        functions: Vec<IdleFunction>,
    ) {
        let Some(holder) = self.streams.get(&stream) else { return };
        let idle_since = functions
            .into_iter()
            .map(|idle| {
                let idle_span = Duration::from_millis(u64::from(idle.idle_ms));
                (idle.function, now - idle_span)
            })
            .collect();
        self.idle_since.insert(holder.clone(), idle_since);
    }

    /// The functions that their present holders called idle, those not called for longest first.
    fn idle_functions(&self) -> Vec<(Moment, FunctionKey)> {
        let mut idle_functions: Vec<(Moment, FunctionKey)> = self
            .idle_since
            .iter()
            .flat_map(|(holder, functions)| {
                let is_held = move |function: &FunctionKey| {
                    self.entries.get(function).is_some_and(|entry| entry.holder == *holder)
                };
                functions.iter().filter(move |(function, _)| is_held(function))
            })
            .map(|(function, since)| (*since, function.clone()))
            .collect();
        idle_functions.sort();
        idle_functions
    }

    /// No worker has room: the least recently called function that is idle gives up its runners.
    pub(super) fn make_room(&mut self, now: Moment, asker: &FunctionKey, needed_mb: u32) {
        self.gave_way_at.retain(|_, at| now.since(*at) < LEFT_ALONE);
        let is_fitting = |function: &FunctionKey| {
            function != asker
                && !self.gave_way_at.contains_key(function)
                && self
                    .entries
                    .get(function)
                    .is_some_and(|entry| entry.fencing_since.is_none() && !entry.handing_over)
                && self.reservations.of(function).next().is_some()
        };
        let mut idle_functions = self.idle_functions();
        idle_functions.retain(|(_, function)| is_fitting(function));
        let mut freed_mb = 0;
        for (_, function) in idle_functions {
            if freed_mb >= needed_mb * 2 {
                return;
            }
            let Some(entry) = self.entries.get(&function) else { continue };
            let grant = entry.grant;
            let stream = self.members.get(&entry.holder).and_then(|record| record.stream);
            let Some(stream) = stream else { continue };
            freed_mb +=
                self.reservations.of(&function).map(|(_, held)| held.memory_mb).sum::<u32>();
            self.gave_way_at.insert(function.clone(), now);
            if let Some(idle_since) = self.idle_since.get_mut(&entry.holder) {
                idle_since.remove(&function);
            }
            self.tell(events::GAVE_WAY, json!({"function": function.to_string()}));
            self.down(stream, StreamDown::GiveWay { function, grant });
        }
    }
}
