//! Transactions on their way through daemons: the steps of their forwarding, and the hops between daemons.

use super::hop_frame;
use crate::synthetic::events::{Back, Event};
use crate::synthetic::fleet::Fleet;
use crate::synthetic::meter::{Role, Work};
use crate::synthetic::wire;
use bytes::Bytes;
use common::clock::Moment;
use common::frames::{AcquireResult, HopBody, HopFrame, HopOutcome, Host, Many, decode, encode};
use common::identity::FunctionKey;
use dataplane::agent::{Agent, Ask, Forwarding, ForwardingStep, Held, InHand, PassEnd, Task};
use std::sync::Arc;
use std::time::Duration;

/// What a transaction in a daemon's hands waits for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Awaits {
    Look,
    Outcome,
    Passed,
    Acquired,
}

/// A transaction in a daemon's hands.
pub(in crate::synthetic) struct Pending {
    forwarding: Forwarding,
    back: Back,
    awaits: Awaits,
    wakes: u64,
    _in_hand: InHand,
}

impl Fleet {
    pub(super) fn take_ask(&mut self, daemon: usize, ask: Ask, back: Back) {
        let number = self.number();
        let now = self.now;
        let Some(begun) = &mut self.daemons[daemon] else { return };
        let in_hand = begun.agent.take_in_hand();
        let forwarding = Forwarding::new(now, ask);
        let pending =
            Pending { forwarding, back, awaits: Awaits::Look, wakes: 0, _in_hand: in_hand };
        begun.pendings.insert(number, pending);
        self.step(daemon, number, Awaits::Look, |forwarding, agent, now| {
            forwarding.look(agent, now)
        });
    }

    /// The time of a wait is up, unless something else has come since.
    pub(super) fn look(&mut self, daemon: usize, number: u64, wake: u64) {
        if self.pending(daemon, number).is_some_and(|pending| pending.wakes == wake) {
            self.step(daemon, number, Awaits::Look, |forwarding, agent, now| {
                forwarding.look(agent, now)
            });
        }
    }

    /// Something has changed that a waiting transaction may wait for.
    pub(in crate::synthetic) fn look_all(&mut self, daemon: usize) {
        let Some(begun) = &mut self.daemons[daemon] else { return };
        let mut looking: Vec<(u64, u64)> = begun
            .pendings
            .iter_mut()
            .filter(|(_, pending)| pending.awaits == Awaits::Look)
            .map(|(number, pending)| {
                pending.wakes += 1;
                (*number, pending.wakes)
            })
            .collect();
        looking.sort_unstable();
        for (number, wake) in looking {
            self.push(Duration::from_micros(2), Event::Look { daemon, number, wake });
        }
    }

    pub(super) fn step(
        &mut self,
        daemon: usize,
        number: u64,
        awaited: Awaits,
        change: impl FnOnce(&mut Forwarding, &Agent<u64>, Moment) -> ForwardingStep<u64>,
    ) {
        let now = self.now;
        let Some(begun) = &mut self.daemons[daemon] else { return };
        let agent = begun.agent.clone();
        let Some(pending) = begun.pendings.get_mut(&number) else { return };
        if pending.awaits != awaited {
            return;
        }
        let forwarding = &mut pending.forwarding;
        let (next_step, _) =
            self.meter.think(Role::Door, Work::Calls, || change(forwarding, &agent, now));
        pending.awaits = match &next_step {
            ForwardingStep::Serve(..) => Awaits::Outcome,
            ForwardingStep::Pass { .. } => Awaits::Passed,
            ForwardingStep::Acquire { .. } => Awaits::Acquired,
            ForwardingStep::Wait { .. } | ForwardingStep::End(..) => Awaits::Look,
        };
        match next_step {
            ForwardingStep::Serve(held, task) => self.serve(daemon, number, &held, task),
            ForwardingStep::Pass { host, body, wait_until } => {
                self.pass(daemon, number, &host, body, wait_until);
            }
            ForwardingStep::Acquire { wait_until } => self.acquire(daemon, number, wait_until),
            ForwardingStep::Wait { wait_until } => {
                let Some(pending) = self.pending(daemon, number) else { return };
                pending.wakes += 1;
                let wake = pending.wakes;
                let wait_span = wait_until.since(now);
                self.push(wait_span, Event::Look { daemon, number, wake });
            }
            ForwardingStep::End(outcome, holder) => self.end(daemon, number, outcome, holder),
        }
    }

