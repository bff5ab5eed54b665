//! Holders and their runners: orders carried out in memory, runs answered after a while.

use super::{ANSWER, HTTP_HEADERS, PLATFORM_TAKES, RUNNER_NEAR};
use crate::synthetic::events::{Event, Spot};
use crate::synthetic::fleet::Fleet;
use crate::synthetic::meter::{Role, Work};
use bytes::Bytes;
use common::clock::Moment;
use common::frames::HopReason;
use common::identity::{RunnerId, Ticket};
use common::rules::Rules;
use common::seal;
use common::tongue::{RunnerSaid, SealKind};
use dataplane::agent::{Held, RunnerCall, judge};
use dataplane::holder::{Holder, HolderOutput, SendEnd};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

impl Fleet {
    /// Changes a held function and does what its holder orders.
    pub(super) fn apply(
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

    pub(in crate::synthetic) fn drive(
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
    pub(super) fn run_done(
        &mut self,
        spot: Spot,
        ticket: Ticket,
        runner: RunnerId,
        call: &RunnerCall,
    ) {
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
}
