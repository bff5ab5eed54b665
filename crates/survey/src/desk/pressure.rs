use super::{Desk, StreamId};
use serde_json::json;
use std::time::Duration;
use waymark::clock::Moment;
use waymark::events;
use waymark::frames::{IdleFunction, StreamDown};
use waymark::identity::FunctionKey;

/// A function that gave way is left alone for so long.
const LEFT_ALONE: Duration = Duration::from_secs(5);

impl Desk {
    pub(super) fn hear_idle(
        &mut self,
        now: Moment,
        stream: StreamId,
        functions: Vec<IdleFunction>,
    ) {
        let Some(holder) = self.streams.get(&stream).cloned() else { return };
        let entries = &self.entries;
        self.idle_since.retain(|function, _| {
            entries.get(function).is_some_and(|entry| entry.holder != holder)
        });
        for idle in functions {
            let is_held =
                self.entries.get(&idle.function).is_some_and(|entry| entry.holder == holder);
            if is_held {
                let since = now - Duration::from_millis(u64::from(idle.idle_ms));
                self.idle_since.insert(idle.function, since);
            }
        }
        self.gave_way_at.retain(|_, at| now.since(*at) < LEFT_ALONE);
    }

    /// No worker has room: the least recently called function that is idle gives up its runners.
    pub(super) fn make_room(&mut self, now: Moment, asker: &FunctionKey, needed_mb: u32) {
        let is_fitting = |function: &FunctionKey| {
            function != asker
                && !self.gave_way_at.contains_key(function)
                && self
                    .entries
                    .get(function)
                    .is_some_and(|entry| entry.fencing_since.is_none() && !entry.handing_over)
                && self.reservations.values().any(|held| held.function == *function)
        };
        let mut idle_functions: Vec<(Moment, FunctionKey)> = self
            .idle_since
            .iter()
            .filter(|(function, _)| is_fitting(function))
            .map(|(function, since)| (*since, function.clone()))
            .collect();
        idle_functions.sort();
        let mut freed_mb = 0;
        for (_, function) in idle_functions {
            if freed_mb >= needed_mb * 2 {
                return;
            }
            let Some(entry) = self.entries.get(&function) else { continue };
            let grant = entry.grant;
            let stream = self.members.get(&entry.holder).and_then(|record| record.stream);
            let Some(stream) = stream else { continue };
            freed_mb += self
                .reservations
                .values()
                .filter(|held| held.function == function)
                .map(|held| held.memory_mb)
                .sum::<u32>();
            self.gave_way_at.insert(function.clone(), now);
            self.idle_since.remove(&function);
            self.tell(events::GAVE_WAY, json!({"function": function.to_string()}));
            self.down(stream, StreamDown::GiveWay { function, grant });
        }
    }
}
