use super::metered_stream::WritePermit;
use super::runner_connections::{CheckoutError, ExchangeResult};
use super::{LocalHeldFunction, State};
use crate::agent::verify_response;
use crate::holder::SendResult;
use common::adapter::{ReadinessProbe, RunnerRequest};
use common::clock::MonotonicTime;
use common::events;
use common::frames::{RequestFailureReason, SocketAddress};
use common::http::{call_json, closes_connection, keep_alive_timeout, single_text};
use common::identity::{IdempotencyKey, RunnerId, Ticket};
use common::log_event;
use common::seal;
use hyper::{Method, StatusCode};
use std::sync::Arc;
use std::time::Duration;

const READY_TIMEOUT: Duration = Duration::from_millis(100);

/// Sends one transaction to a runner, on a kept connection if there is one. The last look at the newest
/// spec comes when the connection is open, that at the member grant and the function's grant right before
/// the first byte is written. A runner that is gone gets nothing: its address may be another one's. A kept
/// connection that turns out to be gone before anything was written is no fault of the
/// runner's, and a new one is opened at once.
pub async fn send(
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
    let max_connections = target.connections;
    let mut is_send_counted = false;
    let mut must_be_new = false;
    loop {
        let timeout = holder_request.deadline.since(MonotonicTime::now());
        let checked_out = if must_be_new {
            state
                .runner_connections
                .checkout_new(runner, address, max_connections, timeout)
                .await
        } else {
            state
                .runner_connections
                .checkout(runner, address, max_connections, timeout)
                .await
        };
        let mut connection = match checked_out {
            Ok(connection) => connection,
            Err(CheckoutError::Unreachable) => return SendResult::Unsent,
            Err(CheckoutError::Full) => return SendResult::RejectedByRunner,
        };
        must_be_new = true;
        if !connection.is_usable(READY_TIMEOUT).await {
            if connection.is_reused() {
                continue;
            }
            return SendResult::Unsent;
        }
        let call = match state.agent.runner_attempt(
            MonotonicTime::now(),
            held,
            &holder_request,
            runner,
            attempt,
        ) {
            Ok(call) => call,
            Err(reason) => {
                state.runner_connections.keep(connection, None);
                return SendResult::Forbidden(reason);
            }
        };
        let runner_request = RunnerRequest {
            idempotency_key: &call.idempotency_key,
            function: &call.function,
            runner: call.runner,
            instance: call.runner.map(|_| &target.instance),
            attempt,
            remaining_time: call.remaining_time,
            payload: &call.payload,
        };
        let Ok(request) = state.adapters.runner.request(address, &runner_request) else {
            return SendResult::Forbidden(RequestFailureReason::NotAllowed);
        };
        if !is_send_counted {
            is_send_counted = true;
            state.gauges.sends.inc();
            if attempt > 1 {
                state.gauges.retried_sends.inc();
            }
        }
        let permit = send_permit(state.clone(), held.clone());
        let max_body_bytes = state.settings.max_body_bytes;
        match connection
            .exchange(request, permit, call.remaining_time, max_body_bytes)
            .await
        {
            ExchangeResult::Answered(called) => {
                let keep_alive_timeout = keep_alive_timeout(&called.headers);
                let is_last = closes_connection(&called.headers);
                let response =
                    state
                        .adapters
                        .runner
                        .read(called.status, &called.headers, called.body);
                let is_last = is_last || response.closes_connection;
                let end = verify_response(
                    state.agent.rules,
                    &holder_request.idempotency_key,
                    &held.function,
                    target.self_reported_id,
                    response,
                );
                if matches!(end, SendResult::Lost) {
                    state.gauges.rejected_answers.inc();
                    log_event!(
                        Debug,
                        events::RESPONSE_REJECTED,
                        "{} on {runner}: seal",
                        holder_request.idempotency_key
                    );
                } else if !is_last && !matches!(end, SendResult::WrongRunner) {
                    state
                        .runner_connections
                        .keep(connection, keep_alive_timeout);
                }
                return end;
            }
            ExchangeResult::NotSent if !state.agent.may_send(MonotonicTime::now(), held) => {
                return SendResult::Forbidden(RequestFailureReason::NotServing);
            }
            ExchangeResult::NotSent if connection.is_reused() => {}
            ExchangeResult::NotSent => return SendResult::Unsent,
            ExchangeResult::Lost(error) => {
                log_event!(
                    Debug,
                    events::RESPONSE_REJECTED,
                    "{} on {runner}: {error}",
                    holder_request.idempotency_key
                );
                return SendResult::Lost;
            }
        }
    }
}

fn send_permit(state: Arc<State>, held: LocalHeldFunction) -> WritePermit {
    let permit_state = state.clone();
    WritePermit {
        is_valid: Box::new(move || permit_state.agent.may_send(MonotonicTime::now(), &held)),
        on_first_write: Box::new(move || state.agent.check_sent_under_lease(MonotonicTime::now())),
    }
}

/// Whether a booting runner is ready, and is the one it should be. A connection that was opened to find
/// that out is kept.
pub async fn is_ready(
    state: &State,
    held: &LocalHeldFunction,
    runner: RunnerId,
    address: SocketAddress,
) -> bool {
    let timeout = Duration::from_millis(800);
    match state.adapters.runner.readiness_probe() {
        ReadinessProbe::HttpGet(path, name_header) => {
            let called = call_json(address, Method::GET, path, None, timeout).await;
            called.is_ok_and(|called| {
                called.status == StatusCode::OK
                    && single_text(&called.headers, name_header)
                        == held.self_reported_id_of(runner).to_string()
            })
        }
        ReadinessProbe::TcpConnect => {
            let max_connections = held.with(|holder| holder.connections());
            match state
                .runner_connections
                .checkout_new(runner, address, max_connections, timeout)
                .await
            {
                Ok(connection) => {
                    state.runner_connections.keep(connection, None);
                    true
                }
                Err(_) => false,
            }
        }
    }
}

/// What a runner is running; none when it is gone, or another runner answers at its address.
pub async fn list_running(
    state: &State,
    runner: RunnerId,
    address: SocketAddress,
) -> Option<Vec<IdempotencyKey>> {
    let timeout = Duration::from_millis(800);
    let path = state.adapters.runner.running_path()?;
    match call_json(address, Method::GET, path, None, timeout).await {
        Ok(called) => {
            if single_text(&called.headers, seal::RUNNER) != runner.to_string() {
                return None;
            }
            let body = called.json();
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
