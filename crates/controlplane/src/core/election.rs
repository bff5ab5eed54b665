use super::{Address, Core, CoreOutput, Role, Rounds, Writing};
use common::clock::Moment;
use common::frames::{CoreBody, Flag, Many, Place};
use common::identity::{ControllerId, Stamp, Term};
use common::invariants::{Invariant, require};
use common::rules::Rule;
use std::collections::BTreeSet;
use std::time::Duration;

const GONE_SHORTEST: Duration = Duration::from_millis(50);
const GONE_LONGEST: Duration = Duration::from_millis(200);

/// How many rounds pass between two that reach controllers that do not vote: few enough for them to
/// know the leader, who else is forgotten at the end of the election time.
const OUTSIDERS_EVERY: u32 = 2;

/// The number of no round; the first one is 1.
const NO_ROUND: u64 = 0;

impl Core {
    /// A voter that has just started and heard no leader does not wait a whole timeout: whoever
    /// hears a live one refuses its trial.
    pub(super) fn arm_election(&mut self, now: Moment) {
        let is_early = self.early_trials > 0 && self.is_voter(self.id);
        let (shortest, longest) = if is_early {
            (self.timing.early_shortest, self.timing.early_longest)
        } else {
            (self.timing.election_shortest, self.timing.election_longest)
        };
        self.election_at = now + self.chance.within(shortest, longest);
    }

    pub(super) fn is_majority(&self, given: &BTreeSet<ControllerId>) -> bool {
        self.accepted.as_ref().is_some_and(|document| Self::is_majority_of(document, given))
    }

    fn may_vote(&self) -> bool {
        self.accepted_stamp() >= self.distrusted
    }

    fn has_vital_writing(&self) -> bool {
        self.writings.values().any(|since| !matches!(since.writing, Writing::Scrub))
    }

    fn newest_stamp(&self) -> Stamp {
        let written_stamps = self.versions_being_written().map(|document| document.stamp);
        written_stamps.max().unwrap_or_default().max(self.accepted_stamp())
    }

    pub(super) fn start_trial(&mut self, now: Moment) {
        self.early_trials = self.early_trials.saturating_sub(1);
        self.arm_election(now);
        if self.rules.keep(Rule::LeaderHeard) {
            self.leader = None;
        }
        if !self.is_voter(self.id) || !self.may_vote() || self.has_vital_writing() {
            return;
        }
        self.role = Role::Trial { given: BTreeSet::from([self.id]) };
        self.ask_votes(self.term.next(), true);
        self.count_trial(now);
    }

    fn ask_votes(&mut self, term: Term, trial: bool) {
        let accepted = self.accepted_stamp();
        let voter_places: Vec<Place> = self
            .accepted
            .iter()
            .flat_map(|document| document.core.iter().chain(&document.former))
            .filter(|voter| voter.id != self.id)
            .map(|voter| voter.place)
            .collect();
        for voter_place in voter_places {
            self.send(voter_place, CoreBody::VoteAsk { term, accepted, trial: Flag(trial) });
        }
    }

    fn count_trial(&mut self, now: Moment) {
        let Role::Trial { given } = &self.role else { return };
        if self.is_majority(given) {
            self.term = self.term.next();
            self.inherited_members = self.members.clone();
            self.inherited_whole = self.members_whole;
            self.role = Role::Candidate { given: BTreeSet::new(), vote_written: false };
            self.early_trials = 0;
            self.arm_election(now);
            self.outputs.push(CoreOutput::Campaigning { term: self.term });
            self.order_write(now, Writing::Vote { term: self.term, candidate: self.id });
        }
    }

    pub(super) fn vote_written(&mut self, now: Moment, term: Term, candidate: ControllerId) {
        if self.voted.is_none_or(|(voted_term, _)| voted_term < term) {
            self.voted = Some((term, candidate));
        }
        if candidate != self.id {
            if term == self.term
                && let Some(candidate_place) = self.place_of(candidate)
            {
                self.reply_vote(candidate_place, term, false, true);
            }
            return;
        }
        let own_id = self.id;
        if term != self.term {
            return;
        }
        if let Role::Candidate { given, vote_written } = &mut self.role {
            given.insert(own_id);
            *vote_written = true;
            self.ask_votes(term, false);
            self.count_votes(now);
        }
    }

    fn place_of(&self, id: ControllerId) -> Option<Place> {
        self.others.values().find(|other| other.id == id).map(|other| other.address.place)
    }

