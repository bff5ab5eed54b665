//! Function leases that are granted after all functions were closed at the end of the session lease.

use crate::bench::{DaemonBench, ms, renewal_correlation, spec_frame};
use common::frames::{AcquireResult, DaemonToLeader, LeaderToDaemon, LengthPrefixed};
use common::identity::{CorrelationId, FencingToken, FunctionKey, Version};
use common::rules::{Rule, Rules};
use dataplane::agent::DaemonControlOutput;
use googletest::prelude::*;

/// The fencing token of the first lease that the leader of term 2 grants.
const LATE_LEASE: FencingToken = FencingToken(2 << 32 | 1);

fn granted_frame(correlation: CorrelationId, function: &FunctionKey) -> LeaderToDaemon {
    LeaderToDaemon::Acquired {
        correlation,
        function: function.clone(),
        result: AcquireResult::Granted {
            fencing_token: LATE_LEASE,
            once_wait_ms: 0,
            replica: LengthPrefixed(Vec::new()),
            previous_lease: LengthPrefixed(Vec::new()),
            adopted: LengthPrefixed(Vec::new()),
        },
    }
}

fn acquire_correlation(outputs: &[DaemonControlOutput<u64>]) -> Option<CorrelationId> {
    outputs.iter().find_map(|output| match output {
        DaemonControlOutput::SendFrame(DaemonToLeader::Acquire { correlation, .. }) => {
            Some(*correlation)
        }
        _ => None,
    })
}

fn releases_lease(outputs: &[DaemonControlOutput<u64>]) -> bool {
    outputs.iter().any(|output| {
        matches!(output, DaemonControlOutput::SendFrame(DaemonToLeader::Release { fencing_token, .. }) if *fencing_token == LATE_LEASE)
    })
}

/// Returns a daemon that requested a function, closed all functions when its session lease ended, and then got a new
/// session lease; and the correlation id of its request.
fn renewed_after_lease_end(rules: Rules) -> (DaemonBench, CorrelationId) {
    let mut bench = DaemonBench::new(rules);
    bench.receive(spec_frame(2, "f"));
    bench.renew_for(2, 600);
    bench.now = bench.now + ms(400);
    let outputs = bench.control.tick(&bench.agent, bench.now);
    let late_renewal = renewal_correlation(&outputs);
    bench.list_own_host();
    let function = bench.key("f");
    let outputs = bench
        .control
        .request_lease(&bench.agent, bench.now, function);
    let acquire_request = acquire_correlation(&outputs).expect("an acquisition");
    bench.now = bench.now + ms(300);
    let outputs = bench.control.tick(&bench.agent, bench.now);
    let has_claimed_nothing = outputs.iter().any(|output| {
        matches!(output, DaemonControlOutput::SendFrame(DaemonToLeader::Claims { claims }) if claims.0.is_empty())
    });
    assert!(has_claimed_nothing);
    let correlation = late_renewal.expect("a renewal");
    bench.receive(LeaderToDaemon::Renewed {
        correlation,
        lease_ms: 2400,
        version: Version(2),
    });
    assert!(bench.agent.is_serving(bench.now));
    (bench, acquire_request)
}

/// Grants a function lease that was requested before the session lease ended, after which the daemon claimed no
/// function. Returns whether the daemon holds the function, and whether it releases the lease.
fn handling_of_late_lease(rules: Rules) -> (bool, bool) {
    let (mut bench, acquire_request) = renewed_after_lease_end(rules);
    let function = bench.key("f");
    let outputs = bench.receive(granted_frame(acquire_request, &function));
    (
        bench
            .agent
            .held_under_lease(&function, LATE_LEASE)
            .is_some(),
        releases_lease(&outputs),
    )
}

#[gtest]
fn a_lease_requested_before_the_session_lease_ended_is_released() -> Result<()> {
    verify_that!(
        handling_of_late_lease(Rules::ALL_ENFORCED),
        eq((false, true))
    )?;
    verify_that!(
        handling_of_late_lease(Rules::without(Rule::StaleLeaseReturned)),
        eq((true, false))
    )
}

/// The leader grants a lease again in response to a request that crossed the lease's release.
#[gtest]
fn a_released_lease_is_not_accepted_from_a_later_response() -> Result<()> {
    let (mut bench, acquire_request) = renewed_after_lease_end(Rules::ALL_ENFORCED);
    let function = bench.key("f");
    let outputs = bench
        .control
        .request_lease(&bench.agent, bench.now, function.clone());
    let later_acquire_request = acquire_correlation(&outputs).expect("an acquisition");
    verify_that!(
        releases_lease(&bench.receive(granted_frame(acquire_request, &function))),
        eq(true)
    )?;
    bench.receive(granted_frame(later_acquire_request, &function));
    verify_that!(
        bench
            .agent
            .held_under_lease(&function, LATE_LEASE)
            .is_none(),
        eq(true)
    )
}
