//! A whole controller without I/O: the core, the leader state while it leads, and operators' changes.

mod changes;
mod content;
mod history;
mod operation;
mod pending_changes;
mod proposal_outcome;
mod traces;

pub use content::derive_change_id;
pub use history::{EventLog, NumberedEvent};
pub use operation::{
    ChangeKind, ItemChange, Numbering, Operation, OperationReply, OperationTicket, Unavailable,
    Wait,
};

use crate::consensus::{ConsensusNode, ConsensusOutput, ControllerAddress, WriteJob, WriteResult};
use crate::leader_state::{
    EventRecord, LeaderOutput, LeaderState, LeaderTiming, QuorumProof, RETAINED_VIEWS, StreamId,
};
use common::adapter::{ListedRunner, ListedWorker, StopOrder};
use common::clock::MonotonicTime;
use common::events;
use common::frames::{ConsensusFrame, DaemonToLeader, LeaderToDaemon, SocketAddress};
use common::identity::{DocumentVersion, RunnerId, Ticket, Version};
use common::rules::Rules;
use common::spec::DaemonView;
use operation::WaitingOperation;
use pending_changes::PendingChanges;
use serde_json::json;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;
use traces::Traces;

const LEADER_TICK_INTERVAL: Duration = Duration::from_millis(50);
const URGENT_TICK_INTERVAL: Duration = Duration::from_millis(10);
const WAITING_TICK_INTERVAL: Duration = Duration::from_millis(100);
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(500);

/// What reaches a controller.
#[derive(Debug)]
pub enum ControllerInput {
    /// Time passes.
    Tick,
    /// Another controller's frame.
    Consensus(ConsensusFrame),
    /// A write has ended.
    Written(Ticket, WriteResult),
    /// A daemon's frame.
    Stream(StreamId, DaemonToLeader),
    /// A daemon's stream has ended.
    StreamLost(StreamId),
    /// The platform's workers.
    Workers(Vec<ListedWorker>),
    /// The platform's runners as they stood at a moment.
    Runners(MonotonicTime, Vec<ListedRunner>),
    /// The platform confirmed a stop.
    RunnerStopped(RunnerId),
    /// An operator's wish.
    Operate(OperationTicket, Operation),
    /// An operator hung up and hears no answer any more.
    CallerDisconnected(OperationTicket),
    /// Connections to this place are refused: the process there is gone.
    ProcessGone(SocketAddress),
    /// Other seeds.
    Seeds(Vec<SocketAddress>),
}

/// What a controller orders.
#[derive(Debug)]
pub enum ControllerOutput {
    /// Send a frame to another controller.
    Send(SocketAddress, ConsensusFrame),
    /// Write to disk.
    Write(Ticket, WriteJob),
    /// Say something on a daemon's stream.
    FrameToDaemon(StreamId, LeaderToDaemon),
    /// End a daemon's stream.
    Close(StreamId),
    /// Ask the platform for its lists at once.
    RequestLists,
    /// Have the platform stop a runner.
    StopRunner(StopOrder),
    /// Answer an operator.
    OperatorReply(OperationTicket, OperationReply),
    /// An event was noted.
    EventRecord(NumberedEvent),
}

/// A whole controller without I/O.
pub struct ControllerState {
    consensus: ConsensusNode,
    leader_state: Option<LeaderState>,
    leader_state_timing: LeaderTiming,
    proof_freshness_limit: Duration,
    streams: BTreeSet<StreamId>,
    history: EventLog,
    changes: PendingChanges,
    waiting: VecDeque<WaitingOperation>,
    traces: Traces,
    /// The last versions on this disk, committed or not; a leader's daemons that have one of them are told the
    /// difference.
    recent_views: VecDeque<DaemonView>,
    recent_document_version: DocumentVersion,
    rules: Rules,
    outputs: Vec<ControllerOutput>,
}

