//! Requests on their way through simulated daemons: from the call to what the caller is told.

use super::{Awaits, Back, Pending, virtual_span};
use crate::sim::event::Event;
use crate::sim::world::World;
use common::clock::Moment;
use common::frames::{HopBody, HopOutcome, Host, Parcel};
use common::identity::{Region, TransactionId};
use dataplane::agent::{Agent, Ask, Forwarding, ForwardingStep, Held, PassEnd, Task};
use dataplane::owners::is_valid;
use std::sync::Arc;
use std::time::Duration;

impl World {
    pub(in crate::sim) fn long_delay(&mut self) -> Duration {
        if self.chance.happens(0.02) {
            self.chance.within(Duration::from_millis(10), Duration::from_millis(400))
        } else {
            self.network.delay(&mut self.chance)
        }
    }

    /// A caller's transaction reaches a daemon's door.
    pub(in crate::sim) fn call(
        &mut self,
        place: usize,
        transaction: TransactionId,
        route_name: &str,
        budget: Duration,
        repeat: bool,
    ) {
        let local_now = self.daemon_now(place);
        let Some(agent) = self.agent(place) else { return };
        let table = agent.table.load_full();
        let route = table
            .route_named(route_name)
            .filter(|_| agent.is_serving(local_now) && !agent.is_leaving());
        let Some(route) = route else {
            self.checks.not_run(self.now, &transaction);
            self.counted("not_run");
            return;
        };
        let function = table.function(route.function).key.clone();
        self.checks.called(self.now, &function, &transaction, route_name, route.spec.once, repeat);
        let ask = Ask {
            transaction,
            function,
            route: route_name.to_owned(),
            serial: table.serial(),
            budget_end: local_now + budget.min(route.spec.budget),
            hops: 0,
            repeat,
            refer: true,
            region: agent.own_region().cloned().unwrap_or_else(|| Region::from("")),
            parcel: Arc::new(Parcel::of_body(Vec::new().into())),
        };
        self.take_ask(place, ask, Back::Caller);
    }

    /// Another daemon's frame.
    pub(in crate::sim) fn hear_hop(&mut self, place: usize, back: Back, body: HopBody) {
        if let Ok(ask) = Ask::passed_on(self.daemon_now(place), body) {
            self.take_ask(place, ask, back);
        }
    }

    pub(in crate::sim) fn take_ask(&mut self, place: usize, ask: Ask, back: Back) {
        let local_now = self.daemon_now(place);
        self.next_number += 1;
        let number = self.next_number;
        let Some(body) = &mut self.daemons[place].body else { return };
        let in_hand = body.agent.take_in_hand();
        let way = Forwarding::new(local_now, ask);
        let pending = Pending {
            way,
            back,
            awaits: Awaits::Look,
            wakes: 0,
            passed_to: None,
            regional_tenths: 0,
            _in_hand: in_hand,
        };
        body.pendings.insert(number, pending);
        self.look(place, number);
    }

    /// The time of a wait is up, unless something else has come since.
    pub(in crate::sim) fn wake(&mut self, place: usize, number: u64, wake: u64) {
        let is_due = self.daemons[place].body.as_ref().is_some_and(|body| {
            body.pendings.get(&number).is_some_and(|pending| pending.wakes == wake)
        });
        if is_due {
            self.look(place, number);
        }
    }

    /// One look where a transaction goes next, if it waits for one.
    pub(in crate::sim) fn look(&mut self, place: usize, number: u64) {
        self.step(place, number, Awaits::Look, |way, agent, now| way.look(agent, now));
    }

    /// A wait for the leader's answer has lasted as long as it may.
    pub(in crate::sim) fn acquire_timed_out(&mut self, place: usize, number: u64) {
        self.step(place, number, Awaits::Acquired, |way, agent, now| way.look(agent, now));
    }

    pub(in crate::sim) fn look_all(&mut self, place: usize) {
        let node = self.daemons[place].node;
        let life = self.daemons[place].life;
        let Some(body) = &self.daemons[place].body else { return };
        let looking: Vec<u64> = body
            .pendings
            .iter()
            .filter(|(_, pending)| pending.awaits == Awaits::Look)
            .map(|(number, _)| *number)
            .collect();
        self.end_passes_to_the_gone(place);
        for number in looking {
            let Some(body) = &mut self.daemons[place].body else { return };
            let Some(pending) = body.pendings.get_mut(&number) else { continue };
            pending.wakes += 1;
            let wake = Event::Look(node, life, number, pending.wakes);
            self.push(Duration::from_micros(2), wake);
        }
    }

