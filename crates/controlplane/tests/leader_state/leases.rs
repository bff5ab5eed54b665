//! When a new leader grants leases, and what it fences first.

use super::harness::{Harness, ms};
use super::samples::{claim, instance, listed_instance, old_runner};
use common::frames::AcquireResult;
use common::identity::MemberName;
use controlplane::leader_state::LeaderTiming;
use googletest::prelude::*;

#[gtest]
fn nothing_is_granted_before_every_last_known_daemon_claims_or_the_full_wait_is_over() -> Result<()>
{
    let mut harness = Harness::new(&["a", "b", "c"]);
    harness.join(1, "a", vec![]);
    harness.join(2, "b", vec![]);
    harness.acquire(1);
    harness.advance(ms(100));
    verify_that!(harness.leader_state.is_claims_quorum_reached(), eq(false))?;
    verify_that!(harness.acquire_result(), none())?;
    harness.join(3, "c", vec![]);
    harness.advance(ms(100));
    verify_that!(harness.leader_state.is_claims_quorum_reached(), eq(false))?;
    harness.list_runners(&[]);
    harness.advance(ms(100));
    verify_that!(harness.is_granted(), eq(true))
}

fn after_the_full_wait(leaving: bool) -> Result<Harness> {
    let mut harness = Harness::new(&["a", "b", "c"]);
    harness.join(1, "a", vec![]);
    harness.join(2, "b", vec![]);
    harness.acquire(1);
    harness.advance(ms(2500));
    let listed = [listed_instance(leaving)];
    harness.list_runners(&listed);
    harness.advance(ms(700));
    verify_that!(harness.leader_state.is_claims_quorum_reached(), eq(false))?;
    harness.list_runners(&listed);
    harness.advance(ms(10));
    verify_that!(harness.leader_state.is_claims_quorum_reached(), eq(true))?;
    Ok(harness)
}

#[gtest]
fn after_the_full_wait_an_unclaimed_runner_is_adopted_with_the_lease() -> Result<()> {
    let harness = after_the_full_wait(false)?;
    verify_that!(harness.runners_to_stop(), is_empty())?;
    let Some(AcquireResult::Granted {
        fencing_token,
        adopted,
        ..
    }) = harness.acquire_result()
    else {
        return fail!("not granted");
    };
    verify_that!(adopted.0.len(), eq(1))?;
    verify_that!(adopted.0[0].runner.fencing_token, eq(fencing_token))?;
    verify_that!(adopted.0[0].instance.0, elements_are![eq(&instance())])
}

#[gtest]
fn after_the_full_wait_an_unclaimed_leaving_runner_is_stopped_before_the_grant() -> Result<()> {
    let mut harness = after_the_full_wait(true)?;
    verify_that!(harness.runners_to_stop().len(), eq(1))?;
    verify_that!(harness.acquire_result(), none())?;
    let stopped = harness.runners_to_stop()[0];
    harness.leader_state.handle_runner_stopped(stopped);
    harness.advance(ms(10));
    verify_that!(harness.is_granted(), eq(true))
}

#[gtest]
fn runners_of_a_released_function_block_its_next_lease() -> Result<()> {
    let mut harness = Harness::new(&["a", "b"]);
    harness.join(1, "a", vec![claim(true)]);
    harness.join(2, "b", vec![]);
    harness.list_runners(&[]);
    harness.acquire(2);
    harness.advance(ms(10));
    verify_that!(harness.leader_state.is_claims_quorum_reached(), eq(true))?;
    verify_that!(harness.acquire_result(), none())?;
    verify_that!(harness.runners_to_stop(), elements_are![eq(&old_runner())])?;
    harness.leader_state.handle_runner_stopped(old_runner());
    harness.advance(ms(10));
    verify_that!(harness.is_granted(), eq(true))
}

#[gtest]
fn the_once_wait_counts_from_the_claims_and_not_from_the_election() -> Result<()> {
    let mut harness = Harness::new(&["a"]);
    harness.advance(ms(1500));
    harness.join(1, "a", vec![]);
    harness.list_runners(&[]);
    harness.acquire(1);
    harness.advance(ms(10));
    let Some(AcquireResult::Granted { once_wait_ms, .. }) = harness.acquire_result() else {
        return fail!("not granted");
    };
    let lease_length = LeaderTiming::builder().build().lease_length;
    verify_that!(once_wait_ms, eq(3000 + lease_length.as_millis() as u32))
}

#[gtest]
fn an_unreachable_holder_is_not_named_and_its_function_is_fenced_when_its_lease_has_ended()
-> Result<()> {
    let mut harness = Harness::new(&["a", "b"]);
    harness.join(1, "a", vec![claim(false)]);
    harness.join(2, "b", vec![]);
    harness.list_runners(&[]);
    harness.advance(ms(10));
    harness.acquire(2);
    harness.advance(ms(10));
    verify_that!(harness.names_holder(), eq(true))?;
    harness.advance(ms(1500));
    harness.acquire(2);
    harness.advance(ms(10));
    verify_that!(harness.acquire_result(), none())?;
    verify_that!(harness.runners_to_stop(), is_empty())?;
    harness.renew(2);
    harness.advance(ms(1200));
    verify_that!(harness.runners_to_stop(), elements_are![eq(&old_runner())])?;
    harness.renew(2);
    harness.leader_state.handle_runner_stopped(old_runner());
    harness.advance(ms(10));
    harness.advance(ms(10));
    verify_that!(
        harness.leader_state.report_holders().holders[0].member,
        eq(&MemberName::from("b"))
    )
}
