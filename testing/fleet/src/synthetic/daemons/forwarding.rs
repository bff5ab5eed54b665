//! The steps of requests in daemons, and the messages between daemons.

use super::numbered_frame;
use crate::synthetic::events::{DaemonEvent, Event, ReplyTarget, RequestEvent, RequestKey};
use crate::synthetic::fleet::SyntheticFleet;
use crate::synthetic::members::{AwaitedStep, PendingRequest};
use crate::synthetic::meter::{Role, Work};
use crate::synthetic::wire;
use bytes::Bytes;
use common::clock::MonotonicTime;
use common::frames::{
    AcquireResult, DaemonFrame, DaemonMessage, Host, LengthPrefixed, RequestOutcome,
};
use common::identity::FunctionKey;
use dataplane::agent::{
    Agent, ForwardResult, Forwarding, ForwardingStep, FunctionRequest, HeldFunction, HolderRequest,
};
use std::sync::Arc;
use std::time::Duration;

impl SyntheticFleet {
    /// Handles an event of a pending request in a daemon.
    pub(in crate::synthetic) fn handle_request_event(
        &mut self,
        request: RequestKey,
        event: RequestEvent,
    ) {
        match event {
            RequestEvent::Lookup(generation) => self.handle_lookup_timer(request, generation),
            RequestEvent::AcquireTimedOut => self.advance(request, AwaitedStep::AcquireResult),
            RequestEvent::ForwardReply(frame) => self.handle_forward_reply(request, &frame),
            RequestEvent::Forwarded(result) => self.handle_forward_result(request, result),
        }
    }

    pub(super) fn accept_request(
        &mut self,
        daemon: usize,
        function_request: FunctionRequest,
        reply_target: ReplyTarget,
    ) {
        let number = self.next_number();
        let now = self.now;
        let Some(started_daemon) = &mut self.daemons[daemon] else {
            return;
        };
        let in_flight = started_daemon.agent.track_in_flight();
        let pending = PendingRequest {
            forwarding: Forwarding::new(now, function_request),
            reply_target,
            awaited_step: AwaitedStep::Lookup,
            timer_generation: 0,
            _in_flight: in_flight,
        };
        started_daemon.pending_requests.insert(number, pending);
        self.advance(RequestKey { daemon, number }, AwaitedStep::Lookup);
    }

    /// Repeats the lookup of a request when its timer expires, unless a later timer was set since.
    fn handle_lookup_timer(&mut self, request: RequestKey, generation: u64) {
        if self
            .pending_request(request)
            .is_some_and(|pending| pending.timer_generation == generation)
        {
            self.advance(request, AwaitedStep::Lookup);
        }
    }

    /// Repeats the lookup of all requests that wait for one, after a change.
    pub(super) fn look_up_all(&mut self, daemon: usize) {
        let Some(started_daemon) = &mut self.daemons[daemon] else {
            return;
        };
        let mut waiting_lookups: Vec<(u64, u64)> = started_daemon
            .pending_requests
            .iter_mut()
            .filter(|(_, pending)| pending.awaited_step == AwaitedStep::Lookup)
            .map(|(number, pending)| {
                pending.timer_generation += 1;
                (*number, pending.timer_generation)
            })
            .collect();
        waiting_lookups.sort_unstable();
        for (number, generation) in waiting_lookups {
            let request = RequestKey { daemon, number };
            self.push(
                Duration::from_micros(2),
                Event::Request(request, RequestEvent::Lookup(generation)),
            );
        }
    }

    fn advance(&mut self, request: RequestKey, expected_step: AwaitedStep) {
        self.step(request, expected_step, |forwarding, agent, now| {
            forwarding.advance(agent, now)
        });
    }

    /// Passes an input to a request if it waits for this input, and takes its next step.
    fn step(
        &mut self,
        request: RequestKey,
        expected_step: AwaitedStep,
        change: impl FnOnce(&mut Forwarding, &Agent<u64>, MonotonicTime) -> ForwardingStep<u64>,
    ) {
        let now = self.now;
        let Some(started_daemon) = &mut self.daemons[request.daemon] else {
            return;
        };
        let agent = started_daemon.agent.clone();
        let Some(pending) = started_daemon.pending_requests.get_mut(&request.number) else {
            return;
        };
        if pending.awaited_step != expected_step {
            return;
        }
        let forwarding = &mut pending.forwarding;
        let (next_step, _) = self.meter.measure_step(Role::Ingress, Work::Calls, || {
            change(forwarding, &agent, now)
        });
        pending.awaited_step = awaited_after(&next_step);
        self.take_step(request, next_step);
    }

