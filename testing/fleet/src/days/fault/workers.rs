//! Faults of the users' platform and its runners: workers drained and crashed, zones evacuated, runners
//! that leave or answer wrongly.

use super::{Fault, pause};
use crate::fleet::{Fleet, FleetFault};
use serde_json::{Value, json};
use std::collections::BTreeSet;

impl Fault<'_> {
    /// Does something to a worker that is used, and restores it after a while.
    pub(super) async fn hurt_worker(
        &mut self,
        fleet: &Fleet,
        deed: &str,
        restore_after_ms: u64,
    ) -> Result<(), FleetFault> {
        let worker = self.some_worker(fleet).await;
        fleet.platform(&format!("/v1/workers/{worker}/{deed}"), &json!({})).await?;
        pause(restore_after_ms).await;
        fleet.platform(&format!("/v1/workers/{worker}/restore"), &json!({})).await
    }

    /// Every fourth runner says that it leaves.
    pub(super) async fn runners_leave(&self, fleet: &Fleet) -> Result<(), FleetFault> {
        let (_, body) = fleet.ask(hyper::Method::GET, "/v1/runners", None).await?;
        let rows = body["runners"].as_array().cloned().unwrap_or_default();
        for row in rows.iter().step_by(4) {
            let Some(runner) = row["runner"].as_str() else { continue };
            fleet.platform(&format!("/v1/runners/{runner}/leave"), &json!({})).await?;
        }
        pause(7000).await;
        Ok(())
    }

    async fn some_worker(&mut self, fleet: &Fleet) -> String {
        let used_workers: Vec<String> =
            match fleet.ask(hyper::Method::GET, "/v1/workers", None).await {
                Ok((_, body)) => body["workers"]
                    .as_array()
                    .into_iter()
                    .flatten()
                    .filter(|row| row["reserved_mb"].as_u64() > Some(0))
                    .filter_map(|row| row["worker"].as_str().map(str::to_owned))
                    .collect(),
                Err(_) => Vec::new(),
            };
        self.one_of(&used_workers).unwrap_or_else(|| "worker-00".to_owned())
    }

    pub(super) async fn evacuate(&mut self, fleet: &mut Fleet) -> Result<(), FleetFault> {
        let zones = fleet.layout.machines.values().map(|machine| machine.zone.clone());
        let named_zones: BTreeSet<String> = zones.filter(|name| !name.is_empty()).collect();
        let names: Vec<String> = named_zones.into_iter().collect();
        let Some(zone) = self.one_of(&names) else { return Ok(()) };
        for deed in ["evacuate", "restore"] {
            let body = json!({"change_id": fleet.change_id()});
            let path = format!("/v1/localities/{zone}/{deed}");
            let said = fleet.ask(hyper::Method::POST, &path, Some(&body)).await;
            let status = said.as_ref().map_or(0, |(status, _)| *status);
            fleet.note("locality", json!({"locality": zone, "deed": deed, "status": status}));
            if deed == "evacuate" {
                pause(9000).await;
            }
        }
        Ok(())
    }

    pub(super) async fn runner_faults(
        &self,
        fleet: &Fleet,
        shares: Value,
    ) -> Result<(), FleetFault> {
        fleet.platform("/v1/runner-faults", &shares).await?;
        pause(10_000).await;
        fleet.platform("/v1/runner-faults", &json!({})).await
    }
}
