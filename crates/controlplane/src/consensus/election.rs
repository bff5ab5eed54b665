use super::{
    ConsensusNode, ConsensusOutput, ControllerAddress, HeartbeatRounds, PendingWriteKind, Role,
};
use common::clock::MonotonicTime;
use common::frames::{ConsensusMessage, Flag, LengthPrefixed, SocketAddress};
use common::identity::{ControllerId, DocumentVersion, Term};
use common::invariants::{Invariant, require};
use common::rules::Rule;
use std::collections::BTreeSet;
use std::time::Duration;

const LEADER_GONE_TIMEOUT_MIN: Duration = Duration::from_millis(50);
const LEADER_GONE_TIMEOUT_MAX: Duration = Duration::from_millis(200);

/// How many rounds pass between two that reach controllers that do not vote: few enough for them to
/// know the leader, who else is forgotten at the end of the election time.
const NONVOTER_HEARTBEAT_EVERY: u32 = 2;

/// The number of no round; the first one is 1.
const NO_ROUND: u64 = 0;

impl ConsensusNode {
    /// A voter that has just started and heard no leader does not wait a whole timeout: whoever
    /// hears a live one refuses its trial.
    pub(super) fn reset_election_deadline(&mut self, now: MonotonicTime) {
        let is_starting_up = self.startup_pre_votes > 0 && self.is_voter(self.id);
        let (shortest, longest) = if is_starting_up {
            (
                self.timing.startup_timeout_min,
                self.timing.startup_timeout_max,
            )
        } else {
            (
                self.timing.election_timeout_min,
                self.timing.election_timeout_max,
            )
        };
        self.election_deadline = now + self.rng.within(shortest, longest);
    }

    pub(super) fn is_majority(&self, granted: &BTreeSet<ControllerId>) -> bool {
        self.accepted
            .as_ref()
            .is_some_and(|document| Self::is_majority_of(document, granted))
    }

    fn may_vote(&self) -> bool {
        self.accepted_document_version() >= self.unreadable_version
    }

    fn has_pending_state_write(&self) -> bool {
        self.pending_writes
            .values()
            .any(|pending| !matches!(pending.write, PendingWriteKind::Scrub))
    }

    fn newest_document_version(&self) -> DocumentVersion {
        let written_versions = self
            .pending_versions()
            .map(|document| document.document_version);
        written_versions
            .max()
            .unwrap_or_default()
            .max(self.accepted_document_version())
    }

    pub(super) fn start_pre_vote(&mut self, now: MonotonicTime) {
        self.startup_pre_votes = self.startup_pre_votes.saturating_sub(1);
        self.reset_election_deadline(now);
        if self.rules.enforces(Rule::LeaderHintIsRecent) {
            self.leader = None;
        }
        if !self.is_voter(self.id) || !self.may_vote() || self.has_pending_state_write() {
            return;
        }
        self.role = Role::PreCandidate {
            granted: BTreeSet::from([self.id]),
        };
        self.request_votes(self.term.next(), true);
        self.count_pre_votes(now);
    }

    fn request_votes(&mut self, term: Term, is_pre_vote: bool) {
        let accepted = self.accepted_document_version();
        let voter_addresses: Vec<SocketAddress> = self
            .accepted
            .iter()
            .flat_map(|document| document.voters.iter().chain(&document.previous_voters))
            .filter(|voter| voter.id != self.id)
            .map(|voter| voter.address)
            .collect();
        for voter_address in voter_addresses {
            self.send(
                voter_address,
                ConsensusMessage::VoteRequest {
                    term,
                    accepted,
                    is_pre_vote: Flag(is_pre_vote),
                },
            );
        }
    }

