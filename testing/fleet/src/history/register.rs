use super::chain::{ChainSearch, Version};
use super::{Anomaly, Answer, History, OrderId};
use common::clock::Moment;
use serde_json::Value;
use std::collections::BTreeMap;

/// How many ways through ambiguous orders are judged before a history counts as unexplained.
const MOST_CHAINS: usize = 256;

/// The span in which a version must have become current.
#[derive(Clone, Copy)]
struct Span {
    earliest: Moment,
    latest: Moment,
}

impl Span {
    fn not_before(&mut self, at: Moment) {
        self.earliest = self.earliest.max(at);
    }

    fn not_after(&mut self, at: Moment) {
        self.latest = self.latest.min(at);
    }
}

/// The configuration's part of the judgement.
pub fn judge(history: &History, first_content: &Value) -> Vec<Anomaly> {
    let mut anomalies = judge_acknowledgements(history);
    if !anomalies.is_empty() {
        return anomalies;
    }
    let mut search = ChainSearch::new(history, first_content);
    for tried_count in 0..MOST_CHAINS {
        let Some(chain) = search.next_chain() else {
            if tried_count == 0 {
                anomalies.push(search.dead_end());
            }
            return anomalies;
        };
        let mut chain_anomalies = Vec::new();
        Times::of(history, &chain).judge(&mut chain_anomalies);
        if chain_anomalies.is_empty() {
            return Vec::new();
        }
        if tried_count == 0 {
            anomalies = chain_anomalies;
        }
    }
    anomalies
}

/// What acknowledgements alone show.
fn judge_acknowledgements(history: &History) -> Vec<Anomaly> {
    let mut anomalies = Vec::new();
    let mut by_number: BTreeMap<u64, OrderId> = BTreeMap::new();
    let mut by_base: BTreeMap<u64, OrderId> = BTreeMap::new();
    for (place, order) in history.orders.iter().enumerate() {
        let id = OrderId(place);
        if history.acknowledged_at(id).is_none() {
            continue;
        }
        if !order.is_valid || order.number <= order.base {
            anomalies.push(Anomaly::InvalidAcknowledged(id));
        }
        if let Some(other) = by_number.insert(order.number, id) {
            let orders = (other, id);
            anomalies.push(Anomaly::NumberTwice { number: order.number, orders });
        } else if let Some(other) = by_base.insert(order.base, id) {
            anomalies.push(Anomaly::BaseTwice { base: order.base, orders: (other, id) });
        }
    }
    anomalies
}

struct Times<'a> {
    history: &'a History,
    chain: &'a [Version],
    spans: Vec<Span>,
}

impl<'a> Times<'a> {
    fn of(history: &'a History, chain: &'a [Version]) -> Self {
        let spans = chain
            .iter()
            .map(|version| Span {
                earliest: version
                    .order
                    .and_then(|order| history.first_sent_at(order))
                    .unwrap_or_default(),
                latest: version
                    .order
                    .and_then(|order| history.acknowledged_at(order))
                    .unwrap_or(Moment(u64::MAX)),
            })
            .collect();
        Self { history, chain, spans }
    }

    fn judge(mut self, anomalies: &mut Vec<Anomaly>) {
        self.bound_by_readings();
        self.order_earliest();
        let history = self.history;
        let refusals = history.sendings.iter().filter_map(|sending| {
            let (heard_at, answer) = sending.answer?;
            (answer != Answer::Acknowledged).then_some((sending, heard_at, answer))
        });
        for (sending, heard_at, answer) in refusals {
            let anomaly = match answer {
                Answer::Stale { .. } => {
                    self.bound_by_stale(sending.order, sending.asked_at, heard_at)
                }
                _ => self.bound_by_invalid(sending.order, heard_at),
            };
            if let Some(anomaly) = anomaly.filter(|anomaly| !anomalies.contains(anomaly)) {
                anomalies.push(anomaly);
            }
        }
        self.order_earliest();
        for (version, span) in self.chain.iter().zip(&self.spans) {
            if span.earliest > span.latest {
                anomalies.push(Anomaly::OutOfTime { number: version.number });
            }
        }
    }

    fn place_of_number(&self, number: u64) -> Option<usize> {
        self.chain.binary_search_by_key(&number, |version| version.number).ok()
    }

    fn place_of_order(&self, order: OrderId) -> Option<usize> {
        let number = self.history.orders[order.0].number;
        self.place_of_number(number).filter(|place| self.chain[*place].order == Some(order))
    }

    /// A version that is read was current, and the next one was not yet, while it was read.
    fn bound_by_readings(&mut self) {
        let history = self.history;
        for reading in &history.readings {
            self.bound_by_current(reading.number, reading.asked_at, reading.heard_at);
        }
        for sending in &history.sendings {
            if let Some((heard_at, Answer::Stale { current: Some(current) })) = sending.answer {
                self.bound_by_current(current, sending.asked_at, heard_at);
            }
        }
    }

    fn bound_by_current(&mut self, number: u64, asked_at: Moment, heard_at: Moment) {
        let Some(place) = self.place_of_number(number) else { return };
        self.spans[place].not_after(heard_at);
        if let Some(next) = self.spans.get_mut(place + 1) {
            next.not_before(asked_at);
        }
    }

    /// Each version becomes current after the one before.
    fn order_earliest(&mut self) {
        let mut earliest = Moment::ZERO;
        for span in &mut self.spans {
            span.not_before(earliest);
            earliest = span.earliest;
        }
    }

    fn bound_by_stale(
        &mut self,
        order: OrderId,
        asked_at: Moment,
        heard_at: Moment,
    ) -> Option<Anomaly> {
        let base = self.history.orders[order.0].base;
        let base_place = self.place_of_number(base);
        let was_before_base = base_place.is_none_or(|place| asked_at < self.spans[place].earliest);
        if self.place_of_order(order).is_some() {
            return (!was_before_base).then_some(Anomaly::TakenRefused(order));
        }
        let place = base_place.filter(|_| !was_before_base)?;
        match self.spans.get_mut(place + 1) {
            Some(next) if next.earliest <= heard_at => {
                next.not_after(heard_at);
                None
            }
            _ => Some(Anomaly::CurrentRefused(order)),
        }
    }

    fn bound_by_invalid(&mut self, order: OrderId, heard_at: Moment) -> Option<Anomaly> {
        let asked = &self.history.orders[order.0];
        if !asked.is_valid {
            return None;
        }
        if self.place_of_order(order).is_some() {
            return Some(Anomaly::TakenRefused(order));
        }
        let first_above = self.chain.partition_point(|version| version.number < asked.number);
        match self.spans.get_mut(first_above) {
            Some(span) if span.earliest <= heard_at => {
                span.not_after(heard_at);
                None
            }
            _ => Some(Anomaly::ValidRefused(order)),
        }
    }
}
