use super::{ChangeKind, OperationReply, OperationTicket, Plane, PlaneOutput, Wait};
use serde_json::{Value, json};
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;
use waymark::clock::Moment;
use waymark::identity::{ChangeId, Locality, Serial};
use waymark::readers::PathFault;
use waymark::rules::Rule;
use waymark::spec::{Document, Spec, read_spec};

const CHANGE_PATIENCE: Duration = Duration::from_secs(3);
const FORCE_PATIENCE: Duration = Duration::from_secs(10);

struct QueuedChange {
    ticket: OperationTicket,
    base: Option<Serial>,
    change: ChangeId,
    kind: ChangeKind,
    wait: Wait,
    asked_at: Moment,
}

struct Waiter {
    ticket: OperationTicket,
    change: ChangeId,
    serial: Serial,
    wait: Wait,
    asked_at: Moment,
}

/// Operators' changes on their way.
#[derive(Default)]
pub struct Changes {
    inbox: VecDeque<QueuedChange>,
    in_flight: Vec<Waiter>,
    accepted: Vec<Waiter>,
}

fn said_accepted(change: &ChangeId, serial: Serial, state: &str) -> OperationReply {
    let body = json!({"state": state, "serial": serial.0, "change_id": change.as_str()});
    OperationReply::Said(200, body)
}

fn said_invalid(faults: &[PathFault]) -> OperationReply {
    let fault_rows: Vec<Value> = faults
        .iter()
        .map(|fault| json!({"path": fault.path, "reason": fault.reason.to_string()}))
        .collect();
    OperationReply::Said(
        422,
        json!({"error": "invalid", "state": "not_accepted", "faults": fault_rows}),
    )
}

impl Plane {
    pub(super) fn queue_change(
        &mut self,
        now: Moment,
        ticket: OperationTicket,
        base: Option<Serial>,
        change: ChangeId,
        kind: ChangeKind,
        wait: Wait,
    ) {
        self.changes.inbox.push_back(QueuedChange {
            ticket,
            base,
            change,
            kind,
            wait,
            asked_at: now,
        });
    }

