//! Scenario: a second loss while the quorum is repaired, replaces a voter or grows.

use super::{QuorumSize, ScriptBuilder};
use crate::sim::plan::SimPlan;
use crate::sim::script::{Action, Loss, SecondLoss, Target};
use crate::sim::simulation::Simulation;
use common::rng::SeededRng;
use std::fmt;
use std::time::Duration;

/// What the quorum does when the second loss happens.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Repair {
    /// A voter that was without power returns and catches up.
    CatchUp,
    /// A voter returned with an empty disk and is added again.
    Wiped,
    /// A voter was permanently lost and is replaced by an empty machine with another address.
    Replacement,
    /// A newly bootstrapped quorum grows to its intended number of voters.
    Growth,
    /// A voter that was down has missed the newest versions, and a voter that has them is permanently lost.
    NewestLeaves,
}

impl Repair {
    /// All repairs.
    pub const ALL: &[Repair] = &[
        Repair::CatchUp,
        Repair::Wiped,
        Repair::Replacement,
        Repair::Growth,
        Repair::NewestLeaves,
    ];
}

impl fmt::Display for Repair {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::CatchUp => "catch-up",
            Self::Wiped => "wiped",
            Self::Replacement => "replacement",
            Self::Growth => "growth",
            Self::NewestLeaves => "newest-leaves",
        })
    }
}

/// A case of a second loss.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct SecondLossCase {
    /// The size of the quorum.
    pub size: QuorumSize,
    /// What the quorum does when the second loss happens.
    pub repair: Repair,
    /// The second loss, if there is one.
    pub second: Option<SecondLoss>,
}

const FIRST_LOSS_AT: Duration = Duration::from_secs(5);
const DOWN_TIME: Duration = Duration::from_secs(2);
/// How long the steps are counted after the first lost voter has returned.
const COUNTING_DURATION: Duration = Duration::from_secs(6);
/// The highest step that a seed chooses for the second loss.
const MAX_SEEDED_STEP: u64 = 600;
/// Combined with the seed of a run, so that the random numbers of the case differ from those of its script.
const CASE_SEED_SALT: u64 = 0x2d105;
const CHANGE_INTERVAL: Duration = Duration::from_millis(250);
const READ_INTERVAL: Duration = Duration::from_millis(400);

impl SecondLossCase {
    /// Returns the case for this seed.
    pub fn seeded(seed: u64) -> Self {
        let mut rng = SeededRng::seeded(seed ^ CASE_SEED_SALT);
        let size = QuorumSize::of_seed(seed);
        let repair = Repair::ALL[rng.below(Repair::ALL.len() as u64) as usize];
        let targets = [Target::Leader, Target::Follower, Target::Victim];
        let target = targets[rng.below(targets.len() as u64) as usize];
        let losses = Self::tolerated_losses(size, repair);
        let loss = losses[rng.below(losses.len() as u64) as usize];
        let step = 1 + rng.below(MAX_SEEDED_STEP);
        Self {
            size,
            repair,
            second: Some(SecondLoss { step, target, loss }),
        }
    }

    /// Returns the kinds of second loss that a quorum tolerates during a repair. Another disk may only be lost while
    /// fewer disks than tolerated are lost or incomplete.
    pub fn tolerated_losses(size: QuorumSize, repair: Repair) -> &'static [Loss] {
        let lost_disks = match repair {
            Repair::CatchUp => 0,
            Repair::Wiped | Repair::Replacement | Repair::Growth => 1,
            // The voter that was down has not caught up, so two disks count as lost already.
            Repair::NewestLeaves => 2,
        };
        if lost_disks < size.tolerance() {
            &[Loss::Killed, Loss::PowerLost, Loss::Wiped, Loss::Replaced]
        } else {
            &[Loss::Killed, Loss::PowerLost]
        }
    }

    /// Returns the plan of this case.
    pub fn plan(&self, seed: u64) -> SimPlan {
        let mut script = ScriptBuilder::seeded(seed);
        let returns_at = FIRST_LOSS_AT + DOWN_TIME;
        let counted_from = self.add_repair(&mut script, returns_at);
        script.at(counted_from, Action::CountSteps);
        let fault_duration = returns_at + COUNTING_DURATION;
        script.repeat(
            Duration::from_secs(1),
            fault_duration,
            CHANGE_INTERVAL,
            |_| Action::Change,
        );
        script.repeat(
            Duration::from_secs(2),
            fault_duration,
            READ_INTERVAL,
            |_| Action::Read(Target::Any),
        );
        let bootstrap_controller_count = if self.repair == Repair::Growth {
            self.size.voters.div_ceil(2)
        } else {
            self.size.voters
        };
        SimPlan {
            bootstrap_controller_count,
            second_loss: self.second,
            ..script.plan(seed, self.size, fault_duration)
        }
    }

    /// Adds the repair to the script, and returns the time from which steps are counted.
    fn add_repair(&self, script: &mut ScriptBuilder, returns_at: Duration) -> Duration {
        let target = script.one_of(&[Target::Leader, Target::Follower]);
        match self.repair {
            Repair::CatchUp => {
                script.at(FIRST_LOSS_AT, Action::Lose(target, Loss::PowerLost));
                script.at(returns_at, Action::Restart);
            }
            Repair::Wiped => {
                script.at(FIRST_LOSS_AT, Action::Lose(target, Loss::Wiped));
                script.at(returns_at, Action::Restart);
            }
            Repair::Replacement => {
                script.at(FIRST_LOSS_AT, Action::Lose(target, Loss::Replaced));
                script.at(returns_at, Action::Restart);
            }
            Repair::Growth => return Duration::ZERO,
            Repair::NewestLeaves => {
                script.at(
                    FIRST_LOSS_AT,
                    Action::Lose(Target::Follower, Loss::PowerLost),
                );
                script.at(returns_at, Action::Restart);
                script.at(returns_at, Action::Lose(target, Loss::Replaced));
                script.at(returns_at + DOWN_TIME, Action::Restart);
            }
        }
        returns_at
    }

    /// Runs this case without its second loss, and returns the number of counted steps of the control plane.
    pub fn steps(&self, seed: u64) -> u64 {
        let case_without_loss = Self {
            second: None,
            ..*self
        };
        Simulation::new(case_without_loss.plan(seed), false)
            .run()
            .steps
    }
}
