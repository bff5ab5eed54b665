//! One function a transaction, read from top to bottom, as a chain of filters.

mod answer;
mod arrival;
mod filters;
mod resolve;

pub use resolve::{Resolved, resolve};

use crate::agent::Ask;
use crate::drivers::State;
use answer::{ended, refused, refused_for_good, unread};
use arrival::Arrival;
use common::clock::Moment;
use common::frames::{HopReason, Many, Parcel};
use common::http::{Served, read_body};
use common::identity::{Region, Wording};
use common::tongue::{DoorTongue, NotRunKind, Said};
use filters::{budget, identity, largest};
use hyper::Request;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use std::sync::Arc;
use std::time::Duration;

const BODY_PATIENCE: Duration = Duration::from_secs(5);

/// Takes one caller's transaction from its first byte to its answer.
pub async fn transact(state: &Arc<State>, request: Request<Incoming>) -> Served {
    let mut arrival = Arrival::new(state);
    let said = answer_to(state, request, &mut arrival).await;
    arrival.answered(said)
}

async fn answer_to(
    state: &Arc<State>,
    request: Request<Incoming>,
    arrival: &mut Arrival<'_>,
) -> Said {
    let (head, incoming_body) = request.into_parts();
    let door = state.tongues.door.as_ref();

    let transaction = match identity(door, &head.headers) {
        Ok(transaction) => transaction,
        Err(unfit) => return unfit.into(),
    };
    arrival.transaction = Some(transaction.clone());

    let asked_budget = match budget(door, &head.headers) {
        Ok(asked_budget) => asked_budget,
        Err(unfit) => return unfit.into(),
    };

    let table = state.agent.table.load_full();
    let host = head.headers.get(hyper::header::HOST).and_then(|value| value.to_str().ok());
    let found = table.route(&head.method, host.unwrap_or(""), head.uri.path(), &transaction);
    let Some(found) = found else {
        return if state.agent.is_serving(Moment::now()) {
            refused_for_good(NotRunKind::NoRoute, "no_route")
        } else {
            refused(HopReason::NotServing, state.agent.serves_again_after())
        };
    };
    arrival.route = Some(found.route.spec.name.clone());
    arrival.deadline = Some(arrival.began_at + asked_budget.min(found.route.spec.budget));

    let largest_body = state.largest_call(table.limits());
    if let Err(unfit) = largest(&head.headers, largest_body) {
        return unfit.into();
    }
    let body = match read_body(incoming_body, largest_body, BODY_PATIENCE).await {
        Ok(body) => body,
        Err(fault) => return unread(&fault),
    };

    if state.agent.is_leaving() || !state.agent.is_serving(Moment::now()) {
        return refused(HopReason::NotServing, state.agent.serves_again_after());
    }

    let ask = Ask {
        transaction,
        function: found.function.key.clone(),
        route: found.route.spec.name.clone(),
        serial: table.serial(),
        budget_end: arrival.began_at + asked_budget.min(found.route.spec.budget),
        hops: 0,
        repeat: door.is_repeat(&head.headers),
        refer: true,
        region: state.agent.own_region().cloned().unwrap_or_else(|| Region::from("")),
        parcel: Arc::new(parcel(door, &head, body)),
    };
    let resolved = resolve(state, ask).await;
    arrival.holder = resolved.holder.map(|host| host.member);

    ended(resolved.function, resolved.outcome)
}

fn parcel(door: &dyn DoorTongue, head: &Parts, body: bytes::Bytes) -> Parcel {
    let target = head.uri.path_and_query().map_or("/", |target| target.as_str());
    Parcel {
        method: Wording::from(head.method.as_str()),
        target: Wording::from(target),
        lines: Many(door.passed_lines(&head.headers)),
        body: body.into(),
    }
}
