use super::pending_changes::ChangeRequest;
use super::{ControllerOutput, ControllerState};
use crate::consensus::ProposeError;
use common::clock::MonotonicTime;
use common::frames::SocketAddress;
use common::identity::{ChangeId, ControllerId, Version, Zone};
use common::readers::PathError;
use common::rules::Rule;
use common::spec::{Document, SpecRecords};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Names one operator's wish in this process.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct OperationTicket(pub u64);

/// The operators' own number of a spec, and of the one it is built on.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Numbering {
    /// The number it is to have; above the current one.
    pub number: u64,
    /// The number of the spec it is built on; zero before the first.
    pub base_number: u64,
}

/// A change by naming items: what is put stands whole in the place of what had its name, and to
/// remove what is not there is no fault.
#[derive(Clone, Debug, Default)]
pub struct ItemChange {
    /// The functions put, by name.
    pub put_functions: BTreeMap<String, Value>,
    /// The functions removed.
    pub remove_functions: BTreeSet<String>,
    /// The routes put, by name.
    pub put_routes: BTreeMap<String, Value>,
    /// The routes removed.
    pub remove_routes: BTreeSet<String>,
    /// The callers' limits, if they change.
    pub limits: Option<Value>,
    /// What is kept with the whole spec and never read, if it changes.
    pub labels: Option<Value>,
}

/// What a change does.
#[derive(Clone, Debug)]
pub enum ChangeKind {
    /// A whole spec.
    FullSpec(SpecRecords),
    /// A JSON merge patch.
    Patch(Value),
    /// Named items.
    Items(Box<ItemChange>),
    /// Empties a zone.
    Evacuate {
        /// Which one.
        zone: Zone,
        /// Even if it is the last one.
        force: bool,
    },
    /// Brings a zone back.
    Restore {
        /// Which one.
        zone: Zone,
    },
}

impl ChangeKind {
    /// Whether it evacuates a zone or brings one back.
    pub fn is_zone_change(&self) -> bool {
        matches!(self, Self::Evacuate { .. } | Self::Restore { .. })
    }
}

/// What an operator waits for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Wait {
    /// Until it is accepted.
    Accepted,
    /// Until it is in force everywhere.
    InForce,
}

/// What an operator wishes.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Read the spec.
    ReadSpec,
    /// Change it.
    Change {
        /// The serial it is built on.
        base: Option<Version>,
        /// The operators' own numbers, if they number it.
        numbering: Option<Numbering>,
        /// The operator's name for it; without one it is known by what it says.
        change: Option<ChangeId>,
        /// What it does.
        kind: ChangeKind,
        /// What to wait for.
        wait: Wait,
    },
    /// Ask what became of a change.
    ChangeStatus(ChangeId),
    /// List the daemons.
    Members,
    /// List the holders.
    Holders,
    /// List the workers.
    Workers,
    /// List the runners.
    Runners,
    /// Show the core.
    ShowQuorum,
    /// Found the core.
    Bootstrap,
    /// Replace a member of the core by another controller.
    Replace(ControllerId, ControllerId),
    /// Read events from a number on.
    Events(u64),
    /// Show what this controller knows of one version's way; zero for the newest.
    Trace(Version),
    /// Show the metrics.
    Metrics,
}

/// Why an operator gets no clear answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Unavailable {
    /// Nobody is known to lead.
    NoLeader,
    /// The leader is not sure of a majority.
    NoQuorum,
    /// There is no document yet.
    NoDocument,
    /// This controller does not lead, or has not yet committed under its term.
    NotReady,
    /// Another change is in flight.
    Busy,
    /// The order may have been taken so long ago that nobody remembers.
    Forgotten,
    /// The leader cannot be reached; nothing was sent to it.
    LeaderUnreachable,
    /// The leader was asked and did not answer.
    LeaderLost,
    /// The request cannot be passed on.
    BadRequest,
    /// This process is stopping.
    Stopping,
}

impl Unavailable {
    /// The reason as operators read it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoLeader => "no_leader",
            Self::NoQuorum => "no_quorum",
            Self::NoDocument => "no_document",
            Self::NotReady => "no ready leader here",
            Self::Busy => "another change is in flight",
            Self::Forgotten => "forgotten",
            Self::LeaderUnreachable => "leader_unreachable",
            Self::LeaderLost => "leader_lost",
            Self::BadRequest => "bad_request",
            Self::Stopping => "stopping",
        }
    }
}

