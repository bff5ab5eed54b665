//! Changes of the spec: concurrent ones, invalid ones, many in a row, and a large one.

use super::{FaultInjector, pause};
use crate::fleet::{Fleet, FleetError};
use serde_json::json;

/// The number of changes that are sent in a row.
const STORM_CHANGES: usize = 10;
/// The time after which an accepted change must be in force, 3 s, with a margin, in milliseconds.
const IN_FORCE_MS: u64 = 3300;

impl FaultInjector<'_> {
    pub(super) async fn switch_canary(
        &self,
        fleet: &mut Fleet,
        wait: &str,
    ) -> Result<(), FleetError> {
        let (version, mut spec) = fleet.spec().await?;
        let is_a = spec["routes"]["canary"]["function"] == json!("canary-a");
        spec["routes"]["canary"]["function"] = json!(if is_a { "canary-b" } else { "canary-a" });
        let change_id = fleet.next_change_id();
        fleet.put_spec(version, &change_id, &spec, wait).await?;
        Ok(())
    }

    pub(super) async fn send_change_storm(&self, fleet: &mut Fleet) -> Result<(), FleetError> {
        for _ in 0..STORM_CHANGES {
            self.switch_canary(fleet, "accepted").await?;
        }
        Ok(())
    }

    pub(super) async fn race_changes(&self, fleet: &mut Fleet) -> Result<(), FleetError> {
        let (version, spec) = fleet.spec().await?;
        let with_canary = |function: &str, extra: &str| {
            let mut changed_spec = spec.clone();
            changed_spec["routes"]["canary"]["function"] = json!(function);
            changed_spec["functions"][extra] = json!({"memory_mb": 64, "boot_ms": 100, "slots": 1});
            changed_spec
        };
        let first_spec = with_canary("canary-a", "racer-a");
        let second_spec = with_canary("canary-b", "racer-b");
        let (first_id, second_id) = (fleet.next_change_id(), fleet.next_change_id());
        let (first_response, second_response) = tokio::join!(
            fleet.put_spec(version, &first_id, &first_spec, "accepted"),
            fleet.put_spec(version, &second_id, &second_spec, "accepted"),
        );
        first_response?;
        second_response?;
        Ok(())
    }

    pub(super) async fn send_invalid(&self, fleet: &mut Fleet) -> Result<(), FleetError> {
        let (version, spec) = fleet.spec().await?;
        let mut invalid_spec = spec.clone();
        invalid_spec["functions"]["never"] = json!({"memory_mb": 0, "boot_ms": 100, "slots": 1});
        invalid_spec["routes"]["canary"]["function"] = json!("never");
        let change_id = fleet.next_change_id();
        fleet
            .put_spec(version, &change_id, &invalid_spec, "accepted")
            .await?;
        let mut stale_spec = spec.clone();
        stale_spec["functions"]["never"] = json!({"memory_mb": 64, "boot_ms": 100, "slots": 1});
        stale_spec["routes"]["canary"]["function"] = json!("never");
        let change_id = fleet.next_change_id();
        fleet
            .put_spec(
                version.saturating_sub(1),
                &change_id,
                &stale_spec,
                "accepted",
            )
            .await?;
        Ok(())
    }

    pub(super) async fn grow_spec(&self, fleet: &mut Fleet) -> Result<(), FleetError> {
        let (version, mut spec) = fleet.spec().await?;
        for number in 0..1000 {
            spec["routes"][format!("grown-{version}-{number}")] = json!({
                "method": "GET",
                "path": format!("/grown/{version}/{number}/{{part}}"),
                "function": "canary-a",
                "budget_ms": 2000,
                "kind": "repeatable",
            });
        }
        let change_id = fleet.next_change_id();
        fleet
            .put_spec(version, &change_id, &spec, "in_force")
            .await?;
        Ok(())
    }

    /// Adds a route, changes its function and removes it. After each change, once it must be in force, the path is
    /// called through every ingress.
    pub(super) async fn switch_routes(&mut self, fleet: &mut Fleet) -> Result<(), FleetError> {
        for function in [Some("canary-a"), Some("canary-b"), None] {
            let (version, mut spec) = fleet.spec().await?;
            match function {
                Some(function) => {
                    spec["routes"]["probe"] = json!({
                        "method": "POST", "path": "/probe", "function": function,
                        "budget_ms": 5000, "patience_ms": 4000, "kind": "repeatable",
                    });
                }
                None => {
                    if let Some(routes) = spec["routes"].as_object_mut() {
                        routes.remove("probe");
                    }
                }
            }
            let change_id = fleet.next_change_id();
            fleet
                .put_spec(version, &change_id, &spec, "accepted")
                .await?;
            pause(IN_FORCE_MS).await;
            self.call_each_ingress(fleet, "/probe").await;
        }
        Ok(())
    }

    async fn call_each_ingress(&mut self, fleet: &Fleet, path: &str) {
        for ingress in fleet.layout.ingresses() {
            let number = self.rng.below(1 << 30);
            let records = fleet.folder().join(format!("callers-probe-{number}.jsonl"));
            let plan = json!({
                "seed": number,
                "lasts_ms": 200,
                "rate": 0.0,
                "doors": [ingress.to_string()],
                "routes": [{
                    "method": "POST", "path": path, "function": "canary", "once": false,
                    "weight": 1, "budget_ms": [4000, 5000],
                }],
                "bursts": [{"at_ms": 0, "lasts_ms": 100, "count": 3, "first_route": 0}],
                "records": records.display().to_string(),
            });
            let source = common::readers::SettingsSource::from_value("probe", plan);
            if let Ok(plan) = loadgen::Plan::read(&source) {
                let _ = loadgen::run_plan(plan).await;
            }
        }
    }
}
