//! The host lists pushed to daemons, and the suspected members in them.

use super::harness::{Harness, ms};
use super::samples::first_incarnation;
use common::frames::{DaemonToLeader, LeaderToDaemon, MemberIncarnation};
use googletest::prelude::*;

/// Returns the host lists sent in the last step: the stream, the number of the list and how many hosts it contains.
fn hosts_sent(harness: &Harness) -> Vec<(u64, u64, usize)> {
    let sent = harness.frames().filter_map(|(stream, frame)| match frame {
        LeaderToDaemon::Hosts { number, hosts, .. } => Some((stream, *number, hosts.0.len())),
        LeaderToDaemon::HostsDelta { number, put, .. } => Some((stream, *number, put.0.len())),
        _ => None,
    });
    sent.collect()
}

/// Returns the suspected members in the host list delta, if one was sent.
fn suspected_sent(harness: &Harness) -> Option<Vec<MemberIncarnation>> {
    harness.frames().find_map(|(_, frame)| match frame {
        LeaderToDaemon::HostsDelta { suspected, .. } => Some(suspected.0.clone()),
        _ => None,
    })
}

#[gtest]
fn a_new_stream_gets_the_full_host_list_and_the_others_a_delta() -> Result<()> {
    let mut harness = Harness::new(&[]);
    harness.join(1, "a", Vec::new());
    harness.advance(ms(200));
    harness.join(2, "b", Vec::new());
    harness.advance(ms(200));
    let sent = hosts_sent(&harness);
    verify_that!(
        sent,
        unordered_elements_are![eq(&(1, 2, 1)), eq(&(2, 2, 2))]
    )?;
    harness.send(1, DaemonToLeader::FullHostListRequest);
    harness.advance(ms(200));
    verify_that!(hosts_sent(&harness), elements_are![eq(&(1, 2, 2))])?;
    harness.advance(ms(200));
    verify_that!(hosts_sent(&harness), is_empty())
}

#[gtest]
fn a_daemon_is_suspected_only_when_failure_detectors_and_its_stream_agree() -> Result<()> {
    let mut harness = Harness::new(&[]);
    harness.join(1, "a", Vec::new());
    harness.join(2, "b", Vec::new());
    harness.advance(ms(200));
    let suspect = || first_incarnation("b");
    harness.suspect(1, suspect());
    harness.advance(ms(200));
    verify_that!(suspected_sent(&harness), none())?;
    harness.advance(ms(600));
    verify_that!(
        suspected_sent(&harness),
        some(elements_are![eq(&suspect())])
    )?;
    harness.clear_suspicion(1, suspect());
    harness.advance(ms(200));
    verify_that!(suspected_sent(&harness), some(is_empty()))?;
    let earlier_incarnation = MemberIncarnation {
        member: "b".into(),
        incarnation: 9.into(),
    };
    harness.suspect(1, earlier_incarnation);
    harness.advance(ms(2000));
    verify_that!(suspected_sent(&harness), none())
}
