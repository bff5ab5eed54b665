use super::changes::AskedChange;
use super::{ControllerOutput, ControllerState};
use crate::core::ProposeFault;
use common::clock::Moment;
use common::frames::Place;
use common::identity::{ChangeId, ControllerId, Serial, Zone};
use common::readers::PathFault;
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
    Whole(SpecRecords),
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
    pub fn is_about_zone(&self) -> bool {
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
        base: Option<Serial>,
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
    AskChange(ChangeId),
    /// List the daemons.
    Members,
    /// List the holders.
    Holders,
    /// List the workers.
    Workers,
    /// List the runners.
    Runners,
    /// Show the core.
    ShowCore,
    /// Found the core.
    Found,
    /// Replace a member of the core by another controller.
    Replace(ControllerId, ControllerId),
    /// Read events from a number on.
    Events(u64),
    /// Show what this controller knows of one version's way; zero for the newest.
    Trace(Serial),
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

impl From<ProposeFault> for Unavailable {
    fn from(fault: ProposeFault) -> Self {
        match fault {
            ProposeFault::NotReady => Self::NotReady,
            ProposeFault::Busy => Self::Busy,
        }
    }
}

/// The answer to an operator.
#[derive(Clone, Debug)]
pub enum OperationReply {
    /// A status and a body, on what only the product's own interface asks.
    Said(u16, Value),
    /// The newest spec.
    Spec {
        /// The document that holds it.
        document: Box<Document>,
        /// The newest serial that is in force everywhere.
        in_force: Serial,
    },
    /// A change is on the disks of a majority.
    Accepted {
        /// Its name.
        change: ChangeId,
        /// The serial it made.
        serial: Serial,
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
        serial: Serial,
        /// The operators' current number.
        number: u64,
    },
    /// A change does not check; nothing was written.
    Invalid(Vec<PathFault>),
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
    NotNow(Unavailable),
    /// The leader answers, reached by operators at this place.
    Elsewhere(Place),
}

const LEADER_PATIENCE: Duration = Duration::from_millis(700);

/// An operator's wish that waits for a leader.
pub struct WaitingOperation {
    pub(super) ticket: OperationTicket,
    operation: Operation,
    asked_at: Moment,
}

impl ControllerState {
    pub(super) fn operate(&mut self, now: Moment, ticket: OperationTicket, operation: Operation) {
        if self.must_wait(now, now, &operation) {
            self.wait_for_leader(now, ticket, operation);
        } else {
            self.operate_now(now, now, ticket, operation);
        }
    }

    pub(super) fn wait_for_leader(
        &mut self,
        asked_at: Moment,
        ticket: OperationTicket,
        operation: Operation,
    ) {
        self.waiting.push_back(WaitingOperation { ticket, operation, asked_at });
    }

    /// A caller that is refused pauses longer each time, so a wish waits a little for a leader.
    /// A reading waits for a majority's proof from after it was asked.
    fn must_wait(&self, now: Moment, asked_at: Moment, operation: &Operation) -> bool {
        match operation {
            Operation::Found
            | Operation::ShowCore
            | Operation::Trace(_)
            | Operation::Metrics
            | Operation::Events(_) => false,
            Operation::Change { .. } => {
                self.leader_state.is_none() && self.leader_elsewhere(now).is_none()
            }
            _ => {
                let must_be_proven = self.rules.keep(Rule::ReadingProven);
                let is_proven = self.is_proven_since(now, asked_at);
                self.leader_elsewhere(now).is_none() && must_be_proven && !is_proven
            }
        }
    }

    pub(super) fn progress_waiting(&mut self, now: Moment) {
        for waiting in std::mem::take(&mut self.waiting) {
            let is_late = now.since(waiting.asked_at) > LEADER_PATIENCE;
            if is_late || !self.must_wait(now, waiting.asked_at, &waiting.operation) {
                self.operate_now(now, waiting.asked_at, waiting.ticket, waiting.operation);
            } else {
                self.waiting.push_back(waiting);
            }
        }
    }

    fn operate_now(
        &mut self,
        now: Moment,
        asked_at: Moment,
        ticket: OperationTicket,
        operation: Operation,
    ) {
        let reply = match operation {
            Operation::Found => self.found(now),
            Operation::Metrics => OperationReply::Said(200, Value::Null),
            Operation::ShowCore => OperationReply::Said(200, self.show_core(now)),
            Operation::Trace(serial) => self.trace(now, serial),
            Operation::Events(first_number) if self.leader_state.is_some() => {
                let listed_events = self.history.from(first_number, 1000);
                OperationReply::Said(200, Value::Array(listed_events))
            }
            other => {
                if let Some(address) = self.leader_elsewhere(now) {
                    OperationReply::Elsewhere(address.operators)
                } else if let Operation::Replace(missing, successor) = other {
                    self.replace(now, missing, successor)
                } else if let Operation::Change { base, numbering, change, kind, wait } = other {
                    if self.leader_state.is_some() {
                        let asked = AskedChange { base, numbering, change, kind, wait };
                        self.queue_change(asked_at, ticket, asked);
                        return;
                    }
                    OperationReply::NotAccepted { reason: Unavailable::NoLeader, change }
                } else {
                    self.report(now, asked_at, other)
                }
            }
        };
        self.outputs.push(ControllerOutput::Operated(ticket, reply));
    }

    fn report(&self, now: Moment, asked_at: Moment, operation: Operation) -> OperationReply {
        let is_sure = self.is_proven_since(now, asked_at) || !self.rules.keep(Rule::ReadingProven);
        let (Some(leader_state), true) = (&self.leader_state, is_sure) else {
            return OperationReply::NotNow(Unavailable::NoLeader);
        };
        let body = match operation {
            Operation::Members => leader_state.report_members(now),
            Operation::Holders => leader_state.report_holders(),
            Operation::Workers => leader_state.report_workers(),
            Operation::Runners => leader_state.report_runners(),
            Operation::AskChange(change) => return self.ask_change(&change),
            _ => {
                let Some(document) = leader_state.document() else {
                    return OperationReply::NotNow(Unavailable::NoDocument);
                };
                return OperationReply::Spec {
                    document: Box::new(document.clone()),
                    in_force: leader_state.in_force(),
                };
            }
        };
        OperationReply::Said(200, body)
    }

    fn found(&mut self, now: Moment) -> OperationReply {
        match self.core.found(now) {
            Ok(orders) => {
                self.obey(now, orders);
                OperationReply::Said(202, json!({"state": "founding"}))
            }
            Err(fault) => OperationReply::Said(409, json!({"error": fault.to_string()})),
        }
    }

    fn replace(
        &mut self,
        now: Moment,
        missing: ControllerId,
        successor: ControllerId,
    ) -> OperationReply {
        match self.core.replace(now, missing, successor) {
            Ok((serial, orders)) => {
                self.obey(now, orders);
                OperationReply::Said(202, json!({"state": "replacing", "serial": serial.0}))
            }
            Err(fault) => OperationReply::Said(409, json!({"error": fault.to_string()})),
        }
    }

    fn show_core(&self, now: Moment) -> Value {
        let core = &self.core;
        let other_rows: Vec<Value> = core
            .others(now)
            .into_iter()
            .map(|(id, address, accepted, is_voter, silent_ms)| {
                json!({
                    "surveyor": format!("{:x}", id.0),
                    "place": address.place.to_string(),
                    "operators": address.operators.to_string(),
                    "accepted": accepted.to_string(),
                    "voter": is_voter,
                    "silent_ms": silent_ms,
                })
            })
            .collect();
        let own_stamp = core.accepted().map(|document| document.stamp.to_string());
        json!({
            "surveyor": format!("{:x}", core.id().0),
            "term": core.term().0,
            "leads": core.is_leader(),
            "ready": core.is_ready(),
            "open": self.leader_state.as_ref().is_some_and(|leader_state| leader_state.is_open()),
            "leader": core.leader().map(|address| address.operators.to_string()),
            "accepted": own_stamp,
            "committed": core.committed().to_string(),
            "others": other_rows,
        })
    }
}
