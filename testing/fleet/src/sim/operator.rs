//! Operators that send random changes of the spec.

use super::event::{ControllerEvent, OperatorEvent};
use super::plan::SimPlan;
use super::simulation::Simulation;
use common::identity::{ChangeId, Version};
use controlplane::controller_state::{
    ChangeKind, ChangeRequest, Operation, OperationReply, OperationTicket, Wait,
};
use serde_json::{Value, json};
use std::collections::HashMap;

/// The share of cases in which two concurrent changes are sent instead of one.
const CONCURRENT_CHANGES_SHARE: f64 = 0.3;
/// The share of changes that are invalid.
const INVALID_SHARE: f64 = 0.1;
/// The share of changes that are sent as a patch of one route instead of the complete spec.
const PATCH_SHARE: f64 = 0.2;
/// The maximum number of times that a change is sent, counting those that follow a redirect.
const MAX_ATTEMPTS: u32 = 3;

/// An operator's change in flight.
struct PendingChange {
    id: ChangeId,
    base: Option<Version>,
    kind: ChangeKind,
    attempts: u32,
}

/// The operators' changes in flight, and the ids of refused changes.
#[derive(Default)]
pub(super) struct PendingChanges {
    in_flight: HashMap<OperationTicket, PendingChange>,
    refused: Vec<ChangeId>,
}

impl PendingChanges {
    /// Records a change that is sent with this ticket.
    fn record_sent(&mut self, ticket: OperationTicket, change: PendingChange) {
        self.in_flight.insert(ticket, change);
    }

    /// Removes and returns the change that was sent with this ticket.
    fn take_sent(&mut self, ticket: OperationTicket) -> Option<PendingChange> {
        self.in_flight.remove(&ticket)
    }

    /// Records a refused change, which must not be committed later.
    fn record_refused(&mut self, change: ChangeId) {
        self.refused.push(change);
    }

    /// Removes and returns the refused changes.
    fn take_refused(&mut self) -> Vec<ChangeId> {
        std::mem::take(&mut self.refused)
    }
}

/// Adapts a spec to callers that use a new idempotency key for each attempt.
fn with_fresh_idempotency_keys(mut spec: Value) -> Value {
    let routes = spec["routes"].as_object_mut().into_iter().flatten();
    for (_, route) in routes {
        route["identities"] = json!("fresh");
    }
    spec
}

/// Adapts a spec to callers that wait longer than the grace period of a graceful shutdown, and to functions with a
/// single slot.
fn with_patient_callers(mut spec: Value) -> Value {
    for (_, function) in spec["functions"].as_object_mut().into_iter().flatten() {
        function["slots"] = json!(1);
        function["runners"] = json!({"max": 1});
    }
    for (_, route) in spec["routes"].as_object_mut().into_iter().flatten() {
        route["budget_ms"] = json!(12_000);
        route["patience_ms"] = json!(12_000);
    }
    spec
}

/// Returns a variant of the spec with the options of the plan.
pub(crate) fn planned_spec(plan: &SimPlan, variant: u64) -> Value {
    let mut planned_spec = spec(variant);
    if plan.uses_fresh_idempotency_keys {
        planned_spec = with_fresh_idempotency_keys(planned_spec);
    }
    if plan.patient_callers {
        planned_spec = with_patient_callers(planned_spec);
    }
    planned_spec
}

/// Returns a variant of the simulated deployment's spec. Odd variants have one function more than even ones.
pub(crate) fn spec(variant: u64) -> Value {
    let mut functions = serde_json::Map::new();
    let mut routes = serde_json::Map::new();
    let function_count = if variant % 2 == 1 { 6 } else { 5 };
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
            "function": format!("f{}", variant % function_count),
            "budget_ms": 3000,
            "kind": "repeatable",
        }),
    );
    json!({"functions": functions, "routes": routes})
}

