//! Scenario: all machines lose power right after an acknowledgement, and again within two seconds.

use super::{QuorumSize, ScriptBuilder};
use crate::sim::plan::SimPlan;
use crate::sim::script::{Action, Target};
use std::time::Duration;

const CHANGE_INTERVAL: Duration = Duration::from_millis(300);
const READ_INTERVAL: Duration = Duration::from_millis(300);
const LOSS_INTERVAL: Duration = Duration::from_secs(6);
const LASTS: Duration = Duration::from_secs(20);

/// The plan of a day with this seed.
pub(crate) fn plan(seed: u64) -> SimPlan {
    let mut script = ScriptBuilder::seeded(seed);
    script.repeat(Duration::from_secs(1), LASTS, CHANGE_INTERVAL, |_| {
        Action::Change
    });
    script.repeat(Duration::from_secs(2), LASTS, READ_INTERVAL, |_| {
        Action::Read(Target::Any)
    });
    script.repeat(
        Duration::from_secs(4),
        LASTS - LOSS_INTERVAL / 2,
        LOSS_INTERVAL,
        |_| Action::PowerLossAfterAcknowledgement,
    );
    script.plan(seed, QuorumSize::of_seed(seed), LASTS)
}
