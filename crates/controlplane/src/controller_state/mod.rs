//! The state machine of a complete controller, free of I/O. It combines the consensus node, the leader state (while the
//! controller is the leader) and operators' requests. A driver passes it each [`ControllerInput`] and carries out the
//! [`ControllerOutput`]s that it returns.

mod change_evaluation;
mod changes;
mod consensus_outputs;
mod content;
mod event_records;
mod history;
mod io;
mod operation;
mod operations;
mod pending_changes;
mod reply;
mod shutdown;
mod traces;

pub use content::derive_change_id;
pub use history::{EventEntry, NumberedEvent};
pub use io::{ControllerInput, ControllerOutput};
pub use operation::{
    ChangeKind, ChangeRequest, ItemChange, Numbering, Operation, OperationTicket, Wait,
};
pub use reply::{
    MemberProgress, MemberTraceReport, OperationReply, QuorumChangeError, QuorumStatus,
    TraceReport, Unavailable, UnrecordedChange, VersionTraceReport,
};

use crate::consensus::{ConsensusNode, ControllerAddress, WriteResult};
use crate::leader_state::{
    EventDetail, LeaderOutput, LeaderState, LeaderTiming, QuorumConfirmation, RETAINED_VIEWS,
    StreamId,
};
use common::clock::MonotonicTime;
use common::events;
use common::frames::{DaemonToLeader, LeaderToDaemon, SocketAddress};
use common::identity::{DocumentVersion, Ticket};
use common::rules::Rules;
use common::spec::DaemonView;
use history::EventLog;
use operations::WaitingOperation;
use pending_changes::PendingChanges;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;
use traces::Traces;

/// The maximum time until the next tick of a leader.
const LEADER_TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The same while the leader has work that is due within milliseconds.
const URGENT_TICK_INTERVAL: Duration = Duration::from_millis(10);
/// The maximum time until the next tick of another controller at which operations wait for a leader.
const WAITING_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The same if no operation waits.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(500);

/// The state of a controller.
pub struct ControllerState {
    consensus: ConsensusNode,
    leader_state: Option<LeaderState>,
    leader_state_timing: LeaderTiming,
    confirmation_validity: Duration,
    streams: BTreeSet<StreamId>,
    history: EventLog,
    pending_changes: PendingChanges,
    waiting_operations: VecDeque<WaitingOperation>,
    traces: Traces,
    /// The most recent versions on this controller's disk, whether committed or not. A leader sends only a delta to a
    /// daemon that has one of them installed.
    recent_views: VecDeque<DaemonView>,
    recent_document_version: DocumentVersion,
    /// Whether the process is shutting down, so that no further operations are handled.
    is_stopping: bool,
    rules: Rules,
    outputs: Vec<ControllerOutput>,
}

impl ControllerState {
    /// Returns a controller with this consensus node. Its leadership counts as confirmed for `confirmation_validity`
    /// after the start of a heartbeat round that a majority answered.
    pub fn new(
        consensus: ConsensusNode,
        leader_state_timing: LeaderTiming,
        confirmation_validity: Duration,
    ) -> Self {
        Self {
            consensus,
            leader_state: None,
            leader_state_timing,
            confirmation_validity,
            streams: BTreeSet::new(),
            history: EventLog::default(),
            pending_changes: PendingChanges::default(),
            waiting_operations: VecDeque::new(),
            traces: Traces::default(),
            recent_views: VecDeque::new(),
            recent_document_version: DocumentVersion::default(),
            is_stopping: false,
            rules: Rules::ALL_ENFORCED,
            outputs: Vec::new(),
        }
    }

    /// Sets the rules to enforce. Tests lift a rule to verify that their checks detect its absence.
    pub fn with_rules(mut self, rules: Rules) -> Self {
        self.rules = rules;
        self
    }

    /// Returns the consensus node.
    pub fn consensus(&self) -> &ConsensusNode {
        &self.consensus
    }

