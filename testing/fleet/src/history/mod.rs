//! Checks a recorded history of operators' commands for linearizability, against a sequential specification of the
//! configuration register.
//!
//! A [`History`] records each order, each attempt to send it, each reply and each reading, with their times.
//! [`History::find_anomalies`] searches for one sequence of events in which every acknowledged change took effect
//! exactly once between its first attempt and its acknowledgement, every refusal was justified at some time between the
//! attempt and its reply, and every reading returned what was current at some time while it was in progress. An order
//! without a definite reply may have taken effect or not. An observation that no such sequence explains is an
//! [`Anomaly`].
//!
//! Versions have increasing numbers and name the number of their base version, so the chain of versions follows from
//! the records, and the times are a system of lower and upper bounds. The check therefore takes polynomial time, where
//! checking linearizability in general is NP-complete (Gibbons and Korach, "Testing Shared Memories", 1997).

mod anomaly;
mod chain;
mod register;
mod zones;

pub use anomaly::Anomaly;

use common::clock::MonotonicTime;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Identifies one order; all attempts to send it carry the same number, base and content.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct OrderId(pub usize);

/// Identifies one attempt to send an order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct AttemptId(usize);

/// Identifies one order to evacuate a zone or to restore it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct ZoneOrderId(usize);

/// The key of an item of a configuration: the section, such as `routes`, and the name within it.
pub type ItemKey = (String, String);

/// How an order changes the configuration of its base version.
#[derive(Clone, PartialEq, Debug)]
pub enum Effect {
    /// Replaces the complete configuration.
    Replace(Value),
    /// Sets items, or removes those without a value.
    Amend(BTreeMap<ItemKey, Option<Value>>),
}

impl Effect {
    /// Returns the configuration that results from applying this effect to that of the base version.
    pub fn applied_to(&self, base_content: &Value) -> Value {
        match self {
            Self::Replace(content) => content.clone(),
            Self::Amend(items) => {
                let mut content = base_content.clone();
                for ((section, name), item) in items {
                    let Some(section_items) = content[section].as_object_mut() else {
                        continue;
                    };
                    match item {
                        Some(item) => drop(section_items.insert(name.clone(), item.clone())),
                        None => drop(section_items.remove(name)),
                    }
                }
                content
            }
        }
    }
}

/// A change of the configuration that an operator requests.
#[derive(Clone, PartialEq, Debug)]
pub struct Order {
    /// The number of the version that it creates.
    pub number: u64,
    /// The number of its base version; zero is the state before the first order.
    pub base: u64,
    /// What it changes.
    pub effect: Effect,
    /// Whether its content is valid on its base version.
    pub is_valid: bool,
}

/// A definite reply to one attempt.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Answer {
    /// The change is accepted.
    Acknowledged,
    /// Its base version is not the current one.
    Stale {
        /// The number of the current version, if the reply gave it.
        current: Option<u64>,
    },
    /// The order is invalid, or its number is not above the current one.
    Invalid,
}

/// One attempt to send an order, and when its definite reply arrived.
struct Attempt {
    order: OrderId,
    requested_at: MonotonicTime,
    answer: Option<(MonotonicTime, Answer)>,
}

/// The result of reading the configuration.
#[derive(Clone, PartialEq, Debug)]
pub struct Reading {
    /// When the request was sent.
    pub requested_at: MonotonicTime,
    /// When the reply arrived.
    pub received_at: MonotonicTime,
    /// The number of the version; zero is the state before the first order.
    pub number: u64,
    /// The configuration.
    pub content: Value,
    /// The zones that were reported as evacuated.
    pub evacuated: BTreeSet<String>,
}

/// The progress of a zone order.
#[derive(Clone, Copy)]
enum ZoneOrderState {
    /// The order is being sent and may take effect at any time.
    Pending,
    /// The order was acknowledged at this time, and took effect before.
    Acknowledged(MonotonicTime),
    /// The order was abandoned at this time; it took effect before or never will.
    Abandoned(MonotonicTime),
}

/// An order to evacuate a zone or to restore it, with all attempts to send it.
struct ZoneOrder {
    zone: String,
    evacuate: bool,
    requested_at: MonotonicTime,
    state: ZoneOrderState,
}