    fn count_pre_votes(&mut self, now: MonotonicTime) {
        let Role::PreCandidate { granted } = &self.role else {
            return;
        };
        if self.is_majority(granted) {
            self.term = self.term.next();
            self.inherited_members = self.members.clone();
            self.inherited_complete = self.members_complete;
            self.role = Role::Candidate {
                granted: BTreeSet::new(),
                vote_written: false,
            };
            self.startup_pre_votes = 0;
            self.reset_election_deadline(now);
            self.outputs
                .push(ConsensusOutput::Campaigning { term: self.term });
            self.submit_write(
                now,
                PendingWriteKind::Vote {
                    term: self.term,
                    candidate: self.id,
                },
            );
        }
    }

    pub(super) fn vote_written(&mut self, now: MonotonicTime, term: Term, candidate: ControllerId) {
        if self
            .voted_for
            .is_none_or(|(voted_term, _)| voted_term < term)
        {
            self.voted_for = Some((term, candidate));
        }
        if candidate != self.id {
            if term == self.term
                && let Some(candidate_address) = self.address_of(candidate)
            {
                self.send_vote_response(candidate_address, term, false, true);
            }
            return;
        }
        let own_id = self.id;
        if term != self.term {
            return;
        }
        if let Role::Candidate {
            granted,
            vote_written,
        } = &mut self.role
        {
            granted.insert(own_id);
            *vote_written = true;
            self.request_votes(term, false);
            self.count_votes(now);
        }
    }

    fn address_of(&self, id: ControllerId) -> Option<SocketAddress> {
        self.peers
            .values()
            .find(|peer| peer.id == id)
            .map(|peer| peer.controller_address.address)
    }

    fn send_vote_response(
        &mut self,
        to: SocketAddress,
        requested_term: Term,
        is_pre_vote: bool,
        granted: bool,
    ) {
        let members = LengthPrefixed(self.members.iter().cloned().collect());
        let reply = ConsensusMessage::VoteResponse {
            term: self.term,
            requested_term,
            is_pre_vote: Flag(is_pre_vote),
            granted: Flag(granted),
            members,
            complete: Flag(self.members_complete),
        };
        self.send(to, reply);
    }

    fn is_leader_live(&self, now: MonotonicTime) -> bool {
        match &self.role {
            Role::Leader(heartbeats) => {
                now.since(heartbeats.quorum_confirmed_at()) < self.timing.election_timeout_min
            }
            _ => now.since(self.leader_last_heard_at) < self.timing.election_timeout_min,
        }
    }

    /// The leader's place refuses connections: its process is gone, and a trial need not wait for
    /// its silence. Others that did not see it refuse the trial.
    pub fn leader_process_ended(&mut self, now: MonotonicTime, address: SocketAddress) {
        let is_leader_address = self
            .leader
            .is_some_and(|(_, controller_address)| controller_address.address == address);
        if is_leader_address && matches!(self.role, Role::Follower) {
            self.leader = None;
            self.leader_last_heard_at = now - self.timing.election_timeout_min;
            let election_timeout = self
                .rng
                .within(LEADER_GONE_TIMEOUT_MIN, LEADER_GONE_TIMEOUT_MAX);
            self.election_deadline = self.election_deadline.min(now + election_timeout);
        }
    }

