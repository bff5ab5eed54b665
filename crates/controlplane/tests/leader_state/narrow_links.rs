//! Functions are kept off daemons on narrow links while enough daemons on wide links are available.

use super::harness::{Harness, ms};
use common::frames::LeaderToDaemon;
use googletest::prelude::*;

const NARROW_MBPS: u32 = 2;
const WIDE_MBPS: u32 = 100;

/// Returns a leader with one member, on a narrow link, that holds the function.
fn granted_on_a_narrow_link() -> Harness {
    let mut harness = Harness::new(&["a"]);
    harness.join_with_link(1, "a", NARROW_MBPS, vec![]);
    harness.advance(ms(100));
    harness.list_runners(&[]);
    harness.acquire(1);
    harness.advance(ms(100));
    harness
}

/// Counts the hand-overs of the function that are ordered within five seconds.
fn hand_overs(harness: &mut Harness) -> usize {
    let mut seen = 0;
    for _ in 0..50 {
        harness.advance(ms(100));
        let is_hand_over =
            |(_, frame): &(u64, &LeaderToDaemon)| matches!(frame, LeaderToDaemon::HandOver { .. });
        seen += harness.frames().filter(is_hand_over).count();
        harness.renew(1);
    }
    seen
}

/// While members are still joining, the leader may know too few hosts on wide links and grant leases to one on a narrow
/// link. The busiest function of a deployment must not stay there once the others have joined.
#[gtest]
fn a_function_leaves_a_narrow_link_once_enough_wide_ones_have_joined() -> Result<()> {
    let mut harness = granted_on_a_narrow_link();
    verify_that!(harness.is_granted(), eq(true))?;
    for (stream, name) in [(2, "b"), (3, "c"), (4, "d")] {
        harness.join_with_link(stream, name, WIDE_MBPS, vec![]);
    }
    verify_that!(hand_overs(&mut harness), eq(1))
}

#[gtest]
fn a_function_stays_on_a_narrow_link_while_too_few_wide_ones_have_joined() -> Result<()> {
    let mut harness = granted_on_a_narrow_link();
    for (stream, name) in [(2, "b"), (3, "c")] {
        harness.join_with_link(stream, name, WIDE_MBPS, vec![]);
    }
    verify_that!(hand_overs(&mut harness), eq(0))
}

/// Returns a leader that has just reached the claims quorum, with hosts on wide links and a request from the one on a
/// narrow link.
fn acquisition_from_a_narrow_link() -> Harness {
    let mut harness = Harness::new(&["a"]);
    harness.join_with_link(1, "a", NARROW_MBPS, vec![]);
    for (stream, name) in [(2, "b"), (3, "c"), (4, "d")] {
        harness.join_with_link(stream, name, WIDE_MBPS, vec![]);
    }
    harness.advance(ms(100));
    harness.list_runners(&[]);
    harness.acquire(1);
    harness.advance(ms(100));
    harness
}

/// The first request may come from a host on a narrow link whose host list contains no other hosts yet. A request that
/// arrives from a wide link in the meantime is granted first, and the first requester gets the holder's name.
#[gtest]
fn an_acquisition_from_a_narrow_link_waits_for_one_from_a_wide_link() -> Result<()> {
    let mut harness = acquisition_from_a_narrow_link();
    verify_that!(harness.leader_state.is_claims_quorum_reached(), eq(true))?;
    verify_that!(harness.acquire_result(), none())?;
    harness.acquire(3);
    harness.advance(ms(100));
    verify_that!(harness.is_granted(), eq(true))?;
    harness.advance(ms(100));
    verify_that!(harness.names_holder(), eq(true))
}

#[gtest]
fn an_acquisition_from_a_narrow_link_without_a_competing_wide_one_is_granted_after_a_second()
-> Result<()> {
    let mut harness = acquisition_from_a_narrow_link();
    verify_that!(harness.leader_state.is_claims_quorum_reached(), eq(true))?;
    harness.advance(ms(900));
    verify_that!(harness.acquire_result(), none())?;
    harness.renew(1);
    harness.advance(ms(200));
    verify_that!(harness.is_granted(), eq(true))
}
