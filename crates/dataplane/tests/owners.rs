//! Tests of the lookup of a request's holder, as far as a single daemon decides it (docs/design/four-rules.md).

#[path = "support/host.rs"]
mod host;
#[path = "support/host_list.rs"]
mod host_list;

use common::frames::Host;
use common::identity::{FunctionKey, MemberName, Version};
use common::ring::{Regions, hash_owner};
use dataplane::owners::{LookupContext, LookupStep, next_step};
use googletest::prelude::*;
use host_list::host_list;

fn hosts() -> Vec<Host> {
    host_list(5)
}

fn function() -> FunctionKey {
    FunctionKey::new("f", Version(2))
}

fn hash_owner_among(hosts: &[Host]) -> Host {
    hash_owner(&function(), hosts.iter())
        .expect("an owner")
        .clone()
}

fn lookup(
    own: &MemberName,
    holds: bool,
    cached_host: Option<&Host>,
    hosts: &[Host],
    hops: u8,
) -> LookupStep {
    next_step(&LookupContext {
        function: &function(),
        own_member: own,
        holds,
        cached_owner: cached_host,
        hosts,
        regions: &Regions::default(),
        hops,
    })
}

#[gtest]
fn only_the_hash_owner_requests_the_lease() -> Result<()> {
    let all_hosts = hosts();
    let owner = hash_owner_among(&all_hosts);
    for host in &all_hosts {
        let step = lookup(&host.member, false, None, &all_hosts, 0);
        if host.member == owner.member {
            verify_that!(step, eq(&LookupStep::Acquire))?;
        } else {
            verify_that!(step, eq(&LookupStep::Forward(owner.clone())))?;
            verify_that!(
                lookup(&host.member, false, None, &all_hosts, 1),
                eq(&LookupStep::NotHolder)
            )?;
        }
    }
    Ok(())
}

#[gtest]
fn a_cached_owner_counts_only_in_its_listed_incarnation() -> Result<()> {
    let all_hosts = hosts();
    let owner = hash_owner_among(&all_hosts);
    let own_host = all_hosts
        .iter()
        .find(|host| host.member != owner.member)
        .expect("one")
        .clone();
    let cached_host = all_hosts
        .iter()
        .find(|host| host.member != owner.member && host.member != own_host.member)
        .expect("another")
        .clone();
    let hit = lookup(&own_host.member, false, Some(&cached_host), &all_hosts, 0);
    verify_that!(hit, eq(&LookupStep::Forward(cached_host.clone())))?;
    let mut restarted_owner = cached_host.clone();
    restarted_owner.incarnation = 99.into();
    let miss = lookup(
        &own_host.member,
        false,
        Some(&restarted_owner),
        &all_hosts,
        0,
    );
    verify_that!(miss, eq(&LookupStep::Forward(owner.clone())))?;
    let without: Vec<Host> = all_hosts
        .iter()
        .filter(|host| host.member != cached_host.member)
        .cloned()
        .collect();
    let after_removal = lookup(&own_host.member, false, Some(&cached_host), &without, 0);
    verify_that!(after_removal == LookupStep::Forward(cached_host), eq(false))
}

#[gtest]
fn hops_are_bounded() -> Result<()> {
    let all_hosts = hosts();
    let cached_host = all_hosts[1].clone();
    let at_hop_limit = lookup(
        &all_hosts[0].member,
        false,
        Some(&cached_host),
        &all_hosts,
        2,
    );
    verify_that!(
        matches!(at_hop_limit, LookupStep::NotHolder | LookupStep::Acquire),
        eq(true)
    )?;
    verify_that!(
        lookup(&all_hosts[0].member, true, None, &all_hosts, 2),
        eq(&LookupStep::Serve)
    )?;
    verify_that!(
        lookup(&all_hosts[0].member, false, None, &[], 0),
        eq(&LookupStep::NoEligibleHost)
    )
}
