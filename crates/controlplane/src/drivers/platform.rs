use super::engine::Shared;
use crate::controller_state::ControllerInput;
use common::clock::Moment;
use common::events;
use common::note;
use common::tongue::StopOrder;
use std::sync::Arc;
use std::time::Duration;

/// Reads the platform's lists while this controller leads, and when the leader asks for them.
pub async fn poll(shared: Arc<Shared>, list_every: Duration) {
    let mut ticking = tokio::time::interval(list_every);
    ticking.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut was_silent = false;
    let mut leads = shared.leads.subscribe();
    loop {
        if leads.wait_for(|leads| *leads).await.is_err() || shared.inputs.is_closed() {
            return;
        }
        tokio::select! {
            _ = ticking.tick() => {}
            () = shared.lists_wanted.notified() => {}
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
    shared.inputs.send(ControllerInput::Workers(listed_workers)).await.ok()
}

async fn read_runners(shared: &Shared) -> Option<()> {
    let sent_at = Moment::now();
    let list = shared.platform.runners().await?;
    shared.inputs.send(ControllerInput::Runners(sent_at - list.age, list.runners)).await.ok()
}

/// Has the platform stop a runner; only a clear yes counts.
pub async fn stop_runner(shared: Arc<Shared>, order: StopOrder) {
    let runner = order.runner;
    if shared.platform.stop(order).await {
        let _ = shared.inputs.send(ControllerInput::RunnerStopped(runner)).await;
    }
}