    /// Returns the leader state, or `None` if this controller is not the leader.
    pub fn leader_state(&self) -> Option<&LeaderState> {
        self.leader_state.as_ref()
    }

    /// Returns the number of the newest event.
    pub fn newest_event(&self) -> u64 {
        self.history.newest()
    }

    /// Returns the time at which the next tick is due if no other input arrives first.
    pub fn next_due(&self, now: MonotonicTime) -> MonotonicTime {
        let max_interval = match (&self.leader_state, self.waiting_operations.is_empty()) {
            (Some(leader_state), _) if leader_state.is_time_critical() => URGENT_TICK_INTERVAL,
            (Some(_), _) => LEADER_TICK_INTERVAL,
            (None, false) => WAITING_TICK_INTERVAL,
            (None, true) => IDLE_TICK_INTERVAL,
        };
        self.consensus.next_due().min(now + max_interval)
    }

    /// Handles one input and returns the outputs, which must be carried out in order.
    pub fn handle_input(
        &mut self,
        now: MonotonicTime,
        input: ControllerInput,
    ) -> Vec<ControllerOutput> {
        let consensus_outputs = self.consensus.expire_leadership(now);
        self.execute(now, consensus_outputs);
        self.dispatch_input(now, input);
        self.retain_accepted_view();
        self.progress(now);
        std::mem::take(&mut self.outputs)
    }

