//! Routes whose kind or `tries` changes while a request is on its way: it is sent only as often as every spec
//! allows that has matched it (kin of review/6, TWICE).

use crate::bench::{DaemonBench, ms, own_host, remote_host};
use crate::daemon_control::spec_frame_of;
use crate::lease::{function_spec, lease_terms};
use common::frames::{DaemonMessage, RequestFailureReason, RequestOutcome};
use common::identity::{FencingToken, RunnerId, Version};
use common::rules::{Rule, Rules};
use dataplane::agent::{
    AttemptLimits, ForwardResult, Forwarding, ForwardingStep, FunctionRequest, HeldFunction,
    HolderRequest,
};
use dataplane::holder::Holder;
use googletest::prelude::*;
use serde_json::json;
use std::sync::Arc;

const RUNNER: RunnerId = RunnerId {
    fencing_token: FencingToken(4),
    ordinal: 5,
};

/// The kind of the route to `f`, and its `tries`.
type Limits = (&'static str, u32);

const ONCE: Limits = ("once", 3);
const REPEATABLE: Limits = ("repeatable", 3);

/// Installs a version in which the only route has these limits.
fn install(bench: &mut DaemonBench, version: u64, (kind, max_attempts): Limits) {
    let spec = json!({
        "functions": {"f": {"memory_mb": 100, "boot_ms": 200, "slots": 2}},
        "routes": {"r": {
            "method": "POST", "path": "/r", "function": "f", "budget_ms": 3000, "kind": kind,
            "tries": max_attempts, "identities": "fresh",
        }},
    });
    bench.receive(spec_frame_of(spec, version));
    bench.renew(version);
}

/// Creates a serving daemon whose spec has version 3.
fn bench_with(rules: Rules, limits: Limits) -> DaemonBench {
    let mut bench = DaemonBench::new(rules);
    install(&mut bench, 3, limits);
    bench.list_hosts(vec![own_host(), remote_host("daemon-2", 4)]);
    bench
}

fn hold_f(bench: &DaemonBench) -> Arc<HeldFunction<u64>> {
    let terms = lease_terms(bench.key("f"), function_spec());
    let held = Arc::new(HeldFunction::new(Holder::new(bench.now, terms)));
    let held_functions = [(held.function.clone(), held.clone())];
    bench.agent.replace_held_functions(held_functions.into());
    held
}

fn served(step: ForwardingStep<u64>) -> HolderRequest {
    match step {
        ForwardingStep::Serve(_, holder_request) => holder_request,
        _ => panic!("the request is not served here"),
    }
}

/// Returns the limits at the holder of a request that was accepted with the first of these limits, and waited at its
/// ingress daemon while the route got each of the others.
fn limits_after(rules: Rules, changes: &[Limits]) -> AttemptLimits {
    let mut bench = bench_with(rules, changes[0]);
    let mut forwarding = Forwarding::new(bench.now, bench.request());
    for (version, limits) in (4..).zip(&changes[1..]) {
        install(&mut bench, version, *limits);
        forwarding.advance(&bench.agent, bench.now);
    }
    hold_f(&bench);
    served(forwarding.advance(&bench.agent, bench.now)).limits()
}

/// Guards against a second run of a request that was accepted as once-only, or with fewer tries.
#[gtest]
fn a_waiting_request_keeps_the_strictest_limits_of_all_specs_that_matched_it() -> Result<()> {
    let limits = |once: bool, max_attempts: u32| AttemptLimits { once, max_attempts };
    let kept = |changes: &[Limits]| limits_after(Rules::ALL_ENFORCED, changes);
    verify_that!(kept(&[ONCE, REPEATABLE]), eq(limits(true, 3)))?;
    verify_that!(kept(&[REPEATABLE, ONCE]), eq(limits(true, 3)))?;
    verify_that!(kept(&[REPEATABLE, ONCE, REPEATABLE]), eq(limits(true, 3)))?;
    verify_that!(
        kept(&[("repeatable", 2), ("repeatable", 5)]),
        eq(limits(false, 2))
    )?;
    verify_that!(kept(&[REPEATABLE, REPEATABLE]), eq(limits(false, 3)))?;
    let without = Rules::without(Rule::StrictestLimitsKept);
    verify_that!(
        limits_after(without, &[ONCE, REPEATABLE]),
        eq(limits(false, 3))
    )
}

/// Guards against a second run by a holder whose spec differs from the one that the ingress daemon has matched with.
#[gtest]
fn a_holder_sends_a_request_matched_by_another_spec_to_one_runner_only() -> Result<()> {
    let attempts_of = |rules: Rules, matched_version: u64| {
        let bench = bench_with(rules, REPEATABLE);
        hold_f(&bench);
        let forwarded = FunctionRequest {
            hops: 1,
            version: Version(matched_version),
            limits: AttemptLimits::UNLIMITED,
            ..bench.request()
        };
        let mut at_holder = Forwarding::new(bench.now, forwarded);
        served(at_holder.advance(&bench.agent, bench.now)).max_attempts
    };
    verify_that!(attempts_of(Rules::ALL_ENFORCED, 3), eq(3))?;
    verify_that!(attempts_of(Rules::ALL_ENFORCED, 2), eq(1))?;
    verify_that!(attempts_of(Rules::ALL_ENFORCED, 4), eq(1))?;
    let without = Rules::without(Rule::StrictestLimitsKept);
    verify_that!(attempts_of(without, 2), eq(3))
}

/// Guards against a holder that takes the newest version alone for the limits of a request that had stricter ones.
#[gtest]
fn a_request_with_stricter_limits_is_not_forwarded_under_the_newest_version() -> Result<()> {
    let forwarded_version = |later: Limits| {
        let mut bench = bench_with(Rules::ALL_ENFORCED, ONCE);
        let mut forwarding = Forwarding::new(bench.now, bench.request());
        install(&mut bench, 4, later);
        let holder = remote_host("daemon-2", 4);
        bench.agent.cache_owner(&bench.key("f"), &holder);
        match forwarding.advance(&bench.agent, bench.now) {
            ForwardingStep::Forward {
                body: DaemonMessage::FunctionRequest { version, .. },
                ..
            } => version,
            _ => panic!("the request is not forwarded"),
        }
    };
    verify_that!(forwarded_version(ONCE), eq(Version(4)))?;
    verify_that!(forwarded_version(REPEATABLE), eq(Version(0)))
}

/// Returns the step of the ingress daemon after the holder was lost with a request, and its route was changed first.
fn step_after_loss(rules: Rules, accepted: Limits, changed: Limits) -> ForwardingStep<u64> {
    let mut bench = bench_with(rules, accepted);
    let holder = remote_host("daemon-2", 4);
    bench.agent.cache_owner(&bench.key("f"), &holder);
    let mut forwarding = Forwarding::new(bench.now, bench.request());
    forwarding.advance(&bench.agent, bench.now);
    install(&mut bench, 4, changed);
    bench.handle_forward_result(&mut forwarding, ForwardResult::Lost)
}

fn is_unknown(step: &ForwardingStep<u64>) -> bool {
    matches!(step, ForwardingStep::End(RequestOutcome::Unknown { .. }, _))
}

/// Guards against a second run after a lost holder, and against a retry that is refused although both specs allow it.
#[gtest]
fn a_lost_request_is_retried_only_if_all_specs_that_matched_it_allow_that() -> Result<()> {
    let step = |accepted, changed| step_after_loss(Rules::ALL_ENFORCED, accepted, changed);
    verify_that!(is_unknown(&step(ONCE, REPEATABLE)), eq(true))?;
    verify_that!(is_unknown(&step(REPEATABLE, ONCE)), eq(true))?;
    verify_that!(is_unknown(&step(REPEATABLE, ("repeatable", 1))), eq(true))?;
    let both_allow = step(REPEATABLE, ("repeatable", 4));
    verify_that!(matches!(both_allow, ForwardingStep::Wait { .. }), eq(true))?;
    let without = Rules::without(Rule::StrictestLimitsKept);
    let newest_alone = step_after_loss(without, ONCE, REPEATABLE);
    verify_that!(
        matches!(newest_alone, ForwardingStep::Wait { .. }),
        eq(true)
    )
}

/// Guards against a second run when the kind changes after the retry was decided and before it is forwarded.
#[gtest]
fn a_retry_that_waits_ends_as_unknown_when_its_route_becomes_once_only() -> Result<()> {
    let mut bench = bench_with(Rules::ALL_ENFORCED, REPEATABLE);
    let holder = remote_host("daemon-2", 4);
    bench.agent.cache_owner(&bench.key("f"), &holder);
    let mut forwarding = Forwarding::new(bench.now, bench.request());
    forwarding.advance(&bench.agent, bench.now);
    let waiting = bench.handle_forward_result(&mut forwarding, ForwardResult::Lost);
    verify_that!(matches!(waiting, ForwardingStep::Wait { .. }), eq(true))?;
    install(&mut bench, 4, ONCE);
    let step = forwarding.advance(&bench.agent, bench.now + ms(50));
    verify_that!(is_unknown(&step), eq(true))
}

/// Guards against a second run at the next holder, whose spec says once-only while the ingress daemon's does not yet.
#[gtest]
fn a_holder_does_not_serve_a_retry_that_its_own_spec_does_not_allow() -> Result<()> {
    let step_for = |matched_version: u64, is_retry: bool| {
        let bench = bench_with(Rules::ALL_ENFORCED, ONCE);
        hold_f(&bench);
        let forwarded = FunctionRequest {
            hops: 1,
            is_retry,
            version: Version(matched_version),
            ..bench.request()
        };
        Forwarding::new(bench.now, forwarded).advance(&bench.agent, bench.now)
    };
    verify_that!(
        crate::bench::rejection(&step_for(2, true)).map(|(reason, _)| reason),
        some(eq(RequestFailureReason::NotAllowed))
    )?;
    verify_that!(served(step_for(2, false)).once, eq(true))?;
    verify_that!(served(step_for(3, true)).once, eq(true))
}

/// Guards against a further attempt from a holder's queue that the newest spec no longer allows.
#[gtest]
fn a_queued_attempt_is_sent_only_if_the_newest_spec_allows_it() -> Result<()> {
    let attempt_after = |changed: Limits, attempt: u32| {
        let mut bench = bench_with(Rules::ALL_ENFORCED, REPEATABLE);
        let held = hold_f(&bench);
        let mut forwarding = Forwarding::new(bench.now, bench.request());
        let queued = served(forwarding.advance(&bench.agent, bench.now));
        install(&mut bench, 4, changed);
        let checked = bench
            .agent
            .runner_attempt(bench.now, &held, &queued, RUNNER, attempt);
        checked.map(|_| ())
    };
    verify_that!(attempt_after(ONCE, 1), ok(eq(())))?;
    verify_that!(
        attempt_after(ONCE, 2),
        err(eq(RequestFailureReason::RejectedByRunner))
    )?;
    verify_that!(attempt_after(("repeatable", 2), 2), ok(eq(())))?;
    verify_that!(
        attempt_after(("repeatable", 2), 3),
        err(eq(RequestFailureReason::RejectedByRunner))
    )?;
    verify_that!(attempt_after(REPEATABLE, 3), ok(eq(())))
}
