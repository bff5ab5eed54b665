//! The core: election, and the one replicated document. No I/O; time and frames come in, orders go out.

mod bootstrap;
mod election;
mod heartbeats;
mod membership;
mod output;
mod peers;
mod quorum_plan;
mod replication;
mod timing;

pub use bootstrap::BootstrapError;
pub use membership::{MembershipError, single_voter_document};
pub use output::{ConsensusOutput, PersistedState, WriteJob, WriteResult};
pub use quorum_plan::{DEFAULT_VOTERS, QuorumPlan, QuorumPolicy};
pub use replication::ProposeError;
pub use timing::ConsensusTiming;

use common::clock::MonotonicTime;
use common::frames::{ConsensusFrame, ConsensusMessage, KnownMember, SocketAddress};
use common::identity::{ControllerId, DocumentVersion, Term, Ticket, Zone};
use common::rng::SeededRng;
use common::rules::{Rule, Rules};
use common::spec::Document;
use heartbeats::HeartbeatRounds;
use peers::{Peer, PeerGreeting};
use replication::{EncodedVersion, VersionDelta};
use std::collections::{BTreeMap, BTreeSet};

const STARTUP_PRE_VOTES: u32 = 4;

/// Where other controllers and operators reach one.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ControllerAddress {
    /// For processes.
    pub address: SocketAddress,
    /// For operators.
    pub operators: SocketAddress,
}

#[derive(Clone, Debug)]
enum Role {
    Follower,
    PreCandidate {
        granted: BTreeSet<ControllerId>,
    },
    Candidate {
        granted: BTreeSet<ControllerId>,
        vote_written: bool,
    },
    Leader(Box<HeartbeatRounds>),
}

#[derive(Clone, Debug)]
enum PendingWriteKind {
    Scrub,
    Vote { term: Term, candidate: ControllerId },
    Version(Box<Document>),
}

#[derive(Clone, Debug)]
struct PendingWrite {
    started_at: MonotonicTime,
    write: PendingWriteKind,
}

/// One controller's part in the core.
#[derive(Clone, Debug)]
pub struct ConsensusNode {
    timing: ConsensusTiming,
    id: ControllerId,
    controller_address: ControllerAddress,
    zone: Zone,
    seeds: Vec<SocketAddress>,
    rng: SeededRng,
    term: Term,
    voted_for: Option<(Term, ControllerId)>,
    unreadable_version: DocumentVersion,
    accepted: Option<Document>,
    committed: DocumentVersion,
    role: Role,
    leader: Option<(ControllerId, ControllerAddress)>,
    /// Who leads or has led the newest term of which that is known.
    term_leader: Option<(Term, ControllerId)>,
    leader_last_heard_at: MonotonicTime,
    election_deadline: MonotonicTime,
    next_hello_at: MonotonicTime,
    next_scrub_at: MonotonicTime,
    peers: BTreeMap<SocketAddress, Peer>,
    last_heard: BTreeMap<ControllerId, MonotonicTime>,
    members: BTreeSet<KnownMember>,
    members_complete: bool,
    inherited_members: BTreeSet<KnownMember>,
    inherited_complete: bool,
    pending_writes: BTreeMap<Ticket, PendingWrite>,
    last_ticket: Ticket,
    proposed: Option<Document>,
    rules: Rules,
    quorum_policy: QuorumPolicy,
    may_bootstrap: bool,
    diskless: bool,
    hinted_addresses: BTreeSet<SocketAddress>,
    next_nonvoter_heartbeat_at: MonotonicTime,
    startup_pre_votes: u32,
    encoded_version: Option<EncodedVersion>,
    outputs: Vec<ConsensusOutput>,
}

