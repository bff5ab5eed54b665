//! One function a transaction, read from top to bottom, as a chain of filters.

mod answer;
mod filters;
mod resolve;

pub use resolve::resolve;

use crate::drivers::State;
use crate::lodge::Ask;
use answer::{Said, say};
use filters::{budget, identity, largest};
use hyper::Request;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use waymark::clock::Moment;
use waymark::frames::HopReason;
use waymark::http::{Served, read_body};
use waymark::seal;

const BODY_PATIENCE: Duration = Duration::from_secs(5);

/// Takes one caller's transaction from its first byte to its answer.
pub async fn transact(state: &Arc<State>, request: Request<Incoming>) -> Served {
    let (head, incoming_body) = request.into_parts();

    let transaction = match identity(&head.headers) {
        Ok(transaction) => transaction,
        Err(said) => return say(state, None, said),
    };

    let asked_budget = match budget(&head.headers) {
        Ok(asked_budget) => asked_budget,
        Err(said) => return say(state, Some(&transaction), said),
    };

    let table = state.lodge.table.load_full();
    let host = head.headers.get(hyper::header::HOST).and_then(|value| value.to_str().ok());
    let found = table.route(&head.method, host.unwrap_or(""), head.uri.path(), &transaction);
    let Some(found) = found else {
        let said = if state.lodge.is_serving(Moment::now()) {
            Said::NoRoute
        } else {
            Said::refused(HopReason::NotServing)
        };
        return say(state, Some(&transaction), said);
    };

    if let Err(said) = largest(&head.headers, state.boot.largest_body) {
        return say(state, Some(&transaction), said);
    }
    let body = match read_body(incoming_body, state.boot.largest_body, BODY_PATIENCE).await {
        Ok(body) => body,
        Err(fault) => return say(state, Some(&transaction), Said::from(fault)),
    };

    if state.lodge.is_leaving() || !state.lodge.is_serving(Moment::now()) {
        return say(state, Some(&transaction), Said::refused(HopReason::NotServing));
    }

    let ask = Ask {
        transaction: transaction.clone(),
        function: found.function.key.clone(),
        route: found.route.spec.name.clone(),
        serial: table.serial(),
        budget_end: Moment::now() + asked_budget.min(found.route.spec.budget),
        hops: 0,
        repeat: head.headers.contains_key(seal::REPEAT_OF),
        body,
    };
    let function = ask.function.clone();
    let (outcome, _) = resolve(state, ask).await;

    say(state, Some(&transaction), Said::Outcome(function, outcome))
}
