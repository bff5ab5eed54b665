//! A controller is cut off for twenty seconds, one way or both, and returns in one of several ways.

use super::{QuorumSize, ScriptBuilder};
use crate::sim::plan::SimPlan;
use crate::sim::script::{Action, Direction, Loss, Target};
use std::time::Duration;

const CUT_AT: Duration = Duration::from_secs(5);
const CUT_LASTS: Duration = Duration::from_secs(20);
const CHANGE_EVERY: Duration = Duration::from_millis(400);
/// How long a change of leaders takes at most, and how often operators ask in that time.
const TURNOVER: Duration = Duration::from_millis(1500);
const TURNOVER_EVERY: Duration = Duration::from_millis(20);
const READ_EVERY: Duration = Duration::from_millis(150);
const EVACUATION_EVERY: Duration = Duration::from_secs(5);

/// How the cut-off controller comes back.
#[derive(Clone, Copy)]
enum Return {
    Rejoined,
    Woken,
    Restarted,
    Replaced,
}

/// The day of a seed.
pub fn plan(seed: u64) -> SimPlan {
    let mut script = ScriptBuilder::seeded(seed);
    let targets = [Target::Leader, Target::Leader, Target::Follower, Target::Any, Target::Seed];
    let directions = [Direction::Both, Direction::Both, Direction::Outgoing, Direction::Incoming];
    let target = script.one_of(&targets);
    let direction = script.one_of(&directions);
    let back =
        script.one_of(&[Return::Rejoined, Return::Woken, Return::Restarted, Return::Replaced]);
    let back_at = CUT_AT + CUT_LASTS;
    script.at(CUT_AT, Action::Cut(target, direction));
    match back {
        Return::Rejoined => script.at(back_at, Action::Rejoin),
        Return::Woken => {
            let frozen_at = script.one_of(&[CUT_AT, CUT_AT + CUT_LASTS / 2]);
            script.at(frozen_at, Action::Lose(Target::Victim, Loss::Frozen));
            script.at(back_at, Action::Rejoin);
        }
        Return::Restarted => {
            script.at(back_at, Action::Restart);
            script.at(back_at, Action::Rejoin);
        }
        Return::Replaced => {
            script.at(back_at, Action::ReplaceVictim);
            script.at(back_at, Action::Rejoin);
        }
    }
    add_operators(&mut script, back_at);
    script.plan(seed, QuorumSize::of_seed(seed), back_at + Duration::from_secs(2))
}

/// Changes that race, readings on either side, and evacuations.
fn add_operators(script: &mut ScriptBuilder, back_at: Duration) {
    let from = Duration::from_secs(2);
    let until = back_at + Duration::from_secs(2);
    script.repeat(from, until, CHANGE_EVERY, |_| Action::Change);
    // While a new leader is elected and the old one does not know yet.
    script.repeat(CUT_AT, CUT_AT + TURNOVER, TURNOVER_EVERY, |_| Action::Change);
    script.repeat(CUT_AT, CUT_AT + TURNOVER, TURNOVER_EVERY, |_| Action::Read(Target::Victim));
    script.repeat(from, until, READ_EVERY, |chance| {
        let at_the_victim = chance.happens(0.5);
        Action::Read(if at_the_victim { Target::Victim } else { Target::Any })
    });
    let mut zone = 0;
    let mut is_evacuated = false;
    script.repeat(from, until, EVACUATION_EVERY, |chance| {
        is_evacuated = !is_evacuated;
        if is_evacuated {
            zone = chance.below(3) as usize;
            Action::Evacuate(zone)
        } else {
            Action::Restore(zone)
        }
    });
}
