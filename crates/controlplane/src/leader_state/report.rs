use super::LeaderState;
use common::clock::Moment;
use serde_json::{Value, json};

impl LeaderState {
    /// The daemons, for operators.
    pub fn report_members(&self, now: Moment) -> Value {
        let rows: Vec<Value> = self
            .members
            .iter()
            .map(|(known_member, record)| {
                json!({
                    "member": known_member.member.as_str(),
                    "incarnation": known_member.incarnation.0,
                    "locality": record.host.zone.as_str(),
                    "place": record.host.place.to_string(),
                    "door": record.door.to_string(),
                    "connected": record.stream.is_some(),
                    "eligible": record.host.eligible.0,
                    "granted": record.grant_end > now,
                    "grant_left_ms": record.grant_end.since(now).as_millis() as u64,
                    "installed": record.installed.0,
                    "claimed": record.claimed,
                })
            })
            .collect();
        json!({"members": rows, "open": self.opened})
    }

    /// The holders, for operators.
    pub fn report_holders(&self) -> Value {
        let rows: Vec<Value> = self
            .entries
            .iter()
            .map(|(function, entry)| {
                let runners: Vec<String> =
                    self.reservations.of(function).map(|(runner, _)| runner.to_string()).collect();
                json!({
                    "function": function.to_string(),
                    "member": entry.holder.member.as_str(),
                    "grant": entry.grant.0,
                    "fencing": entry.fencing_since.is_some(),
                    "handing_over": entry.handing_over,
                    "runners": runners,
                })
            })
            .collect();
        json!({"holders": rows})
    }

    /// The workers, for operators.
    pub fn report_workers(&self) -> Value {
        let reserved_sums = self.reserved_mb();
        let rows: Vec<Value> = self
            .workers
            .values()
            .map(|record| {
                let worker = &record.listed.worker;
                json!({
                    "worker": worker.as_str(),
                    "locality": record.listed.zone.as_str(),
                    "memory_mb": record.listed.memory_mb,
                    "reserved_mb": reserved_sums.get(worker).copied().unwrap_or(0),
                    "draining": record.listed.draining,
                })
            })
            .collect();
        json!({"workers": rows})
    }

    /// The runners, for operators.
    pub fn report_runners(&self) -> Value {
        let rows: Vec<Value> = self
            .reservations
            .iter()
            .map(|(runner, held)| {
                json!({
                    "runner": runner.to_string(),
                    "function": held.function.to_string(),
                    "worker": held.worker.as_str(),
                    "memory_mb": held.memory_mb,
                    "ready": held.ready,
                    "draining": held.draining,
                    "left": held.is_left(),
                    "life": held.life.as_ref().map(|life| life.name.as_str()),
                })
            })
            .collect();
        json!({"runners": rows})
    }

    /// Counts for the metrics page: members, entries, runners, workers in use.
    pub fn counts(&self) -> [(&'static str, u64); 4] {
        [
            ("members", self.streams.len() as u64),
            ("holders", self.entries.len() as u64),
            ("runners", self.reservations.len() as u64),
            ("workers_used", self.reserved_mb().len() as u64),
        ]
    }
}

impl LeaderState {
    /// Every zone that a daemon or worker stands in.
    pub fn known_zones(&self) -> std::collections::BTreeSet<common::identity::Zone> {
        let member_zones = self.members.values().map(|record| record.host.zone.clone());
        let worker_zones = self.workers.values().map(|record| record.listed.zone.clone());
        member_zones.chain(worker_zones).collect()
    }
}
