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
use waymark::identity::FunctionKey;
use waymark::note;
use waymark::readers::{FaultList, PathReader};
use waymark::tongue::{ListedRunner, ListedWorker, StopOrder};

/// Reads the platform's lists while this surveyor leads.
pub async fn poll(shared: Arc<Shared>) {
    let mut ticking = tokio::time::interval(Duration::from_millis(400));
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
            note!(Warn, events::PLATFORM_SILENT, "{}", shared.platform);
        }
        was_silent = is_silent;
    }
}

async fn read_workers(shared: &Shared) -> Option<()> {
    let patience = Duration::from_secs(2);
    let called =
        call_json(shared.platform, Method::GET, "/v1/workers", None, patience).await.ok()?;
    let body = called.json();
    let faults = FaultList::default();
    let root = PathReader::new(&body, &faults);
    let listed_workers: Vec<ListedWorker> = root
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
    if called.status != StatusCode::OK || !faults.into_inner().is_empty() {
        return None;
    }
    shared.inputs.send(PlaneInput::Workers(listed_workers)).await.ok()
}

async fn read_runners(shared: &Shared) -> Option<()> {
    let patience = Duration::from_secs(2);
    let sent_at = Moment::now();
    let called =
        call_json(shared.platform, Method::GET, "/v1/runners", None, patience).await.ok()?;
    let body = called.json();
    let faults = FaultList::default();
    let root = PathReader::new(&body, &faults);
    let age_ms = root.field("age_ms").number(0..=3_600_000);
    let listed_runners: Vec<ListedRunner> = root
        .field("runners")
        .items()
        .iter()
        .filter_map(|item| {
            let key: FunctionKey = item.field("function").text()?.parse().ok()?;
            let life_name = item.field("life").text()?;
            Some(ListedRunner {
                life: Life {
                    name: life_name.into(),
                    place: Place(item.field("place").text()?.parse().ok()?),
                },
                runner: item.field("runner").text()?.parse().ok(),
                function: key.name.clone(),
                key: Some(key),
                worker: item.field("worker").text()?.into(),
                leaving: item.field("leaving").flag_or(false),
            })
        })
        .collect();
    if called.status != StatusCode::OK || !faults.into_inner().is_empty() {
        return None;
    }
    let content_moment = sent_at - Duration::from_millis(age_ms?);
    shared.inputs.send(PlaneInput::Runners(content_moment, listed_runners)).await.ok()
}

/// Has the platform stop a runner; only a clear yes counts.
pub async fn stop_runner(shared: Arc<Shared>, order: StopOrder) {
    let runner = order.runner;
    let path = match &order.life {
        Some(life) => format!("/v1/runners/{life}"),
        None => format!("/v1/runners/{runner}"),
    };
    let patience = Duration::from_secs(2);
    let called = call_json(shared.platform, Method::DELETE, &path, None, patience).await;
    if called.is_ok_and(|called| called.status == StatusCode::OK) {
        let _ = shared.inputs.send(PlaneInput::RunnerStopped(runner)).await;
    }
}
