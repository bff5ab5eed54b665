//! Executes the steps that a request's [`Forwarding`] decides on.

use super::shutdown_signals::ShutdownSignals;
use crate::agent::{
    ForwardResult, Forwarding, ForwardingStep, FunctionRequest, HolderRequest, ShutdownPhase,
};
use crate::drivers::holder_driver::HeldRequest;
use crate::drivers::{HopCallResult, LocalHeldFunction, OutcomeWaiter, State};
use crate::owners::is_current_owner;
use common::clock::MonotonicTime;
use common::frames::{DaemonMessage, Host, RequestOutcome};
use common::identity::FunctionKey;
use std::sync::Arc;
use tokio::sync::watch;
use tokio::time::timeout;

/// How a request ended, and where.
pub struct ForwardedOutcome {
    /// The function key under which the request was last handled; may be a regional key.
    pub function: FunctionKey,
    /// The outcome of the request.
    pub outcome: RequestOutcome,
    /// The holder of the function, if known.
    pub holder: Option<Host>,
    /// The delay in tenths of a second after which callers in the request's region should use a regional key; zero if
    /// they should not use one.
    pub regional_delay_deciseconds: u8,
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

/// Waits until a daemon no longer counts as live: it is suspected, no longer listed, or has a new incarnation.
async fn wait_until_host_gone(state: &State, host: &Host) {
    let mut changes = state.changes();
    while is_current_owner(host, &state.agent.live_hosts()) {
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Returns the regional key hint in another daemon's reply, if the reply carries a response.
fn regional_hint(hop_result: &HopCallResult) -> Option<u8> {
    match hop_result {
        HopCallResult::Reply(DaemonMessage::Completed {
            outcome: RequestOutcome::Response { .. },
            regional_delay_deciseconds,
            ..
        }) => Some(*regional_delay_deciseconds),
        _ => None,
    }
}

/// The forwarding of one request, with what its execution needs.
struct ForwardingRun<'a> {
    state: &'a Arc<State>,
    forwarding: Forwarding,
    shutdown_signals: ShutdownSignals,
    regional_delay_deciseconds: u8,
}

type LocalForwardingStep = ForwardingStep<OutcomeWaiter>;

impl ForwardingRun<'_> {
    fn advance(&mut self) -> LocalForwardingStep {
        self.forwarding
            .advance(&self.state.agent, MonotonicTime::now())
    }

    fn count_lookup(&self, result: &str) {
        self.state
            .metrics
            .owners
            .lookups
            .with_label_values(&[result])
            .inc();
    }

    /// Stores the regional key hint of a response. It is passed back to the daemon that forwarded the request, or
    /// applied here if this is the caller's ingress daemon.
    fn handle_regional_hint(&mut self, regional_delay_deciseconds: u8) {
        self.regional_delay_deciseconds = regional_delay_deciseconds;
        let request = self.forwarding.request();
        let is_ingress_daemon = request.hops == 0;
        if is_ingress_daemon
            && self.state.agent.handle_regional_hint(
                MonotonicTime::now(),
                &request.function,
                regional_delay_deciseconds,
            )
        {
            self.state.notify_desired_functions_changed();
        }
    }

    async fn serve(
        &mut self,
        held: LocalHeldFunction,
        holder_request: HolderRequest,
    ) -> LocalForwardingStep {
        self.count_lookup("held");
        let mut held_request = HeldRequest::admit(self.state, &held, holder_request);
        let outcome = loop {
            tokio::select! {
                biased;
                outcome = held_request.outcome() => break outcome,
                phase = self.shutdown_signals.next_phase() => match phase {
                    ShutdownPhase::Finishing => {}
                    ShutdownPhase::Withdrawing => {
                        if self.forwarding.withdraw(&self.state.agent) {
                            held_request.withdraw();
                        }
                    }
                    ShutdownPhase::Ending => return self.forwarding.end_unfinished(),
                },
            }
        };
        let agent = &self.state.agent;
        let region = &self.forwarding.request().region;
        let hint = agent.regional_hint(MonotonicTime::now(), &held.function, region);
        self.handle_regional_hint(hint);
        self.forwarding
            .handle_local_outcome(agent, MonotonicTime::now(), outcome)
    }

    async fn forward(
        &mut self,
        host: Host,
        body: DaemonMessage,
        wait_until: MonotonicTime,
    ) -> LocalForwardingStep {
        self.count_lookup("passed");
        let mut hop_call = self
            .state
            .hop_client
            .request(host.address, body, wait_until);
        let result = loop {
            tokio::select! {
                biased;
                hop_result = hop_call.reply() => {
                    if let Some(hint) = regional_hint(&hop_result) {
                        self.handle_regional_hint(hint);
                    }
                    break forward_result(hop_result, &host);
                }
                () = wait_until_host_gone(self.state, &host) => break ForwardResult::Lost,
                phase = self.shutdown_signals.next_phase() => match phase {
                    ShutdownPhase::Finishing => {}
                    ShutdownPhase::Withdrawing => {
                        if self.forwarding.withdraw(&self.state.agent) {
                            hop_call.withdraw();
                        }
                    }
                    ShutdownPhase::Ending => return self.forwarding.end_unfinished(),
                },
            }
        };
        self.forwarding
            .handle_forward_result(&self.state.agent, MonotonicTime::now(), result)
    }

    async fn request_lease(&mut self, wait_until: MonotonicTime) -> LocalForwardingStep {
        self.count_lookup("acquired");
        let wait = wait_until.since(MonotonicTime::now());
        let function = self.forwarding.request().function.clone();
        let acquiring = timeout(wait, self.state.request_lease(&function));
        tokio::select! {
            biased;
            acquired = acquiring => match acquired {
                Ok(result) => {
                    let now = MonotonicTime::now();
                    self.forwarding.handle_acquire_result(&self.state.agent, now, result)
                }
                Err(_) => self.advance(),
            },
            _ = self.shutdown_signals.next_phase() => self.withdraw(),
        }
    }

    /// Waits until this daemon's state changes or the wait times out.
    async fn wait(
        &mut self,
        changes: &mut watch::Receiver<u64>,
        wait_until: MonotonicTime,
    ) -> LocalForwardingStep {
        let wait = wait_until.since(MonotonicTime::now());
        tokio::select! {
            biased;
            // A change and the time-out both lead to the next step.
            _ = timeout(wait, changes.changed()) => self.advance(),
            _ = self.shutdown_signals.next_phase() => self.withdraw(),
        }
    }

    /// Withdraws a request that no holder has at present.
    fn withdraw(&mut self) -> LocalForwardingStep {
        self.forwarding.withdraw(&self.state.agent);
        self.advance()
    }
}

/// Serves a caller's request here or forwards it to the holder of its function, and returns its outcome.
pub async fn forward_to_holder(state: &Arc<State>, request: FunctionRequest) -> ForwardedOutcome {
    forward(state, request, None).await
}

/// Does the same as [`forward_to_holder`] for a request that another daemon has forwarded. `requester_phase` is the
/// shutdown phase of that daemon.
pub async fn forward_for_daemon(
    state: &Arc<State>,
    request: FunctionRequest,
    requester_phase: watch::Receiver<ShutdownPhase>,
) -> ForwardedOutcome {
    forward(state, request, Some(requester_phase)).await
}

async fn forward(
    state: &Arc<State>,
    request: FunctionRequest,
    requester_phase: Option<watch::Receiver<ShutdownPhase>>,
) -> ForwardedOutcome {
    let _in_flight = state.agent.track_in_flight();
    let mut changes = state.changes();
    let mut run = ForwardingRun {
        state,
        forwarding: Forwarding::new(MonotonicTime::now(), request),
        shutdown_signals: ShutdownSignals::new(state.shutdown_phase(), requester_phase),
        regional_delay_deciseconds: 0,
    };
    let mut step = run.advance();
    loop {
        step = match step {
            ForwardingStep::Serve(held, holder_request) => run.serve(held, holder_request).await,
            ForwardingStep::Forward {
                host,
                body,
                wait_until,
            } => run.forward(host, body, wait_until).await,
            ForwardingStep::Acquire { wait_until } => run.request_lease(wait_until).await,
            ForwardingStep::Wait { wait_until } => run.wait(&mut changes, wait_until).await,
            ForwardingStep::End(outcome, holder) => {
                return ForwardedOutcome {
                    function: run.forwarding.request().function.clone(),
                    outcome,
                    holder,
                    regional_delay_deciseconds: run.regional_delay_deciseconds,
                };
            }
        }
    }
}
