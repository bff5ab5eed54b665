//! The control quorum is bootstrapped at the first start of all controllers, and never again. Later, controllers join it,
//! voters are replaced, and a new leader is elected.

use super::cluster::{TestCluster, address, operators};
use common::frames::{DaemonToLeader, LeaderToDaemon};
use common::identity::{ControllerId, Version};
use controlplane::controller_state::{Operation, OperationReply, Unavailable};
use googletest::prelude::*;
use std::collections::BTreeSet;

/// Returns the voters' IDs of every distinct first version that was written to any disk.
fn bootstraps(cluster: &TestCluster) -> BTreeSet<Vec<u64>> {
    cluster
        .written
        .iter()
        .filter(|(_, document)| document.document_version.version == Version(1))
        .map(|(_, document)| document.voters.iter().map(|member| member.id.0).collect())
        .collect()
}

#[gtest]
fn the_seeds_bootstrap_the_quorum_and_a_slow_seed_joins_it() -> Result<()> {
    let mut cluster = TestCluster::new(1, &[0, 1, 2, 0]);
    cluster.start(3);
    cluster.start(0);
    cluster.start(1);
    cluster.advance(3000);
    verify_that!(cluster.written.is_empty(), eq(true))?;
    cluster.start(2);
    cluster.isolate(&[2], &[0, 1, 3]);
    cluster.advance(2000);
    verify_that!(cluster.written.is_empty(), eq(true))?;
    cluster.cut_links.clear();
    while cluster.written.is_empty() {
        cluster.advance(1);
    }
    cluster.isolate(&[2], &[0, 1, 3]);
    cluster.advance(3000);
    let leader = cluster.await_leader();
    verify_that!(cluster.voters_at(leader), eq(&vec![0, 1, 2]))?;
    verify_that!(cluster.accepted(2).is_none(), eq(true))?;
    cluster.cut_links.clear();
    cluster.advance(2000);
    verify_that!(cluster.voters_at(2), eq(&vec![0, 1, 2]))?;
    verify_that!(bootstraps(&cluster).len(), eq(1))?;
    verify_that!(cluster.voters_at(3), eq(&vec![0, 1, 2]))
}

#[gtest]
fn a_seed_that_restarts_during_the_bootstrap_bootstraps_no_other_quorum() -> Result<()> {
    for seed in 0..20 {
        let mut cluster = TestCluster::new(seed, &[0, 1, 2]);
        cluster.start_all();
        while cluster.written.is_empty() {
            cluster.advance(1);
        }
        cluster.kill(0);
        cluster.advance(700);
        cluster.start(0);
        let leader = cluster.await_leader();
        verify_that!(cluster.voters_at(leader), eq(&vec![0, 1, 2]))?;
        verify_that!(bootstraps(&cluster).len(), eq(1))?;
    }
    Ok(())
}

#[gtest]
fn a_disk_lost_after_the_bootstrap_does_not_cause_another_bootstrap() -> Result<()> {
    let mut cluster = TestCluster::new(3, &[0, 1, 2]);
    cluster.start_all();
    cluster.await_leader();
    for lost in 0..3 {
        cluster.kill(lost);
    }
    cluster.wipe(0, false);
    cluster.wipe(1, false);
    cluster.written.clear();
    cluster.start(0);
    cluster.start(1);
    cluster.advance(10_000);
    verify_that!(cluster.written.is_empty(), eq(true))?;
    cluster.start(2);
    cluster.advance(10_000);
    verify_that!(cluster.leader(), none())?;
    verify_that!(cluster.written.is_empty(), eq(true))
}

