//! Requests to simulated runners: sending, execution and responses, with injected faults.

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

/// Delay until a lease holder learns that a request did not leave its daemon.
const UNSENT_RESULT_DELAY: Duration = Duration::from_micros(1);

/// A request to a runner, and the lease holder to which the result is returned.
#[derive(Clone)]
pub(super) struct SimRun {
    pub requester: Requester,
    pub function: FunctionKey,
    pub fencing_token: FencingToken,
    pub ticket: Ticket,
    pub target_runner: RunnerId,
    pub runner_attempt: RunnerAttempt,
}

/// The state of a runner when it started a request.
struct AdmittedRun {
    function: FunctionKey,
    worker: WorkerName,
    /// The number of requests of the same lease holder that it runs, including this one.
    running_count: u32,
    slots: u32,
    /// The number of good responses that slow start counts; it allows one more concurrent request than that. An adopted
    /// runner starts with half of its slots.
    answered: u32,
    ready_at: MonotonicTime,
}

/// A fault of a runner's response.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum RunnerFault {
    None,
    Lost,
    /// The connection breaks before the response; the request keeps running.
    ConnectionBroken,
    CorruptedByte,
    Truncated,
    /// The runner sends its previous response instead.
    PreviousResponse,
    /// The runner rejects the request without running it.
    Rejected,
}

