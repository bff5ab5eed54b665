//! Handles operators' requests: some are answered here, others are redirected to the leader or wait for one.

use super::{
    ControllerOutput, ControllerState, Operation, OperationReply, OperationTicket,
    QuorumChangeError, QuorumStatus, Unavailable,
};
use crate::leader_state::LeaderReport;
use common::clock::MonotonicTime;
use common::identity::ControllerId;
use common::rules::Rule;
use std::time::Duration;

/// How long an operation waits for a leader, or for a majority to confirm this controller as the leader.
const LEADER_WAIT_TIMEOUT: Duration = Duration::from_millis(700);
/// The maximum number of events in one reply.
const MAX_EVENTS_PER_REPLY: usize = 1000;

/// An operation that is waiting for a leader, or for a majority to confirm this controller as the leader.
pub(super) struct WaitingOperation {
    /// The operation to reply to.
    pub ticket: OperationTicket,
    /// The requested operation.
    pub operation: Operation,
    requested_at: MonotonicTime,
}

impl ControllerState {
    /// Handles an operation now, or queues it until there is a leader.
    pub(super) fn handle_operation(
        &mut self,
        now: MonotonicTime,
        ticket: OperationTicket,
        operation: Operation,
    ) {
        if self.is_stopping {
            self.send_reply(ticket, operation.not_handled(Unavailable::Stopping));
        } else if self.must_wait_for_leader(now, now, &operation) {
            self.wait_for_leader(now, ticket, operation);
        } else {
            self.execute_operation(now, now, ticket, operation);
        }
    }

    /// Queues an operation until there is a leader or it times out.
    pub(super) fn wait_for_leader(
        &mut self,
        requested_at: MonotonicTime,
        ticket: OperationTicket,
        operation: Operation,
    ) {
        self.waiting_operations.push_back(WaitingOperation {
            ticket,
            operation,
            requested_at,
        });
    }

    /// Whether an operation must wait for a leader. It waits for a short time instead of being rejected, because a
    /// rejected client backs off longer each time. A read also waits until a majority has confirmed this leader since
    /// the request.
    fn must_wait_for_leader(
        &self,
        now: MonotonicTime,
        requested_at: MonotonicTime,
        operation: &Operation,
    ) -> bool {
        match operation {
            Operation::Bootstrap
            | Operation::ShowQuorum
            | Operation::Trace(_)
            | Operation::Metrics
            | Operation::Events(_) => false,
            Operation::Change(_) => self.leader_state.is_none() && self.other_leader().is_none(),
            _ => {
                let must_be_confirmed = self.rules.enforces(Rule::ReadConfirmedByMajority);
                let is_confirmed = self.is_confirmed_since(now, requested_at);
                self.other_leader().is_none() && must_be_confirmed && !is_confirmed
            }
        }
    }

    /// Handles the operations that no longer have to wait, or that have waited too long.
    pub(super) fn retry_waiting_operations(&mut self, now: MonotonicTime) {
        for waiting in std::mem::take(&mut self.waiting_operations) {
            let is_expired = now.since(waiting.requested_at) > LEADER_WAIT_TIMEOUT;
            if is_expired
                || !self.must_wait_for_leader(now, waiting.requested_at, &waiting.operation)
            {
                self.execute_operation(
                    now,
                    waiting.requested_at,
                    waiting.ticket,
                    waiting.operation,
                );
            } else {
                self.waiting_operations.push_back(waiting);
            }
        }
    }

    fn execute_operation(
        &mut self,
        now: MonotonicTime,
        requested_at: MonotonicTime,
        ticket: OperationTicket,
        operation: Operation,
    ) {
        let reply = match operation {
            Operation::Bootstrap => Some(self.bootstrap(now)),
            Operation::Metrics => Some(OperationReply::MetricsUpdated),
            Operation::ShowQuorum => {
                Some(OperationReply::Quorum(Box::new(self.quorum_status(now))))
            }
            Operation::Trace(version) => {
                Some(OperationReply::Trace(self.trace_report(now, version)))
            }
            Operation::Events(first_number) if self.leader_state.is_some() => {
                let entries = self
                    .history
                    .entries_from(first_number, MAX_EVENTS_PER_REPLY);
                Some(OperationReply::Events(entries))
            }
            other => self.execute_as_leader(now, requested_at, ticket, other),
        };
        if let Some(reply) = reply {
            self.outputs
                .push(ControllerOutput::OperatorReply(ticket, reply));
        }
    }

