//! Orders to the platform to start and stop runners.

use super::state::{LocalHeldFunction, State};
use common::adapter::{StartOrder, StartOutcome, StopOrder};
use common::clock::MonotonicTime;
use common::identity::{InstanceId, RunnerId, WorkerName};
use common::spec::FunctionSpec;

/// Orders the platform to start a runner. Without a valid session lease, no order is sent and the result is
/// [`StartOutcome::Lost`].
pub(super) async fn start(
    state: &State,
    held: &LocalHeldFunction,
    runner: RunnerId,
    worker: &WorkerName,
    spec: &FunctionSpec,
) -> StartOutcome {
    if !state.agent.is_serving(MonotonicTime::now()) {
        return StartOutcome::Lost;
    }
    let order = StartOrder {
        runner,
        function: held.function.clone(),
        worker: worker.clone(),
        memory_mb: spec.memory_mb,
        startup: spec.startup,
        slots: spec.slots,
        member: state.settings.member.clone(),
    };
    state.adapters.platform.start_runner(order).await
}

/// Orders the platform to stop a runner. Returns whether the platform has confirmed that the runner is permanently
/// stopped.
pub(super) async fn stop(
    state: &State,
    held: &LocalHeldFunction,
    runner: RunnerId,
    worker: WorkerName,
    instance: Option<InstanceId>,
) -> bool {
    let order = StopOrder {
        runner,
        function: held.function.clone(),
        worker,
        instance,
        member: state.settings.member.clone(),
        fencing_token: held.fencing_token,
    };
    state.adapters.platform.stop_runner(order).await
}
