//! When a daemon serves, and when it is idle or drained.

use crate::bench::{DaemonBench, ms, own_host, rejection, spec_frame};
use crate::daemon_control::START;
use common::frames::RequestFailureReason;
use common::rules::Rules;
use common::spec::RoutingTable;
use dataplane::agent::{Agent, ForwardingStep};
use dataplane::failure_detector::HEARTBEAT_INTERVAL;
use googletest::prelude::*;
use std::sync::Arc;

#[gtest]
fn a_daemon_serves_nothing_before_its_first_lease_nor_after_its_last() -> Result<()> {
    let mut bench = DaemonBench::new(Rules::ALL_ENFORCED);
    bench.receive(spec_frame(3, "f"));
    let (_, early) = bench.begin_request();
    verify_that!(
        rejection(&early),
        some(eq((RequestFailureReason::NotServing, 400)))
    )?;
    bench.renew(3);
    bench.list_own_host();
    let (mut forwarding, acquiring) = bench.begin_request();
    verify_that!(
        matches!(acquiring, ForwardingStep::Acquire { .. }),
        eq(true)
    )?;
    let late = forwarding.advance(&bench.agent, bench.now + ms(2400));
    verify_that!(
        rejection(&late).map(|(reason, _)| reason),
        some(eq(RequestFailureReason::NotServing))
    )
}

#[gtest]
fn daemon_control_is_idle_until_something_is_due() -> Result<()> {
    let mut bench = DaemonBench::serving();
    bench.control.tick(&bench.agent, bench.now);
    let due = bench.control.next_due(&bench.agent);
    verify_that!(due, eq(bench.now + HEARTBEAT_INTERVAL))?;
    bench.control.tick(&bench.agent, due);
    verify_that!(bench.control.next_due(&bench.agent), gt(due))
}

#[gtest]
fn a_caller_that_hangs_up_leaves_nothing_in_flight() -> Result<()> {
    let agent: Agent<u64> = Agent::new(own_host(), Rules::ALL_ENFORCED);
    let in_progress = agent.track_in_flight();
    let abandoned = agent.track_in_flight();
    verify_that!(agent.is_drained(), eq(false))?;
    drop(abandoned);
    verify_that!(agent.is_drained(), eq(false))?;
    drop(in_progress);
    verify_that!(agent.is_drained(), eq(true))
}

#[gtest]
fn a_new_agent_is_not_ready() -> Result<()> {
    let agent: Arc<Agent<u64>> = Arc::new(Agent::new(own_host(), Rules::ALL_ENFORCED));
    verify_that!(agent.is_ready(START), eq(false))?;
    verify_that!(
        agent.routing_table().version(),
        eq(RoutingTable::empty().version())
    )
}

#[gtest]
fn a_daemon_that_does_not_serve_gives_a_retry_after() -> Result<()> {
    let mut bench = DaemonBench::new(Rules::ALL_ENFORCED);
    verify_that!(bench.agent.not_serving_retry_after(), eq(ms(400)))?;
    bench.control.handle_disconnected(&bench.agent, bench.now);
    verify_that!(bench.agent.not_serving_retry_after(), eq(ms(1000)))
}
