use crate::leader_state::Told;
use common::identity::Term;
use serde_json::{Value, json};
use std::collections::VecDeque;

const KEPT_EVENTS: usize = 20_000;

/// An event with its number.
#[derive(Clone, Debug)]
pub struct Numbered {
    /// The number: the leader's term above, a count below.
    pub number: u64,
    /// The event.
    pub told: Told,
}

impl Numbered {
    /// The event as operators read it.
    pub fn to_value(&self) -> Value {
        json!({
            "number": self.number,
            "event": self.told.event.number,
            "name": self.told.event.name,
            "detail": self.told.detail,
        })
    }
}

/// The last events of this controller.
#[derive(Default)]
pub struct History {
    kept: VecDeque<Numbered>,
    last_number: u64,
}

impl History {
    /// A new reign begins: numbers go on above all of earlier reigns.
    pub fn restart(&mut self, term: Term) {
        self.kept.clear();
        self.last_number = self.last_number.max(term.0 << 32);
    }

    /// Keeps an event and numbers it.
    pub fn add(&mut self, told: Told) -> Numbered {
        self.last_number += 1;
        let numbered = Numbered { number: self.last_number, told };
        self.kept.push_back(numbered.clone());
        if self.kept.len() > KEPT_EVENTS {
            self.kept.pop_front();
        }
        numbered
    }

    /// The newest number.
    pub fn newest(&self) -> u64 {
        self.last_number
    }

    /// The events from a number on, a gap event first when some of them are lost.
    pub fn from(&self, first_number: u64, most: usize) -> Vec<Value> {
        let oldest_number = self.kept.front().map_or(self.last_number + 1, |kept| kept.number);
        let mut listed_events = Vec::new();
        if first_number != 0 && first_number < oldest_number {
            listed_events.push(json!({
                "number": oldest_number - 1,
                "event": 0,
                "name": "gap",
                "detail": {"asked": first_number, "oldest": oldest_number},
            }));
        }
        let later_events = self.kept.iter().filter(|kept| kept.number >= first_number);
        listed_events.extend(later_events.take(most).map(Numbered::to_value));
        listed_events
    }
}
