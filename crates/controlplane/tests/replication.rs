//! Replication of versions: as deltas to peers that have the base, in full to those that lack it.

#[path = "../../../testing/support/consensus_peers.rs"]
mod consensus_peers;

use common::clock::MonotonicTime;
use common::frames::{ConsensusMessage, encode};
use common::identity::{ChangeId, DocumentVersion, Term, Ticket};
use common::rules::{Rule, Rules};
use common::spec::{Document, read_spec};
use consensus_peers::{START, address, agreeing_response, consensus_node, frame, three_voters};
use controlplane::consensus::{ConsensusNode, ConsensusOutput, WriteJob, WriteResult};
use googletest::prelude::*;
use serde_json::json;
use std::time::Duration;

const LEADER: u64 = 1;
const FOLLOWER: u64 = 2;

/// A document with three voters and this many functions.
fn bootstrapped_document(function_count: u64) -> Document {
    let mut spec = json!({"functions": {}, "routes": {}});
    for number in 0..function_count {
        spec["functions"][format!("f{number}")] =
            json!({"memory_mb": 100, "boot_ms": 10, "slots": 2, "connections": 1 + number});
    }
    let checked_spec = read_spec(&spec).expect("a valid spec");
    Document::initial(three_voters()).with_spec(spec, &checked_spec, ChangeId::from("first"))
}

fn sent_to(number: u64, outputs: &[ConsensusOutput]) -> Vec<ConsensusMessage> {
    outputs
        .iter()
        .filter_map(|output| match output {
            ConsensusOutput::Send { to, frame } if *to == address(number) => {
                Some(frame.body.clone())
            }
            _ => None,
        })
        .collect()
}

fn versions_sent(number: u64, outputs: &[ConsensusOutput]) -> Vec<ConsensusMessage> {
    let is_version = |body: &ConsensusMessage| {
        matches!(
            body,
            ConsensusMessage::AcceptFull { .. } | ConsensusMessage::AcceptDelta { .. }
        )
    };
    sent_to(number, outputs)
        .into_iter()
        .filter(is_version)
        .collect()
}

fn writes(outputs: &[ConsensusOutput]) -> Vec<(Ticket, WriteJob)> {
    outputs
        .iter()
        .filter_map(|output| match output {
            ConsensusOutput::Write { ticket, job } => Some((*ticket, job.clone())),
            _ => None,
        })
        .collect()
}

/// Runs a leader with an instant disk and a follower that agrees to everything until there are no more
/// outputs. Returns all outputs.
fn run_until_settled(
    leader: &mut ConsensusNode,
    now: MonotonicTime,
    mut pending: Vec<ConsensusOutput>,
) -> Vec<ConsensusOutput> {
    let mut all_outputs = Vec::new();
    while !pending.is_empty() {
        let mut next = Vec::new();
        for output in &pending {
            match output {
                ConsensusOutput::Send { to, frame: request } if *to == address(FOLLOWER) => {
                    if let Some(body) = agreeing_response(&request.body) {
                        next.extend(leader.handle_frame(now, frame(FOLLOWER, body)));
                    }
                }
                ConsensusOutput::Write { ticket, .. } => {
                    next.extend(leader.handle_write_completed(now, *ticket, WriteResult::Synced));
                }
                _ => {}
            }
        }
        all_outputs.extend(pending);
        pending = next;
    }
    all_outputs
}

fn leader(document: Document) -> (ConsensusNode, MonotonicTime) {
    let mut leader = consensus_node(LEADER, document, Rules::ALL_ENFORCED);
    let now = START + Duration::from_secs(5);
    let first = leader.tick(now);
    run_until_settled(&mut leader, now, first);
    assert!(leader.is_ready());
    (leader, now)
}

/// Proposes the next version on the leader and returns the outputs, none of which is carried out yet.
fn proposal_outputs(
    leader: &mut ConsensusNode,
    now: MonotonicTime,
    name: &str,
) -> Vec<ConsensusOutput> {
    let document = leader.accepted().expect("a version");
    let next = document.with_zone(
        "zone-9".into(),
        name.len().is_multiple_of(2),
        ChangeId::from(name),
    );
    leader.propose(now, next).expect("proposed")
}

fn accepted_document_version(consensus: &ConsensusNode) -> DocumentVersion {
    consensus.accepted().expect("a version").document_version
}

#[gtest]
fn a_version_is_sent_as_a_delta_to_peers_that_hold_its_base() -> Result<()> {
    let (mut leader, now) = leader(bootstrapped_document(1_000));
    let outputs = proposal_outputs(&mut leader, now, "b");
    let versions = versions_sent(FOLLOWER, &outputs);
    verify_that!(versions.len(), eq(1))?;
    verify_that!(
        matches!(versions[0], ConsensusMessage::AcceptDelta { .. }),
        eq(true)
    )?;
    let length = encode(&frame(LEADER, versions[0].clone()))?.len();
    println!("frame with a change as a delta: {length} bytes");
    verify_that!(length, lt(2_000))
}

