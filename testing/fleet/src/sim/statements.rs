//! Judges what controllers say to operators by what had been acknowledged when they were asked.

use super::event::Event;
use super::network::Node;
use super::world::World;
use common::clock::Moment;
use common::frames::Place;
use common::identity::{ChangeId, Serial};
use controlplane::controller_state::{Operation, OperationReply, OperationTicket};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// How long ago at most a controller may have heard the leader that it names: its longest election
/// timeout by a clock that is slow by a twentieth, and the time to its next tick.
const REDIRECT_HEARD_WITHIN: Duration = Duration::from_millis(680);

/// What an operator asked, and what stood when the question arrived.
struct Asked {
    operation: Operation,
    acknowledged: Serial,
    was_taken: bool,
}

/// What was asked of controllers, acknowledged by them, and heard among them.
#[derive(Default)]
pub(super) struct Statements {
    asked: HashMap<OperationTicket, Asked>,
    acknowledged: Serial,
    acknowledged_at: Moment,
    taken: HashSet<ChangeId>,
    first: Option<Operation>,
    heard_at: HashMap<(Node, Place), Moment>,
}

impl Statements {
    /// The first order that was acknowledged, as it was sent.
    pub fn first_acknowledged(&self) -> Option<Operation> {
        self.first.clone()
    }

    /// The newest serial that was acknowledged.
    pub fn acknowledged(&self) -> Serial {
        self.acknowledged
    }

    /// When an order was last acknowledged.
    pub fn acknowledged_at(&self) -> Moment {
        self.acknowledged_at
    }

    /// A controller takes a frame of another one.
    pub fn hears(&mut self, now: Moment, controller: Node, from: Place) {
        self.heard_at.insert((controller, from), now);
    }

    /// A question reaches a controller.
    pub fn asks(&mut self, ticket: OperationTicket, operation: &Operation) {
        let was_taken = change_of(operation).is_some_and(|change| self.taken.contains(change));
        let asked =
            Asked { operation: operation.clone(), acknowledged: self.acknowledged, was_taken };
        self.asked.insert(ticket, asked);
    }

    fn acknowledge(&mut self, now: Moment, change: &ChangeId, serial: Serial, asked: Asked) {
        self.acknowledged = self.acknowledged.max(serial);
        self.acknowledged_at = now;
        self.taken.insert(change.clone());
        if self.first.is_none() && change_of(&asked.operation).is_some() {
            self.first = Some(asked.operation);
        }
    }
}

fn change_of(operation: &Operation) -> Option<&ChangeId> {
    match operation {
        Operation::Change { change, .. } => change.as_ref(),
        _ => None,
    }
}

impl World {
    /// A controller answers an operator.
    pub(super) fn judge_reply(
        &mut self,
        controller: usize,
        ticket: OperationTicket,
        reply: &OperationReply,
    ) {
        let Some(asked) = self.statements.asked.remove(&ticket) else { return };
        let floor = asked.acknowledged;
        match reply {
            OperationReply::Spec { document, .. } => {
                self.checks.look("reading");
                let serial = document.view_serial();
                if serial < floor {
                    self.say_breach(format!(
                        "controller {controller} reads {serial}, {floor} was acknowledged before"
                    ));
                }
                if !self.checks.is_committed(serial) {
                    self.say_breach(format!(
                        "controller {controller} reads {serial}, which is not committed"
                    ));
                }
            }
            OperationReply::Accepted { change, serial, .. } => {
                self.statements.acknowledge(self.now, change, *serial, asked);
                self.recovery.acknowledged(self.now);
                self.acknowledgement_said();
            }
            OperationReply::Stale { change, serial, .. } => {
                self.checks.look("refusal by state");
                if *serial < floor {
                    self.say_breach(format!(
                        "controller {controller} refuses {change} by {serial}, {floor} was \
                         acknowledged before"
                    ));
                }
                if asked.was_taken {
                    self.say_breach(format!(
                        "controller {controller} refuses {change}, which was acknowledged before"
                    ));
                }
            }
            OperationReply::Invalid(_) if asked.was_taken => {
                self.say_breach(format!("controller {controller} finds a taken order invalid"));
            }
            OperationReply::Elsewhere(leader) => self.judge_redirect(controller, *leader),
            _ => {}
        }
    }

    fn judge_redirect(&mut self, controller: usize, leader: Place) {
        self.checks.look("redirect");
        let heard_at = self.statements.heard_at.get(&(Node(controller), leader)).copied();
        let silent_for = self.now.since(heard_at.unwrap_or_default());
        if silent_for > REDIRECT_HEARD_WITHIN {
            let silent_ms = silent_for.as_millis();
            self.say_breach(format!(
                "controller {controller} names {leader}, not heard for {silent_ms} ms"
            ));
        }
    }

    fn say_breach(&mut self, what: String) {
        self.checks.breach(self.now, what);
    }

    /// What is heard and asked is noted before it is taken.
    pub(super) fn note_statement(&mut self, event: &Event) {
        match event {
            Event::CoreFrame(node, frame) => {
                self.statements.hears(self.now, *node, frame.place);
            }
            Event::Operate(_, ticket, operation) => self.statements.asks(*ticket, operation),
            _ => {}
        }
    }

    /// At the end of a scripted day: what was acknowledged can be read, orders are acknowledged
    /// again, and the quorum has its full number of voters.
    pub(super) fn check_script_end(&mut self) {
        self.checks.look("end of a script");
        let acknowledged = self.statements.acknowledged();
        let ready_leader = self.controllers.iter().find_map(|controller| {
            let state = controller.controller_state.as_ref()?;
            state.core().is_ready().then(|| state.core())
        });
        let Some(document) = ready_leader.and_then(|core| core.accepted()) else {
            self.say_breach("no leader is ready at the end".to_owned());
            return;
        };
        let (serial, voters) = (document.view_serial(), document.core.len());
        let is_settled = document.former.is_empty();
        if serial < acknowledged {
            self.say_breach(format!(
                "{acknowledged} was acknowledged, {serial} is read at the end"
            ));
        }
        if voters < self.plan.voters || !is_settled {
            let wanted = self.plan.voters;
            self.say_breach(format!(
                "{voters} of {wanted} voters at the end, settled: {is_settled}"
            ));
        }
        if self.statements.acknowledged_at() < self.script_end() + ACKNOWLEDGED_AFTER {
            self.say_breach("no order is acknowledged after the mending".to_owned());
        }
    }
}

/// How long after the mending orders must be acknowledged again.
const ACKNOWLEDGED_AFTER: Duration = Duration::from_secs(6);
