use super::event::Event;
use super::platform::Asker;
use super::world::World;
use common::frames::Place;
use common::identity::{FunctionKey, GrantSerial, RunnerId, Ticket, TransactionId};
use common::seal;
use common::tongue::{RunnerSaid, SealKind};
use dataplane::agent::{Held, RunnerCall, judge};
use dataplane::holder::SendEnd;
use std::sync::Arc;
use std::time::Duration;

/// One transaction on a runner, and where its end goes back to.
#[derive(Clone)]
pub(super) struct SimRun {
    pub asker: Asker,
    pub function: FunctionKey,
    pub grant: GrantSerial,
    pub ticket: Ticket,
    pub asked_runner: RunnerId,
    pub call: RunnerCall,
}

/// What becomes of a runner's answer on its way.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Mishap {
    None,
    Lost,
    BrokenEarly,
    WrongByte,
    Short,
    Foreign,
    Shed,
}

impl World {
    pub(super) fn send_to_runner(
        &mut self,
        place: usize,
        held: &Arc<Held<u64>>,
        ticket: Ticket,
        runner: RunnerId,
        runner_place: Place,
        attempt: u32,
    ) {
        let asker = Asker { node: self.daemons[place].node, life: self.daemons[place].life };
        let local_now = self.daemon_now(place);
        let Some(agent) = self.agent(place) else { return };
        let (function, grant) = (held.function.clone(), held.grant);
        let Some(target) = held.send_target(runner) else {
            let ended = Event::SendEnded(asker, function, ticket, grant, SendEnd::Unsent);
            self.push(Duration::from_micros(1), ended);
            return;
        };
        let call = held
            .task(ticket)
            .ok_or(common::frames::HopReason::NotServing)
            .and_then(|task| agent.runner_call(local_now, held, &task, runner, attempt));
        match call {
            Ok(call) => {
                agent.check_sent(local_now);
                if !self.is_daemon_serving(place) {
                    let transaction = &call.transaction;
                    let what =
                        format!("daemon {place} sends {transaction} outside its member grant");
                    self.checks.breach(self.now, what);
                }
                let before = self.checks.sends(&target.life, place, grant);
                if let Some((other, other_grant)) = before
                    && self.is_live_holder(other, &function, other_grant)
                {
                    let what = format!(
                        "daemon {place} under {grant} and daemon {other} under {other_grant} send to \
                         the same life of {function}"
                    );
                    self.checks.breach(self.now, what);
                }
                let asked_runner = target.face;
                let run = SimRun { asker, function, grant, ticket, asked_runner, call };
                let delay = self.long_delay();
                self.push(delay, Event::Run(runner_place, run));
            }
            Err(reason) => {
                let end = SendEnd::Barred(reason);
                let delay = Duration::from_micros(1);
                self.push(delay, Event::SendEnded(asker, function, ticket, grant, end));
            }
        }
    }

    /// A send reaches whoever listens at a place now.
    pub(super) fn begin_run(&mut self, runner_place: Place, run: SimRun) {
        let Some((runner, held)) = self.platform.at(runner_place) else {
            let end = if self.chance.happens(0.8) { SendEnd::Unsent } else { SendEnd::Lost };
            self.end_send(&run, end);
            return;
        };
        if run.call.runner.is_some() && run.asked_runner != runner {
            self.counted("another runner at the address");
            self.end_send(&run, SendEnd::Lost);
            return;
        }
        let transaction = run.call.transaction.clone();
        let (function, worker, slots) = (held.function.clone(), held.worker.clone(), held.slots);
        let (ready_at, answered) = (held.ready_at, held.answered);
        let Some(held) = self.platform.runners.get_mut(&runner) else { return };
        let own_count = held.running.values().filter(|grant| **grant == run.grant).count() as u32;
        if held.running.len() as u32 >= slots && own_count < slots {
            self.counted("refused beside an earlier holder's");
            self.shed_by_runner(&run, runner, &transaction);
            return;
        }
        held.running.insert(transaction.clone(), run.grant);
        let running_count = own_count + 1;
        let is_adopted = runner.grant != run.grant;
        let answered = if is_adopted { answered.max((slots / 2).max(1) - 1) } else { answered };
        self.traced(|now| {
            let daemon = run.asker.node.daemon_place();
            format!("{now} run {transaction} on {runner} for daemon {daemon}")
        });
        self.checks.bears(self.now, runner, running_count, slots, answered, ready_at);
        let since = self.platform.draining_since.get(&worker).copied();
        self.checks.not_drained(self.now, &worker, since);
        let leaves_since = self.platform.leaving_since.get(&runner).copied();
        self.checks.not_leaving(self.now, runner, leaves_since);
        let worker_zone = self.platform.zone_of(&worker).cloned();
        let daemon_zone = World::zone(run.asker.node.daemon_place());
        for zone in worker_zone.into_iter().chain([daemon_zone]) {
            self.checks.not_evacuated(self.now, &zone);
        }
        self.checks.runs(self.now, &transaction, run.call.attempt, &function, run.grant);
        let mishap = self.mishap();
        if mishap == Mishap::BrokenEarly {
            self.end_send(&run, SendEnd::Lost);
        }
        let is_long = mishap == Mishap::BrokenEarly;
        let (shortest, longest) = if is_long { (200, 700) } else { (5, 60) };
        let work =
            self.chance.within(Duration::from_millis(shortest), Duration::from_millis(longest));
        if mishap == Mishap::Shed {
            self.checks.did_not_run(&transaction);
            self.shed_by_runner(&run, runner, &transaction);
            if let Some(held) = self.platform.runners.get_mut(&runner) {
                held.running.remove(&transaction);
            }
            return;
        }
        let spoils = mishap as u8;
        self.push(work, Event::RunDone(runner, run, spoils));
    }

