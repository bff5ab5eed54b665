//! Test support: an entry of a host list.

use common::frames::{Flag, Host, SocketAddress};

/// Returns a daemon that is eligible to hold functions, with an unspecified address.
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
