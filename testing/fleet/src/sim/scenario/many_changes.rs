//! Scenario: hundreds of changes of a large configuration, with voters down for many of them.

use super::{QuorumSize, ScriptBuilder};
use crate::sim::plan::SimPlan;
use crate::sim::script::{Action, Loss, Target};
use std::time::Duration;

/// The number of changes in a run, which is more than the number of retained records of orders and version numbers.
const CHANGE_COUNT: u32 = 700;
const CHANGE_INTERVAL: Duration = Duration::from_millis(40);
const FIRST_CHANGE_AT: Duration = Duration::from_secs(3);
const READ_INTERVAL: Duration = Duration::from_millis(300);
/// The number of additional functions that make the configuration large.
const ADDITIONAL_FUNCTIONS: u64 = 24;
/// How often the first acknowledged order is sent again right after the changes, and after the faults.
const RESEND_COUNT: u32 = 4;

/// How a voter misses changes.
#[derive(Clone, Copy)]
enum AbsenceKind {
    /// It is down for all of them.
    AllChanges,
    /// It returns after half of them.
    HalfOfChanges,
    /// It returns after half of them, with an empty disk.
    Wiped,
    /// It returns after all of them, and the leader is lost shortly afterwards.
    LeaderLostOnReturn,
}

/// Returns the plan of a run with this seed.
pub(crate) fn plan(seed: u64) -> SimPlan {
    let mut script = ScriptBuilder::seeded(seed);
    let size = QuorumSize::of_seed(seed);
    let changes_end = FIRST_CHANGE_AT + CHANGE_INTERVAL * CHANGE_COUNT;
    let midpoint = FIRST_CHANGE_AT + CHANGE_INTERVAL * CHANGE_COUNT / 2;
    for index in 0..CHANGE_COUNT {
        script.at(
            FIRST_CHANGE_AT + CHANGE_INTERVAL * index,
            Action::LargeChange(ADDITIONAL_FUNCTIONS),
        );
    }
    let absence_kind = script.one_of(&[
        AbsenceKind::AllChanges,
        AbsenceKind::HalfOfChanges,
        AbsenceKind::Wiped,
        AbsenceKind::LeaderLostOnReturn,
    ]);
    let (loss, returns_at) = match absence_kind {
        AbsenceKind::AllChanges | AbsenceKind::LeaderLostOnReturn => (Loss::PowerLost, changes_end),
        AbsenceKind::HalfOfChanges => (Loss::PowerLost, midpoint),
        AbsenceKind::Wiped => (Loss::Wiped, midpoint),
    };
    script.at(FIRST_CHANGE_AT, Action::Lose(Target::Follower, loss));
    script.at(returns_at, Action::Restart);
    let fault_duration = changes_end + Duration::from_secs(2);
    if matches!(absence_kind, AbsenceKind::LeaderLostOnReturn) {
        let leader_loss_delay = script
            .rng
            .within(Duration::ZERO, Duration::from_millis(400));
        script.at(
            returns_at + leader_loss_delay,
            Action::Lose(Target::Leader, Loss::Killed),
        );
    }
    script.repeat(FIRST_CHANGE_AT, changes_end, READ_INTERVAL, |_| {
        Action::Read(Target::Any)
    });
    for index in 0..RESEND_COUNT {
        script.at(
            changes_end + Duration::from_millis(500) * index,
            Action::ResendFirst,
        );
        script.at(
            fault_duration + Duration::from_secs(5) + CHANGE_INTERVAL * index,
            Action::ResendFirst,
        );
    }
    script.plan(seed, size, fault_duration)
}
