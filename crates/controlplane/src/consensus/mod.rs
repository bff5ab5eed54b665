//! Consensus among the controllers on one replicated document.
//!
//! The algorithm is Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm",
//! 2014) with pre-vote and joint consensus, reduced to a log of one entry: the document is small, each
//! version replaces the previous one, and only the newest is replicated. Versions are ordered by their
//! [`DocumentVersion`], a pair of term and version number that corresponds to the term and index of
//! Raft's last log entry. The set of voters is part of the document.
//!
//! Nothing here does I/O, reads a clock or starts a task. A [`ConsensusNode`] takes the time
//! ([`ConsensusNode::tick`]), frames ([`ConsensusNode::handle_frame`]) and completed writes
//! ([`ConsensusNode::handle_write_completed`]) as inputs, and returns a list of [`ConsensusOutput`]s that its
//! driver carries out in order. The outputs are determined by the inputs and the seed; the simulator
//! and the model checker depend on this.
//!
//! # Invariants
//!
//! * A term has at most one leader: a node votes once per term, and a vote is on disk before it is sent.
//! * A committed version is not lost: a version is on disk before it is acknowledged, a majority
//!   acknowledges it before it is committed, and no voter votes for a candidate whose version is older
//!   than its own.
//! * A leader commits only versions proposed in its own term (Raft, section 5.4.2); a new leader
//!   therefore proposes the newest version on its disk again under its term.
//! * The set of voters changes through a joint version, which is committed by a majority of the
//!   previous voters and a majority of the next voters.
//! * A heartbeat response counts only in the term of the heartbeat.

mod bootstrap;
mod election;
mod heartbeats;
mod membership;
mod output;
mod peers;
mod quorum_plan;
mod receive;
mod replication;
mod state;
mod timing;
mod writes;

pub use bootstrap::BootstrapError;
pub use membership::{MembershipError, single_voter_document};
pub use output::{ConsensusOutput, PersistedState, WriteJob, WriteResult};
pub use peers::PeerStatus;
pub use quorum_plan::{DEFAULT_VOTERS, QuorumPlan, QuorumPolicy};
pub use replication::ProposeError;
pub use state::ReportedMembership;
pub use timing::ConsensusTiming;

use common::clock::MonotonicTime;
use common::frames::{ConsensusFrame, ConsensusMessage, KnownMember, SocketAddress};
use common::identity::{ControllerId, DocumentVersion, Term, Zone};
use common::rng::SeededRng;
use common::rules::{Rule, Rules};
use common::spec::Document;
use peers::PeerTable;
use replication::EncodedVersion;
use state::{HardState, LeaderKnowledge, LocalNode, NodeOptions, Role, Timers};
use writes::{PendingWriteKind, PendingWrites};

/// The addresses at which a controller is reached.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ControllerAddress {
    /// The address for other controllers and for daemons.
    pub address: SocketAddress,
    /// The address for operators.
    pub operator_address: SocketAddress,
}

/// The consensus state machine of one controller.
#[derive(Clone, Debug)]
pub struct ConsensusNode {
    local: LocalNode,
    options: NodeOptions,
    rng: SeededRng,
    hard_state: HardState,
    /// The newest version known to be committed; it is not persisted.
    committed: DocumentVersion,
    role: Role,
    known_leader: LeaderKnowledge,
    timers: Timers,
    peers: PeerTable,
    /// The daemons that the leader last reported; on the leader, those that it reports.
    membership: ReportedMembership,
    /// The daemons of earlier leaders that the candidate and its voters know of, collected during an
    /// election.
    inherited_membership: ReportedMembership,
    writes: PendingWrites,
    /// The version that this leader has proposed and not committed yet.
    proposed: Option<Document>,
    /// The newest version, encoded for sending.
    encoded_version: Option<EncodedVersion>,
    outputs: Vec<ConsensusOutput>,
}

impl ConsensusNode {
    /// Creates a node that starts now as a follower, with the state read from its disk.
    pub fn new(
        now: MonotonicTime,
        timing: ConsensusTiming,
        persisted: PersistedState,
        controller_address: ControllerAddress,
        zone: Zone,
        seeds: Vec<SocketAddress>,
        rng: SeededRng,
    ) -> Self {
        let mut node = Self {
            local: LocalNode {
                id: persisted.id,
                controller_address,
                zone,
                diskless: false,
            },
            rng,
            hard_state: HardState::restore(persisted),
            committed: DocumentVersion::default(),
            role: Role::Follower,
            known_leader: LeaderKnowledge::new(now - timing.election_timeout_min),
            timers: Timers::new(now, &timing),
            options: NodeOptions {
                timing,
                rules: Rules::ALL_ENFORCED,
                quorum_policy: QuorumPolicy::default(),
                may_bootstrap: false,
            },
            peers: PeerTable::new(seeds),
            membership: ReportedMembership::default(),
            inherited_membership: ReportedMembership::default(),
            writes: PendingWrites::new(),
            proposed: None,
            encoded_version: None,
            outputs: Vec::new(),
        };
        node.reset_election_deadline(now);
        node
    }

    /// Sets the safety rules to enforce; by default all are enforced. Tests disable single rules to
    /// prove that each is needed.
    pub fn with_rules(mut self, rules: Rules) -> Self {
        self.options.rules = rules;
        self
    }

    /// Sets how many voters the control quorum should have and how they are spread over zones.
    pub fn with_quorum_policy(mut self, quorum_policy: QuorumPolicy) -> Self {
        self.options.quorum_policy = quorum_policy;
        self
    }

