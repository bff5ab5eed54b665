use super::{Anomaly, History, Reading, ZoneOrder};
use std::collections::BTreeSet;

/// The zones' part of the judgement: each reading is explained by an order that may have been the
/// last one carried out, or by none that surely was. What was read of a zone of a sequence of
/// readings is not compared among them.
pub fn judge(history: &History) -> Vec<Anomaly> {
    let zones: BTreeSet<&str> = history
        .zone_orders
        .iter()
        .map(|order| order.zone.as_str())
        .collect();
    let mut anomalies = Vec::new();
    for zone in zones {
        let orders: Vec<&ZoneOrder> = history
            .zone_orders
            .iter()
            .filter(|order| order.zone == zone)
            .collect();
        for reading in &history.readings {
            let evacuated = reading.evacuated.contains(zone);
            let anomaly = Anomaly::ZoneUnexplained {
                zone: zone.to_owned(),
                evacuated,
            };
            if !is_explained(&orders, reading, evacuated) && !anomalies.contains(&anomaly) {
                anomalies.push(anomaly);
            }
        }
    }
    anomalies
}

/// Whether an order of this kind, or the state before all orders, may be what the reading shows.
fn is_explained(orders: &[&ZoneOrder], reading: &Reading, evacuated: bool) -> bool {
    let certainly_done = |other: &ZoneOrder| {
        other.is_acknowledged
            && other
                .ended_at
                .is_some_and(|ended| ended < reading.requested_at)
    };
    let certainly_after = |order: &ZoneOrder, other: &ZoneOrder| {
        order
            .ended_at
            .is_some_and(|ended| ended < other.requested_at)
    };
    let is_first = !evacuated
        && !orders
            .iter()
            .any(|other| other.evacuate && certainly_done(other));
    is_first
        || orders.iter().any(|order| {
            let is_overridden = orders.iter().any(|other| {
                other.evacuate != evacuated
                    && certainly_done(other)
                    && certainly_after(order, other)
            });
            order.evacuate == evacuated
                && order.requested_at <= reading.received_at
                && !is_overridden
        })
}
