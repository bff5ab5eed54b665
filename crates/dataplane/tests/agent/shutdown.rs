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

fn outcome_of<W>(step: &ForwardingStep<W>) -> Option<RequestOutcome> {
    match step {
        ForwardingStep::End(outcome, _) => Some(outcome.clone()),
        _ => None,
    }
}

fn reason_of<W>(step: &ForwardingStep<W>) -> Option<RequestFailureReason> {
    match outcome_of(step) {
        Some(RequestOutcome::NotRun { reason, .. }) => Some(reason),
        _ => None,
    }
}

/// Within any grace period that can be configured, the phases come in order, with time between them.
#[gtest]
fn shutdown_phases_come_in_order_within_any_grace_period() -> Result<()> {
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

/// No holder has a request that still waits for an owner, so that it ends as not run.
#[gtest]
fn a_withdrawn_request_without_a_holder_ends_as_not_run() -> Result<()> {
    let bench = DaemonBench::serving();
    let (mut forwarding, _) = bench.begin_request();
    verify_that!(forwarding.withdraw(&bench.agent), eq(true))?;
    let step = forwarding.advance(&bench.agent, bench.now);
    verify_that!(reason_of(&step), some(eq(RequestFailureReason::NotServing)))
}

/// A daemon that is shutting down does not forward a request again that another daemon has returned.
#[gtest]
fn a_withdrawn_request_is_not_forwarded_to_another_holder() -> Result<()> {
    let holder = remote_host("daemon-2", 4);
    let bench = DaemonBench::serving_with(vec![holder.clone()]);
    bench.agent.cache_owner(&bench.key("f"), &holder);
    for result in [
        completed(not_run(RequestFailureReason::NotHolder, 50)),
        ForwardResult::Unsent,
    ] {
        let (mut forwarding, _) = bench.begin_request();
        forwarding.withdraw(&bench.agent);
        let step = bench.handle_forward_result(&mut forwarding, result);
        verify_that!(reason_of(&step), some(eq(RequestFailureReason::NotServing)))?;
    }
    Ok(())
}

/// A holder that was lost with the request may have run it.
#[gtest]
fn a_withdrawn_request_whose_holder_was_lost_ends_as_unknown() -> Result<()> {
    let holder = remote_host("daemon-2", 4);
    let bench = DaemonBench::serving_with(vec![holder.clone()]);
    bench.agent.cache_owner(&bench.key("f"), &holder);
    let (mut forwarding, _) = bench.begin_request();
    let step = bench.handle_forward_result(&mut forwarding, ForwardResult::Lost);
    verify_that!(matches!(step, ForwardingStep::Wait { .. }), eq(true))?;
    forwarding.withdraw(&bench.agent);
    let step = forwarding.advance(&bench.agent, bench.now);
    let is_unknown = matches!(outcome_of(&step), Some(RequestOutcome::Unknown { .. }));
    verify_that!(is_unknown, eq(true))
}

/// The outcome of a request that a holder already has is still accepted.
#[gtest]
fn a_withdrawn_request_ends_with_its_holders_outcome() -> Result<()> {
    let holder = remote_host("daemon-2", 4);
    let bench = DaemonBench::serving_with(vec![holder.clone()]);
    bench.agent.cache_owner(&bench.key("f"), &holder);
    let (mut forwarding, _) = bench.begin_request();
    forwarding.withdraw(&bench.agent);
    let unknown = RequestOutcome::Unknown {
        reason: RequestFailureReason::ResponseLost,
    };
    let step = bench.handle_forward_result(&mut forwarding, completed(unknown.clone()));
    verify_that!(outcome_of(&step) == Some(unknown), eq(true))
}

/// A daemon on the way rejects the withdrawn request, so that the daemon that forwarded it looks for another holder.
#[gtest]
fn a_stopping_daemon_on_the_way_returns_the_request() -> Result<()> {
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

/// Daemons of earlier versions do not know notices, and must neither answer them nor act on them.
#[gtest]
fn a_daemon_that_does_not_know_notices_ignores_them() -> Result<()> {
    let bench = DaemonBench::serving();
    for notice in [RequesterNotice::Withdrawn, RequesterNotice::Abandoned] {
        let message = notice.into_message();
        verify_that!(RequesterNotice::from_message(&message), some(eq(notice)))?;
        let is_completed = matches!(message, DaemonMessage::Completed { .. });
        verify_that!(is_completed, eq(true))?;
        let parsed = FunctionRequest::from_message(bench.now, message);
        let Err(other) = parsed else {
            return fail!("a notice was read as a request");
        };
        let reply = bench.agent.handle_replica_request(bench.now, *other);
        verify_that!(reply.is_none(), eq(true))?;
    }
    Ok(())
}