    fn serve(&mut self, daemon: usize, number: u64, held: &Arc<Held<u64>>, task: Task) {
        let now = self.now;
        let Some(agent) = self.agent(daemon) else { return };
        let ((at_once, outputs), _) = self
            .meter
            .think(Role::Holder, Work::Runs, || held.enter(now, agent.ticket(), task, number));
        self.drive(daemon, held, outputs);
        self.hurry(daemon, held);
        if let Some((number, outcome)) = at_once {
            self.served(daemon, number, outcome);
        }
    }

    pub(super) fn served(&mut self, daemon: usize, number: u64, outcome: HopOutcome) {
        self.step(daemon, number, Awaits::Outcome, |forwarding, agent, now| {
            forwarding.served(agent, now, outcome)
        });
    }

    fn pass(&mut self, daemon: usize, number: u64, host: &Host, body: HopBody, wait_until: Moment) {
        let Some(other) = self.daemon_at(host.place) else { return };
        let frame = hop_frame(number, body);
        let encoded = self.meter.wire(Role::Door, Work::Calls, 1, || encode(&frame));
        let Ok(bytes) = encoded else { return };
        self.meter.sent(Role::Door, Work::Calls, 1, wire::frame_bytes(bytes.len()));
        let wait_span = wait_until.since(self.now);
        self.push(wait_span, Event::Passed(daemon, number, PassEnd::Lost));
        let back = Back::Hop { daemon, number };
        let delay = Self::delay(daemon, other);
        self.push(delay, Event::Hop { daemon: other, back, frame: bytes.into() });
    }

    pub(super) fn hear_hop(&mut self, daemon: usize, back: Back, bytes: &Bytes) {
        let now = self.now;
        self.meter.heard(Role::Door, Work::Calls, 1, wire::frame_bytes(bytes.len()));
        let read = self.meter.wire(Role::Door, Work::Calls, 1, || decode::<HopFrame>(bytes));
        let Ok(frame) = read else { return };
        if let Ok(ask) = Ask::passed_on(now, frame.body) {
            self.take_ask(daemon, ask, back);
        }
    }

    pub(super) fn hear_done(&mut self, daemon: usize, number: u64, bytes: &Bytes) {
        self.meter.heard(Role::Door, Work::Calls, 1, wire::frame_bytes(bytes.len()));
        let read = self.meter.wire(Role::Door, Work::Calls, 1, || decode::<HopFrame>(bytes));
        if let Ok(HopFrame { body: HopBody::Done { outcome, holder, .. }, .. }) = read {
            let end = PassEnd::Done(outcome, holder.0.into_iter().next());
            self.passed(daemon, number, end);
        }
    }

    pub(super) fn passed(&mut self, daemon: usize, number: u64, end: PassEnd) {
        self.step(daemon, number, Awaits::Passed, |forwarding, agent, now| {
            forwarding.passed(agent, now, end)
        });
    }

    fn end(&mut self, daemon: usize, number: u64, outcome: HopOutcome, holder: Option<Host>) {
        let Some(begun) = &mut self.daemons[daemon] else { return };
        let Some(pending) = begun.pendings.remove(&number) else { return };
        match pending.back {
            Back::Caller => match outcome {
                HopOutcome::Answer { .. } => self.record.answered += 1,
                HopOutcome::NotRun { .. } => self.record.not_run += 1,
                HopOutcome::Unknown { .. } => self.record.unknown += 1,
            },
            Back::Hop { daemon: asker, number } => {
                let holder = Many(holder.into_iter().collect());
                let frame =
                    hop_frame(number, HopBody::Done { outcome, holder, regional_tenths: 0 });
                let encoded = self.meter.wire(Role::Door, Work::Calls, 1, || encode(&frame));
                let Ok(bytes) = encoded else { return };
                self.meter.sent(Role::Door, Work::Calls, 1, wire::frame_bytes(bytes.len()));
                let delay = Self::delay(daemon, asker);
                let done = Event::HopDone { daemon: asker, number, frame: bytes.into() };
                self.push(delay, done);
            }
        }
    }

    fn acquire(&mut self, daemon: usize, number: u64, wait_until: Moment) {
        let wait_span = wait_until.since(self.now);
        self.push(wait_span, Event::AcquireTimedOut(daemon, number));
        let Some(begun) = &mut self.daemons[daemon] else { return };
        let Some(pending) = begun.pendings.get(&number) else { return };
        let function = pending.forwarding.ask().function.clone();
        let waiting = begun.acquires.entry(function.clone()).or_default();
        waiting.push(number);
        if waiting.len() == 1 {
            self.control(daemon, Work::Grants, |controller, agent, now| {
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
        let Some(begun) = &mut self.daemons[daemon] else { return };
        for number in begun.acquires.remove(function).unwrap_or_default() {
            self.step(daemon, number, Awaits::Acquired, |forwarding, agent, now| {
                forwarding.acquired(agent, now, result.clone())
            });
        }
    }
}