    /// Executes the step that a request asks for.
    fn take_step(&mut self, request: RequestKey, step: ForwardingStep<u64>) {
        match step {
            ForwardingStep::Serve(held, holder_request) => {
                self.serve(request, &held, holder_request);
            }
            ForwardingStep::Forward {
                host,
                body,
                wait_until,
            } => self.forward(request, &host, body, wait_until),
            ForwardingStep::Acquire { wait_until } => self.acquire(request, wait_until),
            ForwardingStep::Wait { wait_until } => self.schedule_lookup(request, wait_until),
            ForwardingStep::End(outcome, holder) => self.end_request(request, outcome, holder),
        }
    }

    /// Sets the timer of a request's next lookup. Earlier timers are then ignored.
    fn schedule_lookup(&mut self, request: RequestKey, wait_until: MonotonicTime) {
        let Some(pending) = self.pending_request(request) else {
            return;
        };
        pending.timer_generation += 1;
        let generation = pending.timer_generation;
        let wait_span = wait_until.since(self.now);
        self.push(
            wait_span,
            Event::Request(request, RequestEvent::Lookup(generation)),
        );
    }

    /// Passes a request to a lease holder in this daemon.
    fn serve(
        &mut self,
        request: RequestKey,
        held: &Arc<HeldFunction<u64>>,
        holder_request: HolderRequest,
    ) {
        let now = self.now;
        let RequestKey { daemon, number } = request;
        let Some(agent) = self.agent(daemon) else {
            return;
        };
        let ((immediate_outcome, outputs), _) =
            self.meter.measure_step(Role::Holder, Work::Runs, || {
                held.admit(now, agent.next_ticket(), holder_request, number)
            });
        self.execute_outputs(daemon, held, outputs);
        self.tick_for_holder(daemon, held);
        if let Some((number, outcome)) = immediate_outcome {
            self.handle_local_outcome(RequestKey { daemon, number }, outcome);
        }
    }

    pub(super) fn handle_local_outcome(&mut self, request: RequestKey, outcome: RequestOutcome) {
        self.step(
            request,
            AwaitedStep::LocalOutcome,
            |forwarding, agent, now| forwarding.handle_local_outcome(agent, now, outcome),
        );
    }

    /// Forwards a request to another daemon.
    fn forward(
        &mut self,
        request: RequestKey,
        host: &Host,
        body: DaemonMessage,
        wait_until: MonotonicTime,
    ) {
        let Some(other) = self.daemon_at(host.address) else {
            return;
        };
        let frame = numbered_frame(request.number, body);
        let Some(frame) = self.encode_peer_frame(&frame) else {
            return;
        };
        let wait_span = wait_until.since(self.now);
        let lost = RequestEvent::Forwarded(ForwardResult::Lost);
        self.push(wait_span, Event::Request(request, lost));
        let peer_request = DaemonEvent::PeerRequest {
            reply_target: ReplyTarget::Peer(request),
            frame,
        };
        let delay = Self::message_delay(request.daemon, other);
        self.push(delay, Event::Daemon(other, peer_request));
    }

    fn encode_peer_frame(&mut self, frame: &DaemonFrame) -> Option<Bytes> {
        wire::encode_sent(&mut self.meter, Role::Ingress, Work::Calls, frame)
    }

    fn decode_peer_frame(&mut self, bytes: &Bytes) -> Option<DaemonFrame> {
        wire::decode_received(&mut self.meter, Role::Ingress, Work::Calls, bytes)
    }

    /// Handles a request that another daemon forwarded.
    pub(super) fn handle_peer_request(
        &mut self,
        daemon: usize,
        reply_target: ReplyTarget,
        bytes: &Bytes,
    ) {
        let Some(frame) = self.decode_peer_frame(bytes) else {
            return;
        };
        if let Ok(function_request) = FunctionRequest::from_message(self.now, frame.body) {
            self.accept_request(daemon, function_request, reply_target);
        }
    }

