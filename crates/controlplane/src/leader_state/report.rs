//! Reports on the leader's state for operators. The keys are part of their interface and stay as they are.

use super::LeaderState;
use common::clock::MonotonicTime;
use common::identity::Zone;
use serde_json::{Value, json};
use std::collections::BTreeSet;

impl LeaderState {
    /// The members, as operators read them.
    pub fn report_members(&self, now: MonotonicTime) -> Value {
        let rows: Vec<Value> = self
            .members
            .records
            .iter()
            .map(|(known_member, record)| {
                json!({
                    "member": known_member.member.as_str(),
                    "incarnation": known_member.incarnation.0,
                    "locality": record.host.zone.as_str(),
                    "place": record.host.address.to_string(),
                    "door": record.ingress.to_string(),
                    "connected": record.stream.is_some(),
                    "eligible": record.host.eligible.0,
                    "granted": record.lease_expires_at > now,
                    "grant_left_ms": record.lease_expires_at.since(now).as_millis() as u64,
                    "installed": record.installed.0,
                    "claimed": record.claimed,
                })
            })
            .collect();
        json!({"members": rows, "open": self.claims.is_open})
    }

    /// The function leases, as operators read them.
    pub fn report_holders(&self) -> Value {
        let rows: Vec<Value> = self
            .lease_records
            .iter()
            .map(|(function, entry)| {
                let runners: Vec<String> = self
                    .reservations
                    .all_of(function)
                    .map(|(runner, _)| runner.to_string())
                    .collect();
                json!({
                    "function": function.to_string(),
                    "member": entry.holder.member.as_str(),
                    "grant": entry.fencing_token.0,
                    "fencing": entry.fencing_since.is_some(),
                    "handing_over": entry.handing_over,
                    "runners": runners,
                })
            })
            .collect();
        json!({"holders": rows})
    }

    /// The workers, as operators read them.
    pub fn report_workers(&self) -> Value {
        let reserved_mb_sums = self.reserved_mb();
        let rows: Vec<Value> = self
            .workers
            .records
            .values()
            .map(|record| {
                let worker = &record.listed.worker;
                json!({
                    "worker": worker.as_str(),
                    "locality": record.listed.zone.as_str(),
                    "memory_mb": record.listed.memory_mb,
                    "reserved_mb": reserved_mb_sums.get(worker).copied().unwrap_or(0),
                    "draining": record.listed.draining,
                })
            })
            .collect();
        json!({"workers": rows})
    }

    /// The runners, as operators read them.
    pub fn report_runners(&self) -> Value {
        let rows: Vec<Value> = self
            .reservations
            .iter()
            .map(|(runner, reservation)| {
                json!({
                    "runner": runner.to_string(),
                    "function": reservation.function.to_string(),
                    "worker": reservation.worker.as_str(),
                    "memory_mb": reservation.memory_mb,
                    "ready": reservation.ready,
                    "draining": reservation.draining,
                    "left": reservation.is_orphaned(),
                    "life": reservation.instance.as_ref().map(|instance| instance.name.as_str()),
                })
            })
            .collect();
        json!({"runners": rows})
    }

    /// Counts for the metrics: open streams, function leases, runners, workers in use.
    pub fn counts(&self) -> [(&'static str, u64); 4] {
        [
            ("members", self.members.streams.len() as u64),
            ("holders", self.lease_records.len() as u64),
            ("runners", self.reservations.len() as u64),
            ("workers_used", self.reserved_mb().len() as u64),
        ]
    }

    /// Every zone with a member or a worker.
    pub fn known_zones(&self) -> BTreeSet<Zone> {
        let member_zones = self
            .members
            .records
            .values()
            .map(|record| record.host.zone.clone());
        let worker_zones = self
            .workers
            .records
            .values()
            .map(|record| record.listed.zone.clone());
        member_zones.chain(worker_zones).collect()
    }
}
