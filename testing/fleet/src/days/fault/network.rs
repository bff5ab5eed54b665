//! Faults of the network between the processes.

use super::{FaultInjector, machines_of, pause};
use crate::fleet::{Fleet, FleetError};
use std::time::Duration;

/// The duration of a partition, in milliseconds.
const PARTITION_MS: u64 = 6000;

impl FaultInjector<'_> {
    /// Partitions the leader and half of the daemons from all other processes.
    pub(super) async fn partition_quorum(&self, fleet: &Fleet) -> Result<(), FleetError> {
        let Some(leader) = fleet.leader().await else {
            return Ok(());
        };
        let daemons = fleet.running("daemon");
        let mut side: Vec<String> = daemons.iter().step_by(2).cloned().collect();
        side.push(leader);
        self.isolate(fleet, &side).await
    }

    pub(super) async fn isolate_holder(&self, fleet: &Fleet) -> Result<(), FleetError> {
        let Some(name) = fleet.busiest_holder().await else {
            return Ok(());
        };
        self.isolate(fleet, &[name]).await
    }

    pub(super) async fn isolate_zone(&mut self, fleet: &Fleet) -> Result<(), FleetError> {
        let zone = self.choose_zone();
        self.isolate(fleet, &machines_of(fleet, &zone)).await
    }

    /// Blocks the incoming or the outgoing traffic of a daemon.
    pub(super) async fn block_one_direction(&mut self, fleet: &Fleet) -> Result<(), FleetError> {
        let names = fleet.running("daemon");
        let Some(name) = self.choose_one(&names) else {
            return Ok(());
        };
        let Some(own_ip) = fleet.ip_of(&name) else {
            return Ok(());
        };
        let blocks_incoming = self.rng.random_bool(0.5);
        for other_ip in fleet.other_ips(&[name]) {
            match blocks_incoming {
                true => fleet.network_proxy.block(other_ip, own_ip),
                false => fleet.network_proxy.block(own_ip, other_ip),
            }
        }
        pause(PARTITION_MS).await;
        fleet.network_proxy.clear_faults();
        Ok(())
    }

    pub(super) async fn slow_network(&self, fleet: &Fleet) -> Result<(), FleetError> {
        fleet.network_proxy.set_delay(Duration::from_millis(200));
        pause(8000).await;
        fleet.network_proxy.clear_faults();
        Ok(())
    }

    async fn isolate(&self, fleet: &Fleet, side: &[String]) -> Result<(), FleetError> {
        let side_ips: Vec<_> = side.iter().filter_map(|name| fleet.ip_of(name)).collect();
        fleet
            .network_proxy
            .partition(&side_ips, &fleet.other_ips(side));
        pause(PARTITION_MS).await;
        fleet.network_proxy.clear_faults();
        Ok(())
    }
}
