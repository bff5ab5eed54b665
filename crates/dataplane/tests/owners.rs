//! The source's four rules on the ordinary path, as far as one daemon decides them.

use common::frames::{Flag, Host, Place};
use common::identity::{FunctionKey, MemberName, Serial};
use common::ring::{Regions, hash_owner};
use dataplane::owners::{Sight, Step, next_step};
use googletest::prelude::*;

fn hosts() -> Vec<Host> {
    (0..5)
        .map(|number| Host {
            member: format!("th-{number}").into(),
            incarnation: (number + 1).into(),
            zone: "here".into(),
            place: Place::NOWHERE,
            eligible: Flag(true),
            link_mbps: 0,
        })
        .collect()
}

fn decide(own: &MemberName, holds: bool, cached: Option<&Host>, hosts: &[Host], hops: u8) -> Step {
    let function = FunctionKey::new("f", Serial(2));
    next_step(&Sight {
        function: &function,
        own_member: own,
        holds,
        cached_owner: cached,
        hosts,
        regions: &Regions::default(),
        hops,
    })
}

#[gtest]
fn only_the_hash_owner_asks_the_leader() -> Result<()> {
    let all_hosts = hosts();
    let function = FunctionKey::new("f", Serial(2));
    let owner = hash_owner(&function, all_hosts.iter()).expect("an owner").clone();
    for host in &all_hosts {
        let step = decide(&host.member, false, None, &all_hosts, 0);
        if host.member == owner.member {
            verify_that!(step, eq(&Step::Acquire))?;
        } else {
            verify_that!(step, eq(&Step::Forward(owner.clone())))?;
            verify_that!(decide(&host.member, false, None, &all_hosts, 1), eq(&Step::NotHolder))?;
        }
    }
    Ok(())
}

#[gtest]
fn a_cached_owner_counts_only_in_the_life_the_host_list_shows() -> Result<()> {
    let all_hosts = hosts();
    let function = FunctionKey::new("f", Serial(2));
    let owner = hash_owner(&function, all_hosts.iter()).expect("an owner").clone();
    let asker = all_hosts.iter().find(|host| host.member != owner.member).expect("one").clone();
    let cached = all_hosts
        .iter()
        .find(|host| host.member != owner.member && host.member != asker.member)
        .expect("another")
        .clone();
    let fresh = decide(&asker.member, false, Some(&cached), &all_hosts, 0);
    verify_that!(fresh, eq(&Step::Forward(cached.clone())))?;
    let mut restarted = cached.clone();
    restarted.incarnation = 99.into();
    let stale = decide(&asker.member, false, Some(&restarted), &all_hosts, 0);
    verify_that!(stale, eq(&Step::Forward(owner.clone())))?;
    let without: Vec<Host> =
        all_hosts.iter().filter(|host| host.member != cached.member).cloned().collect();
    let gone = decide(&asker.member, false, Some(&cached), &without, 0);
    verify_that!(gone == Step::Forward(cached), eq(false))
}

#[gtest]
fn hops_are_bounded() -> Result<()> {
    let all_hosts = hosts();
    let cached = all_hosts[1].clone();
    let far = decide(&all_hosts[0].member, false, Some(&cached), &all_hosts, 2);
    verify_that!(matches!(far, Step::NotHolder | Step::Acquire), eq(true))?;
    verify_that!(decide(&all_hosts[0].member, true, None, &all_hosts, 2), eq(&Step::Serve))?;
    verify_that!(decide(&all_hosts[0].member, false, None, &[], 0), eq(&Step::Nobody))
}
