//! Elections: pre-vote, vote, and the start and end of leadership.
//!
//! A node whose election deadline passes first asks the voters whether they would vote for it (the
//! pre-vote), and enters a new term only if a majority would. A node that reconnects after a partition
//! therefore does not disturb a live leader. Nodes that receive heartbeats from a live leader refuse
//! both kinds of requests.

use super::heartbeats::HeartbeatRounds;
use super::state::{Contact, Role};
use super::writes::PendingWriteKind;
use super::{ConsensusNode, ConsensusOutput};
use common::clock::MonotonicTime;
use common::frames::{ConsensusMessage, Flag, KnownMember, LengthPrefixed, SocketAddress};
use common::identity::{ControllerId, DocumentVersion, Term};
use common::invariants::{Invariant, require};
use common::rules::Rule;
use std::collections::BTreeSet;
use std::time::Duration;

/// The bounds of the random wait before a pre-vote after the leader's process is known to have ended.
const LEADER_GONE_TIMEOUT_MIN: Duration = Duration::from_millis(50);
const LEADER_GONE_TIMEOUT_MAX: Duration = Duration::from_millis(200);

/// A request for a vote or pre-vote.
#[derive(Clone, Copy)]
pub(super) struct VoteRequest {
    /// The term for which the vote is requested.
    pub term: Term,
    /// The newest accepted version of the candidate.
    pub accepted: DocumentVersion,
    pub is_pre_vote: bool,
}

/// The response to a vote request.
pub(super) struct VoteResponse {
    /// The voter's term.
    pub term: Term,
    /// The term for which the vote was requested.
    pub requested_term: Term,
    pub is_pre_vote: bool,
    pub granted: bool,
    /// The daemons that may hold leases, as far as the voter knows.
    pub members: Vec<KnownMember>,
    /// Whether no other daemon can hold a lease.
    pub complete: bool,
}

impl ConsensusNode {
    /// Draws a new election deadline.
    ///
    /// A voter that has just started and has not received anything from a leader uses a shorter timeout.
    /// This is safe because the voters that receive heartbeats from a live leader refuse the pre-vote.
    pub(super) fn reset_election_deadline(&mut self, now: MonotonicTime) {
        let is_starting_up = self.timers.startup_pre_votes > 0 && self.is_voter(self.local.id);
        let timing = &self.options.timing;
        let (shortest, longest) = if is_starting_up {
            (timing.startup_timeout_min, timing.startup_timeout_max)
        } else {
            (timing.election_timeout_min, timing.election_timeout_max)
        };
        self.timers.election_deadline = now + self.rng.within(shortest, longest);
    }

    fn is_majority(&self, granted: &BTreeSet<ControllerId>) -> bool {
        self.accepted()
            .is_some_and(|document| Self::is_majority_of(document, granted))
    }

    /// Returns the newest version on this disk or being written to it.
    fn newest_written_version(&self) -> DocumentVersion {
        let pending_versions = self
            .writes
            .versions()
            .map(|document| document.document_version);
        pending_versions
            .max()
            .unwrap_or_default()
            .max(self.accepted_version())
    }

    /// Forgets the known leader and, if this node may campaign, asks the voters whether they would vote
    /// for it.
    pub(super) fn start_pre_vote(&mut self, now: MonotonicTime) {
        self.timers.startup_pre_votes = self.timers.startup_pre_votes.saturating_sub(1);
        self.reset_election_deadline(now);
        if self.options.enforces(Rule::LeaderHintIsRecent) {
            self.known_leader.current = None;
        }
        if !self.is_voter(self.local.id)
            || !self.hard_state.may_vote()
            || self.writes.has_state_write()
        {
            return;
        }
        self.role = Role::PreCandidate {
            granted: BTreeSet::from([self.local.id]),
        };
        self.request_votes(self.hard_state.term.next(), true);
        self.count_pre_votes(now);
    }

    fn request_votes(&mut self, term: Term, is_pre_vote: bool) {
        let accepted = self.accepted_version();
        let voter_addresses: Vec<SocketAddress> = self
            .hard_state
            .accepted
            .iter()
            .flat_map(|document| document.voters.iter().chain(&document.previous_voters))
            .filter(|voter| voter.id != self.local.id)
            .map(|voter| voter.address)
            .collect();
        for voter_address in voter_addresses {
            let request = ConsensusMessage::VoteRequest {
                term,
                accepted,
                is_pre_vote: Flag(is_pre_vote),
            };
            self.send(voter_address, request);
        }
    }

