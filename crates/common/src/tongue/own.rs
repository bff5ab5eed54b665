//! The platform's calls in the product's own dialect.

use super::{
    BeginEnd, BeginOrder, Calling, ListedRunner, ListedWorker, PlatformTongue, RunnerList,
    StopOrder,
};
use crate::frames::{Life, Place};
use crate::http::call_json;
use crate::identity::{FunctionKey, LifeName, RunnerId};
use crate::readers::{FaultList, PathReader, read_place};
use hyper::{Method, StatusCode};
use serde_json::json;
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(2);

/// The platform as the product itself speaks with it, under `/v1`.
pub struct OwnPlatform {
    place: Place,
}

impl OwnPlatform {
    /// A platform that listens there.
    pub fn new(place: Place) -> Self {
        Self { place }
    }

    async fn begin_own(&self, order: BeginOrder) -> BeginEnd {
        let body = json!({
            "runner": order.runner.to_string(),
            "function": order.function.to_string(),
            "worker": order.worker.as_str(),
            "memory_mb": order.memory_mb,
            "boot_ms": order.boot.as_millis() as u64,
            "slots": order.slots,
        });
        let calling = call_json(self.place, Method::POST, "/v1/runners", Some(&body), PATIENCE);
        let Ok(called) = calling.await else { return BeginEnd::Lost };
        match called.status {
            StatusCode::CREATED => {
                let answer = called.json();
                let faults = FaultList::default();
                let listens_at = read_place(&PathReader::new(&answer, &faults).field("place"));
                let name =
                    PathReader::new(&answer, &faults).field("life").text().map(LifeName::from);
                let life = name.zip(listens_at).map(|(name, place)| Life { name, place });
                life.map_or(BeginEnd::Lost, BeginEnd::Begun)
            }
            StatusCode::CONFLICT | StatusCode::INSUFFICIENT_STORAGE => BeginEnd::NoRoom,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => BeginEnd::Busy,
            status if status.is_client_error() => BeginEnd::Refused,
            _ => BeginEnd::Lost,
        }
    }

    async fn stop_own(&self, order: StopOrder) -> bool {
        let key = order.runner.to_string();
        let name = order.life.as_ref().map_or(key.as_str(), LifeName::as_str);
        let path = format!("/v1/runners/{name}");
        let called = call_json(self.place, Method::DELETE, &path, None, PATIENCE).await;
        called.is_ok_and(|called| called.status == StatusCode::OK)
    }

    async fn read_workers(&self) -> Option<Vec<ListedWorker>> {
        let calling = call_json(self.place, Method::GET, "/v1/workers", None, PATIENCE);
        let called = calling.await.ok()?;
        let body = called.json();
        let faults = FaultList::default();
        let workers = PathReader::new(&body, &faults)
            .field("workers")
            .items()
            .iter()
            .filter_map(|item| {
                Some(ListedWorker {
                    worker: item.field("worker").text()?.into(),
                    zone: item.field("locality").text()?.into(),
                    memory_mb: item.field("memory_mb").number(0..=u64::from(u32::MAX))? as u32,
                    draining: item.field("draining").flag_or(false),
                })
            })
            .collect();
        let is_whole = called.status == StatusCode::OK && faults.into_inner().is_empty();
        is_whole.then_some(workers)
    }

    async fn read_runners(&self) -> Option<RunnerList> {
        let calling = call_json(self.place, Method::GET, "/v1/runners", None, PATIENCE);
        let called = calling.await.ok()?;
        let body = called.json();
        let faults = FaultList::default();
        let root = PathReader::new(&body, &faults);
        let age_ms = root.field("age_ms").number(0..=3_600_000);
        let runners =
            root.field("runners").items().iter().filter_map(|item| read_runner(item)).collect();
        let is_whole = called.status == StatusCode::OK && faults.into_inner().is_empty();
        let age = Duration::from_millis(age_ms?);
        is_whole.then_some(RunnerList { age, runners })
    }
}

fn read_runner(item: &PathReader<'_>) -> Option<ListedRunner> {
    let runner: Option<RunnerId> = item.field("runner").text()?.parse().ok();
    let key: FunctionKey = item.field("function").text()?.parse().ok()?;
    let place = read_place(&item.field("place"))?;
    let name = LifeName::from(item.field("life").text()?);
    Some(ListedRunner {
        life: Life { name, place },
        runner,
        function: key.name.clone(),
        key: Some(key),
        worker: item.field("worker").text()?.into(),
        leaving: item.field("leaving").flag_or(false),
    })
}

impl PlatformTongue for OwnPlatform {
    fn begin(&self, order: BeginOrder) -> Calling<'_, BeginEnd> {
        Box::pin(self.begin_own(order))
    }

    fn stop(&self, order: StopOrder) -> Calling<'_, bool> {
        Box::pin(self.stop_own(order))
    }

    fn workers(&self) -> Calling<'_, Option<Vec<ListedWorker>>> {
        Box::pin(self.read_workers())
    }

    fn runners(&self) -> Calling<'_, Option<RunnerList>> {
        Box::pin(self.read_runners())
    }
}
