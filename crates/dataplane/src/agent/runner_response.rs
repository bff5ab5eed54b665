//! Verification of a runner's response, and the checks before a request is sent to a runner.

use super::{Agent, HeldFunction, HolderRequest};
use crate::holder::SendResult;
use common::adapter::{RunnerResponse, SealKind};
use common::clock::MonotonicTime;
use common::frames::{LengthPrefixed, RequestFailureReason, RequestOutcome, RequestPayload};
use common::identity::{FunctionKey, IdempotencyKey, RunnerId};
use common::invariants::{Invariant, require};
use common::rules::{Rule, Rules};
use common::seal;
use std::sync::Arc;
use std::time::Duration;

/// Statuses that assure a caller that nothing was run. From a runner that does not declare that it did not run, they
/// are never passed on.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// The lowest status that ends a request.
const LOWEST_FINAL_STATUS: u16 = 200;
/// The lowest status of a failure; only with a failure can a runner declare that it did not run.
const LOWEST_FAILURE_STATUS: u16 = 400;
/// The lowest status of a failure that is not the caller's.
const LOWEST_SERVER_FAILURE_STATUS: u16 = 500;

/// Verifies a runner's response: it has to name the request that was sent, and be complete and sealed. Anything else
/// counts as lost, as nobody can tell whether the request was run.
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

/// What was sent to a runner, and what its response has to name.
struct SentRequest<'a> {
    rules: Rules,
    idempotency_key: &'a IdempotencyKey,
    function: &'a FunctionKey,
    /// The id by which the runner identifies itself in responses.
    runner: RunnerId,
}

impl SentRequest<'_> {
    /// A response whose seal is a digest that this daemon can compute itself.
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
        SendResult::Answered(answer_outcome(self.runner, response))
    }

    /// A response whose seal only the caller can check: names and completeness are verified here.
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
            return SendResult::Failed(answer_outcome(self.runner, response));
        }
        SendResult::Answered(answer_outcome(self.runner, response))
    }

    /// Whether a response names another request, function or runner; function and runner may be left out.
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

fn answer_outcome(runner: RunnerId, response: RunnerResponse) -> RequestOutcome {
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
    /// The runner that is to run it; another one at the same address rejects it.
    pub runner: Option<RunnerId>,
    /// The number of this attempt, from one.
    pub attempt: u32,
    /// The time until the request's deadline.
    pub remaining_time: Duration,
    /// What the caller sent: method, target, header fields and body.
    pub payload: Arc<RequestPayload>,
}

/// How long after the end of a lease a send may still leave. The leader waits for longer than that before it grants the
/// lease to another daemon; whoever sends later was suspended between its check of the lease and its write.
const LEASE_SLACK: Duration = Duration::from_millis(100);

impl<W> Agent<W> {
    /// Whether anything may be sent for a held function: the session lease runs, and the function was not given up.
    pub fn may_send(&self, now: MonotonicTime, held: &HeldFunction<W>) -> bool {
        let is_held = self.held(&held.function, held.fencing_token).is_some();
        (self.is_serving(now) && is_held) || !self.rules.enforces(Rule::LeaseCheckedBeforeSend)
    }

    /// Checks the invariant that what has just been sent left while the session lease ran.
    pub fn check_sent_under_lease(&self, now: MonotonicTime) {
        let lease_end = self.session_lease_end();
        let is_under_lease = now < lease_end + LEASE_SLACK;
        require(
            self.rules,
            Invariant::SentUnderLease,
            is_under_lease,
            || {
                format!(
                    "a request left {} ms after the lease",
                    now.since(lease_end).as_millis()
                )
            },
        );
    }

    /// The last checks before a request is written to a connection: the session lease runs, the function is held, and
    /// the newest spec still routes the request to this function. An error is the reason why it may not be sent.
    pub fn runner_attempt(
        &self,
        now: MonotonicTime,
        held: &HeldFunction<W>,
        holder_request: &HolderRequest,
        runner: RunnerId,
        attempt: u32,
    ) -> Result<RunnerAttempt, RequestFailureReason> {
        let table = self.routing_table();
        let is_allowed = table.allows(&holder_request.route, &held.function);
        if !is_allowed && self.rules.enforces(Rule::SpecCheckedBeforeSend) {
            return Err(RequestFailureReason::NotAllowed);
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
