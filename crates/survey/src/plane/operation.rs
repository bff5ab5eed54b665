use super::{Plane, PlaneOutput};
use serde_json::{Value, json};
use waymark::clock::Moment;
use waymark::frames::Place;
use waymark::identity::{ChangeId, Locality, Serial, SurveyorId};

/// Names one operator's wish in this process.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct OperationTicket(pub u64);

/// What a change does.
#[derive(Clone, Debug)]
pub enum ChangeKind {
    /// A whole spec.
    Whole(Value),
    /// A JSON merge patch.
    Patch(Value),
    /// Empties a locality.
    Evacuate {
        /// Which one.
        locality: Locality,
        /// Even if it is the last one.
        force: bool,
    },
    /// Brings a locality back.
    Restore {
        /// Which one.
        locality: Locality,
    },
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
        /// The operator's name for it.
        change: ChangeId,
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
    /// Replace a member of the core by another surveyor.
    Replace(SurveyorId, SurveyorId),
    /// Read events from a number on.
    Events(u64),
    /// Show what this surveyor knows of one version's way; zero for the newest.
    Trace(Serial),
}

/// The answer to an operator.
#[derive(Clone, Debug)]
pub enum OperationReply {
    /// A status and a body.
    Said(u16, Value),
    /// The leader at this place answers.
    Elsewhere(Place),
}

impl Plane {
    pub(super) fn operate(&mut self, now: Moment, ticket: OperationTicket, operation: Operation) {
        let reply = match operation {
            Operation::Found => self.found(now),
            Operation::ShowCore => OperationReply::Said(200, self.show_core(now)),
            Operation::Trace(serial) => self.trace(now, serial),
            Operation::Events(first_number) if self.desk.is_some() => {
                let listed_events = self.history.from(first_number, 1000);
                OperationReply::Said(200, Value::Array(listed_events))
            }
            other => {
                if let Some(address) = self.leader_elsewhere() {
                    OperationReply::Elsewhere(address.operators)
                } else if let Operation::Replace(missing, successor) = other {
                    self.replace(now, missing, successor)
                } else if let Operation::Change { base, change, kind, wait } = other {
                    if self.desk.is_some() {
                        self.queue_change(now, ticket, base, change, kind, wait);
                        return;
                    }
                    let body = json!({"error": "no_leader", "state": "not_accepted", "change_id": change.as_str()});
                    OperationReply::Said(503, body)
                } else {
                    self.report(now, other)
                }
            }
        };
        self.outputs.push(PlaneOutput::Operated(ticket, reply));
    }

    fn report(&self, now: Moment, operation: Operation) -> OperationReply {
        let (Some(desk), true) = (&self.desk, self.is_fresh(now)) else {
            return OperationReply::Said(503, json!({"error": "no_leader"}));
        };
        let body = match operation {
            Operation::Members => desk.report_members(now),
            Operation::Holders => desk.report_holders(),
            Operation::Workers => desk.report_workers(),
            Operation::Runners => desk.report_runners(),
            Operation::AskChange(change) => return self.ask_change(&change),
            _ => {
                let Some(document) = desk.document() else {
                    return OperationReply::Said(503, json!({"error": "no_document"}));
                };
                json!({
                    "serial": document.stamp.serial.0,
                    "in_force": desk.in_force().0,
                    "spec": document.spec,
                    "evacuated": document.evacuated.iter().map(|held| held.as_str()).collect::<Vec<_>>(),
                })
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
        missing: SurveyorId,
        successor: SurveyorId,
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
            "open": self.desk.as_ref().is_some_and(|desk| desk.is_open()),
            "leader": core.leader().map(|address| address.operators.to_string()),
            "accepted": own_stamp,
            "committed": core.committed().to_string(),
            "others": other_rows,
        })
    }
}
