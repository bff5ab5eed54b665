//! Scenario: all machines lose power right after an acknowledgement, and again within 2 s.

use super::{QuorumSize, ScriptBuilder};
use crate::sim::plan::SimPlan;
use crate::sim::script::{Action, Target};
use std::time::Duration;

const CHANGE_INTERVAL: Duration = Duration::from_millis(300);
const READ_INTERVAL: Duration = Duration::from_millis(300);
const LOSS_INTERVAL: Duration = Duration::from_secs(6);
const FAULT_DURATION: Duration = Duration::from_secs(20);

/// Returns the plan of a run with this seed.
pub(crate) fn plan(seed: u64) -> SimPlan {
    let mut script = ScriptBuilder::seeded(seed);
    script.repeat(
        Duration::from_secs(1),
        FAULT_DURATION,
        CHANGE_INTERVAL,
        |_| Action::Change,
    );
    script.repeat(
        Duration::from_secs(2),
        FAULT_DURATION,
        READ_INTERVAL,
        |_| Action::Read(Target::Any),
    );
    script.repeat(
        Duration::from_secs(4),
        FAULT_DURATION - LOSS_INTERVAL / 2,
        LOSS_INTERVAL,
        |_| Action::PowerLossAfterAcknowledgement,
    );
    script.plan(seed, QuorumSize::of_seed(seed), FAULT_DURATION)
}
