use super::{
    ChangeKind, ControllerOutput, ControllerState, ItemChange, Numbering, Operation,
    OperationReply, OperationTicket, Wait,
};
use common::clock::Moment;
use common::identity::{ChangeId, Serial, Zone};
use common::readers::{FaultReason, PathFault};
use common::rules::Rule;
use common::seal::{digest, hex};
use common::spec::{Document, Spec, SpecRecords};
use serde_json::{Value, json};
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

const CHANGE_PATIENCE: Duration = Duration::from_secs(3);
const START_PATIENCE: Duration = Duration::from_millis(800);
const FORCE_PATIENCE: Duration = Duration::from_secs(10);

/// A change as an operator asked for it.
pub struct AskedChange {
    /// The serial it is built on.
    pub base: Option<Serial>,
    /// The operators' own numbers.
    pub numbering: Option<Numbering>,
    /// The operator's name for it.
    pub change: Option<ChangeId>,
    /// What it does.
    pub kind: ChangeKind,
    /// What to wait for.
    pub wait: Wait,
}

struct QueuedChange {
    ticket: OperationTicket,
    base: Option<Serial>,
    numbering: Option<Numbering>,
    change: ChangeId,
    is_named: bool,
    kind: ChangeKind,
    wait: Wait,
    asked_at: Moment,
}

struct Waiter {
    ticket: OperationTicket,
    change: ChangeId,
    serial: Serial,
    number: u64,
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

fn content_value(kind: &ChangeKind) -> Value {
    match kind {
        ChangeKind::Whole(spec) => json!({"spec": spec.to_value()}),
        ChangeKind::Patch(patch) => json!({"patch": patch}),
        ChangeKind::Items(items) => json!({
            "put_functions": items.put_functions,
            "remove_functions": items.remove_functions,
            "put_routes": items.put_routes,
            "remove_routes": items.remove_routes,
            "limits": items.limits,
            "labels": items.labels,
        }),
        ChangeKind::Evacuate { zone, .. } => json!({"evacuate": zone.as_str()}),
        ChangeKind::Restore { zone } => json!({"restore": zone.as_str()}),
    }
}

/// The name of a change that its operator gave none: a digest of its numbers, its base and its
/// content, so that the same change sent again has the same name.
pub fn change_name(
    base: Option<Serial>,
    numbering: Option<Numbering>,
    kind: &ChangeKind,
) -> ChangeId {
    let named = json!({
        "base_serial": base.map(|base| base.0),
        "number": numbering.map(|numbering| numbering.number),
        "base_number": numbering.map(|numbering| numbering.base_number),
        "content": content_value(kind),
    });
    ChangeId::from(hex(&digest(named.to_string().as_bytes())))
}

fn said_accepted(waiter: &Waiter, in_force: Serial) -> OperationReply {
    OperationReply::Accepted {
        change: waiter.change.clone(),
        serial: waiter.serial,
        number: waiter.number,
        in_force: in_force >= waiter.serial,
    }
}

fn with_items(spec: &SpecRecords, items: &ItemChange) -> SpecRecords {
    let mut changed_spec = spec.clone();
    for removed_name in &items.remove_functions {
        changed_spec.remove_function(removed_name);
    }
    for (put_name, put_function) in &items.put_functions {
        changed_spec.put_function(put_name, put_function.clone());
    }
    for removed_name in &items.remove_routes {
        changed_spec.remove_route(removed_name);
    }
    for (put_name, put_route) in &items.put_routes {
        changed_spec.put_route(put_name, put_route.clone());
    }
    for (name, replaced) in [("limits", &items.limits), ("labels", &items.labels)] {
        if let Some(replaced) = replaced {
            changed_spec.put_field(name, replaced.clone());
        }
    }
    changed_spec
}

impl Changes {
    /// Whether no change waits to be put forward.
    pub fn is_idle(&self) -> bool {
        self.inbox.is_empty()
    }
}

impl ControllerState {
    pub(super) fn queue_change(
        &mut self,
        now: Moment,
        ticket: OperationTicket,
        asked: AskedChange,
    ) {
        let AskedChange { base, numbering, change, kind, wait } = asked;
        let is_named = change.is_some();
        let change = change.unwrap_or_else(|| match &kind {
            ChangeKind::Evacuate { .. } | ChangeKind::Restore { .. } => {
                ChangeId::from(format!("turn-{}-{}", self.core.term(), ticket.0))
            }
            _ => change_name(base, numbering, &kind),
        });
        self.changes.inbox.push_back(QueuedChange {
            ticket,
            base,
            numbering,
            change,
            is_named,
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
            let Some((serial, number)) = self
                .changes
                .in_flight
                .iter()
                .find(|waiter| waiter.change == queued.change)
                .map(|waiter| (waiter.serial, waiter.number))
            else {
                continue;
            };
            self.changes.in_flight.push(Waiter {
                ticket: queued.ticket,
                change: queued.change,
                serial,
                number,
                wait: queued.wait,
                asked_at: queued.asked_at,
            });
        }
        self.expire_changes(now);
    }

    fn expire_changes(&mut self, now: Moment) {
        let (late, kept): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.changes.inbox)
            .into_iter()
            .partition(|queued| now.since(queued.asked_at) > START_PATIENCE);
        self.changes.inbox = kept;
        for queued in late {
            let change = Some(queued.change);
            let reply = OperationReply::NotAccepted { reason: "no_quorum", change };
            self.answer(queued.ticket, reply);
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
            self.answer(waiter.ticket, said_accepted(&waiter, Serial(0)));
        }
    }

