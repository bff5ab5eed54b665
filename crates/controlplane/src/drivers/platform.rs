//! Reads the platform's lists, and has it stop runners.

use super::shared::Shared;
use crate::controller_state::ControllerInput;
use common::adapter::StopOrder;
use common::clock::MonotonicTime;
use common::events;
use common::log_event;
use std::sync::Arc;
use std::time::Duration;

/// Reads the platform's lists at each interval while this controller leads, and at once when the leader requests
/// them. Once the controller has stopped this ends, or waits in vain until the process does.
pub(super) async fn poll(shared: Arc<Shared>, platform_poll_interval: Duration) {
    let mut ticking = tokio::time::interval(platform_poll_interval);
    ticking.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut was_unreachable = false;
    let mut leadership = shared.published.leadership.subscribe();
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

/// Hands the workers to the controller; none if the platform or the controller cannot be reached.
async fn read_workers(shared: &Shared) -> Option<()> {
    let listed_workers = shared.platform.workers().await?;
    shared
        .inputs
        .send(ControllerInput::Workers(listed_workers))
        .await
        .ok()
}

/// Hands the runners to the controller; none if the platform or the controller cannot be reached.
async fn read_runners(shared: &Shared) -> Option<()> {
    // The list is as old as it says from when it was requested: an earlier instant is the safe one.
    let sent_at = MonotonicTime::now();
    let list = shared.platform.runners().await?;
    shared
        .inputs
        .send(ControllerInput::Runners(sent_at - list.age, list.runners))
        .await
        .ok()
}

/// Has the platform stop a runner. Without a definite confirmation the controller gets no input and will order it
/// again.
pub(super) async fn stop_runner(shared: Arc<Shared>, order: StopOrder) {
    let runner = order.runner;
    if shared.platform.stop_runner(order).await {
        let _ = shared
            .inputs
            .send(ControllerInput::RunnerStopped(runner))
            .await;
    }
}
