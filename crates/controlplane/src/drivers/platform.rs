use super::controller::Shared;
use crate::controller_state::ControllerInput;
use common::adapter::StopOrder;
use common::clock::MonotonicTime;
use common::events;
use common::log_event;
use std::sync::Arc;
use std::time::Duration;

/// Reads the platform's lists while this controller leads, and when the leader asks for them.
pub async fn poll(shared: Arc<Shared>, platform_poll_interval: Duration) {
    let mut ticking = tokio::time::interval(platform_poll_interval);
    ticking.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut was_unreachable = false;
    let mut leadership = shared.leadership.subscribe();
    loop {
        if leadership.wait_for(|leadership| *leadership).await.is_err() || shared.inputs.is_closed()
        {
            return;
        }
        tokio::select! {
            _ = ticking.tick() => {}
            () = shared.list_refresh_requested.notified() => {}
        }
        let (workers_read, runners_read) =
            tokio::join!(read_workers(&shared), read_runners(&shared));
        let is_unreachable = workers_read.is_none() || runners_read.is_none();
        if is_unreachable && !was_unreachable {
            log_event!(Warn, events::PLATFORM_UNREACHABLE);
        }
        was_unreachable = is_unreachable;
    }
}

async fn read_workers(shared: &Shared) -> Option<()> {
    let listed_workers = shared.platform.workers().await?;
    shared
        .inputs
        .send(ControllerInput::Workers(listed_workers))
        .await
        .ok()
}

async fn read_runners(shared: &Shared) -> Option<()> {
    let sent_at = MonotonicTime::now();
    let list = shared.platform.runners().await?;
    shared
        .inputs
        .send(ControllerInput::Runners(sent_at - list.age, list.runners))
        .await
        .ok()
}

/// Has the platform stop a runner; only a clear yes counts.
pub async fn stop_runner(shared: Arc<Shared>, order: StopOrder) {
    let runner = order.runner;
    if shared.platform.stop(order).await {
        let _ = shared
            .inputs
            .send(ControllerInput::RunnerStopped(runner))
            .await;
    }
}
