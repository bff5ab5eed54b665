//! Scenario: a controller is partitioned for 20 s, in one direction or both, and rejoins in one of several ways.

use super::{QuorumSize, ScriptBuilder};
use crate::sim::plan::SimPlan;
use crate::sim::script::{Action, Direction, Loss, Target};
use std::time::Duration;

const PARTITION_AT: Duration = Duration::from_secs(5);
const PARTITION_DURATION: Duration = Duration::from_secs(20);
const CHANGE_INTERVAL: Duration = Duration::from_millis(400);
/// The longest time until a new leader takes over, and the mean interval of operators' requests in that time.
const ELECTION_BURST_DURATION: Duration = Duration::from_millis(1500);
const ELECTION_BURST_INTERVAL: Duration = Duration::from_millis(20);
const READ_INTERVAL: Duration = Duration::from_millis(150);
const EVACUATION_INTERVAL: Duration = Duration::from_secs(5);

/// How the partitioned controller rejoins.
#[derive(Clone, Copy)]
enum VictimReturn {
    Reconnected,
    /// It was frozen during the partition, and is resumed.
    Resumed,
    Restarted,
    Replaced,
}

/// Returns the plan of a run with this seed.
pub(crate) fn plan(seed: u64) -> SimPlan {
    let mut script = ScriptBuilder::seeded(seed);
    let targets = [
        Target::Leader,
        Target::Leader,
        Target::Follower,
        Target::Any,
        Target::Seed,
    ];
    let directions = [
        Direction::Both,
        Direction::Both,
        Direction::Outgoing,
        Direction::Incoming,
    ];
    let target = script.one_of(&targets);
    let direction = script.one_of(&directions);
    let victim_return = script.one_of(&[
        VictimReturn::Reconnected,
        VictimReturn::Resumed,
        VictimReturn::Restarted,
        VictimReturn::Replaced,
    ]);
    let returns_at = PARTITION_AT + PARTITION_DURATION;
    script.at(PARTITION_AT, Action::Cut(target, direction));
    match victim_return {
        VictimReturn::Reconnected => script.at(returns_at, Action::Rejoin),
        VictimReturn::Resumed => {
            let frozen_at = script.one_of(&[PARTITION_AT, PARTITION_AT + PARTITION_DURATION / 2]);
            script.at(frozen_at, Action::Lose(Target::Victim, Loss::Frozen));
            script.at(returns_at, Action::Rejoin);
        }
        VictimReturn::Restarted => {
            script.at(returns_at, Action::Restart);
            script.at(returns_at, Action::Rejoin);
        }
        VictimReturn::Replaced => {
            script.at(returns_at, Action::ReplaceVictim);
            script.at(returns_at, Action::Rejoin);
        }
    }
    add_operators(&mut script, returns_at);
    script.plan(
        seed,
        QuorumSize::of_seed(seed),
        returns_at + Duration::from_secs(2),
    )
}

/// Adds concurrent changes, reads on both sides of the partition, and evacuations.
fn add_operators(script: &mut ScriptBuilder, returns_at: Duration) {
    let from = Duration::from_secs(2);
    let until = returns_at + Duration::from_secs(2);
    script.repeat(from, until, CHANGE_INTERVAL, |_| Action::Change);
    // Requests while a new leader is elected and the old one has not noticed yet.
    script.repeat(
        PARTITION_AT,
        PARTITION_AT + ELECTION_BURST_DURATION,
        ELECTION_BURST_INTERVAL,
        |_| Action::Change,
    );
    script.repeat(
        PARTITION_AT,
        PARTITION_AT + ELECTION_BURST_DURATION,
        ELECTION_BURST_INTERVAL,
        |_| Action::Read(Target::Victim),
    );
    script.repeat(from, until, READ_INTERVAL, |rng| {
        let at_the_victim = rng.random_bool(0.5);
        Action::Read(if at_the_victim {
            Target::Victim
        } else {
            Target::Any
        })
    });
    let mut zone = 0;
    let mut is_evacuated = false;
    script.repeat(from, until, EVACUATION_INTERVAL, |rng| {
        is_evacuated = !is_evacuated;
        if is_evacuated {
            zone = rng.below(3) as usize;
            Action::Evacuate(zone)
        } else {
            Action::Restore(zone)
        }
    });
}
