use super::{Holding, State};
use hyper::{Method, StatusCode};
use serde_json::json;
use std::net::SocketAddrV4;
use std::time::Duration;
use waymark::frames::Place;
use waymark::http::call_json;
use waymark::identity::{RunnerId, WorkerName};

/// Has the platform start a runner; where it listens, or none.
pub async fn start(
    state: &State,
    holding: &Holding,
    runner: RunnerId,
    worker: &WorkerName,
) -> Option<Place> {
    let body = {
        let table = state.table.load();
        let entry = table.function_of(&holding.function)?;
        json!({
            "runner": runner.to_string(),
            "function": holding.function.to_string(),
            "worker": worker.as_str(),
            "memory_mb": entry.spec.memory_mb,
            "boot_ms": entry.spec.boot.as_millis() as u64,
            "slots": entry.spec.slots,
        })
    };
    if !state.is_serving() {
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
