//! Requests that are lost with their holder.

use crate::bench::{DaemonBench, completed, once_frame, remote_host};
use common::frames::{AcquireResult, RequestFailureReason, RequestOutcome};
use dataplane::agent::{ForwardResult, Forwarding, ForwardingStep, FunctionRequest};
use dataplane::owners::is_current_owner;
use googletest::prelude::*;

fn is_holder_unreachable<W>(step: &ForwardingStep<W>) -> bool {
    let unreachable = RequestOutcome::Unknown {
        reason: RequestFailureReason::HolderUnreachable,
    };
    matches!(step, ForwardingStep::End(outcome, _) if *outcome == unreachable)
}

#[gtest]
fn a_request_lost_with_its_holder_is_retried_and_never_reported_not_run() -> Result<()> {
    let holder = remote_host("daemon-2", 4);
    let mut bench = DaemonBench::serving_with(vec![holder.clone()]);
    bench.agent.cache_owner(&bench.key("f"), &holder);
    let (mut forwarding, first) = bench.begin_request();
    verify_that!(matches!(first, ForwardingStep::Forward { .. }), eq(true))?;
    bench.mark_suspected(&holder);
    verify_that!(
        is_current_owner(&holder, &bench.agent.live_hosts()),
        eq(false)
    )?;
    let step = bench.handle_forward_result(&mut forwarding, ForwardResult::Lost);
    let ForwardingStep::Wait { wait_until } = step else {
        return fail!("the request is not retried");
    };
    verify_that!(forwarding.request().is_retry, eq(true))?;
    let acquiring = forwarding.advance(&bench.agent, wait_until);
    verify_that!(
        matches!(acquiring, ForwardingStep::Acquire { .. }),
        eq(true)
    )?;
    let result = Some(AcquireResult::RetryLater { wait_ms: 2300 });
    let step = forwarding.handle_acquire_result(&bench.agent, wait_until, result);
    verify_that!(is_holder_unreachable(&step), eq(true))
}

#[gtest]
fn an_at_most_once_request_lost_with_its_holder_ends_as_unknown() -> Result<()> {
    let holder = remote_host("daemon-2", 4);
    let mut bench = DaemonBench::serving_with(vec![holder.clone()]);
    bench.receive(once_frame(4));
    bench.renew(4);
    bench.agent.cache_owner(&bench.key("f"), &holder);
    let (mut forwarding, _) = bench.begin_request();
    let step = bench.handle_forward_result(&mut forwarding, ForwardResult::Lost);
    verify_that!(
        matches!(step, ForwardingStep::End(RequestOutcome::Unknown { .. }, _)),
        eq(true)
    )
}

/// If the daemons on the way also retried lost requests, each would multiply the attempts of the one before, and a
/// request would reach more runners than its route allows.
#[gtest]
fn only_the_ingress_daemon_retries_a_lost_request() -> Result<()> {
    let holder = remote_host("daemon-2", 4);
    let bench = DaemonBench::serving_with(vec![holder.clone()]);
    bench.agent.cache_owner(&bench.key("f"), &holder);
    let mut intermediate = Forwarding::new(
        bench.now,
        FunctionRequest {
            hops: 1,
            wants_referral: false,
            ..bench.request()
        },
    );
    let forwarding_step = intermediate.advance(&bench.agent, bench.now);
    verify_that!(
        matches!(forwarding_step, ForwardingStep::Forward { .. }),
        eq(true)
    )?;
    let step = bench.handle_forward_result(&mut intermediate, ForwardResult::Lost);
    verify_that!(is_holder_unreachable(&step), eq(true))?;

    bench.agent.cache_owner(&bench.key("f"), &holder);
    let (mut at_ingress, _) = bench.begin_request();
    let unreachable = RequestOutcome::Unknown {
        reason: RequestFailureReason::HolderUnreachable,
    };
    let result = || completed(unreachable.clone());
    for _ in 1..3 {
        let step = bench.handle_forward_result(&mut at_ingress, result());
        verify_that!(matches!(step, ForwardingStep::Wait { .. }), eq(true))?;
        verify_that!(at_ingress.request().is_retry, eq(true))?;
    }
    let step = bench.handle_forward_result(&mut at_ingress, result());
    verify_that!(is_holder_unreachable(&step), eq(true))
}
