//! In-memory state of the leader: members and their session leases, function leases, and workers.

mod acquisitions;
mod adoption;
mod claims;
mod claims_quorum;
mod document_delivery;
mod drains;
mod events;
mod fence;
mod function_leases;
mod host_list;
mod lease_end;
mod ledger_replicas;
mod link_moves;
mod member_sessions;
mod members;
mod membership;
mod memory_pressure;
mod output;
mod receive;
mod renewals;
mod report;
mod reservations;
mod runner_list;
mod runner_status;
mod timing;
mod worker_evacuation;
mod workers;

pub use document_delivery::{LagReason, Laggard, RETAINED_VIEWS};
pub use events::{EventDetail, EventRecord};
pub use output::{LeaderOutput, StreamId, TraceStep};
pub use report::{
    HolderRow, HoldersReport, LeaderReport, MemberRow, MembersReport, RunnerRow, RunnersReport,
    WorkerRow, WorkersReport,
};
pub use timing::LeaderTiming;

use acquisitions::Acquisitions;
use claims_quorum::ClaimsQuorum;
use common::clock::MonotonicTime;
use common::events::Event;
use common::frames::{KnownMember, LeaderToDaemon};
use common::identity::{FencingToken, Term, Version, Zone};
use common::rules::{Rule, Rules};
use common::spec::{DaemonView, ListedMember};
use document_delivery::Configuration;
use fence::Fencing;
use function_leases::{FunctionLeases, LeaseRecord};
use host_list::HostList;
use lease_end::OnceDelays;
use link_moves::LinkMoves;
use members::Members;
use membership::MembershipList;
use memory_pressure::MemoryPressure;
use renewals::Renewals;
use reservations::Reservations;
use runner_list::RunnerLists;
use std::collections::{BTreeSet, VecDeque};
use worker_evacuation::WorkerEvacuations;
use workers::Workers;

/// What the control quorum has confirmed to this leader, at one instant.
pub struct QuorumConfirmation<'a> {
    /// Whether the leader has committed a document in its own term.
    pub ready: bool,
    /// When the newest heartbeat round that a majority answered was sent.
    pub quorum_confirmed_at: MonotonicTime,
    /// Returns whether a heartbeat round that a majority answered named the member.
    pub is_member_confirmed: &'a dyn Fn(&KnownMember) -> bool,
    /// The membership in the proposed change that is not committed yet.
    pub proposed_membership: Option<&'a BTreeSet<ListedMember>>,
}

/// The leader's state during one term: session leases, function leases, workers and the memory reserved on them.
/// It is kept in memory only; a new leader rebuilds it from the members' claims and the platform's lists.
pub struct LeaderState {
    timing: LeaderTiming,
    elected_at: MonotonicTime,
    tokens: FencingTokenIssuer,
    claims: ClaimsQuorum,
    members: Members,
    membership_list: MembershipList,
    hosts: HostList,
    configuration: Configuration,
    lease_records: FunctionLeases,
    fencing: Fencing,
    once_delays: OnceDelays,
    acquisitions: Acquisitions,
    renewals: Renewals,
    replica_assignment_due: bool,
    link_moves: LinkMoves,
    reservations: Reservations,
    runner_lists: RunnerLists,
    workers: Workers,
    evacuation: WorkerEvacuations,
    pressure: MemoryPressure,
    rules: Rules,
    outputs: Vec<LeaderOutput>,
}

impl LeaderState {
    /// Creates the state of a new leader. `last_known` are the members that may hold leases of an earlier
    /// leader, whose claims it awaits; `last_known_complete` tells whether no other member can hold one.
    pub fn new(
        timing: LeaderTiming,
        term: Term,
        elected_at: MonotonicTime,
        last_known: BTreeSet<KnownMember>,
        last_known_complete: bool,
    ) -> Self {
        Self {
            timing,
            elected_at,
            tokens: FencingTokenIssuer::new(term),
            claims: ClaimsQuorum::new(elected_at, last_known, last_known_complete),
            members: Members::new(),
            membership_list: MembershipList::new(elected_at),
            hosts: HostList::default(),
            configuration: Configuration::new(),
            lease_records: FunctionLeases::default(),
            fencing: Fencing::new(),
            once_delays: OnceDelays::default(),
            acquisitions: Acquisitions::new(),
            renewals: Renewals::default(),
            replica_assignment_due: false,
            link_moves: LinkMoves::new(elected_at),
            reservations: Reservations::default(),
            runner_lists: RunnerLists::default(),
            workers: Workers::default(),
            evacuation: WorkerEvacuations::new(elected_at),
            pressure: MemoryPressure::default(),
            rules: Rules::ALL_ENFORCED,
            outputs: Vec::new(),
        }
    }

    /// Sets which safety rules are enforced. Tests lift a rule to show that its absence is detected.
    pub fn with_rules(mut self, rules: Rules) -> Self {
        self.rules = rules;
        self
    }

    /// Sets the recent versions that this controller has seen, so that members that are slightly behind get deltas
    /// instead of the complete document.
    pub fn with_earlier_views(mut self, views: VecDeque<DaemonView>) -> Self {
        self.configuration.earlier_views = views;
        self
    }

    fn is_evacuated(&self, zone: &Zone) -> bool {
        self.rules.enforces(Rule::EvacuationObeyed) && self.configuration.table.is_evacuated(zone)
    }

    /// Whether the claims quorum is reached. The leader grants leases only after that.
    pub fn is_claims_quorum_reached(&self) -> bool {
        self.claims.is_reached
    }

    /// Returns the newest version that is in force at every member.
    pub fn in_force(&self) -> Version {
        self.configuration.in_force
    }

    /// Performs all work that is due, and returns the resulting outputs in order.
    pub fn progress(
        &mut self,
        now: MonotonicTime,
        confirmation: &QuorumConfirmation<'_>,
    ) -> Vec<LeaderOutput> {
        self.expire_members(now);
        self.update_claims_quorum(now, confirmation);
        self.request_lists(now);
        self.progress_fencing(now);
        self.assign_replicas(now);
        self.reply_to_renewals(now, confirmation);
        self.reply_to_acquisitions(now);
        self.update_in_force(now);
        self.evacuate_workers(now);
        self.push_hosts(now);
        self.move_off_narrow_links(now);
        std::mem::take(&mut self.outputs)
    }

    fn send_frame(&mut self, stream: StreamId, frame: LeaderToDaemon) {
        self.outputs
            .push(LeaderOutput::FrameToDaemon { stream, frame });
    }

    fn record_event(&mut self, event: Event, detail: EventDetail) {
        let event_record = EventRecord { event, detail };
        self.outputs.push(LeaderOutput::EventRecord(event_record));
    }

    fn next_fencing_token(&mut self) -> FencingToken {
        self.tokens.issue()
    }
}

/// Issues the fencing tokens of one term. Each token is greater than all tokens issued before it, including those
/// of earlier terms, so the greater of two tokens belongs to the newer lease.
struct FencingTokenIssuer {
    term: Term,
    issued_count: u64,
}

impl FencingTokenIssuer {
    fn new(term: Term) -> Self {
        Self {
            term,
            issued_count: 0,
        }
    }

    fn issue(&mut self) -> FencingToken {
        self.issued_count += 1;
        FencingToken::new(self.term, self.issued_count)
    }
}
