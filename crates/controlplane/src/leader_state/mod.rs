//! The leader's leader state: members and their grants, function grants, workers. All of it in memory.

mod claims;
mod document_delivery;
mod events;
mod fence;
mod function_leases;
mod functions;
mod ledger_replicas;
mod link_moves;
mod members;
mod membership;
mod memory_pressure;
mod output;
mod renewals;
mod report;
mod reservations;
mod runner_list;
mod timing;
mod worker_evacuation;
mod workers;

pub use document_delivery::RETAINED_VIEWS;
pub use output::{EventRecord, LeaderOutput, StreamId, TraceStep};
pub use timing::LeaderTiming;

use common::adapter::ListedRunner;
use common::clock::MonotonicTime;
use common::frames::{
    DaemonToLeader, KnownMember, LeaderToDaemon, MemberIncarnation, PreviousLease,
};
use common::identity::{
    CorrelationId, FencingToken, FunctionKey, MemberName, Term, Version, WorkerName, Zone,
};
use common::rules::{Rule, Rules};
use common::spec::{DaemonView, Document, ListedMember, RoutingTable};
use events::{EventFields, MemberFields};
use function_leases::{FunctionLeases, LeaseRecord};
use members::{IncarnationHistory, MemberRecord, PushedHosts};
use membership::DepartedMember;
use renewals::Renewals;
use reservations::Reservations;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use worker_evacuation::WorkerEvacuation;
use workers::WorkerRecord;

/// What the core proves to the leader state at one moment.
pub struct QuorumProof<'a> {
    /// Whether the leader has committed under its own term.
    pub ready: bool,
    /// When the newest round was sent that a majority answered.
    pub quorum_confirmed_at: MonotonicTime,
    /// Whether a round that a majority answered named a daemon.
    pub confirmed: &'a dyn Fn(&KnownMember) -> bool,
    /// The roster of the change in flight.
    pub proposed_membership: Option<&'a BTreeSet<ListedMember>>,
}

struct PendingAcquisition {
    stream: StreamId,
    correlation: CorrelationId,
    function: FunctionKey,
    requested_at: MonotonicTime,
    delay_announced: bool,
}

/// The leader's leader state for one reign.
pub struct LeaderState {
    timing: LeaderTiming,
    term: Term,
    elected_at: MonotonicTime,
    last_known: BTreeSet<KnownMember>,
    last_known_complete: bool,
    awaited_members: BTreeSet<ListedMember>,
    departed_members: BTreeMap<ListedMember, DepartedMember>,
    membership_changed: bool,
    next_membership_check_at: MonotonicTime,
    membership_change_since: Option<MonotonicTime>,
    list_complete_from: MonotonicTime,
    lists_requested_at: MonotonicTime,
    document: Option<Document>,
    table: RoutingTable,
    views: VecDeque<DaemonView>,
    /// Versions from before this reign; nothing is told to daemons before the first commit under it.
    earlier_views: VecDeque<DaemonView>,
    delta_frames: BTreeMap<Version, LeaderToDaemon>,
    full_spec_cache: Option<LeaderToDaemon>,
    longest_timeout: Duration,
    in_force: Version,
    in_force_checked_at: MonotonicTime,
    streams: BTreeMap<StreamId, KnownMember>,
    members: BTreeMap<KnownMember, MemberRecord>,
    current_incarnations: BTreeMap<MemberName, KnownMember>,
    lease_records: FunctionLeases,
    fencing_functions: BTreeSet<FunctionKey>,
    reservations: Reservations,
    workers: BTreeMap<WorkerName, WorkerRecord>,
    workers_listed: bool,
    once_allowed_from: BTreeMap<FunctionKey, MonotonicTime>,
    previous_leases: BTreeMap<FunctionKey, PreviousLease>,
    start_refused_at: BTreeMap<WorkerName, MonotonicTime>,
    member_restarted_at: MonotonicTime,
    replica_assignment_due: bool,
    fencing_changed: bool,
    /// Before this no unswept daemon's grant ends.
    next_sweep_at: MonotonicTime,
    next_member_expiry_at: MonotonicTime,
    fencing_checked_at: MonotonicTime,
    acquisitions_changed: bool,
    acquisitions_checked_at: MonotonicTime,
    known_members_changed: bool,
    idle_since: BTreeMap<KnownMember, BTreeMap<FunctionKey, MonotonicTime>>,
    yielded_at: BTreeMap<FunctionKey, MonotonicTime>,
    starved_functions: BTreeMap<FunctionKey, MonotonicTime>,
    runner_reclaimed_at: MonotonicTime,
    worker_evacuation: Option<WorkerEvacuation>,
    next_worker_evacuation_at: MonotonicTime,
    no_room_reported_at: MonotonicTime,
    pending_acquisitions: Vec<PendingAcquisition>,
    renewals: Renewals,
    runners_listed_at: MonotonicTime,
    pending_runner_list: Vec<ListedRunner>,
    all_claimed: bool,
    opened: bool,
    opened_at: MonotonicTime,
    inherited_version: Version,
    inherits_no_functions: bool,
    issued_token_count: u64,
    hosts_changed: bool,
    hosts_pushed_at: MonotonicTime,
    pushed_hosts: PushedHosts,
    links_checked_at: MonotonicTime,
    moved_off_at: BTreeMap<FunctionKey, MonotonicTime>,
    reported_suspects: BTreeSet<MemberIncarnation>,
    suspected: BTreeSet<MemberIncarnation>,
    rules: Rules,
    outputs: Vec<LeaderOutput>,
}

