//! Assigns functions and watchers to daemons. Every process computes the same assignment from the same list of hosts.
//!
//! A function's hash owner is found by rendezvous hashing (highest random weight; Thaler and Ravishankar, 1998), so
//! that only the functions of a lost daemon move. A daemon's watchers are its successors on a ring of hashed names.

use crate::frames::Host;
use crate::identity::{FunctionKey, MemberName, Region, Zone};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};

/// The region of each zone, as defined in the settings. Other zones are in no region.
#[derive(Clone, Default, PartialEq, Eq, Debug)]
pub struct Regions(BTreeMap<Zone, Region>);

impl Regions {
    /// Creates the map from the region of each zone.
    pub fn new(region_by_zone: BTreeMap<Zone, Region>) -> Self {
        Self(region_by_zone)
    }

    /// Returns the region of a zone.
    pub fn region_of(&self, zone: &Zone) -> Option<&Region> {
        self.0.get(zone)
    }
}

/// Hashes two texts to a number, for weights and ring positions.
fn weight(first_part: &str, second_part: &str) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(first_part.as_bytes());
    hasher.update([0]);
    hasher.update(second_part.as_bytes());
    let digest_bytes = hasher.finalize();
    u64::from_be_bytes([
        digest_bytes[0],
        digest_bytes[1],
        digest_bytes[2],
        digest_bytes[3],
        digest_bytes[4],
        digest_bytes[5],
        digest_bytes[6],
        digest_bytes[7],
    ])
}

/// A link counts as wide if its bandwidth is at least that of the widest link divided by this.
const WIDE_LINK_DIVISOR: u32 = 4;

/// A link of at least this many Mbit/s always counts as wide: it transfers a body of 256 KiB in a fifth of a second.
const WIDE_LINK_MBPS: u32 = 10;

/// The minimum number of hosts on wide links; with fewer, functions are placed on all eligible hosts.
const MIN_WIDE_HOSTS: usize = 3;

/// Returns the hosts that may become hash owners: only those on wide links if there are enough of them in more than one
/// zone, otherwise all eligible hosts. Wide links are preferred because all responses of a function pass through its
/// holder's link.
pub fn candidate_hosts<'a>(hosts: impl Iterator<Item = &'a Host>) -> Vec<&'a Host> {
    let eligible_hosts: Vec<&Host> = hosts.filter(|host| host.eligible.0).collect();
    let widest = eligible_hosts
        .iter()
        .map(|host| host.link_mbps)
        .max()
        .unwrap_or_default();
    let is_wide = |host: &&&Host| {
        host.link_mbps >= WIDE_LINK_MBPS
            || host.link_mbps.saturating_mul(WIDE_LINK_DIVISOR) >= widest
    };
    let wide_hosts: Vec<&Host> = eligible_hosts.iter().filter(is_wide).copied().collect();
    let zones: BTreeSet<&Zone> = wide_hosts.iter().map(|host| &host.zone).collect();
    if wide_hosts.len() >= MIN_WIDE_HOSTS && zones.len() > 1 {
        wide_hosts
    } else {
        eligible_hosts
    }
}

/// Returns a function's hash owner, the daemon that requests its lease, or `None` if no host is eligible.
pub fn hash_owner<'a>(
    function: &FunctionKey,
    hosts: impl Iterator<Item = &'a Host>,
) -> Option<&'a Host> {
    let function_text = function.to_string();
    candidate_hosts(hosts)
        .into_iter()
        .map(|host| (weight(&function_text, host.member.as_str()), host))
        .max_by(|(left_weight, left_host), (right_weight, right_host)| {
            left_weight
                .cmp(right_weight)
                .then_with(|| left_host.member.cmp(&right_host.member))
        })
        .map(|(_, host)| host)
}

/// Returns the hash owner of a function key. The owner of a regional key is a daemon in its region.
pub fn hash_owner_in<'a>(
    function: &FunctionKey,
    hosts: impl Iterator<Item = &'a Host>,
    regions: &Regions,
) -> Option<&'a Host> {
    if !function.is_regional() {
        return hash_owner(function, hosts);
    }
    hash_owner(
        function,
        hosts.filter(|host| regions.region_of(&host.zone) == Some(&function.region)),
    )
}

/// The number of each daemon's watchers in zones other than its own.
pub const OTHER_ZONE_WATCHERS: usize = 2;

/// The number of each daemon's watchers in its own zone.
pub const OWN_ZONE_WATCHERS: usize = 1;

/// Returns a daemon's position on the ring.
pub fn ring_position(member: &MemberName) -> u64 {
    weight("ring", member.as_str())
}

/// Returns the daemons that watch a host: of those that follow it on the ring, the first two in other zones and the
/// first in its own zone. If there are too few of one kind, more of the other are chosen.
///
/// Each host is given with its position on the ring.
pub fn watchers<'a>(
    watched_host: &Host,
    positioned_hosts: impl Iterator<Item = (u64, &'a Host)>,
) -> Vec<&'a Host> {
    let own_position = ring_position(&watched_host.member);
    let (mut own_zone_hosts, mut other_zone_hosts): (Vec<_>, Vec<_>) = positioned_hosts
        .filter(|(_, host)| host.member != watched_host.member)
        .map(|(position, host)| (position.wrapping_sub(own_position), host))
        .partition(|(_, host)| host.zone == watched_host.zone);
    own_zone_hosts.sort_by_key(|(ring_distance, _)| *ring_distance);
    other_zone_hosts.sort_by_key(|(ring_distance, _)| *ring_distance);
    let watcher_count = OTHER_ZONE_WATCHERS + OWN_ZONE_WATCHERS;
    let own_zone_count = own_zone_hosts
        .len()
        .min(watcher_count - OTHER_ZONE_WATCHERS.min(other_zone_hosts.len()));
    let other_zone_count = watcher_count - own_zone_count;
    let chosen_other_zone = other_zone_hosts.into_iter().take(other_zone_count);
    chosen_other_zone
        .chain(own_zone_hosts.into_iter().take(own_zone_count))
        .map(|(_, host)| host)
        .collect()
}
