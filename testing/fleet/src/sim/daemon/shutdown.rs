//! Orderly stops of simulated daemons.

use super::{AwaitedStep, PendingRequest, ReplyTarget};
use crate::sim::event::DaemonEvent;
use crate::sim::network::Node;
use crate::sim::simulation::Simulation;
use common::clock::MonotonicTime;
use common::frames::{Host, RequesterNotice};
use common::identity::IdempotencyKey;
use dataplane::agent::{ForwardingStep, ShutdownPhase, ShutdownSchedule};
use std::time::Duration;

/// The grace period of an orderly stop, after which the platform kills the process.
const GRACE: Duration = Duration::from_millis(5600);
/// How long a process that exits leaves its last frames to be written.
const LAST_FRAMES_TIME: Duration = Duration::from_millis(60);

/// An orderly stop that is under way.
#[derive(Clone, Copy)]
pub(super) struct OrderlyStop {
    schedule: ShutdownSchedule,
    phase: ShutdownPhase,
    /// Whether the process exits, and only its last frames are written.
    has_exited: bool,
}

impl OrderlyStop {
    fn begin(now: MonotonicTime) -> Self {
        Self {
            schedule: ShutdownSchedule::new(now, GRACE),
            phase: ShutdownPhase::Finishing,
            has_exited: false,
        }
    }
}

impl Simulation {
    /// Begins the orderly stop of a daemon.
    pub(in crate::sim) fn begin_orderly_stop(&mut self, index: usize) {
        let local_now = self.daemon_now(index);
        let is_frozen = self
            .frozen
            .contains(self.nodes.daemon(index).node, self.queue.now());
        let Some(body) = &mut self.nodes.daemon_mut(index).body else {
            return;
        };
        if body.stop.is_some() {
            return;
        }
        body.stop = Some(OrderlyStop::begin(local_now));
        body.is_disturbed = is_frozen;
        self.with_controller(index, |controller, agent, now| controller.leave(agent, now));
    }

    /// Does what is due of a daemon's orderly stop.
    pub(super) fn continue_stop(&mut self, index: usize) {
        let local_now = self.daemon_now(index);
        let Some(body) = &mut self.nodes.daemon_mut(index).body else {
            return;
        };
        let Some(stop) = body.stop.as_mut().filter(|stop| !stop.has_exited) else {
            return;
        };
        let phase = stop.schedule.phase(local_now);
        let is_new_phase = phase > std::mem::replace(&mut stop.phase, phase);
        if is_new_phase {
            self.enter_shutdown_phase(index, phase);
        }
        self.exit_if_due(index);
    }

    fn enter_shutdown_phase(&mut self, index: usize, phase: ShutdownPhase) {
        for number in self.pending_numbers(index) {
            if phase == ShutdownPhase::Ending {
                self.end_unfinished(index, number);
            } else {
                self.withdraw_request(index, number);
            }
        }
    }

    fn pending_numbers(&self, index: usize) -> Vec<u64> {
        let body = self.nodes.daemon(index).body.as_ref();
        body.map(|body| body.pending_requests.keys().copied().collect())
            .unwrap_or_default()
    }

    /// Takes a request back from where it waits.
    fn withdraw_request(&mut self, index: usize, number: u64) {
        let Some(body) = &mut self.nodes.daemon_mut(index).body else {
            return;
        };
        let agent = body.agent.clone();
        let Some(pending) = body.pending_requests.get_mut(&number) else {
            return;
        };
        if !pending.forwarding.withdraw(&agent) {
            return;
        }
        self.record.count_event("requests withdrawn");
        match pending.awaited_step {
            step @ (AwaitedStep::Lookup | AwaitedStep::Acquired) => {
                self.step(index, number, step, |forwarding, agent, now| {
                    forwarding.advance(agent, now)
                });
            }
            AwaitedStep::Outcome => {
                if let Some((held, ticket)) = pending.held_under.clone() {
                    self.apply(index, &held.function, held.fencing_token, |holder, now| {
                        holder.withdraw(now, ticket)
                    });
                }
            }
            AwaitedStep::Forwarded => {
                if let Some(host) = pending.forwarded_to.clone() {
                    self.send_withdrawal(index, number, &host);
                }
            }
        }
    }

