//! The conditions under which a single controller may send a frame or report a leader: when frames arrive
//! late, when writes fail, and after the process was suspended.

#[path = "../../../testing/support/consensus_peers.rs"]
mod consensus_peers;

use common::clock::MonotonicTime;
use common::frames::{ConsensusMessage, Flag, LengthPrefixed, compress};
use common::identity::{DocumentVersion, Term, Ticket, Version};
use common::invariants::{self, Invariant};
use common::rules::{Rule, Rules};
use common::spec::Document;
use consensus_peers::{START, address, agreeing_response, consensus_node, frame, three_voters};
use controlplane::consensus::{ConsensusNode, ConsensusOutput, WriteResult};
use googletest::prelude::*;
use std::time::Duration;

/// Returns controller 1 of a quorum with 2 and 3, with the bootstrap version on its disk.
fn voter(rules: Rules) -> ConsensusNode {
    consensus_node(1, Document::initial(three_voters()), rules)
}

fn heartbeat(term: u64, number: u64) -> ConsensusMessage {
    ConsensusMessage::Heartbeat {
        term: Term(term),
        round: number,
        accepted: DocumentVersion::default(),
        committed: DocumentVersion::default(),
        members: LengthPrefixed(Vec::new()),
        complete: Flag(false),
    }
}

fn vote_request(term: u64, accepted: DocumentVersion) -> ConsensusMessage {
    ConsensusMessage::VoteRequest {
        term: Term(term),
        accepted,
        is_pre_vote: Flag(false),
    }
}

fn sent(outputs: &[ConsensusOutput]) -> Vec<&ConsensusMessage> {
    outputs
        .iter()
        .filter_map(|output| match output {
            ConsensusOutput::Send { frame, .. } => Some(&frame.body),
            _ => None,
        })
        .collect()
}

fn write_ticket(outputs: &[ConsensusOutput]) -> Option<Ticket> {
    outputs.iter().find_map(|output| match output {
        ConsensusOutput::Write { ticket, .. } => Some(*ticket),
        _ => None,
    })
}

fn heartbeat_responses(outputs: &[ConsensusOutput]) -> Vec<(u64, u64)> {
    sent(outputs)
        .into_iter()
        .filter_map(|body| match body {
            ConsensusMessage::HeartbeatResponse { term, round, .. } => Some((term.0, *round)),
            _ => None,
        })
        .collect()
}

fn votes_granted(outputs: &[ConsensusOutput]) -> usize {
    let grants_vote = |body: &&ConsensusMessage| matches!(body, ConsensusMessage::VoteResponse { granted, .. } if granted.0);
    sent(outputs).into_iter().filter(grants_vote).count()
}

/// Returns the responses, as term and round, of a voter in term 3 to a late heartbeat of round 5 of term 2.
/// The leader of term 3 may also have a round 5 and must not count this response for it.
fn responses_to_late_heartbeat(rules: Rules) -> Vec<(u64, u64)> {
    let mut voter = voter(rules);
    voter.handle_frame(START, frame(2, heartbeat(3, 1)));
    heartbeat_responses(&voter.handle_frame(START, frame(2, heartbeat(2, 5))))
}

#[gtest]
fn a_heartbeat_of_an_earlier_term_is_answered_without_a_round_number() -> Result<()> {
    verify_that!(
        responses_to_late_heartbeat(Rules::ALL_ENFORCED),
        eq(&vec![(3, 0)])
    )?;
    verify_that!(
        responses_to_late_heartbeat(Rules::without(Rule::HeartbeatResponseInItsTerm)),
        eq(&vec![(3, 5)])
    )
}

/// Returns the number of votes granted before and after the first one is on disk.
fn votes_around_write(rules: Rules) -> (usize, usize) {
    let mut voter = voter(rules);
    let accepted = voter.accepted().expect("a version").document_version;
    let later = START + Duration::from_secs(5);
    let request = voter.handle_frame(later, frame(2, vote_request(2, accepted)));
    let ticket = write_ticket(&request);
    let write_completed =
        voter.handle_write_completed(later, ticket.unwrap_or(Ticket(0)), WriteResult::Synced);
    (votes_granted(&request), votes_granted(&write_completed))
}

#[gtest]
fn a_vote_is_granted_only_when_it_is_on_disk() -> Result<()> {
    verify_that!(votes_around_write(Rules::ALL_ENFORCED), eq((0, 1)))?;
    verify_that!(
        votes_around_write(Rules::without(Rule::VotePersistedFirst)).0,
        eq(1)
    )
}

#[gtest]
fn a_vote_whose_write_failed_is_not_granted() -> Result<()> {
    let mut voter = voter(Rules::ALL_ENFORCED);
    let accepted = voter.accepted().expect("a version").document_version;
    let later = START + Duration::from_secs(5);
    let request = voter.handle_frame(later, frame(2, vote_request(2, accepted)));
    let ticket = write_ticket(&request);
    let failed = voter.handle_write_completed(later, ticket.expect("a write"), WriteResult::Failed);
    verify_that!(votes_granted(&failed), eq(0))
}

#[gtest]
fn a_stale_leader_is_forgotten_after_a_pause() -> Result<()> {
    let mut voter = voter(Rules::ALL_ENFORCED);
    voter.handle_frame(START, frame(2, heartbeat(2, 1)));
    verify_that!(voter.leader().is_some(), eq(true))?;
    voter.expire_leadership(START + Duration::from_millis(100));
    verify_that!(voter.leader().is_some(), eq(true))?;
    voter.expire_leadership(START + Duration::from_secs(20));
    verify_that!(voter.leader().is_none(), eq(true))?;
    let mut voter_without_rule = self::voter(Rules::without(Rule::LeaderHintIsRecent));
    voter_without_rule.handle_frame(START, frame(2, heartbeat(2, 1)));
    voter_without_rule.expire_leadership(START + Duration::from_secs(20));
    verify_that!(voter_without_rule.leader().is_some(), eq(true))
}

