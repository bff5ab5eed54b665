//! The holders of a simulated daemon: their orders, and the ledgers that stewards keep.

use super::Awaits;
use crate::sim::event::Event;
use crate::sim::network::PLATFORM;
use crate::sim::platform::Asker;
use crate::sim::world::World;
use common::clock::Moment;
use common::frames::HopBody;
use common::identity::{FunctionKey, GrantSerial};
use common::tongue::BeginEnd;
use dataplane::agent::{Held, Question, Topic};
use dataplane::holder::{Holder, HolderOutput};
use std::sync::Arc;
use std::time::Duration;

impl World {
    /// Changes a held function and does what its holder orders.
    pub(in crate::sim) fn apply(
        &mut self,
        place: usize,
        function: &FunctionKey,
        grant: GrantSerial,
        change: impl FnOnce(&mut Holder, Moment) -> Vec<HolderOutput>,
    ) {
        let local_now = self.daemon_now(place);
        let Some(held) = self.agent(place).and_then(|agent| agent.known(function, grant)) else {
            return;
        };
        let outputs = held.with(|holder| change(holder, local_now));
        self.drive(place, &held, outputs);
    }

    pub(in crate::sim) fn drive(
        &mut self,
        place: usize,
        held: &Arc<Held<u64>>,
        outputs: Vec<HolderOutput>,
    ) {
        for output in outputs {
            match held.question(output) {
                Ok(question) => self.ask_steward(place, held, question),
                Err(order) => self.obey_holder(place, held, order),
            }
        }
    }

    pub(in crate::sim) fn obey_holder(
        &mut self,
        place: usize,
        held: &Arc<Held<u64>>,
        order: HolderOutput,
    ) {
        let asker = Asker { node: self.daemons[place].node, life: self.daemons[place].life };
        let function = held.function.clone();
        match order {
            HolderOutput::Send { ticket, runner, place: runner_place, attempt } => {
                self.send_to_runner(place, held, ticket, runner, runner_place, attempt);
            }
            HolderOutput::End { ticket, outcome } => {
                if let Some(task) = held.task(ticket) {
                    self.checks.holder_says(held.grant, &task.transaction, &outcome);
                }
                if let Some(number) = held.leave(ticket) {
                    self.step(place, number, Awaits::Outcome, |way, agent, now| {
                        way.served(agent, now, outcome)
                    });
                }
            }
            HolderOutput::Start { runner, worker, spec } => {
                let local_now = self.daemon_now(place);
                let may_start = self.agent(place).is_some_and(|agent| agent.is_serving(local_now));
                if may_start && self.network.reaches(asker.node, PLATFORM) {
                    let delay = self.long_delay();
                    self.push(delay, Event::Start(asker, function, runner, worker, spec));
                } else {
                    let delay = Duration::from_millis(500);
                    self.push(delay, Event::Started(asker, function, runner, BeginEnd::Lost));
                }
            }
            HolderOutput::Probe { runner, place: runner_place } => {
                let is_ready = self
                    .platform
                    .at(runner_place)
                    .is_some_and(|(there, held)| there == runner && self.now >= held.ready_at);
                let delay = self.network.delay(&mut self.chance);
                self.push(delay, Event::Probed(asker, function, runner, is_ready));
            }
            HolderOutput::Settle { runner, place: runner_place } => {
                let face = held.face_of(runner);
                let running = self
                    .platform
                    .at(runner_place)
                    .filter(|(there, _)| *there == face)
                    .map(|(_, held)| held.running.keys().cloned().collect());
                let delay = self.network.delay(&mut self.chance);
                self.push(delay, Event::Settled(asker, function, runner, running));
            }
            HolderOutput::Stop { runner, life, .. } => {
                if self.network.reaches(asker.node, PLATFORM) {
                    let delay = self.network.delay(&mut self.chance);
                    self.push(delay, Event::Stop(asker, function, runner, life));
                }
            }
            HolderOutput::Tell(word) => {
                let grant = held.grant;
                self.push(
                    Duration::from_micros(1),
                    Event::Word(asker.node, asker.life, function, grant, word),
                );
            }
            HolderOutput::Collect { .. }
            | HolderOutput::Note { .. }
            | HolderOutput::Compare { .. } => {}
        }
    }

    pub(in crate::sim) fn ask_steward(
        &mut self,
        place: usize,
        held: &Arc<Held<u64>>,
        question: Question,
    ) {
        let asker = Asker { node: self.daemons[place].node, life: self.daemons[place].life };
        let Question { steward, body, topic, patience } = question;
        let (function, grant) = (held.function.clone(), held.grant);
        self.next_number += 1;
        let number = self.next_number;
        self.open_questions.insert(number);
        self.push(
            patience,
            Event::StewardSaid(asker, number, function.clone(), grant, topic, None),
        );
        let Some(to_node) = self.node_at(steward.place) else { return };
        if self.network.reaches(asker.node, to_node) {
            let delay = self.network.delay(&mut self.chance);
            let asked = Event::StewardAsked(to_node, asker, number, function, grant, topic, body);
            self.push(delay, asked);
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(in crate::sim) fn steward_asked(
        &mut self,
        place: usize,
        asker: Asker,
        number: u64,
        function: FunctionKey,
        grant: GrantSerial,
        topic: Topic,
        body: HopBody,
    ) {
        let local_now = self.daemon_now(place);
        let node = self.daemons[place].node;
        let Some(agent) = self.agent(place) else { return };
        let reply = agent.answer_as_steward(local_now, body);
        if self.network.reaches(node, asker.node) {
            let delay = self.network.delay(&mut self.chance);
            self.push(delay, Event::StewardSaid(asker, number, function, grant, topic, reply));
        }
    }

    pub(in crate::sim) fn steward_said(
        &mut self,
        place: usize,
        number: u64,
        function: &FunctionKey,
        grant: GrantSerial,
        topic: Topic,
        reply: Option<HopBody>,
    ) {
        if self.open_questions.remove(&number) {
            self.apply(place, function, grant, |holder, now| topic.reply(holder, now, reply));
        }
    }
}
