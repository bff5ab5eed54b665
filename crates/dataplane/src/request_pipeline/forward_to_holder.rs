//! Carries out the steps of a transaction's forwarding.

use crate::agent::{ForwardResult, Forwarding, ForwardingStep, FunctionRequest};
use crate::drivers::{HopCallResult, State, holder_driver};
use crate::owners::is_current_owner;
use common::clock::MonotonicTime;
use common::frames::{DaemonMessage, Host, RequestOutcome};
use common::identity::FunctionKey;
use std::sync::Arc;
use tokio::time::timeout;

/// How a transaction ended.
pub struct ForwardedOutcome {
    /// The function that it went to in the end.
    pub function: FunctionKey,
    /// How it ended.
    pub outcome: RequestOutcome,
    /// The holder, if it is known.
    pub holder: Option<Host>,
    /// In how many tenths of a second the callers of the asking region are served under a key of their own.
    pub regional_tenths: u8,
}

fn forward_result(hop_result: HopCallResult, host: &Host) -> ForwardResult {
    match hop_result {
        HopCallResult::Reply(DaemonMessage::Completed {
            outcome: outcome @ RequestOutcome::Response { .. },
            holder,
            ..
        }) => {
            let holder = holder.0.into_iter().next().unwrap_or_else(|| host.clone());
            ForwardResult::Completed(outcome, Some(holder))
        }
        HopCallResult::Reply(DaemonMessage::Completed {
            outcome, holder, ..
        }) => ForwardResult::Completed(outcome, holder.0.into_iter().next()),
        HopCallResult::Unsent => ForwardResult::Unsent,
        HopCallResult::Reply(_) | HopCallResult::Lost => ForwardResult::Lost,
    }
}

/// Waits until a daemon no longer counts as alive: it has fallen silent, is no longer listed, or lives
/// anew.
async fn host_gone(state: &State, host: &Host) {
    let mut changes = state.changes();
    while is_current_owner(host, &state.agent.hosts.load()) {
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// What an answer of another daemon says of the asking region's own key.
fn regional_hint(hop_result: &HopCallResult) -> Option<u8> {
    match hop_result {
        HopCallResult::Reply(DaemonMessage::Completed {
            outcome: RequestOutcome::Response { .. },
            regional_tenths,
            ..
        }) => Some(*regional_tenths),
        _ => None,
    }
}

/// Hears what an answer says of this region's own key, if this is the caller's daemon.
fn handle_regional_hint(state: &State, request: &FunctionRequest, regional_tenths: u8) {
    let is_ingress_daemon = request.hops == 0;
    if is_ingress_daemon
        && state.agent.handle_regional_hint(
            MonotonicTime::now(),
            &request.function,
            regional_tenths,
        )
    {
        state.desired_functions_changed();
    }
}

/// Brings a transaction to its holder, and comes back with its outcome.
pub async fn forward_to_holder(state: &Arc<State>, request: FunctionRequest) -> ForwardedOutcome {
    let agent = &state.agent;
    let _in_flight = agent.track_in_flight();
    let mut changes = state.changes();
    let mut forwarding = Forwarding::new(MonotonicTime::now(), request);
    let mut step = forwarding.advance(agent, MonotonicTime::now());
    let mut regional_tenths = 0;
    loop {
        step = match step {
            ForwardingStep::Serve(held, holder_request) => {
                state.gauges.lookups.with_label_values(&["held"]).inc();
                let outcome = holder_driver::serve(state, &held, holder_request).await;
                let request = forwarding.request();
                regional_tenths =
                    agent.regional_hint(MonotonicTime::now(), &held.function, &request.region);
                handle_regional_hint(state, request, regional_tenths);
                forwarding.served(agent, MonotonicTime::now(), outcome)
            }
            ForwardingStep::Forward {
                host,
                body,
                wait_until,
            } => {
                state.gauges.lookups.with_label_values(&["passed"]).inc();
                let end = tokio::select! {
                    hop_result = state.hop_client.request(host.address, body, wait_until) => {
                        if let Some(hint) = regional_hint(&hop_result) {
                            regional_tenths = hint;
                            handle_regional_hint(state, forwarding.request(), hint);
                        }
                        forward_result(hop_result, &host)
                    }
                    () = host_gone(state, &host) => ForwardResult::Lost,
                };
                forwarding.forwarded(agent, MonotonicTime::now(), end)
            }
            ForwardingStep::Acquire { wait_until } => {
                state.gauges.lookups.with_label_values(&["acquired"]).inc();
                let wait = wait_until.since(MonotonicTime::now());
                let acquiring = state.acquire(&forwarding.request().function);
                match timeout(wait, acquiring).await {
                    Ok(result) => forwarding.acquired(agent, MonotonicTime::now(), result),
                    Err(_) => forwarding.advance(agent, MonotonicTime::now()),
                }
            }
            ForwardingStep::Wait { wait_until } => {
                let wait = wait_until.since(MonotonicTime::now());
                let _ = timeout(wait, changes.changed()).await;
                forwarding.advance(agent, MonotonicTime::now())
            }
            ForwardingStep::End(outcome, holder) => {
                let function = forwarding.request().function.clone();
                return ForwardedOutcome {
                    function,
                    outcome,
                    holder,
                    regional_tenths,
                };
            }
        }
    }
}
