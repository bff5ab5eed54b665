//! The addresses and zones of simulated machines.

use common::frames::SocketAddress;
use common::identity::Zone;
use std::net::{Ipv4Addr, SocketAddrV4};

/// The third byte of the controllers' addresses.
const CONTROLLER_GROUP: u8 = 0;
/// The third byte of the daemons' addresses.
const DAEMON_GROUP: u8 = 1;
/// The port of every process.
const PORT: u16 = 1;
/// The number of seed addresses.
const SEEDS: u8 = 3;
/// The number of zones.
const ZONES: usize = 3;

/// Returns the zone of the controller or daemon with this index.
pub(super) fn zone_of_machine(index: usize) -> Zone {
    format!("locality-{}", index % ZONES + 1).into()
}

/// Returns the controller address with this last byte.
pub(super) fn controller_address(last: u8) -> SocketAddress {
    address(CONTROLLER_GROUP, last)
}

/// Returns the address of the daemon with this index.
pub(super) fn daemon_address(index: usize) -> SocketAddress {
    address(DAEMON_GROUP, index as u8 + 1)
}

/// Returns the index of the daemon with this address; none if it is not an address of daemons.
pub(super) fn daemon_index_at(address: SocketAddress) -> Option<usize> {
    let [_, _, group, last] = address.0.ip().octets();
    let index = usize::from(last.checked_sub(1)?);
    (group == DAEMON_GROUP).then_some(index)
}

/// Returns the seed addresses, which are those of the first three controllers.
pub(super) fn seeds() -> Vec<SocketAddress> {
    (1..=SEEDS).map(controller_address).collect()
}

fn address(group: u8, last: u8) -> SocketAddress {
    SocketAddress(SocketAddrV4::new(Ipv4Addr::new(10, 0, group, last), PORT))
}
