//! Operators' changes on their way: queued, put forward, acknowledged, or given up.

use super::content::change_name;
use super::judgement::Judgement;
use super::{
    ChangeKind, ControllerOutput, ControllerState, Numbering, Operation, OperationReply,
    OperationTicket, Unavailable, Wait,
};
use crate::leader_state::LeaderState;
use common::clock::Moment;
use common::identity::{ChangeId, Serial};
use common::invariants::{Invariant, require};
use common::rules::Rule;
use common::spec::Document;
use serde_json::json;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// How soon after a request its caller's hanging up is heard, if it came late over the network.
const HANG_UP_SPAN: Duration = Duration::from_millis(25);
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

/// A change that waits to be put forward.
pub(super) struct QueuedChange {
    /// Whom to answer.
    pub ticket: OperationTicket,
    /// The version it is built on.
    pub base: Option<Serial>,
    /// The operators' own numbers.
    pub numbering: Option<Numbering>,
    /// Its name.
    pub change: ChangeId,
    /// Whether the operator named it.
    pub is_named: bool,
    /// What it does.
    pub kind: ChangeKind,
    /// What its operator waits for.
    pub wait: Wait,
    /// When it was asked for.
    pub asked_at: Moment,
}

impl QueuedChange {
    fn into_waiter(self, serial: Serial, number: u64) -> Waiter {
        Waiter {
            ticket: self.ticket,
            change: self.change,
            serial,
            number,
            wait: self.wait,
            asked_at: self.asked_at,
        }
    }
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
    /// Those whose answer needs a majority's word.
    unproven: VecDeque<QueuedChange>,
    in_flight: Vec<Waiter>,
    accepted: Vec<Waiter>,
}

fn take_late(now: Moment, queue: &mut VecDeque<QueuedChange>) -> Vec<QueuedChange> {
    let (late, kept): (VecDeque<_>, VecDeque<_>) = std::mem::take(queue)
        .into_iter()
        .partition(|queued| now.since(queued.asked_at) > START_PATIENCE);
    *queue = kept;
    late.into()
}

fn said_accepted(waiter: &Waiter, in_force: Serial) -> OperationReply {
    OperationReply::Accepted {
        change: waiter.change.clone(),
        serial: waiter.serial,
        number: waiter.number,
        in_force: in_force >= waiter.serial,
    }
}

impl Changes {
    /// Whether no change waits to be put forward.
    pub fn is_idle(&self) -> bool {
        self.inbox.is_empty()
    }

    /// Whether an answer waits for a majority's word.
    pub fn wants_proof(&self) -> bool {
        !self.unproven.is_empty()
    }
}