impl ConsensusNode {
    /// A core member with what its disk remembers.
    pub fn new(
        now: MonotonicTime,
        timing: ConsensusTiming,
        persisted: PersistedState,
        controller_address: ControllerAddress,
        zone: Zone,
        seeds: Vec<SocketAddress>,
        rng: SeededRng,
    ) -> Self {
        let accepted_term = persisted
            .accepted
            .as_ref()
            .map_or(Term(0), |document| document.document_version.term);
        let voted_term = persisted.voted_for.map_or(Term(0), |(term, _)| term);
        let first_scrub_delay = timing.scrub_interval;
        let initial_last_heard_at = now - timing.election_timeout_min;
        let mut node = Self {
            timing,
            id: persisted.id,
            controller_address,
            zone,
            seeds,
            rng,
            term: accepted_term.max(voted_term),
            voted_for: persisted.voted_for,
            unreadable_version: persisted.unreadable_version,
            accepted: persisted.accepted,
            committed: DocumentVersion::default(),
            role: Role::Follower,
            leader: None,
            term_leader: None,
            leader_last_heard_at: initial_last_heard_at,
            election_deadline: now,
            next_hello_at: now,
            next_scrub_at: now + first_scrub_delay,
            peers: BTreeMap::new(),
            last_heard: BTreeMap::new(),
            members: BTreeSet::new(),
            members_complete: false,
            inherited_members: BTreeSet::new(),
            inherited_complete: false,
            pending_writes: BTreeMap::new(),
            last_ticket: Ticket(0),
            proposed: None,
            rules: Rules::ALL_ENFORCED,
            quorum_policy: QuorumPolicy::default(),
            may_bootstrap: false,
            diskless: false,
            hinted_addresses: BTreeSet::new(),
            next_nonvoter_heartbeat_at: now,
            startup_pre_votes: STARTUP_PRE_VOTES,
            encoded_version: None,
            outputs: Vec::new(),
        };
        node.reset_election_deadline(now);
        node
    }

    /// The same, with a rule taken away for proving.
    pub fn with_rules(mut self, rules: Rules) -> Self {
        self.rules = rules;
        self
    }

    /// The same, with other voters that the quorum is to have.
    pub fn with_quorum_policy(mut self, quorum_policy: QuorumPolicy) -> Self {
        self.quorum_policy = quorum_policy;
        self
    }

    /// The same at the first start of the whole system: the seeds found the core.
    pub fn with_bootstrap(mut self, may_bootstrap: bool) -> Self {
        self.may_bootstrap = may_bootstrap;
        self
    }

    /// The same without a disk: it never votes, and only passes on.
    pub fn without_disk(mut self) -> Self {
        self.diskless = true;
        self
    }

