//! The check of a chain of versions against the times at which replies and readings arrived.

use super::chain::{RegisterVersion, VersionChainSearch};
use super::{Anomaly, Answer, History, OrderId};
use common::clock::MonotonicTime;
use serde_json::Value;
use std::collections::BTreeMap;

/// The number of chains that are checked before an ambiguous history counts as unexplained.
const MAX_CHAINS: usize = 256;

/// The interval in which a version must have become current; contradictory if `earliest` is after `latest`.
#[derive(Clone, Copy)]
struct TimeInterval {
    earliest: MonotonicTime,
    latest: MonotonicTime,
}

impl TimeInterval {
    fn raise_earliest(&mut self, at: MonotonicTime) {
        self.earliest = self.earliest.max(at);
    }

    fn lower_latest(&mut self, at: MonotonicTime) {
        self.latest = self.latest.min(at);
    }
}

/// Checks orders and readings of the configuration: a history is explained if one of its chains is. If none is, the
/// anomalies of the first and likeliest chain are returned.
pub(crate) fn find_anomalies(history: &History, first_content: &Value) -> Vec<Anomaly> {
    let mut anomalies = find_acknowledgement_anomalies(history);
    if !anomalies.is_empty() {
        return anomalies;
    }
    let mut search = VersionChainSearch::new(history, first_content);
    for tried_count in 0..MAX_CHAINS {
        let Some(chain) = search.next_chain() else {
            if tried_count == 0 {
                anomalies.push(search.unreachable_version());
            }
            return anomalies;
        };
        let mut chain_anomalies = Vec::new();
        VersionIntervals::of(history, &chain).find_anomalies(&mut chain_anomalies);
        if chain_anomalies.is_empty() {
            return Vec::new();
        }
        if tried_count == 0 {
            anomalies = chain_anomalies;
        }
    }
    anomalies
}

/// Finds anomalies that are visible in the acknowledgements alone: invalid orders, and two orders with the same number
/// or base.
fn find_acknowledgement_anomalies(history: &History) -> Vec<Anomaly> {
    let mut anomalies = Vec::new();
    let mut by_number: BTreeMap<u64, OrderId> = BTreeMap::new();
    let mut by_base: BTreeMap<u64, OrderId> = BTreeMap::new();
    for (index, order) in history.orders.iter().enumerate() {
        let id = OrderId(index);
        if history.acknowledged_at(id).is_none() {
            continue;
        }
        if !order.is_valid || order.number <= order.base {
            anomalies.push(Anomaly::InvalidAcknowledged(id));
        }
        if let Some(other) = by_number.insert(order.number, id) {
            let orders = (other, id);
            anomalies.push(Anomaly::DuplicateNumber {
                number: order.number,
                orders,
            });
        } else if let Some(other) = by_base.insert(order.base, id) {
            anomalies.push(Anomaly::DuplicateBase {
                base: order.base,
                orders: (other, id),
            });
        }
    }
    anomalies
}

/// A chain, and for each version the interval in which it became current.
struct VersionIntervals<'a> {
    history: &'a History,
    chain: &'a [RegisterVersion],
    intervals: Vec<TimeInterval>,
}

impl<'a> VersionIntervals<'a> {
    /// Bounds the time of each version by the first attempt at its order and by the order's acknowledgement.
    fn of(history: &'a History, chain: &'a [RegisterVersion]) -> Self {
        let intervals = chain
            .iter()
            .map(|version| TimeInterval {
                earliest: version
                    .order
                    .and_then(|order| history.first_sent_at(order))
                    .unwrap_or_default(),
                latest: version
                    .order
                    .and_then(|order| history.acknowledged_at(order))
                    .unwrap_or(MonotonicTime(u64::MAX)),
            })
            .collect();
        Self {
            history,
            chain,
            intervals,
        }
    }

