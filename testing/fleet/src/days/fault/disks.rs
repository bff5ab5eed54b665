//! Faults of the controllers' disks: full, stalled, failing.

use super::{Fault, pause};
use crate::fleet::{Fleet, FleetFault};
use serde_json::json;

impl Fault<'_> {
    pub(super) async fn ail_leader(&self, fleet: &mut Fleet, ail: &str) -> Result<(), FleetFault> {
        let Some(leader) = fleet.leader().await else { return Ok(()) };
        self.ail(fleet, &leader, ail).await
    }

    pub(super) async fn ail_follower(
        &mut self,
        fleet: &mut Fleet,
        ail: &str,
    ) -> Result<(), FleetFault> {
        let Some(follower) = self.some_follower(fleet).await else { return Ok(()) };
        self.ail(fleet, &follower, ail).await
    }

    /// A disk ails while changes go on being sent; what is not accepted then may be unknown.
    async fn ail(&self, fleet: &mut Fleet, name: &str, ail: &str) -> Result<(), FleetFault> {
        let said_in = fleet.layout.disk_file(name);
        let at = |fault| FleetFault::Machine(said_in.clone(), fault);
        std::fs::write(&said_in, ail).map_err(at)?;
        for _ in 0..4 {
            pause(1500).await;
            if let Err(fault) = self.turn_canary(fleet, "accepted").await {
                fleet.note("change_failed", json!({"why": fault.to_string()}));
            }
        }
        std::fs::remove_file(&said_in).map_err(at)
    }
}