#[gtest]
fn faults_at_the_first_start_never_cause_two_bootstraps() -> Result<()> {
    let mut bootstrap_count = 0;
    for seed in 0..60 {
        let mut cluster = TestCluster::new(seed, &[0, 1, 2, 0, 1]);
        cluster.start_all();
        for _ in 0..12 {
            let number = cluster.rng.below(5) as usize;
            let other = cluster.rng.below(5) as usize;
            match cluster.rng.below(5) {
                0 => cluster.kill(number),
                1 => {
                    cluster.kill(number);
                    cluster.wipe(number, false);
                    cluster.start(number);
                }
                2 => cluster.isolate(&[number], &[other]),
                3 => cluster.cut_links.clear(),
                _ if cluster.nodes[number].controller_state.is_none() => cluster.start(number),
                _ => {}
            }
            let millis = cluster.rng.below(400);
            cluster.advance(millis);
        }
        verify_that!(bootstraps(&cluster).len(), le(1))?;
        bootstrap_count += bootstraps(&cluster).len();
    }
    verify_that!(bootstrap_count, ge(20))
}

#[gtest]
fn another_controller_becomes_a_voter_instead_of_a_diskless_seed() -> Result<()> {
    let mut cluster = TestCluster::new(5, &[0, 1, 2, 0]);
    cluster.nodes[0].disk = None;
    cluster.start_all();
    cluster.advance(6000);
    let leader = cluster.await_leader();
    verify_that!(cluster.voters_at(leader), eq(&vec![1, 2, 3]))?;
    verify_that!(cluster.accepted(0).is_none(), eq(true))
}

#[gtest]
fn a_diskless_controller_redirects_operators_and_daemons_and_never_votes() -> Result<()> {
    let mut cluster = TestCluster::new(6, &[0, 1, 2, 0]);
    cluster.nodes[3].disk = None;
    cluster.start_all();
    let leader = cluster.await_leader();
    cluster.advance(1500);
    let reply = cluster.reply_to(3, Operation::ReadSpec);
    let redirect = matches!(reply, Some(OperationReply::Redirect(at)) if at == operators(leader));
    verify_that!(redirect, eq(true))?;
    cluster.stream(3, 9, DaemonToLeader::FullSpecRequest);
    let is_redirected = cluster.sent_to_daemons.iter().any(|(number, frame)| {
        let leader_address = address(leader);
        *number == 3
            && matches!(frame, LeaderToDaemon::Redirect { leader } if *leader == leader_address)
    });
    verify_that!(is_redirected, eq(true))?;
    cluster.kill(leader);
    cluster.advance(20_000);
    let next_leader = cluster.await_leader();
    verify_that!(next_leader, not(eq(3)))?;
    verify_that!(cluster.voters_at(next_leader).contains(&3), eq(false))?;
    verify_that!(
        cluster.written.iter().any(|(number, _)| *number == 3),
        eq(false)
    )
}

#[gtest]
fn an_operation_waits_for_a_leader_instead_of_being_rejected() -> Result<()> {
    let mut cluster = TestCluster::new(7, &[0, 1, 2]);
    cluster.start_all();
    let leader = cluster.await_leader();
    cluster.advance(1000);
    let other = (leader + 1) % 3;
    cluster.kill(leader);
    let reply = cluster.reply_to(other, Operation::ReadSpec);
    let is_answered = matches!(
        reply,
        Some(OperationReply::Redirect(_) | OperationReply::Spec { .. })
    );
    verify_that!(is_answered, eq(true))?;
    let third = (0..3)
        .find(|number| *number != leader && *number != other)
        .expect("a third");
    cluster.kill(third);
    cluster.advance(1500);
    let requested_at = cluster.now;
    let reply = cluster.reply_to(other, Operation::ReadSpec);
    verify_that!(
        matches!(
            reply,
            Some(OperationReply::TemporarilyUnavailable(
                Unavailable::NoLeader
            ))
        ),
        eq(true)
    )?;
    verify_that!(cluster.now.since(requested_at).as_millis(), le(800))
}

