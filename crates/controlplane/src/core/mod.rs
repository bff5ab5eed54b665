//! The core: election, and the one replicated document. No I/O; time and frames come in, orders go out.

mod election;
mod founding;
mod membership;
mod others;
mod output;
mod quorum_plan;
mod register;
mod rounds;
mod timing;

pub use founding::FoundFault;
pub use membership::{MembershipFault, left_alone};
pub use output::{CoreOutput, Recalled, WriteJob, WriteResult};
pub use quorum_plan::{DEFAULT_VOTERS, QuorumPlan, QuorumShape};
pub use register::ProposeFault;
pub use timing::CoreTiming;

use common::chance::Chance;
use common::clock::Moment;
use common::frames::{CoreBody, CoreFrame, KnownMember, Place};
use common::identity::{ControllerId, Stamp, Term, Ticket, Zone};
use common::rules::{Rule, Rules};
use common::spec::Document;
use others::{Greeting, Other};
use register::{ChangedVersion, SentVersion};
use rounds::Rounds;
use std::collections::{BTreeMap, BTreeSet};

const EARLY_TRIALS: u32 = 4;

/// Where other controllers and operators reach one.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Address {
    /// For processes.
    pub place: Place,
    /// For operators.
    pub operators: Place,
}

#[derive(Clone, Debug)]
enum Role {
    Follower,
    Trial { given: BTreeSet<ControllerId> },
    Candidate { given: BTreeSet<ControllerId>, vote_written: bool },
    Leader(Box<Rounds>),
}

#[derive(Clone, Debug)]
enum Writing {
    Scrub,
    Vote { term: Term, candidate: ControllerId },
    Version(Box<Document>),
}

#[derive(Clone, Debug)]
struct WritingSince {
    started_at: Moment,
    writing: Writing,
}

/// One controller's part in the core.
#[derive(Clone, Debug)]
pub struct Core {
    timing: CoreTiming,
    id: ControllerId,
    address: Address,
    zone: Zone,
    seeds: Vec<Place>,
    chance: Chance,
    term: Term,
    voted: Option<(Term, ControllerId)>,
    distrusted: Stamp,
    accepted: Option<Document>,
    committed: Stamp,
    role: Role,
    leader: Option<(ControllerId, Address)>,
    /// Who leads or has led the newest term of which that is known.
    term_leader: Option<(Term, ControllerId)>,
    leader_heard_at: Moment,
    election_at: Moment,
    hello_at: Moment,
    scrub_at: Moment,
    others: BTreeMap<Place, Other>,
    heard: BTreeMap<ControllerId, Moment>,
    members: BTreeSet<KnownMember>,
    members_whole: bool,
    inherited_members: BTreeSet<KnownMember>,
    inherited_whole: bool,
    writings: BTreeMap<Ticket, WritingSince>,
    last_ticket: Ticket,
    proposed: Option<Document>,
    rules: Rules,
    shape: QuorumShape,
    may_found: bool,
    passes_on: bool,
    hinted: BTreeSet<Place>,
    outsiders_round_at: Moment,
    early_trials: u32,
    sent_version: Option<SentVersion>,
    outputs: Vec<CoreOutput>,
}

impl Core {
    /// A core member with what its disk remembers.
    pub fn new(
        now: Moment,
        timing: CoreTiming,
        recalled: Recalled,
        address: Address,
        zone: Zone,
        seeds: Vec<Place>,
        chance: Chance,
    ) -> Self {
        let accepted_term = recalled.accepted.as_ref().map_or(Term(0), |held| held.stamp.term);
        let voted_term = recalled.voted.map_or(Term(0), |(term, _)| term);
        let scrub_first = timing.scrub_every;
        let unheard_since = now - timing.election_shortest;
        let mut core = Self {
            timing,
            id: recalled.id,
            address,
            zone,
            seeds,
            chance,
            term: accepted_term.max(voted_term),
            voted: recalled.voted,
            distrusted: recalled.distrusted,
            accepted: recalled.accepted,
            committed: Stamp::default(),
            role: Role::Follower,
            leader: None,
            term_leader: None,
            leader_heard_at: unheard_since,
            election_at: now,
            hello_at: now,
            scrub_at: now + scrub_first,
            others: BTreeMap::new(),
            heard: BTreeMap::new(),
            members: BTreeSet::new(),
            members_whole: false,
            inherited_members: BTreeSet::new(),
            inherited_whole: false,
            writings: BTreeMap::new(),
            last_ticket: Ticket(0),
            proposed: None,
            rules: Rules::KEPT,
            shape: QuorumShape::default(),
            may_found: false,
            passes_on: false,
            hinted: BTreeSet::new(),
            outsiders_round_at: now,
            early_trials: EARLY_TRIALS,
            sent_version: None,
            outputs: Vec::new(),
        };
        core.arm_election(now);
        core
    }

