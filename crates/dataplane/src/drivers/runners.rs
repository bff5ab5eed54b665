//! Requests to runners: callers' requests, readiness probes, and queries for the requests that a runner is running.

use super::metered_stream::WritePermit;
use super::runner_connections::{CheckoutError, ExchangeResult, RunnerConnection};
use super::state::{LocalHeldFunction, State};
use crate::agent::{HolderRequest, RunnerAttempt, RunnerTarget, verify_response};
use crate::holder::SendResult;
use bytes::Bytes;
use common::adapter::{ReadinessProbe, RunnerRequest};
use common::clock::MonotonicTime;
use common::events;
use common::frames::{RequestFailureReason, SocketAddress};
use common::http::{
    CallResponse, call_json, closes_connection, keep_alive_timeout, single_header_text,
};
use common::identity::{IdempotencyKey, RunnerId, Ticket};
use common::log_event;
use common::seal;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use std::fmt;
use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;

/// How long a send waits for a connection to become ready for a request.
const READY_TIMEOUT: Duration = Duration::from_millis(100);
/// The time-out of a readiness probe or of a query for running requests.
const QUERY_TIMEOUT: Duration = Duration::from_millis(800);

/// Sends a request to a runner, on an idle connection if there is one.
///
/// The newest spec, the session lease and the function lease are checked once the connection is open, and the leases
/// again right before the first byte is written. Nothing is sent to a runner that no longer exists, because its address
/// may have been reassigned to another one. If an idle connection turns out to be closed before anything was written,
/// this is not counted as a failure of the runner, and a new connection is opened immediately.
pub(super) async fn send(
    state: &Arc<State>,
    held: &LocalHeldFunction,
    ticket: Ticket,
    runner: RunnerId,
    address: SocketAddress,
    attempt: u32,
) -> SendResult {
    let Some(holder_request) = held.holder_request(ticket) else {
        return SendResult::Forbidden(RequestFailureReason::NotServing);
    };
    let Some(target) = held.runner_target(runner) else {
        return SendResult::Unsent;
    };
    let mut send = RunnerSend {
        state,
        held,
        holder_request,
        target,
        runner,
        address,
        attempt,
        is_counted: false,
    };
    let mut must_be_new = false;
    loop {
        match send.try_connection(must_be_new).await {
            ControlFlow::Break(result) => return result,
            ControlFlow::Continue(()) => must_be_new = true,
        }
    }
}

/// A send of a request to a runner, which may need more than one connection.
struct RunnerSend<'a> {
    state: &'a Arc<State>,
    held: &'a LocalHeldFunction,
    holder_request: HolderRequest,
    target: RunnerTarget,
    runner: RunnerId,
    address: SocketAddress,
    attempt: u32,
    is_counted: bool,
}

