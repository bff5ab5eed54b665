//! Requests on simulated runners: sends, runs and answers with injected faults.

use super::addresses::zone_of_machine;
use super::event::{HolderEvent, PlatformEvent};
use super::network::Requester;
use super::simulation::Simulation;
use common::adapter::{RunnerResponse, SealKind};
use common::frames::SocketAddress;
use common::identity::{FencingToken, FunctionKey, IdempotencyKey, RunnerId, Ticket};
use common::seal;
use dataplane::agent::{HeldFunction, RunnerAttempt, verify_response};
use dataplane::holder::SendResult;
use std::sync::Arc;
use std::time::Duration;

/// A request on a runner, and where its result is returned to.
#[derive(Clone)]
pub(super) struct SimRun {
    pub requester: Requester,
    pub function: FunctionKey,
    pub fencing_token: FencingToken,
    pub ticket: Ticket,
    pub target_runner: RunnerId,
    pub call: RunnerAttempt,
}

/// What happens to a runner's answer on its way.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum RunnerFault {
    None,
    Lost,
    BrokenEarly,
    WrongByte,
    Short,
    Foreign,
    Rejected,
}

impl Simulation {
    pub(super) fn send_to_runner(
        &mut self,
        index: usize,
        held: &Arc<HeldFunction<u64>>,
        ticket: Ticket,
        runner: RunnerId,
        runner_address: SocketAddress,
        attempt: u32,
    ) {
        let requester = self.nodes.daemon(index).requester();
        let local_now = self.daemon_now(index);
        let Some(agent) = self.nodes.agent(index) else {
            return;
        };
        let (function, fencing_token) = (held.function.clone(), held.fencing_token);
        let Some(target) = held.runner_target(runner) else {
            let ended = HolderEvent::SendEnded(
                requester,
                function,
                ticket,
                fencing_token,
                SendResult::Unsent,
            );
            self.queue.push(Duration::from_micros(1), ended);
            return;
        };
        let call = held
            .holder_request(ticket)
            .ok_or(common::frames::RequestFailureReason::NotServing)
            .and_then(|holder_request| {
                agent.runner_attempt(local_now, held, &holder_request, runner, attempt)
            });
        match call {
            Ok(call) => {
                agent.check_sent_under_lease(local_now);
                if !self.is_daemon_serving(index) {
                    let idempotency_key = &call.idempotency_key;
                    let what =
                        format!("daemon {index} sends {idempotency_key} outside its member grant");
                    self.checks.report_violation(self.queue.now(), what);
                }
                let before = self
                    .checks
                    .check_send(&target.instance, index, fencing_token);
                if let Some((other, other_lease)) = before
                    && self.is_live_holder(other, &function, other_lease)
                {
                    let what = format!(
                        "daemon {index} under {fencing_token} and daemon {other} under {other_lease} send to \
                         the same life of {function}"
                    );
                    self.checks.report_violation(self.queue.now(), what);
                }
                let target_runner = target.self_reported_id;
                let run = SimRun {
                    requester,
                    function,
                    fencing_token,
                    ticket,
                    target_runner,
                    call,
                };
                let delay = self.occasionally_long_delay();
                self.queue
                    .push(delay, PlatformEvent::Run(runner_address, run));
            }
            Err(reason) => {
                let end = SendResult::Forbidden(reason);
                let delay = Duration::from_micros(1);
                self.queue.push(
                    delay,
                    HolderEvent::SendEnded(requester, function, ticket, fencing_token, end),
                );
            }
        }
    }

    /// Delivers a request to the runner that currently listens at the address.
    pub(super) fn begin_run(&mut self, runner_address: SocketAddress, run: SimRun) {
        let Some((runner, held)) = self.platform.at(runner_address) else {
            let end = if self.rng.random_bool(0.8) {
                SendResult::Unsent
            } else {
                SendResult::Lost
            };
            self.end_send(&run, end);
            return;
        };
        if run.call.runner.is_some() && run.target_runner != runner {
            self.record.count_event("another runner at the address");
            self.end_send(&run, SendResult::Lost);
            return;
        }
        let idempotency_key = run.call.idempotency_key.clone();
        let (function, worker, slots) = (held.function.clone(), held.worker.clone(), held.slots);
        let (ready_at, answered) = (held.ready_at, held.answered);
        let Some(held) = self.platform.runner_mut(runner) else {
            return;
        };
        let own_count = held
            .running
            .values()
            .filter(|fencing_token| **fencing_token == run.fencing_token)
            .count() as u32;
        if held.running.len() as u32 >= slots && own_count < slots {
            self.record
                .count_event("refused beside an earlier holder's");
            self.reject_by_runner(&run, runner, &idempotency_key);
            return;
        }
        held.running
            .insert(idempotency_key.clone(), run.fencing_token);
        let running_count = own_count + 1;
        let is_adopted = runner.fencing_token != run.fencing_token;
        let answered = if is_adopted {
            answered.max((slots / 2).max(1) - 1)
        } else {
            answered
        };
        self.record.trace(self.queue.now(), || {
            let daemon = run.requester.node.daemon_index();
            format!("run {idempotency_key} on {runner} for daemon {daemon}")
        });
        self.checks.check_slots(
            self.queue.now(),
            runner,
            running_count,
            slots,
            answered,
            ready_at,
        );
        let since = self.platform.draining_since(&worker);
        self.checks
            .check_not_draining(self.queue.now(), &worker, since);
        let leaves_since = self.platform.leaving_since(runner);
        self.checks
            .check_not_leaving(self.queue.now(), runner, leaves_since);
        let worker_zone = self.platform.zone_of(&worker).cloned();
        let daemon_zone = zone_of_machine(run.requester.node.daemon_index());
        for zone in worker_zone.into_iter().chain([daemon_zone]) {
            self.checks.check_not_evacuated(self.queue.now(), &zone);
        }
        self.checks.check_run(
            self.queue.now(),
            &idempotency_key,
            run.call.attempt,
            &function,
            run.fencing_token,
        );
        let drawn_fault = self.drawn_fault();
        if drawn_fault == RunnerFault::BrokenEarly {
            self.end_send(&run, SendResult::Lost);
        }
        let is_long = drawn_fault == RunnerFault::BrokenEarly;
        let (shortest, longest) = if is_long { (200, 700) } else { (5, 60) };
        let work = self.rng.within(
            Duration::from_millis(shortest),
            Duration::from_millis(longest),
        );
        if drawn_fault == RunnerFault::Rejected {
            self.checks.did_not_run(&idempotency_key);
            self.reject_by_runner(&run, runner, &idempotency_key);
            if let Some(held) = self.platform.runner_mut(runner) {
                held.running.remove(&idempotency_key);
            }
            return;
        }
        let fault_code = drawn_fault as u8;
        self.queue
            .push(work, PlatformEvent::RunDone(runner, run, fault_code));
    }

