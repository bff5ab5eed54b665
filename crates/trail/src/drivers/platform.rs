use super::{HeldHere, State};
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use std::net::SocketAddrV4;
use std::time::Duration;
use waymark::clock::Moment;
use waymark::frames::{Life, Place};
use waymark::http::call_json;
use waymark::identity::{LifeName, RunnerId, WorkerName};
use waymark::spec::FunctionSpec;
use waymark::tongue::BeginEnd;

/// Has the platform start a runner.
pub async fn start(
    state: &State,
    held: &HeldHere,
    runner: RunnerId,
    worker: &WorkerName,
    spec: &FunctionSpec,
) -> BeginEnd {
    let body = json!({
        "runner": runner.to_string(),
        "function": held.function.to_string(),
        "worker": worker.as_str(),
        "memory_mb": spec.memory_mb,
        "boot_ms": spec.boot.as_millis() as u64,
        "slots": spec.slots,
    });
    if !state.lodge.is_serving(Moment::now()) {
        return BeginEnd::Lost;
    }
    let patience = Duration::from_secs(2);
    let calling =
        call_json(state.boot.platform, Method::POST, "/v1/runners", Some(&body), patience);
    let Ok(called) = calling.await else { return BeginEnd::Lost };
    match called.status {
        StatusCode::CREATED => read_life(&called.json()).map_or(BeginEnd::Lost, BeginEnd::Begun),
        StatusCode::CONFLICT | StatusCode::INSUFFICIENT_STORAGE => BeginEnd::NoRoom,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => BeginEnd::Busy,
        status if status.is_client_error() => BeginEnd::Refused,
        _ => BeginEnd::Lost,
    }
}

fn read_life(answer: &Value) -> Option<Life> {
    let address: SocketAddrV4 = answer.get("place")?.as_str()?.parse().ok()?;
    let name = answer.get("life")?.as_str()?.into();
    Some(Life { name, place: Place(address) })
}

/// Has the platform stop a runner; true only when it says that the runner is stopped for good.
pub async fn stop(state: &State, runner: RunnerId, life: Option<&LifeName>) -> bool {
    let path = match life {
        Some(life) => format!("/v1/runners/{life}"),
        None => format!("/v1/runners/{runner}"),
    };
    let patience = Duration::from_secs(2);
    let called = call_json(state.boot.platform, Method::DELETE, &path, None, patience).await;
    called.is_ok_and(|called| called.status == StatusCode::OK)
}