impl From<ProposeError> for Unavailable {
    fn from(error: ProposeError) -> Self {
        match error {
            ProposeError::NotReady => Self::NotReady,
            ProposeError::Busy => Self::Busy,
        }
    }
}

/// The answer to an operator.
#[derive(Clone, Debug)]
pub enum OperationReply {
    /// A status and a body, on what only the product's own interface asks.
    StatusAndBody(u16, Value),
    /// The newest spec.
    Spec {
        /// The document that holds it.
        document: Box<Document>,
        /// The newest serial that is in force everywhere.
        in_force: Version,
    },
    /// A change is on the disks of a majority.
    Accepted {
        /// Its name.
        change: ChangeId,
        /// The serial it made.
        version: Version,
        /// The operators' number; zero if they gave none.
        number: u64,
        /// Whether it is in force everywhere.
        in_force: bool,
    },
    /// Another spec is current than the one a change is built on; nothing was written.
    Stale {
        /// The change's name.
        change: ChangeId,
        /// The current serial.
        version: Version,
        /// The operators' current number.
        number: u64,
    },
    /// A change does not check; nothing was written.
    Invalid(Vec<PathError>),
    /// There is no such zone; nothing was written.
    NoZone {
        /// The zone asked for.
        zone: Zone,
        /// Those that are known.
        known: BTreeSet<Zone>,
    },
    /// No zone would be left; nothing was written.
    LastZone,
    /// A change surely did not happen and will not.
    NotAccepted {
        /// Why.
        reason: Unavailable,
        /// Its name, if it is known here.
        change: Option<ChangeId>,
    },
    /// A change may have happened, or may yet.
    Unknown {
        /// Why.
        reason: Unavailable,
        /// Its name, if it is known here.
        change: Option<ChangeId>,
    },
    /// Nothing can be told now.
    TemporarilyUnavailable(Unavailable),
    /// The leader answers, reached by operators at this place.
    Redirect(SocketAddress),
}

const LEADER_WAIT_TIMEOUT: Duration = Duration::from_millis(700);

/// An operator's wish that waits for a leader.
pub struct WaitingOperation {
    pub(super) ticket: OperationTicket,
    operation: Operation,
    requested_at: MonotonicTime,
}

impl ControllerState {
    pub(super) fn operate(
        &mut self,
        now: MonotonicTime,
        ticket: OperationTicket,
        operation: Operation,
    ) {
        if self.must_wait_for_leader(now, now, &operation) {
            self.wait_for_leader(now, ticket, operation);
        } else {
            self.operate_now(now, now, ticket, operation);
        }
    }

    pub(super) fn wait_for_leader(
        &mut self,
        requested_at: MonotonicTime,
        ticket: OperationTicket,
        operation: Operation,
    ) {
        self.waiting.push_back(WaitingOperation {
            ticket,
            operation,
            requested_at,
        });
    }

