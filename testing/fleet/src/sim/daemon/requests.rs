//! Requests in simulated daemons, from the call to the response to the caller.

use super::{AwaitedStep, PendingRequest, ReplyTarget, virtual_span};
use crate::sim::event::DaemonEvent;
use crate::sim::simulation::Simulation;
use common::clock::MonotonicTime;
use common::frames::{DaemonMessage, Host, RequestOutcome, RequestPayload, RequesterNotice};
use common::identity::{IdempotencyKey, Region};
use dataplane::agent::{
    Agent, AttemptLimits, ForwardResult, Forwarding, ForwardingStep, FunctionRequest, HeldFunction,
    HolderRequest,
};
use dataplane::owners::is_current_owner;
use std::sync::Arc;
use std::time::Duration;

impl Simulation {
    /// Draws the delay of a message to the platform or a runner, which is occasionally much longer than usual.
    pub(in crate::sim) fn occasionally_long_delay(&mut self) -> Duration {
        if self.rng.random_bool(0.02) {
            self.rng
                .within(Duration::from_millis(10), Duration::from_millis(400))
        } else {
            self.network.delay(&mut self.rng)
        }
    }

    /// Handles a caller's request at a daemon's ingress.
    pub(in crate::sim) fn call(
        &mut self,
        index: usize,
        idempotency_key: IdempotencyKey,
        route_name: &str,
        timeout: Duration,
        is_caller_retry: bool,
    ) {
        let local_now = self.daemon_now(index);
        let Some(agent) = self.nodes.agent(index) else {
            return;
        };
        let table = agent.routing_table_snapshot();
        let route = table
            .route_named(route_name)
            .filter(|_| agent.is_serving(local_now) && !agent.is_leaving());
        let Some(route) = route else {
            self.checks
                .check_not_run(self.queue.now(), &idempotency_key);
            self.record.count_event("not_run");
            return;
        };
        let function = table.function(route.function).key.clone();
        self.checks.record_call(
            self.queue.now(),
            &function,
            &idempotency_key,
            route_name,
            route.spec.once,
            is_caller_retry,
        );
        let request = FunctionRequest {
            idempotency_key,
            function,
            route: route_name.to_owned(),
            version: table.version(),
            limits: AttemptLimits::of_route(&route.spec),
            deadline: local_now + timeout.min(route.spec.timeout),
            hops: 0,
            is_retry: is_caller_retry,
            wants_referral: true,
            region: agent
                .own_region()
                .cloned()
                .unwrap_or_else(|| Region::from("")),
            payload: Arc::new(RequestPayload {
                target: format!("/{route_name}").as_str().into(),
                ..RequestPayload::from_body(Vec::new().into())
            }),
        };
        self.accept_request(index, request, ReplyTarget::Caller);
    }

    /// Handles a frame from another daemon.
    pub(in crate::sim) fn handle_peer_message(
        &mut self,
        index: usize,
        reply_target: ReplyTarget,
        body: DaemonMessage,
    ) {
        if RequesterNotice::from_message(&body).is_some() {
            self.handle_requester_notice(index, reply_target);
        } else if let Ok(request) = FunctionRequest::from_message(self.daemon_now(index), body) {
            self.accept_request(index, request, reply_target);
        }
    }

    pub(in crate::sim) fn accept_request(
        &mut self,
        index: usize,
        request: FunctionRequest,
        reply_target: ReplyTarget,
    ) {
        let local_now = self.daemon_now(index);
        let number = self.numbers.next();
        let Some(process) = &mut self.nodes.daemon_mut(index).process else {
            return;
        };
        let in_flight = process.agent.track_in_flight();
        let forwarding = Forwarding::new(local_now, request);
        let pending = PendingRequest {
            forwarding,
            reply_target,
            awaited_step: AwaitedStep::Lookup,
            timer_generation: 0,
            forwarded_to: None,
            held_under: None,
            regional_delay_deciseconds: 0,
            _in_flight: in_flight,
        };
        process.pending_requests.insert(number, pending);
        self.advance(index, number);
    }

    /// Repeats the lookup of a request when its timer expires, unless a later timer was set since.
    pub(in crate::sim) fn handle_lookup_timer(
        &mut self,
        index: usize,
        number: u64,
        timer_generation: u64,
    ) {
        let is_due = self
            .nodes
            .daemon(index)
            .process
            .as_ref()
            .is_some_and(|process| {
                process
                    .pending_requests
                    .get(&number)
                    .is_some_and(|pending| pending.timer_generation == timer_generation)
            });
        if is_due {
            self.advance(index, number);
        }
    }

