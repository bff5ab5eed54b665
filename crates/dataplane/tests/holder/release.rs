//! Tests of the end of a function lease, by release or by closing.

use crate::bench::{Bench, ms, reason, response_lost};
use crate::holder_bench::HolderBench;
use common::frames::{ClaimedRunner, RequestFailureReason};
use dataplane::holder::{Holder, HolderMessage, HolderOutput, SendResult};
use googletest::prelude::*;
use std::time::Duration;

/// Returns the number of orphaned runners in each release that the holder reported.
fn released_runner_counts(bench: &Bench) -> Vec<usize> {
    let released_count = |output: &HolderOutput| match output {
        HolderOutput::Report(HolderMessage::Released { runners }) => Some(runners.len()),
        _ => None,
    };
    bench.outputs.iter().filter_map(released_count).collect()
}

#[gtest]
fn a_closed_holder_rejects_its_queue_and_sends_no_more_requests() -> Result<()> {
    let mut bench = Bench::new(1, 1, Duration::ZERO);
    bench.warm_up();
    let (running, _) = bench.submit("running", false, false);
    let (waiting, _) = bench.submit("waiting", false, false);
    let outputs = bench.holder.close(bench.now);
    let stops = outputs
        .iter()
        .filter(|output| matches!(output, HolderOutput::Stop { .. }))
        .count();
    bench.handle_outputs(outputs);
    let claim = bench.holder.claim();
    let orphaned: Vec<&ClaimedRunner> = claim
        .runners
        .0
        .iter()
        .filter(|listed| listed.is_adoptable.0)
        .collect();
    verify_that!(claim.is_releasing.0, eq(true))?;
    verify_that!(orphaned.len(), eq(1))?;
    verify_that!(orphaned[0].instance.0.len(), eq(1))?;
    verify_that!(stops + orphaned.len(), eq(claim.runners.0.len()))?;
    verify_that!(
        reason(&bench.ended.get(&waiting).cloned()),
        some(eq(RequestFailureReason::NotServing))
    )?;
    let sent_before = bench.sent.len();
    bench.finish_send(running, SendResult::Lost);
    verify_that!(bench.sent.len(), eq(sent_before))?;
    verify_that!(bench.ended.get(&running), some(eq(&response_lost())))?;
    verify_that!(
        reason(&bench.submit("late", false, false).1),
        some(eq(RequestFailureReason::NotHolder))
    )
}

#[gtest]
fn a_release_completes_admitted_requests_and_returns_the_lease_once() -> Result<()> {
    let mut bench = Bench::new(1, 1, Duration::ZERO);
    bench.warm_up();
    let (running, _) = bench.submit("running", false, false);
    bench.drive(Holder::begin_release);
    verify_that!(bench.holder.is_releasing(), eq(true))?;
    verify_that!(bench.holder.is_claimable(), eq(true))?;
    verify_that!(
        reason(&bench.submit("late", false, false).1),
        some(eq(RequestFailureReason::NotHolder))
    )?;
    verify_that!(released_runner_counts(&bench), is_empty())?;
    let runner = bench.last_sent().runner;
    bench.answer(running, runner);
    verify_that!(bench.ended.contains_key(&running), eq(true))?;
    verify_that!(released_runner_counts(&bench), eq(&vec![1]))?;
    verify_that!(bench.holder.is_claimable(), eq(false))?;
    verify_that!(bench.holder.is_finished(bench.now), eq(true))?;
    bench.drive(Holder::begin_release);
    bench.drive(Holder::close);
    bench.advance(ms(100));
    verify_that!(released_runner_counts(&bench), eq(&vec![1]))?;
    verify_that!(bench.holder.is_finished(bench.now), eq(true))
}

#[gtest]
fn a_closed_holder_is_finished_when_its_orphans_are_reported_or_after_ten_seconds() -> Result<()> {
    for is_reported in [true, false] {
        let mut bench = Bench::new(1, 1, Duration::ZERO);
        bench.warm_up();
        let (running, _) = bench.submit("running", false, false);
        bench.drive(Holder::begin_release);
        bench.drive(Holder::close);
        if is_reported {
            bench.holder.record_orphans_reported();
        }
        verify_that!(bench.holder.orphaned_runners().len(), eq(1))?;
        verify_that!(bench.holder.is_finished(bench.now), eq(false))?;
        let runner = bench.last_sent().runner;
        bench.answer(running, runner);
        verify_that!(bench.holder.is_finished(bench.now), eq(is_reported))?;
        bench.advance(ms(6000));
        bench.drive(Holder::close);
        bench.advance(ms(4000));
        verify_that!(bench.holder.is_finished(bench.now), eq(is_reported))?;
        bench.advance(ms(1));
        verify_that!(bench.holder.is_finished(bench.now), eq(true))?;
        verify_that!(released_runner_counts(&bench), is_empty())?;
    }
    Ok(())
}
