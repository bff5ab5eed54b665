//! Requests that are taken back from a holder.

use crate::bench::{Bench, ms, reason, response_lost};
use crate::holder_bench::HolderBench;
use common::frames::RequestFailureReason;
use common::identity::Ticket;
use dataplane::holder::{HolderMessage, HolderOutput, SendResult};
use googletest::prelude::*;
use std::time::Duration;

fn withdraw(bench: &mut Bench, ticket: Ticket) {
    bench.drive(|holder, now| holder.withdraw(now, ticket));
}

/// A holder with a single slot that is taken.
fn busy_bench() -> (Bench, Ticket) {
    let mut bench = Bench::new(1, 1, Duration::ZERO);
    bench.warm();
    let (running, _) = bench.submit("running", false, false);
    (bench, running)
}

/// A stopping daemon withdraws what waits: the request must end, and must never run after that.
#[gtest]
fn a_queued_request_that_is_withdrawn_ends_as_not_run_and_is_never_sent() -> Result<()> {
    let (mut bench, running) = busy_bench();
    bench.recorded = false;
    let (waiting, _) = bench.submit("waiting", false, false);
    withdraw(&mut bench, waiting);
    verify_that!(
        reason(&bench.ended.get(&waiting).cloned()),
        some(eq(RequestFailureReason::NotHolder))
    )?;
    let sent_before = bench.sent.len();
    let runner = bench.last_sent().runner;
    bench.answer(running, runner);
    bench.advance(ms(200));
    verify_that!(bench.sent.len(), eq(sent_before))
}

/// Its daemon may have another attempt made elsewhere only if this one's key is not known as rejected here.
#[gtest]
fn a_withdrawn_request_whose_key_is_recorded_ends_for_good() -> Result<()> {
    let (mut bench, _) = busy_bench();
    bench.recorded = true;
    let (waiting, _) = bench.submit("waiting", false, false);
    withdraw(&mut bench, waiting);
    verify_that!(
        reason(&bench.ended.get(&waiting).cloned()),
        some(eq(RequestFailureReason::NotServing))
    )
}

/// What a runner has is never reported as not run.
#[gtest]
fn a_request_at_a_runner_is_not_withdrawn() -> Result<()> {
    let (mut bench, running) = busy_bench();
    withdraw(&mut bench, running);
    verify_that!(bench.ended.contains_key(&running), eq(false))?;
    let runner = bench.last_sent().runner;
    bench.answer(running, runner);
    verify_that!(bench.ended.contains_key(&running), eq(true))
}

/// A request that waits for its second attempt may have run at its first.
#[gtest]
fn a_withdrawn_retry_ends_as_unknown() -> Result<()> {
    let mut bench = Bench::new(1, 1, Duration::ZERO);
    bench.max_attempts = 2;
    bench.warm();
    let (first, _) = bench.submit("first", false, false);
    let (second, _) = bench.submit("second", false, false);
    bench.end(first, SendResult::Lost);
    let waiting = if bench.last_sent().ticket == first {
        second
    } else {
        first
    };
    withdraw(&mut bench, waiting);
    let ended = bench.ended.get(&waiting);
    let is_first = waiting == first;
    verify_that!(ended == Some(&response_lost()), eq(is_first))
}

/// Nobody waits for a request whose send was broken off, so it is not retried; its runner may still be at it.
#[gtest]
fn a_send_that_is_broken_off_is_not_retried_and_keeps_its_slot() -> Result<()> {
    let (mut bench, running) = busy_bench();
    let (waiting, _) = bench.submit("waiting", false, false);
    let sent_before = bench.sent.len();
    bench.end(running, SendResult::Aborted);
    verify_that!(bench.sent.len(), eq(sent_before))?;
    verify_that!(bench.ended.get(&running), some(eq(&response_lost())))?;
    let runner = bench.last_sent().runner;
    bench.drive(|holder, now| holder.handle_running_list(now + ms(300), runner, Some(Vec::new())));
    verify_that!(bench.last_sent().ticket, eq(waiting))
}

/// A release waits for the queue; when the last of it is withdrawn, the lease is given back.
#[gtest]
fn a_release_ends_when_the_last_queued_request_is_withdrawn() -> Result<()> {
    let (mut bench, running) = busy_bench();
    let (waiting, _) = bench.submit("waiting", false, false);
    bench.drive(dataplane::holder::Holder::begin_release);
    bench.end(running, SendResult::Lost);
    withdraw(&mut bench, waiting);
    bench.advance(Duration::from_secs(1));
    let is_released = |output: &HolderOutput| {
        matches!(output, HolderOutput::Report(HolderMessage::Released { .. }))
    };
    verify_that!(bench.outputs.iter().any(is_released), eq(true))
}
