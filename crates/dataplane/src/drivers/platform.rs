use super::{LocalHeldFunction, State};
use common::adapter::{StartOrder, StartOutcome, StopOrder};
use common::clock::MonotonicTime;
use common::identity::{InstanceId, RunnerId, WorkerName};
use common::spec::FunctionSpec;

/// Has the platform start a runner.
pub async fn start(
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

/// Has the platform stop a runner; true only when it says that the runner is stopped for good.
pub async fn stop(
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
    };
    state.adapters.platform.stop(order).await
}
