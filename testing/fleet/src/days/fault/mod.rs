//! The faults of a day of the fleet: which there are, and how each is caused and undone.

mod catalogue;
mod crowds;
mod disks;
mod network;
mod processes;
mod spec_changes;
mod workers;

pub use catalogue::FaultName;

use super::Deployment;
use crate::fleet::{Fleet, FleetFault};
use catalogue::is_heavy;
use common::chance::Chance;
use serde_json::json;
use std::time::Duration;

/// A fault that is about to be caused, and what it needs to know.
pub struct Fault<'a> {
    /// Which one.
    pub name: FaultName,
    /// The deployment.
    pub deployment: Deployment,
    /// Chance.
    pub chance: &'a mut Chance,
}

async fn pause(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// The machines of a zone.
fn machines_of(fleet: &Fleet, zone: &str) -> Vec<String> {
    let machines = fleet.layout.machines.values().filter(|machine| machine.zone == zone);
    machines.map(|machine| machine.name.clone()).collect()
}

impl Fault<'_> {
    /// Causes it, and undoes it where it is meant to pass.
    pub async fn cause(&mut self, fleet: &mut Fleet) -> Result<(), FleetFault> {
        fleet.note("fault", json!({"fault": self.name.as_str(), "heavy": is_heavy(self.name)}));
        self.hurt(fleet).await?;
        fleet.note("returned", json!({"fault": self.name.as_str(), "heavy": is_heavy(self.name)}));
        Ok(())
    }

    fn one_of(&mut self, names: &[String]) -> Option<String> {
        let place = self.chance.below(names.len() as u64) as usize;
        names.get(place).cloned()
    }

    async fn some_follower(&mut self, fleet: &Fleet) -> Option<String> {
        let leader = fleet.leader().await;
        let followers: Vec<String> = fleet
            .running("controller")
            .into_iter()
            .filter(|name| Some(name) != leader.as_ref())
            .collect();
        self.one_of(&followers)
    }

    fn some_zone(&mut self) -> String {
        format!("locality-{}", 1 + self.chance.below(3))
    }

    async fn hurt(&mut self, fleet: &mut Fleet) -> Result<(), FleetFault> {
        match self.name {
            FaultName::SpecChange => self.turn_canary(fleet, "accepted").await,
            FaultName::SpecStorm => self.storm(fleet).await,
            FaultName::SpecRace => self.race(fleet).await,
            FaultName::SpecInvalid => self.send_invalid(fleet).await,
            FaultName::SpecGrow => self.grow(fleet).await,
            FaultName::SpecRoutes => self.turn_routes(fleet).await,
            FaultName::KillOne => self.kill_one(fleet).await,
            FaultName::KillGroup => self.kill_group(fleet).await,
            FaultName::KillLeader => self.kill_leader(fleet).await,
            FaultName::KillAfterAck => {
                self.turn_canary(fleet, "accepted").await?;
                self.kill_leader(fleet).await
            }
            FaultName::LoseDisk => self.lose_disk(fleet).await,
            FaultName::ReplaceCore => self.replace_core(fleet).await,
            FaultName::GroupLosesDisk => self.group_loses_disk(fleet).await,
            FaultName::LoseZone => self.lose_zone(fleet).await,
            FaultName::RestartAll => self.restart_all(fleet).await,
            FaultName::RollingRestart => self.rolling_restart(fleet).await,
            FaultName::FreezeHolder => self.freeze_holder(fleet).await,
            FaultName::FreezeLeader => self.freeze_leader(fleet).await,
            FaultName::FreezeGroup => self.freeze_group(fleet).await,
            FaultName::StopOne => self.stop_one(fleet).await,
            FaultName::StopHolder => self.stop_holder(fleet).await,
            FaultName::CutCore => self.cut_core(fleet).await,
            FaultName::CutHolder => self.cut_holder(fleet).await,
            FaultName::CutZone => self.cut_zone(fleet).await,
            FaultName::CutOneWay => self.cut_one_way(fleet).await,
            FaultName::SlowNetwork => self.slow_network(fleet).await,
            FaultName::DiskFull => self.ail_leader(fleet, "full").await,
            FaultName::DiskStalls => self.ail_leader(fleet, "stalled").await,
            FaultName::DiskFails => self.ail_follower(fleet, "failing").await,
            FaultName::RunnerLeaves => self.runners_leave(fleet).await,
            FaultName::DrainWorker => self.hurt_worker(fleet, "drain", 6000).await,
            FaultName::CrashWorker => self.hurt_worker(fleet, "crash", 3000).await,
            FaultName::Evacuate => self.evacuate(fleet).await,
            FaultName::LostAnswers => self.runner_faults(fleet, json!({"lose": 0.05})).await,
            FaultName::WrongBytes => {
                let shares = json!({"wrong": 0.02, "short": 0.02, "foreign": 0.02});
                self.runner_faults(fleet, shares).await
            }
            FaultName::Refusals => {
                self.runner_faults(fleet, json!({"refuse": 0.05, "break_off": 0.05})).await
            }
            FaultName::Crowd | FaultName::RareCrowd => self.crowd(fleet).await,
        }
    }
}