    /// Repeats the lookup of a request that waits for one.
    pub(in crate::sim) fn advance(&mut self, index: usize, number: u64) {
        self.step(
            index,
            number,
            AwaitedStep::Lookup,
            |forwarding, agent, now| forwarding.advance(agent, now),
        );
    }

    /// Handles the timeout of a request's wait for the leader's reply to an acquire.
    pub(in crate::sim) fn handle_acquire_timeout(&mut self, index: usize, number: u64) {
        self.step(
            index,
            number,
            AwaitedStep::AcquireResult,
            |forwarding, agent, now| forwarding.advance(agent, now),
        );
    }

    /// Repeats the lookup of all requests that wait for one, after a change.
    pub(in crate::sim) fn look_up_all(&mut self, index: usize) {
        let node = self.nodes.daemon(index).node;
        let incarnation = self.nodes.daemon(index).incarnation;
        let Some(process) = &self.nodes.daemon(index).process else {
            return;
        };
        let waiting_lookups: Vec<u64> = process
            .pending_requests
            .iter()
            .filter(|(_, pending)| pending.awaited_step == AwaitedStep::Lookup)
            .map(|(number, _)| *number)
            .collect();
        self.end_forwards_to_departed(index);
        for number in waiting_lookups {
            let Some(process) = &mut self.nodes.daemon_mut(index).process else {
                return;
            };
            let Some(pending) = process.pending_requests.get_mut(&number) else {
                continue;
            };
            pending.timer_generation += 1;
            let lookup = DaemonEvent::Lookup(node, incarnation, number, pending.timer_generation);
            self.queue.push(Duration::from_micros(2), lookup);
        }
    }

    /// Stops waiting for daemons that are no longer considered alive. Each request gets a new number, so that a late
    /// reply is ignored.
    pub(in crate::sim) fn end_forwards_to_departed(&mut self, index: usize) {
        let Some(process) = &mut self.nodes.daemon_mut(index).process else {
            return;
        };
        let hosts = process.agent.live_hosts();
        let is_to_departed = |pending: &PendingRequest| {
            pending.awaited_step == AwaitedStep::ForwardResult
                && pending
                    .forwarded_to
                    .as_ref()
                    .is_some_and(|host| !is_current_owner(host, &hosts))
        };
        let lost: Vec<u64> = process
            .pending_requests
            .iter()
            .filter(|(_, pending)| is_to_departed(pending))
            .map(|(number, _)| *number)
            .collect();
        for number in lost {
            let new_number = self.numbers.next();
            let Some(process) = &mut self.nodes.daemon_mut(index).process else {
                return;
            };
            let Some(pending) = process.pending_requests.remove(&number) else {
                continue;
            };
            process.pending_requests.insert(new_number, pending);
            self.record.count_event("passes to the gone");
            self.handle_forward_result(index, new_number, ForwardResult::Lost);
        }
    }

    /// Passes an input to a request if it waits for this input, and executes its next step.
    pub(super) fn step(
        &mut self,
        index: usize,
        number: u64,
        expected_step: AwaitedStep,
        change: impl FnOnce(&mut Forwarding, &Agent<u64>, MonotonicTime) -> ForwardingStep<u64>,
    ) {
        let local_now = self.daemon_now(index);
        let Some(process) = &mut self.nodes.daemon_mut(index).process else {
            return;
        };
        let Some(pending) = process.pending_requests.get_mut(&number) else {
            return;
        };
        if pending.awaited_step != expected_step {
            return;
        }
        let agent = process.agent.clone();
        let function_before = pending.forwarding.request().function.clone();
        let next_step = change(&mut pending.forwarding, &agent, local_now);
        let function = pending.forwarding.request().function.clone();
        let is_first = !pending.forwarding.request().is_retry;
        pending.awaited_step = match &next_step {
            ForwardingStep::Serve(..) => AwaitedStep::LocalOutcome,
            ForwardingStep::Forward { .. } => AwaitedStep::ForwardResult,
            ForwardingStep::Acquire { .. } => AwaitedStep::AcquireResult,
            ForwardingStep::Wait { .. } | ForwardingStep::End(..) => AwaitedStep::Lookup,
        };
        if function != function_before && is_first {
            self.checks
                .move_first_attempt(self.queue.now(), &function_before, &function);
        }
        match next_step {
            ForwardingStep::Serve(held, holder_request) => {
                self.serve(index, number, &held, holder_request)
            }
            ForwardingStep::Forward {
                host,
                body,
                wait_until,
            } => {
                pending.forwarded_to = Some(host.clone());
                self.forward(index, number, &host, body, wait_until);
            }
            ForwardingStep::Acquire { wait_until } => self.acquire(index, number, wait_until),
            ForwardingStep::Wait { wait_until } => self.schedule_lookup(index, wait_until, number),
            ForwardingStep::End(outcome, holder) => {
                self.end_request(index, number, outcome, holder)
            }
        }
    }

