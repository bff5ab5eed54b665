//! Scenario: a second loss at one step of a repair, a replacement or a growth of the quorum.

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
    /// A voter was lost for good and is replaced by an empty machine with another address.
    Replacement,
    /// A newly bootstrapped quorum grows to its intended number of voters.
    Growth,
    /// A voter that was down has missed the newest versions, and one that has them is lost for good.
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

/// One case of a second loss.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct SecondLossCase {
    /// The size of the quorum.
    pub size: QuorumSize,
    /// What the quorum does.
    pub repair: Repair,
    /// The second loss, if there is one.
    pub second: Option<SecondLoss>,
}

const FIRST_LOSS_AT: Duration = Duration::from_secs(5);
const AWAY_FOR: Duration = Duration::from_secs(2);
/// How long after the return of the first lost voter the steps are counted.
const COUNTED_FOR: Duration = Duration::from_secs(6);
/// The largest number of steps from which a seed chooses.
const SEEDED_STEPS: u64 = 600;
const CHANGE_INTERVAL: Duration = Duration::from_millis(250);
const READ_INTERVAL: Duration = Duration::from_millis(400);

impl SecondLossCase {
    /// The case with this seed.
    pub fn seeded(seed: u64) -> Self {
        let mut rng = SeededRng::seeded(seed ^ 0x2d105);
        let size = QuorumSize::of_seed(seed);
        let repair = Repair::ALL[rng.below(Repair::ALL.len() as u64) as usize];
        let targets = [Target::Leader, Target::Follower, Target::Victim];
        let target = targets[rng.below(targets.len() as u64) as usize];
        let losses = Self::tolerated_losses(size, repair);
        let loss = losses[rng.below(losses.len() as u64) as usize];
        let step = 1 + rng.below(SEEDED_STEPS);
        Self {
            size,
            repair,
            second: Some(SecondLoss { step, target, loss }),
        }
    }

    /// The second losses that a quorum tolerates during a repair: a disk may only be lost while fewer disks than it
    /// tolerates are lost or incomplete.
    pub fn tolerated_losses(size: QuorumSize, repair: Repair) -> &'static [Loss] {
        let lost_disks = match repair {
            Repair::CatchUp => 0,
            Repair::Wiped | Repair::Replacement | Repair::Growth => 1,
            // The voter that was down has not caught up, so two are lost already.
            Repair::NewestLeaves => 2,
        };
        if lost_disks < size.tolerance() {
            &[Loss::Killed, Loss::PowerLost, Loss::Wiped, Loss::Replaced]
        } else {
            &[Loss::Killed, Loss::PowerLost]
        }
    }

    /// The plan of this case.
    pub fn plan(&self, seed: u64) -> SimPlan {
        let mut script = ScriptBuilder::seeded(seed);
        let returns_at = FIRST_LOSS_AT + AWAY_FOR;
        let counted_from = self.add_repair(&mut script, returns_at);
        script.at(counted_from, Action::CountSteps);
        let lasts = returns_at + COUNTED_FOR;
        script.repeat(Duration::from_secs(1), lasts, CHANGE_INTERVAL, |_| {
            Action::Change
        });
        script.repeat(Duration::from_secs(2), lasts, READ_INTERVAL, |_| {
            Action::Read(Target::Any)
        });
        let founders = if self.repair == Repair::Growth {
            self.size.voters.div_ceil(2)
        } else {
            self.size.voters
        };
        SimPlan {
            founders,
            second_loss: self.second,
            ..script.plan(seed, self.size, lasts)
        }
    }

    /// Adds the repair to the script; returns from when on steps are counted.
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
                script.at(returns_at + AWAY_FOR, Action::Restart);
            }
        }
        returns_at
    }

    /// The number of steps of the control side in this case without a second loss.
    pub fn steps(&self, seed: u64) -> u64 {
        let quiet_case = Self {
            second: None,
            ..*self
        };
        Simulation::new(quiet_case.plan(seed), false).run().steps
    }
}
