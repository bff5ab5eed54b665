//! Carries out the outputs of the consensus node.

use super::{ControllerOutput, ControllerState, event_records};
use crate::consensus::ConsensusOutput;
use crate::leader_state::{EventRecord, LeaderState};
use common::clock::MonotonicTime;
use common::frames::KnownMember;
use common::identity::{DocumentVersion, Term};
use common::spec::Document;
use std::collections::BTreeSet;

impl ControllerState {
    /// Carries out the outputs of the consensus node in order.
    pub(super) fn execute(&mut self, now: MonotonicTime, consensus_outputs: Vec<ConsensusOutput>) {
        for output in consensus_outputs {
            match output {
                ConsensusOutput::Send { to, frame } => {
                    self.outputs.push(ControllerOutput::Send(to, frame));
                }
                ConsensusOutput::Write { ticket, job } => {
                    self.outputs.push(ControllerOutput::Write(ticket, job));
                }
                ConsensusOutput::Campaigning { term } => {
                    self.record_event(event_records::election_started(term));
                }
                ConsensusOutput::Elected {
                    term,
                    members,
                    complete,
                } => self.handle_elected(now, term, members, complete),
                ConsensusOutput::SteppedDown => self.handle_stepped_down(),
                ConsensusOutput::Committed(document) => self.handle_committed(now, document),
                ConsensusOutput::MembershipChange { addresses, settled } => {
                    self.record_event(event_records::quorum_reconfiguring(addresses, settled));
                }
                ConsensusOutput::DiskStalled => self.record_event(event_records::disk_stalled()),
            }
        }
    }

    /// Numbers an event, adds it to the log and outputs it.
    pub(super) fn record_event(&mut self, event_record: EventRecord) {
        let numbered = self.history.append(event_record);
        self.outputs.push(ControllerOutput::EventRecorded(numbered));
    }

    fn handle_elected(
        &mut self,
        now: MonotonicTime,
        term: Term,
        known_members: BTreeSet<KnownMember>,
        complete: bool,
    ) {
        self.history.begin_term(term);
        let controller = self.consensus.id();
        let known_count = known_members.len();
        let event_record = event_records::leader_elected(term, controller, known_count, complete);
        self.record_event(event_record);
        let timing = self.leader_state_timing.clone();
        let leader_state = LeaderState::new(timing, term, now, known_members, complete)
            .with_earlier_views(self.recent_views.clone())
            .with_rules(self.rules);
        self.leader_state = Some(leader_state);
    }

    fn handle_committed(&mut self, now: MonotonicTime, document: Document) {
        let committed_version = document.document_version;
        self.record_event(event_records::version_committed(committed_version));
        let view_version = DocumentVersion {
            version: document.view_version(),
            ..committed_version
        };
        self.traces.record_committed(now, view_version);
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.handle_committed(document);
        }
        self.pending_changes
            .mark_committed(committed_version.version);
    }

    fn handle_stepped_down(&mut self) {
        self.record_event(event_records::leader_stepped_down(self.consensus.term()));
        self.leader_state = None;
        self.resolve_changes_on_step_down();
        for stream in std::mem::take(&mut self.streams) {
            self.redirect_daemon(stream);
        }
    }
}