    /// Passes a request to a lease holder in this daemon.
    pub(in crate::sim) fn serve(
        &mut self,
        index: usize,
        number: u64,
        held: &Arc<HeldFunction<u64>>,
        holder_request: HolderRequest,
    ) {
        let local_now = self.daemon_now(index);
        let Some(agent) = self.nodes.agent(index) else {
            return;
        };
        let ticket = agent.next_ticket();
        let process = self.nodes.daemon_mut(index).process.as_mut();
        if let Some(pending) = process.and_then(|process| process.pending_requests.get_mut(&number))
        {
            pending.held_under = Some((held.clone(), ticket));
            pending.forwarded_to = None;
        }
        let admitted = held.admit(local_now, ticket, holder_request.clone(), number);
        let (immediate, outputs) = admitted;
        if let Some((_, outcome)) = &immediate {
            self.checks
                .record_holder_outcome(held.fencing_token, &holder_request, outcome);
        }
        self.execute_outputs(index, held, outputs);
        if let Some((number, outcome)) = immediate {
            self.step(
                index,
                number,
                AwaitedStep::LocalOutcome,
                |forwarding, agent, now| forwarding.handle_local_outcome(agent, now, outcome),
            );
        }
    }

    /// Requests the function's lease from the leader, unless another request for the function has done so.
    pub(in crate::sim) fn acquire(&mut self, index: usize, number: u64, wait_until: MonotonicTime) {
        let node = self.nodes.daemon(index).node;
        let incarnation = self.nodes.daemon(index).incarnation;
        let span = wait_until.since(self.daemon_now(index));
        let delay = virtual_span(span, self.nodes.daemon(index).clock_drift);
        self.queue.push(
            delay,
            DaemonEvent::AcquireTimedOut(node, incarnation, number),
        );
        let Some(process) = &mut self.nodes.daemon_mut(index).process else {
            return;
        };
        let function = process.pending_requests[&number]
            .forwarding
            .request()
            .function
            .clone();
        let waiting = process.awaiting_lease.entry(function.clone()).or_default();
        waiting.push(number);
        if waiting.len() == 1 {
            self.update_control(index, |control, agent, now| {
                control.request_lease(agent, now, function)
            });
        }
    }

    /// Forwards a request to another daemon.
    pub(in crate::sim) fn forward(
        &mut self,
        index: usize,
        number: u64,
        host: &Host,
        body: DaemonMessage,
        wait_until: MonotonicTime,
    ) {
        let node = self.nodes.daemon(index).node;
        let incarnation = self.nodes.daemon(index).incarnation;
        let wait_span = wait_until.since(self.daemon_now(index));
        let wait_span = virtual_span(wait_span, self.nodes.daemon(index).clock_drift);
        let Some(to_node) = self.nodes.node_at(host.address) else {
            return;
        };
        let is_dead = self.nodes.daemon(to_node.daemon_index()).process.is_none();
        let delay = self.network.delay(&mut self.rng);
        if is_dead {
            self.queue.push(
                delay,
                DaemonEvent::ForwardEnded(node, incarnation, number, ForwardResult::Unsent, 0),
            );
            return;
        }
        if !self.network.reaches(node, to_node) {
            let is_lost = self.rng.random_bool(0.5);
            let (result, failed_after) = if is_lost {
                (ForwardResult::Lost, wait_span)
            } else {
                (ForwardResult::Unsent, Duration::from_millis(400))
            };
            self.queue.push(
                failed_after,
                DaemonEvent::ForwardEnded(node, incarnation, number, result, 0),
            );
            return;
        }
        self.queue.push(
            wait_span,
            DaemonEvent::ForwardEnded(node, incarnation, number, ForwardResult::Lost, 0),
        );
        let reply_target = ReplyTarget::Peer {
            node,
            incarnation,
            number,
        };
        let to_incarnation = self.nodes.daemon(to_node.daemon_index()).incarnation;
        self.queue.push(
            delay,
            DaemonEvent::PeerMessage(to_node, to_incarnation, reply_target, body),
        );
    }

