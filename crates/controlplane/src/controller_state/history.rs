//! The newest events of this controller, numbered.

use crate::leader_state::EventRecord;
use common::identity::Term;
use std::collections::VecDeque;

const MAX_RETAINED_EVENTS: usize = 20_000;

/// An event with its number.
#[derive(Clone, Debug)]
pub struct NumberedEvent {
    /// The leader's term in the upper 32 bits, a count in the lower ones.
    pub number: u64,
    /// The event.
    pub event_record: EventRecord,
}

/// One line of the events that operators read.
#[derive(Clone, Debug)]
pub enum EventEntry {
    /// An event.
    Event(NumberedEvent),
    /// Events that were asked for are no longer retained.
    Gap {
        /// The first number asked for.
        requested: u64,
        /// The oldest number that is retained, or the next one to be given.
        oldest: u64,
    },
}

impl EventEntry {
    /// The number under which operators read it.
    pub fn number(&self) -> u64 {
        match self {
            Self::Event(numbered) => numbered.number,
            Self::Gap { oldest, .. } => oldest - 1,
        }
    }
}

/// The newest events of this controller.
#[derive(Default)]
pub(super) struct EventLog {
    retained: VecDeque<NumberedEvent>,
    last_number: u64,
}

impl EventLog {
    /// A new term as leader begins: its numbers are above those of all earlier terms.
    pub(super) fn begin_term(&mut self, term: Term) {
        self.retained.clear();
        self.last_number = self.last_number.max(term.0 << 32);
    }

    /// Numbers an event and retains it.
    pub(super) fn append(&mut self, event_record: EventRecord) -> NumberedEvent {
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
    pub(super) fn newest(&self) -> u64 {
        self.last_number
    }

    /// At most `limit` events from a number on, after a gap entry if some of them are no longer retained.
    pub(super) fn entries_from(&self, first_number: u64, limit: usize) -> Vec<EventEntry> {
        let oldest = self
            .retained
            .front()
            .map_or(self.last_number + 1, |retained| retained.number);
        let mut entries = Vec::new();
        if first_number != 0 && first_number < oldest {
            entries.push(EventEntry::Gap {
                requested: first_number,
                oldest,
            });
        }
        let later_events = self
            .retained
            .iter()
            .filter(|retained| retained.number >= first_number);
        entries.extend(later_events.take(limit).cloned().map(EventEntry::Event));
        entries
    }
}
