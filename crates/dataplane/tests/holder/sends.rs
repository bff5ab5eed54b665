//! Tests of the dispatch of requests: slots, slow start, and the order of the queue.

use crate::bench::{Bench, SentRequest, ms, response_lost};
use crate::holder_bench::HolderBench;
use common::identity::{RunnerId, Ticket};
use common::spec::FunctionSpec;
use dataplane::holder::{HolderOutput, SendResult, Tuning};
use googletest::prelude::*;
use std::collections::BTreeSet;
use std::time::Duration;

#[gtest]
fn slow_start_begins_with_one_request_and_grows_with_each_response() -> Result<()> {
    let mut bench = Bench::new(4, 4, Duration::ZERO);
    for number in 0..6 {
        bench.submit(&format!("t{number}"), false, false);
    }
    bench.advance(ms(120));
    let runners: BTreeSet<RunnerId> = bench.sent.iter().map(|sent| sent.runner).collect();
    verify_that!(bench.sent.len(), eq(runners.len()))?;
    let SentRequest { ticket, runner, .. } = bench.sent.remove(0);
    let sent_before = bench.sent.len();
    bench.answer(ticket, runner);
    let newly_sent = bench.sent.len() - sent_before;
    verify_that!(newly_sent, eq(2))
}

#[gtest]
fn a_lost_response_keeps_its_slot_until_the_runner_no_longer_lists_the_request() -> Result<()> {
    let mut bench = Bench::new(1, 1, Duration::ZERO);
    bench.warm_up();
    let (first, _) = bench.submit("a", true, false);
    let runner = bench.last_sent().runner;
    bench.finish_send(first, SendResult::Lost);
    verify_that!(bench.ended.get(&first), some(eq(&response_lost())))?;
    let sent_before = bench.sent.len();
    bench.submit("b", true, false);
    verify_that!(bench.sent.len(), eq(sent_before))?;
    bench.drive(|holder, now| {
        holder.handle_running_list(now + ms(300), runner, Some(vec!["a".into()]))
    });
    verify_that!(bench.sent.len(), eq(sent_before))?;
    bench.drive(|holder, now| holder.handle_running_list(now + ms(300), runner, Some(Vec::new())));
    verify_that!(bench.sent.len(), eq(sent_before + 1))
}

#[gtest]
fn a_lost_response_keeps_its_slot_for_a_limited_time_if_runners_cannot_list_requests() -> Result<()>
{
    let tuning = Tuning::builder().lists_running(false).build();
    let mut bench = Bench::new(1, 1, Duration::ZERO).with_tuning(tuning);
    bench.warm_up();
    let (first, _) = bench.submit("a", true, false);
    bench.finish_send(first, SendResult::Lost);
    let (second, _) = bench.submit("b", true, false);
    bench.advance(ms(390));
    verify_that!(bench.send_count(second), eq(0))?;
    verify_that!(bench.holder.next_due(), some(le(bench.now + ms(10))))?;
    bench.advance(ms(11));
    verify_that!(bench.send_count(second), eq(1))?;
    let is_list_request =
        |output: &HolderOutput| matches!(output, HolderOutput::ListRunning { .. });
    verify_that!(bench.has_output(is_list_request), eq(false))
}

/// Guards against sending a runner more requests than it has slots. Two requests with the same unrecorded key,
/// forwarded twice, used to be counted as one.
#[gtest]
fn two_requests_of_one_key_occupy_two_slots() -> Result<()> {
    let mut bench = Bench::new(2, 1, Duration::ZERO);
    bench.warm_up();
    bench.recorded = false;
    let (first, _) = bench.submit("fresh", false, false);
    let runner = bench.last_sent().runner;
    bench.submit("fresh", false, false);
    bench.submit("second in the queue", false, false);
    bench.submit("third in the queue", false, false);
    verify_that!(bench.holder.request_counts(), eq((2, 2)))?;
    bench.answer(first, runner);
    verify_that!(bench.holder.request_counts(), eq((1, 2)))
}

#[gtest]
fn a_spec_change_never_exceeds_the_slots_a_runner_was_started_with() -> Result<()> {
    let mut bench = Bench::new(2, 1, Duration::ZERO);
    bench.warm_up();
    let wider = FunctionSpec {
        connections: 100,
        memory_mb: 100,
        startup: ms(100),
        slots: 8,
        min_runners: 0,
        max_runners: 1,
    };
    bench.holder.update_spec(wider);
    for number in 0..40 {
        bench.submit(&format!("t{number}"), false, false);
        if number % 2 == 0
            && let Some(first) = bench.sent.first().copied()
        {
            bench.answer(first.ticket, first.runner);
        }
        verify_that!(bench.holder.request_counts().1, le(2))?;
    }
    Ok(())
}

#[gtest]
fn the_queue_is_ordered_by_rank_then_arrival() -> Result<()> {
    let mut bench = Bench::new(1, 1, Duration::ZERO);
    bench.warm_up();
    let (running, _) = bench.submit("running", false, false);
    let runner = bench.sent[0].runner;
    let waiting: Vec<Ticket> = [3, 1, 0, 1]
        .into_iter()
        .map(|rank| {
            bench.rank = rank;
            bench
                .submit(
                    &format!("rank {rank} of {}", bench.next_ticket),
                    false,
                    false,
                )
                .0
        })
        .collect();
    bench.sent.clear();
    bench.answer(running, runner);
    while let Some(last) = bench.sent.last().copied()
        && !bench.ended.contains_key(&last.ticket)
    {
        bench.answer(last.ticket, runner);
    }
    let order: Vec<Ticket> = bench.sent.iter().map(|sent| sent.ticket).collect();
    verify_that!(
        order,
        eq(&vec![waiting[2], waiting[1], waiting[3], waiting[0]])
    )
}
