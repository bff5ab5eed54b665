//! Faults of the controllers' disks: full, stalled or failing.

use super::{FaultInjector, pause};
use crate::fleet::{Fleet, FleetError};
use serde_json::json;

impl FaultInjector<'_> {
    pub(super) async fn fail_leader_disk(
        &self,
        fleet: &mut Fleet,
        disk_fault: &str,
    ) -> Result<(), FleetError> {
        let Some(leader) = fleet.leader().await else {
            return Ok(());
        };
        self.fail_disk(fleet, &leader, disk_fault).await
    }

    pub(super) async fn fail_follower_disk(
        &mut self,
        fleet: &mut Fleet,
        disk_fault: &str,
    ) -> Result<(), FleetError> {
        let Some(follower) = self.choose_follower(fleet).await else {
            return Ok(());
        };
        self.fail_disk(fleet, &follower, disk_fault).await
    }

    /// Injects a disk fault and sends changes meanwhile, which may fail or have an unknown outcome.
    async fn fail_disk(
        &self,
        fleet: &mut Fleet,
        name: &str,
        disk_fault: &str,
    ) -> Result<(), FleetError> {
        let control_file = fleet.layout.disk_file(name);
        let at = |error| FleetError::Io(control_file.clone(), error);
        std::fs::write(&control_file, disk_fault).map_err(at)?;
        for _ in 0..4 {
            pause(1500).await;
            if let Err(error) = self.switch_canary(fleet, "accepted").await {
                fleet.record_event("change_failed", json!({"why": error.to_string()}));
            }
        }
        std::fs::remove_file(&control_file).map_err(at)
    }
}