    /// The same, with a rule taken away for proving.
    pub fn with_rules(mut self, rules: Rules) -> Self {
        self.rules = rules;
        self
    }

    /// The same, with other voters that the quorum is to have.
    pub fn with_shape(mut self, shape: QuorumShape) -> Self {
        self.shape = shape;
        self
    }

    /// The same at the first start of the whole system: the seeds found the core.
    pub fn founding_first(mut self, may_found: bool) -> Self {
        self.may_found = may_found;
        self
    }

    /// The same without a disk: it never votes, and only passes on.
    pub fn passing_on(mut self) -> Self {
        self.passes_on = true;
        self
    }

    /// Takes other seeds.
    pub fn reseed(&mut self, seeds: Vec<Place>) {
        self.seeds = seeds;
    }

    /// This controller's identity.
    pub fn id(&self) -> ControllerId {
        self.id
    }

    /// The present term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Whether this controller leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether it leads and has committed its newest version under its own term.
    pub fn is_ready(&self) -> bool {
        self.is_leader() && self.committed.term == self.term
    }

    /// The leader, as far as is known.
    pub fn leader(&self) -> Option<Address> {
        self.leader.map(|(_, address)| address)
    }

    /// The newest version on this disk.
    pub fn accepted(&self) -> Option<&Document> {
        self.accepted.as_ref()
    }

    /// The newest version known to be committed.
    pub fn committed(&self) -> Stamp {
        self.committed
    }

    /// Whether a change is in flight.
    pub fn is_proposing(&self) -> bool {
        self.proposed.is_some()
    }

    /// The change in flight.
    pub fn proposed(&self) -> Option<&Document> {
        self.proposed.as_ref()
    }

    /// Somebody waits for a proof of the majority: a round starts now, or as soon as the last one is
    /// old enough.
    pub fn hasten_round(&mut self, now: Moment) -> Vec<CoreOutput> {
        if let Role::Leader(rounds) = &mut self.role {
            rounds.hasten(self.timing.round_gap);
            if now >= rounds.next_at() {
                self.lead(now);
            }
        }
        std::mem::take(&mut self.outputs)
    }

    /// When the newest round was sent that a majority answered.
    pub fn quorum_moment(&self) -> Moment {
        match &self.role {
            Role::Leader(rounds) => rounds.quorum_moment(),
            _ => Moment::ZERO,
        }
    }

    /// Whether a majority knows that this daemon may hold grants.
    pub fn is_confirmed(&self, member: &KnownMember) -> bool {
        matches!(&self.role, Role::Leader(rounds) if rounds.confirmed_members().contains(member))
    }

    /// The leader names the daemons that may hold grants, and says whether there are no others.
    pub fn set_members(&mut self, members: BTreeSet<KnownMember>, whole: bool) {
        self.members = members;
        self.members_whole = whole;
    }

    /// Gives up what this moment has made too old to be said: a leader that was not heard within the
    /// election time, and the lead without a majority that answered within it. To be called before
    /// anything is said, since a process that stood still hears others before its timers fire.
    pub fn expire(&mut self, now: Moment) -> Vec<CoreOutput> {
        if self.is_leader() {
            self.step_down_if_unproven(now);
        } else if self.rules.keep(Rule::LeaderHeard) && self.has_lost_leader(now) {
            self.leader = None;
        }
        std::mem::take(&mut self.outputs)
    }

    /// Whether the leader was not heard within the election time. The next trial may be later than that: after a
    /// failed write others are let go first.
    fn has_lost_leader(&self, now: Moment) -> bool {
        now >= self.election_at || now.since(self.leader_heard_at) > self.timing.election_longest
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Moment) -> Vec<CoreOutput> {
        if now >= self.scrub_at && self.writings.is_empty() && !self.passes_on {
            self.scrub_at = now + self.timing.scrub_every;
            self.order_write(now, Writing::Scrub);
        }
        if now >= self.hello_at {
            self.hello_at = now + self.timing.hello_every;
            self.forget_others(now);
            self.greet_all();
        }
        self.found_if_first(now);
        if matches!(self.role, Role::Leader(_)) {
            self.lead(now);
            self.progress_membership(now);
        } else if now >= self.election_at {
            self.start_trial(now);
        }
        std::mem::take(&mut self.outputs)
    }