    /// Narrows the intervals by readings and refusals, and adds the anomalies that result.
    fn find_anomalies(mut self, anomalies: &mut Vec<Anomaly>) {
        self.bound_by_readings();
        self.propagate_earliest();
        let history = self.history;
        let refusals = history.attempts.iter().filter_map(|attempt| {
            let (received_at, answer) = attempt.answer?;
            (answer != Answer::Acknowledged).then_some((attempt, received_at, answer))
        });
        for (attempt, received_at, answer) in refusals {
            let anomaly = match answer {
                Answer::Stale { .. } => {
                    self.bound_by_stale(attempt.order, attempt.requested_at, received_at)
                }
                _ => self.bound_by_invalid(attempt.order, received_at),
            };
            if let Some(anomaly) = anomaly.filter(|anomaly| !anomalies.contains(anomaly)) {
                anomalies.push(anomaly);
            }
        }
        self.propagate_earliest();
        for (version, interval) in self.chain.iter().zip(&self.intervals) {
            if interval.earliest > interval.latest {
                anomalies.push(Anomaly::NotCurrent {
                    number: version.number,
                });
            }
        }
    }

    fn index_of_number(&self, number: u64) -> Option<usize> {
        self.chain
            .binary_search_by_key(&number, |version| version.number)
            .ok()
    }

    fn index_of_order(&self, order: OrderId) -> Option<usize> {
        let number = self.history.orders[order.0].number;
        self.index_of_number(number)
            .filter(|index| self.chain[*index].order == Some(order))
    }

    /// Applies the bounds from readings, and from refusals that reported the current version.
    fn bound_by_readings(&mut self) {
        let history = self.history;
        for reading in &history.readings {
            self.bound_by_current(reading.number, reading.requested_at, reading.received_at);
        }
        for attempt in &history.attempts {
            if let Some((
                received_at,
                Answer::Stale {
                    current: Some(current),
                },
            )) = attempt.answer
            {
                self.bound_by_current(current, attempt.requested_at, received_at);
            }
        }
    }

    /// Applies the bounds from a version that was observed as current: it became current before the reply, and its
    /// successor after the request.
    fn bound_by_current(
        &mut self,
        number: u64,
        requested_at: MonotonicTime,
        received_at: MonotonicTime,
    ) {
        let Some(index) = self.index_of_number(number) else {
            return;
        };
        self.intervals[index].lower_latest(received_at);
        if let Some(next) = self.intervals.get_mut(index + 1) {
            next.raise_earliest(requested_at);
        }
    }

    /// Raises the lower bounds so that each version becomes current after its predecessor.
    fn propagate_earliest(&mut self) {
        let mut earliest = MonotonicTime::ZERO;
        for interval in &mut self.intervals {
            interval.raise_earliest(earliest);
            earliest = interval.earliest;
        }
    }

    /// Applies the bounds from a refusal as stale. It requires that the successor of the base version was current
    /// before the reply, unless the attempt began before the base version itself was current.
    fn bound_by_stale(
        &mut self,
        order: OrderId,
        requested_at: MonotonicTime,
        received_at: MonotonicTime,
    ) -> Option<Anomaly> {
        let base = self.history.orders[order.0].base;
        let base_index = self.index_of_number(base);
        let was_before_base =
            base_index.is_none_or(|index| requested_at < self.intervals[index].earliest);
        if self.index_of_order(order).is_some() {
            return (!was_before_base).then_some(Anomaly::AcceptedRefused(order));
        }
        let index = base_index.filter(|_| !was_before_base)?;
        match self.intervals.get_mut(index + 1) {
            Some(next) if next.earliest <= received_at => {
                next.lower_latest(received_at);
                None
            }
            _ => Some(Anomaly::CurrentRefused(order)),
        }
    }

    /// Applies the bounds from a refusal of a valid order as invalid. It requires that a version with the order's
    /// number or a higher one was current before the reply.
    fn bound_by_invalid(&mut self, order: OrderId, received_at: MonotonicTime) -> Option<Anomaly> {
        let refused_order = &self.history.orders[order.0];
        if !refused_order.is_valid {
            return None;
        }
        if self.index_of_order(order).is_some() {
            return Some(Anomaly::AcceptedRefused(order));
        }
        let first_above = self
            .chain
            .partition_point(|version| version.number < refused_order.number);
        match self.intervals.get_mut(first_above) {
            Some(interval) if interval.earliest <= received_at => {
                interval.lower_latest(received_at);
                None
            }
            _ => Some(Anomaly::ValidRefused(order)),
        }
    }
}
