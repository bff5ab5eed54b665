use crate::leader_state::EventRecord;
use common::identity::Term;
use serde_json::{Value, json};
use std::collections::VecDeque;

const MAX_RETAINED_EVENTS: usize = 20_000;

/// An event with its number.
#[derive(Clone, Debug)]
pub struct NumberedEvent {
    /// The number: the leader's term above, a count below.
    pub number: u64,
    /// The event.
    pub event_record: EventRecord,
}

impl NumberedEvent {
    /// The event as operators read it.
    pub fn to_value(&self) -> Value {
        json!({
            "number": self.number,
            "event": self.event_record.event.number,
            "name": self.event_record.event.name,
            "detail": self.event_record.detail,
        })
    }
}

/// The last events of this controller.
#[derive(Default)]
pub struct EventLog {
    retained: VecDeque<NumberedEvent>,
    last_number: u64,
}

impl EventLog {
    /// A new reign begins: numbers go on above all of earlier reigns.
    pub fn restart(&mut self, term: Term) {
        self.retained.clear();
        self.last_number = self.last_number.max(term.0 << 32);
    }

    /// Keeps an event and numbers it.
    pub fn add(&mut self, event_record: EventRecord) -> NumberedEvent {
        self.last_number += 1;
        let numbered = NumberedEvent {
            number: self.last_number,
            event_record,
        };
        self.retained.push_back(numbered.clone());
        if self.retained.len() > MAX_RETAINED_EVENTS {
            self.retained.pop_front();
        }
        numbered
    }

    /// The newest number.
    pub fn newest(&self) -> u64 {
        self.last_number
    }

    /// The events from a number on, a gap event first when some of them are lost.
    pub fn from(&self, first_number: u64, limit: usize) -> Vec<Value> {
        let oldest_number = self
            .retained
            .front()
            .map_or(self.last_number + 1, |retained| retained.number);
        let mut listed_events = Vec::new();
        if first_number != 0 && first_number < oldest_number {
            listed_events.push(json!({
                "number": oldest_number - 1,
                "event": 0,
                "name": "gap",
                "detail": {"asked": first_number, "oldest": oldest_number},
            }));
        }
        let later_events = self
            .retained
            .iter()
            .filter(|retained| retained.number >= first_number);
        listed_events.extend(later_events.take(limit).map(NumberedEvent::to_value));
        listed_events
    }
}