    pub(super) fn handle_vote_request(
        &mut self,
        now: MonotonicTime,
        from: ControllerId,
        controller_address: ControllerAddress,
        term: Term,
        accepted: DocumentVersion,
        is_pre_vote: bool,
    ) {
        let is_newest = accepted >= self.newest_document_version()
            || !self.rules.enforces(Rule::CandidateIsUpToDate);
        let may_grant = is_newest && self.may_vote() && !self.diskless;
        if self.is_leader_live(now) || term < self.term || (is_pre_vote && term == self.term) {
            self.send_vote_response(controller_address.address, term, is_pre_vote, false);
            return;
        }
        if is_pre_vote {
            self.send_vote_response(controller_address.address, term, true, may_grant);
            return;
        }
        if term > self.term {
            self.step_down(now, term);
        }
        let vote_pending = self.pending_writes.values().any(
            |pending| matches!(pending.write, PendingWriteKind::Vote { term: pending_term, .. } if pending_term >= term),
        );
        match self.voted_for {
            Some((voted_term, voted_id)) if voted_term == term && voted_id == from => {
                self.send_vote_response(controller_address.address, term, false, true);
            }
            Some((voted_term, _)) if voted_term >= term => {
                self.send_vote_response(controller_address.address, term, false, false);
            }
            _ if !may_grant || vote_pending => {
                self.send_vote_response(controller_address.address, term, false, false);
            }
            _ => {
                self.startup_pre_votes = 0;
                self.reset_election_deadline(now);
                self.submit_write(
                    now,
                    PendingWriteKind::Vote {
                        term,
                        candidate: from,
                    },
                );
                if !self.rules.enforces(Rule::VotePersistedFirst) {
                    self.vote_written(now, term, from);
                }
            }
        }
    }

