//! Forwarding of requests through daemons, step by step, and the hops between daemons.

use super::hop_frame;
use crate::synthetic::events::{Event, ReplyTarget};
use crate::synthetic::fleet::SyntheticFleet;
use crate::synthetic::meter::{Role, Work};
use crate::synthetic::wire;
use bytes::Bytes;
use common::clock::MonotonicTime;
use common::frames::{
    AcquireResult, DaemonFrame, DaemonMessage, Host, LengthPrefixed, RequestOutcome, decode, encode,
};
use common::identity::FunctionKey;
use dataplane::agent::{
    Agent, ForwardResult, Forwarding, ForwardingStep, FunctionRequest, HeldFunction, HolderRequest,
    InFlightGuard,
};
use std::sync::Arc;
use std::time::Duration;

/// What a request in a daemon waits for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum AwaitedStep {
    Lookup,
    Outcome,
    Forwarded,
    Acquired,
}

/// A request in a daemon.
pub(in crate::synthetic) struct PendingRequest {
    forwarding: Forwarding,
    reply_target: ReplyTarget,
    awaited_step: AwaitedStep,
    wakes: u64,
    _in_flight: InFlightGuard,
}

impl SyntheticFleet {
    pub(super) fn accept_request(
        &mut self,
        daemon: usize,
        request: FunctionRequest,
        reply_target: ReplyTarget,
    ) {
        let number = self.number();
        let now = self.now;
        let Some(started_daemon) = &mut self.daemons[daemon] else {
            return;
        };
        let in_flight = started_daemon.agent.track_in_flight();
        let forwarding = Forwarding::new(now, request);
        let pending = PendingRequest {
            forwarding,
            reply_target,
            awaited_step: AwaitedStep::Lookup,
            wakes: 0,
            _in_flight: in_flight,
        };
        started_daemon.pending_requests.insert(number, pending);
        self.step(
            daemon,
            number,
            AwaitedStep::Lookup,
            |forwarding, agent, now| forwarding.advance(agent, now),
        );
    }

    /// Handles the timeout of a wait, unless the request has advanced since.
    pub(super) fn advance(&mut self, daemon: usize, number: u64, wake: u64) {
        if self
            .pending(daemon, number)
            .is_some_and(|pending| pending.wakes == wake)
        {
            self.step(
                daemon,
                number,
                AwaitedStep::Lookup,
                |forwarding, agent, now| forwarding.advance(agent, now),
            );
        }
    }

    /// Repeats the lookup of waiting requests after a change.
    pub(in crate::synthetic) fn look_up_all(&mut self, daemon: usize) {
        let Some(started_daemon) = &mut self.daemons[daemon] else {
            return;
        };
        let mut waiting_lookups: Vec<(u64, u64)> = started_daemon
            .pending_requests
            .iter_mut()
            .filter(|(_, pending)| pending.awaited_step == AwaitedStep::Lookup)
            .map(|(number, pending)| {
                pending.wakes += 1;
                (*number, pending.wakes)
            })
            .collect();
        waiting_lookups.sort_unstable();
        for (number, wake) in waiting_lookups {
            self.push(
                Duration::from_micros(2),
                Event::Lookup {
                    daemon,
                    number,
                    wake,
                },
            );
        }
    }

    pub(super) fn step(
        &mut self,
        daemon: usize,
        number: u64,
        expected_step: AwaitedStep,
        change: impl FnOnce(&mut Forwarding, &Agent<u64>, MonotonicTime) -> ForwardingStep<u64>,
    ) {
        let now = self.now;
        let Some(started_daemon) = &mut self.daemons[daemon] else {
            return;
        };
        let agent = started_daemon.agent.clone();
        let Some(pending) = started_daemon.pending_requests.get_mut(&number) else {
            return;
        };
        if pending.awaited_step != expected_step {
            return;
        }
        let forwarding = &mut pending.forwarding;
        let (next_step, _) = self.meter.measure_step(Role::Ingress, Work::Calls, || {
            change(forwarding, &agent, now)
        });
        pending.awaited_step = match &next_step {
            ForwardingStep::Serve(..) => AwaitedStep::Outcome,
            ForwardingStep::Forward { .. } => AwaitedStep::Forwarded,
            ForwardingStep::Acquire { .. } => AwaitedStep::Acquired,
            ForwardingStep::Wait { .. } | ForwardingStep::End(..) => AwaitedStep::Lookup,
        };
        match next_step {
            ForwardingStep::Serve(held, holder_request) => {
                self.serve(daemon, number, &held, holder_request)
            }
            ForwardingStep::Forward {
                host,
                body,
                wait_until,
            } => {
                self.pass(daemon, number, &host, body, wait_until);
            }
            ForwardingStep::Acquire { wait_until } => self.acquire(daemon, number, wait_until),
            ForwardingStep::Wait { wait_until } => {
                let Some(pending) = self.pending(daemon, number) else {
                    return;
                };
                pending.wakes += 1;
                let wake = pending.wakes;
                let wait_span = wait_until.since(now);
                self.push(
                    wait_span,
                    Event::Lookup {
                        daemon,
                        number,
                        wake,
                    },
                );
            }
            ForwardingStep::End(outcome, holder) => self.end(daemon, number, outcome, holder),
        }
    }

    fn serve(
        &mut self,
        daemon: usize,
        number: u64,
        held: &Arc<HeldFunction<u64>>,
        holder_request: HolderRequest,
    ) {
        let now = self.now;
        let Some(agent) = self.agent(daemon) else {
            return;
        };
        let ((at_once, outputs), _) = self.meter.measure_step(Role::Holder, Work::Runs, || {
            held.admit(now, agent.ticket(), holder_request, number)
        });
        self.drive(daemon, held, outputs);
        self.tick_for_holder(daemon, held);
        if let Some((number, outcome)) = at_once {
            self.served(daemon, number, outcome);
        }
    }

