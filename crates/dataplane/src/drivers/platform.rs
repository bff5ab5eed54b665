use super::{HeldHere, State};
use common::clock::Moment;
use common::identity::{LifeName, RunnerId, WorkerName};
use common::spec::FunctionSpec;
use common::tongue::{BeginEnd, BeginOrder, StopOrder};

/// Has the platform start a runner.
pub async fn start(
    state: &State,
    held: &HeldHere,
    runner: RunnerId,
    worker: &WorkerName,
    spec: &FunctionSpec,
) -> BeginEnd {
    if !state.agent.is_serving(Moment::now()) {
        return BeginEnd::Lost;
    }
    let order = BeginOrder {
        runner,
        function: held.function.clone(),
        worker: worker.clone(),
        memory_mb: spec.memory_mb,
        boot: spec.boot,
        slots: spec.slots,
        member: state.boot.member.clone(),
    };
    state.tongues.platform.begin(order).await
}

/// Has the platform stop a runner; true only when it says that the runner is stopped for good.
pub async fn stop(
    state: &State,
    held: &HeldHere,
    runner: RunnerId,
    worker: WorkerName,
    life: Option<LifeName>,
) -> bool {
    let order = StopOrder {
        runner,
        function: held.function.clone(),
        worker,
        life,
        member: state.boot.member.clone(),
    };
    state.tongues.platform.stop(order).await
}