    fn answer(&mut self, ticket: OperationTicket, reply: OperationReply) {
        self.outputs.push(ControllerOutput::Operated(ticket, reply));
    }

    fn say_unknown(&mut self, waiter: &Waiter) {
        let change = Some(waiter.change.clone());
        self.answer(waiter.ticket, OperationReply::Unknown { reason: "no_quorum", change });
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
                number: noted.number,
                wait: queued.wait,
                asked_at: queued.asked_at,
            });
            return;
        }
        let current_serial = current_document.view_serial();
        let current_number = current_document.number;
        let is_stale = queued.base.is_some_and(|base| base != current_serial)
            || queued.numbering.is_some_and(|given| given.base_number != current_number);
        if is_stale && self.rules.keep(Rule::StaleBaseRefused) {
            let reply = OperationReply::Stale {
                change: queued.change,
                serial: current_serial,
                number: current_number,
            };
            self.answer(queued.ticket, reply);
            return;
        }
        if !queued.is_named && self.is_so_already(&current_document, &queued.kind) {
            self.changes.accepted.push(Waiter {
                ticket: queued.ticket,
                change: queued.change,
                serial: current_serial,
                number: 0,
                wait: queued.wait,
                asked_at: queued.asked_at,
            });
            return;
        }
        let wanted_roster =
            self.leader_state.as_ref().and_then(|leader_state| leader_state.wanted_roster(now));
        let next_document = match self.next_document(&current_document, &queued) {
            Ok(mut next_document) => {
                next_document.roster = wanted_roster.unwrap_or(next_document.roster);
                next_document
            }
            Err(reply) => {
                self.answer(queued.ticket, reply);
                return;
            }
        };
        let number = queued.numbering.map_or(0, |given| given.number);
        let serial = next_document.stamp.serial;
        self.traces.put_forward(now, self.core.term(), serial);
        match self.core.propose(now, next_document) {
            Ok(orders) => {
                self.changes.in_flight.push(Waiter {
                    ticket: queued.ticket,
                    change: queued.change,
                    serial,
                    number,
                    wait: queued.wait,
                    asked_at: queued.asked_at,
                });
                self.obey(now, orders);
            }
            Err(fault) => {
                let reply = OperationReply::NotAccepted { reason: fault.reason(), change: None };
                self.answer(queued.ticket, reply);
            }
        }
    }

    fn is_so_already(&self, current_document: &Document, kind: &ChangeKind) -> bool {
        match kind {
            ChangeKind::Evacuate { zone, .. } => current_document.evacuated.contains(zone),
            ChangeKind::Restore { zone } => !current_document.evacuated.contains(zone),
            _ => false,
        }
    }

    fn next_document(
        &self,
        current_document: &Document,
        queued: &QueuedChange,
    ) -> Result<Document, OperationReply> {
        let is_number_low =
            queued.numbering.is_some_and(|given| given.number <= current_document.number);
        if is_number_low && self.rules.keep(Rule::InvalidRefused) {
            let reason = FaultReason::Form(format!("is not above {}", current_document.number));
            let fault = PathFault { path: "number".to_owned(), reason };
            return Err(OperationReply::Invalid(vec![fault]));
        }
        let number = queued.numbering.map_or(current_document.number, |given| given.number);
        let with_spec = |new_spec: SpecRecords| {
            let checked_spec = match new_spec.check() {
                Ok(checked_spec) => checked_spec,
                Err(faults) if self.rules.keep(Rule::InvalidRefused) => {
                    return Err(OperationReply::Invalid(faults));
                }
                Err(_) => Spec::default(),
            };
            let change = queued.change.clone();
            let next_document = current_document.with_spec(new_spec, &checked_spec, change);
            Ok(if queued.numbering.is_some() {
                next_document.numbered(number)
            } else {
                next_document
            })
        };
        match &queued.kind {
            ChangeKind::Whole(new_spec) => with_spec(new_spec.succeeding(&current_document.spec)),
            ChangeKind::Patch(merge_patch) => {
                let mut new_spec = current_document.spec.to_value();
                json_patch::merge(&mut new_spec, merge_patch);
                with_spec(SpecRecords::new(new_spec).succeeding(&current_document.spec))
            }
            ChangeKind::Items(items) => with_spec(with_items(&current_document.spec, items)),
            ChangeKind::Evacuate { zone, force } => {
                let known_zones = self.known_zones();
                if !known_zones.contains(zone) && !force {
                    return Err(OperationReply::NoZone { zone: zone.clone(), known: known_zones });
                }
                let left_count = known_zones
                    .iter()
                    .filter(|known| *known != zone && !current_document.evacuated.contains(*known))
                    .count();
                if left_count == 0 && !force {
                    return Err(OperationReply::LastZone);
                }
                Ok(current_document.with_zone(zone.clone(), true, queued.change.clone()))
            }
            ChangeKind::Restore { zone } => {
                let known_zones = self.known_zones();
                if !known_zones.contains(zone) && !current_document.evacuated.contains(zone) {
                    return Err(OperationReply::NoZone { zone: zone.clone(), known: known_zones });
                }
                Ok(current_document.with_zone(zone.clone(), false, queued.change.clone()))
            }
        }
    }

    fn known_zones(&self) -> BTreeSet<Zone> {
        self.leader_state
            .as_ref()
            .map(|leader_state| leader_state.known_zones())
            .unwrap_or_default()
    }

    pub(super) fn change_committed(&mut self, serial: Serial) {
        let (done, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.changes.in_flight)
            .into_iter()
            .partition(|waiter| waiter.serial == serial);
        self.changes.in_flight = kept;
        self.changes.accepted.extend(done);
    }

    pub(super) fn progress_waits(&mut self) {
        let in_force = self
            .leader_state
            .as_ref()
            .map(|leader_state| leader_state.in_force())
            .unwrap_or_default();
        let (done, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.changes.accepted)
            .into_iter()
            .partition(|waiter| waiter.wait == Wait::Accepted || in_force >= waiter.serial);
        self.changes.accepted = kept;
        for waiter in done {
            self.answer(waiter.ticket, said_accepted(&waiter, in_force));
        }
    }

    pub(super) fn drop_changes(&mut self) {
        for waiter in std::mem::take(&mut self.changes.in_flight) {
            self.say_unknown(&waiter);
        }
        for waiter in std::mem::take(&mut self.changes.accepted) {
            self.answer(waiter.ticket, said_accepted(&waiter, Serial(0)));
        }
        for queued in std::mem::take(&mut self.changes.inbox) {
            let operation = Operation::Change {
                base: queued.base,
                numbering: queued.numbering,
                change: Some(queued.change),
                kind: queued.kind,
                wait: queued.wait,
            };
            self.wait_for_leader(queued.asked_at, queued.ticket, operation);
        }
    }

    pub(super) fn ask_change(&self, change: &ChangeId) -> OperationReply {
        let in_force = self
            .leader_state
            .as_ref()
            .map(|leader_state| leader_state.in_force())
            .unwrap_or_default();
        let noted_change = self
            .core
            .accepted()
            .filter(|_| !self.core.is_proposing())
            .and_then(|document| document.changes.iter().find(|noted| noted.id == *change));
        if let Some(noted) = noted_change {
            return OperationReply::Accepted {
                change: change.clone(),
                serial: noted.serial,
                number: noted.number,
                in_force: in_force >= noted.serial,
            };
        }
        let is_pending = self.core.is_proposing()
            || self.changes.inbox.iter().any(|queued| queued.change == *change);
        let state = if is_pending { "unknown" } else { "not_accepted" };
        OperationReply::Said(200, json!({"state": state, "change_id": change.as_str()}))
    }
}