    /// Sets whether this node may bootstrap the control quorum, together with the other seeds, without
    /// an operator's command. Set this only at the first start of the system.
    pub fn with_bootstrap(mut self, may_bootstrap: bool) -> Self {
        self.options.may_bootstrap = may_bootstrap;
        self
    }

    /// Marks this node as having no data directory: it never votes and only forwards to the leader.
    pub fn without_disk(mut self) -> Self {
        self.local.diskless = true;
        self
    }

    /// Replaces the seed addresses.
    pub fn update_seeds(&mut self, seeds: Vec<SocketAddress>) {
        self.peers.seeds = seeds;
    }

    /// Returns this controller's identity.
    pub fn id(&self) -> ControllerId {
        self.local.id
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Whether this controller is the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether this controller is the leader and has committed a version in its own term.
    pub fn is_ready(&self) -> bool {
        self.is_leader() && self.committed.term == self.hard_state.term
    }

    /// Returns the leader's addresses, or `None` if no leader is known.
    pub fn leader(&self) -> Option<ControllerAddress> {
        self.known_leader
            .current
            .map(|leader| leader.controller_address)
    }

    /// Returns the newest version on this node's disk.
    pub fn accepted(&self) -> Option<&Document> {
        self.hard_state.accepted.as_ref()
    }

    /// Returns the newest version known to be committed.
    pub fn committed(&self) -> DocumentVersion {
        self.committed
    }

    /// Whether a proposal is in flight.
    pub fn is_proposing(&self) -> bool {
        self.proposed.is_some()
    }

    /// Returns the proposal in flight.
    pub fn proposed(&self) -> Option<&Document> {
        self.proposed.as_ref()
    }

    /// Returns when the newest heartbeat round answered by a majority was sent, or zero if this node is
    /// not the leader. At that time no other controller led a later term.
    pub fn quorum_confirmed_at(&self) -> MonotonicTime {
        match &self.role {
            Role::Leader(heartbeats) => heartbeats.quorum_confirmed_at(),
            _ => MonotonicTime::ZERO,
        }
    }

    /// Whether a majority has been notified that this daemon may hold leases, so that every later
    /// leader learns of it.
    pub fn is_member_confirmed(&self, member: &KnownMember) -> bool {
        matches!(&self.role, Role::Leader(heartbeats) if heartbeats.confirmed_members().contains(member))
    }

    /// Sets the daemons that may hold leases, which the next heartbeats report.
    pub fn set_members(&mut self, membership: ReportedMembership) {
        self.membership = membership;
    }

    /// Returns when [`Self::tick`] is due next. Any input may change this.
    pub fn next_due(&self) -> MonotonicTime {
        let due = match &self.role {
            Role::Leader(heartbeats) => heartbeats.next_heartbeat_at(),
            _ => self.timers.election_deadline,
        };
        due.min(self.timers.next_hello_at)
    }

    /// Runs every action that is due by now.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<ConsensusOutput> {
        self.scrub_if_due(now);
        if now >= self.timers.next_hello_at {
            self.timers.next_hello_at = now + self.options.timing.hello_interval;
            self.forget_stale_peers(now);
            self.send_hellos();
        }
        self.bootstrap_on_first_start(now);
        if self.is_leader() {
            self.send_due_heartbeats(now);
            self.advance_membership_change(now);
        } else if now >= self.timers.election_deadline {
            self.start_pre_vote(now);
        }
        self.take_outputs()
    }

    fn scrub_if_due(&mut self, now: MonotonicTime) {
        if now >= self.timers.next_scrub_at && self.writes.is_empty() && !self.local.diskless {
            self.timers.next_scrub_at = now + self.options.timing.scrub_interval;
            self.submit_write(now, PendingWriteKind::Scrub);
        }
    }

    /// Gives up expired leadership, or forgets an expired leader: a leader steps down if no majority
    /// has answered within the election timeout; any other node forgets a leader from which it has
    /// received nothing within the election timeout.
    ///
    /// Must be called before this node's knowledge of the leader is used to answer others, because a
    /// process that was suspended receives frames before its timers fire.
    pub fn expire_leadership(&mut self, now: MonotonicTime) -> Vec<ConsensusOutput> {
        if self.is_leader() {
            self.step_down_if_quorum_lost(now);
        } else if self.options.enforces(Rule::LeaderHintIsRecent) && self.has_lost_leader(now) {
            self.known_leader.current = None;
        }
        self.take_outputs()
    }

    /// Whether nothing was received from the leader within the election timeout. The election deadline
    /// alone is not enough to decide this, because a failed write postpones it.
    fn has_lost_leader(&self, now: MonotonicTime) -> bool {
        now >= self.timers.election_deadline
            || now.since(self.known_leader.last_received_at)
                > self.options.timing.election_timeout_max
    }

    fn is_voter(&self, id: ControllerId) -> bool {
        self.hard_state.is_voter(id)
    }

    fn accepted_version(&self) -> DocumentVersion {
        self.hard_state.accepted_version()
    }

    /// Returns the version that this leader has proposed, or else the newest on its disk.
    fn newest_document(&self) -> Option<&Document> {
        self.proposed.as_ref().or(self.hard_state.accepted.as_ref())
    }

    fn send(&mut self, to: SocketAddress, body: ConsensusMessage) {
        let frame = ConsensusFrame {
            from: self.local.id,
            address: self.local.controller_address.address,
            operators: self.local.controller_address.operator_address,
            zone: self.local.zone.clone(),
            body,
        };
        self.outputs.push(ConsensusOutput::Send { to, frame });
    }

    fn take_outputs(&mut self) -> Vec<ConsensusOutput> {
        std::mem::take(&mut self.outputs)
    }
}