impl ControllerState {
    pub(super) fn queue_change(
        &mut self,
        asked_at: Moment,
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
            asked_at,
        });
    }

    pub(super) fn progress_changes(&mut self, now: Moment) {
        let unproven = std::mem::take(&mut self.changes.unproven);
        self.changes.inbox.extend(unproven);
        while self.may_judge_changes(now) {
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

    fn may_judge_changes(&self, now: Moment) -> bool {
        let is_free = self.core.is_ready() && !self.core.is_proposing();
        is_free && (self.is_fresh(now) || !self.rules.keep(Rule::RefusalProven))
    }

    fn expire_changes(&mut self, now: Moment) {
        let mut late = take_late(now, &mut self.changes.inbox);
        late.extend(take_late(now, &mut self.changes.unproven));
        for queued in late {
            let change = Some(queued.change);
            let reason = Unavailable::NoQuorum;
            let reply = OperationReply::NotAccepted { reason, change };
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
        self.answer(
            waiter.ticket,
            OperationReply::Unknown { reason: Unavailable::NoQuorum, change },
        );
    }

    fn put_forward(&mut self, now: Moment, queued: QueuedChange) {
        let Some(current_document) = self.core.accepted().cloned() else { return };
        let judgement = self.judge_change(&current_document, &queued);
        if !self.may_act_on(now, &judgement, &queued) {
            self.changes.unproven.push_back(queued);
            return;
        }
        match judgement {
            Judgement::Taken { serial, number } => {
                self.changes.accepted.push(queued.into_waiter(serial, number));
            }
            Judgement::SoAlready => {
                let serial = current_document.view_serial();
                self.changes.accepted.push(queued.into_waiter(serial, 0));
            }
            Judgement::Answered(reply) => self.answer(queued.ticket, reply),
            Judgement::Next(next_document) => self.propose_change(now, queued, *next_document),
        }
    }

    /// What is said from the state of the moment needs a majority's word from after it was asked for.
    /// An evacuation, which is built on no version that could be overtaken, waits besides until its
    /// caller would have been heard hanging up.
    fn may_act_on(&self, now: Moment, judgement: &Judgement, queued: &QueuedChange) -> bool {
        let is_proven = self.is_proven_since(now, queued.asked_at);
        match judgement {
            Judgement::Taken { .. } => true,
            Judgement::SoAlready => is_proven,
            Judgement::Answered(reply) => {
                let knows_zones = self.leader_state.as_ref().is_some_and(LeaderState::is_open);
                let is_about_zones =
                    matches!(reply, OperationReply::NoZone { .. } | OperationReply::LastZone);
                let is_overtaken_harmless = !self.rules.keep(Rule::RefusalProven);
                (is_proven && (knows_zones || !is_about_zones)) || is_overtaken_harmless
            }
            Judgement::Next(_) if queued.kind.is_about_zone() => {
                let is_held = now.since(queued.asked_at) < HANG_UP_SPAN;
                is_proven && !(is_held && self.rules.keep(Rule::HungUpDropped))
            }
            Judgement::Next(_) => true,
        }
    }

    fn propose_change(&mut self, now: Moment, queued: QueuedChange, mut next_document: Document) {
        let wanted_roster =
            self.leader_state.as_ref().and_then(|leader_state| leader_state.wanted_roster(now));
        if let Some(wanted_roster) = wanted_roster {
            next_document.roster = wanted_roster;
        }
        self.check_proposal(&queued, &next_document);
        let number = queued.numbering.map_or(0, |given| given.number);
        let serial = next_document.stamp.serial;
        self.traces.put_forward(now, self.core.term(), serial);
        match self.core.propose(now, next_document) {
            Ok(orders) => {
                let waiter = queued.into_waiter(serial, number);
                if self.rules.keep(Rule::AcknowledgedByMajority) {
                    self.changes.in_flight.push(waiter);
                } else {
                    self.changes.accepted.push(waiter);
                }
                self.obey(now, orders);
            }
            Err(fault) => {
                let reason = fault.into();
                self.answer(queued.ticket, OperationReply::NotAccepted { reason, change: None });
            }
        }
    }

    fn check_proposal(&self, queued: &QueuedChange, next_document: &Document) {
        let Some(current) = self.core.accepted() else { return };
        let (serial, number) = (current.view_serial(), current.number);
        let is_on_base = queued.base.is_none_or(|base| base == serial)
            && queued.numbering.is_none_or(|given| given.base_number == number);
        require(self.rules, Invariant::ChangeOnNamedBase, is_on_base, || {
            format!("{} goes on version {serial}, number {number}", queued.change)
        });
        // A second check of a whole spec is dear on a small share of a core: debug builds only.
        let is_valid = !cfg!(debug_assertions) || next_document.spec.check().is_ok();
        require(self.rules, Invariant::ProposedSpecValid, is_valid, || {
            format!("{} is invalid and put forward", queued.change)
        });
    }

    /// An operator hung up: what it asked for and was not put forward is dropped.
    pub(super) fn withdraw(&mut self, ticket: OperationTicket) {
        if self.rules.keep(Rule::HungUpDropped) {
            self.waiting.retain(|waiting| waiting.ticket != ticket);
            self.changes.inbox.retain(|queued| queued.ticket != ticket);
            self.changes.unproven.retain(|queued| queued.ticket != ticket);
        }
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
        let unproven = std::mem::take(&mut self.changes.unproven);
        for queued in std::mem::take(&mut self.changes.inbox).into_iter().chain(unproven) {
            let operation = Operation::Change {
                base: queued.base,
                numbering: queued.numbering,
                change: queued.is_named.then_some(queued.change),
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
        let queued_changes = self.changes.inbox.iter().chain(&self.changes.unproven);
        let is_pending = self.core.is_proposing()
            || queued_changes.into_iter().any(|queued| queued.change == *change);
        let is_forgotten = self.core.accepted().is_some_and(Document::has_forgotten_changes);
        let state = if is_pending || is_forgotten { "unknown" } else { "not_accepted" };
        OperationReply::Said(200, json!({"state": state, "change_id": change.as_str()}))
    }
}