    /// What was passed to a daemon that no longer counts as alive is not waited for; under a new number,
    /// so that what still comes back finds nobody.
    pub(in crate::sim) fn end_passes_to_the_gone(&mut self, place: usize) {
        let Some(body) = &mut self.daemons[place].body else { return };
        let hosts = body.agent.hosts.load_full();
        let is_to_gone = |pending: &Pending| {
            pending.awaits == Awaits::Passed
                && pending.passed_to.as_ref().is_some_and(|host| !is_valid(host, &hosts))
        };
        let lost: Vec<u64> = body
            .pendings
            .iter()
            .filter(|(_, pending)| is_to_gone(pending))
            .map(|(number, _)| *number)
            .collect();
        for number in lost {
            self.next_number += 1;
            let new_number = self.next_number;
            let Some(body) = &mut self.daemons[place].body else { return };
            let Some(pending) = body.pendings.remove(&number) else { continue };
            body.pendings.insert(new_number, pending);
            self.counted("passes to the gone");
            self.passed(place, new_number, PassEnd::Lost);
        }
    }

    pub(super) fn step(
        &mut self,
        place: usize,
        number: u64,
        awaited: Awaits,
        change: impl FnOnce(&mut Forwarding, &Agent<u64>, Moment) -> ForwardingStep<u64>,
    ) {
        let local_now = self.daemon_now(place);
        let Some(body) = &mut self.daemons[place].body else { return };
        let Some(pending) = body.pendings.get_mut(&number) else { return };
        if pending.awaits != awaited {
            return;
        }
        let agent = body.agent.clone();
        let function_before = pending.way.ask().function.clone();
        let next_step = change(&mut pending.way, &agent, local_now);
        let function = pending.way.ask().function.clone();
        let is_first = !pending.way.ask().repeat;
        pending.awaits = match &next_step {
            ForwardingStep::Serve(..) => Awaits::Outcome,
            ForwardingStep::Pass { .. } => Awaits::Passed,
            ForwardingStep::Acquire { .. } => Awaits::Acquired,
            ForwardingStep::Wait { .. } | ForwardingStep::End(..) => Awaits::Look,
        };
        if function != function_before && is_first {
            self.checks.turned(self.now, &function_before, &function);
        }
        match next_step {
            ForwardingStep::Serve(held, task) => self.serve(place, number, &held, task),
            ForwardingStep::Pass { host, body, wait_until } => {
                pending.passed_to = Some(host.clone());
                self.pass(place, number, &host, body, wait_until);
            }
            ForwardingStep::Acquire { wait_until } => self.acquire(place, number, wait_until),
            ForwardingStep::Wait { wait_until } => self.wake_at(place, wait_until, number),
            ForwardingStep::End(outcome, holder) => self.end(place, number, outcome, holder),
        }
    }

    pub(in crate::sim) fn serve(
        &mut self,
        place: usize,
        number: u64,
        held: &Arc<Held<u64>>,
        task: Task,
    ) {
        let local_now = self.daemon_now(place);
        let Some(agent) = self.agent(place) else { return };
        let transaction = task.transaction.clone();
        let (at_once, outputs) = held.enter(local_now, agent.ticket(), task, number);
        if let Some((_, outcome)) = &at_once {
            self.checks.holder_says(held.grant, &transaction, outcome);
        }
        self.drive(place, held, outputs);
        if let Some((number, outcome)) = at_once {
            self.step(place, number, Awaits::Outcome, |way, agent, now| {
                way.served(agent, now, outcome)
            });
        }
    }

    pub(in crate::sim) fn acquire(&mut self, place: usize, number: u64, wait_until: Moment) {
        let node = self.daemons[place].node;
        let life = self.daemons[place].life;
        let span = wait_until.since(self.daemon_now(place));
        let delay = virtual_span(span, self.daemons[place].clock_drift);
        self.push(delay, Event::AcquireTimedOut(node, life, number));
        let Some(body) = &mut self.daemons[place].body else { return };
        let function = body.pendings[&number].way.ask().function.clone();
        let waiting = body.acquires.entry(function.clone()).or_default();
        waiting.push(number);
        if waiting.len() == 1 {
            self.with_controller(place, |controller, agent, now| {
                controller.acquire(agent, now, function)
            });
        }
    }

