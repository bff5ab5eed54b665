//! The client of a platform whose API uses the product's own dialect.

use super::{
    ListedRunner, ListedWorker, PlatformAdapter, PlatformCall, RunnerList, StartOrder,
    StartOutcome, StopOrder,
};
use crate::frames::{Instance, SocketAddress};
use crate::http::call_json;
use crate::identity::{FunctionKey, InstanceId, RunnerId, WorkerName};
use crate::readers::{PathErrorList, PathReader, read_address};
use hyper::{Method, StatusCode};
use serde::Serialize;
use serde_json::json;
use std::time::Duration;

/// The time limit of one call, from connecting to the end of the response.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The body of a request to start a runner.
#[derive(Serialize)]
struct StartRequest<'a> {
    runner: String,
    function: String,
    worker: &'a WorkerName,
    memory_mb: u32,
    #[serde(rename = "boot_ms")]
    startup_millis: u64,
    slots: u32,
}

impl<'a> From<&'a StartOrder> for StartRequest<'a> {
    fn from(order: &'a StartOrder) -> Self {
        Self {
            runner: order.runner.to_string(),
            function: order.function.to_string(),
            worker: &order.worker,
            memory_mb: order.memory_mb,
            startup_millis: order.startup.as_millis() as u64,
            slots: order.slots,
        }
    }
}

/// A client of a platform with the product's own API: JSON over HTTP, under `/v1`.
pub struct NativePlatform {
    address: SocketAddress,
}

impl NativePlatform {
    /// Creates a client of the platform at `address`.
    pub fn new(address: SocketAddress) -> Self {
        Self { address }
    }

    async fn start_native(&self, order: StartOrder) -> StartOutcome {
        let body = json!(StartRequest::from(&order));
        let call = call_json(
            self.address,
            Method::POST,
            "/v1/runners",
            Some(&body),
            CALL_TIMEOUT,
        );
        let Ok(response) = call.await else {
            return StartOutcome::Lost;
        };
        match response.status {
            StatusCode::CREATED => {
                let started = response.json();
                let errors = PathErrorList::default();
                read_instance(&PathReader::new(&started, &errors))
                    .map_or(StartOutcome::Lost, StartOutcome::Started)
            }
            StatusCode::CONFLICT | StatusCode::INSUFFICIENT_STORAGE => StartOutcome::NoCapacity,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => StartOutcome::Busy,
            status if status.is_client_error() => StartOutcome::Rejected,
            _ => StartOutcome::Lost,
        }
    }

    async fn stop_native(&self, order: StopOrder) -> bool {
        let key = order.runner.to_string();
        let name = order
            .instance
            .as_ref()
            .map_or(key.as_str(), InstanceId::as_str);
        let path = format!("/v1/runners/{name}");
        let response = call_json(self.address, Method::DELETE, &path, None, CALL_TIMEOUT).await;
        response.is_ok_and(|response| response.status == StatusCode::OK)
    }

    async fn read_workers(&self) -> Option<Vec<ListedWorker>> {
        let call = call_json(self.address, Method::GET, "/v1/workers", None, CALL_TIMEOUT);
        let response = call.await.ok()?;
        let body = response.json();
        let errors = PathErrorList::default();
        let workers = PathReader::new(&body, &errors)
            .field("workers")
            .items()
            .iter()
            .filter_map(read_worker)
            .collect();
        let is_complete = response.status == StatusCode::OK && errors.into_inner().is_empty();
        is_complete.then_some(workers)
    }

    async fn read_runners(&self) -> Option<RunnerList> {
        let call = call_json(self.address, Method::GET, "/v1/runners", None, CALL_TIMEOUT);
        let response = call.await.ok()?;
        let body = response.json();
        let errors = PathErrorList::default();
        let root = PathReader::new(&body, &errors);
        let age_ms = root.field("age_ms").number(0..=3_600_000);
        let runners = root
            .field("runners")
            .items()
            .iter()
            .filter_map(read_runner)
            .collect();
        let is_complete = response.status == StatusCode::OK && errors.into_inner().is_empty();
        let age = Duration::from_millis(age_ms?);
        is_complete.then_some(RunnerList { age, runners })
    }
}

/// Reads the platform's id of a runner's instance, and the instance's address.
fn read_instance(item: &PathReader<'_>) -> Option<Instance> {
    Some(Instance {
        address: read_address(&item.field("place"))?,
        name: item.field("life").text()?.into(),
    })
}

fn read_worker(item: &PathReader<'_>) -> Option<ListedWorker> {
    Some(ListedWorker {
        worker: item.field("worker").text()?.into(),
        zone: item.field("locality").text()?.into(),
        memory_mb: item.field("memory_mb").number(0..=u64::from(u32::MAX))? as u32,
        draining: item.field("draining").bool_or(false),
    })
}

fn read_runner(item: &PathReader<'_>) -> Option<ListedRunner> {
    let runner: Option<RunnerId> = item.field("runner").text()?.parse().ok();
    let key: FunctionKey = item.field("function").text()?.parse().ok()?;
    Some(ListedRunner {
        instance: read_instance(item)?,
        runner,
        function: key.name.clone(),
        key: Some(key),
        worker: item.field("worker").text()?.into(),
        leaving: item.field("leaving").bool_or(false),
    })
}

impl PlatformAdapter for NativePlatform {
    fn start_runner(&self, order: StartOrder) -> PlatformCall<'_, StartOutcome> {
        Box::pin(self.start_native(order))
    }

    fn stop_runner(&self, order: StopOrder) -> PlatformCall<'_, bool> {
        Box::pin(self.stop_native(order))
    }

    fn workers(&self) -> PlatformCall<'_, Option<Vec<ListedWorker>>> {
        Box::pin(self.read_workers())
    }

    fn runners(&self) -> PlatformCall<'_, Option<RunnerList>> {
        Box::pin(self.read_runners())
    }
}
