//! Carries out the steps of a transaction's forwarding.

use crate::agent::{Ask, Forwarding, ForwardingStep, PassEnd};
use crate::drivers::{AskEnd, State, holding};
use crate::owners::is_valid;
use common::clock::Moment;
use common::frames::{HopBody, HopOutcome, Host};
use common::identity::FunctionKey;
use std::sync::Arc;
use tokio::time::timeout;

/// How a transaction ended.
pub struct Resolved {
    /// The function that it went to in the end.
    pub function: FunctionKey,
    /// How it ended.
    pub outcome: HopOutcome,
    /// The holder, if it is known.
    pub holder: Option<Host>,
    /// In how many tenths of a second the callers of the asking region are served under a key of their own.
    pub regional_tenths: u8,
}

fn pass_end(ask_end: AskEnd, host: &Host) -> PassEnd {
    match ask_end {
        AskEnd::Reply(HopBody::Done {
            outcome: outcome @ HopOutcome::Answer { .. },
            holder,
            ..
        }) => {
            let holder = holder.0.into_iter().next().unwrap_or_else(|| host.clone());
            PassEnd::Done(outcome, Some(holder))
        }
        AskEnd::Reply(HopBody::Done { outcome, holder, .. }) => {
            PassEnd::Done(outcome, holder.0.into_iter().next())
        }
        AskEnd::Unsent => PassEnd::Unsent,
        AskEnd::Reply(_) | AskEnd::Lost => PassEnd::Lost,
    }
}

/// Waits until a daemon no longer counts as alive: it has fallen silent, is no longer listed, or lives
/// anew.
async fn gone(state: &State, host: &Host) {
    let mut changes = state.changes();
    while is_valid(host, &state.agent.hosts.load()) {
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// What an answer of another daemon says of the asking region's own key.
fn regional_word(ask_end: &AskEnd) -> Option<u8> {
    match ask_end {
        AskEnd::Reply(HopBody::Done {
            outcome: HopOutcome::Answer { .. },
            regional_tenths,
            ..
        }) => Some(*regional_tenths),
        _ => None,
    }
}

/// Hears what an answer says of this region's own key, if this is the caller's daemon.
fn hear_regional(state: &State, ask: &Ask, regional_tenths: u8) {
    let is_callers = ask.hops == 0;
    if is_callers && state.agent.hear_regional(Moment::now(), &ask.function, regional_tenths) {
        state.wishes_changed();
    }
}

/// Brings a transaction to its holder, and comes back with its outcome.
pub async fn resolve(state: &Arc<State>, ask: Ask) -> Resolved {
    let agent = &state.agent;
    let _in_hand = agent.take_in_hand();
    let mut changes = state.changes();
    let mut forwarding = Forwarding::new(Moment::now(), ask);
    let mut step = forwarding.look(agent, Moment::now());
    let mut regional_tenths = 0;
    loop {
        step = match step {
            ForwardingStep::Serve(held, task) => {
                state.gauges.lookups.with_label_values(&["held"]).inc();
                let outcome = holding::serve(state, &held, task).await;
                let ask = forwarding.ask();
                regional_tenths = agent.regional_word(Moment::now(), &held.function, &ask.region);
                hear_regional(state, ask, regional_tenths);
                forwarding.served(agent, Moment::now(), outcome)
            }
            ForwardingStep::Pass { host, body, wait_until } => {
                state.gauges.lookups.with_label_values(&["passed"]).inc();
                let end = tokio::select! {
                    ask_end = state.links.ask(host.place, body, wait_until) => {
                        if let Some(word) = regional_word(&ask_end) {
                            regional_tenths = word;
                            hear_regional(state, forwarding.ask(), word);
                        }
                        pass_end(ask_end, &host)
                    }
                    () = gone(state, &host) => PassEnd::Lost,
                };
                forwarding.passed(agent, Moment::now(), end)
            }
            ForwardingStep::Acquire { wait_until } => {
                state.gauges.lookups.with_label_values(&["acquired"]).inc();
                let wait_span = wait_until.since(Moment::now());
                let asking = state.acquire(&forwarding.ask().function);
                match timeout(wait_span, asking).await {
                    Ok(result) => forwarding.acquired(agent, Moment::now(), result),
                    Err(_) => forwarding.look(agent, Moment::now()),
                }
            }
            ForwardingStep::Wait { wait_until } => {
                let wait_span = wait_until.since(Moment::now());
                let _ = timeout(wait_span, changes.changed()).await;
                forwarding.look(agent, Moment::now())
            }
            ForwardingStep::End(outcome, holder) => {
                let function = forwarding.ask().function.clone();
                return Resolved { function, outcome, holder, regional_tenths };
            }
        }
    }
}
