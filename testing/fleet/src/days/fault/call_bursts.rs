//! Bursts of requests for a busy function, or for all rare functions.

use super::{FaultInjector, FaultName};
use crate::days::deployment::BUSY_ROUTE_WEIGHT;
use crate::fleet::{Fleet, FleetError};
use common::readers::SettingsSource;
use serde_json::json;

impl FaultInjector<'_> {
    pub(super) async fn send_burst(&mut self, fleet: &mut Fleet) -> Result<(), FleetError> {
        let caller_routes = self.deployment.caller_routes();
        let busy_count = caller_routes
            .iter()
            .filter(|route| route["weight"] == json!(BUSY_ROUTE_WEIGHT))
            .count();
        let is_rare = self.name == FaultName::RareCallBurst;
        let rare_count = caller_routes.len() - busy_count - 1;
        let burst = if is_rare {
            json!({"at_ms": 0, "lasts_ms": 500, "count": rare_count, "first_route": busy_count, "route_count": rare_count})
        } else {
            json!({"at_ms": 0, "lasts_ms": 3000, "count": 3000, "first_route": 0})
        };
        let number = self.rng.below(1 << 30);
        let records = fleet.folder().join(format!("callers-crowd-{number}.jsonl"));
        let plan = json!({
            "seed": number,
            "lasts_ms": 4000,
            "rate": 0.0,
            "doors": fleet.layout.ingresses().iter().map(ToString::to_string).collect::<Vec<_>>(),
            "platform": fleet.layout.platform.to_string(),
            "routes": caller_routes,
            "bursts": [burst],
            "records": records.display().to_string(),
        });
        let source = SettingsSource::from_value("crowd", plan);
        if let Ok(plan) = loadgen::Plan::read(&source) {
            let _ = loadgen::run_plan(plan).await;
        }
        Ok(())
    }
}
