//! The virtual clock and the queue of future events.

use super::event::Event;
use super::network::Node;
use common::clock::MonotonicTime;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// The virtual time at which every simulation starts.
pub(super) const STARTED_AT: MonotonicTime = MonotonicTime(1_000_000_000);

/// An event that is due.
pub(super) struct DueEvent {
    /// The virtual time for which it was scheduled.
    pub due_at: MonotonicTime,
    /// Its number in the order of scheduling, which breaks ties between events that are due at the same time.
    pub number: u64,
    /// The event.
    pub event: Event,
}

/// The virtual clock and the queue of future events.
pub(super) struct EventQueue {
    now: MonotonicTime,
    scheduled: BTreeMap<(MonotonicTime, u64), Event>,
    last_number: u64,
    last_in_order: HashMap<(Node, Node), MonotonicTime>,
}

impl EventQueue {
    /// Creates an empty queue, with the clock at the start of the simulation.
    pub(super) fn new() -> Self {
        Self {
            now: STARTED_AT,
            scheduled: BTreeMap::new(),
            last_number: 0,
            last_in_order: HashMap::new(),
        }
    }

    /// Returns the current virtual time.
    pub(super) fn now(&self) -> MonotonicTime {
        self.now
    }

    /// Schedules an event after a delay.
    pub(super) fn push(&mut self, delay: Duration, event: impl Into<Event>) {
        self.last_number += 1;
        self.scheduled
            .insert((self.now + delay, self.last_number), event.into());
    }

    /// Schedules an event after a delay, but later than the events that were already scheduled on the same stream,
    /// whose messages are not reordered.
    pub(super) fn push_in_order(
        &mut self,
        stream: (Node, Node),
        delay: Duration,
        event: impl Into<Event>,
    ) {
        let earliest = self.last_in_order.get(&stream).copied().unwrap_or_default();
        let due_at = (self.now + delay).max(earliest + Duration::from_nanos(1));
        self.last_in_order.insert(stream, due_at);
        self.push(due_at.since(self.now), event);
    }

    /// Removes the next event and advances the clock to it; none if the queue is empty or the event is due after the
    /// given time.
    pub(super) fn pop_due(&mut self, end_at: MonotonicTime) -> Option<DueEvent> {
        let ((due_at, number), event) = self.scheduled.pop_first()?;
        if due_at > end_at {
            return None;
        }
        self.now = self.now.max(due_at);
        Some(DueEvent {
            due_at,
            number,
            event,
        })
    }
}