impl Simulation {
    /// Sends a request of a lease holder to a runner, unless the runner has stopped or the daemon may no longer send.
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
                UNSENT_RESULT_DELAY,
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
        let runner_attempt = held
            .holder_request(ticket)
            .ok_or(common::frames::RequestFailureReason::NotServing)
            .and_then(|holder_request| {
                agent.runner_attempt(local_now, held, &holder_request, runner, attempt)
            });
        match runner_attempt {
            Ok(runner_attempt) => {
                agent.check_sent_under_lease(local_now);
                let run = SimRun {
                    requester,
                    function,
                    fencing_token,
                    ticket,
                    target_runner: target.self_reported_id,
                    runner_attempt,
                };
                self.send_run(index, &target.instance, runner_address, run);
            }
            Err(reason) => {
                let result = SendResult::Forbidden(reason);
                self.queue.push(
                    UNSENT_RESULT_DELAY,
                    HolderEvent::SendEnded(requester, function, ticket, fencing_token, result),
                );
            }
        }
    }

    /// Checks that the daemon may send a request, and sends it to the address of a runner.
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

    /// Checks that the daemon has a session lease and that no other live lease holder sends to the instance.
    fn check_send(&mut self, index: usize, instance: &InstanceId, run: &SimRun) {
        let (function, fencing_token) = (&run.function, run.fencing_token);
        if !self.is_daemon_serving(index) {
            let idempotency_key = &run.runner_attempt.idempotency_key;
            let what = format!("daemon {index} sends {idempotency_key} outside its session lease");
            self.checks.report_violation(self.queue.now(), what);
        }
        let before = self.checks.record_send(instance, index, fencing_token);
        if let Some((other, other_lease)) = before
            && self.is_live_holder(other, function, other_lease)
        {
            let what = format!(
                "daemon {index} under {fencing_token} and daemon {other} under {other_lease} send to \
                 the same instance of {function}"
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
            let idempotency_key = &run.runner_attempt.idempotency_key;
            format!("run {idempotency_key} on {runner} for daemon {daemon}")
        });
        self.check_admitted_run(runner, &run, &admitted);
        self.schedule_answer(runner, run);
    }

    /// Returns the runner at an address if the request is meant for it. Otherwise ends the send.
    fn find_addressed_runner(&mut self, address: SocketAddress, run: &SimRun) -> Option<RunnerId> {
        let Some((runner, _)) = self.platform.runner_at(address) else {
            let result = if self.rng.random_bool(0.8) {
                SendResult::Unsent
            } else {
                SendResult::Lost
            };
            self.end_send(run, result);
            return None;
        };
        if run.runner_attempt.runner.is_some() && run.target_runner != runner {
            self.record.count_event("another runner at the address");
            self.end_send(run, SendResult::Lost);
            return None;
        }
        Some(runner)
    }

    /// Starts a request on a runner, unless requests of an earlier lease holder occupy its slots.
    fn admit_run(&mut self, runner: RunnerId, run: &SimRun) -> Option<AdmittedRun> {
        let idempotency_key = &run.runner_attempt.idempotency_key;
        let sim_runner = self.platform.runner_mut(runner)?;
        let slots = sim_runner.slots;
        let same_holder_count = sim_runner
            .running
            .values()
            .filter(|fencing_token| **fencing_token == run.fencing_token)
            .count() as u32;
        if sim_runner.running.len() as u32 >= slots && same_holder_count < slots {
            self.record
                .count_event("refused beside an earlier holder's");
            self.reject_by_runner(run, runner, idempotency_key);
            return None;
        }
        sim_runner
            .running
            .insert(idempotency_key.clone(), run.fencing_token);
        let is_adopted = runner.fencing_token != run.fencing_token;
        let min_answered = if is_adopted {
            (slots / 2).max(1) - 1
        } else {
            0
        };
        Some(AdmittedRun {
            function: sim_runner.function.clone(),
            worker: sim_runner.worker.clone(),
            running_count: same_holder_count + 1,
            slots,
            answered: sim_runner.answered.max(min_answered),
            ready_at: sim_runner.ready_at,
        })
    }

    /// Checks that a request may run on its runner, on the worker, and in the zones of the worker and the daemon.
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
            &run.runner_attempt.idempotency_key,
            run.runner_attempt.attempt,
            &admitted.function,
            run.fencing_token,
        );
    }

    /// Chooses at random how long a request runs and which fault its response has.
    fn schedule_answer(&mut self, runner: RunnerId, run: SimRun) {
        let fault = self.random_runner_fault();
        if fault == RunnerFault::ConnectionBroken {
            self.end_send(&run, SendResult::Lost);
        }
        let is_long = fault == RunnerFault::ConnectionBroken;
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
        if fault == RunnerFault::Rejected {
            let idempotency_key = &run.runner_attempt.idempotency_key;
            self.checks.record_not_run(idempotency_key);
            self.reject_by_runner(&run, runner, idempotency_key);
            if let Some(sim_runner) = self.platform.runner_mut(runner) {
                sim_runner.running.remove(idempotency_key);
            }
            return;
        }
        let fault_code = fault as u8;
        self.queue
            .push(work, PlatformEvent::RunFinished(runner, run, fault_code));
    }

    /// Ends a send with the sealed response by which a runner rejects a request.
    fn reject_by_runner(
        &mut self,
        run: &SimRun,
        runner: RunnerId,
        idempotency_key: &IdempotencyKey,
    ) {
        let answer_body = b"no".to_vec();
        let answer_seal = seal::seal(idempotency_key, &run.function, runner, true, &answer_body);
        self.end_send_with_response(run, runner, idempotency_key, answer_seal, true, answer_body);
    }

    fn random_runner_fault(&mut self) -> RunnerFault {
        if !self.rng.random_bool(self.faults.runner_fault_rate()) {
            return RunnerFault::None;
        }
        let all = [
            RunnerFault::Lost,
            RunnerFault::Lost,
            RunnerFault::ConnectionBroken,
            RunnerFault::CorruptedByte,
            RunnerFault::Truncated,
            RunnerFault::PreviousResponse,
            RunnerFault::Rejected,
        ];
        all[self.rng.below(all.len() as u64) as usize]
    }

    /// Ends a request on a runner and sends the response, changed by the fault that was chosen for it.
    pub(super) fn finish_run(&mut self, runner: RunnerId, run: SimRun, fault_code: u8) {
        let idempotency_key = run.runner_attempt.idempotency_key.clone();
        let Some(sim_runner) = self.platform.runner_mut(runner) else {
            if fault_code != RunnerFault::ConnectionBroken as u8 {
                self.end_send(&run, SendResult::Lost);
            }
            return;
        };
        sim_runner.running.remove(&idempotency_key);
        let mut answer_body = self.checks.make_body(&idempotency_key, runner);
        let function = sim_runner.function.clone();
        let mut answer_seal = seal::seal(&idempotency_key, &function, runner, false, &answer_body);
        let mut sealed_key = idempotency_key.clone();
        let last_sealed = sim_runner.last_sealed.replace((
            idempotency_key.clone(),
            answer_seal.clone(),
            answer_body.clone(),
        ));
        if fault_code == RunnerFault::ConnectionBroken as u8 {
            return;
        }
        if fault_code == RunnerFault::Lost as u8 {
            self.end_send(&run, SendResult::Lost);
            return;
        }
        if fault_code == RunnerFault::CorruptedByte as u8
            && let Some(byte) = answer_body.first_mut()
        {
            *byte ^= 1;
        }
        if fault_code == RunnerFault::Truncated as u8 {
            answer_body.pop();
        }
        if fault_code == RunnerFault::PreviousResponse as u8
            && let Some((other_key, other_seal, other_body)) = last_sealed
        {
            (sealed_key, answer_seal, answer_body) = (other_key, other_seal, other_body);
        }
        let is_good = fault_code == RunnerFault::None as u8 || sealed_key == idempotency_key;
        if is_good
            && fault_code != RunnerFault::CorruptedByte as u8
            && fault_code != RunnerFault::Truncated as u8
            && let Some(sim_runner) = self.platform.runner_mut(runner)
        {
            sim_runner.answered += 1;
        }
        self.end_send_with_response(&run, runner, &sealed_key, answer_seal, false, answer_body);
    }

    /// Ends a send with a runner's response, which is first verified as the daemon does.
    fn end_send_with_response(
        &mut self,
        run: &SimRun,
        runner: RunnerId,
        sealed_key: &IdempotencyKey,
        answer_seal: String,
        is_rejection: bool,
        body: Vec<u8>,
    ) {
        let function = self
            .platform
            .runner(runner)
            .map_or(run.function.to_string(), |sim_runner| {
                sim_runner.function.to_string()
            });
        let response = RunnerResponse {
            status: 200,
            idempotency_key: sealed_key.to_string(),
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
        let requested_key = &run.runner_attempt.idempotency_key;
        let result = verify_response(
            rules,
            requested_key,
            &run.function,
            run.target_runner,
            response,
        );
        self.end_send(run, result);
    }

    fn end_send(&mut self, run: &SimRun, result: SendResult) {
        let delay = self.network.delay(&mut self.rng);
        let function = run.function.clone();
        self.queue.push(
            delay,
            HolderEvent::SendEnded(
                run.requester,
                function,
                run.ticket,
                run.fencing_token,
                result,
            ),
        );
    }
}