impl ControllerState {
    /// A controller around a core member.
    pub fn new(
        consensus: ConsensusNode,
        leader_state_timing: LeaderTiming,
        proof_freshness_limit: Duration,
    ) -> Self {
        Self {
            consensus,
            leader_state: None,
            leader_state_timing,
            proof_freshness_limit,
            streams: BTreeSet::new(),
            history: EventLog::default(),
            changes: PendingChanges::default(),
            waiting: VecDeque::new(),
            traces: Traces::default(),
            recent_views: VecDeque::new(),
            recent_document_version: DocumentVersion::default(),
            rules: Rules::ALL_ENFORCED,
            outputs: Vec::new(),
        }
    }

    /// The same, with a rule taken away for proving.
    pub fn with_rules(mut self, rules: Rules) -> Self {
        self.rules = rules;
        self
    }

    /// The core member.
    pub fn consensus(&self) -> &ConsensusNode {
        &self.consensus
    }

    /// The leader state, while this controller leads.
    pub fn leader_state(&self) -> Option<&LeaderState> {
        self.leader_state.as_ref()
    }

    /// The number of the newest event.
    pub fn newest_event(&self) -> u64 {
        self.history.newest()
    }

    /// When time must pass next, if nothing reaches it before.
    pub fn next_due(&self, now: MonotonicTime) -> MonotonicTime {
        let longest_span = match (&self.leader_state, self.waiting.is_empty()) {
            (Some(leader_state), _) if leader_state.is_time_critical() => URGENT_TICK_INTERVAL,
            (Some(_), _) => LEADER_TICK_INTERVAL,
            (None, false) => WAITING_TICK_INTERVAL,
            (None, true) => IDLE_TICK_INTERVAL,
        };
        self.consensus.next_due().min(now + longest_span)
    }