    fn reply_vote(&mut self, to: Place, asked: Term, trial: bool, given: bool) {
        let members = Many(self.members.iter().cloned().collect());
        let reply = CoreBody::VoteReply {
            term: self.term,
            asked,
            trial: Flag(trial),
            given: Flag(given),
            members,
            whole: Flag(self.members_whole),
        };
        self.send(to, reply);
    }

    fn is_leader_live(&self, now: Moment) -> bool {
        match &self.role {
            Role::Leader(rounds) => {
                now.since(rounds.quorum_moment()) < self.timing.election_shortest
            }
            _ => now.since(self.leader_heard_at) < self.timing.election_shortest,
        }
    }

    /// The leader's place refuses connections: its process is gone, and a trial need not wait for
    /// its silence. Others that did not see it refuse the trial.
    pub fn leader_gone(&mut self, now: Moment, place: Place) {
        let is_leader_there = self.leader.is_some_and(|(_, address)| address.place == place);
        if is_leader_there && matches!(self.role, Role::Follower) {
            self.leader = None;
            self.leader_heard_at = now - self.timing.election_shortest;
            let wait_span = self.chance.within(GONE_SHORTEST, GONE_LONGEST);
            self.election_at = self.election_at.min(now + wait_span);
        }
    }

    pub(super) fn hear_vote_ask(
        &mut self,
        now: Moment,
        from: ControllerId,
        address: Address,
        term: Term,
        accepted: Stamp,
        trial: bool,
    ) {
        let is_newest = accepted >= self.newest_stamp() || !self.rules.keep(Rule::NewestElected);
        let is_fit = is_newest && self.may_vote() && !self.passes_on;
        if self.is_leader_live(now) || term < self.term || (trial && term == self.term) {
            self.reply_vote(address.place, term, trial, false);
            return;
        }
        if trial {
            self.reply_vote(address.place, term, true, is_fit);
            return;
        }
        if term > self.term {
            self.step_down(now, term);
        }
        let vote_pending = self.writings.values().any(
            |since| matches!(since.writing, Writing::Vote { term: writing_term, .. } if writing_term >= term),
        );
        match self.voted {
            Some((voted_term, voted_id)) if voted_term == term && voted_id == from => {
                self.reply_vote(address.place, term, false, true);
            }
            Some((voted_term, _)) if voted_term >= term => {
                self.reply_vote(address.place, term, false, false);
            }
            _ if !is_fit || vote_pending => {
                self.reply_vote(address.place, term, false, false);
            }
            _ => {
                self.early_trials = 0;
                self.arm_election(now);
                self.order_write(now, Writing::Vote { term, candidate: from });
                if !self.rules.keep(Rule::VoteOnDisk) {
                    self.vote_written(now, term, from);
                }
            }
        }
    }

    pub(super) fn hear_vote_reply(&mut self, now: Moment, from: ControllerId, body: CoreBody) {
        let CoreBody::VoteReply { term, asked, trial, given, members, whole } = body else {
            return;
        };
        if term > self.term {
            self.step_down(now, term);
            return;
        }
        if !given.0 {
            return;
        }
        match &mut self.role {
            Role::Trial { given: given_set } if trial.0 && asked == self.term.next() => {
                given_set.insert(from);
                self.count_trial(now);
            }
            Role::Candidate { given: given_set, .. } if !trial.0 && asked == self.term => {
                given_set.insert(from);
                self.inherited_members.extend(members.0);
                self.inherited_whole &= whole.0;
                self.count_votes(now);
            }
            _ => {}
        }
    }

    fn count_votes(&mut self, now: Moment) {
        let Role::Candidate { given, vote_written: true } = &self.role else { return };
        if !self.is_majority(given) {
            return;
        }
        self.role = Role::Leader(Box::new(Rounds::new(now)));
        self.leader = Some((self.id, self.address));
        self.note_term_leader(self.term, self.id);
        self.leader_heard_at = now;
        self.members = self.inherited_members.clone();
        self.members_whole = self.inherited_whole;
        let members = self.inherited_members.clone();
        let whole = self.inherited_whole;
        self.outputs.push(CoreOutput::Elected { term: self.term, members, whole });
        self.lead(now);
        if let Some(mut document) = self.accepted.clone() {
            document.stamp.term = self.term;
            self.put_forward(now, document);
        }
    }