    /// Takes other seeds.
    pub fn update_seeds(&mut self, seeds: Vec<SocketAddress>) {
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
    pub fn leader(&self) -> Option<ControllerAddress> {
        self.leader
            .map(|(_, controller_address)| controller_address)
    }

    /// The newest version on this disk.
    pub fn accepted(&self) -> Option<&Document> {
        self.accepted.as_ref()
    }

    /// The newest version known to be committed.
    pub fn committed(&self) -> DocumentVersion {
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
    pub fn expedite_heartbeat(&mut self, now: MonotonicTime) -> Vec<ConsensusOutput> {
        if let Role::Leader(heartbeats) = &mut self.role {
            heartbeats.expedite(self.timing.min_heartbeat_gap);
            if now >= heartbeats.next_heartbeat_at() {
                self.send_due_heartbeats(now);
            }
        }
        std::mem::take(&mut self.outputs)
    }

    /// When the newest round was sent that a majority answered.
    pub fn quorum_confirmed_at(&self) -> MonotonicTime {
        match &self.role {
            Role::Leader(heartbeats) => heartbeats.quorum_confirmed_at(),
            _ => MonotonicTime::ZERO,
        }
    }

    /// Whether a majority knows that this daemon may hold grants.
    pub fn is_confirmed(&self, member: &KnownMember) -> bool {
        matches!(&self.role, Role::Leader(heartbeats) if heartbeats.confirmed_members().contains(member))
    }

    /// The leader names the daemons that may hold grants, and says whether there are no others.
    pub fn set_members(&mut self, members: BTreeSet<KnownMember>, complete: bool) {
        self.members = members;
        self.members_complete = complete;
    }

    /// Gives up what this moment has made too old to be said: a leader that was not heard within the
    /// election time, and the lead without a majority that answered within it. To be called before
    /// anything is said, since a process that stood still hears others before its timers fire.
    pub fn expire_leadership(&mut self, now: MonotonicTime) -> Vec<ConsensusOutput> {
        if self.is_leader() {
            self.step_down_if_quorum_lost(now);
        } else if self.rules.enforces(Rule::LeaderHintIsRecent) && self.has_lost_leader(now) {
            self.leader = None;
        }
        std::mem::take(&mut self.outputs)
    }

    /// Whether the leader was not heard within the election time. The next trial may be later than that: after a
    /// failed write others are let go first.
    fn has_lost_leader(&self, now: MonotonicTime) -> bool {
        now >= self.election_deadline
            || now.since(self.leader_last_heard_at) > self.timing.election_timeout_max
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<ConsensusOutput> {
        if now >= self.next_scrub_at && self.pending_writes.is_empty() && !self.diskless {
            self.next_scrub_at = now + self.timing.scrub_interval;
            self.submit_write(now, PendingWriteKind::Scrub);
        }
        if now >= self.next_hello_at {
            self.next_hello_at = now + self.timing.hello_interval;
            self.forget_stale_peers(now);
            self.send_hellos();
        }
        self.bootstrap_on_first_start(now);
        if matches!(self.role, Role::Leader(_)) {
            self.send_due_heartbeats(now);
            self.advance_membership_change(now);
        } else if now >= self.election_deadline {
            self.start_pre_vote(now);
        }
        std::mem::take(&mut self.outputs)
    }

    /// Takes a frame from another controller.
    pub fn receive(&mut self, now: MonotonicTime, frame: ConsensusFrame) -> Vec<ConsensusOutput> {
        let sender_address = ControllerAddress {
            address: frame.address,
            operators: frame.operators,
        };
        if frame.from == self.id {
            return Vec::new();
        }
        self.record_peer(now, frame.from, sender_address, frame.zone);
        match frame.body {
            ConsensusMessage::Hello {
                accepted,
                term,
                diskless,
            } => {
                if let Some(peer) = self.peers.get_mut(&frame.address) {
                    let diskless = diskless.0;
                    peer.greeting = Some(PeerGreeting {
                        last_heard_at: now,
                        term,
                        diskless,
                    });
                }
                if term <= self.term || !self.is_leader() {
                    self.handle_hello(now, frame.from, sender_address, accepted);
                }
            }
            ConsensusMessage::VoterAddresses { addresses } => {
                if !self.is_voter(self.id) {
                    self.hinted_addresses = addresses.0.into_iter().collect();
                }
            }
            ConsensusMessage::Bootstrap { document } => self.handle_bootstrap(now, &document),
            ConsensusMessage::VoteRequest {
                term,
                accepted,
                is_pre_vote,
            } => {
                self.handle_vote_request(
                    now,
                    frame.from,
                    sender_address,
                    term,
                    accepted,
                    is_pre_vote.0,
                );
            }
            ConsensusMessage::VoteResponse { .. } => {
                self.handle_vote_response(now, frame.from, frame.body)
            }
            ConsensusMessage::Heartbeat {
                term,
                round,
                accepted: _,
                committed,
                members,
                complete,
            } => {
                if self.observe_leader(now, frame.from, sender_address, term) {
                    self.members = members.0.into_iter().collect();
                    self.members_complete = complete.0;
                    self.committed = self.committed.max(committed);
                }
                if !self.diskless {
                    self.send_heartbeat_response(sender_address.address, term, round);
                }
            }
            ConsensusMessage::HeartbeatResponse {
                term,
                round,
                accepted,
            } => {
                self.handle_heartbeat_response(
                    now,
                    frame.from,
                    sender_address.address,
                    term,
                    round,
                    accepted,
                );
            }
            ConsensusMessage::AcceptFull {
                term,
                document_version,
                document,
            } => {
                self.handle_accept(
                    now,
                    frame.from,
                    sender_address,
                    term,
                    document_version,
                    &document,
                );
            }
            ConsensusMessage::AcceptDelta {
                term,
                base,
                document_version,
                delta,
                digest,
            } => {
                let (delta, digest) = (&delta, &digest);
                let version = VersionDelta {
                    term,
                    base,
                    document_version,
                    delta,
                    digest,
                };
                self.handle_accept_delta(now, frame.from, sender_address, version);
            }
            ConsensusMessage::SnapshotRequest { term, accepted } => {
                self.handle_snapshot_request(now, sender_address.address, term, accepted);
            }
            ConsensusMessage::Accepted {
                term,
                document_version,
            } => {
                self.handle_accepted(now, sender_address.address, term, document_version);
            }
        }
        std::mem::take(&mut self.outputs)
    }

    /// Hears that a write has ended.
    pub fn write_completed(
        &mut self,
        now: MonotonicTime,
        ticket: Ticket,
        result: WriteResult,
    ) -> Vec<ConsensusOutput> {
        if let Some(ended) = self.pending_writes.remove(&ticket) {
            match (ended.write, result) {
                (PendingWriteKind::Vote { term, candidate }, WriteResult::Synced) => {
                    self.vote_written(now, term, candidate);
                }
                (PendingWriteKind::Version(document), WriteResult::Synced) => {
                    self.version_written(now, *document);
                }
                (PendingWriteKind::Scrub, WriteResult::Synced) => {}
                (_, WriteResult::Failed) => {
                    self.step_down(now, self.term);
                    self.election_deadline = now + self.timing.election_timeout_max * 2;
                }
            }
        }
        std::mem::take(&mut self.outputs)
    }

    fn is_voter(&self, id: ControllerId) -> bool {
        self.accepted
            .as_ref()
            .is_some_and(|document| document.voters.iter().any(|voter| voter.id == id))
    }

    fn accepted_document_version(&self) -> DocumentVersion {
        self.accepted
            .as_ref()
            .map_or(DocumentVersion::default(), |document| {
                document.document_version
            })
    }

    fn send(&mut self, to: SocketAddress, body: ConsensusMessage) {
        let frame = ConsensusFrame {
            from: self.id,
            address: self.controller_address.address,
            operators: self.controller_address.operators,
            zone: self.zone.clone(),
            body,
        };
        self.outputs.push(ConsensusOutput::Send { to, frame });
    }

    fn submit_write(&mut self, now: MonotonicTime, write: PendingWriteKind) {
        self.last_ticket = self.last_ticket.next();
        let job = match &write {
            PendingWriteKind::Vote { term, candidate } => WriteJob::Vote {
                term: *term,
                candidate: *candidate,
            },
            PendingWriteKind::Version(document) => WriteJob::Version((**document).clone()),
            PendingWriteKind::Scrub => WriteJob::Scrub(self.accepted.clone()),
        };
        self.pending_writes.insert(
            self.last_ticket,
            PendingWrite {
                started_at: now,
                write,
            },
        );
        self.outputs.push(ConsensusOutput::Write {
            ticket: self.last_ticket,
            job,
        });
    }

    /// When time must pass next, if nothing is heard before.
    pub fn next_due(&self) -> MonotonicTime {
        let due = match &self.role {
            Role::Leader(heartbeats) => heartbeats.next_heartbeat_at(),
            _ => self.election_deadline,
        };
        due.min(self.next_hello_at)
    }

    fn is_disk_stalled(&self, now: MonotonicTime) -> bool {
        let is_state_write =
            |pending: &&PendingWrite| !matches!(pending.write, PendingWriteKind::Scrub);
        let state_writes = self.pending_writes.values().filter(is_state_write);
        let oldest_start = state_writes.map(|pending| pending.started_at).min();
        oldest_start
            .is_some_and(|started_at| now.since(started_at) > self.timing.election_timeout_min)
    }
}
