//! Membership changes: any two majorities that can commit during a change share a voter.

use common::clock::MonotonicTime;
use common::frames::{ConsensusFrame, SocketAddress};
use common::identity::{ChangeId, ControllerId, DocumentVersion, Ticket, Zone};
use common::rng::SeededRng;
use common::rules::{Rule, Rules};
use common::spec::Document;
use controlplane::consensus::{
    ConsensusNode, ConsensusOutput, ConsensusTiming, ControllerAddress, MembershipError,
    PersistedState, WriteJob, WriteResult,
};
use googletest::prelude::*;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

struct Cluster {
    now: MonotonicTime,
    nodes: Vec<ConsensusNode>,
    partitions: BTreeSet<(usize, usize)>,
    stopped: BTreeSet<usize>,
    committed: Vec<(usize, Document)>,
    membership_changes: Vec<bool>,
}

fn address(number: usize) -> SocketAddress {
    SocketAddress(
        format!("10.0.0.{}:1", number + 1)
            .parse()
            .expect("an address"),
    )
}

fn new_node(
    id: u64,
    number: usize,
    zone: usize,
    now: MonotonicTime,
    rules: Rules,
) -> ConsensusNode {
    let persisted = PersistedState {
        id: ControllerId(id),
        voted_for: None,
        accepted: None,
        unreadable_version: DocumentVersion::default(),
    };
    let timing = ConsensusTiming::builder()
        .unreachable_voter_timeout(Duration::from_secs(3))
        .build();
    let controller_address = ControllerAddress {
        address: address(number),
        operator_address: address(number),
    };
    let seeds = (0..3).map(address).collect();
    let zone = Zone::from(format!("l{zone}"));
    ConsensusNode::new(
        now,
        timing,
        persisted,
        controller_address,
        zone,
        seeds,
        SeededRng::seeded(number as u64),
    )
    .with_rules(rules)
}

impl Cluster {
    /// Three seeds, and a fourth controller in the third one's zone.
    fn new() -> Self {
        Self::with_rules(Rules::ALL_ENFORCED)
    }

    fn with_rules(rules: Rules) -> Self {
        let now = MonotonicTime(1_000_000_000);
        let nodes = (0..4)
            .map(|number| new_node(number as u64 + 1, number, number.min(2), now, rules))
            .collect();
        Self {
            now,
            nodes,
            partitions: BTreeSet::new(),
            stopped: BTreeSet::new(),
            committed: Vec::new(),
            membership_changes: Vec::new(),
        }
    }

    fn partition(&mut self, left_side: &[usize], right_side: &[usize]) {
        for left_number in left_side {
            for right_number in right_side {
                self.partitions.insert((*left_number, *right_number));
                self.partitions.insert((*right_number, *left_number));
            }
        }
    }

    fn execute_outputs(&mut self, from: usize, outputs: Vec<ConsensusOutput>) {
        let mut pending: VecDeque<(usize, ConsensusOutput)> =
            outputs.into_iter().map(|output| (from, output)).collect();
        while let Some((number, output)) = pending.pop_front() {
            let next = match output {
                ConsensusOutput::Send { to, frame } => self.deliver(number, to, frame),
                ConsensusOutput::Write { ticket, job } => {
                    self.handle_write_completed(number, ticket, &job)
                }
                ConsensusOutput::Committed(document) => {
                    self.committed.push((number, document));
                    Vec::new()
                }
                ConsensusOutput::MembershipChange { settled, .. } => {
                    self.membership_changes.push(settled);
                    Vec::new()
                }
                _ => Vec::new(),
            };
            pending.extend(next);
        }
    }

    fn deliver(
        &mut self,
        from: usize,
        to: SocketAddress,
        frame: ConsensusFrame,
    ) -> Vec<(usize, ConsensusOutput)> {
        let Some(number) = (0..4).find(|number| address(*number) == to) else {
            return Vec::new();
        };
        if self.partitions.contains(&(from, number)) || self.stopped.contains(&number) {
            return Vec::new();
        }
        let outputs = self.nodes[number].handle_frame(self.now, frame);
        outputs.into_iter().map(|output| (number, output)).collect()
    }