/// Returns controller 1 as leader, elected by 2 and with its first version committed, and the time.
fn leader() -> (ConsensusNode, MonotonicTime) {
    let mut voter = voter(Rules::ALL_ENFORCED);
    let now = START + Duration::from_secs(5);
    let mut pending = voter.tick(now);
    while !voter.is_ready() {
        let mut next = Vec::new();
        for output in std::mem::take(&mut pending) {
            match output {
                ConsensusOutput::Send { to, frame: request } if to == address(2) => {
                    let response = agreeing_response(&request.body)
                        .or_else(|| heartbeat_response(&request.body));
                    if let Some(body) = response {
                        next.extend(voter.handle_frame(now, frame(2, body)));
                    }
                }
                ConsensusOutput::Write { ticket, .. } => {
                    next.extend(voter.handle_write_completed(now, ticket, WriteResult::Synced));
                }
                _ => {}
            }
        }
        assert!(
            !next.is_empty(),
            "no outputs left before the leader is ready"
        );
        pending = next;
    }
    (voter, now)
}

/// Returns the response of a voter that follows the sender of the heartbeat.
fn heartbeat_response(request: &ConsensusMessage) -> Option<ConsensusMessage> {
    let ConsensusMessage::Heartbeat {
        term,
        round,
        accepted,
        ..
    } = request
    else {
        return None;
    };
    Some(ConsensusMessage::HeartbeatResponse {
        term: *term,
        round: *round,
        accepted: *accepted,
    })
}

#[gtest]
fn a_paused_leader_steps_down_before_it_sends_anything() -> Result<()> {
    let (mut leader, now) = leader();
    leader.expire_leadership(now + Duration::from_millis(100));
    verify_that!(leader.is_ready(), eq(true))?;
    let outputs = leader.expire_leadership(now + Duration::from_secs(20));
    verify_that!(leader.is_leader(), eq(false))?;
    verify_that!(
        outputs
            .iter()
            .any(|output| matches!(output, ConsensusOutput::SteppedDown)),
        eq(true)
    )
}

#[gtest]
fn a_response_without_a_round_number_confirms_no_round() -> Result<()> {
    let (mut leader, now) = leader();
    let confirmed_before = leader.quorum_confirmed_at();
    let later = now + Duration::from_millis(300);
    leader.tick(later);
    let term = leader.term();
    let accepted = leader.committed();
    let late_response = ConsensusMessage::HeartbeatResponse {
        term,
        round: 0,
        accepted,
    };
    leader.handle_frame(later, frame(2, late_response.clone()));
    leader.handle_frame(later, frame(3, late_response));
    verify_that!(leader.quorum_confirmed_at(), eq(confirmed_before))
}

/// A voter has committed version 7 of term 2 on its disk, and a leader of term 3 that lacks it sends
/// version 6. The voter writes version 6, because its term is later. Guards against a loss of a committed
/// version that no invariant reports.
#[gtest]
fn a_committed_version_replaced_by_one_with_a_lower_number_is_a_violation() -> Result<()> {
    invariants::collect_on_this_thread();
    let mut voter = voter(Rules::ALL_ENFORCED);
    let founding = voter.accepted().expect("a version").clone();
    let mut violations_after = |term: u64, version: u64| {
        let mut document = founding.clone();
        document.document_version = DocumentVersion {
            term: Term(term),
            version: Version(version),
        };
        let body = ConsensusMessage::AcceptFull {
            term: Term(term),
            document_version: document.document_version,
            document: compress(&document.to_bytes()),
        };
        let request = voter.handle_frame(START, frame(term, body));
        let ticket = write_ticket(&request);
        voter.handle_write_completed(START, ticket.unwrap_or(Ticket(0)), WriteResult::Synced);
        let commit_notice = ConsensusMessage::Heartbeat {
            term: Term(term),
            round: 1,
            accepted: document.document_version,
            committed: document.document_version,
            members: LengthPrefixed(Vec::new()),
            complete: Flag(false),
        };
        voter.handle_frame(START, frame(term, commit_notice));
        invariants::take_collected()
            .into_iter()
            .map(|violation| violation.invariant)
            .collect::<Vec<_>>()
    };
    verify_that!(violations_after(2, 7), is_empty())?;
    verify_that!(
        violations_after(3, 6),
        elements_are![eq(&Invariant::CommitNeverLost)]
    )
}

/// Whether a voter still knows its leader this long after the leader's last frame, if a write has failed
/// meanwhile. The failed write postpones the election deadline, which alone must not decide this.
fn knows_leader_after_a_failed_write(silence: Duration) -> bool {
    let mut voter = voter(Rules::ALL_ENFORCED);
    let accepted = voter.accepted().expect("a version").document_version;
    let later = START + Duration::from_secs(5);
    let request = voter.handle_frame(later, frame(2, vote_request(2, accepted)));
    let ticket = write_ticket(&request);
    voter.handle_frame(later, frame(2, heartbeat(2, 1)));
    voter.handle_write_completed(later, ticket.expect("a write"), WriteResult::Failed);
    voter.expire_leadership(later + silence);
    voter.leader().is_some()
}

#[gtest]
fn a_stale_leader_is_forgotten_after_a_failed_write() -> Result<()> {
    verify_that!(
        knows_leader_after_a_failed_write(Duration::from_millis(100)),
        eq(true)
    )?;
    verify_that!(
        knows_leader_after_a_failed_write(Duration::from_millis(950)),
        eq(false)
    )
}
