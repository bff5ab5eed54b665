//! Polls the platform's lists of workers and runners, and asks it to stop runners.

use super::shared::Shared;
use crate::controller_state::ControllerInput;
use common::adapter::StopOrder;
use common::clock::MonotonicTime;
use common::events;
use common::log_event;
use std::sync::Arc;
use std::time::Duration;

/// Reads the platform's lists at each interval while this controller is the leader, and immediately when the leader
/// requests them. After the controller has stopped, this returns or stays blocked until the process exits.
pub(super) async fn poll(shared: Arc<Shared>, platform_poll_interval: Duration) {
    let mut poll_timer = tokio::time::interval(platform_poll_interval);
    poll_timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut was_unreachable = false;
    let mut leadership = shared.published.leadership.subscribe();
    loop {
        if leadership.wait_for(|leadership| *leadership).await.is_err() || shared.inputs.is_closed()
        {
            return;
        }
        tokio::select! {
            _ = poll_timer.tick() => {}
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

/// Passes the list of workers to the controller. Returns `None` if the platform is unreachable or the controller has
/// stopped.
async fn read_workers(shared: &Shared) -> Option<()> {
    let listed_workers = shared.platform.workers().await?;
    shared
        .inputs
        .send(ControllerInput::Workers(listed_workers))
        .await
        .ok()
}

/// Passes the list of runners to the controller. Returns `None` if the platform is unreachable or the controller has
/// stopped.
async fn read_runners(shared: &Shared) -> Option<()> {
    // The list's age is subtracted from the time of the request, because too early a time is the safe error.
    let sent_at = MonotonicTime::now();
    let list = shared.platform.runners().await?;
    shared
        .inputs
        .send(ControllerInput::Runners(sent_at - list.age, list.runners))
        .await
        .ok()
}

/// Asks the platform to stop a runner. Without a definite confirmation, the controller receives no input and will
/// repeat the request.
pub(super) async fn stop_runner(shared: Arc<Shared>, order: StopOrder) {
    let runner = order.runner;
    if shared.platform.stop_runner(order).await {
        let _ = shared
            .inputs
            .send(ControllerInput::RunnerStopped(runner))
            .await;
    }
}