    pub(super) fn handle_vote_response(
        &mut self,
        now: MonotonicTime,
        from: ControllerId,
        body: ConsensusMessage,
    ) {
        let ConsensusMessage::VoteResponse {
            term,
            requested_term,
            is_pre_vote,
            granted,
            members,
            complete,
        } = body
        else {
            return;
        };
        if term > self.term {
            self.step_down(now, term);
            return;
        }
        if !granted.0 {
            return;
        }
        match &mut self.role {
            Role::PreCandidate {
                granted: granted_votes,
            } if is_pre_vote.0 && requested_term == self.term.next() => {
                granted_votes.insert(from);
                self.count_pre_votes(now);
            }
            Role::Candidate {
                granted: granted_votes,
                ..
            } if !is_pre_vote.0 && requested_term == self.term => {
                granted_votes.insert(from);
                self.inherited_members.extend(members.0);
                self.inherited_complete &= complete.0;
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
        if !self.is_majority(granted) {
            return;
        }
        self.role = Role::Leader(Box::new(HeartbeatRounds::new(now)));
        self.leader = Some((self.id, self.controller_address));
        self.record_term_leader(self.term, self.id);
        self.leader_last_heard_at = now;
        self.members = self.inherited_members.clone();
        self.members_complete = self.inherited_complete;
        let members = self.inherited_members.clone();
        let complete = self.inherited_complete;
        self.outputs.push(ConsensusOutput::Elected {
            term: self.term,
            members,
            complete,
        });
        self.send_due_heartbeats(now);
        if let Some(mut document) = self.accepted.clone() {
            document.document_version.term = self.term;
            self.start_proposal(now, document);
        }
    }

    pub(super) fn step_down(&mut self, now: MonotonicTime, term: Term) {
        if matches!(self.role, Role::Leader(_)) {
            self.outputs.push(ConsensusOutput::SteppedDown);
        }
        if term > self.term || !matches!(self.role, Role::Follower) {
            self.leader = None;
        }
        self.term = self.term.max(term);
        self.role = Role::Follower;
        self.proposed = None;
        self.reset_election_deadline(now);
    }

    pub(super) fn observe_leader(
        &mut self,
        now: MonotonicTime,
        from: ControllerId,
        controller_address: ControllerAddress,
        term: Term,
    ) -> bool {
        if term < self.term {
            return false;
        }
        self.startup_pre_votes = 0;
        self.record_term_leader(term, from);
        if term > self.term || !matches!(self.role, Role::Follower) {
            self.step_down(now, term);
        }
        self.leader = Some((from, controller_address));
        self.leader_last_heard_at = now;
        self.reset_election_deadline(now);
        true
    }

    fn record_term_leader(&mut self, term: Term, leader: ControllerId) {
        let recorded = self
            .term_leader
            .filter(|(recorded_term, _)| *recorded_term == term);
        let is_sole = recorded.is_none_or(|(_, recorded_leader)| recorded_leader == leader);
        require(self.rules, Invariant::OneLeaderPerTerm, is_sole, || {
            format!("{leader:?} leads term {term}, and {recorded:?}")
        });
        if self
            .term_leader
            .is_none_or(|(recorded_term, _)| recorded_term < term)
        {
            self.term_leader = Some((term, leader));
        }
    }

    /// Answers a round. One of an earlier term gets this member's term and no number: numbers begin
    /// anew in each term, and the answer must prove nothing in a later one.
    pub(super) fn send_heartbeat_response(&mut self, to: SocketAddress, term: Term, round: u64) {
        let is_current_term =
            term == self.term || !self.rules.enforces(Rule::HeartbeatResponseInItsTerm);
        let round = if is_current_term { round } else { NO_ROUND };
        let reply = ConsensusMessage::HeartbeatResponse {
            term: self.term,
            round,
            accepted: self.accepted_document_version(),
        };
        self.send(to, reply);
    }

    /// A leader that no majority answered within the election time leads no longer.
    pub(super) fn step_down_if_quorum_lost(&mut self, now: MonotonicTime) {
        let Role::Leader(heartbeats) = &self.role else {
            return;
        };
        let quorum_proof_at = heartbeats
            .quorum_confirmed_at()
            .max(self.leader_last_heard_at);
        if now.since(quorum_proof_at) > self.timing.election_timeout_max {
            self.step_down(now, self.term);
        }
    }

    pub(super) fn send_due_heartbeats(&mut self, now: MonotonicTime) {
        if self.is_disk_stalled(now) {
            self.outputs.push(ConsensusOutput::DiskStalled);
            self.step_down(now, self.term);
            return;
        }
        self.step_down_if_quorum_lost(now);
        let Role::Leader(heartbeats) = &mut self.role else {
            return;
        };
        if now < heartbeats.next_heartbeat_at() {
            return;
        }
        let has_membership = self
            .accepted
            .as_ref()
            .is_some_and(|document| !document.membership.is_empty());
        let members = if has_membership {
            BTreeSet::new()
        } else {
            self.members.clone()
        };
        let complete = self.members_complete && !has_membership;
        let next_heartbeat_at = now + self.timing.heartbeat_interval;
        let round = heartbeats.start(now, next_heartbeat_at, self.id, members.clone());
        let body = ConsensusMessage::Heartbeat {
            term: self.term,
            round,
            accepted: self.accepted_document_version(),
            committed: self.committed,
            members: LengthPrefixed(members.into_iter().collect()),
            complete: Flag(complete),
        };
        let voter_addresses = self.voter_addresses();
        for voter_address in &voter_addresses {
            self.send(*voter_address, body.clone());
        }
        if now >= self.next_nonvoter_heartbeat_at {
            self.next_nonvoter_heartbeat_at =
                now + self.timing.heartbeat_interval * NONVOTER_HEARTBEAT_EVERY;
            let short_body = ConsensusMessage::Heartbeat {
                term: self.term,
                round,
                accepted: self.accepted_document_version(),
                committed: self.committed,
                members: LengthPrefixed(Vec::new()),
                complete: Flag(false),
            };
            for known_address in self.known_addresses().difference(&voter_addresses) {
                self.send(*known_address, short_body.clone());
            }
        }
        self.count_heartbeat_response(now, round, self.id);
    }

    pub(super) fn count_heartbeat_response(
        &mut self,
        _now: MonotonicTime,
        round: u64,
        from: ControllerId,
    ) {
        let Self {
            role,
            accepted,
            proposed,
            ..
        } = self;
        let Role::Leader(heartbeats) = role else {
            return;
        };
        let Some(current_document) = accepted else {
            return;
        };
        heartbeats.record_response(round, from, |responders| {
            Self::is_majority_of(current_document, responders)
                && proposed
                    .as_ref()
                    .is_none_or(|next_document| Self::is_majority_of(next_document, responders))
        });
    }
}
