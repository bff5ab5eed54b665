//! Faults of the network between the processes.

use super::{Fault, machines_of, pause};
use crate::fleet::{Fleet, FleetFault};
use std::time::Duration;

/// How long a cut lasts.
const CUT_MS: u64 = 6000;

impl Fault<'_> {
    /// The leader is cut off with half of the daemons.
    pub(super) async fn cut_core(&self, fleet: &Fleet) -> Result<(), FleetFault> {
        let Some(leader) = fleet.leader().await else { return Ok(()) };
        let daemons = fleet.running("daemon");
        let mut side: Vec<String> = daemons.iter().step_by(2).cloned().collect();
        side.push(leader);
        self.cut_off(fleet, &side).await
    }

    pub(super) async fn cut_holder(&self, fleet: &Fleet) -> Result<(), FleetFault> {
        let Some(name) = fleet.busiest_holder().await else { return Ok(()) };
        self.cut_off(fleet, &[name]).await
    }

    pub(super) async fn cut_zone(&mut self, fleet: &Fleet) -> Result<(), FleetFault> {
        let zone = self.some_zone();
        self.cut_off(fleet, &machines_of(fleet, &zone)).await
    }

    /// A daemon is heard by nobody, or hears nobody.
    pub(super) async fn cut_one_way(&mut self, fleet: &Fleet) -> Result<(), FleetFault> {
        let names = fleet.running("daemon");
        let Some(name) = self.one_of(&names) else { return Ok(()) };
        let Some(own_ip) = fleet.ip_of(&name) else { return Ok(()) };
        let is_heard = self.chance.happens(0.5);
        for other_ip in fleet.other_ips(&[name]) {
            match is_heard {
                true => fleet.relay.cut(other_ip, own_ip),
                false => fleet.relay.cut(own_ip, other_ip),
            }
        }
        pause(CUT_MS).await;
        fleet.relay.mend();
        Ok(())
    }

    pub(super) async fn slow_network(&self, fleet: &Fleet) -> Result<(), FleetFault> {
        fleet.relay.slow_down(Duration::from_millis(200));
        pause(8000).await;
        fleet.relay.mend();
        Ok(())
    }

    async fn cut_off(&self, fleet: &Fleet, side: &[String]) -> Result<(), FleetFault> {
        let side_ips: Vec<_> = side.iter().filter_map(|name| fleet.ip_of(name)).collect();
        fleet.relay.cut_apart(&side_ips, &fleet.other_ips(side));
        pause(CUT_MS).await;
        fleet.relay.mend();
        Ok(())
    }
}
