use crate::drivers::{AskEnd, State, Task};
use crate::holder::not_run;
use crate::owners::{Sight, Step, is_valid, next_step};
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;
use waymark::clock::Moment;
use waymark::frames::{AcquireResult, Blob, Flag, HopBody, HopOutcome, HopReason, Host};
use waymark::identity::{FunctionKey, Serial, TransactionId};

const HOP_COST: Duration = Duration::from_millis(10);
const SPEC_PATIENCE: Duration = Duration::from_millis(500);
const LOOK_AGAIN: Duration = Duration::from_millis(40);

/// A transaction that seeks its holder.
pub struct Ask {
    /// The try's identity.
    pub transaction: TransactionId,
    /// The function.
    pub function: FunctionKey,
    /// The route that matched it.
    pub route: String,
    /// The spec it was matched with.
    pub serial: Serial,
    /// When its budget ends.
    pub budget_end: Moment,
    /// How many hops it has made.
    pub hops: u8,
    /// Whether the caller marked it a repeat.
    pub repeat: bool,
    /// The caller's body.
    pub body: Bytes,
}

/// Brings a transaction to its holder: here, by the cache, by the hash owner, or by asking the leader.
/// A daemon without a member grant refuses at once, so that what lay in its sockets while it was
/// frozen goes no further.
pub async fn resolve(state: &Arc<State>, ask: Ask) -> (HopOutcome, Option<Host>) {
    if !state.is_serving() {
        return (not_run(HopReason::NotServing, 1000), None);
    }
    let spec_by = Moment::now() + SPEC_PATIENCE;
    let (once, patience) = loop {
        if let Some(found_terms) = terms(state, &ask) {
            break found_terms;
        }
        let is_behind = state.table.load().serial() < ask.serial;
        if !is_behind || Moment::now() >= spec_by {
            return (not_run(HopReason::NotAllowed, 500), None);
        }
        tokio::time::sleep(LOOK_AGAIN).await;
    };
    let give_up_at = ask.budget_end.min(Moment::now() + patience.max(LOOK_AGAIN));
    loop {
        if Moment::now() >= give_up_at {
            return (not_run(HopReason::NoOwner, 1000), None);
        }
        if terms(state, &ask).is_none() {
            return (not_run(HopReason::NotAllowed, 500), None);
        }
        let holding = state.holdings.load().get(&ask.function).cloned();
        let step = {
            let owners = state.owners.load();
            let hosts = state.hosts.load();
            next_step(&Sight {
                function: &ask.function,
                own_member: &state.boot.member,
                holds: holding.is_some(),
                cached_owner: owners.get(&ask.function),
                hosts: &hosts,
                hops: ask.hops,
            })
        };
        match step {
            Step::Serve => {
                state.gauges.lookups.with_label_values(&["held"]).inc();
                let Some(holding) = holding else { continue };
                if !state.is_serving() {
                    return (not_run(HopReason::NotServing, 1000), None);
                }
                let task = Task {
                    transaction: ask.transaction.clone(),
                    route: ask.route.clone(),
                    budget_end: ask.budget_end,
                    body: ask.body.clone(),
                };
                let outcome = holding.serve(state, task, once, ask.repeat, patience).await;
                let is_leaving =
                    matches!(outcome, HopOutcome::NotRun { reason: HopReason::NotHolder, .. });
                if !is_leaving || ask.hops > 0 {
                    return (outcome, (!is_leaving).then(|| state.own_host.clone()));
                }
            }
            Step::Forward(host) => {
                let is_cached = state.owners.load().contains_key(&ask.function);
                let found = if is_cached { "cached" } else { "hash_owner" };
                state.gauges.lookups.with_label_values(&[found]).inc();
                let body = forward_body(&ask);
                let wait_until = ask.budget_end + HOP_COST;
                match state.links.ask(host.place, body, wait_until).await {
                    AskEnd::Reply(HopBody::Done {
                        outcome: HopOutcome::NotRun { reason: HopReason::NotHolder, .. },
                        ..
                    }) => {
                        state.forget_owner(&ask.function);
                        if ask.hops > 0 {
                            return (not_run(HopReason::NotHolder, 50), None);
                        }
                    }
                    AskEnd::Reply(HopBody::Done { outcome, holder }) => {
                        let holder = holder.0.into_iter().next();
                        if let Some(holder) = &holder {
                            state.learn_owner(&ask.function, holder);
                        }
                        return (outcome, holder);
                    }
                    AskEnd::Unsent => state.forget_owner(&ask.function),
                    AskEnd::Reply(_) | AskEnd::Lost => {
                        state.forget_owner(&ask.function);
                        return (HopOutcome::Unknown { reason: HopReason::HolderSilent }, None);
                    }
                }
            }
            Step::Acquire => {
                state.gauges.lookups.with_label_values(&["acquired"]).inc();
                let wait_span = give_up_at.since(Moment::now());
                let asking = state.acquire(&ask.function);
                match tokio::time::timeout(wait_span, asking).await {
                    Ok(Some(AcquireResult::Granted { .. })) => {}
                    Ok(Some(AcquireResult::Owner { host })) => {
                        if ask.hops >= crate::owners::MOST_HOPS {
                            return (not_run(HopReason::NotHolder, 50), Some(host));
                        }
                        if host.member != state.boot.member {
                            state.learn_owner(&ask.function, &host);
                            if is_valid(&host, &state.hosts.load()) {
                                continue;
                            }
                        }
                    }
                    Ok(Some(AcquireResult::Shed)) | Ok(None) => {}
                    Err(_) => return (not_run(HopReason::NoOwner, 1000), None),
                }
                if state.holdings.load().contains_key(&ask.function) {
                    continue;
                }
            }
            Step::NotHolder => return (not_run(HopReason::NotHolder, 50), None),
            Step::Nobody => {}
        }
        tokio::time::sleep(LOOK_AGAIN).await;
    }
}

fn terms(state: &State, ask: &Ask) -> Option<(bool, Duration)> {
    let table = state.table.load();
    let route = table.route_named(&ask.route)?;
    if table.function(route.function).key != ask.function {
        return None;
    }
    Some((route.spec.once, route.spec.patience))
}

fn forward_body(ask: &Ask) -> HopBody {
    let budget_left = ask.budget_end.since(Moment::now()).saturating_sub(HOP_COST);
    HopBody::Ask {
        transaction: ask.transaction.clone(),
        function: ask.function.clone(),
        route: TransactionId::from(ask.route.as_str()),
        serial: ask.serial,
        budget_ms: budget_left.as_millis() as u32,
        hops: ask.hops + 1,
        repeat: Flag(ask.repeat),
        body: Blob(ask.body.clone()),
    }
}
