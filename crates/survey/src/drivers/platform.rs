use super::engine::Shared;
use crate::plane::PlaneInput;
use hyper::{Method, StatusCode};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use waymark::clock::Moment;
use waymark::events;
use waymark::frames::{Life, Place};
use waymark::http::call_json;
use waymark::identity::{FunctionKey, LifeName, RunnerId};
use waymark::note;
use waymark::readers::{FaultList, PathReader};
use waymark::tongue::{
    BeginEnd, BeginOrder, Calling, ListedRunner, ListedWorker, PlatformTongue, RunnerList,
    StopOrder,
};

const PATIENCE: Duration = Duration::from_secs(2);

/// Reads the platform's lists while this surveyor leads.
pub async fn poll(shared: Arc<Shared>, list_every: Duration) {
    let mut ticking = tokio::time::interval(list_every);
    ticking.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut was_silent = false;
    loop {
        ticking.tick().await;
        if shared.inputs.is_closed() {
            return;
        }
        if !shared.leads.load(Ordering::Relaxed) {
            continue;
        }
        let (workers_read, runners_read) =
            tokio::join!(read_workers(&shared), read_runners(&shared));
        let is_silent = workers_read.is_none() || runners_read.is_none();
        if is_silent && !was_silent {
            note!(Warn, events::PLATFORM_SILENT);
        }
        was_silent = is_silent;
    }
}

async fn read_workers(shared: &Shared) -> Option<()> {
    let listed_workers = shared.platform.workers().await?;
    shared.inputs.send(PlaneInput::Workers(listed_workers)).await.ok()
}

async fn read_runners(shared: &Shared) -> Option<()> {
    let sent_at = Moment::now();
    let list = shared.platform.runners().await?;
    shared.inputs.send(PlaneInput::Runners(sent_at - list.age, list.runners)).await.ok()
}

/// Has the platform stop a runner; only a clear yes counts.
pub async fn stop_runner(shared: Arc<Shared>, order: StopOrder) {
    let runner = order.runner;
    if shared.platform.stop(order).await {
        let _ = shared.inputs.send(PlaneInput::RunnerStopped(runner)).await;
    }
}

/// The product's own stand-in, as far as a surveyor speaks to it.
pub struct OwnPlatform {
    place: Place,
}

impl OwnPlatform {
    /// The stand-in at a place.
    pub fn new(place: Place) -> Self {
        Self { place }
    }
}

impl PlatformTongue for OwnPlatform {
    fn begin(&self, _order: BeginOrder) -> Calling<'_, BeginEnd> {
        Box::pin(async { BeginEnd::Refused })
    }

    fn stop(&self, order: StopOrder) -> Calling<'_, bool> {
        Box::pin(async move {
            let path = format!("/v1/runners/{}", order.runner);
            let called = call_json(self.place, Method::DELETE, &path, None, PATIENCE).await;
            called.is_ok_and(|called| called.status == StatusCode::OK)
        })
    }

    fn workers(&self) -> Calling<'_, Option<Vec<ListedWorker>>> {
        Box::pin(async move {
            let called =
                call_json(self.place, Method::GET, "/v1/workers", None, PATIENCE).await.ok()?;
            let body = called.json();
            let faults = FaultList::default();
            let root = PathReader::new(&body, &faults);
            let listed_workers = root
                .field("workers")
                .items()
                .iter()
                .filter_map(|item| {
                    Some(ListedWorker {
                        worker: item.field("worker").text()?.into(),
                        locality: item.field("locality").text()?.into(),
                        memory_mb: item.field("memory_mb").number(0..=u64::from(u32::MAX))? as u32,
                        draining: item.field("draining").flag_or(false),
                    })
                })
                .collect();
            let is_whole = called.status == StatusCode::OK && faults.into_inner().is_empty();
            is_whole.then_some(listed_workers)
        })
    }

    fn runners(&self) -> Calling<'_, Option<RunnerList>> {
        Box::pin(async move {
            let called =
                call_json(self.place, Method::GET, "/v1/runners", None, PATIENCE).await.ok()?;
            let body = called.json();
            let faults = FaultList::default();
            let root = PathReader::new(&body, &faults);
            let age_ms = root.field("age_ms").number(0..=3_600_000);
            let runners = root.field("runners").items().iter().filter_map(read_runner).collect();
            if called.status != StatusCode::OK || !faults.into_inner().is_empty() {
                return None;
            }
            Some(RunnerList { age: Duration::from_millis(age_ms?), runners })
        })
    }
}

fn read_runner(item: &PathReader<'_>) -> Option<ListedRunner> {
    let runner: RunnerId = item.field("runner").text()?.parse().ok()?;
    let key: FunctionKey = item.field("function").text()?.parse().ok()?;
    Some(ListedRunner {
        life: Life { name: LifeName::from(runner.to_string()), place: Place::NOWHERE },
        runner: Some(runner),
        function: key.name.clone(),
        key: Some(key),
        worker: item.field("worker").text()?.into(),
        leaving: item.field("leaving").flag_or(false),
    })
}
