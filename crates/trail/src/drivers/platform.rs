use super::{HeldHere, State};
use hyper::{Method, StatusCode};
use serde_json::json;
use std::net::SocketAddrV4;
use std::time::Duration;
use waymark::clock::Moment;
use waymark::frames::Place;
use waymark::http::call_json;
use waymark::identity::{RunnerId, WorkerName};
use waymark::spec::FunctionSpec;

/// Has the platform start a runner; where it listens, or none.
pub async fn start(
    state: &State,
    held: &HeldHere,
    runner: RunnerId,
    worker: &WorkerName,
    spec: &FunctionSpec,
) -> Option<Place> {
    let body = json!({
        "runner": runner.to_string(),
        "function": held.function.to_string(),
        "worker": worker.as_str(),
        "memory_mb": spec.memory_mb,
        "boot_ms": spec.boot.as_millis() as u64,
        "slots": spec.slots,
    });
    if !state.lodge.is_serving(Moment::now()) {
        return None;
    }
    let patience = Duration::from_secs(2);
    let called = call_json(state.boot.platform, Method::POST, "/v1/runners", Some(&body), patience)
        .await
        .ok()?;
    if called.status != StatusCode::CREATED {
        return None;
    }
    let answer = called.json();
    let address: SocketAddrV4 = answer.get("place")?.as_str()?.parse().ok()?;
    Some(Place(address))
}

/// Has the platform stop a runner; true only when it says that the runner is stopped for good.
pub async fn stop(state: &State, runner: RunnerId) -> bool {
    let path = format!("/v1/runners/{runner}");
    let patience = Duration::from_secs(2);
    let called = call_json(state.boot.platform, Method::DELETE, &path, None, patience).await;
    called.is_ok_and(|called| called.status == StatusCode::OK)
}
