//! Checks before a request is sent to a runner, and verification of the runner's response.

use super::{Agent, AttemptLimits, HeldFunction, HolderRequest};
use crate::holder::SendResult;
use common::adapter::{RunnerResponse, SealKind};
use common::clock::MonotonicTime;
use common::frames::{LengthPrefixed, RequestFailureReason, RequestOutcome, RequestPayload};
use common::identity::{FunctionKey, IdempotencyKey, RunnerId};
use common::invariants::{Invariant, require};
use common::rules::{Rule, Rules};
use common::seal;
use common::spec::RouteSpec;
use std::sync::Arc;
use std::time::Duration;

/// Statuses that assure a caller that the request was not run. They are not passed on from a runner that does not
/// declare that it did not run the request.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// The lowest status of a final response.
const LOWEST_FINAL_STATUS: u16 = 200;
/// The lowest status of a failure. Only with a failure can a runner declare that it did not run a request.
const LOWEST_FAILURE_STATUS: u16 = 400;
/// The lowest status of a failure that the caller did not cause.
const LOWEST_SERVER_FAILURE_STATUS: u16 = 500;

/// Verifies a runner's response: it has to name the request that was sent, and be complete and sealed. Any other
/// response counts as lost, as it does not tell whether the request was run.
pub fn verify_response(
    rules: Rules,
    idempotency_key: &IdempotencyKey,
    function: &FunctionKey,
    runner: RunnerId,
    response: RunnerResponse,
) -> SendResult {
    let sent_request = SentRequest {
        rules,
        idempotency_key,
        function,
        runner,
    };
    match response.seal_kind {
        SealKind::Digest => sent_request.verify_digest_seal(response),
        SealKind::CheckedByCaller => sent_request.verify_carried_seal(response),
    }
}

/// The request that was sent to a runner, and that its response has to name.
struct SentRequest<'a> {
    rules: Rules,
    idempotency_key: &'a IdempotencyKey,
    function: &'a FunctionKey,
    /// The id by which the runner identifies itself in responses.
    runner: RunnerId,
}

impl SentRequest<'_> {
    /// Verifies a response whose seal is a digest that this daemon can compute itself.
    fn verify_digest_seal(&self, response: RunnerResponse) -> SendResult {
        let named_function = response.function.as_deref().unwrap_or("");
        let named_runner = response.runner.as_deref().unwrap_or("");
        let names_match = response.idempotency_key == self.idempotency_key.as_str()
            && named_function == self.function.to_string()
            && named_runner == self.runner.to_string();
        let is_rejected = response.did_not_run;
        let expected_seal = if self.rules.enforces(Rule::SealBoundToRequest) {
            seal::seal(
                self.idempotency_key,
                self.function,
                self.runner,
                is_rejected,
                &response.body,
            )
        } else {
            seal::seal_of_texts(
                &response.idempotency_key,
                named_function,
                named_runner,
                is_rejected,
                &response.body,
            )
        };
        let is_bound = names_match || !self.rules.enforces(Rule::SealBoundToRequest);
        let is_sealed = response.seal == expected_seal && is_bound;
        if !is_sealed && self.rules.enforces(Rule::SealChecked) {
            return SendResult::Lost;
        }
        if is_rejected {
            return SendResult::RejectedByRunner;
        }
        SendResult::Answered(response_outcome(self.runner, response))
    }

    /// Verifies a response whose seal only the caller can check: this daemon verifies its names and completeness.
    fn verify_carried_seal(&self, response: RunnerResponse) -> SendResult {
        if response.is_other_runner && response.idempotency_key == self.idempotency_key.as_str() {
            return SendResult::WrongRunner;
        }
        if self.is_contradicted_by(&response) && self.rules.enforces(Rule::SealBoundToRequest) {
            return SendResult::Lost;
        }
        if response.did_not_run && response.status >= LOWEST_FAILURE_STATUS {
            return SendResult::RejectedByRunner;
        }
        if response.did_not_run
            || response.status < LOWEST_FINAL_STATUS
            || NOT_RUN_STATUSES.contains(&response.status)
        {
            return SendResult::Lost;
        }
        if response.is_unreliable && self.rules.enforces(Rule::IncompleteBodyRejected) {
            return SendResult::Lost;
        }
        let is_success = (200..300).contains(&response.status);
        if is_success && response.seal.is_empty() && self.rules.enforces(Rule::SealChecked) {
            return SendResult::Lost;
        }
        if response.status >= LOWEST_SERVER_FAILURE_STATUS {
            return SendResult::Failed(response_outcome(self.runner, response));
        }
        SendResult::Answered(response_outcome(self.runner, response))
    }

    /// Whether a response names a different request, function or runner. It may omit the function and the runner.
    fn is_contradicted_by(&self, response: &RunnerResponse) -> bool {
        response.idempotency_key != self.idempotency_key.as_str()
            || response
                .function
                .as_ref()
                .is_some_and(|named| *named != self.function.to_string())
            || response
                .runner
                .as_ref()
                .is_some_and(|named| *named != self.runner.to_string())
    }
}

