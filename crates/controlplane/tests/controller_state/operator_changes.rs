//! Repeated changes are acknowledged again, a controller that may no longer be the leader rejects nothing, and an
//! evacuation whose caller has disconnected is not carried out.

use super::cluster::TestCluster;
use super::operations::{numbered, zone_change};
use common::identity::Zone;
use controlplane::controller_state::{
    ChangeKind, ControllerInput, Operation, OperationReply, Unavailable,
};
use googletest::prelude::*;
use std::time::Duration;

fn evacuate(zone: &str) -> Operation {
    zone_change(ChangeKind::Evacuate {
        zone: Zone::from(zone),
        force: true,
    })
}

fn restore(zone: &str) -> Operation {
    zone_change(ChangeKind::Restore {
        zone: Zone::from(zone),
    })
}

fn is_accepted(reply: &Option<OperationReply>) -> bool {
    matches!(reply, Some(OperationReply::Accepted { .. }))
}

/// A change that may have been applied before its record was discarded is neither acknowledged nor rejected.
#[gtest]
fn a_change_is_recognized_after_many_others_and_a_forgotten_one_is_not_rejected() -> Result<()> {
    let mut cluster = TestCluster::bootstrapped(1);
    let leader = cluster.await_leader();
    for number in 1..=1100 {
        let reply = cluster.reply_to(leader, numbered(number, number - 1));
        verify_that!(is_accepted(&reply), eq(true))?;
    }
    for number in [1099, 1000, 200, 100] {
        let reply = cluster.reply_to(leader, numbered(number, number - 1));
        verify_that!(is_accepted(&reply), eq(true))?;
    }
    let forgotten = cluster.reply_to(leader, numbered(50, 49));
    let is_unclear = matches!(
        forgotten,
        Some(OperationReply::Unknown {
            reason: Unavailable::Forgotten,
            ..
        })
    );
    verify_that!(is_unclear, eq(true))?;
    let rival = cluster.reply_to(leader, numbered(500, 498));
    verify_that!(
        matches!(rival, Some(OperationReply::Stale { .. })),
        eq(true)
    )?;
    verify_that!(
        cluster
            .accepted(leader)
            .expect("a document")
            .to_bytes()
            .len(),
        le(32 << 10)
    )
}

#[gtest]
fn a_leader_that_may_have_been_deposed_rejects_nothing() -> Result<()> {
    for seed in 0..20 {
        let mut cluster = TestCluster::bootstrapped(seed);
        let leader = cluster.await_leader();
        cluster.reply_to(leader, numbered(5, 0));
        let others: Vec<usize> = (0..3).filter(|number| *number != leader).collect();
        cluster.isolate(&[leader], &others);
        cluster.advance(20);
        let tickets = [
            cluster.submit(leader, numbered(7, 3)),
            cluster.submit(leader, numbered(4, 5)),
            cluster.submit(leader, restore("l1")),
        ];
        let repeated_ticket = cluster.submit(leader, numbered(5, 0));
        cluster.advance(4000);
        for ticket in tickets {
            let is_unclear = matches!(
                cluster.replies.get(&ticket),
                Some(OperationReply::NotAccepted { .. } | OperationReply::Unknown { .. })
            );
            verify_that!(is_unclear, eq(true))?;
        }
        verify_that!(
            is_accepted(&cluster.replies.remove(&repeated_ticket)),
            eq(true)
        )?;
    }
    Ok(())
}

#[gtest]
fn an_evacuation_whose_caller_disconnected_is_not_executed() -> Result<()> {
    let mut cluster = TestCluster::bootstrapped(3);
    let leader = cluster.await_leader();
    let abandoned_ticket = cluster.submit(leader, evacuate("l1"));
    cluster.advance(8);
    cluster.feed(
        leader,
        ControllerInput::CallerDisconnected(abandoned_ticket),
    );
    cluster.advance(1000);
    verify_that!(
        cluster
            .accepted(leader)
            .expect("a document")
            .evacuated
            .is_empty(),
        eq(true)
    )?;
    verify_that!(cluster.replies.contains_key(&abandoned_ticket), eq(false))?;
    let reply = cluster.reply_to(leader, evacuate("l1"));
    verify_that!(is_accepted(&reply), eq(true))?;
    let evacuated = &cluster.accepted(leader).expect("a document").evacuated;
    verify_that!(evacuated.contains(&Zone::from("l1")), eq(true))
}

/// Guards against a committed restore that is rejected when it is retried, because no daemon has reported the zone to
/// the new leader yet.
#[gtest]
fn a_committed_restore_that_waits_during_an_election_is_not_rejected() -> Result<()> {
    let mut retry_count = 0;
    for seed in 0..120 {
        let mut cluster = TestCluster::bootstrapped(seed);
        let leader = cluster.await_leader();
        for number in 0..3 {
            let others: Vec<usize> = (0..3).filter(|other| *other != number).collect();
            cluster.isolate(&[number], &others);
        }
        cluster.advance(600);
        let mut ticket = cluster.submit(leader, restore("l9"));
        while cluster.leader() == Some(leader) {
            ticket = cluster.submit(leader, restore("l9"));
            cluster.advance(10);
        }
        cluster.cut_links.clear();
        cluster.advance(1500);
        let reply = cluster.replies.remove(&ticket);
        let is_rejected = matches!(reply, Some(OperationReply::UnknownZone { .. }));
        verify_that!(is_rejected, eq(false)).with_failure_message(|| format!("seed {seed}"))?;
        retry_count += u32::from(cluster.leader() == Some(leader) && is_accepted(&reply));
    }
    verify_that!(retry_count, ge(3))
}

#[gtest]
fn operators_are_not_redirected_to_a_leader_without_a_recent_heartbeat() -> Result<()> {
    let mut cluster = TestCluster::bootstrapped(5);
    let leader = cluster.await_leader();
    let follower = (0..3).find(|number| *number != leader).expect("a follower");
    let immediate_ticket = cluster.submit(follower, Operation::ReadSpec);
    let is_redirected = matches!(
        cluster.replies.get(&immediate_ticket),
        Some(OperationReply::Redirect(_))
    );
    verify_that!(is_redirected, eq(true))?;
    cluster.now = cluster.now + Duration::from_secs(5);
    let ticket_after_freeze = cluster.submit(follower, Operation::ReadSpec);
    let is_redirected = matches!(
        cluster.replies.get(&ticket_after_freeze),
        Some(OperationReply::Redirect(_))
    );
    verify_that!(is_redirected, eq(false))
}