    fn handle_write_completed(
        &mut self,
        number: usize,
        ticket: Ticket,
        _job: &WriteJob,
    ) -> Vec<(usize, ConsensusOutput)> {
        let outputs =
            self.nodes[number].handle_write_completed(self.now, ticket, WriteResult::Synced);
        outputs.into_iter().map(|output| (number, output)).collect()
    }

    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(20);
        for number in 0..4 {
            if !self.stopped.contains(&number) {
                let outputs = self.nodes[number].tick(self.now);
                self.execute_outputs(number, outputs);
            }
        }
    }

    fn advance_time(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.step();
        }
    }

    fn leader(&self) -> Option<usize> {
        (0..4).find(|number| !self.stopped.contains(number) && self.nodes[*number].is_ready())
    }

    fn bootstrap(&mut self) {
        self.stopped.insert(3);
        self.advance_time(Duration::from_secs(2));
        let outputs = self.nodes[0].bootstrap(self.now).expect("bootstrapped");
        self.execute_outputs(0, outputs);
        self.advance_time(Duration::from_secs(3));
    }

    fn voter_ids(&self, number: usize) -> Vec<u64> {
        let document = self.nodes[number].accepted().expect("a document");
        let mut ids: Vec<u64> = document.voters.iter().map(|voter| voter.id.0).collect();
        ids.sort_unstable();
        ids
    }
}

#[gtest]
fn the_first_leader_has_a_later_term_than_the_bootstrap_version() -> Result<()> {
    let mut cluster = Cluster::new();
    cluster.bootstrap();
    let leader = cluster.leader().expect("a leader");
    verify_that!(cluster.nodes[leader].term().0, ge(2))
}

#[gtest]
fn an_unreachable_voter_is_replaced_from_its_zone_and_the_next_loss_is_tolerated() -> Result<()> {
    let mut cluster = Cluster::new();
    cluster.bootstrap();
    cluster.stopped = BTreeSet::from([2]);
    cluster.advance_time(Duration::from_secs(8));
    let leader = cluster.leader().expect("a leader");
    verify_that!(cluster.voter_ids(leader), eq(&vec![1, 2, 4]))?;
    verify_that!(cluster.membership_changes.last(), some(eq(&true)))?;
    cluster.stopped.insert(leader);
    cluster.advance_time(Duration::from_secs(3));
    let next_leader = cluster.leader().expect("another leader");
    verify_that!(next_leader, not(eq(leader)))
}

/// Partitions the cluster as the leader starts a replacement: the leader and the candidate on one side, the
/// two other voters on the other. Returns the cluster four seconds later, the leader, and the voter on the
/// other side that was reachable before.
fn partition_during_replacement(rules: Rules) -> (Cluster, usize, usize) {
    let mut cluster = Cluster::with_rules(rules);
    cluster.bootstrap();
    let leader = cluster.leader().expect("a leader");
    let other = (0..2)
        .find(|number| *number != leader)
        .expect("another voter");
    cluster.partition(&[2], &[0, 1, 3]);
    cluster.stopped.clear();
    cluster.committed.clear();
    while cluster.membership_changes.is_empty() && cluster.partitions.len() < 10 {
        cluster.now = cluster.now + Duration::from_millis(20);
        for number in 0..4 {
            let outputs = cluster.nodes[number].tick(cluster.now);
            let begins_change = outputs
                .iter()
                .any(|output| matches!(output, ConsensusOutput::MembershipChange { .. }));
            if begins_change {
                cluster.partitions.clear();
                cluster.partition(&[leader, 3], &[other, 2]);
            }
            cluster.execute_outputs(number, outputs);
        }
    }
    cluster.advance_time(Duration::from_secs(4));
    (cluster, leader, other)
}

fn committed_on_leaders_side(cluster: &Cluster, leader: usize) -> usize {
    cluster
        .committed
        .iter()
        .filter(|(number, _)| *number == leader || *number == 3)
        .count()
}

#[gtest]
fn a_replacement_is_not_committed_without_a_majority_of_the_old_voters() -> Result<()> {
    let (mut cluster, leader, other) = partition_during_replacement(Rules::ALL_ENFORCED);
    verify_that!(committed_on_leaders_side(&cluster, leader), eq(0))?;
    let next_leader = cluster.leader().expect("a leader on the other side");
    verify_that!(next_leader == other || next_leader == 2, eq(true))?;
    verify_that!(cluster.voter_ids(next_leader), eq(&vec![1, 2, 3]))?;
    cluster.partitions.clear();
    cluster.advance_time(Duration::from_secs(3));
    let document_versions: BTreeSet<DocumentVersion> = (0..4)
        .map(|number| {
            cluster.nodes[number]
                .accepted()
                .expect("a document")
                .document_version
        })
        .collect();
    verify_that!(document_versions.len(), eq(1))
}

#[gtest]
fn a_replacement_in_one_step_commits_on_both_sides_of_a_partition() -> Result<()> {
    let (cluster, leader, other) =
        partition_during_replacement(Rules::without(Rule::VoterReplacedInTwoSteps));
    verify_that!(committed_on_leaders_side(&cluster, leader), ge(1))?;
    let other_side = |number: usize| number == other || number == 2;
    let nodes_there = (0..4).filter(|number| other_side(*number));
    verify_that!(
        nodes_there
            .filter(|number| cluster.nodes[*number].is_ready())
            .count(),
        ge(1)
    )
}

