//! Runners without a holder are adopted with the next lease, or stopped.

use super::harness::{Harness, ms};
use super::samples::{
    adoptable_claim, function, hello, instance, listed_instance, old_runner, worker,
};
use common::frames::{
    DaemonToLeader, Flag, Host, LeaderToDaemon, LengthPrefixed, ReserveResult, RunnerStatus,
    SocketAddress,
};
use googletest::prelude::*;

#[gtest]
fn the_runner_of_a_lost_holder_is_adopted_only_once() -> Result<()> {
    let mut harness = Harness::with_two_daemons(vec![adoptable_claim(false)]);
    harness.advance(ms(2250));
    harness.renew(2);
    harness.acquire(2);
    harness.advance(ms(10));
    verify_that!(harness.runners_to_stop(), is_empty())?;
    let adopted_runners = harness.adopted_runners();
    verify_that!(adopted_runners.len(), eq(1))?;
    verify_that!(adopted_runners[0].runner == old_runner(), eq(false))?;
    harness.join(3, "a", vec![adoptable_claim(true)]);
    harness.advance(ms(10));
    harness.send(
        2,
        DaemonToLeader::Release {
            function: function(),
            fencing_token: adopted_runners[0].runner.fencing_token,
            runners: LengthPrefixed(adopted_runners.clone()),
        },
    );
    harness.acquire(3);
    harness.advance(ms(10));
    verify_that!(harness.runners_to_stop(), is_empty())?;
    let next_adopted = harness.adopted_runners();
    verify_that!(next_adopted.len(), eq(1))?;
    verify_that!(next_adopted[0].instance.0, elements_are![eq(&instance())])
}

#[gtest]
fn an_orphaned_runner_that_nobody_adopts_is_stopped() -> Result<()> {
    let mut harness = Harness::with_two_daemons(vec![adoptable_claim(true)]);
    verify_that!(harness.runners_to_stop(), is_empty())?;
    harness.advance(ms(3900));
    verify_that!(harness.runners_to_stop(), is_empty())?;
    harness.advance(ms(200));
    verify_that!(harness.runners_to_stop(), elements_are![eq(&old_runner())])
}

#[gtest]
fn another_incarnation_of_a_daemon_at_its_address_ends_the_lease_at_once() -> Result<()> {
    let mut harness = Harness::with_two_daemons(vec![adoptable_claim(false)]);
    let host = Host {
        member: "a".into(),
        incarnation: 2.into(),
        zone: "l1".into(),
        address: SocketAddress::UNSPECIFIED,
        eligible: Flag(true),
        link_mbps: 0,
    };
    harness.send(3, hello(host, 0, false));
    harness.acquire(2);
    harness.advance(ms(10));
    verify_that!(harness.adopted_runners().len(), eq(1))
}

#[gtest]
fn a_holder_is_notified_of_an_instance_missing_from_the_list() -> Result<()> {
    let mut harness = Harness::with_two_daemons(vec![adoptable_claim(false)]);
    let is_notified = |harness: &Harness| {
        harness.frames().any(|(_, frame)| {
            matches!(frame, LeaderToDaemon::RunnerUnlisted { runner, .. } if *runner == old_runner())
        })
    };
    harness.advance(ms(900));
    harness.list_runners(&[]);
    harness.advance(ms(10));
    verify_that!(is_notified(&harness), eq(false))?;
    harness.advance(ms(200));
    harness.list_runners(&[]);
    harness.advance(ms(10));
    verify_that!(is_notified(&harness), eq(true))
}

fn known_runner_count(harness: &Harness) -> usize {
    harness.leader_state.report_runners().runners.len()
}

#[gtest]
fn a_started_runner_not_yet_reported_is_not_taken_for_an_orphan() -> Result<()> {
    let mut harness = Harness::with_two_daemons(vec![]);
    harness.list_workers(&[worker("w", "l", 300)]);
    let fencing_token = harness.acquire_lease(2, "f");
    let ReserveResult::Reserved { runner, .. } = harness.reserve(2, "f", fencing_token) else {
        return fail!("no room");
    };
    harness.list_runners(&[listed_instance(false)]);
    harness.advance(ms(10));
    verify_that!(known_runner_count(&harness), eq(1))?;
    let runner_status = RunnerStatus::Started {
        instance: instance(),
    };
    harness.send(
        2,
        DaemonToLeader::RunnerUpdate {
            function: function(),
            runner,
            runner_status,
        },
    );
    harness.list_runners(&[listed_instance(false)]);
    harness.advance(ms(10));
    verify_that!(known_runner_count(&harness), eq(1))?;
    verify_that!(harness.runners_to_stop(), is_empty())
}

/// Guards against stop orders in which the leader uses the lost holder's fencing token under its own name "leader", so
/// that the platform sees one token from two holders.
#[gtest]
fn the_runner_of_a_lost_holder_is_stopped_under_that_holders_lease() -> Result<()> {
    let mut harness = Harness::with_two_daemons(vec![adoptable_claim(false)]);
    harness.advance(ms(2250));
    harness.renew(2);
    let mut order = None;
    for _ in 0..60 {
        harness.advance(ms(100));
        harness.renew(2);
        if let Some(ordered) = harness.stop_orders().first() {
            order = Some((*ordered).clone());
            break;
        }
    }
    let Some(order) = order else {
        return fail!("no stop was ordered");
    };
    verify_that!(order.runner, eq(old_runner()))?;
    verify_that!(order.member.as_str(), eq("a"))?;
    verify_that!(order.fencing_token, eq(old_runner().fencing_token))
}

/// The platform's list shows a runner late, while another daemon already holds its function. Guards against a stop in
/// the holder's name with a token above the holder's own: each later call of the holder would have a lower token.
#[gtest]
fn an_orphan_found_late_is_stopped_under_the_current_lease() -> Result<()> {
    let mut harness = Harness::with_two_daemons(vec![]);
    harness.list_workers(&[worker("w", "l", 300)]);
    let fencing_token = harness.acquire_lease(2, "f");
    harness.advance(ms(10));
    let mut order = None;
    for _ in 0..80 {
        harness.list_runners(&[listed_instance(false)]);
        harness.advance(ms(100));
        harness.renew(2);
        if let Some(ordered) = harness.stop_orders().first() {
            order = Some((*ordered).clone());
            break;
        }
    }
    let Some(order) = order else {
        return fail!("no stop was ordered");
    };
    verify_that!(order.member.as_str(), eq("b"))?;
    verify_that!(order.fencing_token, eq(fencing_token))
}

/// No daemon is known to have held the function: each stop order has a new token, greater than all before it.
#[gtest]
fn a_runner_without_a_known_holder_is_stopped_under_new_tokens() -> Result<()> {
    let mut harness = Harness::with_two_daemons(vec![]);
    harness.list_workers(&[worker("w", "l", 300)]);
    let mut tokens = Vec::new();
    let mut stopped = None;
    for _ in 0..120 {
        harness.list_runners(&[listed_instance(false)]);
        harness.advance(ms(100));
        harness.renew(2);
        for order in harness.stop_orders() {
            verify_that!(order.member.as_str(), eq("leader"))?;
            tokens.push(order.fencing_token);
            stopped = Some(order.runner);
        }
    }
    verify_that!(tokens.len(), ge(2))?;
    verify_that!(tokens.is_sorted_by(|one, next| one < next), eq(true))?;
    let Some(runner) = stopped else {
        return fail!("no stop was ordered");
    };
    harness.leader_state.handle_runner_stopped(runner);
    let granted = harness.acquire_lease(2, "f");
    verify_that!(Some(&granted), gt(tokens.last()))
}
