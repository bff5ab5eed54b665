//! Simulated runs that must not have violations.

use fleet::sim::{SimPlan, SimResult, Simulation};
use googletest::prelude::*;

/// Performs a simulated run and verifies that it violated no safety check. Returns its result.
pub(crate) fn verify_clean(plan: SimPlan) -> Result<SimResult> {
    let seed = plan.seed;
    let sim_result = Simulation::new(plan, false).run();
    let violations: Vec<String> = sim_result
        .violations
        .iter()
        .map(ToString::to_string)
        .collect();
    verify_that!(violations, is_empty()).with_failure_message(|| format!("seed {seed}"))?;
    Ok(sim_result)
}