    fn shed_by_runner(&mut self, run: &SimRun, runner: RunnerId, transaction: &TransactionId) {
        let answer_body = b"no".to_vec();
        let answer_seal = seal::seal(transaction, &run.function, runner, true, &answer_body);
        self.answer_send(run, runner, transaction, answer_seal, true, answer_body);
    }

    fn mishap(&mut self) -> Mishap {
        if !self.chance.happens(self.mischief) {
            return Mishap::None;
        }
        let all = [
            Mishap::Lost,
            Mishap::Lost,
            Mishap::BrokenEarly,
            Mishap::WrongByte,
            Mishap::Short,
            Mishap::Foreign,
            Mishap::Shed,
        ];
        all[self.chance.below(all.len() as u64) as usize]
    }

    pub(super) fn run_done(&mut self, runner: RunnerId, run: SimRun, spoils: u8) {
        let transaction = run.call.transaction.clone();
        let Some(held) = self.platform.runners.get_mut(&runner) else {
            if spoils != Mishap::BrokenEarly as u8 {
                self.end_send(&run, SendEnd::Lost);
            }
            return;
        };
        held.running.remove(&transaction);
        let mut answer_body = self.checks.body_of(&transaction, runner);
        let function = held.function.clone();
        let mut answer_seal = seal::seal(&transaction, &function, runner, false, &answer_body);
        let mut sealed_name = transaction.clone();
        let last_sealed = held.last_sealed.replace((
            transaction.clone(),
            answer_seal.clone(),
            answer_body.clone(),
        ));
        if spoils == Mishap::BrokenEarly as u8 {
            return;
        }
        if spoils == Mishap::Lost as u8 {
            self.end_send(&run, SendEnd::Lost);
            return;
        }
        if spoils == Mishap::WrongByte as u8
            && let Some(byte) = answer_body.first_mut()
        {
            *byte ^= 1;
        }
        if spoils == Mishap::Short as u8 {
            answer_body.pop();
        }
        if spoils == Mishap::Foreign as u8
            && let Some((other_name, other_seal, other_body)) = last_sealed
        {
            (sealed_name, answer_seal, answer_body) = (other_name, other_seal, other_body);
        }
        let is_good = spoils == Mishap::None as u8 || sealed_name == transaction;
        if is_good
            && spoils != Mishap::WrongByte as u8
            && spoils != Mishap::Short as u8
            && let Some(held) = self.platform.runners.get_mut(&runner)
        {
            held.answered += 1;
        }
        self.answer_send(&run, runner, &sealed_name, answer_seal, false, answer_body);
    }

    /// An answer on its way back to the daemon, which decides what it is worth.
    fn answer_send(
        &mut self,
        run: &SimRun,
        runner: RunnerId,
        sealed_name: &TransactionId,
        answer_seal: String,
        is_shed: bool,
        body: Vec<u8>,
    ) {
        let function = self
            .platform
            .runners
            .get(&runner)
            .map_or(run.function.to_string(), |held| held.function.to_string());
        let said = RunnerSaid {
            status: 200,
            transaction: sealed_name.to_string(),
            function: Some(function),
            runner: Some(runner.to_string()),
            seal: answer_seal,
            seal_kind: SealKind::Digest,
            did_not_run: is_shed,
            is_other: false,
            is_doubtful: false,
            closes: false,
            lines: Vec::new(),
            body: body.into(),
        };
        let rules = self.plan.rules();
        let asked = &run.call.transaction;
        let end = judge(rules, asked, &run.function, run.asked_runner, said);
        self.end_send(run, end);
    }

    fn end_send(&mut self, run: &SimRun, end: SendEnd) {
        let delay = self.network.delay(&mut self.chance);
        let function = run.function.clone();
        self.push(delay, Event::SendEnded(run.asker, function, run.ticket, run.grant, end));
    }

    pub(super) fn traced(&mut self, line: impl FnOnce(common::clock::Moment) -> String) {
        if self.is_tracing {
            let line = line(self.now);
            self.trace.push(line);
        }
    }
}