    pub(super) fn served(&mut self, daemon: usize, number: u64, outcome: RequestOutcome) {
        self.step(
            daemon,
            number,
            AwaitedStep::Outcome,
            |forwarding, agent, now| forwarding.served(agent, now, outcome),
        );
    }

    fn pass(
        &mut self,
        daemon: usize,
        number: u64,
        host: &Host,
        body: DaemonMessage,
        wait_until: MonotonicTime,
    ) {
        let Some(other) = self.daemon_at(host.address) else {
            return;
        };
        let frame = hop_frame(number, body);
        let encoded = self
            .meter
            .wire(Role::Ingress, Work::Calls, 1, || encode(&frame));
        let Ok(bytes) = encoded else { return };
        self.meter.sent(
            Role::Ingress,
            Work::Calls,
            1,
            wire::frame_bytes(bytes.len()),
        );
        let wait_span = wait_until.since(self.now);
        self.push(
            wait_span,
            Event::Forwarded(daemon, number, ForwardResult::Lost),
        );
        let reply_target = ReplyTarget::Hop { daemon, number };
        let delay = Self::delay(daemon, other);
        self.push(
            delay,
            Event::Hop {
                daemon: other,
                reply_target,
                frame: bytes.into(),
            },
        );
    }

    pub(super) fn handle_hop(&mut self, daemon: usize, reply_target: ReplyTarget, bytes: &Bytes) {
        let now = self.now;
        self.meter.received(
            Role::Ingress,
            Work::Calls,
            1,
            wire::frame_bytes(bytes.len()),
        );
        let read = self.meter.wire(Role::Ingress, Work::Calls, 1, || {
            decode::<DaemonFrame>(bytes)
        });
        let Ok(frame) = read else { return };
        if let Ok(request) = FunctionRequest::from_frame(now, frame.body) {
            self.accept_request(daemon, request, reply_target);
        }
    }

    pub(super) fn handle_hop_done(&mut self, daemon: usize, number: u64, bytes: &Bytes) {
        self.meter.received(
            Role::Ingress,
            Work::Calls,
            1,
            wire::frame_bytes(bytes.len()),
        );
        let read = self.meter.wire(Role::Ingress, Work::Calls, 1, || {
            decode::<DaemonFrame>(bytes)
        });
        if let Ok(DaemonFrame {
            body: DaemonMessage::Completed {
                outcome, holder, ..
            },
            ..
        }) = read
        {
            let end = ForwardResult::Completed(outcome, holder.0.into_iter().next());
            self.forwarded(daemon, number, end);
        }
    }

    pub(super) fn forwarded(&mut self, daemon: usize, number: u64, end: ForwardResult) {
        self.step(
            daemon,
            number,
            AwaitedStep::Forwarded,
            |forwarding, agent, now| forwarding.forwarded(agent, now, end),
        );
    }

    fn end(&mut self, daemon: usize, number: u64, outcome: RequestOutcome, holder: Option<Host>) {
        let Some(started_daemon) = &mut self.daemons[daemon] else {
            return;
        };
        let Some(pending) = started_daemon.pending_requests.remove(&number) else {
            return;
        };
        match pending.reply_target {
            ReplyTarget::Caller => match outcome {
                RequestOutcome::Response { .. } => self.record.answered += 1,
                RequestOutcome::NotRun { .. } => self.record.not_run += 1,
                RequestOutcome::Unknown { .. } => self.record.unknown += 1,
            },
            ReplyTarget::Hop {
                daemon: requester,
                number,
            } => {
                let holder = LengthPrefixed(holder.into_iter().collect());
                let frame = hop_frame(
                    number,
                    DaemonMessage::Completed {
                        outcome,
                        holder,
                        regional_tenths: 0,
                    },
                );
                let encoded = self
                    .meter
                    .wire(Role::Ingress, Work::Calls, 1, || encode(&frame));
                let Ok(bytes) = encoded else { return };
                self.meter.sent(
                    Role::Ingress,
                    Work::Calls,
                    1,
                    wire::frame_bytes(bytes.len()),
                );
                let delay = Self::delay(daemon, requester);
                let done = Event::HopDone {
                    daemon: requester,
                    number,
                    frame: bytes.into(),
                };
                self.push(delay, done);
            }
        }
    }

    fn acquire(&mut self, daemon: usize, number: u64, wait_until: MonotonicTime) {
        let wait_span = wait_until.since(self.now);
        self.push(wait_span, Event::AcquireTimedOut(daemon, number));
        let Some(started_daemon) = &mut self.daemons[daemon] else {
            return;
        };
        let Some(pending) = started_daemon.pending_requests.get(&number) else {
            return;
        };
        let function = pending.forwarding.request().function.clone();
        let waiting = started_daemon.acquires.entry(function.clone()).or_default();
        waiting.push(number);
        if waiting.len() == 1 {
            self.control(daemon, Work::Leases, |controller, agent, now| {
                controller.acquire(agent, now, function)
            });
        }
    }

    pub(in crate::synthetic) fn acquired(
        &mut self,
        daemon: usize,
        function: &FunctionKey,
        result: &Option<AcquireResult>,
    ) {
        let Some(started_daemon) = &mut self.daemons[daemon] else {
            return;
        };
        for number in started_daemon.acquires.remove(function).unwrap_or_default() {
            self.step(
                daemon,
                number,
                AwaitedStep::Acquired,
                |forwarding, agent, now| forwarding.acquired(agent, now, result.clone()),
            );
        }
    }
}
