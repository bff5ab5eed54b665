//! Requests in a synthetic fleet: the callers, and the handling of each event of a call.

mod forwarding;
mod holder;
mod replicas;

pub(super) use forwarding::PendingRequest;

use super::catalogue;
use super::events::{Event, ReplyTarget};
use super::fleet::SyntheticFleet;
use super::meter::{Role, Work};
use super::platform::{HTTP_HEADERS, PLATFORM_LATENCY};
use bytes::Bytes;
use common::adapter::StartOutcome;
use common::frames::{DaemonFrame, DaemonMessage, RequestPayload};
use common::identity::{CorrelationId, IdempotencyKey};
use dataplane::agent::FunctionRequest;
use forwarding::AwaitedStep;
use std::sync::Arc;
use std::time::Duration;

const RUNNER_LATENCY: Duration = Duration::from_millis(2);
const FILL_INTERVAL: Duration = Duration::from_millis(10);
const REQUEST_TIMEOUT: Duration = Duration::from_millis(3000);
const REQUEST: &[u8] = &[b'q'; 256];
const ANSWER: &[u8] = &[b'a'; 256];
/// The share of calls to the busiest twentieth of the functions.
const BUSY_SHARE: f64 = 0.9;

fn hop_frame(number: u64, body: DaemonMessage) -> DaemonFrame {
    DaemonFrame {
        correlation: CorrelationId(number),
        body,
    }
}

impl SyntheticFleet {
    pub(super) fn dispatch_call(&mut self, event: Event) {
        match event {
            Event::Fill => self.fill(),
            Event::Call => self.send_random_call(),
            Event::Lookup {
                daemon,
                number,
                wake,
            } => self.advance(daemon, number, wake),
            Event::AcquireTimedOut(daemon, number) => {
                self.step(
                    daemon,
                    number,
                    AwaitedStep::Acquired,
                    |forwarding, agent, now| forwarding.advance(agent, now),
                );
            }
            Event::Hop {
                daemon,
                reply_target,
                frame,
            } => self.handle_hop(daemon, reply_target, &frame),
            Event::HopDone {
                daemon,
                number,
                frame,
            } => {
                self.handle_hop_done(daemon, number, &frame);
            }
            Event::Forwarded(daemon, number, end) => self.forwarded(daemon, number, end),
            Event::Started(holder_key, runner, instance) => {
                self.apply(&holder_key, Work::Runners, |holder, now| {
                    holder.started(now, runner, StartOutcome::Started(instance))
                });
            }
            Event::Stopped(holder_key, runner) => {
                self.apply(&holder_key, Work::Runners, |holder, now| {
                    holder.stopped(now, runner)
                });
            }
            Event::Probed(holder_key, runner, is_ready) => {
                self.apply(&holder_key, Work::Runners, |holder, now| {
                    holder.probed(now, runner, is_ready)
                });
            }
            Event::Settled(holder_key, runner, running) => {
                self.apply(&holder_key, Work::Runners, |holder, now| {
                    holder.running_listed(now, runner, running)
                });
            }
            Event::RunDone {
                holder_key,
                ticket,
                runner,
                call,
            } => {
                self.run_done(holder_key, ticket, runner, &call);
            }
            Event::SendEnded(holder_key, ticket, end) => {
                self.apply(&holder_key, Work::Runs, |holder, now| {
                    holder.handle_send_result(now, ticket, end)
                });
            }
            Event::ReplicaRequested {
                replica,
                holder_key,
                number,
                request_kind,
                frame,
            } => {
                self.handle_replica_request(replica, holder_key, number, request_kind, &frame);
            }
            Event::ReplicaReplied {
                holder_key,
                number,
                request_kind,
                frame,
            } => {
                self.handle_replica_reply(&holder_key, number, request_kind, frame);
            }
            _ => {}
        }
    }

    /// Calls every function once, each through a random ingress.
    fn fill(&mut self) {
        if self.fill_next == 0 {
            self.record.join_nanos = self.meter.leader_nanos;
        }
        let ticks = (self.fill_span().as_millis() / FILL_INTERVAL.as_millis()).max(1) as usize;
        let share = self.size.held.div_ceil(ticks);
        let until = (self.fill_next + share).min(self.size.held);
        for function in self.fill_next..until {
            self.call(function);
        }
        self.fill_next = until;
        if self.fill_next < self.size.held {
            self.push(FILL_INTERVAL, Event::Fill);
        }
    }

    fn send_random_call(&mut self) {
        let rate = self.size.calls as f64 * self.size.daemons as f64;
        if rate <= 0.0 {
            return;
        }
        self.push(Duration::from_secs_f64(1.0 / rate), Event::Call);
        let functions = self.size.held as u64;
        let busiest = (functions / 20).max(1);
        let bound = if self.rng.random_bool(BUSY_SHARE) {
            busiest
        } else {
            functions
        };
        let function = self.rng.below(bound) as usize;
        self.call(function);
    }

    fn call(&mut self, function: usize) {
        let daemon = self.rng.below(self.size.daemons as u64) as usize;
        let number = self.number();
        let now = self.now;
        let Some(agent) = self.agent(daemon) else {
            return;
        };
        let route_name = catalogue::name_of(function);
        let path = format!("/{route_name}/{number}");
        let idempotency_key = IdempotencyKey::from(format!("transaction-{number:012}"));
        self.record.called += 1;
        let (matched, _) = self.meter.measure_step(Role::Ingress, Work::Calls, || {
            let table = agent.routing_table_snapshot();
            let found = table.route(&hyper::Method::POST, "callers", &path, &idempotency_key)?;
            Some((found.function.key.clone(), table.version()))
        });
        let Some((key, version)) = matched.filter(|_| agent.is_serving(now)) else {
            self.record.not_run += 1;
            return;
        };
        let request = FunctionRequest {
            idempotency_key,
            function: key,
            route: route_name,
            version,
            deadline: now + REQUEST_TIMEOUT,
            hops: 0,
            wants_referral: true,
            region: "".into(),
            repeat: false,
            payload: Arc::new(RequestPayload::from_body(Bytes::from_static(REQUEST))),
        };
        self.accept_request(daemon, request, ReplyTarget::Caller);
    }
}
