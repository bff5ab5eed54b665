//! Which kept connection is used, and which are dropped.

use common::clock::Moment;
use common::identity::{GrantSerial, RunnerId};
use dataplane::pool::{Draw, LinkNumber, Pool};
use googletest::prelude::*;
use std::time::Duration;

const START: Moment = Moment(10_000_000_000);
const RUNNER: RunnerId = RunnerId { grant: GrantSerial(4), ordinal: 1 };

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn opened(pool: &mut Pool) -> LinkNumber {
    match pool.draw(START, RUNNER, 2) {
        Draw::Open(number) => number,
        Draw::Kept(_) | Draw::Full => LinkNumber(0),
    }
}

#[gtest]
fn a_connection_carries_one_transaction_at_a_time_and_a_runner_gets_no_more_than_it_takes()
-> Result<()> {
    let mut pool = Pool::default();
    let (first, second) = (opened(&mut pool), opened(&mut pool));
    verify_that!(first, not(eq(second)))?;
    verify_that!(pool.draw(START, RUNNER, 2), eq(Draw::Full))?;
    verify_that!(pool.give_back(START, RUNNER, first, None), eq(true))?;
    verify_that!(pool.draw(START, RUNNER, 2), eq(Draw::Kept(first)))?;
    verify_that!(pool.draw(START, RUNNER, 2), eq(Draw::Full))?;
    pool.drop_link(RUNNER, second);
    verify_that!(matches!(pool.draw(START, RUNNER, 2), Draw::Open(_)), eq(true))
}

#[gtest]
fn the_connection_used_last_is_drawn_first_so_that_the_others_can_go() -> Result<()> {
    let mut pool = Pool::default();
    let (first, second) = (opened(&mut pool), opened(&mut pool));
    pool.give_back(START, RUNNER, second, None);
    pool.give_back(START + ms(5), RUNNER, first, None);
    verify_that!(pool.draw(START + ms(6), RUNNER, 2), eq(Draw::Kept(first)))?;
    verify_that!(pool.sweep(START + ms(10_001)), elements_are![eq(&second)])?;
    verify_that!(pool.count(RUNNER), eq(1))
}

#[gtest]
fn a_connection_is_not_used_shortly_before_the_runner_ends_it() -> Result<()> {
    for (kept_for, last_use_ms) in [(Some(ms(5000)), 3999), (None, 9999), (Some(ms(60_000)), 9999)]
    {
        let mut pool = Pool::default();
        let number = opened(&mut pool);
        pool.give_back(START, RUNNER, number, kept_for);
        let last_use = START + ms(last_use_ms);
        verify_that!(pool.draw(last_use, RUNNER, 2), eq(Draw::Kept(number)))?;
        pool.give_back(START, RUNNER, number, kept_for);
        let too_late = pool.draw(last_use + ms(1), RUNNER, 2);
        verify_that!(matches!(too_late, Draw::Open(_)), eq(true))?;
    }
    let mut pool = Pool::default();
    let number = opened(&mut pool);
    verify_that!(pool.give_back(START, RUNNER, number, Some(ms(1000))), eq(false))?;
    verify_that!(pool.count(RUNNER), eq(0))
}

#[gtest]
fn what_ended_or_belongs_to_a_stopped_runner_is_never_drawn() -> Result<()> {
    let mut pool = Pool::default();
    let (first, second) = (opened(&mut pool), opened(&mut pool));
    pool.give_back(START, RUNNER, first, None);
    verify_that!(pool.forget(RUNNER), elements_are![eq(&first)])?;
    pool.drop_link(RUNNER, second);
    verify_that!(pool.give_back(START, RUNNER, second, None), eq(false))?;
    verify_that!(pool.count(RUNNER), eq(0))
}