    fn reject_by_runner(
        &mut self,
        run: &SimRun,
        runner: RunnerId,
        idempotency_key: &IdempotencyKey,
    ) {
        let answer_body = b"no".to_vec();
        let answer_seal = seal::seal(idempotency_key, &run.function, runner, true, &answer_body);
        self.answer_send(run, runner, idempotency_key, answer_seal, true, answer_body);
    }

    fn drawn_fault(&mut self) -> RunnerFault {
        if !self.rng.random_bool(self.faults.runner_fault_rate()) {
            return RunnerFault::None;
        }
        let all = [
            RunnerFault::Lost,
            RunnerFault::Lost,
            RunnerFault::BrokenEarly,
            RunnerFault::WrongByte,
            RunnerFault::Short,
            RunnerFault::Foreign,
            RunnerFault::Rejected,
        ];
        all[self.rng.below(all.len() as u64) as usize]
    }

    pub(super) fn run_done(&mut self, runner: RunnerId, run: SimRun, fault_code: u8) {
        let idempotency_key = run.call.idempotency_key.clone();
        let Some(held) = self.platform.runner_mut(runner) else {
            if fault_code != RunnerFault::BrokenEarly as u8 {
                self.end_send(&run, SendResult::Lost);
            }
            return;
        };
        held.running.remove(&idempotency_key);
        let mut answer_body = self.checks.make_body(&idempotency_key, runner);
        let function = held.function.clone();
        let mut answer_seal = seal::seal(&idempotency_key, &function, runner, false, &answer_body);
        let mut sealed_name = idempotency_key.clone();
        let last_sealed = held.last_sealed.replace((
            idempotency_key.clone(),
            answer_seal.clone(),
            answer_body.clone(),
        ));
        if fault_code == RunnerFault::BrokenEarly as u8 {
            return;
        }
        if fault_code == RunnerFault::Lost as u8 {
            self.end_send(&run, SendResult::Lost);
            return;
        }
        if fault_code == RunnerFault::WrongByte as u8
            && let Some(byte) = answer_body.first_mut()
        {
            *byte ^= 1;
        }
        if fault_code == RunnerFault::Short as u8 {
            answer_body.pop();
        }
        if fault_code == RunnerFault::Foreign as u8
            && let Some((other_name, other_seal, other_body)) = last_sealed
        {
            (sealed_name, answer_seal, answer_body) = (other_name, other_seal, other_body);
        }
        let is_good = fault_code == RunnerFault::None as u8 || sealed_name == idempotency_key;
        if is_good
            && fault_code != RunnerFault::WrongByte as u8
            && fault_code != RunnerFault::Short as u8
            && let Some(held) = self.platform.runner_mut(runner)
        {
            held.answered += 1;
        }
        self.answer_send(&run, runner, &sealed_name, answer_seal, false, answer_body);
    }

    /// Delivers an answer to the daemon, which verifies it.
    fn answer_send(
        &mut self,
        run: &SimRun,
        runner: RunnerId,
        sealed_name: &IdempotencyKey,
        answer_seal: String,
        is_rejection: bool,
        body: Vec<u8>,
    ) {
        let function = self
            .platform
            .runner(runner)
            .map_or(run.function.to_string(), |held| held.function.to_string());
        let response = RunnerResponse {
            status: 200,
            idempotency_key: sealed_name.to_string(),
            function: Some(function),
            runner: Some(runner.to_string()),
            seal: answer_seal,
            seal_kind: SealKind::Digest,
            did_not_run: is_rejection,
            is_other_runner: false,
            is_unreliable: false,
            closes_connection: false,
            header_fields: Vec::new(),
            body: body.into(),
        };
        let rules = self.plan.rules();
        let asked = &run.call.idempotency_key;
        let end = verify_response(rules, asked, &run.function, run.target_runner, response);
        self.end_send(run, end);
    }

    fn end_send(&mut self, run: &SimRun, end: SendResult) {
        let delay = self.network.delay(&mut self.rng);
        let function = run.function.clone();
        self.queue.push(
            delay,
            HolderEvent::SendEnded(run.requester, function, run.ticket, run.fencing_token, end),
        );
    }
}