impl ZoneOrder {
    /// Returns the time from which the order can no longer take effect, if it has ended.
    fn ended_at(&self) -> Option<MonotonicTime> {
        match self.state {
            ZoneOrderState::Pending => None,
            ZoneOrderState::Acknowledged(at) | ZoneOrderState::Abandoned(at) => Some(at),
        }
    }

    /// Whether the order certainly took effect before this time.
    fn is_done_before(&self, at: MonotonicTime) -> bool {
        matches!(self.state, ZoneOrderState::Acknowledged(done_at) if done_at < at)
    }

    /// Whether the order can only have taken effect before the other one was first sent.
    fn precedes(&self, other: &ZoneOrder) -> bool {
        self.ended_at()
            .is_some_and(|ended_at| ended_at < other.requested_at)
    }
}

/// Everything that operators sent and received.
#[derive(Default)]
pub struct History {
    orders: Vec<Order>,
    attempts: Vec<Attempt>,
    readings: Vec<Reading>,
    zone_orders: Vec<ZoneOrder>,
}

impl History {
    /// Records an order before it is first sent.
    pub fn record_order(&mut self, order: Order) -> OrderId {
        self.orders.push(order);
        OrderId(self.orders.len() - 1)
    }

    /// Records an attempt to send an order, the first one or a retry.
    pub fn record_attempt(&mut self, at: MonotonicTime, order: OrderId) -> AttemptId {
        self.attempts.push(Attempt {
            order,
            requested_at: at,
            answer: None,
        });
        AttemptId(self.attempts.len() - 1)
    }

    /// Records the definite reply to an attempt.
    pub fn record_answer(&mut self, at: MonotonicTime, attempt: AttemptId, answer: Answer) {
        self.attempts[attempt.0].answer = Some((at, answer));
    }

    /// Records a completed reading.
    pub fn record_reading(&mut self, reading: Reading) {
        self.readings.push(reading);
    }

    /// Records an order to evacuate a zone or to restore it, before it is first sent.
    pub fn record_zone_order(
        &mut self,
        at: MonotonicTime,
        zone: &str,
        evacuate: bool,
    ) -> ZoneOrderId {
        self.zone_orders.push(ZoneOrder {
            zone: zone.to_owned(),
            evacuate,
            requested_at: at,
            state: ZoneOrderState::Pending,
        });
        ZoneOrderId(self.zone_orders.len() - 1)
    }

    /// Records that a zone order was acknowledged.
    pub fn record_zone_order_acknowledged(&mut self, at: MonotonicTime, order: ZoneOrderId) {
        self.zone_orders[order.0].state = ZoneOrderState::Acknowledged(at);
    }

    /// Records that a pending zone order was abandoned. From then on, it cannot take effect.
    pub fn record_zone_order_abandoned(&mut self, at: MonotonicTime, order: ZoneOrderId) {
        let state = &mut self.zone_orders[order.0].state;
        if matches!(state, ZoneOrderState::Pending) {
            *state = ZoneOrderState::Abandoned(at);
        }
    }

    /// Returns the number of replies, readings and zone orders that [`History::find_anomalies`] checks.
    pub fn checked_count(&self) -> usize {
        let answered = self
            .attempts
            .iter()
            .filter(|attempt| attempt.answer.is_some())
            .count();
        answered + self.readings.len() + self.zone_orders.len()
    }

    /// Returns all anomalies, given the configuration before the first order.
    pub fn find_anomalies(&self, first_content: &Value) -> Vec<Anomaly> {
        let mut anomalies = register::find_anomalies(self, first_content);
        anomalies.extend(zones::find_anomalies(self));
        anomalies
    }

    fn attempts_of(&self, order: OrderId) -> impl Iterator<Item = &Attempt> {
        self.attempts
            .iter()
            .filter(move |attempt| attempt.order == order)
    }

    /// Returns when an order was first sent, if it was sent.
    fn first_sent_at(&self, order: OrderId) -> Option<MonotonicTime> {
        self.attempts_of(order)
            .map(|attempt| attempt.requested_at)
            .min()
    }

    /// Returns when the first acknowledgement of an order arrived, if there was one.
    fn acknowledged_at(&self, order: OrderId) -> Option<MonotonicTime> {
        let answers = self.attempts_of(order).filter_map(|attempt| attempt.answer);
        answers
            .filter(|(_, answer)| *answer == Answer::Acknowledged)
            .map(|(received_at, _)| received_at)
            .min()
    }
}
