//! Transactions in a synthetic fleet: who calls, and what each event of a call leads to.

mod forwarding;
mod holder;
mod stewards;

pub(super) use forwarding::Pending;

use super::catalogue;
use super::events::{Back, Event};
use super::fleet::Fleet;
use super::meter::{Role, Work};
use bytes::Bytes;
use common::frames::{HopBody, HopFrame, Parcel};
use common::identity::{CorrelationId, TransactionId};
use common::tongue::BeginEnd;
use dataplane::agent::Ask;
use forwarding::Awaits;
use std::sync::Arc;
use std::time::Duration;

const PLATFORM_TAKES: Duration = Duration::from_millis(5);
const RUNNER_NEAR: Duration = Duration::from_millis(2);
const FILLS_EVERY: Duration = Duration::from_millis(10);
const BUDGET: Duration = Duration::from_millis(3000);
const REQUEST: &[u8] = &[b'q'; 256];
const ANSWER: &[u8] = &[b'a'; 256];
/// What a call to the platform or a runner carries beside its body, with its answer's.
const HTTP_HEADERS: u64 = 400;
/// Of ten calls so many go to the busiest twentieth of the functions.
const TO_BUSY: f64 = 0.9;

fn hop_frame(number: u64, body: HopBody) -> HopFrame {
    HopFrame { correlation: CorrelationId(number), body }
}

impl Fleet {
    pub(super) fn happen_to_call(&mut self, event: Event) {
        match event {
            Event::Fill => self.fill(),
            Event::Call => self.call_some(),
            Event::Look { daemon, number, wake } => self.look(daemon, number, wake),
            Event::AcquireTimedOut(daemon, number) => {
                self.step(daemon, number, Awaits::Acquired, |forwarding, agent, now| {
                    forwarding.look(agent, now)
                });
            }
            Event::Hop { daemon, back, frame } => self.hear_hop(daemon, back, &frame),
            Event::HopDone { daemon, number, frame } => {
                self.hear_done(daemon, number, &frame);
            }
            Event::Passed(daemon, number, end) => self.passed(daemon, number, end),
            Event::Started(spot, runner, life) => {
                self.apply(&spot, Work::Runners, |holder, now| {
                    holder.started(now, runner, BeginEnd::Begun(life))
                });
            }
            Event::Stopped(spot, runner) => {
                self.apply(&spot, Work::Runners, |holder, now| holder.stopped(now, runner));
            }
            Event::Probed(spot, runner, is_ready) => {
                self.apply(&spot, Work::Runners, |holder, now| {
                    holder.probed(now, runner, is_ready)
                });
            }
            Event::Settled(spot, runner, running) => {
                self.apply(&spot, Work::Runners, |holder, now| {
                    holder.settled(now, runner, running)
                });
            }
            Event::RunDone { spot, ticket, runner, call } => {
                self.run_done(spot, ticket, runner, &call);
            }
            Event::SendEnded(spot, ticket, end) => {
                self.apply(&spot, Work::Runs, |holder, now| holder.sent_ended(now, ticket, end));
            }
            Event::StewardAsked { steward, spot, number, topic, frame } => {
                self.steward_asked(steward, spot, number, topic, &frame);
            }
            Event::StewardSaid { spot, number, topic, frame } => {
                self.steward_said(&spot, number, topic, frame);
            }
            _ => {}
        }
    }

    /// Calls every function once, through some door each.
    fn fill(&mut self) {
        if self.fill_next == 0 {
            self.record.join_nanos = self.meter.leader_nanos;
        }
        let ticks = (self.fill_span().as_millis() / FILLS_EVERY.as_millis()).max(1) as usize;
        let share = self.size.held.div_ceil(ticks);
        let until = (self.fill_next + share).min(self.size.held);
        for function in self.fill_next..until {
            self.call(function);
        }
        self.fill_next = until;
        if self.fill_next < self.size.held {
            self.push(FILLS_EVERY, Event::Fill);
        }
    }

    fn call_some(&mut self) {
        let rate = self.size.calls as f64 * self.size.daemons as f64;
        if rate <= 0.0 {
            return;
        }
        self.push(Duration::from_secs_f64(1.0 / rate), Event::Call);
        let functions = self.size.held as u64;
        let busiest = (functions / 20).max(1);
        let bound = if self.chance.happens(TO_BUSY) { busiest } else { functions };
        let function = self.chance.below(bound) as usize;
        self.call(function);
    }

    fn call(&mut self, function: usize) {
        let daemon = self.chance.below(self.size.daemons as u64) as usize;
        let number = self.number();
        let now = self.now;
        let Some(agent) = self.agent(daemon) else { return };
        let route_name = catalogue::name_of(function);
        let path = format!("/{route_name}/{number}");
        let transaction = TransactionId::from(format!("transaction-{number:012}"));
        self.record.called += 1;
        let (matched, _) = self.meter.think(Role::Door, Work::Calls, || {
            let table = agent.table.load_full();
            let found = table.route(&hyper::Method::POST, "callers", &path, &transaction)?;
            Some((found.function.key.clone(), table.serial()))
        });
        let Some((key, serial)) = matched.filter(|_| agent.is_serving(now)) else {
            self.record.not_run += 1;
            return;
        };
        let ask = Ask {
            transaction,
            function: key,
            route: route_name,
            serial,
            budget_end: now + BUDGET,
            hops: 0,
            refer: true,
            region: "".into(),
            repeat: false,
            parcel: Arc::new(Parcel::of_body(Bytes::from_static(REQUEST))),
        };
        self.take_ask(daemon, ask, Back::Caller);
    }
}