/// Returns a follower that has the leader's version, the deltas to the next two versions as they are sent to
/// the follower, the time, and the leader.
fn follower_and_two_deltas(
    rules: Rules,
) -> (
    ConsensusNode,
    Vec<ConsensusMessage>,
    MonotonicTime,
    ConsensusNode,
) {
    let (mut leader, now) = leader(bootstrapped_document(20));
    let document = leader.accepted().expect("a version").clone();
    let follower = consensus_node(FOLLOWER, document, rules);
    let mut deltas = Vec::new();
    for name in ["bb", "c"] {
        let outputs = proposal_outputs(&mut leader, now, name);
        deltas.extend(versions_sent(FOLLOWER, &outputs));
        run_until_settled(&mut leader, now, outputs);
    }
    (follower, deltas, now, leader)
}

#[gtest]
fn a_delta_is_applied_to_a_version_that_is_still_being_written() -> Result<()> {
    let (mut follower, deltas, now, leader) = follower_and_two_deltas(Rules::ALL_ENFORCED);
    let mut pending = Vec::new();
    for delta in deltas {
        let outputs = follower.handle_frame(now, frame(LEADER, delta));
        verify_that!(
            sent_to(LEADER, &outputs)
                .iter()
                .any(|body| matches!(body, ConsensusMessage::Accepted { .. })),
            eq(false)
        )?;
        pending.extend(writes(&outputs));
    }
    verify_that!(pending.len(), eq(2))?;
    for (ticket, _) in pending {
        follower.handle_write_completed(now, ticket, WriteResult::Synced);
    }
    verify_that!(follower.accepted() == leader.accepted(), eq(true))
}

#[gtest]
fn a_follower_without_the_base_requests_a_snapshot_and_gets_it() -> Result<()> {
    let (mut follower, deltas, now, mut leader) = follower_and_two_deltas(Rules::ALL_ENFORCED);
    let before = accepted_document_version(&follower);
    let outputs = follower.handle_frame(now, frame(LEADER, deltas[1].clone()));
    verify_that!(writes(&outputs).is_empty(), eq(true))?;
    verify_that!(accepted_document_version(&follower), eq(before))?;
    let request = sent_to(LEADER, &outputs);
    verify_that!(
        matches!(
            request.as_slice(),
            [ConsensusMessage::SnapshotRequest { .. }]
        ),
        eq(true)
    )?;
    let responses = leader.handle_frame(now, frame(FOLLOWER, request[0].clone()));
    let versions = versions_sent(FOLLOWER, &responses);
    verify_that!(
        matches!(versions.as_slice(), [ConsensusMessage::AcceptFull { .. }]),
        eq(true)
    )?;
    let outputs = follower.handle_frame(now, frame(LEADER, versions[0].clone()));
    for (ticket, _) in writes(&outputs) {
        follower.handle_write_completed(now, ticket, WriteResult::Synced);
    }
    verify_that!(follower.accepted() == leader.accepted(), eq(true))
}

/// Returns the number of wrong documents that a follower writes after a delta whose base it lacks.
fn written_without_base(rules: Rules) -> usize {
    let (mut follower, deltas, now, leader) = follower_and_two_deltas(rules);
    let outputs = follower.handle_frame(now, frame(LEADER, deltas[1].clone()));
    let is_wrong = |job: &WriteJob| {
        matches!(job, WriteJob::Version(document)
            if document.document_version == accepted_document_version(&leader) && Some(document) != leader.accepted())
    };
    writes(&outputs)
        .iter()
        .filter(|(_, job)| is_wrong(job))
        .count()
}

#[gtest]
fn a_delta_is_never_applied_to_another_version() -> Result<()> {
    verify_that!(written_without_base(Rules::ALL_ENFORCED), eq(0))?;
    verify_that!(
        written_without_base(Rules::without(Rule::DeltaOnItsBase)),
        eq(1)
    )
}

#[gtest]
fn a_snapshot_requested_in_another_term_is_not_sent() -> Result<()> {
    let (mut leader, now) = leader(bootstrapped_document(5));
    let accepted = DocumentVersion::default();
    let earlier = ConsensusMessage::SnapshotRequest {
        term: Term(1),
        accepted,
    };
    verify_that!(
        leader
            .handle_frame(now, frame(FOLLOWER, earlier))
            .is_empty(),
        eq(true)
    )?;
    let later = ConsensusMessage::SnapshotRequest {
        term: Term(99),
        accepted,
    };
    let outputs = leader.handle_frame(now, frame(FOLLOWER, later));
    verify_that!(versions_sent(FOLLOWER, &outputs).is_empty(), eq(true))?;
    verify_that!(leader.is_leader(), eq(false))
}
