//! Hash owners and watchers of daemons: only the functions of a removed daemon move, functions are placed on hosts with
//! wide links, and most of a daemon's watchers are in other zones.

use common::frames::{Flag, Host, SocketAddress};
use common::identity::{FunctionKey, Region, Version};
use common::ring::{Regions, hash_owner, hash_owner_in, ring_position, watchers};
use googletest::prelude::*;

fn hosts(count: usize) -> Vec<Host> {
    (0..count)
        .map(|number| Host {
            member: format!("th-{number}").into(),
            incarnation: 1.into(),
            zone: format!("locality-{}", number % 3).into(),
            address: SocketAddress::UNSPECIFIED,
            eligible: Flag(true),
            link_mbps: 0,
        })
        .collect()
}

#[gtest]
fn functions_go_to_wide_links_while_enough_of_them_are_in_more_than_one_zone() -> Result<()> {
    let mut all_hosts = hosts(40);
    for (number, host) in all_hosts.iter_mut().enumerate() {
        host.link_mbps = if number < 6 { 100 } else { 2 };
    }
    let owners_on_wide_links = |hosts: &[Host]| {
        let owners = (0..300).filter_map(|number| {
            hash_owner(
                &FunctionKey::new(format!("f{number}"), Version(1)),
                hosts.iter(),
            )
        });
        owners.filter(|owner| owner.link_mbps == 100).count()
    };
    verify_that!(owners_on_wide_links(&all_hosts), eq(300))?;
    verify_that!(owners_on_wide_links(&all_hosts[3..]), eq(300))?;
    verify_that!(owners_on_wide_links(&all_hosts[4..]), lt(40))?;
    for host in &mut all_hosts[..6] {
        host.zone = "one".into();
    }
    verify_that!(owners_on_wide_links(&all_hosts), lt(100))
}

#[gtest]
fn functions_go_to_every_sufficiently_wide_link() -> Result<()> {
    let mut all_hosts = hosts(40);
    for (number, host) in all_hosts.iter_mut().enumerate() {
        host.link_mbps = if number < 6 { 100 } else { 14 };
    }
    let owners = (0..300).filter_map(|number| {
        hash_owner(
            &FunctionKey::new(format!("f{number}"), Version(1)),
            all_hosts.iter(),
        )
    });
    let count_on_widest = owners.filter(|owner| owner.link_mbps == 100).count();
    verify_that!(count_on_widest, all![ge(20), le(80)])
}

#[gtest]
fn a_regional_key_is_owned_only_in_its_region() -> Result<()> {
    let all_hosts = hosts(12);
    let regions = Regions::new(
        [
            ("locality-0", "east"),
            ("locality-1", "east"),
            ("locality-2", "west"),
        ]
        .map(|(zone, region)| (zone.into(), region.into()))
        .into(),
    );
    for number in 0..50 {
        let all_regions = FunctionKey::new(format!("f{number}"), Version(2));
        let west = all_regions.in_region(&Region::from("west"));
        let owner = hash_owner_in(&west, all_hosts.iter(), &regions).expect("an owner");
        verify_that!(owner.zone.as_str(), eq("locality-2"))?;
        let north = all_regions.in_region(&Region::from("north"));
        verify_that!(
            hash_owner_in(&north, all_hosts.iter(), &regions).is_none(),
            eq(true)
        )?;
        let owner_for_all_regions =
            hash_owner_in(&all_regions, all_hosts.iter(), &regions).expect("an owner");
        verify_that!(
            owner_for_all_regions,
            eq(hash_owner(&all_regions, all_hosts.iter()).expect("an owner"))
        )?;
    }
    Ok(())
}

#[gtest]
fn a_function_key_round_trips_through_text() -> Result<()> {
    let all_regions = FunctionKey::new("a@b", Version(7));
    for key in [
        all_regions.clone(),
        all_regions.in_region(&Region::from("cz-west")),
    ] {
        verify_that!(key.to_string().parse::<FunctionKey>().ok(), some(eq(&key)))?;
        verify_that!(key.is_same_function(&all_regions), eq(true))?;
        verify_that!(key.all_regions(), eq(&all_regions))?;
    }
    Ok(())
}

#[gtest]
fn only_functions_of_a_removed_daemon_move() -> Result<()> {
    let all_hosts = hosts(10);
    let remaining_hosts: Vec<Host> = all_hosts.iter().skip(1).cloned().collect();
    let mut owned_by_first = 0;
    for number in 0..1000 {
        let function = FunctionKey::new(format!("f{number}"), Version(2));
        let before = hash_owner(&function, all_hosts.iter()).expect("an owner");
        let after = hash_owner(&function, remaining_hosts.iter()).expect("an owner");
        if before.member == all_hosts[0].member {
            owned_by_first += 1;
        } else {
            verify_that!(&after.member, eq(&before.member))?;
        }
    }
    verify_that!(owned_by_first, all![ge(60), le(140)])
}

#[gtest]
fn an_ineligible_daemon_owns_no_function() -> Result<()> {
    let mut all_hosts = hosts(3);
    all_hosts[1].eligible = Flag(false);
    for number in 0..100 {
        let function = FunctionKey::new(format!("f{number}"), Version(2));
        let owner = hash_owner(&function, all_hosts.iter()).expect("an owner");
        verify_that!(owner.member == all_hosts[1].member, eq(false))?;
    }
    verify_that!(
        hash_owner(&FunctionKey::new("f", Version(1)), [].iter()).is_none(),
        eq(true)
    )
}

#[gtest]
fn a_daemon_has_two_watchers_in_other_zones_and_one_in_its_own() -> Result<()> {
    let all_hosts = hosts(10);
    let positioned = || {
        all_hosts
            .iter()
            .map(|host| (ring_position(&host.member), host))
    };
    for host in &all_hosts {
        let chosen_watchers = watchers(host, positioned());
        let own_zone_count = chosen_watchers
            .iter()
            .filter(|watcher| watcher.zone == host.zone)
            .count();
        verify_that!((chosen_watchers.len(), own_zone_count), eq((3, 1)))?;
        verify_that!(
            chosen_watchers
                .iter()
                .all(|watcher| watcher.member != host.member),
            eq(true)
        )?;
    }
    Ok(())
}

#[gtest]
fn watchers_missing_in_one_kind_of_zone_are_chosen_from_the_other() -> Result<()> {
    let all_hosts = hosts(9);
    let own_zone_hosts: Vec<Host> = all_hosts
        .iter()
        .filter(|host| host.zone == all_hosts[0].zone)
        .cloned()
        .collect();
    let watcher_count = |given: &[Host]| {
        let positioned = given.iter().map(|host| (ring_position(&host.member), host));
        watchers(&given[0], positioned).len()
    };
    verify_that!(watcher_count(&own_zone_hosts), eq(2))?;
    let other_zone_hosts: Vec<Host> = all_hosts
        .iter()
        .filter(|host| host.member == all_hosts[0].member || host.zone != all_hosts[0].zone)
        .cloned()
        .collect();
    verify_that!(watcher_count(&other_zone_hosts), eq(3))
}
