//! Test support: a daemon with an established control session, and the messages that it gets from the leader and from
//! callers.

use common::clock::MonotonicTime;
use common::frames::{LeaderToDaemon, RequestPayload, SocketAddress};
use common::identity::{FunctionKey, Term, Version};
use common::rng::SeededRng;
use common::spec::{Document, read_spec};
use dataplane::agent::{Agent, AttemptLimits, DaemonControl, FunctionRequest};
use dataplane::control_session::ControlSessionTiming;
use serde_json::Value;
use std::sync::Arc;
use std::time::Duration;

/// When the control session starts.
pub const START: MonotonicTime = MonotonicTime(10_000_000_000);

/// Returns a control session that the leader welcomed at [`START`].
pub fn welcomed_control(agent: &Agent<u64>) -> DaemonControl<u64> {
    let timing = ControlSessionTiming::builder().build();
    let seeds = vec![SocketAddress::UNSPECIFIED; 3];
    let rng = SeededRng::seeded(3);
    let own_address = SocketAddress::UNSPECIFIED;
    let mut control = DaemonControl::new(START, agent, timing, own_address, seeds, rng);
    control.tick(agent, START);
    control.handle_connected(agent, START);
    control.handle_frame(agent, START, LeaderToDaemon::Welcome { term: Term(2) });
    control
}

/// Returns the frame by which the leader puts a spec in force under this version.
pub fn spec_frame_of(spec: Value, version: u64) -> LeaderToDaemon {
    let checked_spec = read_spec(&spec).expect("a spec");
    let mut document = Document::initial(Vec::new());
    document.document_version.version = Version(1);
    let mut document = document.with_spec(spec, &checked_spec, "change".into());
    document.document_version.version = Version(version);
    let view = document.view();
    LeaderToDaemon::Spec {
        version: view.version,
        document: view.to_bytes().into(),
    }
}

/// Returns a caller's POST request to this path.
pub fn payload_to(path: &str) -> Arc<RequestPayload> {
    Arc::new(RequestPayload {
        target: path.into(),
        ..RequestPayload::from_body(Vec::new().into())
    })
}

/// Returns a caller's request to `/r`, on the route `r`, with a deadline two seconds from now.
pub fn function_request(
    agent: &Agent<u64>,
    now: MonotonicTime,
    function: FunctionKey,
) -> FunctionRequest {
    request_on(agent, now, function, "r", payload_to("/r"))
}

/// Returns a caller's request that a daemon has just matched, on the route with this name, with a deadline two seconds
/// from now.
pub fn request_on(
    agent: &Agent<u64>,
    now: MonotonicTime,
    function: FunctionKey,
    route_name: &str,
    payload: Arc<RequestPayload>,
) -> FunctionRequest {
    let table = agent.routing_table();
    let route = table.route_of(&payload).expect("a route");
    FunctionRequest {
        idempotency_key: "t".into(),
        function,
        route: route_name.to_owned(),
        version: table.version(),
        limits: AttemptLimits::of_route(&route.spec),
        deadline: now + Duration::from_secs(2),
        hops: 0,
        is_retry: false,
        wants_referral: true,
        region: "".into(),
        payload,
    }
}
