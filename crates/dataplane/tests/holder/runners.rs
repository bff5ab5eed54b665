//! Tests of the adoption, start, replacement and stop of runners.

use crate::bench::{Bench, MEMORY_MB, ms};
use crate::held_function::{reserved, runner_id};
use crate::holder_bench::HolderBench;
use common::adapter::StartOutcome;
use common::frames::{ClaimedRunner, Flag, Instance, LengthPrefixed, RunnerStatus, SocketAddress};
use common::identity::RunnerId;
use dataplane::holder::{Holder, HolderMessage, HolderOutput, SendResult, Tuning};
use googletest::prelude::*;
use std::time::Duration;

fn adopted_runner() -> ClaimedRunner {
    ClaimedRunner {
        runner: runner_id(77),
        worker: "w".into(),
        memory_mb: MEMORY_MB,
        instance: LengthPrefixed(vec![Instance {
            name: "an earlier holder's".into(),
            address: SocketAddress::UNSPECIFIED,
        }]),
        is_adoptable: Flag(true),
    }
}

#[gtest]
fn an_adopted_runner_is_used_immediately_with_half_of_its_slots() -> Result<()> {
    let mut bench = Bench::with_adopted_runners(8, vec![adopted_runner()]);
    bench.drive(Holder::start);
    verify_that!(bench.next_runner, eq(0))?;
    for number in 0..6 {
        bench.submit(&format!("t{number}"), false, false);
    }
    let adopted_sends = bench.sends_to(77);
    verify_that!(adopted_sends, eq(4))?;
    let first = bench.sent[0];
    bench.answer(first.ticket, first.runner);
    let adopted_sends = bench.sends_to(77);
    verify_that!(adopted_sends, eq(6))
}

#[gtest]
fn a_start_is_retried_until_the_platform_reports_the_instance() -> Result<()> {
    let mut bench = Bench::new(1, 1, Duration::ZERO);
    let runner = runner_id(5);
    let result = reserved(runner, MEMORY_MB);
    let starts = |outputs: &[HolderOutput]| {
        let is_start = |output: &&HolderOutput| matches!(output, HolderOutput::Start { runner: started, .. } if *started == runner);
        outputs.iter().filter(is_start).count()
    };
    verify_that!(
        starts(&bench.holder.handle_reserve_result(bench.now, &result)),
        eq(1)
    )?;
    for end in [StartOutcome::Lost, StartOutcome::Busy] {
        verify_that!(
            starts(&bench.holder.handle_start_outcome(bench.now, runner, end)),
            eq(0)
        )?;
        bench.now = bench.now + ms(200);
        verify_that!(starts(&bench.holder.tick(bench.now)), eq(1))?;
    }
    let instance = Instance {
        name: "l1".into(),
        address: SocketAddress::UNSPECIFIED,
    };
    let outputs = bench.holder.handle_start_outcome(
        bench.now,
        runner,
        StartOutcome::Started(instance.clone()),
    );
    let reported = outputs.iter().any(|output| {
        matches!(output, HolderOutput::Report(HolderMessage::RunnerStatus { runner_status: RunnerStatus::Started { instance: reported }, .. })
            if *reported == instance)
    });
    verify_that!(reported, eq(true))
}

#[gtest]
fn a_start_without_capacity_gives_up_the_reservation_and_requests_another() -> Result<()> {
    let mut bench = Bench::new(1, 1, Duration::ZERO);
    let runner = runner_id(5);
    let result = reserved(runner, MEMORY_MB);
    bench.holder.handle_reserve_result(bench.now, &result);
    let outputs = bench
        .holder
        .handle_start_outcome(bench.now, runner, StartOutcome::NoCapacity);
    let gone = outputs.iter().any(|output| {
        matches!(
            output,
            HolderOutput::Report(HolderMessage::RunnerStatus {
                runner_status: RunnerStatus::Gone,
                ..
            })
        )
    });
    verify_that!(gone, eq(true))?;
    bench.now = bench.now + ms(500);
    let outputs = bench.holder.tick(bench.now);
    let requests_another = outputs
        .iter()
        .any(|output| matches!(output, HolderOutput::Report(HolderMessage::Reserve)));
    verify_that!(requests_another, eq(true))
}

#[gtest]
fn a_runner_with_two_consecutive_lost_responses_is_replaced() -> Result<()> {
    let mut bench = Bench::new(4, 4, Duration::ZERO);
    bench.warm_up();
    for (number, expected_runner_count) in [(0, 1), (1, 2)] {
        let (ticket, _) = bench.submit(&format!("t{number}"), true, false);
        bench.finish_send(ticket, SendResult::Lost);
        verify_that!(bench.next_runner, eq(expected_runner_count))?;
    }
    Ok(())
}