    fn dispatch_input(&mut self, now: MonotonicTime, input: ControllerInput) {
        match input {
            ControllerInput::Tick => {
                let consensus_outputs = self.consensus.tick(now);
                self.execute(now, consensus_outputs);
            }
            ControllerInput::Consensus(frame) => {
                let consensus_outputs = self.consensus.handle_frame(now, frame);
                self.execute(now, consensus_outputs);
            }
            ControllerInput::WriteCompleted(ticket, result) => {
                self.handle_write_completed(now, ticket, result)
            }
            ControllerInput::DaemonFrame(stream, frame) => {
                self.handle_stream_frame(now, stream, frame)
            }
            ControllerInput::OperatorRequest(ticket, operation) => {
                self.handle_operation(now, ticket, operation)
            }
            ControllerInput::CallerDisconnected(ticket) => self.drop_disconnected_caller(ticket),
            ControllerInput::ProcessExited(address) => {
                self.consensus.handle_leader_process_ended(now, address);
            }
            ControllerInput::Seeds(seeds) => self.consensus.update_seeds(seeds),
            ControllerInput::Stop => self.stop(),
            ControllerInput::StreamLost(stream) => {
                self.streams.remove(&stream);
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.handle_stream_lost(stream);
                }
            }
            ControllerInput::Workers(listed_workers) => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.handle_worker_list(listed_workers);
                }
            }
            ControllerInput::Runners(listed_at, listed_runners) => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.handle_runner_list(listed_at, &listed_runners);
                }
            }
            ControllerInput::RunnerStopped(runner) => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.handle_runner_stopped(runner);
                }
            }
        }
    }

    fn handle_write_completed(&mut self, now: MonotonicTime, ticket: Ticket, result: WriteResult) {
        if result == WriteResult::Failed {
            self.record_event(event_records::disk_write_failed());
        }
        let consensus_outputs = self.consensus.handle_write_completed(now, ticket, result);
        self.execute(now, consensus_outputs);
    }

    /// Adds the newest version on this controller's disk to the recent views. A view that was superseded by another one
    /// with the same version number is removed.
    fn retain_accepted_view(&mut self) {
        let Some(document) = self.consensus.accepted() else {
            return;
        };
        if document.document_version == self.recent_document_version {
            return;
        }
        self.recent_document_version = document.document_version;
        let version = document.view_version();
        let is_retained = self
            .recent_views
            .back()
            .is_some_and(|newest| newest.version == version);
        if is_retained && document.hidden_versions > 0 {
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
            Some(leader_state) => leader_state.handle_frame(now, stream, frame),
            None => {
                self.redirect_daemon(stream);
                self.streams.remove(&stream);
            }
        }
    }

    /// Redirects a daemon to the leader and closes the daemon's stream. If no leader is known, the redirect has an
    /// unspecified address.
    fn redirect_daemon(&mut self, stream: StreamId) {
        let leader = self
            .consensus
            .leader()
            .map_or(SocketAddress::UNSPECIFIED, |controller_address| {
                controller_address.address
            });
        let frame = LeaderToDaemon::Redirect { leader };
        self.outputs
            .push(ControllerOutput::FrameToDaemon(stream, frame));
        self.outputs.push(ControllerOutput::CloseStream(stream));
    }

    /// Advances what the last input may have unblocked: waiting operations and changes, then the leader's own work.
    fn progress(&mut self, now: MonotonicTime) {
        self.retry_waiting_operations(now);
        self.progress_changes(now);
        if self.leader_state.is_none() {
            return;
        }
        self.progress_leader_state(now);
        self.reply_to_fulfilled_changes();
        self.propose_membership(now);
        if self.needs_heartbeat_round() {
            let consensus_outputs = self.consensus.expedite_heartbeat(now);
            self.execute(now, consensus_outputs);
        }
    }

    fn progress_leader_state(&mut self, now: MonotonicTime) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if let Some(known_members) = leader_state.take_known_members() {
            self.consensus.set_members(known_members);
        }
        let consensus = &self.consensus;
        let confirmation = QuorumConfirmation {
            ready: consensus.is_ready(),
            quorum_confirmed_at: consensus.quorum_confirmed_at(),
            is_member_confirmed: &|known_member| consensus.is_member_confirmed(known_member),
            proposed_membership: consensus.proposed().map(|document| &document.membership),
        };
        for output in leader_state.progress(now, &confirmation) {
            self.execute_leader_output(now, output);
        }
    }

    fn execute_leader_output(&mut self, now: MonotonicTime, output: LeaderOutput) {
        match output {
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
                    && let EventDetail::Version { version } = event_record.detail
                {
                    self.traces.record_in_force(now, version);
                }
                self.record_event(event_record);
            }
            LeaderOutput::VersionProgress {
                version,
                member,
                step,
            } => self.traces.record_step(now, version, member, step),
        }
    }

    /// Whether something is waiting for a majority to confirm this leader.
    fn needs_heartbeat_round(&self) -> bool {
        self.leader_state.as_ref().is_some_and(|leader_state| {
            leader_state.needs_heartbeat_round() || !self.waiting_operations.is_empty()
        }) || self.pending_changes.needs_confirmation()
    }

    /// Proposes all pending changes of the daemons' membership at once. While an operator's change is queued, it
    /// proposes nothing, because that change will include the new membership.
    fn propose_membership(&mut self, now: MonotonicTime) {
        let can_propose = self.consensus.is_ready()
            && !self.consensus.is_proposing()
            && self.pending_changes.is_idle();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let Some(membership) = leader_state.due_membership(now).filter(|_| can_propose) else {
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

    fn other_leader(&self) -> Option<ControllerAddress> {
        if self.consensus.is_leader() {
            None
        } else {
            self.consensus.leader()
        }
    }

    fn is_recently_confirmed(&self, now: MonotonicTime) -> bool {
        self.consensus.is_ready()
            && now.since(self.consensus.quorum_confirmed_at()) < self.confirmation_validity
    }

    /// Whether a majority has confirmed this leader recently, in a heartbeat round that began at or after
    /// `requested_at`.
    fn is_confirmed_since(&self, now: MonotonicTime, requested_at: MonotonicTime) -> bool {
        self.is_recently_confirmed(now) && self.consensus.quorum_confirmed_at() >= requested_at
    }
}
