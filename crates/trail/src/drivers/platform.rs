use super::{HeldHere, State};
use waymark::clock::Moment;
use waymark::frames::Life;
use waymark::identity::{RunnerId, WorkerName};
use waymark::spec::FunctionSpec;
use waymark::tongue::{BeginEnd, BeginOrder, StopOrder};

/// Has the platform start a runner; its life, or none.
pub async fn start(
    state: &State,
    held: &HeldHere,
    runner: RunnerId,
    worker: &WorkerName,
    spec: &FunctionSpec,
) -> Option<Life> {
    if !state.lodge.is_serving(Moment::now()) {
        return None;
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
    match state.tongues.platform.begin(order).await {
        BeginEnd::Begun(life) => Some(life),
        BeginEnd::NoRoom | BeginEnd::Busy | BeginEnd::Refused | BeginEnd::Lost => None,
    }
}

/// Has the platform stop a runner; true only when it says that the runner is stopped for good.
pub async fn stop(state: &State, held: &HeldHere, runner: RunnerId, worker: &WorkerName) -> bool {
    let order = StopOrder {
        runner,
        function: held.function.clone(),
        worker: worker.clone(),
        life: held.life_of(runner).map(|life| life.name),
        member: state.boot.member.clone(),
    };
    state.tongues.platform.stop(order).await
}
