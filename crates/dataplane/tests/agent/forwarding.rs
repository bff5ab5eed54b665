//! How a request reaches its holder: waits, referrals and spec mismatches.

use crate::bench::{DaemonBench, completed, ms, not_run, rejection, remote_host, spec_frame};
use common::frames::{AcquireResult, DaemonMessage, Flag, RequestFailureReason, RequestPayload};
use common::identity::Version;
use dataplane::agent::{ForwardResult, Forwarding, ForwardingStep, FunctionRequest};
use googletest::prelude::*;
use std::sync::Arc;

#[gtest]
fn a_wait_beyond_the_timeout_is_rejected_at_once_with_the_expected_ready_time() -> Result<()> {
    let bench = DaemonBench::serving();
    let (mut forwarding, _) = bench.begin_request();
    let result = Some(AcquireResult::RetryLater { wait_ms: 2300 });
    let step = forwarding.handle_acquire_result(&bench.agent, bench.now, result);
    verify_that!(
        rejection(&step),
        some(eq((RequestFailureReason::NoOwner, 2500)))
    )?;
    let (mut forwarding, _) = bench.begin_request();
    let result = Some(AcquireResult::RetryLater { wait_ms: 300 });
    let step = forwarding.handle_acquire_result(&bench.agent, bench.now, result);
    verify_that!(matches!(step, ForwardingStep::Wait { .. }), eq(true))
}

#[gtest]
fn a_declined_request_is_looked_up_again_after_a_backoff() -> Result<()> {
    let bench = DaemonBench::serving();
    let (mut forwarding, _) = bench.begin_request();
    let declined = not_run(RequestFailureReason::NotHolder, 50);
    let ForwardingStep::Wait { wait_until } =
        forwarding.handle_local_outcome(&bench.agent, bench.now, declined)
    else {
        return fail!("the owner of a declined request is not looked up again");
    };
    verify_that!(wait_until, gt(bench.now))?;
    let early_step = forwarding.advance(&bench.agent, bench.now + ms(1));
    verify_that!(matches!(early_step, ForwardingStep::Wait { .. }), eq(true))?;
    let retried = forwarding.advance(&bench.agent, wait_until);
    verify_that!(matches!(retried, ForwardingStep::Acquire { .. }), eq(true))
}

/// Returns a daemon that has forwarded a request, the state of that request, and the step after the holder has rejected
/// it because of a different spec.
fn spec_mismatch() -> (DaemonBench, Forwarding, ForwardingStep<u64>) {
    let bench = DaemonBench::serving();
    let (mut forwarding, _) = bench.begin_request();
    let rejected = not_run(RequestFailureReason::NotAllowed, 500);
    let step = bench.handle_forward_result(&mut forwarding, completed(rejected));
    (bench, forwarding, step)
}

#[gtest]
fn ingress_looks_up_again_once_it_has_the_holders_newer_spec() -> Result<()> {
    let (mut bench, mut forwarding, step) = spec_mismatch();
    let ForwardingStep::Wait { wait_until } = step else {
        return fail!("the ingress daemon does not wait");
    };
    verify_that!(wait_until, eq(bench.now + ms(300)))?;
    let unchanged = forwarding.advance(&bench.agent, bench.now + ms(100));
    verify_that!(matches!(unchanged, ForwardingStep::Wait { .. }), eq(true))?;
    bench.receive(spec_frame(4, "g"));
    let changed = forwarding.advance(&bench.agent, bench.now + ms(110));
    verify_that!(matches!(changed, ForwardingStep::Acquire { .. }), eq(true))?;
    verify_that!(forwarding.request().function.clone(), eq(&bench.key("g")))?;
    verify_that!(forwarding.request().version, eq(Version(4)))
}

#[gtest]
fn a_lasting_spec_mismatch_is_rejected_with_a_short_retry_after() -> Result<()> {
    let (bench, mut forwarding, _) = spec_mismatch();
    let late = forwarding.advance(&bench.agent, bench.now + ms(300));
    verify_that!(
        rejection(&late),
        some(eq((RequestFailureReason::NotAllowed, 200)))
    )
}

#[gtest]
fn a_hash_owner_refers_to_a_holder_in_another_zone_and_forwards_what_cannot_be_referred()
-> Result<()> {
    let holder = remote_host("daemon-2", 4);
    let bench = DaemonBench::serving_with(vec![holder.clone()]);
    bench.agent.cache_owner(&bench.key("f"), &holder);
    let step_for = |wants_referral: bool, body: usize, time_limit_ms: u64| {
        let payload = Arc::new(RequestPayload {
            target: "/r".into(),
            ..RequestPayload::from_body(vec![0; body].into())
        });
        let deadline = bench.now + ms(time_limit_ms);
        let mut forwarding = Forwarding::new(
            bench.now,
            FunctionRequest {
                hops: 1,
                wants_referral,
                payload,
                deadline,
                ..bench.request()
            },
        );
        forwarding.advance(&bench.agent, bench.now)
    };
    let referral = step_for(true, 100, 2000);
    verify_that!(
        rejection(&referral).map(|(reason, _)| reason),
        some(eq(RequestFailureReason::NotHolder))
    )?;
    verify_that!(
        matches!(referral, ForwardingStep::End(_, Some(host)) if host == holder),
        eq(true)
    )?;
    let is_forwarded = |step: ForwardingStep<u64>| matches!(step, ForwardingStep::Forward { .. });
    verify_that!(is_forwarded(step_for(false, 100, 2000)), eq(true))?;
    verify_that!(is_forwarded(step_for(true, 1 << 20, 2000)), eq(true))?;
    verify_that!(is_forwarded(step_for(true, 100, 200)), eq(true))
}

#[gtest]
fn ingress_follows_only_one_referral() -> Result<()> {
    let holder = remote_host("daemon-2", 4);
    let bench = DaemonBench::serving_with(vec![holder.clone(), remote_host("daemon-3", 5)]);
    let (mut forwarding, _) = bench.begin_request();
    let referral = || not_run(RequestFailureReason::NotHolder, 50);
    let end = ForwardResult::Completed(referral(), Some(holder.clone()));
    let ForwardingStep::Forward { host, body, .. } =
        bench.handle_forward_result(&mut forwarding, end)
    else {
        return fail!("the ingress daemon does not follow the referral");
    };
    verify_that!(host, eq(&holder))?;
    verify_that!(
        matches!(
            body,
            DaemonMessage::FunctionRequest {
                wants_referral: Flag(false),
                ..
            }
        ),
        eq(true)
    )?;
    let retried = bench.handle_forward_result(
        &mut forwarding,
        ForwardResult::Completed(referral(), Some(holder)),
    );
    verify_that!(matches!(retried, ForwardingStep::Wait { .. }), eq(true))
}

#[gtest]
fn the_hash_owners_retry_after_reaches_ingress_unchanged() -> Result<()> {
    let bench = DaemonBench::serving_with(vec![remote_host("daemon-2", 4)]);
    let (mut forwarding, _) = bench.begin_request();
    let result = not_run(RequestFailureReason::NoOwner, 1733);
    let step = bench.handle_forward_result(&mut forwarding, completed(result));
    verify_that!(
        rejection(&step),
        some(eq((RequestFailureReason::NoOwner, 1733)))
    )
}