    /// Handles the reply of the daemon to which a request was forwarded, or the lack of a reply.
    pub(in crate::sim) fn finish_forward(
        &mut self,
        index: usize,
        number: u64,
        result: ForwardResult,
        regional_delay_deciseconds: u8,
    ) {
        let process = self.nodes.daemon_mut(index).process.as_mut();
        if let Some(pending) = process.and_then(|process| process.pending_requests.get_mut(&number))
        {
            pending.regional_delay_deciseconds = regional_delay_deciseconds;
        }
        self.handle_forward_result(index, number, result);
    }

    /// Passes the result of forwarding to a request that waits for it.
    pub(in crate::sim) fn handle_forward_result(
        &mut self,
        index: usize,
        number: u64,
        result: ForwardResult,
    ) {
        self.step(
            index,
            number,
            AwaitedStep::ForwardResult,
            |forwarding, agent, now| forwarding.handle_forward_result(agent, now, result),
        );
    }

    /// Returns the outcome of a request to its caller, or to the daemon that forwarded it.
    pub(in crate::sim) fn end_request(
        &mut self,
        index: usize,
        number: u64,
        outcome: RequestOutcome,
        holder: Option<Host>,
    ) {
        let node = self.nodes.daemon(index).node;
        let Some(process) = &mut self.nodes.daemon_mut(index).process else {
            return;
        };
        let Some(pending) = process.pending_requests.remove(&number) else {
            return;
        };
        let regional_delay_deciseconds = self.regional_hint(index, &pending);
        match pending.reply_target {
            ReplyTarget::Caller => {
                self.handle_regional_hint(
                    index,
                    pending.forwarding.request(),
                    &outcome,
                    regional_delay_deciseconds,
                );
                self.deliver_outcome(pending.forwarding.request(), &outcome);
            }
            ReplyTarget::Peer {
                node: reply_node,
                incarnation,
                number,
            } => {
                if self.network.reaches(node, reply_node) {
                    let delay = self.network.delay(&mut self.rng);
                    let result = ForwardResult::Completed(outcome, holder);
                    self.queue.push(
                        delay,
                        DaemonEvent::ForwardEnded(
                            reply_node,
                            incarnation,
                            number,
                            result,
                            regional_delay_deciseconds,
                        ),
                    );
                }
            }
        }
    }

    /// Returns the hint about the requesting region's own key that is sent with an outcome: that of this daemon if it
    /// has one, otherwise the one that came with the reply to a forwarded request.
    fn regional_hint(&self, index: usize, pending: &PendingRequest) -> u8 {
        let request = pending.forwarding.request();
        let local_now = self.daemon_now(index);
        let agent = self.nodes.agent(index);
        let own_hint = agent.map_or(0, |agent| {
            agent.regional_hint(local_now, &request.function, &request.region)
        });
        if own_hint > 0 {
            own_hint
        } else {
            pending.regional_delay_deciseconds
        }
    }

    /// Applies the hint about the region's own key that came with a reply.
    fn handle_regional_hint(
        &mut self,
        index: usize,
        request: &FunctionRequest,
        outcome: &RequestOutcome,
        regional_delay_deciseconds: u8,
    ) {
        let local_now = self.daemon_now(index);
        let Some(agent) = self.nodes.agent(index) else {
            return;
        };
        if request.function.is_regional() {
            self.record.count_event("served under a region's key");
        }
        let is_answer = matches!(outcome, RequestOutcome::Response { .. });
        if is_answer
            && agent.handle_regional_hint(local_now, &request.function, regional_delay_deciseconds)
        {
            self.record.count_event("regional keys heard of");
            self.update_control(index, |control, _, now| {
                control.recheck_warm_functions(now);
                Vec::new()
            });
        }
    }

    /// Checks and counts the outcome that a caller receives. After a refusal, the caller may retry.
    pub(in crate::sim) fn deliver_outcome(
        &mut self,
        request: &FunctionRequest,
        outcome: &RequestOutcome,
    ) {
        let idempotency_key = &request.idempotency_key;
        match outcome {
            RequestOutcome::Response {
                seal, runner, body, ..
            } => {
                self.checks.check_answer(
                    self.queue.now(),
                    idempotency_key,
                    &request.function,
                    *runner,
                    &seal.0,
                    body,
                );
                self.record.count_event("answer");
                self.answer_shares.record_answer(idempotency_key);
            }
            RequestOutcome::NotRun {
                reason,
                retry_after_ms,
            } => {
                self.checks.check_not_run(self.queue.now(), idempotency_key);
                self.record.count_event(reason.as_str());
                if *retry_after_ms == 0 {
                    let what = format!("{idempotency_key} is refused without a retry delay");
                    self.checks.report_violation(self.queue.now(), what);
                }
                self.handle_refusal(request);
            }
            RequestOutcome::Unknown { .. } => self.record.count_event("unknown"),
        }
    }
}
