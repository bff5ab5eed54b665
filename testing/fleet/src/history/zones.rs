//! The check of readings of zones against the orders to evacuate and restore them.

use super::{Anomaly, History, Reading, ZoneOrder};
use std::collections::BTreeSet;

/// Checks that each reading of a zone is explained by an order that may have been the latest to take effect, or by the
/// initial state if no order to evacuate certainly took effect. Readings are checked independently; they are not
/// compared with each other.
pub(crate) fn find_anomalies(history: &History) -> Vec<Anomaly> {
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

/// Whether the reading may result from some order, or from the state before all orders.
fn is_explained(orders: &[&ZoneOrder], reading: &Reading, evacuated: bool) -> bool {
    let is_done = |order: &ZoneOrder| order.is_done_before(reading.requested_at);
    let may_be_initial = !evacuated && !orders.iter().any(|order| order.evacuate && is_done(order));
    let may_be_latest = |order: &ZoneOrder| {
        let is_overridden = orders
            .iter()
            .any(|other| other.evacuate != evacuated && is_done(other) && order.precedes(other));
        order.evacuate == evacuated && order.requested_at <= reading.received_at && !is_overridden
    };
    may_be_initial || orders.iter().any(|order| may_be_latest(order))
}