#[gtest]
fn calls_that_a_starting_runner_can_serve_in_time_start_no_other_runner() -> Result<()> {
    for (call_count, expected_runner_count) in [(6, 1), (400, 4)] {
        let mut bench = Bench::new(2, 4, Duration::ZERO);
        for number in 0..call_count {
            bench.submit(&format!("t{number}"), false, false);
        }
        verify_that!(bench.next_runner, eq(expected_runner_count))?;
    }
    Ok(())
}

/// Whether the output orders a runner to be stopped.
fn is_stop(output: &HolderOutput) -> bool {
    matches!(output, HolderOutput::Stop { .. })
}

fn stopped_runners(bench: &Bench) -> Vec<RunnerId> {
    let stopped = |output: &HolderOutput| match output {
        HolderOutput::Stop { runner, .. } => Some(*runner),
        _ => None,
    };
    bench.outputs.iter().filter_map(stopped).collect()
}

#[gtest]
fn an_idle_function_stops_its_last_runner_unless_it_is_prewarmed() -> Result<()> {
    for (idle_startups, is_prewarmed, is_stopped) in
        [(0, false, false), (20, true, false), (20, false, true)]
    {
        let tuning = Tuning::builder().idle_startups(idle_startups).build();
        let mut bench = Bench::new(2, 4, Duration::ZERO).with_tuning(tuning);
        bench.holder.set_prewarmed(is_prewarmed);
        bench.warm_up();
        bench.outputs.clear();
        bench.advance(ms(1900));
        let stops = |bench: &Bench| bench.has_output(is_stop);
        verify_that!(stops(&bench), eq(false))?;
        for _ in 0..3 {
            bench.advance(ms(100));
        }
        verify_that!(stops(&bench), eq(is_stopped))?;
        if !is_stopped {
            continue;
        }
        let stopped = stopped_runners(&bench)[0];
        bench.drive(|holder, now| holder.handle_runner_stopped(now, stopped));
        bench.advance(ms(5000));
        verify_that!(bench.holder.runner_counts(), eq((0, 0)))?;
        let (ticket, immediate) = bench.submit("next", false, false);
        verify_that!(immediate, none())?;
        bench.advance(ms(60));
        bench.advance(ms(60));
        verify_that!(bench.send_count(ticket), eq(1))?;
    }
    Ok(())
}

#[gtest]
fn a_rarely_called_function_stops_its_runner_soon_and_a_frequently_called_one_does_not()
-> Result<()> {
    for (call_count, is_stopped) in [(1, true), (12, false)] {
        let tuning = Tuning::builder()
            .idle_startups(10)
            .rare_idle_limit(Some(ms(200)))
            .build();
        let mut bench = Bench::new(2, 4, Duration::ZERO).with_tuning(tuning);
        bench.warm_up();
        for number in 1..call_count {
            bench.advance(ms(100));
            let (ticket, _) = bench.submit(&format!("t{number}"), false, false);
            let runner = bench.last_sent().runner;
            bench.answer(ticket, runner);
        }
        bench.outputs.clear();
        bench.advance(ms(150));
        bench.advance(ms(150));
        let stop_ordered = bench.has_output(is_stop);
        verify_that!(stop_ordered, eq(is_stopped))?;
    }
    Ok(())
}

#[gtest]
fn an_unused_function_stops_its_runners_until_the_next_request() -> Result<()> {
    let tuning = Tuning::builder().idle_startups(3).build();
    let mut bench = Bench::new(1, 1, Duration::ZERO).with_tuning(tuning);
    bench.warm_up();
    bench.drive(Holder::stop_if_unused);
    let stopped = stopped_runners(&bench);
    verify_that!(stopped.len(), eq(1))?;
    bench.drive(|holder, now| holder.handle_runner_stopped(now, stopped[0]));
    let started_before = bench.next_runner;
    bench.advance(ms(1000));
    verify_that!(bench.next_runner, eq(started_before))?;
    let (next, _) = bench.submit("next", false, false);
    verify_that!(bench.next_runner, eq(started_before + 1))?;
    bench.advance(ms(60));
    let runner = bench.last_sent().runner;
    bench.answer(next, runner);
    verify_that!(stopped_runners(&bench).len(), eq(1))?;
    bench.advance(ms(290));
    verify_that!(stopped_runners(&bench).len(), eq(1))?;
    bench.advance(ms(20));
    verify_that!(stopped_runners(&bench).len(), eq(2))
}
