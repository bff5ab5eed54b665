//! Requests on simulated runners: sends, runs and answers with injected faults.

use super::addresses::zone_of_machine;
use super::event::{HolderEvent, PlatformEvent};
use super::network::Requester;
use super::simulation::Simulation;
use common::adapter::{RunnerResponse, SealKind};
use common::clock::MonotonicTime;
use common::frames::SocketAddress;
use common::identity::{
    FencingToken, FunctionKey, IdempotencyKey, InstanceId, RunnerId, Ticket, WorkerName,
};
use common::seal;
use dataplane::agent::{HeldFunction, RunnerAttempt, verify_response};
use dataplane::holder::SendResult;
use std::sync::Arc;
use std::time::Duration;

/// How soon a lease holder hears of a send that did not leave its daemon.
const SEND_ENDS_AT_ONCE: Duration = Duration::from_micros(1);

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

/// The state of a runner as it began a request.
struct AdmittedRun {
    function: FunctionKey,
    worker: WorkerName,
    /// How many requests of the same lease holder it runs, with this one.
    running_count: u32,
    slots: u32,
    /// The number of answers that allow concurrent requests.
    answered: u32,
    ready_at: MonotonicTime,
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
            self.queue.push(
                SEND_ENDS_AT_ONCE,
                HolderEvent::SendEnded(
                    requester,
                    function,
                    ticket,
                    fencing_token,
                    SendResult::Unsent,
                ),
            );
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
                let run = SimRun {
                    requester,
                    function,
                    fencing_token,
                    ticket,
                    target_runner: target.self_reported_id,
                    call,
                };
                self.send_run(index, &target.instance, runner_address, run);
            }
            Err(reason) => {
                let result = SendResult::Forbidden(reason);
                self.queue.push(
                    SEND_ENDS_AT_ONCE,
                    HolderEvent::SendEnded(requester, function, ticket, fencing_token, result),
                );
            }
        }
    }

    /// Sends a request to the address of a runner, and checks that the daemon may.
    fn send_run(
        &mut self,
        index: usize,
        instance: &InstanceId,
        runner_address: SocketAddress,
        run: SimRun,
    ) {
        self.check_send(index, instance, &run);
        let delay = self.occasionally_long_delay();
        self.queue
            .push(delay, PlatformEvent::Run(runner_address, run));
    }

    /// Checks that a daemon sends to a runner under a session lease and as its only lease holder.
    fn check_send(&mut self, index: usize, instance: &InstanceId, run: &SimRun) {
        let (function, fencing_token) = (&run.function, run.fencing_token);
        if !self.is_daemon_serving(index) {
            let idempotency_key = &run.call.idempotency_key;
            let what = format!("daemon {index} sends {idempotency_key} outside its member grant");
            self.checks.report_violation(self.queue.now(), what);
        }
        let before = self.checks.record_send(instance, index, fencing_token);
        if let Some((other, other_lease)) = before
            && self.is_live_holder(other, function, other_lease)
        {
            let what = format!(
                "daemon {index} under {fencing_token} and daemon {other} under {other_lease} send to \
                 the same life of {function}"
            );
            self.checks.report_violation(self.queue.now(), what);
        }
    }

    /// Delivers a request to the runner that currently listens at the address.
    pub(super) fn begin_run(&mut self, runner_address: SocketAddress, run: SimRun) {
        let Some(runner) = self.find_addressed_runner(runner_address, &run) else {
            return;
        };
        let Some(admitted) = self.admit_run(runner, &run) else {
            return;
        };
        self.record.trace(self.queue.now(), || {
            let daemon = run.requester.node.daemon_index();
            let idempotency_key = &run.call.idempotency_key;
            format!("run {idempotency_key} on {runner} for daemon {daemon}")
        });
        self.check_admitted_run(runner, &run, &admitted);
        self.schedule_answer(runner, run);
    }

    /// The runner at an address, if there is one and a request is meant for it; otherwise the send ends.
    fn find_addressed_runner(&mut self, address: SocketAddress, run: &SimRun) -> Option<RunnerId> {
        let Some((runner, _)) = self.platform.at(address) else {
            let result = if self.rng.random_bool(0.8) {
                SendResult::Unsent
            } else {
                SendResult::Lost
            };
            self.end_send(run, result);
            return None;
        };
        if run.call.runner.is_some() && run.target_runner != runner {
            self.record.count_event("another runner at the address");
            self.end_send(run, SendResult::Lost);
            return None;
        }
        Some(runner)
    }

    /// Lets a runner begin a request, unless requests of an earlier lease holder take its slots.
    fn admit_run(&mut self, runner: RunnerId, run: &SimRun) -> Option<AdmittedRun> {
        let idempotency_key = &run.call.idempotency_key;
        let held = self.platform.runner_mut(runner)?;
        let slots = held.slots;
        let own_count = held
            .running
            .values()
            .filter(|fencing_token| **fencing_token == run.fencing_token)
            .count() as u32;
        if held.running.len() as u32 >= slots && own_count < slots {
            self.record
                .count_event("refused beside an earlier holder's");
            self.reject_by_runner(run, runner, idempotency_key);
            return None;
        }
        held.running
            .insert(idempotency_key.clone(), run.fencing_token);
        let is_adopted = runner.fencing_token != run.fencing_token;
        let least_answered = if is_adopted {
            (slots / 2).max(1) - 1
        } else {
            0
        };
        Some(AdmittedRun {
            function: held.function.clone(),
            worker: held.worker.clone(),
            running_count: own_count + 1,
            slots,
            answered: held.answered.max(least_answered),
            ready_at: held.ready_at,
        })
    }

    /// Checks that a request may run on its runner, on its worker and in its zones.
    fn check_admitted_run(&mut self, runner: RunnerId, run: &SimRun, admitted: &AdmittedRun) {
        let now = self.queue.now();
        self.checks.check_slots(
            now,
            runner,
            admitted.running_count,
            admitted.slots,
            admitted.answered,
            admitted.ready_at,
        );
        let draining_since = self.platform.draining_since(&admitted.worker);
        self.checks
            .check_not_draining(now, &admitted.worker, draining_since);
        let leaving_since = self.platform.leaving_since(runner);
        self.checks.check_not_leaving(now, runner, leaving_since);
        let worker_zone = self.platform.zone_of(&admitted.worker).cloned();
        let daemon_zone = zone_of_machine(run.requester.node.daemon_index());
        for zone in worker_zone.into_iter().chain([daemon_zone]) {
            self.checks.check_not_evacuated(now, &zone);
        }
        self.checks.check_run(
            now,
            &run.call.idempotency_key,
            run.call.attempt,
            &admitted.function,
            run.fencing_token,
        );
    }

    /// Draws how long a run takes and what happens to its answer.
    fn schedule_answer(&mut self, runner: RunnerId, run: SimRun) {
        let drawn_fault = self.drawn_fault();
        if drawn_fault == RunnerFault::BrokenEarly {
            self.end_send(&run, SendResult::Lost);
        }
        let is_long = drawn_fault == RunnerFault::BrokenEarly;
        let (shortest, longest) = if is_long {
            (200, 700)
        } else if self.plan.patient_callers {
            (200, 350)
        } else {
            (5, 60)
        };
        let work = self.rng.within(
            Duration::from_millis(shortest),
            Duration::from_millis(longest),
        );
        if drawn_fault == RunnerFault::Rejected {
            let idempotency_key = &run.call.idempotency_key;
            self.checks.record_not_run(idempotency_key);
            self.reject_by_runner(&run, runner, idempotency_key);
            if let Some(held) = self.platform.runner_mut(runner) {
                held.running.remove(idempotency_key);
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