#[gtest]
fn an_operators_replacement_that_breaks_the_majority_is_rejected() -> Result<()> {
    let mut cluster = Cluster::new();
    cluster.bootstrap();
    cluster.stopped.clear();
    cluster.advance_time(Duration::from_secs(2));
    let leader = cluster.leader().expect("a leader");
    let other_voters: Vec<usize> = (0..3).filter(|number| *number != leader).collect();
    let id = |number: usize| ControllerId(number as u64 + 1);
    let unknown_voter = cluster.nodes[leader].replace_voter(cluster.now, ControllerId(99), id(3));
    verify_that!(unknown_voter.err(), some(eq(MembershipError::NoSuchMember)))?;
    let unknown_candidate =
        cluster.nodes[leader].replace_voter(cluster.now, id(other_voters[0]), ControllerId(99));
    verify_that!(
        unknown_candidate.err(),
        some(eq(MembershipError::NoSuchCandidate))
    )?;
    cluster.stopped.insert(other_voters[0]);
    cluster.advance_time(Duration::from_millis(2500));
    cluster.partition(&[other_voters[1]], &[leader]);
    cluster.now = cluster.now + Duration::from_millis(2200);
    let majority_breaking =
        cluster.nodes[leader].replace_voter(cluster.now, id(other_voters[1]), id(3));
    verify_that!(
        majority_breaking.err(),
        some(any![
            eq(MembershipError::NoMajority),
            eq(MembershipError::NoSuchCandidate),
            eq(MembershipError::Busy)
        ])
    )
}

/// Returns the first controller, restarted with this document on its disk.
fn restarted_first_voter(
    accepted: Option<Document>,
    timing: ConsensusTiming,
    now: MonotonicTime,
) -> ConsensusNode {
    let persisted = PersistedState {
        id: ControllerId(1),
        voted_for: None,
        accepted,
        unreadable_version: DocumentVersion::default(),
    };
    let controller_address = ControllerAddress {
        address: address(0),
        operator_address: address(0),
    };
    ConsensusNode::new(
        now,
        timing,
        persisted,
        controller_address,
        Zone::from("l0"),
        (0..3).map(address).collect(),
        SeededRng::seeded(9),
    )
}

#[gtest]
fn a_single_recovered_voter_leads_and_grows_to_three_again() -> Result<()> {
    let mut cluster = Cluster::new();
    cluster.bootstrap();
    let accepted_document = cluster.nodes[0].accepted().expect("a document").clone();
    let changed = accepted_document.with_zone("l0".into(), true, ChangeId::from("x"));
    let recovered_document =
        controlplane::consensus::single_voter_document(&changed, ControllerId(1)).expect("a voter");
    verify_that!(
        controlplane::consensus::single_voter_document(&changed, ControllerId(77)).is_none(),
        eq(true)
    )?;
    let timing = ConsensusTiming::builder()
        .unreachable_voter_timeout(Duration::from_secs(3))
        .build();
    cluster.nodes[0] = restarted_first_voter(Some(recovered_document), timing, cluster.now);
    for number in 1..3 {
        cluster.nodes[number] = new_node(
            number as u64 + 11,
            number,
            number,
            cluster.now,
            Rules::ALL_ENFORCED,
        );
    }
    cluster.stopped = BTreeSet::from([1, 2, 3]);
    cluster.advance_time(Duration::from_secs(2));
    verify_that!(cluster.leader(), some(eq(0)))?;
    verify_that!(cluster.voter_ids(0), eq(&vec![1]))?;
    cluster.stopped = BTreeSet::from([3]);
    cluster.advance_time(Duration::from_secs(4));
    verify_that!(cluster.voter_ids(0), eq(&vec![1, 12, 13]))
}

#[gtest]
fn a_restarted_voter_without_a_leader_starts_a_pre_vote_early() -> Result<()> {
    let mut cluster = Cluster::new();
    cluster.bootstrap();
    let last_committed = cluster
        .committed
        .last()
        .map(|(_, document)| document.clone());
    let timing = ConsensusTiming::builder().build();
    let mut restarted = restarted_first_voter(last_committed, timing.clone(), cluster.now);
    let mut requested_after = Duration::ZERO;
    while requested_after < timing.election_timeout_max {
        requested_after += Duration::from_millis(10);
        let outputs = restarted.tick(cluster.now + requested_after);
        let requests_vote = outputs.iter().any(|output| {
            matches!(output, ConsensusOutput::Send { frame, .. }
                if matches!(frame.body, common::frames::ConsensusMessage::VoteRequest { .. }))
        });
        if requests_vote {
            break;
        }
    }
    verify_that!(
        requested_after,
        le(timing.startup_timeout_max + Duration::from_millis(10))
    )
}