    fn send_withdrawal(&mut self, index: usize, number: u64, host: &Host) {
        let requester = self.nodes.daemon(index).requester();
        let Some(to_node) = self.nodes.node_at(host.address) else {
            return;
        };
        if !self.network.reaches(requester.node, to_node) {
            return;
        }
        let reply_target = ReplyTarget::Hop {
            node: requester.node,
            incarnation: requester.incarnation,
            number,
        };
        let to_incarnation = self.nodes.daemon(to_node.daemon_index()).incarnation;
        let delay = self.network.delay(&mut self.rng);
        let body = RequesterNotice::Withdrawn.into_message();
        self.queue.push(
            delay,
            DaemonEvent::Hop(to_node, to_incarnation, reply_target, body),
        );
    }

    /// Handles a notice of the daemon that forwarded a request. Simulated callers never leave, so that no request is
    /// abandoned.
    pub(super) fn handle_requester_notice(&mut self, index: usize, reply_target: ReplyTarget) {
        let body = self.nodes.daemon(index).body.as_ref();
        let number = body.and_then(|body| {
            let mut pending_requests = body.pending_requests.iter();
            pending_requests
                .find(|(_, pending)| pending.reply_target == reply_target)
                .map(|(number, _)| *number)
        });
        if let Some(number) = number {
            self.withdraw_request(index, number);
        }
    }

    /// Ends a request that is left when its daemon is about to exit. One that waited for a runner all the time should
    /// have been withdrawn, unless its holder could not be told.
    fn end_unfinished(&mut self, index: usize, number: u64) {
        let Some(body) = &self.nodes.daemon(index).body else {
            return;
        };
        let Some(pending) = body.pending_requests.get(&number) else {
            return;
        };
        let ForwardingStep::End(outcome, holder) = pending.forwarding.end_unfinished::<u64>()
        else {
            return;
        };
        let idempotency_key = pending.forwarding.request().idempotency_key.clone();
        let is_undisturbed = !body.is_disturbed && self.is_holder_reachable(index, pending);
        if let Some((held, ticket)) = &pending.held_under {
            held.remove_waiter(*ticket);
        }
        if is_undisturbed {
            self.checks
                .check_not_left_waiting(self.queue.now(), index, &idempotency_key);
        }
        self.end(index, number, outcome, holder);
    }

    /// Whether the daemon to which a request was forwarded runs undisturbed and is_reachable this one.
    fn is_holder_reachable(&self, index: usize, pending: &PendingRequest) -> bool {
        let Some(host) = &pending.forwarded_to else {
            return true;
        };
        let own_node = self.nodes.daemon(index).node;
        let is_reachable = |node: Node| {
            let holder = self.nodes.daemon(node.daemon_index());
            holder.body.as_ref().is_some_and(|body| !body.is_disturbed)
                && !self.frozen.contains(node, self.queue.now())
                && self.network.reaches(own_node, node)
                && self.network.reaches(node, own_node)
        };
        self.nodes.node_at(host.address).is_some_and(is_reachable)
    }

    /// Ends a stopping daemon when no requests are left, or when its grace period is over.
    fn exit_if_due(&mut self, index: usize) {
        let local_now = self.daemon_now(index);
        let Some(body) = &self.nodes.daemon(index).body else {
            return;
        };
        let Some(stop) = body.stop else {
            return;
        };
        if local_now < stop.schedule.exit_at && !body.agent.is_drained() {
            return;
        }
        let in_flight: Vec<IdempotencyKey> = body
            .pending_requests
            .values()
            .map(|pending| pending.forwarding.request().idempotency_key.clone())
            .collect();
        if !body.is_disturbed {
            self.checks
                .check_orderly_stop(self.queue.now(), index, &in_flight);
        }
        self.with_controller(index, |controller, agent, _| {
            controller.finish_leaving(agent)
        });
        let node = self.nodes.daemon(index).node;
        let incarnation = self.nodes.daemon(index).incarnation;
        if let Some(stop) = self
            .nodes
            .daemon_mut(index)
            .body
            .as_mut()
            .and_then(|body| body.stop.as_mut())
        {
            stop.has_exited = true;
        }
        self.queue.push(
            LAST_FRAMES_TIME,
            DaemonEvent::ProcessGone(node, incarnation),
        );
    }
}
