use super::catalogue;
use super::events::{Back, Event, Spot};
use super::fleet::Fleet;
use super::meter::{Role, Work};
use super::wire;
use bytes::Bytes;
use common::clock::Moment;
use common::frames::{
    AcquireResult, HopBody, HopFrame, HopOutcome, HopReason, Host, Many, Parcel, decode, encode,
};
use common::identity::{CorrelationId, FunctionKey, RunnerId, Ticket, TransactionId};
use common::rules::Rules;
use common::seal;
use common::tongue::{BeginEnd, RunnerSaid, SealKind};
use dataplane::agent::{
    Agent, Ask, Forwarding, ForwardingStep, Held, InHand, PassEnd, Question, RunnerCall, Task,
    Topic, judge,
};
use dataplane::holder::{Holder, HolderOutput, SendEnd};
use serde_json::json;
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

/// What a transaction in a daemon's hands waits for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Awaits {
    Look,
    Outcome,
    Passed,
    Acquired,
}

/// A transaction in a daemon's hands.
pub(super) struct Pending {
    forwarding: Forwarding,
    back: Back,
    awaits: Awaits,
    wakes: u64,
    _in_hand: InHand,
}

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
            repeat: false,
            parcel: Arc::new(Parcel::of_body(Bytes::from_static(REQUEST))),
        };
        self.take_ask(daemon, ask, Back::Caller);
    }

    fn take_ask(&mut self, daemon: usize, ask: Ask, back: Back) {
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
    fn look(&mut self, daemon: usize, number: u64, wake: u64) {
        if self.pending(daemon, number).is_some_and(|pending| pending.wakes == wake) {
            self.step(daemon, number, Awaits::Look, |forwarding, agent, now| {
                forwarding.look(agent, now)
            });
        }
    }

    /// Something has changed that a waiting transaction may wait for.
    pub(super) fn look_all(&mut self, daemon: usize) {
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

    fn step(
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

    fn served(&mut self, daemon: usize, number: u64, outcome: HopOutcome) {
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

    fn hear_hop(&mut self, daemon: usize, back: Back, bytes: &Bytes) {
        let now = self.now;
        self.meter.heard(Role::Door, Work::Calls, 1, wire::frame_bytes(bytes.len()));
        let read = self.meter.wire(Role::Door, Work::Calls, 1, || decode::<HopFrame>(bytes));
        let Ok(frame) = read else { return };
        if let Ok(ask) = Ask::passed_on(now, frame.body) {
            self.take_ask(daemon, ask, back);
        }
    }

    fn hear_done(&mut self, daemon: usize, number: u64, bytes: &Bytes) {
        self.meter.heard(Role::Door, Work::Calls, 1, wire::frame_bytes(bytes.len()));
        let read = self.meter.wire(Role::Door, Work::Calls, 1, || decode::<HopFrame>(bytes));
        if let Ok(HopFrame { body: HopBody::Done { outcome, holder }, .. }) = read {
            let end = PassEnd::Done(outcome, holder.0.into_iter().next());
            self.passed(daemon, number, end);
        }
    }

    fn passed(&mut self, daemon: usize, number: u64, end: PassEnd) {
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
                let frame = hop_frame(number, HopBody::Done { outcome, holder });
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

    pub(super) fn acquired(
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

    /// Changes a held function and does what its holder orders.
    fn apply(
        &mut self,
        spot: &Spot,
        work: Work,
        change: impl FnOnce(&mut Holder, Moment) -> Vec<HolderOutput>,
    ) {
        let now = self.now;
        let Some(agent) = self.agent(spot.daemon) else { return };
        let Some(held) = agent.known(&spot.function, spot.grant) else { return };
        let (outputs, _) =
            self.meter.think(Role::Holder, work, || held.with(|holder| change(holder, now)));
        self.drive(spot.daemon, &held, outputs);
        self.hurry(spot.daemon, &held);
    }

    pub(super) fn drive(
        &mut self,
        daemon: usize,
        held: &Arc<Held<u64>>,
        outputs: Vec<HolderOutput>,
    ) {
        let spot = Spot { daemon, function: held.function.clone(), grant: held.grant };
        for output in outputs {
            match held.question(output) {
                Ok(question) => self.ask_steward(&spot, question),
                Err(order) => self.obey_holder(&spot, held, order),
            }
        }
    }

    fn obey_holder(&mut self, spot: &Spot, held: &Arc<Held<u64>>, order: HolderOutput) {
        let spot = spot.clone();
        match order {
            HolderOutput::Send { ticket, runner, attempt, .. } => {
                self.send_to_runner(spot, held, ticket, runner, attempt);
            }
            HolderOutput::End { ticket, outcome } => {
                if let Some(number) = held.leave(ticket) {
                    self.served(spot.daemon, number, outcome);
                }
            }
            HolderOutput::Start { runner, worker, spec } => {
                let body = json!({
                    "runner": runner.to_string(),
                    "function": spot.function.to_string(),
                    "worker": worker.as_str(),
                    "memory_mb": spec.memory_mb,
                    "boot_ms": spec.boot.as_millis() as u64,
                    "slots": spec.slots,
                });
                let body_bytes = body.to_string().len() as u64;
                self.meter.sent(Role::Platform, Work::Runners, 1, body_bytes + HTTP_HEADERS);
                let ready_at = self.now + PLATFORM_TAKES + spec.boot;
                let function = spot.function.clone();
                let life = self.platform.start(runner, function, worker, ready_at);
                self.push(PLATFORM_TAKES, Event::Started(spot, runner, life));
            }
            HolderOutput::Probe { runner, place } => {
                let now = self.now;
                let is_ready = self
                    .platform
                    .at(place)
                    .is_some_and(|(there, held)| there == runner && now >= held.ready_at);
                self.push(RUNNER_NEAR, Event::Probed(spot, runner, is_ready));
            }
            HolderOutput::Settle { runner, .. } => {
                self.push(RUNNER_NEAR, Event::Settled(spot, runner, Some(Vec::new())));
            }
            HolderOutput::Stop { runner, .. } => {
                self.meter.sent(Role::Platform, Work::Runners, 1, HTTP_HEADERS);
                self.platform.stop(runner);
                self.push(PLATFORM_TAKES, Event::Stopped(spot, runner));
            }
            HolderOutput::Tell(word) => {
                self.push(Duration::from_micros(1), Event::Word(spot, word));
            }
            _ => {}
        }
    }

    fn send_to_runner(
        &mut self,
        spot: Spot,
        held: &Arc<Held<u64>>,
        ticket: Ticket,
        runner: RunnerId,
        attempt: u32,
    ) {
        let now = self.now;
        let Some(agent) = self.agent(spot.daemon) else { return };
        let face = held.face_of(runner);
        let (call, _) = self.meter.think(Role::Holder, Work::Runs, || {
            let task = held.task(ticket).ok_or(HopReason::NotServing)?;
            agent.runner_call(now, held, &task, runner, attempt)
        });
        match call {
            Ok(call) => {
                let work_span =
                    self.chance.within(Duration::from_millis(10), Duration::from_millis(40));
                let call = Box::new(call);
                let done = Event::RunDone { spot, ticket, runner: face, call };
                self.push(RUNNER_NEAR + work_span, done);
            }
            Err(reason) => {
                let barred = Event::SendEnded(spot, ticket, SendEnd::Barred(reason));
                self.push(Duration::from_micros(1), barred);
            }
        }
    }

    /// A runner's answer, and what the holder's daemon thinks of it.
    fn run_done(&mut self, spot: Spot, ticket: Ticket, runner: RunnerId, call: &RunnerCall) {
        let body = Bytes::from_static(ANSWER);
        let answer_seal = seal::seal(&call.transaction, &call.function, runner, false, &body);
        let said = RunnerSaid {
            status: 200,
            transaction: call.transaction.to_string(),
            function: Some(call.function.to_string()),
            runner: Some(runner.to_string()),
            seal: answer_seal,
            seal_kind: SealKind::Digest,
            did_not_run: false,
            is_other: false,
            is_doubtful: false,
            closes: false,
            lines: Vec::new(),
            body,
        };
        let (end, _) = self.meter.think(Role::Holder, Work::Runs, || {
            judge(Rules::KEPT, &call.transaction, &call.function, runner, said)
        });
        self.push(RUNNER_NEAR, Event::SendEnded(spot, ticket, end));
    }

    fn ask_steward(&mut self, spot: &Spot, question: Question) {
        let Question { steward, body, topic, patience } = question;
        let number = self.number();
        self.open_questions.insert(number);
        let silent = Event::StewardSaid { spot: spot.clone(), number, topic, frame: None };
        self.push(patience, silent);
        let Some(other) = self.daemon_at(steward.place) else { return };
        let frame = hop_frame(number, body);
        let encoded = self.meter.wire(Role::Holder, Work::Stewards, 1, || encode(&frame));
        let Ok(bytes) = encoded else { return };
        self.meter.sent(Role::Holder, Work::Stewards, 1, wire::frame_bytes(bytes.len()));
        let delay = Self::delay(spot.daemon, other);
        let (spot, frame) = (spot.clone(), bytes.into());
        self.push(delay, Event::StewardAsked { steward: other, spot, number, topic, frame });
    }

    fn steward_asked(
        &mut self,
        steward: usize,
        spot: Spot,
        number: u64,
        topic: Topic,
        bytes: &Bytes,
    ) {
        let now = self.now;
        let Some(agent) = self.agent(steward) else { return };
        let work = Work::Stewards;
        self.meter.heard(Role::Holder, work, 1, wire::frame_bytes(bytes.len()));
        let read = self.meter.wire(Role::Holder, work, 1, || decode::<HopFrame>(bytes));
        let Ok(frame) = read else { return };
        let (reply, _) =
            self.meter.think(Role::Holder, work, || agent.answer_as_steward(now, frame.body));
        let Some(reply) = reply else { return };
        let frame = hop_frame(number, reply);
        let Ok(bytes) = self.meter.wire(Role::Holder, work, 1, || encode(&frame)) else { return };
        self.meter.sent(Role::Holder, work, 1, wire::frame_bytes(bytes.len()));
        let delay = Self::delay(steward, spot.daemon);
        let frame = Some(bytes.into());
        self.push(delay, Event::StewardSaid { spot, number, topic, frame });
    }

    fn steward_said(&mut self, spot: &Spot, number: u64, topic: Topic, frame: Option<Bytes>) {
        if !self.open_questions.remove(&number) {
            return;
        }
        let reply = frame.and_then(|bytes| {
            let work = Work::Stewards;
            self.meter.heard(Role::Holder, work, 1, wire::frame_bytes(bytes.len()));
            let read = self.meter.wire(Role::Holder, work, 1, || decode::<HopFrame>(&bytes));
            read.ok().map(|frame| frame.body)
        });
        self.apply(spot, Work::Stewards, |holder, now| topic.reply(holder, now, reply));
    }
}
