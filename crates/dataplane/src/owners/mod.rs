//! Lookup of the daemon that holds a function: the cached owner, or else the hash owner. Only the hash owner requests
//! the function's lease from the leader.
//!
//! * `warm`: requests leases before a function is called.

mod warm;

pub use warm::{WarmAcquirer, WarmContext};

use common::frames::Host;
use common::identity::{FunctionKey, MemberName};
use common::ring::{self, Regions};

/// The maximum number of times that a request is forwarded: once from the caller's daemon, and once more.
pub const MAX_HOPS: u8 = 2;

/// The next step for a request.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum LookupStep {
    /// This daemon holds the function.
    Serve,
    /// Forward the request to that daemon.
    Forward(Host),
    /// This daemon is the hash owner and has to request the function's lease from the leader.
    Acquire,
    /// This daemon is not the holder, and the request may not be forwarded further.
    NotHolder,
    /// No live daemon is eligible to hold the function.
    NoEligibleHost,
}

/// The inputs by which the next step is decided.
pub struct LookupContext<'a> {
    /// The function that the request calls.
    pub function: &'a FunctionKey,
    /// This daemon.
    pub own_member: &'a MemberName,
    /// Whether this daemon holds the function.
    pub holds: bool,
    /// The owner in this daemon's cache.
    pub cached_owner: Option<&'a Host>,
    /// The live daemons.
    pub hosts: &'a [Host],
    /// The regions of the daemons' zones.
    pub regions: &'a Regions,
    /// How many times the request has been forwarded.
    pub hops: u8,
}

/// Whether a cached owner is still on the host list, in the same incarnation.
pub fn is_current_owner(cached_owner: &Host, hosts: &[Host]) -> bool {
    hosts.iter().any(|host| {
        host.member == cached_owner.member && host.incarnation == cached_owner.incarnation
    })
}

/// Decides the next step. A cached owner that is no longer valid counts as a cache miss.
pub fn next_step(context: &LookupContext<'_>) -> LookupStep {
    if context.holds {
        return LookupStep::Serve;
    }
    let current_owner = context.cached_owner.filter(|owner| {
        owner.member != *context.own_member && is_current_owner(owner, context.hosts)
    });
    if let Some(owner) = current_owner
        && context.hops < MAX_HOPS
    {
        return LookupStep::Forward(owner.clone());
    }
    match ring::hash_owner_in(context.function, context.hosts.iter(), context.regions) {
        None => LookupStep::NoEligibleHost,
        Some(hash_owner) if hash_owner.member == *context.own_member => LookupStep::Acquire,
        Some(hash_owner) if context.hops == 0 => LookupStep::Forward(hash_owner.clone()),
        Some(_) => LookupStep::NotHolder,
    }
}
