//! How a daemon installs specs, and checks requests against the newest one.

use crate::bench::{DaemonBench, ms, spec_frame};
use crate::daemon_control::payload_to;
use crate::lease::{function_spec, lease_terms};
use common::clock::MonotonicTime;
use common::frames::RequestFailureReason;
use common::identity::{FencingToken, RunnerId, Version};
use common::invariants;
use common::invariants::Invariant;
use common::rules::{Rule, Rules};
use common::spec::FunctionSpec;
use dataplane::agent::{HeldFunction, HolderRequest};
use dataplane::holder::{Holder, LeaseTerms};
use googletest::prelude::*;
use std::sync::Arc;

const RUNNER: RunnerId = RunnerId {
    fencing_token: FencingToken(4),
    ordinal: 5,
};

/// Returns the function `f` as held by the daemon.
fn held_function(bench: &DaemonBench) -> Arc<HeldFunction<u64>> {
    let spec = FunctionSpec {
        startup: ms(200),
        slots: 2,
        max_runners: 2,
        ..function_spec()
    };
    let terms = LeaseTerms {
        fencing_token: RUNNER.fencing_token,
        ..lease_terms(bench.key("f"), spec)
    };
    Arc::new(HeldFunction::new(Holder::new(bench.now, terms)))
}

fn holder_request(now: MonotonicTime) -> HolderRequest {
    HolderRequest {
        idempotency_key: "t".into(),
        route: "r".to_owned(),
        deadline: now + ms(2000),
        once: false,
        recorded: true,
        max_attempts: 3,
        is_retry: false,
        queue_timeout: ms(1000),
        target: ms(1000),
        rank: 0,
        region: None,
        payload: payload_to("/r"),
    }
}

/// Checks whether a request that waits at its holder may still be sent after its route has changed to another function.
fn send_after_spec_change(rules: Rules) -> std::result::Result<(), RequestFailureReason> {
    let mut bench = DaemonBench::new(rules);
    bench.receive(spec_frame(3, "f"));
    bench.renew(3);
    let held = held_function(&bench);
    let held_functions = [(held.function.clone(), held.clone())];
    bench.agent.replace_held_functions(held_functions.into());
    let (now, request) = (bench.now, holder_request(bench.now));
    bench
        .agent
        .runner_attempt(now, &held, &request, RUNNER, 1)
        .expect("allowed before the spec change");
    bench.receive(spec_frame(4, "g"));
    bench
        .agent
        .runner_attempt(now, &held, &request, RUNNER, 1)
        .map(|_| ())
}

#[gtest]
fn a_waiting_request_is_checked_against_the_newest_spec_before_it_is_sent() -> Result<()> {
    verify_that!(
        send_after_spec_change(Rules::ALL_ENFORCED),
        err(eq(RequestFailureReason::NotAllowed))
    )?;
    verify_that!(
        send_after_spec_change(Rules::without(Rule::SpecCheckedBeforeSend)),
        ok(anything())
    )
}

#[gtest]
fn an_installed_spec_version_never_decreases() -> Result<()> {
    let version_after = |rules: Rules| {
        let mut bench = DaemonBench::new(rules);
        bench.receive(spec_frame(5, "f"));
        bench.receive(spec_frame(4, "g"));
        bench.agent.routing_table().version()
    };
    verify_that!(version_after(Rules::ALL_ENFORCED), eq(Version(5)))?;
    invariants::collect_on_this_thread();
    verify_that!(
        version_after(Rules::without(Rule::VersionNeverDecreases)),
        eq(Version(4))
    )?;
    let observed: Vec<Invariant> = invariants::take_collected()
        .into_iter()
        .map(|violation| violation.invariant)
        .collect();
    verify_that!(observed, elements_are![eq(&Invariant::SpecNeverOlder)])
}

#[gtest]
fn a_renewal_extends_the_lease_only_with_the_newest_spec_installed() -> Result<()> {
    let serves = |rules: Rules| {
        let mut bench = DaemonBench::new(rules);
        bench.receive(spec_frame(3, "f"));
        bench.renew(4);
        bench.agent.is_serving(bench.now)
    };
    verify_that!(serves(Rules::ALL_ENFORCED), eq(false))?;
    verify_that!(
        serves(Rules::without(Rule::RenewalNeedsNewestSpec)),
        eq(true)
    )
}