#[gtest]
fn a_controller_with_an_empty_disk_at_a_voters_address_replaces_the_voter_at_once() -> Result<()> {
    let mut cluster = TestCluster::new(8, &[0, 1, 2]);
    cluster.start_all();
    let leader = cluster.await_leader();
    cluster.advance(1000);
    let lost = (leader + 1) % 3;
    let former_id = cluster.nodes[lost]
        .disk
        .as_ref()
        .expect("a disk")
        .persisted
        .id;
    cluster.kill(lost);
    cluster.wipe(lost, false);
    cluster.start(lost);
    cluster.advance(1200);
    let members: Vec<ControllerId> = cluster
        .accepted(leader)
        .expect("one")
        .voters
        .iter()
        .map(|member| member.id)
        .collect();
    verify_that!(members.contains(&former_id), eq(false))?;
    verify_that!(
        cluster
            .accepted(leader)
            .expect("one")
            .previous_voters
            .is_empty(),
        eq(true)
    )?;
    verify_that!(cluster.voters_at(lost), eq(&vec![0, 1, 2]))?;
    let other = (leader + 2) % 3;
    cluster.kill(other);
    cluster.advance(1000);
    verify_that!(cluster.leader(), some(anything()))
}

#[gtest]
fn one_seed_suffices_to_join_the_quorum_and_a_removed_voter_rejoins_when_needed() -> Result<()> {
    let mut cluster = TestCluster::new(9, &[0, 1, 2, 2]);
    for number in 0..3 {
        cluster.start(number);
    }
    let leader = cluster.await_leader();
    cluster.advance(1000);
    let follower = if leader == 0 { 1 } else { 0 };
    let lost = (0..3)
        .find(|number| *number != leader && *number != follower)
        .expect("a third");
    let lost_zone = cluster.nodes[lost].zone;
    cluster.nodes[3].zone = lost_zone;
    cluster.kill(lost);
    cluster.nodes[3].seeds = vec![follower];
    cluster.wipe(3, false);
    cluster.start(3);
    cluster.advance(6000);
    let mut expected = vec![leader, follower, 3];
    expected.sort_unstable();
    verify_that!(cluster.voters_at(leader), eq(&expected))?;
    cluster.start(lost);
    cluster.advance(3000);
    verify_that!(cluster.leader(), some(eq(leader)))?;
    verify_that!(cluster.voters_at(lost), eq(&expected))?;
    cluster.kill(3);
    cluster.advance(6000);
    verify_that!(cluster.voters_at(leader), eq(&vec![0, 1, 2]))
}

#[gtest]
fn a_killed_leader_is_replaced_within_half_a_second() -> Result<()> {
    for seed in 0..10 {
        let mut cluster = TestCluster::new(seed, &[0, 1, 2]);
        cluster.start_all();
        let leader = cluster.await_leader();
        cluster.advance(1000);
        cluster.kill(leader);
        cluster.advance(500);
        verify_that!(cluster.leader(), some(not(eq(leader))))?;
    }
    Ok(())
}

/// Guards against a controller that waits for a full election timeout for a leader after its start.
#[gtest]
fn a_leader_is_elected_within_half_a_second_of_a_restart_of_all_controllers() -> Result<()> {
    for seed in 0..20 {
        let mut cluster = TestCluster::new(seed, &[0, 1, 2]);
        cluster.start_all();
        cluster.await_leader();
        cluster.advance(500);
        for number in 0..3 {
            cluster.kill(number);
        }
        cluster.advance(600);
        for number in 0..3 {
            cluster.start(number);
            cluster.advance(30);
        }
        cluster.advance(410);
        verify_that!(cluster.leader(), some(anything()))?;
    }
    Ok(())
}

/// Guards against an election that is started by a restarted voter while there is a live leader.
#[gtest]
fn a_voter_that_restarts_under_a_live_leader_does_not_disturb_it() -> Result<()> {
    for seed in 0..20 {
        let mut cluster = TestCluster::new(seed, &[0, 1, 2]);
        cluster.start_all();
        let leader = cluster.await_leader();
        cluster.advance(500);
        let term = cluster
            .accepted(leader)
            .expect("a document")
            .document_version
            .term;
        let other = (leader + 1) % 3;
        cluster.kill(other);
        cluster.start(other);
        cluster.advance(1500);
        verify_that!(cluster.leader(), some(eq(leader)))?;
        verify_that!(
            cluster
                .accepted(leader)
                .expect("a document")
                .document_version
                .term,
            eq(term)
        )?;
    }
    Ok(())
}
