//! Scenarios for the control plane: scripts of timed losses, partitions, orders and reads.

mod cut_off;
mod detection_cases;
mod many_changes;
mod power_loss;
mod second_loss;

pub use detection_cases::{SCENARIO_DETECTION_CASES, SEEDS_TO_FIND, ScenarioDetectionCase};
pub use second_loss::{Repair, SecondLossCase};

use super::plan::SimPlan;
use super::script::{Action, Target};
use common::rng::SeededRng;
use std::fmt;
use std::time::Duration;

/// A kind of scripted run.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Scenario {
    /// A controller is partitioned for 20 s, with orders and reads on both sides.
    Isolation,
    /// A second loss happens while the quorum is repaired, replaces a voter or grows.
    SecondLoss,
    /// Hundreds of changes, with voters down for many of them.
    ManyChanges,
    /// All machines lose power right after an acknowledgement, and again soon after.
    PowerLoss,
}

/// The number of machines with a disk in a deployment, and the number of voters among them.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct QuorumSize {
    /// The number of machines with a disk.
    pub machines: usize,
    /// The number of voters.
    pub voters: usize,
}

impl QuorumSize {
    /// The sizes of the deployments: three machines tolerate the loss of one, the others that of two.
    pub const ALL: &[QuorumSize] = &[
        QuorumSize {
            machines: 3,
            voters: 3,
        },
        QuorumSize {
            machines: 5,
            voters: 5,
        },
        QuorumSize {
            machines: 6,
            voters: 5,
        },
        QuorumSize {
            machines: 8,
            voters: 5,
        },
    ];

    /// Returns the size for this seed.
    pub fn of_seed(seed: u64) -> Self {
        Self::ALL[(seed % Self::ALL.len() as u64) as usize]
    }

    /// Returns the number of machines whose simultaneous loss is tolerated.
    pub fn tolerance(self) -> usize {
        (self.voters - 1) / 2
    }
}

/// How long a scripted run continues after its faults.
const SETTLING_TIME: Duration = Duration::from_secs(14);
/// The mean interval of operators' reads, and that of their changes, after the faults.
const SETTLING_INTERVAL: Duration = Duration::from_millis(700);
/// Combined with the seed of a run, so that the script's random numbers differ from those of the simulation.
const SCRIPT_SEED_SALT: u64 = 0x5c71;

impl Scenario {
    /// All scenarios.
    pub const ALL: &[Scenario] = &[
        Scenario::Isolation,
        Scenario::SecondLoss,
        Scenario::ManyChanges,
        Scenario::PowerLoss,
    ];

    /// Returns the scenario with this name.
    pub fn by_name(name: &str) -> Option<Scenario> {
        Self::ALL
            .iter()
            .copied()
            .find(|scenario| scenario.to_string() == name)
    }

    /// Returns the plan of a run with this seed.
    pub fn plan(self, seed: u64) -> SimPlan {
        match self {
            Self::Isolation => cut_off::plan(seed),
            Self::SecondLoss => SecondLossCase::seeded(seed).plan(seed),
            Self::ManyChanges => many_changes::plan(seed),
            Self::PowerLoss => power_loss::plan(seed),
        }
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::Isolation => "cut-off",
            Self::SecondLoss => "second-loss",
            Self::ManyChanges => "many-changes",
            Self::PowerLoss => "power-loss",
        })
    }
}

/// Builds a script with its own random number generator.
struct ScriptBuilder {
    rng: SeededRng,
    actions: Vec<(Duration, Action)>,
}

impl ScriptBuilder {
    fn seeded(seed: u64) -> Self {
        Self {
            rng: SeededRng::seeded(seed ^ SCRIPT_SEED_SALT),
            actions: Vec::new(),
        }
    }

    /// Adds an action that is due this long after the start of the run.
    fn at(&mut self, due_after: Duration, action: Action) {
        self.actions.push((due_after, action));
    }

    /// Adds actions between two times since the start of the run, at random intervals with this mean.
    fn repeat(
        &mut self,
        from: Duration,
        until: Duration,
        mean_interval: Duration,
        mut action: impl FnMut(&mut SeededRng) -> Action,
    ) {
        let mut due_after = from;
        while due_after < until {
            let next_action = action(&mut self.rng);
            self.at(due_after, next_action);
            due_after += self.rng.within(mean_interval / 2, mean_interval * 3 / 2);
        }
    }

    /// Chooses one of these values at random; values that are listed twice are chosen twice as often.
    fn one_of<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.rng.below(choices.len() as u64) as usize]
    }

    /// Builds the plan. Changes and reads continue after the faults, until the end of the run.
    fn plan(mut self, seed: u64, size: QuorumSize, fault_duration: Duration) -> SimPlan {
        let until = fault_duration + SETTLING_TIME;
        self.repeat(fault_duration, until, SETTLING_INTERVAL, |_| Action::Change);
        self.repeat(fault_duration, until, SETTLING_INTERVAL, |_| {
            Action::Read(Target::Any)
        });
        SimPlan {
            script: self.actions,
            controllers: size.machines,
            voters: size.voters,
            daemons: 2,
            rate: 2.0,
            has_faults: false,
            has_changes: false,
            checks_script_end: true,
            fault_duration,
            settling_time: SETTLING_TIME,
            ..SimPlan::seeded(seed)
        }
    }
}