    /// Becomes a candidate in the next term once a majority would vote for this node.
    fn count_pre_votes(&mut self, now: MonotonicTime) {
        let Role::PreCandidate { granted } = &self.role else {
            return;
        };
        if !self.is_majority(granted) {
            return;
        }
        let term = self.hard_state.term.next();
        self.hard_state.term = term;
        self.inherited_membership = self.membership.clone();
        self.role = Role::Candidate {
            granted: BTreeSet::new(),
            vote_written: false,
        };
        self.timers.startup_pre_votes = 0;
        self.reset_election_deadline(now);
        self.outputs.push(ConsensusOutput::Campaigning { term });
        let candidate = self.local.id;
        self.submit_write(now, PendingWriteKind::Vote { term, candidate });
    }

    /// Sends a vote that is now on disk or, if it is for this node itself, counts it and requests the
    /// votes of the others.
    pub(super) fn handle_vote_written(
        &mut self,
        now: MonotonicTime,
        term: Term,
        candidate: ControllerId,
    ) {
        self.hard_state.record_vote(term, candidate);
        if term != self.hard_state.term {
            return;
        }
        if candidate != self.local.id {
            if let Some(candidate_address) = self.peers.address_of(candidate) {
                self.send_vote_response(candidate_address, term, false, true);
            }
            return;
        }
        if let Role::Candidate {
            granted,
            vote_written,
        } = &mut self.role
        {
            granted.insert(candidate);
            *vote_written = true;
            self.request_votes(term, false);
            self.count_votes(now);
        }
    }

    fn send_vote_response(
        &mut self,
        to: SocketAddress,
        requested_term: Term,
        is_pre_vote: bool,
        granted: bool,
    ) {
        let members = LengthPrefixed(self.membership.members.iter().cloned().collect());
        let response = ConsensusMessage::VoteResponse {
            term: self.hard_state.term,
            requested_term,
            is_pre_vote: Flag(is_pre_vote),
            granted: Flag(granted),
            members,
            complete: Flag(self.membership.complete),
        };
        self.send(to, response);
    }

    /// Whether a leader was alive within the shortest election timeout. For a leader itself, the last
    /// heartbeat round answered by a majority counts.
    fn is_leader_live(&self, now: MonotonicTime) -> bool {
        let last_alive_at = match &self.role {
            Role::Leader(heartbeats) => heartbeats.quorum_confirmed_at(),
            _ => self.known_leader.last_received_at,
        };
        now.since(last_alive_at) < self.options.timing.election_timeout_min
    }

    /// Handles refused connections at the leader's address: its process has ended, so the
    /// pre-vote need not wait for the election timeout. Voters that do not know this yet refuse the
    /// pre-vote.
    pub fn handle_leader_process_ended(&mut self, now: MonotonicTime, address: SocketAddress) {
        let is_leader_address = self
            .leader()
            .is_some_and(|controller_address| controller_address.address == address);
        if is_leader_address && matches!(self.role, Role::Follower) {
            self.known_leader.current = None;
            self.known_leader.last_received_at = now - self.options.timing.election_timeout_min;
            let election_timeout = self
                .rng
                .within(LEADER_GONE_TIMEOUT_MIN, LEADER_GONE_TIMEOUT_MAX);
            self.timers.election_deadline =
                self.timers.election_deadline.min(now + election_timeout);
        }
    }

    pub(super) fn handle_vote_request(
        &mut self,
        now: MonotonicTime,
        sender: Contact,
        request: VoteRequest,
    ) {
        let VoteRequest {
            term, is_pre_vote, ..
        } = request;
        let sender_address = sender.controller_address.address;
        let may_grant = self.may_grant(request.accepted);
        let is_outdated =
            term < self.hard_state.term || (is_pre_vote && term == self.hard_state.term);
        if self.is_leader_live(now) || is_outdated {
            self.send_vote_response(sender_address, term, is_pre_vote, false);
        } else if is_pre_vote {
            self.send_vote_response(sender_address, term, true, may_grant);
        } else {
            self.vote(now, sender, term, may_grant);
        }
    }

    /// Whether this node may vote for a candidate with this newest version: it must be at least as new
    /// as this node's own, including versions still being written.
    fn may_grant(&self, candidate_version: DocumentVersion) -> bool {
        let is_up_to_date = candidate_version >= self.newest_written_version()
            || !self.options.enforces(Rule::CandidateIsUpToDate);
        is_up_to_date && self.hard_state.may_vote() && !self.local.diskless
    }

    /// Votes in a term, at most once. A granted vote is sent once it is on disk.
    fn vote(&mut self, now: MonotonicTime, candidate: Contact, term: Term, may_grant: bool) {
        let candidate_address = candidate.controller_address.address;
        if term > self.hard_state.term {
            self.step_down(now, term);
        }
        match self.hard_state.voted_for {
            Some((voted_term, voted_id)) if voted_term == term && voted_id == candidate.id => {
                self.send_vote_response(candidate_address, term, false, true);
            }
            Some((voted_term, _)) if voted_term >= term => {
                self.send_vote_response(candidate_address, term, false, false);
            }
            _ if !may_grant || self.writes.has_vote_since(term) => {
                self.send_vote_response(candidate_address, term, false, false);
            }
            _ => {
                self.timers.startup_pre_votes = 0;
                self.reset_election_deadline(now);
                let candidate = candidate.id;
                self.submit_write(now, PendingWriteKind::Vote { term, candidate });
                if !self.options.enforces(Rule::VotePersistedFirst) {
                    self.handle_vote_written(now, term, candidate);
                }
            }
        }
    }