impl RunnerSend<'_> {
    /// Tries to send on one connection. Returns `Continue` if it was an idle one that turned out to be closed.
    async fn try_connection(&mut self, must_be_new: bool) -> ControlFlow<SendResult> {
        let mut connection = match self.checkout(must_be_new).await {
            Ok(connection) => connection,
            Err(CheckoutError::Unreachable) => return ControlFlow::Break(SendResult::Unsent),
            // Handled like a rejection: for a short time, the holder sends the runner no more requests at once than it
            // has then.
            Err(CheckoutError::Full) => return ControlFlow::Break(SendResult::RejectedByRunner),
        };
        if !connection.wait_until_ready(READY_TIMEOUT).await {
            return retry_if_reused(&connection);
        }
        let runner_attempt = match self.checked_attempt() {
            Ok(runner_attempt) => runner_attempt,
            Err(reason) => {
                self.state.runner_connections.check_in(connection, None);
                return ControlFlow::Break(SendResult::Forbidden(reason));
            }
        };
        let Ok(request) = self.http_request(&runner_attempt) else {
            let reason = RequestFailureReason::NotAllowed;
            return ControlFlow::Break(SendResult::Forbidden(reason));
        };
        self.count_send();
        let permit = send_permit(self.state.clone(), self.held.clone());
        let max_body_bytes = self.state.settings.max_body_bytes;
        match connection
            .exchange(
                request,
                permit,
                runner_attempt.remaining_time,
                max_body_bytes,
            )
            .await
        {
            ExchangeResult::Answered(response) => {
                ControlFlow::Break(self.verify(connection, response))
            }
            ExchangeResult::NotSent if !self.may_send() => {
                let reason = RequestFailureReason::NotServing;
                ControlFlow::Break(SendResult::Forbidden(reason))
            }
            ExchangeResult::NotSent => retry_if_reused(&connection),
            ExchangeResult::Lost(error) => {
                self.log_rejected_response(&error);
                ControlFlow::Break(SendResult::Lost)
            }
        }
    }

    async fn checkout(&self, must_be_new: bool) -> Result<RunnerConnection, CheckoutError> {
        let timeout = self.holder_request.deadline.since(MonotonicTime::now());
        let connections = &self.state.runner_connections;
        let max_connections = self.target.connections;
        if must_be_new {
            connections
                .checkout_new(self.runner, self.address, max_connections, timeout)
                .await
        } else {
            connections
                .checkout(self.runner, self.address, max_connections, timeout)
                .await
        }
    }

    fn checked_attempt(&self) -> Result<RunnerAttempt, RequestFailureReason> {
        self.state.agent.runner_attempt(
            MonotonicTime::now(),
            self.held,
            &self.holder_request,
            self.runner,
            self.attempt,
        )
    }

    fn http_request(
        &self,
        runner_attempt: &RunnerAttempt,
    ) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let runner_request = RunnerRequest {
            idempotency_key: &runner_attempt.idempotency_key,
            function: &runner_attempt.function,
            runner: runner_attempt.runner,
            instance: runner_attempt.runner.map(|_| &self.target.instance),
            attempt: self.attempt,
            remaining_time: runner_attempt.remaining_time,
            payload: &runner_attempt.payload,
        };
        self.state
            .adapters
            .runner
            .encode_request(self.address, &runner_request)
    }

    /// Counts the send, only once regardless of the number of connections tried.
    fn count_send(&mut self) {
        if !self.is_counted {
            self.is_counted = true;
            self.state.metrics.runners.sends.inc();
            if self.attempt > 1 {
                self.state.metrics.runners.retried_sends.inc();
            }
        }
    }

    fn log_rejected_response(&self, cause: &dyn fmt::Display) {
        log_event!(
            Debug,
            events::RESPONSE_REJECTED,
            "{} on {}: {cause}",
            self.holder_request.idempotency_key,
            self.runner
        );
    }

    fn may_send(&self) -> bool {
        self.state.agent.may_send(MonotonicTime::now(), self.held)
    }

    /// Verifies a response. The connection is returned to the pool unless the response is invalid or closes it.
    fn verify(&self, connection: RunnerConnection, call_response: CallResponse) -> SendResult {
        let keep_alive_timeout = keep_alive_timeout(&call_response.headers);
        let is_last = closes_connection(&call_response.headers);
        let codec = &self.state.adapters.runner;
        let response = codec.decode_response(
            call_response.status,
            &call_response.headers,
            call_response.body,
        );
        let is_last = is_last || response.closes_connection;
        let result = verify_response(
            self.state.agent.rules,
            &self.holder_request.idempotency_key,
            &self.held.function,
            self.target.self_reported_id,
            response,
        );
        if matches!(result, SendResult::Lost) {
            self.state.metrics.runners.rejected_responses.inc();
            self.log_rejected_response(&"seal");
        } else if !is_last && !matches!(result, SendResult::WrongRunner) {
            let connections = &self.state.runner_connections;
            connections.check_in(connection, keep_alive_timeout);
        }
        result
    }
}

/// Decides whether to retry after nothing was sent on a connection. A reused connection may have been closed by the
/// runner while it was idle, but a new connection that fails means that the runner is gone.
fn retry_if_reused(connection: &RunnerConnection) -> ControlFlow<SendResult> {
    if connection.is_reused() {
        ControlFlow::Continue(())
    } else {
        ControlFlow::Break(SendResult::Unsent)
    }
}

/// Returns a permit that is valid while the session lease and the function's lease are.
fn send_permit(state: Arc<State>, held: LocalHeldFunction) -> WritePermit {
    let permit_state = state.clone();
    WritePermit {
        is_valid: Box::new(move || permit_state.agent.may_send(MonotonicTime::now(), &held)),
        on_first_write: Box::new(move || state.agent.check_sent_under_lease(MonotonicTime::now())),
    }
}

/// Returns whether a runner that is starting up is ready. An HTTP probe also checks that the expected runner answered;
/// the connection opened by a TCP probe is added to the pool.
pub(super) async fn is_ready(
    state: &State,
    held: &LocalHeldFunction,
    runner: RunnerId,
    address: SocketAddress,
) -> bool {
    let timeout = QUERY_TIMEOUT;
    match state.adapters.runner.readiness_probe() {
        ReadinessProbe::HttpGet(path, name_header) => {
            let call_result = call_json(address, Method::GET, path, None, timeout).await;
            call_result.is_ok_and(|response| {
                response.status == StatusCode::OK
                    && single_header_text(&response.headers, name_header)
                        == held.self_reported_id_of(runner).to_string()
            })
        }
        ReadinessProbe::TcpConnect => {
            let max_connections = held.with(|holder| holder.max_connections());
            match state
                .runner_connections
                .checkout_new(runner, address, max_connections, timeout)
                .await
            {
                Ok(connection) => {
                    state.runner_connections.check_in(connection, None);
                    true
                }
                Err(_) => false,
            }
        }
    }
}

/// Returns the requests that a runner is running, or `None` if it cannot be queried or another runner answers at its
/// address.
pub(super) async fn list_running(
    state: &State,
    runner: RunnerId,
    address: SocketAddress,
) -> Option<Vec<IdempotencyKey>> {
    let path = state.adapters.runner.running_path()?;
    match call_json(address, Method::GET, path, None, QUERY_TIMEOUT).await {
        Ok(response) => {
            if single_header_text(&response.headers, seal::RUNNER_HEADER) != runner.to_string() {
                return None;
            }
            let body = response.json();
            let listed = body.get("running")?.as_array()?;
            Some(
                listed
                    .iter()
                    .filter_map(|item| item.as_str().map(IdempotencyKey::from))
                    .collect(),
            )
        }
        Err(_) => None,
    }
}
