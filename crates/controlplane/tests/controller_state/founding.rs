//! The core founds itself at the whole system's first start, and never a second time.

use super::fleet::{Fleet, operators, place};
use common::frames::{StreamDown, StreamUp};
use common::identity::{ControllerId, Serial};
use controlplane::controller_state::{Operation, OperationReply, Unavailable};
use googletest::prelude::*;
use std::collections::BTreeSet;

/// The members' identities of every founding that any disk took.
fn foundings(fleet: &Fleet) -> BTreeSet<Vec<u64>> {
    fleet
        .written
        .iter()
        .filter(|(_, document)| document.stamp.serial == Serial(1))
        .map(|(_, document)| document.core.iter().map(|member| member.id.0).collect())
        .collect()
}

#[gtest]
fn the_seeds_found_the_core_and_a_slow_one_gets_the_same_founding() -> Result<()> {
    let mut fleet = Fleet::new(1, &[0, 1, 2, 0]);
    fleet.start(3);
    fleet.start(0);
    fleet.start(1);
    fleet.pass(3000);
    verify_that!(fleet.written.is_empty(), eq(true))?;
    fleet.start(2);
    fleet.separate(&[2], &[0, 1, 3]);
    fleet.pass(2000);
    verify_that!(fleet.written.is_empty(), eq(true))?;
    fleet.cuts.clear();
    while fleet.written.is_empty() {
        fleet.pass(1);
    }
    fleet.separate(&[2], &[0, 1, 3]);
    fleet.pass(3000);
    let leader = fleet.await_leader();
    verify_that!(fleet.core_at(leader), eq(&vec![0, 1, 2]))?;
    verify_that!(fleet.accepted(2).is_none(), eq(true))?;
    fleet.cuts.clear();
    fleet.pass(2000);
    verify_that!(fleet.core_at(2), eq(&vec![0, 1, 2]))?;
    verify_that!(foundings(&fleet).len(), eq(1))?;
    verify_that!(fleet.core_at(3), eq(&vec![0, 1, 2]))
}

#[gtest]
fn a_founder_that_restarts_before_the_others_know_founds_nothing_else() -> Result<()> {
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed, &[0, 1, 2]);
        fleet.start_all();
        while fleet.written.is_empty() {
            fleet.pass(1);
        }
        fleet.kill(0);
        fleet.pass(700);
        fleet.start(0);
        let leader = fleet.await_leader();
        verify_that!(fleet.core_at(leader), eq(&vec![0, 1, 2]))?;
        verify_that!(foundings(&fleet).len(), eq(1))?;
    }
    Ok(())
}

#[gtest]
fn a_disk_lost_after_the_founding_founds_nothing() -> Result<()> {
    let mut fleet = Fleet::new(3, &[0, 1, 2]);
    fleet.start_all();
    fleet.await_leader();
    for lost in 0..3 {
        fleet.kill(lost);
    }
    fleet.wipe(0, false);
    fleet.wipe(1, false);
    fleet.written.clear();
    fleet.start(0);
    fleet.start(1);
    fleet.pass(10_000);
    verify_that!(fleet.written.is_empty(), eq(true))?;
    fleet.start(2);
    fleet.pass(10_000);
    verify_that!(fleet.leader(), none())?;
    verify_that!(fleet.written.is_empty(), eq(true))
}

#[gtest]
fn kills_cuts_and_lost_disks_at_the_first_start_never_make_two_foundings() -> Result<()> {
    let mut founded_count = 0;
    for seed in 0..60 {
        let mut fleet = Fleet::new(seed, &[0, 1, 2, 0, 1]);
        fleet.start_all();
        for _ in 0..12 {
            let number = fleet.chance.below(5) as usize;
            let other = fleet.chance.below(5) as usize;
            match fleet.chance.below(5) {
                0 => fleet.kill(number),
                1 => {
                    fleet.kill(number);
                    fleet.wipe(number, false);
                    fleet.start(number);
                }
                2 => fleet.separate(&[number], &[other]),
                3 => fleet.cuts.clear(),
                _ if fleet.nodes[number].controller_state.is_none() => fleet.start(number),
                _ => {}
            }
            let millis = fleet.chance.below(400);
            fleet.pass(millis);
        }
        verify_that!(foundings(&fleet).len(), le(1))?;
        founded_count += foundings(&fleet).len();
    }
    verify_that!(founded_count, ge(20))
}

#[gtest]
fn a_seed_that_keeps_nothing_is_left_out_and_the_core_grows_by_another() -> Result<()> {
    let mut fleet = Fleet::new(5, &[0, 1, 2, 0]);
    fleet.nodes[0].disk = None;
    fleet.start_all();
    fleet.pass(6000);
    let leader = fleet.await_leader();
    verify_that!(fleet.core_at(leader), eq(&vec![1, 2, 3]))?;
    verify_that!(fleet.accepted(0).is_none(), eq(true))
}

#[gtest]
fn who_keeps_nothing_passes_operators_and_daemons_on_and_never_votes() -> Result<()> {
    let mut fleet = Fleet::new(6, &[0, 1, 2, 0]);
    fleet.nodes[3].disk = None;
    fleet.start_all();
    let leader = fleet.await_leader();
    fleet.pass(1500);
    let reply = fleet.asked(3, Operation::ReadSpec);
    let elsewhere = matches!(reply, Some(OperationReply::Elsewhere(at)) if at == operators(leader));
    verify_that!(elsewhere, eq(true))?;
    fleet.stream(3, 9, StreamUp::Whole);
    let told = fleet.said_down.iter().any(|(number, frame)| {
        let leader_place = place(leader);
        *number == 3 && matches!(frame, StreamDown::Elsewhere { leader } if *leader == leader_place)
    });
    verify_that!(told, eq(true))?;
    fleet.kill(leader);
    fleet.pass(20_000);
    let next_leader = fleet.await_leader();
    verify_that!(next_leader, not(eq(3)))?;
    verify_that!(fleet.core_at(next_leader).contains(&3), eq(false))?;
    verify_that!(fleet.written.iter().any(|(number, _)| *number == 3), eq(false))
}