fn response_outcome(runner: RunnerId, response: RunnerResponse) -> RequestOutcome {
    RequestOutcome::Response {
        status: response.status,
        seal: response.seal.into_bytes().into(),
        runner,
        header_fields: LengthPrefixed(response.header_fields),
        body: response.body.into(),
    }
}

/// One send of a request to a runner.
#[derive(Clone, Debug)]
pub struct RunnerAttempt {
    /// The request's idempotency key.
    pub idempotency_key: IdempotencyKey,
    /// The function.
    pub function: FunctionKey,
    /// The runner that is to run it. A different runner at the same address rejects it.
    pub runner: Option<RunnerId>,
    /// The number of this attempt, starting at one.
    pub attempt: u32,
    /// The time until the request's deadline.
    pub remaining_time: Duration,
    /// The caller's method, target, header fields and body.
    pub payload: Arc<RequestPayload>,
}

/// Whether the newest spec still allows an attempt of a request that its holder admitted with the limits of an earlier
/// one. Unless the limits have become stricter, the holder itself counts the attempts: it alone knows which of them were
/// refused by a runner other than the intended one.
fn has_attempts_left(holder_request: &HolderRequest, route: &RouteSpec, attempt: u32) -> bool {
    let max_runs = AttemptLimits::of_route(route).max_runs();
    max_runs >= holder_request.limits().max_runs() || attempt <= max_runs
}

/// How long after the end of the session lease a request may still be sent. The leader waits longer than this before it
/// grants a lease to another daemon. A daemon that sends later was suspended between its check of the lease and its
/// write.
const LEASE_SLACK: Duration = Duration::from_millis(100);

impl<W> Agent<W> {
    /// Whether requests of a held function may be sent: the session lease is valid, and the function is still held.
    pub fn may_send(&self, now: MonotonicTime, held: &HeldFunction<W>) -> bool {
        let is_held = self
            .held_under_lease(&held.function, held.fencing_token)
            .is_some();
        (self.is_serving(now) && is_held) || !self.rules.enforces(Rule::LeaseCheckedBeforeSend)
    }

    /// Checks the invariant that the request just sent was sent under a valid session lease, with a tolerance of
    /// `LEASE_SLACK`.
    pub fn check_sent_under_lease(&self, now: MonotonicTime) {
        let lease_end = self.session_lease_end();
        let is_under_lease = now < lease_end + LEASE_SLACK;
        require(
            self.rules,
            Invariant::SentUnderLease,
            is_under_lease,
            || {
                format!(
                    "a request was sent {} ms after the end of the session lease",
                    now.since(lease_end).as_millis()
                )
            },
        );
    }

    /// Performs the last checks before a request is written to a connection: the session lease is valid, the function
    /// is held, and the newest spec still routes the request to this function and allows this attempt. The error is the
    /// reason why the request may not be sent.
    pub fn runner_attempt(
        &self,
        now: MonotonicTime,
        held: &HeldFunction<W>,
        holder_request: &HolderRequest,
        runner: RunnerId,
        attempt: u32,
    ) -> Result<RunnerAttempt, RequestFailureReason> {
        let table = self.routing_table();
        let route = self
            .route_of_request(&table, &holder_request.payload, &holder_request.route)
            .filter(|route| table.leads_to(route, &held.function));
        if route.is_none() && self.rules.enforces(Rule::SpecCheckedBeforeSend) {
            return Err(RequestFailureReason::NotAllowed);
        }
        let has_attempts_left =
            route.is_none_or(|route| has_attempts_left(holder_request, &route.spec, attempt));
        if !has_attempts_left && self.rules.enforces(Rule::StrictestLimitsKept) {
            return Err(RequestFailureReason::RejectedByRunner);
        }
        if !self.is_serving(now) || !self.may_send(now, held) {
            return Err(RequestFailureReason::NotServing);
        }
        Ok(RunnerAttempt {
            idempotency_key: holder_request.idempotency_key.clone(),
            function: held.function.clone(),
            runner: self
                .rules
                .enforces(Rule::RunnerIdentityChecked)
                .then_some(runner),
            attempt,
            remaining_time: holder_request.deadline.since(now),
            payload: holder_request.payload.clone(),
        })
    }
}
