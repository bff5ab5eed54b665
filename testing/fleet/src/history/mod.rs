//! Judges what operators sent and heard against a sequential specification of the configuration.
//!
//! A [`History`] records each order with every sending of it, each answer, and each reading, with
//! their times. [`History::judge`] looks for one order of events in which every acknowledged change
//! happened once between its first sending and its acknowledgement, every refusal was true at some
//! moment between asking and hearing, and every reading gave what was current at some moment while
//! it was under way. An order without a clear answer may have happened or not. Whatever cannot be
//! explained so is an [`Anomaly`].
//!
//! Versions carry numbers that only rise and name the number they are built on, so the chain of
//! versions follows from the records, and the times are a system of lower and upper bounds: the
//! check takes polynomial time, where linearizability in general does not.

mod anomaly;
mod chain;
mod register;
mod zones;

pub use anomaly::Anomaly;

use common::clock::MonotonicTime;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Names one order: all sendings of it carry the same number, base and content.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct OrderId(pub usize);

/// Names one sending of one order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct AttemptId(usize);

/// Names one evacuation, or the end of one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct ZoneOrderId(usize);

/// One named item of a configuration: its part, such as routes, and its name there.
pub type ItemKey = (String, String);

/// What an order makes of the configuration it is built on.
#[derive(Clone, PartialEq, Debug)]
pub enum Effect {
    /// A whole configuration in its place.
    Replace(Value),
    /// Items put, or removed where there is no value.
    Amend(BTreeMap<ItemKey, Option<Value>>),
}

impl Effect {
    /// The configuration that follows.
    pub fn applied_to(&self, base_content: &Value) -> Value {
        match self {
            Self::Replace(content) => content.clone(),
            Self::Amend(items) => {
                let mut content = base_content.clone();
                for ((part, name), item) in items {
                    let Some(part_items) = content[part].as_object_mut() else {
                        continue;
                    };
                    match item {
                        Some(item) => drop(part_items.insert(name.clone(), item.clone())),
                        None => drop(part_items.remove(name)),
                    }
                }
                content
            }
        }
    }
}

/// A change of the configuration as an operator asks for it.
#[derive(Clone, PartialEq, Debug)]
pub struct Order {
    /// The number that the version is to have.
    pub number: u64,
    /// The number of the version that it is built on; zero before the first.
    pub base: u64,
    /// What it changes.
    pub effect: Effect,
    /// Whether it could be taken on its base at all.
    pub is_valid: bool,
}

/// A clear answer to one sending.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Answer {
    /// It is taken.
    Acknowledged,
    /// Another version is current than the one it is built on.
    Stale {
        /// The number that was said to be current, if it was said.
        current: Option<u64>,
    },
    /// It is invalid, or its number is not above the current one.
    Invalid,
}

struct Attempt {
    order: OrderId,
    requested_at: MonotonicTime,
    answer: Option<(MonotonicTime, Answer)>,
}

/// What one reading gave.
#[derive(Clone, PartialEq, Debug)]
pub struct Reading {
    /// When it was asked for.
    pub requested_at: MonotonicTime,
    /// When it was heard.
    pub received_at: MonotonicTime,
    /// The number of the version; zero before the first.
    pub number: u64,
    /// The configuration.
    pub content: Value,
    /// The evacuated zones.
    pub evacuated: BTreeSet<String>,
}

/// An evacuation, or the end of one, with all its sendings.
struct ZoneOrder {
    zone: String,
    evacuate: bool,
    requested_at: MonotonicTime,
    /// When it was acknowledged; or when it was given up, and can have no effect any more.
    ended_at: Option<MonotonicTime>,
    is_acknowledged: bool,
}

/// All that operators sent and heard.
#[derive(Default)]
pub struct History {
    orders: Vec<Order>,
    attempts: Vec<Attempt>,
    readings: Vec<Reading>,
    zone_orders: Vec<ZoneOrder>,
}

impl History {
    /// Notes an order before it is first sent.
    pub fn order(&mut self, order: Order) -> OrderId {
        self.orders.push(order);
        OrderId(self.orders.len() - 1)
    }

    /// An order is sent, for the first time or again.
    pub fn record_attempt(&mut self, at: MonotonicTime, order: OrderId) -> AttemptId {
        self.attempts.push(Attempt {
            order,
            requested_at: at,
            answer: None,
        });
        AttemptId(self.attempts.len() - 1)
    }

    /// A clear answer to a sending is heard.
    pub fn record_answer(&mut self, at: MonotonicTime, attempt: AttemptId, answer: Answer) {
        self.attempts[attempt.0].answer = Some((at, answer));
    }

    /// A reading is heard.
    pub fn record_reading(&mut self, reading: Reading) {
        self.readings.push(reading);
    }

    /// A zone is to be evacuated, or that is to end.
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
            ended_at: None,
            is_acknowledged: false,
        });
        ZoneOrderId(self.zone_orders.len() - 1)
    }

    /// An order about a zone is acknowledged.
    pub fn zone_order_acknowledged(&mut self, at: MonotonicTime, order: ZoneOrderId) {
        let zone_order = &mut self.zone_orders[order.0];
        zone_order.ended_at = Some(at);
        zone_order.is_acknowledged = true;
    }

    /// An order about a zone was given up; from this moment on it has no effect.
    pub fn zone_order_abandoned(&mut self, at: MonotonicTime, order: ZoneOrderId) {
        self.zone_orders[order.0].ended_at.get_or_insert(at);
    }

    /// The newest number that was acknowledged or read; zero before the first.
    pub fn newest_number(&self) -> u64 {
        let read_numbers = self.readings.iter().map(|reading| reading.number);
        let acknowledged = self.orders.iter().enumerate().filter_map(|(index, order)| {
            self.acknowledged_at(OrderId(index)).map(|_| order.number)
        });
        read_numbers.chain(acknowledged).max().unwrap_or(0)
    }

    /// How many answers and readings can be judged.
    pub fn judged_count(&self) -> usize {
        let answered = self
            .attempts
            .iter()
            .filter(|attempt| attempt.answer.is_some())
            .count();
        answered + self.readings.len() + self.zone_orders.len()
    }

    /// What cannot be explained, if the configuration was this before the first order.
    pub fn judge(&self, first_content: &Value) -> Vec<Anomaly> {
        let mut anomalies = register::judge(self, first_content);
        anomalies.extend(zones::judge(self));
        anomalies
    }

    fn attempts_of(&self, order: OrderId) -> impl Iterator<Item = &Attempt> {
        self.attempts
            .iter()
            .filter(move |attempt| attempt.order == order)
    }

    fn first_sent_at(&self, order: OrderId) -> Option<MonotonicTime> {
        self.attempts_of(order)
            .map(|attempt| attempt.requested_at)
            .min()
    }

    fn acknowledged_at(&self, order: OrderId) -> Option<MonotonicTime> {
        let answers = self.attempts_of(order).filter_map(|attempt| attempt.answer);
        answers
            .filter(|(_, answer)| *answer == Answer::Acknowledged)
            .map(|(received_at, _)| received_at)
            .min()
    }
}