    /// Handles the reply of the daemon to which a request was forwarded.
    fn handle_forward_reply(&mut self, request: RequestKey, bytes: &Bytes) {
        let Some(frame) = self.decode_peer_frame(bytes) else {
            return;
        };
        if let DaemonMessage::Completed {
            outcome, holder, ..
        } = frame.body
        {
            let result = ForwardResult::Completed(outcome, holder.0.into_iter().next());
            self.handle_forward_result(request, result);
        }
    }

    fn handle_forward_result(&mut self, request: RequestKey, result: ForwardResult) {
        self.step(
            request,
            AwaitedStep::ForwardResult,
            |forwarding, agent, now| forwarding.handle_forward_result(agent, now, result),
        );
    }

    /// Returns the outcome of a request to its caller, or to the daemon that forwarded it.
    fn end_request(&mut self, request: RequestKey, outcome: RequestOutcome, holder: Option<Host>) {
        let Some(started_daemon) = &mut self.daemons[request.daemon] else {
            return;
        };
        let Some(pending) = started_daemon.pending_requests.remove(&request.number) else {
            return;
        };
        match pending.reply_target {
            ReplyTarget::Caller => match outcome {
                RequestOutcome::Response { .. } => self.record.answered += 1,
                RequestOutcome::NotRun { .. } => self.record.not_run += 1,
                RequestOutcome::Unknown { .. } => self.record.unknown += 1,
            },
            ReplyTarget::Peer(requester) => {
                self.reply_to_peer(request.daemon, requester, outcome, holder);
            }
        }
    }

    fn reply_to_peer(
        &mut self,
        daemon: usize,
        requester: RequestKey,
        outcome: RequestOutcome,
        holder: Option<Host>,
    ) {
        let body = DaemonMessage::Completed {
            outcome,
            holder: LengthPrefixed(holder.into_iter().collect()),
            regional_delay_deciseconds: 0,
        };
        let Some(bytes) = self.encode_peer_frame(&numbered_frame(requester.number, body)) else {
            return;
        };
        let delay = Self::message_delay(daemon, requester.daemon);
        self.push(
            delay,
            Event::Request(requester, RequestEvent::ForwardReply(bytes)),
        );
    }

    /// Requests the function's lease from the leader, unless another request for the function has done so.
    fn acquire(&mut self, request: RequestKey, wait_until: MonotonicTime) {
        let RequestKey { daemon, number } = request;
        let wait_span = wait_until.since(self.now);
        self.push(
            wait_span,
            Event::Request(request, RequestEvent::AcquireTimedOut),
        );
        let Some(started_daemon) = &mut self.daemons[daemon] else {
            return;
        };
        let Some(pending) = started_daemon.pending_requests.get(&number) else {
            return;
        };
        let function = pending.forwarding.request().function.clone();
        let waiting = started_daemon
            .awaiting_lease
            .entry(function.clone())
            .or_default();
        waiting.push(number);
        if waiting.len() == 1 {
            self.step_control(daemon, Work::Leases, |daemon_control, agent, now| {
                daemon_control.request_lease(agent, now, function)
            });
        }
    }

    /// Passes the leader's reply to all requests that wait for the function's lease.
    pub(super) fn handle_acquire_result(
        &mut self,
        daemon: usize,
        function: &FunctionKey,
        result: &Option<AcquireResult>,
    ) {
        let Some(started_daemon) = &mut self.daemons[daemon] else {
            return;
        };
        for number in started_daemon
            .awaiting_lease
            .remove(function)
            .unwrap_or_default()
        {
            let request = RequestKey { daemon, number };
            self.step(
                request,
                AwaitedStep::AcquireResult,
                |forwarding, agent, now| {
                    forwarding.handle_acquire_result(agent, now, result.clone())
                },
            );
        }
    }
}

/// Returns the step that a request waits for after this one.
fn awaited_after(step: &ForwardingStep<u64>) -> AwaitedStep {
    match step {
        ForwardingStep::Serve(..) => AwaitedStep::LocalOutcome,
        ForwardingStep::Forward { .. } => AwaitedStep::ForwardResult,
        ForwardingStep::Acquire { .. } => AwaitedStep::AcquireResult,
        ForwardingStep::Wait { .. } | ForwardingStep::End(..) => AwaitedStep::Lookup,
    }
}
