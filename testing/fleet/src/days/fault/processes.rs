//! Faults of processes, which are killed, frozen, stopped gracefully or lose their disks.

use super::{FaultInjector, machines_of, pause};
use crate::fleet::{Fleet, FleetError};
use serde_json::json;
use std::time::Duration;

/// The grace period of a process that is stopped gracefully.
const STOP_GRACE: Duration = Duration::from_secs(6);
/// The time for which a killed process is down, in milliseconds.
const DOWN_MS: u64 = 3000;
/// The time for which a process is down that was stopped or lost its disk, or was killed with all others, in
/// milliseconds.
const RESTART_DELAY_MS: u64 = 1000;

/// The time for the other controllers to replace a lost voter, which they do when it has been silent for 8 s, in
/// milliseconds.
const VOTER_REPLACEMENT_MS: u64 = 14_000;

/// Returns every third daemon.
fn every_third_daemon(fleet: &Fleet) -> Vec<String> {
    fleet.running("daemon").iter().step_by(3).cloned().collect()
}

async fn kill_and_restart(fleet: &mut Fleet, name: &str) -> Result<(), FleetError> {
    fleet.kill(name).await;
    pause(DOWN_MS).await;
    fleet.launch(name).await
}

async fn stop_and_restart(fleet: &mut Fleet, name: &str) -> Result<(), FleetError> {
    fleet.stop(name, STOP_GRACE).await;
    pause(RESTART_DELAY_MS).await;
    fleet.launch(name).await
}

async fn freeze_for(fleet: &mut Fleet, names: &[String], duration_ms: u64) {
    names.iter().for_each(|name| fleet.freeze(name));
    pause(duration_ms).await;
    names.iter().for_each(|name| fleet.resume(name));
}

impl FaultInjector<'_> {
    pub(super) async fn kill_one(&mut self, fleet: &mut Fleet) -> Result<(), FleetError> {
        let names = fleet.running("daemon");
        let Some(name) = self.choose_one(&names) else {
            return Ok(());
        };
        kill_and_restart(fleet, &name).await
    }

    pub(super) async fn kill_group(&self, fleet: &mut Fleet) -> Result<(), FleetError> {
        let group = every_third_daemon(fleet);
        fleet.kill_all(&group).await;
        pause(DOWN_MS).await;
        fleet.launch_all(&group).await
    }

    pub(super) async fn kill_leader(&self, fleet: &mut Fleet) -> Result<(), FleetError> {
        let Some(name) = fleet.leader().await else {
            return Ok(());
        };
        kill_and_restart(fleet, &name).await
    }

    pub(super) async fn lose_disk(&mut self, fleet: &mut Fleet) -> Result<(), FleetError> {
        let Some(name) = self.choose_follower(fleet).await else {
            return Ok(());
        };
        fleet.kill(&name).await;
        fleet.lose_disk(&name);
        pause(RESTART_DELAY_MS).await;
        fleet.launch(&name).await
    }

    /// Kills a follower permanently, starts an empty controller at a new address, and gives it time to become a voter.
    pub(super) async fn replace_voter(&mut self, fleet: &mut Fleet) -> Result<(), FleetError> {
        let Some(name) = self.choose_follower(fleet).await else {
            return Ok(());
        };
        let zone = fleet.layout.machines[&name].zone.clone();
        fleet.kill(&name).await;
        fleet.layout.machines.remove(&name);
        let spare_name = format!("spare-{}", self.rng.below(1 << 20));
        fleet.layout.add_controller(&spare_name, &zone)?;
        fleet.launch(&spare_name).await?;
        pause(VOTER_REPLACEMENT_MS).await;
        Ok(())
    }

    pub(super) async fn freeze_holder(&self, fleet: &mut Fleet) -> Result<(), FleetError> {
        let Some(name) = fleet.busiest_holder().await else {
            return Ok(());
        };
        freeze_for(fleet, &[name], 6000).await;
        Ok(())
    }

    pub(super) async fn freeze_leader(&self, fleet: &mut Fleet) -> Result<(), FleetError> {
        let Some(name) = fleet.leader().await else {
            return Ok(());
        };
        freeze_for(fleet, &[name], 4000).await;
        Ok(())
    }

    pub(super) async fn freeze_group(&self, fleet: &mut Fleet) -> Result<(), FleetError> {
        let group = every_third_daemon(fleet);
        freeze_for(fleet, &group, 4000).await;
        Ok(())
    }

    pub(super) async fn stop_one(&mut self, fleet: &mut Fleet) -> Result<(), FleetError> {
        let names = fleet.running("daemon");
        let Some(name) = self.choose_one(&names) else {
            return Ok(());
        };
        stop_and_restart(fleet, &name).await
    }

    pub(super) async fn stop_holder(&self, fleet: &mut Fleet) -> Result<(), FleetError> {
        let Some(name) = fleet.busiest_holder().await else {
            return Ok(());
        };
        stop_and_restart(fleet, &name).await
    }

    pub(super) async fn restart_all(&self, fleet: &mut Fleet) -> Result<(), FleetError> {
        let names = [fleet.running("daemon"), fleet.running("controller")].concat();
        fleet.kill_all(&names).await;
        pause(RESTART_DELAY_MS).await;
        fleet.launch_all(&names).await
    }

    pub(super) async fn rolling_restart(&self, fleet: &mut Fleet) -> Result<(), FleetError> {
        let names = [fleet.running("daemon"), fleet.running("controller")].concat();
        for name in names {
            fleet.stop(&name, STOP_GRACE).await;
            fleet.launch(&name).await?;
            pause(2500).await;
        }
        Ok(())
    }

    pub(super) async fn group_loses_disk(&mut self, fleet: &mut Fleet) -> Result<(), FleetError> {
        let group = every_third_daemon(fleet);
        let Some(follower) = self.choose_follower(fleet).await else {
            return Ok(());
        };
        fleet.kill_all(&group).await;
        fleet.kill(&follower).await;
        fleet.lose_disk(&follower);
        pause(DOWN_MS).await;
        fleet.launch_all(&group).await?;
        fleet.launch(&follower).await
    }

    pub(super) async fn lose_zone(&mut self, fleet: &mut Fleet) -> Result<(), FleetError> {
        let zone = self.choose_zone();
        let lost_machines = machines_of(fleet, &zone);
        let workers = fleet.workers_of(&zone).await;
        fleet.kill_all(&lost_machines).await;
        for worker in &workers {
            fleet
                .post_to_platform(&format!("/v1/workers/{worker}/crash"), &json!({}))
                .await?;
        }
        pause(5000).await;
        for worker in &workers {
            fleet
                .post_to_platform(&format!("/v1/workers/{worker}/restore"), &json!({}))
                .await?;
        }
        fleet.launch_all(&lost_machines).await
    }
}
