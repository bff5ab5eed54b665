//! The leader's heartbeats and their confirmation by a majority.
//!
//! Heartbeats are sent in numbered rounds. Once a majority has answered a round, it is certain that no
//! other controller led a later term when the round was sent (Raft's read index, section 6.4 of
//! Ongaro's dissertation), and that this majority knows the daemons that the round reported.

use super::state::{Contact, ReportedMembership, Role};
use super::{ConsensusNode, ConsensusOutput};
use common::clock::MonotonicTime;
use common::frames::{ConsensusMessage, Flag, KnownMember, LengthPrefixed, SocketAddress};
use common::identity::{ControllerId, DocumentVersion, Term};
use common::rules::Rule;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// The number of heartbeat intervals between two rounds that also go to controllers that do not vote.
/// These must receive a heartbeat within the election timeout, or they forget the leader.
const NONVOTER_HEARTBEAT_INTERVALS: u32 = 2;

/// A round number that belongs to no round; the first round is 1.
const NO_ROUND: u64 = 0;

/// The maximal number of rounds kept that no majority has answered yet; the oldest is dropped first.
const MAX_OPEN_ROUNDS: usize = 64;

#[derive(Clone, Debug)]
struct HeartbeatRound {
    number: u64,
    sent_at: MonotonicTime,
    responders: BTreeSet<ControllerId>,
    /// The daemons that the round reported.
    members: BTreeSet<KnownMember>,
}

/// The heartbeat rounds of a leader in one term.
#[derive(Clone, Debug)]
pub(super) struct HeartbeatRounds {
    open_rounds: VecDeque<HeartbeatRound>,
    last_round_number: u64,
    next_heartbeat_at: MonotonicTime,
    last_started_at: MonotonicTime,
    elected_at: MonotonicTime,
    quorum_confirmed_at: MonotonicTime,
    confirmed_members: BTreeSet<KnownMember>,
}

impl HeartbeatRounds {
    /// Creates the state before the first round, which is due at once.
    pub(super) fn new(elected_at: MonotonicTime) -> Self {
        Self {
            open_rounds: VecDeque::new(),
            last_round_number: 0,
            next_heartbeat_at: elected_at,
            last_started_at: MonotonicTime::ZERO,
            elected_at,
            quorum_confirmed_at: MonotonicTime::ZERO,
            confirmed_members: BTreeSet::new(),
        }
    }

    /// Returns when the leader was elected.
    pub(super) fn elected_at(&self) -> MonotonicTime {
        self.elected_at
    }

    /// Returns when the next round is due.
    pub(super) fn next_heartbeat_at(&self) -> MonotonicTime {
        self.next_heartbeat_at
    }

    /// Makes the next round due as soon as this gap since the start of the last one has passed.
    pub(super) fn expedite(&mut self, min_gap: Duration) {
        self.next_heartbeat_at = self.next_heartbeat_at.min(self.last_started_at + min_gap);
    }

    /// Returns when the newest round answered by a majority was sent, or zero if there is none.
    pub(super) fn quorum_confirmed_at(&self) -> MonotonicTime {
        self.quorum_confirmed_at
    }

    /// Returns the daemons reported by the newest round answered by a majority.
    pub(super) fn confirmed_members(&self) -> &BTreeSet<KnownMember> {
        &self.confirmed_members
    }

    /// Starts a round and returns its number. The leader itself counts as having answered it.
    pub(super) fn start(
        &mut self,
        now: MonotonicTime,
        next_heartbeat_at: MonotonicTime,
        own_id: ControllerId,
        members: BTreeSet<KnownMember>,
    ) -> u64 {
        self.last_round_number += 1;
        self.last_started_at = now;
        self.next_heartbeat_at = next_heartbeat_at;
        self.open_rounds.push_back(HeartbeatRound {
            number: self.last_round_number,
            sent_at: now,
            responders: BTreeSet::from([own_id]),
            members,
        });
        if self.open_rounds.len() > MAX_OPEN_ROUNDS {
            self.open_rounds.pop_front();
        }
        self.last_round_number
    }

    /// Records a response to a round. Once a majority has answered a round, it is closed together with
    /// all earlier ones. A response to a closed round is ignored.
    pub(super) fn record_response(
        &mut self,
        round_number: u64,
        from: ControllerId,
        is_majority: impl Fn(&BTreeSet<ControllerId>) -> bool,
    ) {
        let Some(index) = self
            .open_rounds
            .iter()
            .position(|round| round.number == round_number)
        else {
            return;
        };
        self.open_rounds[index].responders.insert(from);
        if is_majority(&self.open_rounds[index].responders) {
            let confirmed_round = self.open_rounds.drain(..=index).next_back();
            if let Some(round) = confirmed_round {
                self.quorum_confirmed_at = self.quorum_confirmed_at.max(round.sent_at);
                self.confirmed_members = round.members;
            }
        }
    }
}