    /// Takes a frame from another controller.
    pub fn heard(&mut self, now: Moment, frame: CoreFrame) -> Vec<CoreOutput> {
        let sender_address = Address { place: frame.place, operators: frame.operators };
        if frame.from == self.id {
            return Vec::new();
        }
        self.note_other(now, frame.from, sender_address, frame.zone);
        match frame.body {
            CoreBody::Hello { accepted, term, passes_on } => {
                if let Some(other) = self.others.get_mut(&frame.place) {
                    let passes_on = passes_on.0;
                    other.greeting = Some(Greeting { heard_at: now, term, passes_on });
                }
                if term <= self.term || !self.is_leader() {
                    self.hear_hello(now, frame.from, sender_address, accepted);
                }
            }
            CoreBody::Named { places } => {
                if !self.is_voter(self.id) {
                    self.hinted = places.0.into_iter().collect();
                }
            }
            CoreBody::Found { document } => self.hear_found(now, &document),
            CoreBody::VoteAsk { term, accepted, trial } => {
                self.hear_vote_ask(now, frame.from, sender_address, term, accepted, trial.0);
            }
            CoreBody::VoteReply { .. } => self.hear_vote_reply(now, frame.from, frame.body),
            CoreBody::Round { term, round, accepted: _, committed, members, whole } => {
                if self.hear_leader(now, frame.from, sender_address, term) {
                    self.members = members.0.into_iter().collect();
                    self.members_whole = whole.0;
                    self.committed = self.committed.max(committed);
                }
                if !self.passes_on {
                    self.reply_round(sender_address.place, term, round);
                }
            }
            CoreBody::RoundReply { term, round, accepted } => {
                self.hear_round_reply(now, frame.from, sender_address.place, term, round, accepted);
            }
            CoreBody::Accept { term, stamp, document } => {
                self.hear_accept(now, frame.from, sender_address, term, stamp, &document);
            }
            CoreBody::AcceptChange { term, base, stamp, change, digest } => {
                let (change, digest) = (&change, &digest);
                let version = ChangedVersion { term, base, stamp, change, digest };
                self.hear_accept_change(now, frame.from, sender_address, version);
            }
            CoreBody::AskWhole { term, accepted } => {
                self.hear_ask_whole(now, sender_address.place, term, accepted);
            }
            CoreBody::Accepted { term, stamp } => {
                self.hear_accepted(now, sender_address.place, term, stamp);
            }
        }
        std::mem::take(&mut self.outputs)
    }

    /// Hears that a write has ended.
    pub fn written(&mut self, now: Moment, ticket: Ticket, result: WriteResult) -> Vec<CoreOutput> {
        if let Some(ended) = self.writings.remove(&ticket) {
            match (ended.writing, result) {
                (Writing::Vote { term, candidate }, WriteResult::Synced) => {
                    self.vote_written(now, term, candidate);
                }
                (Writing::Version(document), WriteResult::Synced) => {
                    self.version_written(now, *document);
                }
                (Writing::Scrub, WriteResult::Synced) => {}
                (_, WriteResult::Failed) => {
                    self.step_down(now, self.term);
                    self.election_at = now + self.timing.election_longest * 2;
                }
            }
        }
        std::mem::take(&mut self.outputs)
    }

    fn is_voter(&self, id: ControllerId) -> bool {
        self.accepted
            .as_ref()
            .is_some_and(|document| document.core.iter().any(|voter| voter.id == id))
    }

    fn accepted_stamp(&self) -> Stamp {
        self.accepted.as_ref().map_or(Stamp::default(), |document| document.stamp)
    }

    fn send(&mut self, to: Place, body: CoreBody) {
        let frame = CoreFrame {
            from: self.id,
            place: self.address.place,
            operators: self.address.operators,
            zone: self.zone.clone(),
            body,
        };
        self.outputs.push(CoreOutput::Send { to, frame });
    }

    fn order_write(&mut self, now: Moment, writing: Writing) {
        self.last_ticket = self.last_ticket.next();
        let job = match &writing {
            Writing::Vote { term, candidate } => {
                WriteJob::Vote { term: *term, candidate: *candidate }
            }
            Writing::Version(document) => WriteJob::Version((**document).clone()),
            Writing::Scrub => WriteJob::Scrub(self.accepted.clone()),
        };
        self.writings.insert(self.last_ticket, WritingSince { started_at: now, writing });
        self.outputs.push(CoreOutput::Write { ticket: self.last_ticket, job });
    }

    /// When time must pass next, if nothing is heard before.
    pub fn next_due(&self) -> Moment {
        let due = match &self.role {
            Role::Leader(rounds) => rounds.next_at(),
            _ => self.election_at,
        };
        due.min(self.hello_at)
    }

    fn is_disk_stalled(&self, now: Moment) -> bool {
        let is_vital = |since: &&WritingSince| !matches!(since.writing, Writing::Scrub);
        let vital_writings = self.writings.values().filter(is_vital);
        let oldest_start = vital_writings.map(|since| since.started_at).min();
        oldest_start.is_some_and(|started_at| now.since(started_at) > self.timing.election_shortest)
    }
}
