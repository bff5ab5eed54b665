//! Replies of a stopping controller: each operation is replied to, and none that is reported as not accepted is carried
//! out.

use super::cluster::{TestCluster, address};
use super::operations::numbered;
use common::frames::{DaemonToLeader, Flag, Host, LengthPrefixed, SocketAddress};
use common::identity::{ControllerId, CorrelationId, Incarnation, MemberName, Version, Zone};
use controlplane::controller_state::{
    ChangeRequest, ControllerInput, Operation, OperationReply, OperationTicket, Unavailable, Wait,
};
use googletest::prelude::*;

fn until_in_force(operation: Operation) -> Operation {
    match operation {
        Operation::Change(request) => Operation::Change(ChangeRequest {
            wait: Wait::InForce,
            ..request
        }),
        other => other,
    }
}

fn is_not_accepted(reply: Option<&OperationReply>) -> bool {
    matches!(
        reply,
        Some(OperationReply::NotAccepted {
            reason: Unavailable::Stopping,
            ..
        })
    )
}

fn is_unknown(reply: Option<&OperationReply>) -> bool {
    matches!(
        reply,
        Some(OperationReply::Unknown {
            reason: Unavailable::Stopping,
            ..
        })
    )
}

fn is_unavailable(reply: Option<&OperationReply>) -> bool {
    matches!(
        reply,
        Some(OperationReply::TemporarilyUnavailable(
            Unavailable::Stopping
        ))
    )
}

/// Guards against an operation that is pending at a leader when its process exits and is never replied to.
#[gtest]
fn each_operation_at_a_stopping_leader_is_replied_to() -> Result<()> {
    let mut cluster = TestCluster::bootstrapped(1);
    let leader = cluster.await_leader();
    let others: Vec<usize> = (0..3).filter(|number| *number != leader).collect();
    cluster.isolate(&[leader], &others);
    let proposed = cluster.submit(leader, numbered(5, 0));
    let repeated = cluster.submit(leader, numbered(5, 0));
    let queued = cluster.submit(leader, numbered(7, 5));
    let read = cluster.submit(leader, Operation::ReadSpec);
    verify_that!(cluster.replies.len(), eq(0))?;
    cluster.feed(leader, ControllerInput::Stop);
    verify_that!(is_unknown(cluster.replies.get(&proposed)), eq(true))?;
    verify_that!(is_unknown(cluster.replies.get(&repeated)), eq(true))?;
    verify_that!(is_not_accepted(cluster.replies.get(&queued)), eq(true))?;
    verify_that!(is_unavailable(cluster.replies.get(&read)), eq(true))
}

/// Guards against an operation that is waiting for a leader when its controller's process exits and is never replied
/// to.
#[gtest]
fn operations_waiting_for_a_leader_are_replied_to_when_the_controller_stops() -> Result<()> {
    let mut cluster = TestCluster::new(1, &[0, 1, 2]);
    cluster.start(0);
    let change = cluster.submit(0, numbered(5, 0));
    let read = cluster.submit(0, Operation::Members);
    verify_that!(cluster.replies.len(), eq(0))?;
    cluster.feed(0, ControllerInput::Stop);
    verify_that!(is_not_accepted(cluster.replies.get(&change)), eq(true))?;
    verify_that!(is_unavailable(cluster.replies.get(&read)), eq(true))
}

/// Returns the first frame of a daemon that has this version of the spec installed.
fn hello(version: u64) -> DaemonToLeader {
    DaemonToLeader::Hello {
        host: Host {
            member: MemberName::from("daemon-1"),
            incarnation: Incarnation(1),
            address: address(9),
            zone: Zone::from("l0"),
            eligible: Flag(true),
            link_mbps: 0,
        },
        ingress: SocketAddress::UNSPECIFIED,
        version: Version(version),
        age_ms: 60_000,
        granted: Flag(false),
    }
}

/// Guards against a committed change that is not reported as accepted because its version is not in force yet.
#[gtest]
fn a_committed_change_waiting_to_be_in_force_is_reported_as_accepted_at_shutdown() -> Result<()> {
    let mut cluster = TestCluster::bootstrapped(1);
    let leader = cluster.await_leader();
    cluster.stream(leader, 1, hello(0));
    cluster.stream(
        leader,
        1,
        DaemonToLeader::Claims {
            claims: LengthPrefixed(Vec::new()),
        },
    );
    cluster.advance(100);
    cluster.stream(
        leader,
        1,
        DaemonToLeader::Renew {
            correlation: CorrelationId(1),
            version: Version(1),
        },
    );
    cluster.advance(200);
    let ticket = cluster.submit(leader, until_in_force(numbered(5, 0)));
    cluster.advance(200);
    verify_that!(cluster.replies.contains_key(&ticket), eq(false))?;
    cluster.feed(leader, ControllerInput::Stop);
    verify_that!(
        matches!(
            cluster.replies.get(&ticket),
            Some(OperationReply::Accepted { .. })
        ),
        eq(true)
    )
}

/// Guards against an operation that a controller accepts although its process is about to exit.
#[gtest]
fn a_stopping_controller_handles_no_further_operation() -> Result<()> {
    let mut cluster = TestCluster::bootstrapped(1);
    let leader = cluster.await_leader();
    cluster.feed(leader, ControllerInput::Stop);
    let change = cluster.submit(leader, numbered(5, 0));
    let replaced = cluster.submit(leader, Operation::Replace(ControllerId(1), ControllerId(2)));
    let read = cluster.submit(leader, Operation::ShowQuorum);
    verify_that!(is_not_accepted(cluster.replies.get(&change)), eq(true))?;
    verify_that!(is_not_accepted(cluster.replies.get(&replaced)), eq(true))?;
    verify_that!(is_unavailable(cluster.replies.get(&read)), eq(true))
}

/// Guards against a change that a stopping leader reports as not accepted and another leader then commits.
#[gtest]
fn a_change_reported_as_not_accepted_by_a_stopping_leader_is_never_committed() -> Result<()> {
    let mut rejected_count = 0;
    for seed in 0..60 {
        let mut cluster = TestCluster::bootstrapped(seed);
        let leader = cluster.await_leader();
        let mut tickets: Vec<(OperationTicket, u64)> = Vec::new();
        for number in 1..=6 {
            tickets.push((cluster.submit(leader, numbered(number, number - 1)), number));
            let pause = cluster.rng.number() % 6;
            cluster.advance(pause);
        }
        cluster.feed(leader, ControllerInput::Stop);
        let rejected: Vec<u64> = tickets
            .iter()
            .filter(|(ticket, _)| is_not_accepted(cluster.replies.get(ticket)))
            .map(|(_, number)| *number)
            .collect();
        rejected_count += rejected.len();
        let unanswered = tickets
            .iter()
            .filter(|(ticket, _)| !cluster.replies.contains_key(ticket))
            .count();
        verify_that!(unanswered, eq(0))?;
        cluster.kill(leader);
        cluster.await_leader();
        cluster.advance(500);
        for document in &cluster.committed {
            verify_that!(rejected.contains(&document.number), eq(false))
                .with_failure_message(|| format!("seed {seed}, number {}", document.number))?;
        }
    }
    verify_that!(rejected_count, ge(20))
}
