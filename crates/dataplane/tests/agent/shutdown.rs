//! The phases of an orderly shutdown, and the requests that it interrupts.

use crate::bench::{DaemonBench, completed, remote_host};
use common::clock::MonotonicTime;
use common::frames::{DaemonMessage, RequestFailureReason, RequestOutcome, RequesterNotice};
use dataplane::agent::{
    ForwardResult, Forwarding, ForwardingStep, FunctionRequest, ShutdownPhase, ShutdownSchedule,
};
use dataplane::holder::not_run;
use googletest::prelude::*;
use std::time::Duration;

fn end_of<W>(step: &ForwardingStep<W>) -> Option<RequestOutcome> {
    match step {
        ForwardingStep::End(outcome, _) => Some(outcome.clone()),
        _ => None,
    }
}

fn reason_of<W>(step: &ForwardingStep<W>) -> Option<RequestFailureReason> {
    match end_of(step) {
        Some(RequestOutcome::NotRun { reason, .. }) => Some(reason),
        _ => None,
    }
}

/// The phases come in order within any grace period that can be set, and leave time between them.
#[gtest]
fn every_grace_period_has_room_for_its_phases() -> Result<()> {
    let now = MonotonicTime(7_000_000_000);
    for grace_ms in [500, 1000, 5500, 60_000] {
        let grace = Duration::from_millis(grace_ms);
        let schedule = ShutdownSchedule::new(now, grace);
        verify_that!(schedule.exit_at, eq(now + grace))?;
        verify_that!(schedule.withdraw_at, gt(now))?;
        verify_that!(schedule.end_at, gt(schedule.withdraw_at))?;
        verify_that!(schedule.exit_at, gt(schedule.end_at))?;
        verify_that!(schedule.phase(now), eq(ShutdownPhase::Finishing))?;
        let phase = schedule.phase(schedule.withdraw_at);
        verify_that!(phase, eq(ShutdownPhase::Withdrawing))?;
        let phase = schedule.phase(schedule.end_at);
        verify_that!(phase, eq(ShutdownPhase::Ending))?;
    }
    Ok(())
}

/// Nobody has a request that still waits for an owner: it ends as not run.
#[gtest]
fn a_withdrawn_request_without_a_holder_ends_as_not_run() -> Result<()> {
    let bench = DaemonBench::serving();
    let (mut forwarding, _) = bench.begin_request();
    verify_that!(forwarding.withdraw(&bench.agent), eq(true))?;
    let step = forwarding.advance(&bench.agent, bench.now);
    verify_that!(reason_of(&step), some(eq(RequestFailureReason::NotServing)))
}

/// A request that another holder gives back is not forwarded again by a daemon that stops.
#[gtest]
fn a_withdrawn_request_seeks_no_other_holder() -> Result<()> {
    let holder = remote_host("daemon-2", 4);
    let bench = DaemonBench::serving_with(vec![holder.clone()]);
    bench.agent.cache_owner(&bench.key("f"), &holder);
    for result in [
        completed(not_run(RequestFailureReason::NotHolder, 50)),
        ForwardResult::Unsent,
    ] {
        let (mut forwarding, _) = bench.begin_request();
        forwarding.withdraw(&bench.agent);
        let step = bench.forwarded(&mut forwarding, result);
        verify_that!(reason_of(&step), some(eq(RequestFailureReason::NotServing)))?;
    }
    Ok(())
}

/// A holder that was lost with the request may have had it run.
#[gtest]
fn a_withdrawn_request_whose_holder_was_lost_ends_as_unknown() -> Result<()> {
    let holder = remote_host("daemon-2", 4);
    let bench = DaemonBench::serving_with(vec![holder.clone()]);
    bench.agent.cache_owner(&bench.key("f"), &holder);
    let (mut forwarding, _) = bench.begin_request();
    let step = bench.forwarded(&mut forwarding, ForwardResult::Lost);
    verify_that!(matches!(step, ForwardingStep::Wait { .. }), eq(true))?;
    forwarding.withdraw(&bench.agent);
    let step = forwarding.advance(&bench.agent, bench.now);
    let is_unknown = matches!(end_of(&step), Some(RequestOutcome::Unknown { .. }));
    verify_that!(is_unknown, eq(true))
}

/// The answer of a runner that has the request is still taken.
#[gtest]
fn a_withdrawn_request_still_gets_its_answer() -> Result<()> {
    let holder = remote_host("daemon-2", 4);
    let bench = DaemonBench::serving_with(vec![holder.clone()]);
    bench.agent.cache_owner(&bench.key("f"), &holder);
    let (mut forwarding, _) = bench.begin_request();
    forwarding.withdraw(&bench.agent);
    let unknown = RequestOutcome::Unknown {
        reason: RequestFailureReason::ResponseLost,
    };
    let step = bench.forwarded(&mut forwarding, completed(unknown.clone()));
    verify_that!(end_of(&step) == Some(unknown), eq(true))
}

/// At a daemon on the way, the one that forwarded the request looks for another holder.
#[gtest]
fn a_daemon_on_the_way_that_stops_passes_the_request_back() -> Result<()> {
    let bench = DaemonBench::serving();
    let request = FunctionRequest {
        hops: 1,
        ..bench.request()
    };
    let mut forwarding = Forwarding::new(bench.now, request);
    forwarding.withdraw(&bench.agent);
    let step = forwarding.advance(&bench.agent, bench.now);
    verify_that!(reason_of(&step), some(eq(RequestFailureReason::NotHolder)))
}

/// Daemons of earlier sources know no notices, and must neither answer nor act on one.
#[gtest]
fn a_notice_is_no_request_to_a_daemon_that_does_not_know_it() -> Result<()> {
    let bench = DaemonBench::serving();
    for notice in [RequesterNotice::Withdrawn, RequesterNotice::Abandoned] {
        let message = notice.into_message();
        verify_that!(RequesterNotice::from_message(&message), some(eq(notice)))?;
        let is_completed = matches!(message, DaemonMessage::Completed { .. });
        verify_that!(is_completed, eq(true))?;
        let parsed = FunctionRequest::from_frame(bench.now, message);
        let Err(other) = parsed else {
            return fail!("taken for a request");
        };
        let reply = bench.agent.answer_replica_request(bench.now, *other);
        verify_that!(reply.is_none(), eq(true))?;
    }
    Ok(())
}