    /// Handles an operation that requires the leader. Returns `None` for a change, which is queued and replied to
    /// later.
    fn execute_as_leader(
        &mut self,
        now: MonotonicTime,
        requested_at: MonotonicTime,
        ticket: OperationTicket,
        operation: Operation,
    ) -> Option<OperationReply> {
        if let Some(controller_address) = self.other_leader() {
            return Some(OperationReply::Redirect(
                controller_address.operator_address,
            ));
        }
        match operation {
            Operation::Replace(missing, successor) => Some(self.replace(now, missing, successor)),
            Operation::Change(request) if self.leader_state.is_none() => {
                Some(OperationReply::NotAccepted {
                    reason: Unavailable::NoLeader,
                    change: request.change,
                })
            }
            Operation::Change(request) => {
                self.queue_change(requested_at, ticket, request);
                None
            }
            other => Some(self.report(now, requested_at, other)),
        }
    }

    fn report(
        &self,
        now: MonotonicTime,
        requested_at: MonotonicTime,
        operation: Operation,
    ) -> OperationReply {
        let is_confirmed = self.is_confirmed_since(now, requested_at)
            || !self.rules.enforces(Rule::ReadConfirmedByMajority);
        let (Some(leader_state), true) = (&self.leader_state, is_confirmed) else {
            return OperationReply::TemporarilyUnavailable(Unavailable::NoLeader);
        };
        let report = match operation {
            Operation::Members => LeaderReport::Members(leader_state.report_members(now)),
            Operation::Holders => LeaderReport::Holders(leader_state.report_holders()),
            Operation::Workers => LeaderReport::Workers(leader_state.report_workers()),
            Operation::Runners => LeaderReport::Runners(leader_state.report_runners()),
            Operation::ChangeStatus(change) => return self.report_change_status(&change),
            _ => {
                let Some(document) = leader_state.document() else {
                    return OperationReply::TemporarilyUnavailable(Unavailable::NoDocument);
                };
                return OperationReply::Spec {
                    document: Box::new(document.clone()),
                    in_force: leader_state.in_force(),
                };
            }
        };
        OperationReply::LeaderReport(report)
    }

    fn bootstrap(&mut self, now: MonotonicTime) -> OperationReply {
        match self.consensus.bootstrap(now) {
            Ok(consensus_outputs) => {
                self.execute(now, consensus_outputs);
                OperationReply::Bootstrapping
            }
            Err(error) => OperationReply::QuorumChangeRejected(QuorumChangeError::from(error)),
        }
    }

    fn replace(
        &mut self,
        now: MonotonicTime,
        missing: ControllerId,
        successor: ControllerId,
    ) -> OperationReply {
        match self.consensus.replace_voter(now, missing, successor) {
            Ok((version, consensus_outputs)) => {
                self.execute(now, consensus_outputs);
                OperationReply::ReplacingVoter { version }
            }
            Err(error) => OperationReply::QuorumChangeRejected(QuorumChangeError::from(error)),
        }
    }

    fn quorum_status(&self, now: MonotonicTime) -> QuorumStatus {
        let consensus = &self.consensus;
        let peers = consensus.peers(now);
        QuorumStatus {
            id: consensus.id(),
            term: consensus.term(),
            is_leader: consensus.is_leader(),
            is_ready: consensus.is_ready(),
            is_open: self
                .leader_state
                .as_ref()
                .is_some_and(|leader_state| leader_state.is_claims_quorum_reached()),
            leader: consensus
                .leader()
                .map(|controller_address| controller_address.operator_address),
            accepted: consensus
                .accepted()
                .map(|document| document.document_version),
            committed: consensus.committed(),
            peers,
        }
    }
}