    /// A caller that is refused pauses longer each time, so a wish waits a little for a leader.
    /// A reading waits for a majority's proof from after it was asked.
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
            Operation::Change { .. } => {
                self.leader_state.is_none() && self.other_leader().is_none()
            }
            _ => {
                let must_be_proven = self.rules.enforces(Rule::ReadConfirmedByMajority);
                let is_proven = self.is_proven_since(now, requested_at);
                self.other_leader().is_none() && must_be_proven && !is_proven
            }
        }
    }

    pub(super) fn retry_waiting_operations(&mut self, now: MonotonicTime) {
        for waiting in std::mem::take(&mut self.waiting) {
            let is_expired = now.since(waiting.requested_at) > LEADER_WAIT_TIMEOUT;
            if is_expired
                || !self.must_wait_for_leader(now, waiting.requested_at, &waiting.operation)
            {
                self.operate_now(now, waiting.requested_at, waiting.ticket, waiting.operation);
            } else {
                self.waiting.push_back(waiting);
            }
        }
    }

    fn operate_now(
        &mut self,
        now: MonotonicTime,
        requested_at: MonotonicTime,
        ticket: OperationTicket,
        operation: Operation,
    ) {
        let reply = match operation {
            Operation::Bootstrap => self.bootstrap(now),
            Operation::Metrics => OperationReply::StatusAndBody(200, Value::Null),
            Operation::ShowQuorum => OperationReply::StatusAndBody(200, self.show_quorum(now)),
            Operation::Trace(version) => self.trace(now, version),
            Operation::Events(first_number) if self.leader_state.is_some() => {
                let listed_events = self.history.from(first_number, 1000);
                OperationReply::StatusAndBody(200, Value::Array(listed_events))
            }
            other => {
                if let Some(controller_address) = self.other_leader() {
                    OperationReply::Redirect(controller_address.operators)
                } else if let Operation::Replace(missing, successor) = other {
                    self.replace(now, missing, successor)
                } else if let Operation::Change {
                    base,
                    numbering,
                    change,
                    kind,
                    wait,
                } = other
                {
                    if self.leader_state.is_some() {
                        let requested = ChangeRequest {
                            base,
                            numbering,
                            change,
                            kind,
                            wait,
                        };
                        self.queue_change(requested_at, ticket, requested);
                        return;
                    }
                    OperationReply::NotAccepted {
                        reason: Unavailable::NoLeader,
                        change,
                    }
                } else {
                    self.report(now, requested_at, other)
                }
            }
        };
        self.outputs
            .push(ControllerOutput::OperatorReply(ticket, reply));
    }

    fn report(
        &self,
        now: MonotonicTime,
        requested_at: MonotonicTime,
        operation: Operation,
    ) -> OperationReply {
        let is_sure = self.is_proven_since(now, requested_at)
            || !self.rules.enforces(Rule::ReadConfirmedByMajority);
        let (Some(leader_state), true) = (&self.leader_state, is_sure) else {
            return OperationReply::TemporarilyUnavailable(Unavailable::NoLeader);
        };
        let body = match operation {
            Operation::Members => leader_state.report_members(now),
            Operation::Holders => leader_state.report_holders(),
            Operation::Workers => leader_state.report_workers(),
            Operation::Runners => leader_state.report_runners(),
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
        OperationReply::StatusAndBody(200, body)
    }

    fn bootstrap(&mut self, now: MonotonicTime) -> OperationReply {
        match self.consensus.bootstrap(now) {
            Ok(consensus_outputs) => {
                self.execute(now, consensus_outputs);
                OperationReply::StatusAndBody(202, json!({"state": "founding"}))
            }
            Err(error) => OperationReply::StatusAndBody(409, json!({"error": error.to_string()})),
        }
    }

    fn replace(
        &mut self,
        now: MonotonicTime,
        missing: ControllerId,
        successor: ControllerId,
    ) -> OperationReply {
        match self.consensus.replace(now, missing, successor) {
            Ok((version, consensus_outputs)) => {
                self.execute(now, consensus_outputs);
                OperationReply::StatusAndBody(
                    202,
                    json!({"state": "replacing", "serial": version.0}),
                )
            }
            Err(error) => OperationReply::StatusAndBody(409, json!({"error": error.to_string()})),
        }
    }

    fn show_quorum(&self, now: MonotonicTime) -> Value {
        let consensus = &self.consensus;
        let peer_rows: Vec<Value> = consensus
            .peers(now)
            .into_iter()
            .map(|(id, controller_address, accepted, is_voter, silent_ms)| {
                json!({
                    "surveyor": format!("{:x}", id.0),
                    "place": controller_address.address.to_string(),
                    "operators": controller_address.operators.to_string(),
                    "accepted": accepted.to_string(),
                    "voter": is_voter,
                    "silent_ms": silent_ms,
                })
            })
            .collect();
        let own_document_version = consensus
            .accepted()
            .map(|document| document.document_version.to_string());
        json!({
            "surveyor": format!("{:x}", consensus.id().0),
            "term": consensus.term().0,
            "leads": consensus.is_leader(),
            "ready": consensus.is_ready(),
            "open": self.leader_state.as_ref().is_some_and(|leader_state| leader_state.is_open()),
            "leader": consensus.leader().map(|controller_address| controller_address.operators.to_string()),
            "accepted": own_document_version,
            "committed": consensus.committed().to_string(),
            "others": peer_rows,
        })
    }
}
