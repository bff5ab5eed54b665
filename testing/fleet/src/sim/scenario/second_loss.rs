//! Another loss at one step of a repair, a replacement or a growth of the quorum.

use super::{QuorumSize, ScriptBuilder};
use crate::sim::plan::SimPlan;
use crate::sim::script::{Action, Loss, SecondLoss, Target};
use crate::sim::simulation::Simulation;
use common::rng::SeededRng;
use std::fmt;
use std::time::Duration;

/// What the quorum is at when the second loss falls.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Repair {
    /// A voter that was without power returns and catches up.
    CatchUp,
    /// A voter returned with an empty disk, and is taken in anew.
    Wiped,
    /// A voter was lost for good, and an empty machine at another address takes its place.
    Replacement,
    /// The voters of a newly founded quorum become as many as they are to be.
    Growth,
    /// A member that was away has missed the newest versions; one that has them leaves for good.
    NewestLeaves,
}

impl Repair {
    /// Every repair.
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

/// One place for a second loss.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct SecondLossCase {
    /// The quorum.
    pub size: QuorumSize,
    /// What it is at.
    pub repair: Repair,
    /// The second loss, if there is one.
    pub second: Option<SecondLoss>,
}

const FIRST_LOSS_AT: Duration = Duration::from_secs(5);
const AWAY_FOR: Duration = Duration::from_secs(2);
/// How long after the return of the first lost member steps are counted.
const COUNTED_FOR: Duration = Duration::from_secs(6);
/// The most steps among which a seed chooses.
const SEEDED_STEPS: u64 = 600;
const CHANGE_INTERVAL: Duration = Duration::from_millis(250);
const READ_INTERVAL: Duration = Duration::from_millis(400);

impl SecondLossCase {
    /// The case of a seed.
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

    /// The second losses that a quorum bears while a repair goes on: of a disk only while fewer disks
    /// than it bears are lost or not yet filled.
    pub fn tolerated_losses(size: QuorumSize, repair: Repair) -> &'static [Loss] {
        let lost_disks = match repair {
            Repair::CatchUp => 0,
            Repair::Wiped | Repair::Replacement | Repair::Growth => 1,
            // The one that was away has not caught up, and so two are lost already.
            Repair::NewestLeaves => 2,
        };
        if lost_disks < size.tolerance() {
            &[Loss::Killed, Loss::PowerLost, Loss::Wiped, Loss::Replaced]
        } else {
            &[Loss::Killed, Loss::PowerLost]
        }
    }

    /// The day of this case.
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

    /// What the quorum is at, and from when on its steps are counted.
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

    /// How many steps the control side takes in this case, without a second loss.
    pub fn steps(&self, seed: u64) -> u64 {
        let quiet_case = Self {
            second: None,
            ..*self
        };
        Simulation::new(quiet_case.plan(seed), false).run().steps
    }
}
