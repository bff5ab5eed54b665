//! Tests of the connection pool: which idle connection is reused, and which are dropped.

use common::clock::MonotonicTime;
use common::identity::{FencingToken, RunnerId};
use dataplane::pool::{Checkout, ConnectionId, ConnectionPool};
use googletest::prelude::*;
use std::time::Duration;

const START: MonotonicTime = MonotonicTime(10_000_000_000);
const RUNNER: RunnerId = RunnerId {
    fencing_token: FencingToken(4),
    ordinal: 1,
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn checkout_new_id(pool: &mut ConnectionPool) -> ConnectionId {
    match pool.checkout(START, RUNNER, 2) {
        Checkout::Open(id) => id,
        Checkout::Reused(_) | Checkout::Full => ConnectionId(0),
    }
}

#[gtest]
fn a_connection_carries_one_request_and_a_runner_gets_at_most_its_limit() -> Result<()> {
    let mut pool = ConnectionPool::default();
    let (first, second) = (checkout_new_id(&mut pool), checkout_new_id(&mut pool));
    verify_that!(first, not(eq(second)))?;
    verify_that!(pool.checkout(START, RUNNER, 2), eq(Checkout::Full))?;
    verify_that!(pool.check_in(START, RUNNER, first, None), eq(true))?;
    verify_that!(pool.checkout(START, RUNNER, 2), eq(Checkout::Reused(first)))?;
    verify_that!(pool.checkout(START, RUNNER, 2), eq(Checkout::Full))?;
    pool.remove_connection(RUNNER, second);
    verify_that!(
        matches!(pool.checkout(START, RUNNER, 2), Checkout::Open(_)),
        eq(true)
    )
}

#[gtest]
fn the_most_recently_used_connection_is_reused_first() -> Result<()> {
    let mut pool = ConnectionPool::default();
    let (first, second) = (checkout_new_id(&mut pool), checkout_new_id(&mut pool));
    pool.check_in(START, RUNNER, second, None);
    pool.check_in(START + ms(5), RUNNER, first, None);
    verify_that!(
        pool.checkout(START + ms(6), RUNNER, 2),
        eq(Checkout::Reused(first))
    )?;
    verify_that!(
        pool.remove_expired(START + ms(10_001)),
        elements_are![eq(&second)]
    )?;
    verify_that!(pool.count(RUNNER), eq(1))
}

#[gtest]
fn a_connection_is_not_reused_close_to_its_keep_alive_timeout() -> Result<()> {
    for (keep_alive, last_use_ms) in [
        (Some(ms(5000)), 3999),
        (None, 9999),
        (Some(ms(60_000)), 9999),
    ] {
        let mut pool = ConnectionPool::default();
        let id = checkout_new_id(&mut pool);
        pool.check_in(START, RUNNER, id, keep_alive);
        let last_use = START + ms(last_use_ms);
        verify_that!(pool.checkout(last_use, RUNNER, 2), eq(Checkout::Reused(id)))?;
        pool.check_in(START, RUNNER, id, keep_alive);
        let too_late = pool.checkout(last_use + ms(1), RUNNER, 2);
        verify_that!(matches!(too_late, Checkout::Open(_)), eq(true))?;
    }
    let mut pool = ConnectionPool::default();
    let id = checkout_new_id(&mut pool);
    verify_that!(pool.check_in(START, RUNNER, id, Some(ms(1000))), eq(false))?;
    verify_that!(pool.count(RUNNER), eq(0))
}

#[gtest]
fn a_closed_connection_or_one_of_a_stopped_runner_is_never_reused() -> Result<()> {
    let mut pool = ConnectionPool::default();
    let (first, second) = (checkout_new_id(&mut pool), checkout_new_id(&mut pool));
    pool.check_in(START, RUNNER, first, None);
    verify_that!(pool.remove_idle(RUNNER), elements_are![eq(&first)])?;
    pool.remove_connection(RUNNER, second);
    verify_that!(pool.check_in(START, RUNNER, second, None), eq(false))?;
    verify_that!(pool.count(RUNNER), eq(0))
}