    pub(super) fn progress_changes(&mut self, now: Moment) {
        while self.core.is_ready() && !self.core.is_proposing() && self.is_fresh(now) {
            let Some(queued) = self.changes.inbox.pop_front() else { break };
            self.put_forward(now, queued);
        }
        let attached_changes: BTreeSet<ChangeId> =
            self.changes.in_flight.iter().map(|waiter| waiter.change.clone()).collect();
        let (attached, others): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut self.changes.inbox)
                .into_iter()
                .partition(|queued| attached_changes.contains(&queued.change));
        self.changes.inbox = others;
        for queued in attached {
            let Some(serial) = self
                .changes
                .in_flight
                .iter()
                .find(|waiter| waiter.change == queued.change)
                .map(|waiter| waiter.serial)
            else {
                continue;
            };
            self.changes.in_flight.push(Waiter {
                ticket: queued.ticket,
                change: queued.change,
                serial,
                wait: queued.wait,
                asked_at: queued.asked_at,
            });
        }
        self.expire_changes(now);
    }

    fn expire_changes(&mut self, now: Moment) {
        let (late, kept): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.changes.inbox)
            .into_iter()
            .partition(|queued| now.since(queued.asked_at) > CHANGE_PATIENCE);
        self.changes.inbox = kept;
        for queued in late {
            let body = json!({
                "error": "no_quorum",
                "state": "not_accepted",
                "change_id": queued.change.as_str(),
            });
            self.answer(queued.ticket, OperationReply::Said(503, body));
        }
        let (late, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.changes.in_flight)
            .into_iter()
            .partition(|waiter| now.since(waiter.asked_at) > CHANGE_PATIENCE);
        self.changes.in_flight = kept;
        for waiter in late {
            self.say_unknown(&waiter);
        }
        let (late, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.changes.accepted)
            .into_iter()
            .partition(|waiter| now.since(waiter.asked_at) > FORCE_PATIENCE);
        self.changes.accepted = kept;
        for waiter in late {
            self.answer(waiter.ticket, said_accepted(&waiter.change, waiter.serial, "accepted"));
        }
    }

    fn answer(&mut self, ticket: OperationTicket, reply: OperationReply) {
        self.outputs.push(PlaneOutput::Operated(ticket, reply));
    }

    fn say_unknown(&mut self, waiter: &Waiter) {
        let body = json!({
            "error": "no_quorum",
            "state": "unknown",
            "change_id": waiter.change.as_str(),
        });
        self.answer(waiter.ticket, OperationReply::Said(503, body));
    }

    fn put_forward(&mut self, now: Moment, queued: QueuedChange) {
        let Some(current_document) = self.core.accepted().cloned() else { return };
        let known_change =
            current_document.changes.iter().find(|noted| noted.id == queued.change).cloned();
        if let Some(noted) = known_change {
            self.changes.accepted.push(Waiter {
                ticket: queued.ticket,
                change: queued.change,
                serial: noted.serial,
                wait: queued.wait,
                asked_at: queued.asked_at,
            });
            return;
        }
        let current_serial = current_document.stamp.serial;
        let is_stale = queued.base.is_some_and(|base| base != current_serial);
        if is_stale && self.rules.keep(Rule::StaleBaseRefused) {
            let body = json!({
                "error": "stale_base",
                "state": "not_accepted",
                "serial": current_serial.0,
                "change_id": queued.change.as_str(),
            });
            self.answer(queued.ticket, OperationReply::Said(409, body));
            return;
        }
        let next_document = match self.next_document(&current_document, &queued) {
            Ok(next_document) => next_document,
            Err(reply) => {
                self.answer(queued.ticket, reply);
                return;
            }
        };
        let serial = next_document.stamp.serial;
        self.traces.put_forward(now, self.core.term(), serial);
        match self.core.propose(now, next_document) {
            Ok(orders) => {
                self.changes.in_flight.push(Waiter {
                    ticket: queued.ticket,
                    change: queued.change,
                    serial,
                    wait: queued.wait,
                    asked_at: queued.asked_at,
                });
                self.obey(now, orders);
            }
            Err(fault) => {
                let body = json!({"error": fault.to_string(), "state": "not_accepted"});
                self.answer(queued.ticket, OperationReply::Said(503, body));
            }
        }
    }

    fn next_document(
        &self,
        current_document: &Document,
        queued: &QueuedChange,
    ) -> Result<Document, OperationReply> {
        let with_spec = |new_spec: Value| match read_spec(&new_spec) {
            Ok(checked_spec) => {
                Ok(current_document.with_spec(new_spec, &checked_spec, queued.change.clone()))
            }
            Err(faults) if self.rules.keep(Rule::InvalidRefused) => Err(said_invalid(&faults)),
            Err(_) => {
                let unchecked_spec = Spec::default();
                Ok(current_document.with_spec(new_spec, &unchecked_spec, queued.change.clone()))
            }
        };
        match &queued.kind {
            ChangeKind::Whole(new_spec) => with_spec(new_spec.clone()),
            ChangeKind::Patch(merge_patch) => {
                let mut new_spec = current_document.spec.clone();
                json_patch::merge(&mut new_spec, merge_patch);
                with_spec(new_spec)
            }
            ChangeKind::Evacuate { locality, force } => {
                let known_localities = self.known_localities();
                if !known_localities.contains(locality) {
                    return Err(said_no_locality(locality, &known_localities));
                }
                let left_count = known_localities
                    .iter()
                    .filter(|known| {
                        *known != locality && !current_document.evacuated.contains(*known)
                    })
                    .count();
                if left_count == 0 && !force {
                    let body = json!({
                        "error": "last_locality",
                        "state": "not_accepted",
                        "reason": "no locality would be left; set force to do it all the same",
                    });
                    return Err(OperationReply::Said(422, body));
                }
                Ok(current_document.with_locality(locality.clone(), true, queued.change.clone()))
            }
            ChangeKind::Restore { locality } => {
                let known_localities = self.known_localities();
                if !known_localities.contains(locality)
                    && !current_document.evacuated.contains(locality)
                {
                    return Err(said_no_locality(locality, &known_localities));
                }
                Ok(current_document.with_locality(locality.clone(), false, queued.change.clone()))
            }
        }
    }

    fn known_localities(&self) -> BTreeSet<Locality> {
        self.desk.as_ref().map(|desk| desk.known_localities()).unwrap_or_default()
    }

    pub(super) fn change_committed(&mut self, serial: Serial) {
        let (done, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.changes.in_flight)
            .into_iter()
            .partition(|waiter| waiter.serial == serial);
        self.changes.in_flight = kept;
        self.changes.accepted.extend(done);
    }

    pub(super) fn progress_waits(&mut self) {
        let in_force = self.desk.as_ref().map(|desk| desk.in_force()).unwrap_or_default();
        let (done, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.changes.accepted)
            .into_iter()
            .partition(|waiter| waiter.wait == Wait::Accepted || in_force >= waiter.serial);
        self.changes.accepted = kept;
        for waiter in done {
            let state = if in_force >= waiter.serial { "in_force" } else { "accepted" };
            self.answer(waiter.ticket, said_accepted(&waiter.change, waiter.serial, state));
        }
    }

    pub(super) fn drop_changes(&mut self) {
        for waiter in std::mem::take(&mut self.changes.in_flight) {
            self.say_unknown(&waiter);
        }
        for waiter in std::mem::take(&mut self.changes.accepted) {
            self.answer(waiter.ticket, said_accepted(&waiter.change, waiter.serial, "accepted"));
        }
        for queued in std::mem::take(&mut self.changes.inbox) {
            let body = json!({
                "error": "no_leader",
                "state": "not_accepted",
                "change_id": queued.change.as_str(),
            });
            self.answer(queued.ticket, OperationReply::Said(503, body));
        }
    }

    pub(super) fn ask_change(&self, change: &ChangeId) -> OperationReply {
        let in_force = self.desk.as_ref().map(|desk| desk.in_force()).unwrap_or_default();
        let noted_change = self
            .core
            .accepted()
            .filter(|_| !self.core.is_proposing())
            .and_then(|document| document.changes.iter().find(|noted| noted.id == *change));
        if let Some(noted) = noted_change {
            let state = if in_force >= noted.serial { "in_force" } else { "accepted" };
            return said_accepted(change, noted.serial, state);
        }
        let is_pending = self.core.is_proposing()
            || self.changes.inbox.iter().any(|queued| queued.change == *change);
        let state = if is_pending { "unknown" } else { "not_accepted" };
        OperationReply::Said(200, json!({"state": state, "change_id": change.as_str()}))
    }
}

fn said_no_locality(locality: &Locality, known: &BTreeSet<Locality>) -> OperationReply {
    let known_names: Vec<&str> = known.iter().map(Locality::as_str).collect();
    let body = json!({
        "error": "unknown_locality",
        "state": "not_accepted",
        "locality": locality.as_str(),
        "known": known_names,
    });
    OperationReply::Said(422, body)
}
