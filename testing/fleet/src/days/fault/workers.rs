//! Faults of the platform and its runners: drained and crashed workers, evacuated zones, and leaving or misbehaving
//! runners.

use super::{FaultInjector, pause};
use crate::fleet::{Fleet, FleetError};
use serde_json::{Value, json};
use std::collections::BTreeSet;

impl FaultInjector<'_> {
    /// Drains or crashes a worker in use, and restores it after a while.
    pub(super) async fn disrupt_worker(
        &mut self,
        fleet: &Fleet,
        action: &str,
        restore_after_ms: u64,
    ) -> Result<(), FleetError> {
        let worker = self.choose_worker(fleet).await;
        fleet
            .post_to_platform(&format!("/v1/workers/{worker}/{action}"), &json!({}))
            .await?;
        pause(restore_after_ms).await;
        fleet
            .post_to_platform(&format!("/v1/workers/{worker}/restore"), &json!({}))
            .await
    }

    /// Makes every fourth runner announce that it leaves, and waits until they have stopped.
    pub(super) async fn announce_runners_leaving(&self, fleet: &Fleet) -> Result<(), FleetError> {
        let (_, body) = fleet
            .call_operators(hyper::Method::GET, "/v1/runners", None)
            .await?;
        let rows = body["runners"].as_array().cloned().unwrap_or_default();
        for row in rows.iter().step_by(4) {
            let Some(runner) = row["runner"].as_str() else {
                continue;
            };
            fleet
                .post_to_platform(&format!("/v1/runners/{runner}/leave"), &json!({}))
                .await?;
        }
        pause(7000).await;
        Ok(())
    }

    async fn choose_worker(&mut self, fleet: &Fleet) -> String {
        let used_workers: Vec<String> = match fleet
            .call_operators(hyper::Method::GET, "/v1/workers", None)
            .await
        {
            Ok((_, body)) => body["workers"]
                .as_array()
                .into_iter()
                .flatten()
                .filter(|row| row["reserved_mb"].as_u64() > Some(0))
                .filter_map(|row| row["worker"].as_str().map(str::to_owned))
                .collect(),
            Err(_) => Vec::new(),
        };
        self.choose_one(&used_workers)
            .unwrap_or_else(|| "worker-00".to_owned())
    }

    pub(super) async fn evacuate(&mut self, fleet: &mut Fleet) -> Result<(), FleetError> {
        let zones = fleet
            .layout
            .machines
            .values()
            .map(|machine| machine.zone.clone());
        let named_zones: BTreeSet<String> = zones.filter(|name| !name.is_empty()).collect();
        let names: Vec<String> = named_zones.into_iter().collect();
        let Some(zone) = self.choose_one(&names) else {
            return Ok(());
        };
        for action in ["evacuate", "restore"] {
            let body = json!({"change_id": fleet.next_change_id()});
            let path = format!("/v1/localities/{zone}/{action}");
            let response = fleet
                .call_operators(hyper::Method::POST, &path, Some(&body))
                .await;
            let status = response.as_ref().map_or(0, |(status, _)| *status);
            fleet.record_event(
                "locality",
                json!({"locality": zone, "deed": action, "status": status}),
            );
            if action == "evacuate" {
                pause(9000).await;
            }
        }
        Ok(())
    }

    /// Makes runners lose one answer in twenty.
    pub(super) async fn lose_answers(&self, fleet: &Fleet) -> Result<(), FleetError> {
        self.inject_runner_faults(fleet, json!({"lose": 0.05}))
            .await
    }

    /// Makes runners send wrong bodies, truncated ones, and answers to other requests.
    pub(super) async fn corrupt_answers(&self, fleet: &Fleet) -> Result<(), FleetError> {
        let shares = json!({"wrong": 0.02, "short": 0.02, "foreign": 0.02});
        self.inject_runner_faults(fleet, shares).await
    }

    /// Makes runners refuse requests, and break off connections without running the requests.
    pub(super) async fn refuse_requests(&self, fleet: &Fleet) -> Result<(), FleetError> {
        self.inject_runner_faults(fleet, json!({"refuse": 0.05, "break_off": 0.05}))
            .await
    }

    /// Sets the shares of requests with which runners misbehave for ten seconds.
    async fn inject_runner_faults(&self, fleet: &Fleet, shares: Value) -> Result<(), FleetError> {
        fleet.post_to_platform("/v1/runner-faults", &shares).await?;
        pause(10_000).await;
        fleet
            .post_to_platform("/v1/runner-faults", &json!({}))
            .await
    }
}