impl ConsensusNode {
    /// Brings the next heartbeat round forward because a caller is waiting for confirmation by a
    /// majority. The round starts now, or as soon as the minimal gap since the last one has passed.
    pub fn expedite_heartbeat(&mut self, now: MonotonicTime) -> Vec<ConsensusOutput> {
        if let Role::Leader(heartbeats) = &mut self.role {
            heartbeats.expedite(self.options.timing.min_heartbeat_gap);
            if now >= heartbeats.next_heartbeat_at() {
                self.send_due_heartbeats(now);
            }
        }
        self.take_outputs()
    }

    /// Answers a heartbeat. A heartbeat of an earlier term is answered with this node's term and without
    /// a round number: numbers start again in each term, so the response could otherwise be counted for
    /// a round of a later term.
    pub(super) fn send_heartbeat_response(&mut self, to: SocketAddress, term: Term, round: u64) {
        let is_current_term = term == self.hard_state.term
            || !self.options.enforces(Rule::HeartbeatResponseInItsTerm);
        let round = if is_current_term { round } else { NO_ROUND };
        let response = ConsensusMessage::HeartbeatResponse {
            term: self.hard_state.term,
            round,
            accepted: self.accepted_version(),
        };
        self.send(to, response);
    }

    /// Steps down when no majority has answered this leader within the longest election timeout.
    pub(super) fn step_down_if_quorum_lost(&mut self, now: MonotonicTime) {
        let Role::Leader(heartbeats) = &self.role else {
            return;
        };
        let last_confirmed_at = heartbeats
            .quorum_confirmed_at()
            .max(self.known_leader.last_received_at);
        if now.since(last_confirmed_at) > self.options.timing.election_timeout_max {
            self.step_down(now, self.hard_state.term);
        }
    }

    /// Starts the next heartbeat round if it is due. Steps down instead if this leader's disk is stalled
    /// or it has lost its majority.
    pub(super) fn send_due_heartbeats(&mut self, now: MonotonicTime) {
        if self.is_disk_stalled(now) {
            self.outputs.push(ConsensusOutput::DiskStalled);
            self.step_down(now, self.hard_state.term);
            return;
        }
        self.step_down_if_quorum_lost(now);
        if matches!(&self.role, Role::Leader(heartbeats) if now >= heartbeats.next_heartbeat_at()) {
            self.send_heartbeat_round(now);
        }
    }

    fn send_heartbeat_round(&mut self, now: MonotonicTime) {
        let reported = self.membership_to_report();
        let Role::Leader(heartbeats) = &mut self.role else {
            return;
        };
        let next_heartbeat_at = now + self.options.timing.heartbeat_interval;
        let own_id = self.local.id;
        let round = heartbeats.start(now, next_heartbeat_at, own_id, reported.members.clone());
        let voter_addresses = self.voter_addresses();
        let heartbeat = self.heartbeat(round, reported);
        for voter_address in &voter_addresses {
            self.send(*voter_address, heartbeat.clone());
        }
        if now >= self.timers.next_nonvoter_heartbeat_at {
            self.timers.next_nonvoter_heartbeat_at =
                now + self.options.timing.heartbeat_interval * NONVOTER_HEARTBEAT_INTERVALS;
            let heartbeat = self.heartbeat(round, ReportedMembership::default());
            for known_address in self.known_addresses().difference(&voter_addresses) {
                self.send(*known_address, heartbeat.clone());
            }
        }
        self.count_heartbeat_response(round, own_id);
    }

    /// Returns the daemons that heartbeats report: none if the document itself lists them.
    fn membership_to_report(&self) -> ReportedMembership {
        let is_listed_in_document = self
            .accepted()
            .is_some_and(|document| !document.membership.is_empty());
        if is_listed_in_document {
            ReportedMembership::default()
        } else {
            self.membership.clone()
        }
    }

    fn heartbeat(&self, round: u64, reported: ReportedMembership) -> ConsensusMessage {
        ConsensusMessage::Heartbeat {
            term: self.hard_state.term,
            round,
            accepted: self.accepted_version(),
            committed: self.committed,
            members: LengthPrefixed(reported.members.into_iter().collect()),
            complete: Flag(reported.complete),
        }
    }

    pub(super) fn handle_heartbeat_response(
        &mut self,
        now: MonotonicTime,
        sender: Contact,
        term: Term,
        round: u64,
        accepted: DocumentVersion,
    ) {
        if !self.is_leader_in_term(now, term) {
            return;
        }
        let sender_address = sender.controller_address.address;
        self.record_accepted(now, sender_address, accepted);
        self.count_heartbeat_response(round, sender.id);
        self.count_accepted(now);
        self.catch_up_peer(now, sender_address);
    }

    /// Counts a response to a round. While a proposal is in flight, a round must be answered by a
    /// majority of the proposal's voters as well as of the accepted version's voters.
    fn count_heartbeat_response(&mut self, round: u64, from: ControllerId) {
        let Self {
            role,
            hard_state,
            proposed,
            ..
        } = self;
        let Role::Leader(heartbeats) = role else {
            return;
        };
        let Some(accepted) = &hard_state.accepted else {
            return;
        };
        heartbeats.record_response(round, from, |responders| {
            Self::is_majority_of(accepted, responders)
                && proposed
                    .as_ref()
                    .is_none_or(|proposed| Self::is_majority_of(proposed, responders))
        });
    }
}
