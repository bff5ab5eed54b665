//! The ring moves little when a daemon goes, and watchers stand in other zones.

use common::frames::{Flag, Host, Place};
use common::identity::{FunctionKey, Region, Serial};
use common::ring::{Regions, hash_owner, hash_owner_in, place_of, watchers};
use googletest::prelude::*;

fn hosts(count: usize) -> Vec<Host> {
    (0..count)
        .map(|number| Host {
            member: format!("th-{number}").into(),
            incarnation: 1.into(),
            zone: format!("locality-{}", number % 3).into(),
            place: Place::NOWHERE,
            eligible: Flag(true),
            link_mbps: 0,
        })
        .collect()
}

#[gtest]
fn functions_go_to_wide_links_while_enough_of_them_stand_in_more_than_one_zone() -> Result<()> {
    let mut all_hosts = hosts(40);
    for (number, host) in all_hosts.iter_mut().enumerate() {
        host.link_mbps = if number < 6 { 100 } else { 2 };
    }
    let owners_on_wide_links = |hosts: &[Host]| {
        let owners = (0..300).filter_map(|number| {
            hash_owner(&FunctionKey::new(format!("f{number}"), Serial(1)), hosts.iter())
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
fn functions_go_to_every_link_that_is_wide_enough_for_them() -> Result<()> {
    let mut all_hosts = hosts(40);
    for (number, host) in all_hosts.iter_mut().enumerate() {
        host.link_mbps = if number < 6 { 100 } else { 14 };
    }
    let owners = (0..300).filter_map(|number| {
        hash_owner(&FunctionKey::new(format!("f{number}"), Serial(1)), all_hosts.iter())
    });
    let count_on_widest = owners.filter(|owner| owner.link_mbps == 100).count();
    verify_that!(count_on_widest, all![ge(20), le(80)])
}

#[gtest]
fn a_region_s_own_key_is_held_in_that_region_or_nowhere() -> Result<()> {
    let all_hosts = hosts(12);
    let regions = Regions::new(
        [("locality-0", "east"), ("locality-1", "east"), ("locality-2", "west")]
            .map(|(zone, region)| (zone.into(), region.into()))
            .into(),
    );
    for number in 0..50 {
        let whole = FunctionKey::new(format!("f{number}"), Serial(2));
        let west = whole.in_region(&Region::from("west"));
        let owner = hash_owner_in(&west, all_hosts.iter(), &regions).expect("an owner");
        verify_that!(owner.zone.as_str(), eq("locality-2"))?;
        let north = whole.in_region(&Region::from("north"));
        verify_that!(hash_owner_in(&north, all_hosts.iter(), &regions).is_none(), eq(true))?;
        let of_all = hash_owner_in(&whole, all_hosts.iter(), &regions).expect("an owner");
        verify_that!(of_all, eq(hash_owner(&whole, all_hosts.iter()).expect("an owner")))?;
    }
    Ok(())
}

#[gtest]
fn a_function_s_key_reads_back_from_its_text() -> Result<()> {
    let whole = FunctionKey::new("a@b", Serial(7));
    for key in [whole.clone(), whole.in_region(&Region::from("cz-west"))] {
        verify_that!(key.to_string().parse::<FunctionKey>().ok(), some(eq(&key)))?;
        verify_that!(key.is_same_function(&whole), eq(true))?;
        verify_that!(key.whole(), eq(&whole))?;
    }
    Ok(())
}

#[gtest]
fn only_the_functions_of_a_daemon_that_goes_move() -> Result<()> {
    let all_hosts = hosts(10);
    let left_hosts: Vec<Host> = all_hosts.iter().skip(1).cloned().collect();
    let mut owned_by_first = 0;
    for number in 0..1000 {
        let function = FunctionKey::new(format!("f{number}"), Serial(2));
        let before = hash_owner(&function, all_hosts.iter()).expect("an owner");
        let after = hash_owner(&function, left_hosts.iter()).expect("an owner");
        if before.member == all_hosts[0].member {
            owned_by_first += 1;
        } else {
            verify_that!(&after.member, eq(&before.member))?;
        }
    }
    verify_that!(owned_by_first, all![ge(60), le(140)])
}

#[gtest]
fn a_daemon_that_may_hold_nothing_owns_nothing() -> Result<()> {
    let mut all_hosts = hosts(3);
    all_hosts[1].eligible = Flag(false);
    for number in 0..100 {
        let function = FunctionKey::new(format!("f{number}"), Serial(2));
        let owner = hash_owner(&function, all_hosts.iter()).expect("an owner");
        verify_that!(owner.member == all_hosts[1].member, eq(false))?;
    }
    verify_that!(hash_owner(&FunctionKey::new("f", Serial(1)), [].iter()).is_none(), eq(true))
}

#[gtest]
fn two_watchers_stand_elsewhere_and_one_in_the_own_zone() -> Result<()> {
    let all_hosts = hosts(10);
    let placed = || all_hosts.iter().map(|host| (place_of(&host.member), host));
    for host in &all_hosts {
        let chosen_watchers = watchers(host, placed());
        let near_count = chosen_watchers.iter().filter(|watcher| watcher.zone == host.zone).count();
        verify_that!((chosen_watchers.len(), near_count), eq((3, 1)))?;
        verify_that!(
            chosen_watchers.iter().all(|watcher| watcher.member != host.member),
            eq(true)
        )?;
    }
    Ok(())
}

#[gtest]
fn where_one_kind_is_short_the_other_watches() -> Result<()> {
    let all_hosts = hosts(9);
    let near_ones: Vec<Host> =
        all_hosts.iter().filter(|host| host.zone == all_hosts[0].zone).cloned().collect();
    let counts = |given: &[Host]| {
        let placed = given.iter().map(|host| (place_of(&host.member), host));
        watchers(&given[0], placed).len()
    };
    verify_that!(counts(&near_ones), eq(2))?;
    let far_ones: Vec<Host> = all_hosts
        .iter()
        .filter(|host| host.member == all_hosts[0].member || host.zone != all_hosts[0].zone)
        .cloned()
        .collect();
    verify_that!(counts(&far_ones), eq(3))
}
