//! The graceful shutdown of simulated daemons.

use super::{AwaitedStep, PendingRequest, ReplyTarget};
use crate::sim::event::DaemonEvent;
use crate::sim::network::Node;
use crate::sim::simulation::Simulation;
use common::clock::MonotonicTime;
use common::frames::{Host, RequesterNotice};
use common::identity::IdempotencyKey;
use dataplane::agent::{ForwardingStep, ShutdownPhase, ShutdownSchedule};
use std::time::Duration;

/// The grace period of a graceful shutdown, after which the platform kills the process.
const GRACE: Duration = Duration::from_millis(5600);
/// How long an exiting process waits for its last frames to be sent.
const LAST_FRAMES_TIME: Duration = Duration::from_millis(60);

/// A graceful shutdown in progress.
#[derive(Clone, Copy)]
pub(super) struct GracefulShutdown {
    schedule: ShutdownSchedule,
    phase: ShutdownPhase,
    /// Whether the process is exiting and only its last frames are still sent.
    is_exiting: bool,
}

impl GracefulShutdown {
    fn begin(now: MonotonicTime) -> Self {
        Self {
            schedule: ShutdownSchedule::new(now, GRACE),
            phase: ShutdownPhase::Finishing,
            is_exiting: false,
        }
    }
}

impl Simulation {
    /// Begins the graceful shutdown of a daemon, unless it is already shutting down.
    pub(in crate::sim) fn begin_shutdown(&mut self, index: usize) {
        let local_now = self.daemon_now(index);
        let is_frozen = self
            .frozen
            .contains(self.nodes.daemon(index).node, self.queue.now());
        let Some(process) = &mut self.nodes.daemon_mut(index).process else {
            return;
        };
        if process.shutdown.is_some() {
            return;
        }
        process.shutdown = Some(GracefulShutdown::begin(local_now));
        process.is_disturbed = is_frozen;
        self.update_control(index, |control, agent, now| control.leave(agent, now));
    }

    /// Advances a daemon's graceful shutdown to the phase that is due.
    pub(super) fn continue_shutdown(&mut self, index: usize) {
        let local_now = self.daemon_now(index);
        let Some(process) = &mut self.nodes.daemon_mut(index).process else {
            return;
        };
        let Some(shutdown) = process
            .shutdown
            .as_mut()
            .filter(|shutdown| !shutdown.is_exiting)
        else {
            return;
        };
        let phase = shutdown.schedule.phase(local_now);
        let is_new_phase = phase > std::mem::replace(&mut shutdown.phase, phase);
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
        let process = self.nodes.daemon(index).process.as_ref();
        process
            .map(|process| process.pending_requests.keys().copied().collect())
            .unwrap_or_default()
    }

