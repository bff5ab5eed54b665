use super::event::Event;
use super::world::World;
use common::identity::{ChangeId, Serial};
use controlplane::controller_state::{
    ChangeKind, Operation, OperationReply, OperationTicket, Wait,
};
use serde_json::{Value, json};

/// One operator's change that is on its way.
pub struct SimChange {
    change: ChangeId,
    base: Option<Serial>,
    kind: ChangeKind,
    tries: u32,
}

/// The same spec for callers who give every try an identity of its own.
pub fn with_fresh_identities(mut spec: Value) -> Value {
    let routes = spec["routes"].as_object_mut().into_iter().flatten();
    for (_, route) in routes {
        route["identities"] = json!("fresh");
    }
    spec
}

/// The routes and functions of the virtual deployment; one function comes and goes.
pub fn spec(turn: u64) -> Value {
    let mut functions = serde_json::Map::new();
    let mut routes = serde_json::Map::new();
    let function_count = if turn % 2 == 1 { 6 } else { 5 };
    for number in 0..function_count {
        let name = format!("f{number}");
        functions.insert(
            name.clone(),
            json!({"memory_mb": 300, "boot_ms": 200 + 100 * number, "slots": 3, "runners": {"max": 5}}),
        );
        routes.insert(
            name.clone(),
            json!({
                "method": "POST",
                "path": format!("/{name}"),
                "function": name,
                "budget_ms": 3000,
                "kind": if number % 2 == 0 { "once" } else { "repeatable" },
            }),
        );
    }
    routes.insert(
        "canary".to_owned(),
        json!({
            "method": "POST",
            "path": "/canary",
            "function": format!("f{}", turn % function_count),
            "budget_ms": 3000,
            "kind": "repeatable",
        }),
    );
    json!({"functions": functions, "routes": routes})
}

impl World {
    /// An operator sends one change.
    pub(super) fn send(&mut self, base: Option<Serial>, kind: ChangeKind) {
        if self.plan.numbers_orders {
            match kind {
                ChangeKind::Evacuate { zone, .. } => self.turn_zone(zone, true),
                ChangeKind::Restore { zone } => self.turn_zone(zone, false),
                _ => {}
            }
            return;
        }
        self.next_number += 1;
        let change = ChangeId::from(format!("change-{}", self.next_number));
        let target = self.chance.below(3) as usize;
        self.operate(target, SimChange { change, base, kind, tries: 0 });
    }

    /// An operator sends a change, built on the newest serial or on one just before.
    pub(super) fn send_change(&mut self) {
        if self.plan.numbers_orders {
            self.send_orders();
            return;
        }
        let newest_serial = self.checks.newest_serial();
        let count = if self.chance.happens(0.3) { 2 } else { 1 };
        for _ in 0..count {
            let is_valid = !self.chance.happens(0.1);
            let mut new_spec = spec(self.chance.below(6));
            if self.plan.fresh_identities {
                new_spec = with_fresh_identities(new_spec);
            }
            if !is_valid {
                new_spec["routes"]["canary"]["function"] = json!("nowhere");
            }
            let kind = if self.chance.happens(0.2) {
                ChangeKind::Patch(json!({"routes": {"canary": new_spec["routes"]["canary"]}}))
            } else {
                ChangeKind::Whole(new_spec.into())
            };
            self.send(Some(newest_serial), kind);
        }
    }

    fn operate(&mut self, target: usize, mut change: SimChange) {
        change.tries += 1;
        self.next_number += 1;
        let ticket = OperationTicket(self.next_number);
        let operation = Operation::Change {
            base: change.base,
            numbering: None,
            change: Some(change.change.clone()),
            kind: change.kind.clone(),
            wait: Wait::Accepted,
        };
        self.changes.insert(ticket, change);
        let node = self.controllers[target].node;
        let delay = self.network.delay(&mut self.chance);
        self.push(delay, Event::Operate(node, ticket, operation));
    }

    pub(super) fn hear_operated(&mut self, ticket: OperationTicket, reply: OperationReply) {
        if self.plan.numbers_orders {
            self.hear_answer(ticket, reply);
            return;
        }
        let Some(change) = self.changes.remove(&ticket) else { return };
        match reply {
            OperationReply::Elsewhere(leader) => {
                let target = self.node_at(leader).map(|node| node.0);
                if let Some(target) = target.filter(|_| change.tries < 3) {
                    self.operate(target, change);
                }
            }
            reply => {
                let (status, body) = reply.into_own();
                let state = body["state"].as_str().unwrap_or("");
                if status == 200 && matches!(state, "accepted" | "in_force") {
                    let serial = Serial(body["serial"].as_u64().unwrap_or(0));
                    self.checks.accepts(self.now, &change.change, change.base, serial);
                } else if state == "not_accepted" && change.tries == 1 {
                    self.refused_changes.push(change.change.clone());
                    self.checks.refuses(self.now, &change.change);
                }
                self.counted(if status == 200 { "change accepted" } else { "change refused" });
            }
        }
    }

    /// Refused changes must not be committed later either.
    pub(super) fn check_refused(&mut self) {
        for change in std::mem::take(&mut self.refused_changes) {
            self.checks.refuses(self.now, &change);
        }
    }

    pub(super) fn schedule_change(&mut self) {
        let longest_span = self.plan.order_gap;
        let wait_span = self.chance.within(longest_span / 10, longest_span);
        self.push(wait_span, Event::Change);
    }
}