    pub(super) fn step_down(&mut self, now: Moment, term: Term) {
        if matches!(self.role, Role::Leader(_)) {
            self.outputs.push(CoreOutput::SteppedDown);
        }
        if term > self.term || !matches!(self.role, Role::Follower) {
            self.leader = None;
        }
        self.term = self.term.max(term);
        self.role = Role::Follower;
        self.proposed = None;
        self.arm_election(now);
    }

    pub(super) fn hear_leader(
        &mut self,
        now: Moment,
        from: ControllerId,
        address: Address,
        term: Term,
    ) -> bool {
        if term < self.term {
            return false;
        }
        self.early_trials = 0;
        self.note_term_leader(term, from);
        if term > self.term || !matches!(self.role, Role::Follower) {
            self.step_down(now, term);
        }
        self.leader = Some((from, address));
        self.leader_heard_at = now;
        self.arm_election(now);
        true
    }

    fn note_term_leader(&mut self, term: Term, leader: ControllerId) {
        let known = self.term_leader.filter(|(known_term, _)| *known_term == term);
        let is_sole = known.is_none_or(|(_, known_leader)| known_leader == leader);
        require(self.rules, Invariant::OneLeaderPerTerm, is_sole, || {
            format!("{leader:?} leads term {term}, and {known:?}")
        });
        if self.term_leader.is_none_or(|(known_term, _)| known_term < term) {
            self.term_leader = Some((term, leader));
        }
    }

    /// Answers a round. One of an earlier term gets this member's term and no number: numbers begin
    /// anew in each term, and the answer must prove nothing in a later one.
    pub(super) fn reply_round(&mut self, to: Place, term: Term, round: u64) {
        let is_present = term == self.term || !self.rules.keep(Rule::RoundOfItsTerm);
        let round = if is_present { round } else { NO_ROUND };
        let reply =
            CoreBody::RoundReply { term: self.term, round, accepted: self.accepted_stamp() };
        self.send(to, reply);
    }

    /// A leader that no majority answered within the election time leads no longer.
    pub(super) fn step_down_if_unproven(&mut self, now: Moment) {
        let Role::Leader(rounds) = &self.role else { return };
        let proven_at = rounds.quorum_moment().max(self.leader_heard_at);
        if now.since(proven_at) > self.timing.election_longest {
            self.step_down(now, self.term);
        }
    }

    pub(super) fn lead(&mut self, now: Moment) {
        if self.is_disk_stalled(now) {
            self.outputs.push(CoreOutput::DiskStalled);
            self.step_down(now, self.term);
            return;
        }
        self.step_down_if_unproven(now);
        let Role::Leader(rounds) = &mut self.role else { return };
        if now < rounds.next_at() {
            return;
        }
        let has_roster = self.accepted.as_ref().is_some_and(|held| !held.roster.is_empty());
        let members = if has_roster { BTreeSet::new() } else { self.members.clone() };
        let whole = self.members_whole && !has_roster;
        let next_at = now + self.timing.round_every;
        let round = rounds.start(now, next_at, self.id, members.clone());
        let body = CoreBody::Round {
            term: self.term,
            round,
            accepted: self.accepted_stamp(),
            committed: self.committed,
            members: Many(members.into_iter().collect()),
            whole: Flag(whole),
        };
        let voter_places = self.voter_places();
        for voter_place in &voter_places {
            self.send(*voter_place, body.clone());
        }
        if now >= self.outsiders_round_at {
            self.outsiders_round_at = now + self.timing.round_every * OUTSIDERS_EVERY;
            let short_body = CoreBody::Round {
                term: self.term,
                round,
                accepted: self.accepted_stamp(),
                committed: self.committed,
                members: Many(Vec::new()),
                whole: Flag(false),
            };
            for known_place in self.known_places().difference(&voter_places) {
                self.send(*known_place, short_body.clone());
            }
        }
        self.count_round(now, round, self.id);
    }

    pub(super) fn count_round(&mut self, _now: Moment, round: u64, from: ControllerId) {
        let Self { role, accepted, proposed, .. } = self;
        let Role::Leader(rounds) = role else { return };
        let Some(present_document) = accepted else { return };
        rounds.answered(round, from, |answered| {
            Self::is_majority_of(present_document, answered)
                && proposed
                    .as_ref()
                    .is_none_or(|coming_document| Self::is_majority_of(coming_document, answered))
        });
    }
}
