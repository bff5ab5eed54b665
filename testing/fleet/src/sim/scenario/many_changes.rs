//! Scenario: hundreds of changes of a large configuration, with voters down for many of them.

use super::{QuorumSize, ScriptBuilder};
use crate::sim::plan::SimPlan;
use crate::sim::script::{Action, Loss, Target};
use std::time::Duration;

/// The number of changes of a day: more than the records of orders and numbers that are retained.
const CHANGES: u32 = 700;
const CHANGE_INTERVAL: Duration = Duration::from_millis(40);
const FIRST_CHANGE_AT: Duration = Duration::from_secs(3);
const READ_INTERVAL: Duration = Duration::from_millis(300);
/// The number of additional functions that make the configuration large.
const FUNCTIONS: u64 = 24;

/// How a voter misses changes.
#[derive(Clone, Copy)]
enum AbsenceKind {
    /// It is down for all of them.
    AllChanges,
    /// It returns in the middle.
    HalfOfChanges,
    /// It returns in the middle with an empty disk.
    Wiped,
    /// It returns after all of them, and the leader is lost at that time.
    ElectedOnReturn,
}

/// The plan of a day with this seed.
pub(crate) fn plan(seed: u64) -> SimPlan {
    let mut script = ScriptBuilder::seeded(seed);
    let size = QuorumSize::of_seed(seed);
    let changes_end = FIRST_CHANGE_AT + CHANGE_INTERVAL * CHANGES;
    let middle = FIRST_CHANGE_AT + CHANGE_INTERVAL * CHANGES / 2;
    for turn in 0..CHANGES {
        script.at(
            FIRST_CHANGE_AT + CHANGE_INTERVAL * turn,
            Action::LargeChange(FUNCTIONS),
        );
    }
    let absence_kind = script.one_of(&[
        AbsenceKind::AllChanges,
        AbsenceKind::HalfOfChanges,
        AbsenceKind::Wiped,
        AbsenceKind::ElectedOnReturn,
    ]);
    let (loss, returns_at) = match absence_kind {
        AbsenceKind::AllChanges | AbsenceKind::ElectedOnReturn => (Loss::PowerLost, changes_end),
        AbsenceKind::HalfOfChanges => (Loss::PowerLost, middle),
        AbsenceKind::Wiped => (Loss::Wiped, middle),
    };
    script.at(FIRST_CHANGE_AT, Action::Lose(Target::Follower, loss));
    script.at(returns_at, Action::Restart);
    let lasts = changes_end + Duration::from_secs(2);
    if matches!(absence_kind, AbsenceKind::ElectedOnReturn) {
        let failure_timeout = script
            .rng
            .within(Duration::ZERO, Duration::from_millis(400));
        script.at(
            returns_at + failure_timeout,
            Action::Lose(Target::Leader, Loss::Killed),
        );
    }
    script.repeat(FIRST_CHANGE_AT, changes_end, READ_INTERVAL, |_| {
        Action::Read(Target::Any)
    });
    for turn in 0..4 {
        script.at(
            changes_end + Duration::from_millis(500) * turn,
            Action::ResendFirst,
        );
        script.at(
            lasts + Duration::from_secs(5) + CHANGE_INTERVAL * turn,
            Action::ResendFirst,
        );
    }
    script.plan(seed, size, lasts)
}
