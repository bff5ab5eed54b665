//! The log of this controller's most recent events.

use crate::leader_state::EventRecord;
use common::identity::Term;
use std::collections::VecDeque;

const MAX_RETAINED_EVENTS: usize = 20_000;

/// An event and its number.
#[derive(Clone, Debug)]
pub struct NumberedEvent {
    /// The leader's term in the upper 32 bits and a counter in the lower 32 bits.
    pub number: u64,
    /// The event.
    pub event_record: EventRecord,
}

/// An entry of the event log as operators read it.
#[derive(Clone, Debug)]
pub enum EventEntry {
    /// An event.
    Event(NumberedEvent),
    /// Some of the requested events are no longer retained.
    Gap {
        /// The first number requested.
        requested: u64,
        /// The oldest retained number, or the next number to be assigned if no event is retained.
        oldest: u64,
    },
}

impl EventEntry {
    /// Returns the entry's number: that of the event, or of the last event in the gap.
    pub fn number(&self) -> u64 {
        match self {
            Self::Event(numbered) => numbered.number,
            Self::Gap { oldest, .. } => oldest - 1,
        }
    }
}

/// A bounded log of this controller's most recent events.
#[derive(Default)]
pub(super) struct EventLog {
    retained: VecDeque<NumberedEvent>,
    last_number: u64,
}

impl EventLog {
    /// Clears the log at the start of a term as leader. The term's event numbers are higher than those of all earlier
    /// terms.
    pub(super) fn begin_term(&mut self, term: Term) {
        self.retained.clear();
        self.last_number = self.last_number.max(term.0 << 32);
    }

    /// Assigns the next number to an event and adds it to the log.
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

    /// Returns the number of the newest event.
    pub(super) fn newest(&self) -> u64 {
        self.last_number
    }

    /// Returns up to `limit` events starting at `first_number`, preceded by a gap entry if some of them are no longer
    /// retained.
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