impl LeaderState {
    /// An empty leader state for a new leader.
    pub fn new(
        timing: LeaderTiming,
        term: Term,
        elected_at: MonotonicTime,
        last_known: BTreeSet<KnownMember>,
        last_known_complete: bool,
    ) -> Self {
        Self {
            timing,
            term,
            elected_at,
            last_known,
            last_known_complete,
            awaited_members: BTreeSet::new(),
            departed_members: BTreeMap::new(),
            membership_changed: true,
            next_membership_check_at: elected_at,
            membership_change_since: None,
            list_complete_from: MonotonicTime::ZERO,
            lists_requested_at: MonotonicTime::ZERO,
            document: None,
            table: RoutingTable::empty(),
            views: VecDeque::new(),
            earlier_views: VecDeque::new(),
            delta_frames: BTreeMap::new(),
            full_spec_cache: None,
            longest_timeout: Duration::ZERO,
            in_force: Version(0),
            in_force_checked_at: MonotonicTime::ZERO,
            streams: BTreeMap::new(),
            members: BTreeMap::new(),
            current_incarnations: BTreeMap::new(),
            lease_records: FunctionLeases::default(),
            fencing_functions: BTreeSet::new(),
            reservations: Reservations::default(),
            workers: BTreeMap::new(),
            workers_listed: false,
            once_allowed_from: BTreeMap::new(),
            previous_leases: BTreeMap::new(),
            start_refused_at: BTreeMap::new(),
            member_restarted_at: MonotonicTime::ZERO,
            replica_assignment_due: false,
            fencing_changed: true,
            next_sweep_at: MonotonicTime::ZERO,
            next_member_expiry_at: MonotonicTime::ZERO,
            fencing_checked_at: MonotonicTime::ZERO,
            acquisitions_changed: true,
            acquisitions_checked_at: MonotonicTime::ZERO,
            known_members_changed: true,
            idle_since: BTreeMap::new(),
            yielded_at: BTreeMap::new(),
            starved_functions: BTreeMap::new(),
            runner_reclaimed_at: MonotonicTime::ZERO,
            worker_evacuation: None,
            no_room_reported_at: MonotonicTime::ZERO,
            next_worker_evacuation_at: elected_at + Duration::from_secs(15),
            pending_acquisitions: Vec::new(),
            renewals: Renewals::default(),
            runners_listed_at: MonotonicTime::ZERO,
            pending_runner_list: Vec::new(),
            all_claimed: false,
            opened: false,
            opened_at: elected_at,
            inherited_version: Version(0),
            inherits_no_functions: false,
            issued_token_count: 0,
            hosts_changed: false,
            hosts_pushed_at: MonotonicTime::ZERO,
            pushed_hosts: PushedHosts::default(),
            links_checked_at: elected_at,
            moved_off_at: BTreeMap::new(),
            reported_suspects: BTreeSet::new(),
            suspected: BTreeSet::new(),
            rules: Rules::ALL_ENFORCED,
            outputs: Vec::new(),
        }
    }

    /// The same, with a rule taken away for proving.
    pub fn with_rules(mut self, rules: Rules) -> Self {
        self.rules = rules;
        self
    }

    /// The same with the versions that this controller has seen lately: daemons that are a little behind are told
    /// what changed, and not the whole.
    pub fn with_earlier_views(mut self, views: VecDeque<DaemonView>) -> Self {
        self.earlier_views = views;
        self
    }

    fn is_evacuated(&self, zone: &Zone) -> bool {
        self.rules.enforces(Rule::EvacuationObeyed) && self.table.is_evacuated(zone)
    }

    /// Whether the claims quorum stands and grants are given.
    pub fn is_open(&self) -> bool {
        self.opened
    }

    /// The daemons that may hold grants, and whether there are surely no others.
    pub fn known_members(&self) -> (BTreeSet<KnownMember>, bool) {
        let mut known_members: BTreeSet<KnownMember> = self.members.keys().cloned().collect();
        if !self.opened {
            known_members.extend(self.last_known.iter().cloned());
        }
        (known_members, self.last_known_complete || self.opened)
    }

