//! Tests of the addresses of fleets of real processes.

use common::frames::SocketAddress;
use fleet::days::Deployment;
use fleet::fleet::Layout;
use googletest::prelude::*;
use std::collections::BTreeMap;
use std::path::Path;

const FLEET_COUNT: usize = 60;
/// The number of fleets that can have addresses at the same time.
const BLOCK_COUNT: usize = 254;

/// Returns all addresses on which processes of the fleet or their network proxies listen.
fn addresses_of(layout: &Layout) -> Vec<SocketAddress> {
    let endpoints = layout
        .machines
        .values()
        .filter_map(|machine| machine.endpoints)
        .flat_map(|(address, listen)| [address, listen]);
    let mut addresses = vec![layout.platform];
    addresses.extend(layout.operators());
    addresses.extend(layout.ingresses());
    addresses.extend(endpoints);
    addresses
}

/// Guards against two concurrent fleets using the same address, which kept a fleet in CI from bootstrapping in time
/// while another test started its own.
#[gtest]
fn concurrent_fleets_share_no_address() -> Result<()> {
    let folder = std::env::temp_dir().join(format!("rudderstream-layout-{}", std::process::id()));
    let sizes = Deployment::Small.sizes();
    let mut layouts = Vec::new();
    for number in 0..FLEET_COUNT {
        let fleet_folder = folder.join(number.to_string());
        layouts.push(Layout::new(
            &fleet_folder,
            Path::new("programs"),
            &sizes,
            1,
            false,
        )?);
    }
    let mut fleets_by_address: BTreeMap<String, Vec<usize>> = BTreeMap::new();
    for (number, layout) in layouts.iter().enumerate() {
        for address in addresses_of(layout) {
            let fleets = fleets_by_address.entry(address.to_string()).or_default();
            fleets.push(number);
        }
    }
    fleets_by_address.retain(|_, fleets| fleets.len() > 1);
    verify_that!(fleets_by_address, is_empty())?;
    std::fs::remove_dir_all(&folder)?;
    Ok(())
}

#[gtest]
fn the_addresses_of_a_dropped_layout_are_reused() -> Result<()> {
    let folder = std::env::temp_dir().join(format!("rudderstream-again-{}", std::process::id()));
    let sizes = Deployment::Small.sizes();
    for _ in 0..2 * BLOCK_COUNT {
        Layout::new(&folder, Path::new("programs"), &sizes, 1, false)?;
    }
    std::fs::remove_dir_all(&folder)?;
    Ok(())
}
