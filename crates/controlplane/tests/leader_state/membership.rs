//! The membership list: which members are awaited, which get a session lease, and which are removed.

use super::harness::{ELECTED, Harness, ms};
use super::samples::{document, hello, listed_instance};
use common::frames::{DaemonToLeader, Flag, Host, LeaderToDaemon, SocketAddress};
use common::identity::{DocumentVersion, Term, Version};
use common::spec::ListedMember;
use controlplane::leader_state::{LeaderState, LeaderTiming, QuorumConfirmation, StreamId};
use googletest::prelude::*;
use std::collections::BTreeSet;

fn address(last: u8) -> SocketAddress {
    SocketAddress(format!("10.0.0.{last}:1").parse().expect("an address"))
}

/// A listed member: its name, and the last number of its address.
type Listed = (&'static str, u8);

fn membership(listed: &[Listed]) -> BTreeSet<ListedMember> {
    let members = listed.iter().map(|(name, last)| ListedMember {
        member: (*name).into(),
        address: address(*last),
    });
    members.collect()
}

fn elected_with_membership(listed: &[Listed]) -> Harness {
    let timing = LeaderTiming::builder().build();
    let mut leader_state = LeaderState::new(timing, Term(5), ELECTED, BTreeSet::new(), false);
    let mut document = document().with_membership(membership(listed));
    document.document_version.term = Term(5);
    leader_state.handle_committed(document);
    Harness::with_state(leader_state)
}

fn join_as(
    harness: &mut Harness,
    stream: u64,
    at: Listed,
    incarnation: u64,
    age_ms: u32,
    granted: bool,
) {
    let host = Host {
        member: at.0.into(),
        incarnation: incarnation.into(),
        zone: "l".into(),
        address: address(at.1),
        eligible: Flag(true),
        link_mbps: 0,
    };
    harness.send(stream, hello(host, age_ms, granted));
    harness.claim(stream, vec![]);
    harness.renew(stream);
}

#[gtest]
fn with_a_membership_the_claims_quorum_needs_a_claim_from_each_address_in_any_incarnation()
-> Result<()> {
    let mut harness = elected_with_membership(&[("a", 1), ("b", 2), ("c", 3)]);
    join_as(&mut harness, 1, ("a", 1), 1, 5000, true);
    join_as(&mut harness, 2, ("b", 2), 9, 600, false);
    harness.advance(ms(100));
    verify_that!(harness.leader_state.is_claims_quorum_reached(), eq(false))?;
    join_as(&mut harness, 3, ("c", 4), 9, 600, false);
    harness.advance(ms(100));
    verify_that!(harness.leader_state.is_claims_quorum_reached(), eq(false))?;
    join_as(&mut harness, 4, ("d", 3), 9, 600, false);
    harness.advance(ms(10));
    verify_that!(harness.leader_state.is_claims_quorum_reached(), eq(true))
}

#[gtest]
fn a_listed_member_that_does_not_join_is_awaited_as_long_as_its_lease() -> Result<()> {
    let mut harness = elected_with_membership(&[("a", 1), ("b", 2), ("c", 3)]);
    join_as(&mut harness, 1, ("a", 1), 1, 5000, true);
    join_as(&mut harness, 2, ("b", 2), 1, 5000, true);
    harness.advance(ms(2150));
    harness.list_runners(&[]);
    harness.advance(ms(10));
    verify_that!(harness.leader_state.is_claims_quorum_reached(), eq(false))?;
    harness.advance(ms(450));
    harness.list_runners(&[]);
    harness.advance(ms(10));
    verify_that!(harness.leader_state.is_claims_quorum_reached(), eq(true))
}

/// The earlier incarnation had ended when the current one started. Starts that it had requested reach the platform
/// slightly later.
#[gtest]
fn an_unclaimed_instance_is_adopted_from_the_first_complete_list() -> Result<()> {
    let mut harness = elected_with_membership(&[("a", 1)]);
    harness.advance(ms(10));
    verify_that!(harness.has_requested_lists(), eq(true))?;
    harness.advance(ms(190));
    join_as(&mut harness, 1, ("a", 1), 9, 1000, false);
    harness.acquire(1);
    harness.advance(ms(10));
    verify_that!(harness.leader_state.is_claims_quorum_reached(), eq(true))?;
    verify_that!(harness.has_requested_lists(), eq(true))?;
    harness
        .leader_state
        .handle_runner_list(ELECTED - ms(301), &[listed_instance(false)]);
    harness.advance(ms(30));
    verify_that!(harness.acquire_result(), none())?;
    harness
        .leader_state
        .handle_runner_list(ELECTED - ms(300), &[listed_instance(false)]);
    harness.advance(ms(30));
    verify_that!(harness.adopted_runners().len(), eq(1))
}

/// A member with a lease from before the election may have orphaned a runner just before it.
#[gtest]
fn nothing_is_granted_before_a_list_shows_the_runners_orphaned_until_the_election() -> Result<()> {
    let mut harness = elected_with_membership(&[("a", 1)]);
    join_as(&mut harness, 1, ("a", 1), 1, 60_000, true);
    harness.acquire(1);
    harness
        .leader_state
        .handle_runner_list(ELECTED - ms(1), &[listed_instance(false)]);
    harness.advance(ms(30));
    verify_that!(harness.leader_state.is_claims_quorum_reached(), eq(true))?;
    verify_that!(harness.acquire_result(), none())?;
    harness
        .leader_state
        .handle_runner_list(ELECTED, &[listed_instance(false)]);
    harness.advance(ms(30));
    verify_that!(harness.adopted_runners().len(), eq(1))
}

#[gtest]
fn a_daemon_gets_a_lease_when_the_committed_and_the_proposed_membership_name_it() -> Result<()> {
    let mut harness = elected_with_membership(&[("a", 1)]);
    join_as(&mut harness, 1, ("a", 1), 1, 5000, true);
    join_as(&mut harness, 2, ("b", 2), 1, 300, false);
    harness.advance(ms(10));
    verify_that!(harness.is_renewed(1), eq(true))?;
    verify_that!(harness.is_renewed(2), eq(false))?;
    verify_that!(harness.leader_state.due_membership(harness.now), none())?;
    harness.now = harness.now + ms(40);
    let due = harness.leader_state.due_membership(harness.now);
    verify_that!(due.as_ref(), some(eq(&membership(&[("a", 1), ("b", 2)]))))?;
    let mut next_document = document().with_membership(due.expect("a membership"));
    next_document.document_version = DocumentVersion {
        term: Term(5),
        version: Version(4),
    };
    next_document.hidden_versions = 2;
    harness.leader_state.handle_committed(next_document);
    verify_that!(harness.leader_state.due_membership(harness.now), none())?;
    let smaller = membership(&[("a", 1)]);
    let quorum_confirmed_at = harness.now;
    let confirmation = QuorumConfirmation {
        ready: true,
        quorum_confirmed_at,
        is_member_confirmed: &|_| true,
        proposed_membership: Some(&smaller),
    };
    harness.outputs = harness.leader_state.progress(harness.now, &confirmation);
    verify_that!(harness.is_renewed(2), eq(false))?;
    harness.advance(ms(10));
    verify_that!(harness.is_renewed(2), eq(true))?;
    let is_pushed = |(_, frame): (u64, &LeaderToDaemon)| {
        matches!(
            frame,
            LeaderToDaemon::SpecDelta { .. } | LeaderToDaemon::Spec { .. }
        )
    };
    verify_that!(harness.frames().any(is_pushed), eq(false))
}

#[gtest]
fn a_confirmation_from_before_an_incarnation_joined_gives_it_no_lease() -> Result<()> {
    let mut harness = elected_with_membership(&[("a", 1)]);
    harness.advance(ms(300));
    join_as(&mut harness, 1, ("a", 1), 9, 100, false);
    let before = harness.now - ms(5);
    let confirmation = QuorumConfirmation {
        ready: true,
        quorum_confirmed_at: before,
        is_member_confirmed: &|_| true,
        proposed_membership: None,
    };
    harness.outputs = harness
        .leader_state
        .progress(harness.now + ms(100), &confirmation);
    verify_that!(harness.is_renewed(1), eq(false))?;
    verify_that!(harness.leader_state.needs_heartbeat_round(), eq(true))?;
    harness.advance(ms(0));
    verify_that!(harness.is_renewed(1), eq(true))
}

#[gtest]
fn members_absent_for_long_leave_the_membership() -> Result<()> {
    let mut harness = elected_with_membership(&[("a", 1), ("b", 2)]);
    join_as(&mut harness, 1, ("a", 1), 1, 5000, true);
    harness.advance(ms(100));
    verify_that!(harness.leader_state.due_membership(harness.now), none())?;
    harness.advance(ms(3800));
    verify_that!(harness.leader_state.due_membership(harness.now), none())?;
    harness.advance(ms(400));
    verify_that!(harness.leader_state.due_membership(harness.now), none())?;
    harness.advance(ms(40));
    verify_that!(
        harness.leader_state.due_membership(harness.now),
        some(eq(&membership(&[("a", 1)])))
    )
}

/// Returns a leader with two members, the second of which has just left gracefully.
fn after_a_graceful_departure() -> Harness {
    let mut harness = elected_with_membership(&[("a", 1), ("b", 2)]);
    join_as(&mut harness, 1, ("a", 1), 1, 5000, true);
    join_as(&mut harness, 2, ("b", 2), 1, 5000, true);
    harness.advance(ms(100));
    harness.send(2, DaemonToLeader::Leaving);
    harness.leader_state.handle_stream_lost(StreamId(2));
    harness
}

/// Otherwise the next leader would await members that have left permanently.
#[gtest]
fn a_gracefully_departed_daemon_leaves_the_membership_unless_it_restarts() -> Result<()> {
    let mut harness = after_a_graceful_departure();
    let departed_at = harness.now;
    let mut due_membership = None;
    while due_membership.is_none() && harness.now.since(departed_at) < ms(4000) {
        harness.advance(ms(20));
        due_membership = harness.leader_state.due_membership(harness.now);
    }
    verify_that!(due_membership, some(eq(&membership(&[("a", 1)]))))?;
    verify_that!(harness.now.since(departed_at), ge(ms(2200)))?;
    verify_that!(harness.now.since(departed_at), lt(ms(2900)))
}

#[gtest]
fn a_gracefully_departed_daemon_that_restarts_stays_in_the_membership() -> Result<()> {
    let mut harness = after_a_graceful_departure();
    harness.advance(ms(1000));
    verify_that!(harness.leader_state.due_membership(harness.now), none())?;
    join_as(&mut harness, 3, ("b", 2), 2, 100, false);
    for _ in 0..40 {
        harness.advance(ms(100));
        verify_that!(harness.leader_state.due_membership(harness.now), none())?;
    }
    Ok(())
}

/// If most members are gone or disconnected, the remaining ones still serve.
#[gtest]
fn the_joined_members_reach_the_claims_quorum_once_the_absent_ones_are_dropped() -> Result<()> {
    let mut harness = elected_with_membership(&[("a", 1), ("b", 2), ("c", 3), ("d", 4)]);
    join_as(&mut harness, 1, ("a", 1), 1, 5000, true);
    harness.advance(ms(3900));
    harness.list_runners(&[]);
    harness.advance(ms(50));
    verify_that!(harness.leader_state.is_claims_quorum_reached(), eq(false))?;
    harness.advance(ms(200));
    harness.list_runners(&[]);
    harness.advance(ms(50));
    verify_that!(harness.leader_state.is_claims_quorum_reached(), eq(true))
}
