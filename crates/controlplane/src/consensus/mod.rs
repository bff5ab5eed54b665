//! Consensus among the controllers on one replicated document.
//!
//! The algorithm is Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm",
//! 2014) with its pre-vote and joint consensus, reduced to a log of one entry: the document is small,
//! each version replaces the one before, and only the newest is replicated. A version is ordered by its
//! [`DocumentVersion`], the pair of term and version number, which stands for Raft's last log entry.
//! The voters are part of the document.
//!
//! Nothing here does I/O, reads a clock or starts a task. A [`ConsensusNode`] is given time
//! ([`ConsensusNode::tick`]), frames ([`ConsensusNode::receive`]) and completed writes
//! ([`ConsensusNode::write_completed`]), and returns a list of [`ConsensusOutput`] for its driver to
//! carry out in order. With the same inputs and seed it returns the same outputs, on which the
//! simulator and the model checker depend.
//!
//! # Invariants
//!
//! * A term has at most one leader: a node votes once in a term, and a vote is on disk before it is sent.
//! * A committed version is not lost: a version is on disk before it is acknowledged, a majority
//!   acknowledges it before it is committed, and nobody votes for a candidate whose version is older
//!   than the voter's.
//! * A version counts as committed only when it was proposed in its leader's own term (Raft, section
//!   5.4.2); a new leader therefore proposes the newest version it holds again under its term.
//! * The voters change by a joint version, which is committed by a majority of the previous and of the
//!   next voters.
//! * A heartbeat response counts only in the heartbeat's term.

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

/// Where one controller is reached.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ControllerAddress {
    /// By other processes of the system.
    pub address: SocketAddress,
    /// By operators.
    pub operator_address: SocketAddress,
}

/// One controller's part in the consensus.
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
    /// The daemons that the leader last reported; on the leader, those it reports.
    membership: ReportedMembership,
    /// What the candidate and its voters know of earlier leaders' daemons; collected in an election.
    inherited_membership: ReportedMembership,
    writes: PendingWrites,
    /// The version that this leader has proposed and that is not committed yet.
    proposed: Option<Document>,
    /// The newest version as it was last encoded for sending.
    encoded_version: Option<EncodedVersion>,
    outputs: Vec<ConsensusOutput>,
}

impl ConsensusNode {
    /// A node that starts now, as a follower, from what its disk holds.
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

    /// Sets the safety rules in force. Tests disable single ones to prove that each is needed; the
    /// default enforces all.
    pub fn with_rules(mut self, rules: Rules) -> Self {
        self.options.rules = rules;
        self
    }

    /// Sets how many voters the control quorum is to have and how they are spread over zones.
    pub fn with_quorum_policy(mut self, quorum_policy: QuorumPolicy) -> Self {
        self.options.quorum_policy = quorum_policy;
        self
    }

    /// Sets whether this node may bootstrap the control quorum by itself, together with the other
    /// seeds. To be set only at the first start of the system.
    pub fn with_bootstrap(mut self, may_bootstrap: bool) -> Self {
        self.options.may_bootstrap = may_bootstrap;
        self
    }

    /// Sets that this node has no data directory: it never votes, and only forwards to the leader.
    pub fn without_disk(mut self) -> Self {
        self.local.diskless = true;
        self
    }

    /// Replaces the seed addresses.
    pub fn update_seeds(&mut self, seeds: Vec<SocketAddress>) {
        self.peers.seeds = seeds;
    }

    /// This controller's identity.
    pub fn id(&self) -> ControllerId {
        self.local.id
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Whether this controller leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether it leads and has committed a version under its own term.
    pub fn is_ready(&self) -> bool {
        self.is_leader() && self.committed.term == self.hard_state.term
    }

    /// The leader's addresses, as far as a leader is known.
    pub fn leader(&self) -> Option<ControllerAddress> {
        self.known_leader
            .current
            .map(|leader| leader.controller_address)
    }

    /// The newest version on this disk.
    pub fn accepted(&self) -> Option<&Document> {
        self.hard_state.accepted.as_ref()
    }

    /// The newest version known to be committed.
    pub fn committed(&self) -> DocumentVersion {
        self.committed
    }

    /// Whether a proposal is in flight.
    pub fn is_proposing(&self) -> bool {
        self.proposed.is_some()
    }

    /// The proposal in flight.
    pub fn proposed(&self) -> Option<&Document> {
        self.proposed.as_ref()
    }

    /// When the newest heartbeat round was sent that a majority has answered; zero on a node that does
    /// not lead. At that time no other controller led a later term.
    pub fn quorum_confirmed_at(&self) -> MonotonicTime {
        match &self.role {
            Role::Leader(heartbeats) => heartbeats.quorum_confirmed_at(),
            _ => MonotonicTime::ZERO,
        }
    }

    /// Whether a majority has been notified that this daemon may hold leases, so that any later leader
    /// inherits it.
    pub fn is_confirmed(&self, member: &KnownMember) -> bool {
        matches!(&self.role, Role::Leader(heartbeats) if heartbeats.confirmed_members().contains(member))
    }

    /// Sets the daemons that may hold leases, for the next heartbeats to report.
    pub fn set_members(&mut self, membership: ReportedMembership) {
        self.membership = membership;
    }

    /// When [`Self::tick`] is due next, unless an input changes that.
    pub fn next_due(&self) -> MonotonicTime {
        let due = match &self.role {
            Role::Leader(heartbeats) => heartbeats.next_heartbeat_at(),
            _ => self.timers.election_deadline,
        };
        due.min(self.timers.next_hello_at)
    }

    /// Does what is due by now.
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

    /// Gives up leadership, or the knowledge of a leader, that has expired by now: a leader steps down
    /// when no majority has answered within the election timeout, any other node forgets a leader that
    /// it has not heard within it.
    ///
    /// To be called before this node's knowledge is passed on, since a process that was suspended
    /// receives frames before its timers fire.
    pub fn expire_leadership(&mut self, now: MonotonicTime) -> Vec<ConsensusOutput> {
        if self.is_leader() {
            self.step_down_if_quorum_lost(now);
        } else if self.options.enforces(Rule::LeaderHintIsRecent) && self.has_lost_leader(now) {
            self.known_leader.current = None;
        }
        self.take_outputs()
    }

    /// Whether the leader was not heard within the election timeout. The election deadline alone does
    /// not tell: after a failed write it is later than that.
    fn has_lost_leader(&self, now: MonotonicTime) -> bool {
        now >= self.timers.election_deadline
            || now.since(self.known_leader.last_heard_at) > self.options.timing.election_timeout_max
    }

    fn is_voter(&self, id: ControllerId) -> bool {
        self.hard_state.is_voter(id)
    }

    fn accepted_version(&self) -> DocumentVersion {
        self.hard_state.accepted_version()
    }

    /// The version that this leader has proposed, else the newest on its disk.
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
