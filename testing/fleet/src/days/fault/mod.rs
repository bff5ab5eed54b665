//! The faults of a day: their catalogue, and how each is injected and undone.

mod call_bursts;
mod catalogue;
mod disks;
mod network;
mod processes;
mod spec_changes;
mod workers;

pub use catalogue::FaultName;

use super::Deployment;
use crate::fleet::{Fleet, FleetError};
use catalogue::is_heavy;
use common::rng::SeededRng;
use serde_json::json;
use std::time::Duration;

/// Injects a fault into a fleet.
pub struct FaultInjector<'a> {
    /// The fault.
    pub name: FaultName,
    /// The deployment that the fleet runs.
    pub deployment: Deployment,
    /// The generator that chooses the targets.
    pub rng: &'a mut SeededRng,
}

async fn pause(duration_ms: u64) {
    tokio::time::sleep(Duration::from_millis(duration_ms)).await;
}

/// Returns the names of the machines in a zone.
fn machines_of(fleet: &Fleet, zone: &str) -> Vec<String> {
    let machines = fleet
        .layout
        .machines
        .values()
        .filter(|machine| machine.zone == zone);
    machines.map(|machine| machine.name.clone()).collect()
}

impl FaultInjector<'_> {
    /// Injects the fault, waits for as long as it lasts, and undoes it unless it is permanent.
    ///
    /// # Errors
    /// Fails if an action on the fleet fails; the fault may then have been injected in part.
    pub async fn inject(&mut self, fleet: &mut Fleet) -> Result<(), FleetError> {
        fleet.record_event(
            "fault",
            json!({"fault": self.name.as_str(), "heavy": is_heavy(self.name)}),
        );
        self.apply(fleet).await?;
        fleet.record_event(
            "returned",
            json!({"fault": self.name.as_str(), "heavy": is_heavy(self.name)}),
        );
        Ok(())
    }

    fn choose_one(&mut self, names: &[String]) -> Option<String> {
        let index = self.rng.below(names.len() as u64) as usize;
        names.get(index).cloned()
    }

    async fn choose_follower(&mut self, fleet: &Fleet) -> Option<String> {
        let leader = fleet.leader().await;
        let followers: Vec<String> = fleet
            .running("controller")
            .into_iter()
            .filter(|name| Some(name) != leader.as_ref())
            .collect();
        self.choose_one(&followers)
    }

    fn choose_zone(&mut self) -> String {
        format!("locality-{}", 1 + self.rng.below(3))
    }

    /// Injects and undoes the fault. Does nothing if there is no suitable target.
    async fn apply(&mut self, fleet: &mut Fleet) -> Result<(), FleetError> {
        match self.name {
            FaultName::SpecChange => self.switch_canary(fleet, "accepted").await,
            FaultName::SpecStorm => self.send_change_storm(fleet).await,
            FaultName::SpecRace => self.race_changes(fleet).await,
            FaultName::SpecInvalid => self.send_invalid(fleet).await,
            FaultName::SpecGrow => self.grow_spec(fleet).await,
            FaultName::SpecRoutes => self.switch_routes(fleet).await,
            FaultName::KillOne => self.kill_one(fleet).await,
            FaultName::KillGroup => self.kill_group(fleet).await,
            FaultName::KillLeader => self.kill_leader(fleet).await,
            FaultName::KillAfterAck => {
                self.switch_canary(fleet, "accepted").await?;
                self.kill_leader(fleet).await
            }
            FaultName::LoseDisk => self.lose_disk(fleet).await,
            FaultName::ReplaceVoter => self.replace_voter(fleet).await,
            FaultName::GroupLosesDisk => self.group_loses_disk(fleet).await,
            FaultName::LoseZone => self.lose_zone(fleet).await,
            FaultName::RestartAll => self.restart_all(fleet).await,
            FaultName::RollingRestart => self.rolling_restart(fleet).await,
            FaultName::FreezeHolder => self.freeze_holder(fleet).await,
            FaultName::FreezeLeader => self.freeze_leader(fleet).await,
            FaultName::FreezeGroup => self.freeze_group(fleet).await,
            FaultName::StopOne => self.stop_one(fleet).await,
            FaultName::StopHolder => self.stop_holder(fleet).await,
            FaultName::PartitionQuorum => self.partition_quorum(fleet).await,
            FaultName::IsolateHolder => self.isolate_holder(fleet).await,
            FaultName::IsolateZone => self.isolate_zone(fleet).await,
            FaultName::BlockOneDirection => self.block_one_direction(fleet).await,
            FaultName::SlowNetwork => self.slow_network(fleet).await,
            FaultName::DiskFull => self.fail_leader_disk(fleet, "full").await,
            FaultName::DiskStalls => self.fail_leader_disk(fleet, "stalled").await,
            FaultName::DiskFails => self.fail_follower_disk(fleet, "failing").await,
            FaultName::RunnerLeaves => self.announce_runners_leaving(fleet).await,
            FaultName::DrainWorker => self.disrupt_worker(fleet, "drain", 6000).await,
            FaultName::CrashWorker => self.disrupt_worker(fleet, "crash", 3000).await,
            FaultName::Evacuate => self.evacuate(fleet).await,
            FaultName::LostAnswers => self.lose_answers(fleet).await,
            FaultName::WrongBytes => self.corrupt_answers(fleet).await,
            FaultName::Refusals => self.refuse_requests(fleet).await,
            FaultName::CallBurst | FaultName::RareCallBurst => self.send_burst(fleet).await,
        }
    }
}
