//! Tests of the withdrawal of requests from a holder.

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

/// Returns a holder whose single slot is in use, and the request that uses it.
fn busy_bench() -> (Bench, Ticket) {
    let mut bench = Bench::new(1, 1, Duration::ZERO);
    bench.warm_up();
    let (running, _) = bench.submit("running", false, false);
    (bench, running)
}

/// Guards against running a request that was withdrawn from the queue, as a daemon does when it stops.
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

/// The ledger records the key of a recorded request as rejected, so the request must not be forwarded to another
/// holder.
#[gtest]
fn a_withdrawn_recorded_request_is_rejected_for_good() -> Result<()> {
    let (mut bench, _) = busy_bench();
    bench.recorded = true;
    let (waiting, _) = bench.submit("waiting", false, false);
    withdraw(&mut bench, waiting);
    verify_that!(
        reason(&bench.ended.get(&waiting).cloned()),
        some(eq(RequestFailureReason::NotServing))
    )
}

/// A request that was sent to a runner must never be reported as not run.
#[gtest]
fn a_request_sent_to_a_runner_is_not_withdrawn() -> Result<()> {
    let (mut bench, running) = busy_bench();
    withdraw(&mut bench, running);
    verify_that!(bench.ended.contains_key(&running), eq(false))?;
    let runner = bench.last_sent().runner;
    bench.answer(running, runner);
    verify_that!(bench.ended.contains_key(&running), eq(true))
}

/// A request that is queued for its second attempt may have run in its first.
#[gtest]
fn a_withdrawn_retry_ends_as_unknown() -> Result<()> {
    let mut bench = Bench::new(1, 1, Duration::ZERO);
    bench.max_attempts = 2;
    bench.warm_up();
    let (first, _) = bench.submit("first", false, false);
    let (second, _) = bench.submit("second", false, false);
    bench.finish_send(first, SendResult::Lost);
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

/// No caller waits for an aborted request, so it is not retried; its runner may still be running it.
#[gtest]
fn an_aborted_send_is_not_retried_and_keeps_its_slot() -> Result<()> {
    let (mut bench, running) = busy_bench();
    let (waiting, _) = bench.submit("waiting", false, false);
    let sent_before = bench.sent.len();
    bench.finish_send(running, SendResult::Aborted);
    verify_that!(bench.sent.len(), eq(sent_before))?;
    verify_that!(bench.ended.get(&running), some(eq(&response_lost())))?;
    let runner = bench.last_sent().runner;
    bench.drive(|holder, now| holder.handle_running_list(now + ms(300), runner, Some(Vec::new())));
    verify_that!(bench.last_sent().ticket, eq(waiting))
}

/// A release waits until the queue is empty, also when the last queued request is withdrawn rather than completed.
#[gtest]
fn a_release_ends_when_the_last_queued_request_is_withdrawn() -> Result<()> {
    let (mut bench, running) = busy_bench();
    let (waiting, _) = bench.submit("waiting", false, false);
    bench.drive(dataplane::holder::Holder::begin_release);
    bench.finish_send(running, SendResult::Lost);
    withdraw(&mut bench, waiting);
    bench.advance(Duration::from_secs(1));
    let is_released = |output: &HolderOutput| {
        matches!(output, HolderOutput::Report(HolderMessage::Released { .. }))
    };
    verify_that!(bench.outputs.iter().any(is_released), eq(true))
}
