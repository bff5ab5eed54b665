//! A daemon as it stands on a host list.

use common::frames::{Flag, Host, SocketAddress};

/// A daemon that may hold functions, without an address.
pub fn host(name: &str, zone: &str, incarnation: u64) -> Host {
    Host {
        member: name.into(),
        incarnation: incarnation.into(),
        zone: zone.into(),
        address: SocketAddress::UNSPECIFIED,
        eligible: Flag(true),
        link_mbps: 0,
    }
}
