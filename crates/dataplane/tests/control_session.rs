//! The session lease of a daemon, and its search for the leader.

use common::clock::MonotonicTime;
use common::frames::{DaemonToLeader, Flag, Host, LeaderToDaemon, SocketAddress};
use common::identity::{CorrelationId, Term, Version};
use common::rng::SeededRng;
use common::rules::{Rule, Rules};
use dataplane::control_session::{ControlSession, ControlSessionOutput, ControlSessionTiming};
use googletest::prelude::*;
use std::time::Duration;

const START: MonotonicTime = MonotonicTime(10_000_000_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn address(last: u8) -> SocketAddress {
    SocketAddress(format!("10.0.0.{last}:1").parse().expect("an address"))
}

fn host(name: &str, incarnation: u64) -> Host {
    Host {
        member: name.into(),
        incarnation: incarnation.into(),
        zone: "here".into(),
        address: address(9),
        eligible: Flag(true),
        link_mbps: 0,
    }
}

fn control_session() -> ControlSession {
    let seeds = vec![address(1), address(2), address(3)];
    let timing = ControlSessionTiming::builder().build();
    ControlSession::new(
        START,
        timing,
        host("th-1", 1),
        address(8),
        seeds,
        SeededRng::seeded(4),
    )
}

fn dialed(outputs: &[ControlSessionOutput]) -> Option<SocketAddress> {
    outputs.iter().find_map(|output| match output {
        ControlSessionOutput::Dial(address) => Some(*address),
        _ => None,
    })
}

fn renewal(outputs: &[ControlSessionOutput]) -> Option<CorrelationId> {
    outputs.iter().find_map(|output| match output {
        ControlSessionOutput::SendFrame(DaemonToLeader::Renew { correlation, .. }) => {
            Some(*correlation)
        }
        _ => None,
    })
}

fn ends_lease(outputs: &[ControlSessionOutput]) -> bool {
    outputs
        .iter()
        .any(|output| matches!(output, ControlSessionOutput::LeaseEnded))
}

fn welcomed(control_session: &mut ControlSession) -> CorrelationId {
    control_session.tick(START);
    control_session.handle_connected(START);
    control_session.handle_frame(START, LeaderToDaemon::Welcome { term: Term(2) });
    renewal(&control_session.tick(START)).expect("a renewal")
}

fn renewed(correlation: CorrelationId, version: u64) -> LeaderToDaemon {
    LeaderToDaemon::Renewed {
        correlation,
        lease_ms: 2000,
        version: Version(version),
    }
}

#[gtest]
fn a_lease_runs_from_the_time_its_renewal_was_sent() -> Result<()> {
    let mut control_session = control_session();
    let correlation = welcomed(&mut control_session);
    control_session.handle_frame(START + ms(700), renewed(correlation, 0));
    verify_that!(control_session.lease_end(), eq(START + ms(2000)))?;
    let before = control_session.tick(START + ms(1999));
    verify_that!(ends_lease(&before), eq(false))?;
    let at_end = control_session.tick(START + ms(2000));
    verify_that!(ends_lease(&at_end), eq(true))
}

#[gtest]
fn a_renewal_after_the_lease_end_or_with_a_newer_spec_does_not_extend_the_lease() -> Result<()> {
    let mut late_session = control_session();
    let correlation = welcomed(&mut late_session);
    late_session.handle_frame(START + ms(2500), renewed(correlation, 0));
    verify_that!(late_session.lease_end(), eq(MonotonicTime::ZERO))?;
    let mut behind_session = control_session();
    let correlation = welcomed(&mut behind_session);
    behind_session.handle_frame(START + ms(5), renewed(correlation, 7));
    verify_that!(behind_session.lease_end(), eq(MonotonicTime::ZERO))?;
    let mut repeated_session = control_session();
    let correlation = welcomed(&mut repeated_session);
    repeated_session.handle_frame(START + ms(5), renewed(correlation, 0));
    let end = repeated_session.lease_end();
    repeated_session.handle_frame(START + ms(900), renewed(correlation, 0));
    verify_that!(repeated_session.lease_end(), eq(end))
}

#[gtest]
fn a_silent_leader_is_dropped_and_not_dialed_again_at_once() -> Result<()> {
    let mut control_session = control_session();
    let first_address = dialed(&control_session.tick(START)).expect("dialed");
    control_session.handle_connected(START);
    control_session.handle_frame(START, LeaderToDaemon::Welcome { term: Term(2) });
    let mut now = START;
    let mut later_addresses = Vec::new();
    while now < START + ms(2000) {
        now = now + ms(20);
        let outputs = control_session.tick(now);
        if let Some(dialed_address) = dialed(&outputs) {
            later_addresses.push(dialed_address);
            control_session.handle_connected(now);
            let hint = LeaderToDaemon::Redirect {
                leader: first_address,
            };
            control_session.handle_frame(now, hint);
        }
    }
    verify_that!(later_addresses.len(), ge(3))?;
    verify_that!(later_addresses.contains(&first_address), eq(false))
}

/// Returns how long after the first dial a controller is dialed again that was powered off at that time, and that the
/// other controllers name as the leader.
fn leader_dialed_again_after(rules: Rules) -> Duration {
    let mut control_session = control_session().with_rules(rules);
    let first_address = dialed(&control_session.tick(START)).expect("dialed");
    let mut now = START;
    while now < START + ms(3000) {
        now = now + ms(10);
        match dialed(&control_session.tick(now)) {
            Some(dialed_address) if dialed_address == first_address => break,
            Some(_) => {
                control_session.handle_connected(now);
                control_session.handle_frame(
                    now,
                    LeaderToDaemon::Redirect {
                        leader: first_address,
                    },
                );
            }
            None => {}
        }
    }
    now.since(START)
}

#[gtest]
fn a_leader_that_was_unreachable_before_its_start_is_dialed_once_others_name_it() -> Result<()> {
    verify_that!(leader_dialed_again_after(Rules::ALL_ENFORCED), le(ms(650)))?;
    let without = Rules::without(Rule::HintedLeaderDialed);
    verify_that!(leader_dialed_again_after(without), ge(ms(1700)))
}

#[gtest]
fn a_hinted_leader_is_dialed_at_once_and_circular_hints_are_delayed() -> Result<()> {
    let mut control_session = control_session();
    control_session.tick(START);
    control_session.handle_connected(START);
    control_session.handle_frame(START, LeaderToDaemon::Redirect { leader: address(3) });
    verify_that!(dialed(&control_session.tick(START)), some(eq(address(3))))?;
    control_session.handle_connected(START);
    control_session.handle_frame(
        START + ms(2),
        LeaderToDaemon::Redirect { leader: address(2) },
    );
    verify_that!(dialed(&control_session.tick(START + ms(2))), none())?;
    let mut paused = self::control_session();
    paused.tick(START);
    paused.handle_connected(START);
    paused.handle_frame(
        START,
        LeaderToDaemon::Redirect {
            leader: SocketAddress::UNSPECIFIED,
        },
    );
    verify_that!(dialed(&paused.tick(START + ms(29))), none())?;
    verify_that!(dialed(&paused.tick(START + ms(61))), some(anything()))
}

/// A leader that has been succeeded might grant leases that its successor has granted to other daemons.
#[gtest]
fn a_leader_of_an_earlier_term_is_refused() -> Result<()> {
    let mut control_session = control_session();
    welcomed(&mut control_session);
    control_session.handle_disconnected(START + ms(300));
    let later_instant = START + ms(600);
    control_session.tick(later_instant);
    control_session.handle_connected(later_instant);
    let outputs =
        control_session.handle_frame(later_instant, LeaderToDaemon::Welcome { term: Term(1) });
    verify_that!(
        outputs
            .iter()
            .any(|output| matches!(output, ControlSessionOutput::Hangup)),
        eq(true)
    )?;
    verify_that!(control_session.is_welcomed(), eq(false))
}

#[gtest]
fn hello_carries_the_incarnations_age_and_whether_it_ever_held_a_lease() -> Result<()> {
    let hello_fields = |outputs: &[ControlSessionOutput]| match outputs.first() {
        Some(ControlSessionOutput::SendFrame(DaemonToLeader::Hello {
            age_ms, granted, ..
        })) => (*age_ms, granted.0),
        other => panic!("no hello: {other:?}"),
    };
    let mut control_session = control_session();
    control_session.tick(START);
    verify_that!(
        hello_fields(&control_session.handle_connected(START + ms(40))),
        eq((40, false))
    )?;
    control_session.handle_frame(START + ms(41), LeaderToDaemon::Welcome { term: Term(2) });
    let correlation = renewal(&control_session.tick(START + ms(41))).expect("a renewal");
    control_session.handle_frame(START + ms(45), renewed(correlation, 0));
    control_session.handle_disconnected(START + ms(300));
    control_session.tick(START + ms(600));
    verify_that!(
        hello_fields(&control_session.handle_connected(START + ms(601))),
        eq((601, true))
    )
}

#[gtest]
fn after_a_seed_update_only_the_new_seeds_are_dialed() -> Result<()> {
    let mut control_session = control_session();
    control_session.set_seeds(vec![address(21), address(22)]);
    let mut now = START;
    let mut dialed_addresses = std::collections::BTreeSet::new();
    for _ in 0..400 {
        if let Some(dialed_address) = dialed(&control_session.tick(now)) {
            dialed_addresses.insert(dialed_address);
            control_session.handle_disconnected(now);
        }
        now = now + ms(20);
    }
    verify_that!(
        dialed_addresses.into_iter().collect::<Vec<_>>(),
        elements_are![eq(&address(21)), eq(&address(22))]
    )
}

#[gtest]
fn a_leader_whose_frame_is_arriving_is_not_silent() -> Result<()> {
    let mut control_session = control_session();
    welcomed(&mut control_session);
    let is_abandoned = |control_session: &mut ControlSession, at: MonotonicTime| {
        control_session
            .tick(at)
            .iter()
            .any(|output| matches!(output, ControlSessionOutput::Hangup))
    };
    let mut now = START;
    for _ in 0..10 {
        now = now + ms(500);
        verify_that!(is_abandoned(&mut control_session, now), eq(false))?;
        control_session.handle_frame_part(now);
    }
    verify_that!(control_session.lease_end() <= START, eq(true))?;
    verify_that!(is_abandoned(&mut control_session, now + ms(600)), eq(true))
}
