//! Detection cases of the control side: flaws that scripted days must find.

use super::Scenario;
use crate::sim::flaw::Flaw;
use crate::sim::plan::SimPlan;
use crate::sim::simulation::Simulation;
use common::rules::Rule;
use std::fmt;

/// A detection case: a flaw, and the scenario that exposes it.
pub struct ScenarioDetectionCase {
    /// The scenario.
    pub scenario: Scenario,
    /// The flaw that is introduced.
    pub flaw: Flaw,
    /// The text of the expected violation.
    pub expected_violation: &'static str,
}

/// The number of seeds after which a flaw must have been found.
pub const SEEDS_TO_FIND: u64 = 50;

impl ScenarioDetectionCase {
    /// The first seed whose day finds the flaw, and the violation.
    pub fn find(&self, max_seeds: u64) -> Option<(u64, String)> {
        (1..=max_seeds).find_map(|seed| {
            let plan = SimPlan {
                flaw: self.flaw,
                ..self.scenario.plan(seed)
            };
            let violations = Simulation::new(plan, false).run().violations;
            let seen = violations
                .into_iter()
                .find(|violation| violation.what.contains(self.expected_violation))?;
            Some((seed, seen.what))
        })
    }
}

impl fmt::Display for ScenarioDetectionCase {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{} ({})", self.scenario, self.flaw)
    }
}

const fn rule(
    scenario: Scenario,
    rule: Rule,
    expected_violation: &'static str,
) -> ScenarioDetectionCase {
    ScenarioDetectionCase {
        scenario,
        flaw: Flaw::Without(rule),
        expected_violation,
    }
}

const fn case_with_flaw(
    scenario: Scenario,
    flaw: Flaw,
    expected_violation: &'static str,
) -> ScenarioDetectionCase {
    ScenarioDetectionCase {
        scenario,
        flaw,
        expected_violation,
    }
}

/// The detection cases by scripted days.
pub const SCENARIO_DETECTION_CASES: &[ScenarioDetectionCase] = &[
    rule(Scenario::Isolation, Rule::ReadConfirmedByMajority, "reads"),
    rule(Scenario::Isolation, Rule::LeaderHintIsRecent, "names"),
    rule(
        Scenario::Isolation,
        Rule::StaleBaseRejected,
        "both accepted",
    ),
    case_with_flaw(
        Scenario::Isolation,
        Flaw::QuorumOfOne,
        "acknowledged before",
    ),
    case_with_flaw(Scenario::SecondLoss, Flaw::QuorumOfOne, "commit was lost"),
    case_with_flaw(
        Scenario::PowerLoss,
        Flaw::SyncSkipped,
        "acknowledged before",
    ),
];
