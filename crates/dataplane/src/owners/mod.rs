//! The source's ordinary path: cache, then hash owner, and only the hash owner asks the leader.

mod warm;

pub use warm::{WarmAcquirer, WarmContext};

use common::frames::Host;
use common::identity::{FunctionKey, MemberName};
use common::ring::{self, Regions};

/// The most daemons a transaction passes through after its caller's.
pub const MAX_HOPS: u8 = 2;

/// What to do next with a transaction.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum LookupStep {
    /// This daemon holds the function.
    Serve,
    /// Pass it to that daemon.
    Forward(Host),
    /// This daemon is the hash owner, and asks the leader.
    Acquire,
    /// This daemon is neither holder nor hash owner, and the transaction has come far enough.
    NotHolder,
    /// Nobody is eligible.
    NoEligibleHost,
}

/// What a step is decided from.
pub struct LookupContext<'a> {
    /// The function.
    pub function: &'a FunctionKey,
    /// This daemon.
    pub own_member: &'a MemberName,
    /// Whether this daemon holds the function.
    pub holds: bool,
    /// The cached owner.
    pub cached_owner: Option<&'a Host>,
    /// The daemons alive.
    pub hosts: &'a [Host],
    /// Which regions their zones lie in.
    pub regions: &'a Regions,
    /// How many hops the transaction has made.
    pub hops: u8,
}

/// Whether a cached owner still stands in the host list, in the same life.
pub fn is_current_owner(cached_owner: &Host, hosts: &[Host]) -> bool {
    hosts.iter().any(|host| {
        host.member == cached_owner.member && host.incarnation == cached_owner.incarnation
    })
}

/// Decides the next step; a cached owner that is no longer valid counts as a miss.
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
