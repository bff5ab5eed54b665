//! Tests of when the last runner of a function is stopped, depending on the costs of a start, of a late response and of
//! memory, on the call frequency and on the start-up time.

#[path = "support/held_function.rs"]
mod held_function;
#[path = "support/holder_bench.rs"]
mod holder_bench;
#[path = "support/lease.rs"]
mod lease;

use common::clock::MonotonicTime;
use common::identity::RunnerId;
use common::spec::FunctionSpec;
use dataplane::holder::{
    AdmissionRequest, Holder, HolderMessage, HolderOutput, IdleCost, SendResult, Tuning,
};
use googletest::prelude::*;
use held_function::{
    admission_request, function_key, report_started, reserved, response, runner_id,
};
use holder_bench::HolderBench;
use lease::{function_spec, lease_terms};
use std::time::Duration;

const START: MonotonicTime = MonotonicTime(10_000_000_000);
const STEP: Duration = Duration::from_millis(10);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A held function whose runners take the start-up time of their spec and respond at once.
struct Bench {
    holder: Holder,
    now: MonotonicTime,
    startup: Duration,
    target: Duration,
    starting: Vec<(MonotonicTime, RunnerId)>,
    next_number: u64,
    starts: usize,
    stops: usize,
}

impl Bench {
    fn new(memory_mb: u32, startup: Duration, target: Duration, is_prewarmed: bool) -> Self {
        let spec = FunctionSpec {
            memory_mb,
            startup,
            slots: 8,
            ..function_spec()
        };
        let terms = lease_terms(function_key(), spec);
        let tuning = Tuning::builder()
            .idle_cost(Some(IdleCost::default()))
            .build();
        let mut holder = Holder::new(START, terms).with_tuning(START, tuning);
        holder.set_prewarmed(is_prewarmed);
        let mut bench = Self {
            holder,
            now: START,
            startup,
            target,
            starting: Vec::new(),
            next_number: 0,
            starts: 0,
            stops: 0,
        };
        bench.drive(Holder::start);
        bench
    }

    fn advance(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + STEP;
            self.drive(Holder::tick);
        }
    }

    fn call(&mut self) {
        self.next_number += 1;
        let request = AdmissionRequest {
            target: self.target,
            ..admission_request(self.next_number, self.now, ms(5000))
        };
        self.drive(|holder, now| holder.admit(now, request).1);
    }

    /// Submits `count` calls, each followed by a pause of `gap`. Returns how many runners were started for them.
    fn starts_for_calls(&mut self, gap: Duration, count: usize) -> usize {
        let before = self.starts;
        for _ in 0..count {
            self.call();
            self.advance(gap);
        }
        self.starts - before
    }

    fn is_started_up(&self, runner: RunnerId) -> bool {
        let is_ready =
            |(ready_at, id): &(MonotonicTime, RunnerId)| *id == runner && *ready_at <= self.now;
        self.starting.iter().any(is_ready)
    }
}

impl HolderBench for Bench {
    fn holder(&mut self) -> (&mut Holder, MonotonicTime) {
        (&mut self.holder, self.now)
    }

    fn reply_to(&mut self, output: HolderOutput) -> Vec<HolderOutput> {
        match output {
            HolderOutput::Report(HolderMessage::Reserve) => {
                self.next_number += 1;
                let result = reserved(runner_id(self.next_number), 1);
                self.holder.handle_reserve_result(self.now, &result)
            }
            HolderOutput::Start { runner, .. } => {
                self.starts += 1;
                self.starting.push((self.now + self.startup, runner));
                report_started(&mut self.holder, self.now, runner)
            }
            HolderOutput::Probe { runner, .. } => {
                let is_ready = self.is_started_up(runner);
                self.holder.handle_probe_result(self.now, runner, is_ready)
            }
            HolderOutput::Stop { runner, .. } => {
                self.stops += 1;
                self.holder.handle_runner_stopped(self.now, runner)
            }
            HolderOutput::Send { ticket, runner, .. } => {
                let result = SendResult::Answered(response(runner, 200, b""));
                self.holder.handle_send_result(self.now, ticket, result)
            }
            _ => Vec::new(),
        }
    }
}

#[gtest]
fn a_runner_is_retained_while_idling_costs_less_than_a_cold_start() -> Result<()> {
    for (memory_mb, gap_ms, is_retained) in [
        (128, 1000, true),
        (128, 8000, false),
        (1024, 200, true),
        (1024, 3000, false),
    ] {
        let mut bench = Bench::new(memory_mb, ms(500), ms(3000), false);
        bench.starts_for_calls(ms(gap_ms), 12);
        let starts = bench.starts_for_calls(ms(gap_ms), 10);
        verify_that!(starts, eq(if is_retained { 0 } else { 10 }))
            .with_failure_message(|| format!("{memory_mb} MB, one call every {gap_ms} ms"))?;
    }
    Ok(())
}

#[gtest]
fn a_runner_is_retained_longer_if_a_cold_start_makes_responses_late() -> Result<()> {
    for (target_ms, is_retained) in [(3000, false), (400, true)] {
        let mut bench = Bench::new(128, ms(500), ms(target_ms), false);
        bench.starts_for_calls(ms(4000), 12);
        let starts = bench.starts_for_calls(ms(4000), 10);
        verify_that!(starts, eq(if is_retained { 0 } else { 10 }))
            .with_failure_message(|| format!("a target of {target_ms} ms"))?;
    }
    Ok(())
}

#[gtest]
fn measured_startup_times_override_the_spec() -> Result<()> {
    let mut bench = Bench::new(128, ms(500), ms(900), false);
    bench.starts_for_calls(ms(4000), 12);
    verify_that!(bench.starts_for_calls(ms(4000), 5), eq(5))?;
    bench.startup = ms(1500);
    bench.starts_for_calls(ms(4000), 20);
    verify_that!(bench.starts_for_calls(ms(4000), 5), eq(0))
}

#[gtest]
fn a_rarely_called_function_retains_its_runner_for_part_of_a_startup() -> Result<()> {
    let mut bench = Bench::new(128, ms(500), ms(3000), false);
    bench.starts_for_calls(ms(20_000), 6);
    bench.call();
    bench.advance(ms(510));
    let stops = bench.stops;
    bench.advance(ms(100));
    verify_that!(bench.stops, eq(stops))?;
    bench.advance(ms(100));
    verify_that!(bench.stops, eq(stops + 1))
}

#[gtest]
fn a_prewarmed_runner_is_retained_for_a_minute_before_the_first_call() -> Result<()> {
    let mut bench = Bench::new(1024, ms(750), ms(300), true);
    bench.advance(ms(59_000));
    verify_that!((bench.starts, bench.stops), eq((1, 0)))?;
    bench.advance(ms(3000));
    verify_that!((bench.starts, bench.stops), eq((1, 1)))
}

#[gtest]
fn a_new_holder_retains_a_prewarmed_runner_during_a_short_pause() -> Result<()> {
    let mut bench = Bench::new(1024, ms(750), ms(300), true);
    bench.advance(ms(1000));
    bench.call();
    bench.advance(ms(2500));
    verify_that!(bench.stops, eq(0))
}