    /// Withdraws a request from the lease holder or daemon that it waits for.
    fn withdraw_request(&mut self, index: usize, number: u64) {
        let Some(process) = &mut self.nodes.daemon_mut(index).process else {
            return;
        };
        let agent = process.agent.clone();
        let Some(pending) = process.pending_requests.get_mut(&number) else {
            return;
        };
        if !pending.forwarding.withdraw(&agent) {
            return;
        }
        self.record.count_event("requests withdrawn");
        match pending.awaited_step {
            step @ (AwaitedStep::Lookup | AwaitedStep::AcquireResult) => {
                self.step(index, number, step, |forwarding, agent, now| {
                    forwarding.advance(agent, now)
                });
            }
            AwaitedStep::LocalOutcome => {
                if let Some((held, ticket)) = pending.held_under.clone() {
                    self.update_holder(index, &held.function, held.fencing_token, |holder, now| {
                        holder.withdraw(now, ticket)
                    });
                }
            }
            AwaitedStep::ForwardResult => {
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
        let reply_target = ReplyTarget::Peer {
            node: requester.node,
            incarnation: requester.incarnation,
            number,
        };
        let to_incarnation = self.nodes.daemon(to_node.daemon_index()).incarnation;
        let delay = self.network.delay(&mut self.rng);
        let body = RequesterNotice::Withdrawn.into_message();
        self.queue.push(
            delay,
            DaemonEvent::PeerMessage(to_node, to_incarnation, reply_target, body),
        );
    }

    /// Handles a notice from the daemon that forwarded a request. It is always a withdrawal, since simulated callers
    /// never disconnect and so abandon no request.
    pub(super) fn handle_requester_notice(&mut self, index: usize, reply_target: ReplyTarget) {
        let process = self.nodes.daemon(index).process.as_ref();
        let number = process.and_then(|process| {
            let mut pending_requests = process.pending_requests.iter();
            pending_requests
                .find(|(_, pending)| pending.reply_target == reply_target)
                .map(|(number, _)| *number)
        });
        if let Some(number) = number {
            self.withdraw_request(index, number);
        }
    }

    /// Ends a request that is left when its daemon is about to exit. If no runner has received the request, it must have
    /// been withdrawn before, unless its lease holder could not be notified.
    fn end_unfinished(&mut self, index: usize, number: u64) {
        let Some(process) = &self.nodes.daemon(index).process else {
            return;
        };
        let Some(pending) = process.pending_requests.get(&number) else {
            return;
        };
        let ForwardingStep::End(outcome, holder) = pending.forwarding.end_unfinished::<u64>()
        else {
            return;
        };
        let idempotency_key = pending.forwarding.request().idempotency_key.clone();
        let is_undisturbed = !process.is_disturbed && self.is_holder_reachable(index, pending);
        if let Some((held, ticket)) = &pending.held_under {
            held.remove_waiter(*ticket);
        }
        if is_undisturbed {
            self.checks
                .check_not_left_waiting(self.queue.now(), index, &idempotency_key);
        }
        self.end_request(index, number, outcome, holder);
    }

    /// Whether the daemon to which a request was forwarded runs undisturbed and is connected with this one in both
    /// directions.
    fn is_holder_reachable(&self, index: usize, pending: &PendingRequest) -> bool {
        let Some(host) = &pending.forwarded_to else {
            return true;
        };
        let own_node = self.nodes.daemon(index).node;
        let is_reachable = |node: Node| {
            let holder = self.nodes.daemon(node.daemon_index());
            holder
                .process
                .as_ref()
                .is_some_and(|process| !process.is_disturbed)
                && !self.frozen.contains(node, self.queue.now())
                && self.network.reaches(own_node, node)
                && self.network.reaches(node, own_node)
        };
        self.nodes.node_at(host.address).is_some_and(is_reachable)
    }

    /// Lets a stopping daemon exit when no requests are left or its grace period is over.
    fn exit_if_due(&mut self, index: usize) {
        let local_now = self.daemon_now(index);
        let Some(process) = &self.nodes.daemon(index).process else {
            return;
        };
        let Some(shutdown) = process.shutdown else {
            return;
        };
        if local_now < shutdown.schedule.exit_at && !process.agent.is_drained() {
            return;
        }
        let in_flight: Vec<IdempotencyKey> = process
            .pending_requests
            .values()
            .map(|pending| pending.forwarding.request().idempotency_key.clone())
            .collect();
        if !process.is_disturbed {
            self.checks
                .check_graceful_shutdown(self.queue.now(), index, &in_flight);
        }
        self.update_control(index, |control, agent, _| control.finish_leaving(agent));
        let node = self.nodes.daemon(index).node;
        let incarnation = self.nodes.daemon(index).incarnation;
        if let Some(shutdown) = self
            .nodes
            .daemon_mut(index)
            .process
            .as_mut()
            .and_then(|process| process.shutdown.as_mut())
        {
            shutdown.is_exiting = true;
        }
        self.queue.push(
            LAST_FRAMES_TIME,
            DaemonEvent::ProcessExited(node, incarnation),
        );
    }
}
