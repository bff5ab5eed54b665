//! Detection cases of the control plane: flaws that the checks must find in scripted runs.

use super::Scenario;
use crate::sim::flaw::Flaw;
use crate::sim::plan::SimPlan;
use crate::sim::simulation::Simulation;
use common::rules::Rule;
use std::fmt;

/// A flaw and the scenario that exposes it.
pub struct ScenarioDetectionCase {
    /// The scenario.
    pub scenario: Scenario,
    /// The flaw that is introduced.
    pub flaw: Flaw,
    /// A part of the expected violation's message.
    pub expected_violation: &'static str,
}

/// The number of seeds within which a flaw must be found.
pub const SEEDS_TO_FIND: u64 = 50;

impl ScenarioDetectionCase {
    /// Returns the first seed with which the flaw is found, and the violation.
    pub fn find(&self, max_seeds: u64) -> Option<(u64, String)> {
        (1..=max_seeds).find_map(|seed| {
            let plan = SimPlan {
                flaw: self.flaw,
                ..self.scenario.plan(seed)
            };
            let violations = Simulation::new(plan, false).run().violations;
            let violation = violations
                .into_iter()
                .find(|violation| violation.what.contains(self.expected_violation))?;
            Some((seed, violation.what))
        })
    }
}

impl fmt::Display for ScenarioDetectionCase {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{} ({})", self.scenario, self.flaw)
    }
}

const fn case_without_rule(
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

/// The detection cases with scripted runs.
pub const SCENARIO_DETECTION_CASES: &[ScenarioDetectionCase] = &[
    case_without_rule(Scenario::Isolation, Rule::ReadConfirmedByMajority, "reads"),
    case_without_rule(Scenario::Isolation, Rule::LeaderHintIsRecent, "names"),
    case_without_rule(
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