impl Simulation {
    /// Sends one change as an operator.
    pub(super) fn submit_change(&mut self, base: Option<Version>, kind: ChangeKind) {
        if self.plan.has_numbered_orders {
            match kind {
                ChangeKind::Evacuate { zone, .. } => self.send_zone_order(zone, true),
                ChangeKind::Restore { zone } => self.send_zone_order(zone, false),
                _ => {}
            }
            return;
        }
        let id = ChangeId::from(format!("change-{}", self.numbers.next()));
        let target = self.rng.below(3) as usize;
        self.send_pending_change(
            target,
            PendingChange {
                id,
                base,
                kind,
                attempts: 0,
            },
        );
    }

    /// Sends a change as an operator, or two concurrent ones, based on the newest version. Some are invalid.
    pub(super) fn send_change(&mut self) {
        if self.plan.has_numbered_orders {
            self.send_orders();
            return;
        }
        let newest_version = self.checks.newest_version();
        let count = if self.rng.random_bool(CONCURRENT_CHANGES_SHARE) {
            2
        } else {
            1
        };
        for _ in 0..count {
            let is_valid = !self.rng.random_bool(INVALID_SHARE);
            let variant = self.rng.below(6);
            let mut new_spec = planned_spec(&self.plan, variant);
            if !is_valid {
                new_spec["routes"]["canary"]["function"] = json!("nowhere");
            }
            let kind = if self.rng.random_bool(PATCH_SHARE) {
                ChangeKind::Patch(json!({"routes": {"canary": new_spec["routes"]["canary"]}}))
            } else {
                ChangeKind::FullSpec(new_spec.into())
            };
            self.submit_change(Some(newest_version), kind);
        }
    }

    fn send_pending_change(&mut self, target: usize, mut change: PendingChange) {
        change.attempts += 1;
        let ticket = OperationTicket(self.numbers.next());
        let operation = Operation::Change(ChangeRequest {
            base: change.base,
            numbering: None,
            change: Some(change.id.clone()),
            kind: change.kind.clone(),
            wait: Wait::Accepted,
        });
        self.changes.record_sent(ticket, change);
        let node = self.nodes.controller(target).node;
        let delay = self.network.delay(&mut self.rng);
        self.queue.push(
            delay,
            ControllerEvent::OperatorRequest(node, ticket, operation),
        );
    }

    /// Handles a controller's reply to an operator: follows a redirect, or checks the change's outcome.
    pub(super) fn handle_operation_reply(
        &mut self,
        ticket: OperationTicket,
        reply: OperationReply,
    ) {
        if self.plan.has_numbered_orders {
            self.handle_command_reply(ticket, reply);
            return;
        }
        let Some(change) = self.changes.take_sent(ticket) else {
            return;
        };
        match reply {
            OperationReply::Redirect(leader) => {
                let target = self.nodes.node_at(leader).map(|node| node.0);
                if let Some(target) = target.filter(|_| change.attempts < MAX_ATTEMPTS) {
                    self.send_pending_change(target, change);
                }
            }
            reply => {
                let (status, body) = reply.into_native_response();
                let state = body["state"].as_str().unwrap_or("");
                if status == 200 && matches!(state, "accepted" | "in_force") {
                    let version = Version(body["serial"].as_u64().unwrap_or(0));
                    self.checks
                        .check_accepted(self.queue.now(), &change.id, change.base, version);
                } else if state == "not_accepted" && change.attempts == 1 {
                    self.changes.record_refused(change.id.clone());
                    self.checks
                        .check_change_refused(self.queue.now(), &change.id);
                }
                self.record.count_event(if status == 200 {
                    "change accepted"
                } else {
                    "change refused"
                });
            }
        }
    }

    /// Checks that refused changes were not committed later.
    pub(super) fn check_refused(&mut self) {
        for change in self.changes.take_refused() {
            self.checks.check_change_refused(self.queue.now(), &change);
        }
    }

    pub(super) fn schedule_change(&mut self) {
        let max_interval = self.plan.max_order_interval;
        let delay = self.rng.within(max_interval / 10, max_interval);
        self.queue.push(delay, OperatorEvent::Change);
    }
}
