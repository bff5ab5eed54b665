//! When a function gets a separate holder for a region, and when that holder serves requests.

use crate::daemon_control::START;
use crate::held_function::{
    admission_request, function_key, report_started, reserved, response, runner_id,
};
use crate::holder_bench::HolderBench;
use crate::lease::{function_spec, lease_terms};
use crate::{ms, west};
use common::clock::MonotonicTime;
use common::frames::{RequestFailureReason, RequestOutcome};
use common::identity::{FunctionKey, Region, RunnerId, Ticket};
use common::spec::FunctionSpec;
use dataplane::holder::{AdmissionRequest, Holder, HolderMessage, HolderOutput, SendResult};
use googletest::prelude::*;
use std::time::Duration;

const MEMORY_MB: u32 = 100;
const STARTUP: Duration = Duration::from_millis(400);
const SLOTS: u32 = 4;

/// A holder whose runners become ready when the test completes their startup, and take 100 ms per request.
struct RegionalBench {
    holder: Holder,
    now: MonotonicTime,
    running_requests: Vec<(MonotonicTime, Ticket, RunnerId)>,
    starting: Vec<RunnerId>,
    next_number: u64,
}

impl RegionalBench {
    fn new(function: FunctionKey) -> Self {
        let spec = FunctionSpec {
            startup: STARTUP,
            slots: SLOTS,
            ..function_spec()
        };
        let mut bench = Self {
            holder: Holder::new(START, lease_terms(function, spec)),
            now: START,
            running_requests: Vec::new(),
            starting: Vec::new(),
            next_number: 0,
        };
        bench.drive(Holder::start);
        bench
    }

    fn finish_startups(&mut self) {
        for runner in std::mem::take(&mut self.starting) {
            self.drive(|holder, now| holder.handle_probe_result(now, runner, true));
        }
    }

    fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + ms(10);
            let due: Vec<_> = self
                .running_requests
                .extract_if(.., |(at, _, _)| *at <= self.now)
                .collect();
            for (_, ticket, runner) in due {
                let result = SendResult::Answered(response(runner, 200, b""));
                self.drive(|holder, now| holder.handle_send_result(now, ticket, result));
            }
            self.drive(Holder::tick);
        }
    }

    fn admit_request(&mut self, region: Option<Region>, recorded: bool) -> Option<RequestOutcome> {
        self.next_number += 1;
        let request = AdmissionRequest {
            recorded,
            target: ms(1000),
            region,
            ..admission_request(self.next_number, self.now, ms(3000))
        };
        let mut immediate_outcome = None;
        self.drive(|holder, now| {
            let (outcome, outputs) = holder.admit(now, request);
            immediate_outcome = outcome;
            outputs
        });
        immediate_outcome
    }

    /// Admits requests from the west at a constant rate, for `span`.
    fn admit_requests_from_west(&mut self, per_second: u64, span: Duration, recorded: bool) {
        let interval = ms(1000 / per_second);
        let end = self.now + span;
        while self.now < end {
            self.admit_request(Some(west()), recorded);
            self.run_for(interval);
            self.finish_startups();
        }
    }
}

impl HolderBench for RegionalBench {
    fn holder(&mut self) -> (&mut Holder, MonotonicTime) {
        (&mut self.holder, self.now)
    }

    fn reply_to(&mut self, output: HolderOutput) -> Vec<HolderOutput> {
        match output {
            HolderOutput::Report(HolderMessage::Reserve) => {
                self.next_number += 1;
                let result = reserved(runner_id(self.next_number), MEMORY_MB);
                self.holder.handle_reserve_result(self.now, &result)
            }
            HolderOutput::Start { runner, .. } => {
                self.starting.push(runner);
                report_started(&mut self.holder, self.now, runner)
            }
            HolderOutput::Send { ticket, runner, .. } => {
                let due_at = self.now + ms(100);
                self.running_requests.push((due_at, ticket, runner));
                Vec::new()
            }
            _ => Vec::new(),
        }
    }
}

#[gtest]
fn a_region_gets_its_own_key_when_its_callers_keep_a_runner_busy() -> Result<()> {
    for (per_second, is_regional_key_used) in [(20, true), (4, false)] {
        let mut bench = RegionalBench::new(function_key());
        bench.admit_requests_from_west(per_second, ms(1000), false);
        verify_that!(bench.holder.regional_use_delay(bench.now, &west()), none())?;
        bench.admit_requests_from_west(per_second, ms(3000), false);
        let after = bench.holder.regional_use_delay(bench.now, &west());
        verify_that!(after.is_some(), eq(is_regional_key_used))?;
        verify_that!(
            bench
                .holder
                .regional_use_delay(bench.now, &Region::from("north")),
            none()
        )?;
        if let Some(after) = after {
            verify_that!(after, all![ge(STARTUP), le(STARTUP * 2 + ms(500))])?;
            bench.admit_requests_from_west(per_second, after, false);
            verify_that!(
                bench.holder.regional_use_delay(bench.now, &west()),
                some(eq(Duration::ZERO))
            )?;
        }
    }
    Ok(())
}

#[gtest]
fn a_regional_key_is_retained_for_seconds_and_dropped_without_callers() -> Result<()> {
    let mut bench = RegionalBench::new(function_key());
    bench.admit_requests_from_west(20, ms(4000), false);
    verify_that!(
        bench.holder.regional_use_delay(bench.now, &west()),
        some(anything())
    )?;
    bench.run_for(ms(4000));
    verify_that!(
        bench.holder.regional_use_delay(bench.now, &west()),
        some(anything())
    )?;
    bench.run_for(ms(8000));
    verify_that!(bench.holder.regional_use_delay(bench.now, &west()), none())
}

#[gtest]
fn a_function_with_repeatable_idempotency_keys_is_served_by_one_holder() -> Result<()> {
    let mut bench = RegionalBench::new(function_key());
    bench.admit_requests_from_west(20, ms(4000), true);
    verify_that!(bench.holder.regional_use_delay(bench.now, &west()), none())
}

#[gtest]
fn a_regional_holder_rejects_until_a_runner_is_ready() -> Result<()> {
    let mut bench = RegionalBench::new(function_key().in_region(&west()));
    let rejected = bench.admit_request(None, false);
    let is_rejected_without_runner = matches!(
        rejected,
        Some(RequestOutcome::NotRun {
            reason: RequestFailureReason::NoRunnerAvailable,
            ..
        })
    );
    verify_that!(is_rejected_without_runner, eq(true))?;
    verify_that!(bench.starting.len(), eq(1))?;
    bench.finish_startups();
    verify_that!(bench.admit_request(None, false), none())
}

#[gtest]
fn a_regional_holder_reports_when_its_key_is_no_longer_needed() -> Result<()> {
    let mut bench = RegionalBench::new(function_key().in_region(&west()));
    bench.finish_startups();
    verify_that!(
        bench.holder.regional_use_delay(bench.now, &west()),
        some(eq(Duration::ZERO))
    )?;
    bench.run_for(ms(6000));
    verify_that!(bench.holder.regional_use_delay(bench.now, &west()), none())
}