    pub(super) fn handle_vote_response(
        &mut self,
        now: MonotonicTime,
        from: ControllerId,
        response: VoteResponse,
    ) {
        let term = self.hard_state.term;
        if response.term > term {
            self.step_down(now, response.term);
            return;
        }
        if !response.granted {
            return;
        }
        match &mut self.role {
            Role::PreCandidate { granted }
                if response.is_pre_vote && response.requested_term == term.next() =>
            {
                granted.insert(from);
                self.count_pre_votes(now);
            }
            Role::Candidate { granted, .. }
                if !response.is_pre_vote && response.requested_term == term =>
            {
                granted.insert(from);
                self.inherited_membership.members.extend(response.members);
                self.inherited_membership.complete &= response.complete;
                self.count_votes(now);
            }
            _ => {}
        }
    }

    fn count_votes(&mut self, now: MonotonicTime) {
        let Role::Candidate {
            granted,
            vote_written: true,
        } = &self.role
        else {
            return;
        };
        if self.is_majority(granted) {
            self.become_leader(now);
        }
    }

    /// Becomes the leader: reports the daemons that may hold leases granted by earlier leaders, sends
    /// heartbeats, and proposes the newest version again in its own term, because a leader may only
    /// commit versions of its own term (Raft, section 5.4.2).
    fn become_leader(&mut self, now: MonotonicTime) {
        let term = self.hard_state.term;
        self.role = Role::Leader(Box::new(HeartbeatRounds::new(now)));
        self.known_leader.current = Some(Contact {
            id: self.local.id,
            controller_address: self.local.controller_address,
        });
        self.record_term_leader(term, self.local.id);
        self.known_leader.last_received_at = now;
        self.membership = self.inherited_membership.clone();
        self.outputs.push(ConsensusOutput::Elected {
            term,
            members: self.inherited_membership.members.clone(),
            complete: self.inherited_membership.complete,
        });
        self.send_due_heartbeats(now);
        if let Some(mut document) = self.hard_state.accepted.clone() {
            document.document_version.term = self.hard_state.term;
            self.start_proposal(now, document);
        }
    }

    /// Becomes a follower in the given term, or in its current term if that is later. A proposal in
    /// flight is abandoned; a later leader may still commit it.
    pub(super) fn step_down(&mut self, now: MonotonicTime, term: Term) {
        if self.is_leader() {
            self.outputs.push(ConsensusOutput::SteppedDown);
        }
        if term > self.hard_state.term || !matches!(self.role, Role::Follower) {
            self.known_leader.current = None;
        }
        self.hard_state.term = self.hard_state.term.max(term);
        self.role = Role::Follower;
        self.proposed = None;
        self.reset_election_deadline(now);
    }

    /// Follows the sender of a leader's frame. If the sender's term is over, changes nothing and returns
    /// false.
    pub(super) fn observe_leader(
        &mut self,
        now: MonotonicTime,
        leader: Contact,
        term: Term,
    ) -> bool {
        if term < self.hard_state.term {
            return false;
        }
        self.timers.startup_pre_votes = 0;
        self.record_term_leader(term, leader.id);
        if term > self.hard_state.term || !matches!(self.role, Role::Follower) {
            self.step_down(now, term);
        }
        self.known_leader.current = Some(leader);
        self.known_leader.last_received_at = now;
        self.reset_election_deadline(now);
        true
    }

    /// Records the leader of a term and checks that the term has no other leader.
    fn record_term_leader(&mut self, term: Term, leader: ControllerId) {
        let recorded = self
            .known_leader
            .term_leader
            .filter(|(recorded_term, _)| *recorded_term == term);
        let is_only_leader = recorded.is_none_or(|(_, recorded_leader)| recorded_leader == leader);
        require(
            self.options.rules,
            Invariant::OneLeaderPerTerm,
            is_only_leader,
            || format!("{leader:?} leads term {term}, which already has a leader: {recorded:?}"),
        );
        if self
            .known_leader
            .term_leader
            .is_none_or(|(recorded_term, _)| recorded_term < term)
        {
            self.known_leader.term_leader = Some((term, leader));
        }
    }

    /// Whether this controller is the leader of the term of a response. A response of a later term makes
    /// it step down.
    pub(super) fn is_leader_in_term(&mut self, now: MonotonicTime, term: Term) -> bool {
        if term > self.hard_state.term {
            self.step_down(now, term);
        }
        term == self.hard_state.term && self.is_leader()
    }
}