    /// Takes one input and returns what is ordered.
    pub fn take(&mut self, now: MonotonicTime, input: ControllerInput) -> Vec<ControllerOutput> {
        let consensus_outputs = self.consensus.expire_leadership(now);
        self.execute(now, consensus_outputs);
        match input {
            ControllerInput::Tick => {
                let consensus_outputs = self.consensus.tick(now);
                self.execute(now, consensus_outputs);
            }
            ControllerInput::Consensus(frame) => {
                let consensus_outputs = self.consensus.receive(now, frame);
                self.execute(now, consensus_outputs);
            }
            ControllerInput::Written(ticket, result) => {
                if result == WriteResult::Failed {
                    self.record_event(EventRecord {
                        event: events::DISK_WRITE_FAILED,
                        detail: json!({}),
                    });
                }
                let consensus_outputs = self.consensus.write_completed(now, ticket, result);
                self.execute(now, consensus_outputs);
            }
            ControllerInput::Stream(stream, frame) => self.handle_stream_frame(now, stream, frame),
            ControllerInput::StreamLost(stream) => {
                self.streams.remove(&stream);
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.stream_lost(stream);
                }
            }
            ControllerInput::Workers(listed_workers) => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.workers_listed(listed_workers);
                }
            }
            ControllerInput::Runners(listed_at, listed_runners) => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.runners_listed(listed_at, &listed_runners);
                }
            }
            ControllerInput::RunnerStopped(runner) => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.runner_stopped(runner);
                }
            }
            ControllerInput::Operate(ticket, operation) => self.operate(now, ticket, operation),
            ControllerInput::CallerDisconnected(ticket) => self.drop_disconnected_caller(ticket),
            ControllerInput::ProcessGone(address) => {
                self.consensus.leader_process_ended(now, address)
            }
            ControllerInput::Seeds(seeds) => self.consensus.update_seeds(seeds),
        }
        self.remember_accepted_view();
        self.progress(now);
        std::mem::take(&mut self.outputs)
    }

    /// Keeps the newest version on this disk among the recent ones; a version that lost to another with its serial
    /// makes room.
    fn remember_accepted_view(&mut self) {
        let Some(document) = self.consensus.accepted() else {
            return;
        };
        if document.document_version == self.recent_document_version {
            return;
        }
        self.recent_document_version = document.document_version;
        let version = document.view_version();
        let is_seen = self
            .recent_views
            .back()
            .is_some_and(|newest| newest.version == version);
        if is_seen && document.hidden_versions > 0 {
            return;
        }
        self.recent_views
            .retain(|earlier| earlier.version < version);
        self.recent_views.push_back(document.view());
        let extra_count = self.recent_views.len().saturating_sub(RETAINED_VIEWS);
        self.recent_views.drain(..extra_count);
    }

    fn handle_stream_frame(&mut self, now: MonotonicTime, stream: StreamId, frame: DaemonToLeader) {
        self.streams.insert(stream);
        match &mut self.leader_state {
            Some(leader_state) => leader_state.receive(now, stream, frame),
            None => {
                let leader = self
                    .consensus
                    .leader()
                    .map_or(SocketAddress::UNSPECIFIED, |controller_address| {
                        controller_address.address
                    });
                self.outputs.push(ControllerOutput::FrameToDaemon(
                    stream,
                    LeaderToDaemon::Redirect { leader },
                ));
                self.outputs.push(ControllerOutput::Close(stream));
                self.streams.remove(&stream);
            }
        }
    }

    fn progress(&mut self, now: MonotonicTime) {
        self.retry_waiting_operations(now);
        self.progress_changes(now);
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if let Some((known_members, complete)) = leader_state.take_known_members() {
            self.consensus.set_members(known_members, complete);
        }
        let consensus = &self.consensus;
        let proof = QuorumProof {
            ready: consensus.is_ready(),
            quorum_confirmed_at: consensus.quorum_confirmed_at(),
            confirmed: &|known_member| consensus.is_confirmed(known_member),
            proposed_membership: consensus.proposed().map(|document| &document.membership),
        };
        for order in leader_state.progress(now, &proof) {
            match order {
                LeaderOutput::FrameToDaemon { stream, frame } => {
                    self.outputs
                        .push(ControllerOutput::FrameToDaemon(stream, frame));
                }
                LeaderOutput::RequestLists => self.outputs.push(ControllerOutput::RequestLists),
                LeaderOutput::StopRunner(order) => {
                    self.outputs.push(ControllerOutput::StopRunner(order));
                }
                LeaderOutput::EventRecord(event_record) => {
                    if event_record.event == events::VERSION_IN_FORCE
                        && let Some(version) = event_record.detail["serial"].as_u64()
                    {
                        self.traces.in_force(now, Version(version));
                    }
                    self.record_event(event_record);
                }
                LeaderOutput::VersionProgress {
                    version,
                    member,
                    step,
                } => {
                    self.traces.step(now, version, member, step);
                }
            }
        }
        self.answer_fulfilled_changes();
        self.propose_membership(now);
        let needs_heartbeat_round = self
            .leader_state
            .as_ref()
            .is_some_and(LeaderState::needs_heartbeat_round)
            || (self.leader_state.is_some() && !self.waiting.is_empty())
            || self.changes.needs_proof();
        if needs_heartbeat_round {
            let consensus_outputs = self.consensus.expedite_heartbeat(now);
            self.execute(now, consensus_outputs);
        }
    }

    /// Names of daemons that joined or are long gone are committed together, after operators' changes
    /// that wait: those take the names along.
    fn propose_membership(&mut self, now: MonotonicTime) {
        let is_free =
            self.consensus.is_ready() && !self.consensus.is_proposing() && self.changes.is_idle();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let Some(membership) = leader_state.due_membership(now).filter(|_| is_free) else {
            return;
        };
        let Some(document) = self.consensus.accepted() else {
            return;
        };
        let next_document = document.with_membership(membership);
        if let Ok(consensus_outputs) = self.consensus.propose(now, next_document) {
            self.execute(now, consensus_outputs);
        }
    }

    fn record_event(&mut self, event_record: EventRecord) {
        let numbered = self.history.add(event_record);
        self.outputs.push(ControllerOutput::EventRecord(numbered));
    }

    fn execute(&mut self, now: MonotonicTime, consensus_outputs: Vec<ConsensusOutput>) {
        for order in consensus_outputs {
            match order {
                ConsensusOutput::Send { to, frame } => {
                    self.outputs.push(ControllerOutput::Send(to, frame))
                }
                ConsensusOutput::Write { ticket, job } => {
                    self.outputs.push(ControllerOutput::Write(ticket, job));
                }
                ConsensusOutput::Campaigning { term } => {
                    let detail = json!({"term": term.0});
                    self.record_event(EventRecord {
                        event: events::ELECTION_STARTED,
                        detail,
                    });
                }
                ConsensusOutput::Elected {
                    term,
                    members,
                    complete,
                } => {
                    self.history.restart(term);
                    let detail = json!({
                        "term": term.0,
                        "surveyor": format!("{:x}", self.consensus.id().0),
                        "last_known": members.len(),
                        "whole": complete,
                    });
                    self.record_event(EventRecord {
                        event: events::LEADER_ELECTED,
                        detail,
                    });
                    let leader_state_timing = self.leader_state_timing.clone();
                    let leader_state =
                        LeaderState::new(leader_state_timing, term, now, members, complete);
                    let leader_state = leader_state.with_earlier_views(self.recent_views.clone());
                    self.leader_state = Some(leader_state.with_rules(self.rules));
                }
                ConsensusOutput::SteppedDown => self.stepped_down(),
                ConsensusOutput::Committed(document) => {
                    let document_version = document.document_version;
                    let detail = json!({"term": document_version.term.0, "serial": document_version.version.0});
                    self.record_event(EventRecord {
                        event: events::VERSION_COMMITTED,
                        detail,
                    });
                    let seen_document_version = DocumentVersion {
                        version: document.view_version(),
                        ..document_version
                    };
                    self.traces.committed(now, seen_document_version);
                    if let Some(leader_state) = &mut self.leader_state {
                        leader_state.committed(document);
                    }
                    self.changes.commit(document_version.version);
                }
                ConsensusOutput::MembershipChange { addresses, settled } => {
                    let addresses: Vec<String> =
                        addresses.iter().map(SocketAddress::to_string).collect();
                    let detail = json!({"core": addresses, "settled": settled});
                    self.record_event(EventRecord {
                        event: events::QUORUM_RECONFIGURING,
                        detail,
                    });
                }
                ConsensusOutput::DiskStalled => {
                    self.record_event(EventRecord {
                        event: events::DISK_STALLED,
                        detail: json!({}),
                    });
                }
            }
        }
    }

    fn stepped_down(&mut self) {
        let detail = json!({"term": self.consensus.term().0});
        self.record_event(EventRecord {
            event: events::LEADER_STEPPED_DOWN,
            detail,
        });
        self.leader_state = None;
        self.drop_changes();
        let leader = self
            .consensus
            .leader()
            .map_or(SocketAddress::UNSPECIFIED, |controller_address| {
                controller_address.address
            });
        for stream in std::mem::take(&mut self.streams) {
            self.outputs.push(ControllerOutput::FrameToDaemon(
                stream,
                LeaderToDaemon::Redirect { leader },
            ));
            self.outputs.push(ControllerOutput::Close(stream));
        }
    }

    fn other_leader(&self) -> Option<ControllerAddress> {
        if self.consensus.is_leader() {
            None
        } else {
            self.consensus.leader()
        }
    }

    fn is_quorum_fresh(&self, now: MonotonicTime) -> bool {
        self.consensus.is_ready()
            && now.since(self.consensus.quorum_confirmed_at()) < self.proof_freshness_limit
    }

    /// Whether a majority still followed this leader in a round that began after this moment.
    fn is_proven_since(&self, now: MonotonicTime, requested_at: MonotonicTime) -> bool {
        self.is_quorum_fresh(now) && self.consensus.quorum_confirmed_at() >= requested_at
    }
}