#[gtest]
fn a_wish_waits_for_a_leader_instead_of_being_refused() -> Result<()> {
    let mut fleet = Fleet::new(7, &[0, 1, 2]);
    fleet.start_all();
    let leader = fleet.await_leader();
    fleet.pass(1000);
    let other = (leader + 1) % 3;
    fleet.kill(leader);
    let reply = fleet.asked(other, Operation::ReadSpec);
    let is_answered =
        matches!(reply, Some(OperationReply::Elsewhere(_) | OperationReply::Spec { .. }));
    verify_that!(is_answered, eq(true))?;
    let third = (0..3).find(|number| *number != leader && *number != other).expect("a third");
    fleet.kill(third);
    fleet.pass(1500);
    let asked_at = fleet.now;
    let reply = fleet.asked(other, Operation::ReadSpec);
    verify_that!(matches!(reply, Some(OperationReply::NotNow(Unavailable::NoLeader))), eq(true))?;
    verify_that!(fleet.now.since(asked_at).as_millis(), le(800))
}

#[gtest]
fn an_empty_machine_at_a_members_place_is_its_successor_at_once() -> Result<()> {
    let mut fleet = Fleet::new(8, &[0, 1, 2]);
    fleet.start_all();
    let leader = fleet.await_leader();
    fleet.pass(1000);
    let lost = (leader + 1) % 3;
    let former_id = fleet.nodes[lost].disk.as_ref().expect("a disk").recalled.id;
    fleet.kill(lost);
    fleet.wipe(lost, false);
    fleet.start(lost);
    fleet.pass(1200);
    let members: Vec<ControllerId> =
        fleet.accepted(leader).expect("one").core.iter().map(|member| member.id).collect();
    verify_that!(members.contains(&former_id), eq(false))?;
    verify_that!(fleet.accepted(leader).expect("one").former.is_empty(), eq(true))?;
    verify_that!(fleet.core_at(lost), eq(&vec![0, 1, 2]))?;
    let other = (leader + 2) % 3;
    fleet.kill(other);
    fleet.pass(1000);
    verify_that!(fleet.leader(), some(anything()))
}

#[gtest]
fn who_knows_one_follower_is_led_to_the_core_and_a_removed_member_waits_with_its_old_disk()
-> Result<()> {
    let mut fleet = Fleet::new(9, &[0, 1, 2, 2]);
    for number in 0..3 {
        fleet.start(number);
    }
    let leader = fleet.await_leader();
    fleet.pass(1000);
    let follower = if leader == 0 { 1 } else { 0 };
    let lost = (0..3).find(|number| *number != leader && *number != follower).expect("a third");
    let lost_zone = fleet.nodes[lost].zone;
    fleet.nodes[3].zone = lost_zone;
    fleet.kill(lost);
    fleet.nodes[3].seeds = vec![follower];
    fleet.wipe(3, false);
    fleet.start(3);
    fleet.pass(6000);
    let mut expected = vec![leader, follower, 3];
    expected.sort_unstable();
    verify_that!(fleet.core_at(leader), eq(&expected))?;
    fleet.start(lost);
    fleet.pass(3000);
    verify_that!(fleet.leader(), some(eq(leader)))?;
    verify_that!(fleet.core_at(lost), eq(&expected))?;
    fleet.kill(3);
    fleet.pass(6000);
    verify_that!(fleet.core_at(leader), eq(&vec![0, 1, 2]))
}

#[gtest]
fn a_killed_leader_is_followed_within_half_a_second() -> Result<()> {
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed, &[0, 1, 2]);
        fleet.start_all();
        let leader = fleet.await_leader();
        fleet.pass(1000);
        fleet.kill(leader);
        fleet.pass(500);
        verify_that!(fleet.leader(), some(not(eq(leader))))?;
    }
    Ok(())
}

/// Before, a controller that had just started waited a whole election timeout for a leader.
#[gtest]
fn after_a_restart_of_all_a_leader_is_there_within_half_a_second() -> Result<()> {
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed, &[0, 1, 2]);
        fleet.start_all();
        fleet.await_leader();
        fleet.pass(500);
        for number in 0..3 {
            fleet.kill(number);
        }
        fleet.pass(600);
        for number in 0..3 {
            fleet.start(number);
            fleet.pass(30);
        }
        fleet.pass(410);
        verify_that!(fleet.leader(), some(anything()))?;
    }
    Ok(())
}

/// A voter that restarts next to a live leader takes nothing from it.
#[gtest]
fn a_voter_that_restarts_beside_a_live_leader_changes_nothing() -> Result<()> {
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed, &[0, 1, 2]);
        fleet.start_all();
        let leader = fleet.await_leader();
        fleet.pass(500);
        let term = fleet.accepted(leader).expect("a document").stamp.term;
        let other = (leader + 1) % 3;
        fleet.kill(other);
        fleet.start(other);
        fleet.pass(1500);
        verify_that!(fleet.leader(), some(eq(leader)))?;
        verify_that!(fleet.accepted(leader).expect("a document").stamp.term, eq(term))?;
    }
    Ok(())
}