    /// The same, if they may have changed since last asked.
    pub fn take_known_members(&mut self) -> Option<(BTreeSet<KnownMember>, bool)> {
        std::mem::take(&mut self.known_members_changed).then(|| self.known_members())
    }

    /// The newest serial that is in force everywhere.
    pub fn in_force(&self) -> Version {
        self.in_force
    }

    /// Takes what a daemon says on its stream.
    pub fn receive(&mut self, now: MonotonicTime, stream: StreamId, frame: DaemonToLeader) {
        self.acquisitions_changed = true;
        self.note_frame_received(now, stream);
        match frame {
            DaemonToLeader::Hello {
                host,
                ingress,
                version,
                age_ms,
                granted,
            } => {
                let history = IncarnationHistory {
                    started_at: membership::started_at(now, age_ms),
                    had_lease: granted.0,
                };
                self.handle_hello(now, stream, host, ingress, version, history);
            }
            DaemonToLeader::Claims { claims } => self.handle_claims(now, stream, claims.0),
            DaemonToLeader::Renew {
                correlation,
                version,
            } => {
                self.handle_renew(now, stream, correlation, version);
            }
            DaemonToLeader::Installed { version } => self.handle_installed(stream, version),
            DaemonToLeader::FullSpecRequest => self.push_full_document(stream),
            DaemonToLeader::Acquire {
                correlation,
                function,
            } => {
                let pending_request = PendingAcquisition {
                    stream,
                    correlation,
                    function,
                    requested_at: now,
                    delay_announced: false,
                };
                self.pending_acquisitions.push(pending_request);
            }
            DaemonToLeader::Release {
                function,
                fencing_token,
                runners,
            } => {
                self.handle_release(now, stream, function, fencing_token, runners);
            }
            DaemonToLeader::Reserve {
                correlation,
                function,
                fencing_token,
            } => {
                self.handle_reserve(now, stream, correlation, function, fencing_token);
            }
            DaemonToLeader::RunnerUpdate {
                function,
                runner,
                runner_status,
            } => {
                self.handle_runner_status(now, &function, runner, runner_status);
            }
            DaemonToLeader::Rejections {
                function,
                count,
                reason,
            } => self.handle_rejections(stream, function, count, reason),
            DaemonToLeader::ReplicaLost {
                function,
                fencing_token,
                lost,
            } => {
                self.handle_replica_lost(now, stream, function, fencing_token, &lost);
            }
            DaemonToLeader::ReplicaComplete {
                function,
                fencing_token,
                replica,
            } => {
                self.handle_replica_complete(stream, &function, fencing_token, &replica);
            }
            DaemonToLeader::Idle { functions } => self.handle_idle(now, stream, functions.0),
            DaemonToLeader::MemberSuspected { instance } => self.handle_suspicion(stream, instance),
            DaemonToLeader::MemberRecovered { instance } => {
                self.handle_suspicion_cleared(&instance)
            }
            DaemonToLeader::FullHostListRequest => self.handle_full_hosts_request(stream),
            DaemonToLeader::Leaving => self.handle_leaving(now, stream),
        }
    }

    /// A stream has ended.
    pub fn stream_lost(&mut self, stream: StreamId) {
        let Some(known_member) = self.streams.remove(&stream) else {
            return;
        };
        self.acquisitions_changed = true;
        self.pending_acquisitions
            .retain(|acquisition| acquisition.stream != stream);
        self.renewals.forget(stream);
        if let Some(record) = self.members.get_mut(&known_member)
            && record.stream == Some(stream)
        {
            record.stream = None;
            let fields = MemberFields {
                member: &known_member.member,
            };
            self.record_event(common::events::MEMBER_DISCONNECTED, fields);
        }
    }

    /// Does all that is due, and returns what has been ordered.
    pub fn progress(&mut self, now: MonotonicTime, proof: &QuorumProof<'_>) -> Vec<LeaderOutput> {
        self.expire_members(now);
        self.open_if_due(now, proof);
        self.request_lists(now);
        self.fence(now);
        self.assign_replicas(now);
        self.answer_renewals(now, proof);
        self.answer_acquisitions(now);
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

    fn record_event(&mut self, event: common::events::Event, fields: impl EventFields) {
        self.push_event(fields.record(event));
    }

    /// For a record made while its fields were still borrowed from this state.
    fn push_event(&mut self, event_record: EventRecord) {
        self.outputs.push(LeaderOutput::EventRecord(event_record));
    }

    fn is_serving(&self, known_member: &KnownMember, now: MonotonicTime) -> bool {
        self.members.get(known_member).is_some_and(|record| {
            record.stream.is_some() && record.lease_expires_at > now && record.host.eligible.0
        })
    }

    fn next_fencing_token(&mut self) -> FencingToken {
        self.issued_token_count += 1;
        FencingToken::of(self.term, self.issued_token_count)
    }
}