    pub(in crate::sim) fn pass(
        &mut self,
        place: usize,
        number: u64,
        host: &Host,
        body: HopBody,
        wait_until: Moment,
    ) {
        let node = self.daemons[place].node;
        let life = self.daemons[place].life;
        let wait_span = wait_until.since(self.daemon_now(place));
        let wait_span = virtual_span(wait_span, self.daemons[place].clock_drift);
        let Some(to_node) = self.node_at(host.place) else { return };
        let is_dead = self.daemons[to_node.daemon_place()].body.is_none();
        let delay = self.network.delay(&mut self.chance);
        if is_dead {
            self.push(delay, Event::Passed(node, life, number, PassEnd::Unsent, 0));
            return;
        }
        if !self.network.reaches(node, to_node) {
            let is_lost = self.chance.happens(0.5);
            let (end, failed_after) = if is_lost {
                (PassEnd::Lost, wait_span)
            } else {
                (PassEnd::Unsent, Duration::from_millis(400))
            };
            self.push(failed_after, Event::Passed(node, life, number, end, 0));
            return;
        }
        self.push(wait_span, Event::Passed(node, life, number, PassEnd::Lost, 0));
        let back = Back::Hop { node, life, number };
        let to_life = self.daemons[to_node.daemon_place()].life;
        self.push(delay, Event::Hop(to_node, to_life, back, body));
    }

    /// The daemon that a request was passed to has answered, or will not.
    pub(in crate::sim) fn passed_back(
        &mut self,
        place: usize,
        number: u64,
        end: PassEnd,
        regional_tenths: u8,
    ) {
        let body = self.daemons[place].body.as_mut();
        if let Some(pending) = body.and_then(|body| body.pendings.get_mut(&number)) {
            pending.regional_tenths = regional_tenths;
        }
        self.passed(place, number, end);
    }

    pub(in crate::sim) fn passed(&mut self, place: usize, number: u64, end: PassEnd) {
        self.step(place, number, Awaits::Passed, |way, agent, now| way.passed(agent, now, end));
    }

    pub(in crate::sim) fn end(
        &mut self,
        place: usize,
        number: u64,
        outcome: HopOutcome,
        holder: Option<Host>,
    ) {
        let node = self.daemons[place].node;
        let Some(body) = &mut self.daemons[place].body else { return };
        let Some(pending) = body.pendings.remove(&number) else { return };
        let regional_tenths = self.regional_word(place, &pending);
        match pending.back {
            Back::Caller => {
                self.hear_regional(place, pending.way.ask(), &outcome, regional_tenths);
                self.tell_caller(pending.way.ask(), &outcome);
            }
            Back::Hop { node: back_node, life, number } => {
                if self.network.reaches(node, back_node) {
                    let delay = self.network.delay(&mut self.chance);
                    let end = PassEnd::Done(outcome, holder);
                    self.push(delay, Event::Passed(back_node, life, number, end, regional_tenths));
                }
            }
        }
    }

    /// What is said with an outcome of the asking region's own key: by the holder, or by whoever is nearer to it.
    fn regional_word(&self, place: usize, pending: &Pending) -> u8 {
        let ask = pending.way.ask();
        let local_now = self.daemon_now(place);
        let agent = self.agent(place);
        let own_word =
            agent.map_or(0, |agent| agent.regional_word(local_now, &ask.function, &ask.region));
        if own_word > 0 { own_word } else { pending.regional_tenths }
    }

    /// A caller's daemon hears with an answer of its region's own key.
    fn hear_regional(
        &mut self,
        place: usize,
        ask: &Ask,
        outcome: &HopOutcome,
        regional_tenths: u8,
    ) {
        let local_now = self.daemon_now(place);
        let Some(agent) = self.agent(place) else { return };
        if ask.function.is_regional() {
            self.counted("served under a region's key");
        }
        let is_answer = matches!(outcome, HopOutcome::Answer { .. });
        if is_answer && agent.hear_regional(local_now, &ask.function, regional_tenths) {
            self.counted("regional keys heard of");
            self.with_controller(place, |controller, _, now| {
                controller.warm_changed(now);
                Vec::new()
            });
        }
    }

    pub(in crate::sim) fn tell_caller(&mut self, ask: &Ask, outcome: &HopOutcome) {
        let transaction = &ask.transaction;
        match outcome {
            HopOutcome::Answer { seal, runner, body, .. } => {
                self.checks.answers(self.now, transaction, &ask.function, *runner, &seal.0, body);
                self.counted("answer");
                self.answered(transaction);
            }
            HopOutcome::NotRun { reason, retry_ms } => {
                self.checks.not_run(self.now, transaction);
                self.counted(reason.as_str());
                if *retry_ms == 0 {
                    let what = format!("{transaction} is refused without a time to come back");
                    self.checks.breach(self.now, what);
                }
                self.refused(ask);
            }
            HopOutcome::Unknown { .. } => self.counted("unknown"),
        }
    }
}
