//! The member ring: rendezvous hashing names a function's hash owner, and a daemon's watchers.

use crate::frames::Host;
use crate::identity::{FunctionKey, MemberName};
use sha2::{Digest, Sha256};

fn weight(first_part: &str, second_part: &str) -> u64 {
    let mut running_digest = Sha256::new();
    running_digest.update(first_part.as_bytes());
    running_digest.update([0]);
    running_digest.update(second_part.as_bytes());
    let digest_bytes = running_digest.finalize();
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

/// The daemon whose turn it is to ask for a function; `None` when no host is eligible.
pub fn hash_owner<'a>(
    function: &FunctionKey,
    hosts: impl Iterator<Item = &'a Host>,
) -> Option<&'a Host> {
    let function_text = function.to_string();
    hosts
        .filter(|host| host.eligible.0)
        .map(|host| (weight(&function_text, host.member.as_str()), host))
        .max_by(|(left_weight, left_host), (right_weight, right_host)| {
            left_weight.cmp(right_weight).then_with(|| left_host.member.cmp(&right_host.member))
        })
        .map(|(_, host)| host)
}

/// The daemons that watch a member: those that follow it on the ring, other localities first.
pub fn watchers<'a>(watched_host: &Host, hosts: &'a [Host], watcher_count: usize) -> Vec<&'a Host> {
    let place_of = |member: &MemberName| weight("ring", member.as_str());
    let own_place = place_of(&watched_host.member);
    let mut ranked_hosts: Vec<(bool, u64, &Host)> = hosts
        .iter()
        .filter(|host| host.member != watched_host.member)
        .map(|host| {
            let ring_distance = place_of(&host.member).wrapping_sub(own_place);
            (host.locality == watched_host.locality, ring_distance, host)
        })
        .collect();
    ranked_hosts.sort_by_key(|(same_locality, ring_distance, _)| (*same_locality, *ring_distance));
    ranked_hosts.into_iter().take(watcher_count).map(|(_, _, host)| host).collect()
}
