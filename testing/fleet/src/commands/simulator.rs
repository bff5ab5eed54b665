//! Runs simulations with many seeds, and the detection cases of safety rules.

use super::control_plane::check_scenario_detection;
use super::flags::{DetectionOptions, Sim};
use fleet::sim::{
    DETECTION_CASES, Flaw, RunDigest, SEEDS_TO_FIND, Scenario, SimFault, SimPlan, Simulation,
};
use std::process::ExitCode;
use std::time::Duration;

/// Prints a Markdown table with the violation found when each rule is broken, and the first seed that found it.
pub(crate) fn check_detection(options: &DetectionOptions) -> ExitCode {
    let mut is_complete = true;
    println!(
        "| point | broken | faults | seeds to first finding | seen | checks with all rules kept | breaches |"
    );
    println!("|---|---|---|---|---|---|---|");
    for case in DETECTION_CASES {
        let result = case.run(options.seeds.unwrap_or(case.max_seeds));
        let faults: Vec<String> = case.faults.iter().map(SimFault::to_string).collect();
        let (seed, seen) = match &result.found {
            Some((seed, seen)) => (seed.to_string(), seen.clone()),
            None => ("none".to_owned(), String::new()),
        };
        println!(
            "| {} | `{}` | {} | {seed} | {seen} | {} | {} |",
            case.property,
            case.flaw,
            faults.join(", "),
            result.checked,
            result.baseline_violations.len()
        );
        result
            .baseline_violations
            .iter()
            .take(3)
            .for_each(|violation| eprintln!("{violation}"));
        is_complete &= result.found.is_some() && result.baseline_violations.is_empty();
    }
    is_complete &= check_scenario_detection(options.seeds.unwrap_or(SEEDS_TO_FIND));
    if is_complete {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    }
}

/// Runs a simulation for each seed and prints the results.
pub(crate) fn simulate(sim: &Sim) -> ExitCode {
    let create_plan = match plan_factory(sim) {
        Ok(create_plan) => create_plan,
        Err(error) => {
            eprintln!("fleet: {error}");
            return ExitCode::from(2);
        }
    };
    let mut violating_seeds = Vec::new();
    let mut unrecovered_seeds = Vec::new();
    let mut run_digest = RunDigest::default();
    for seed in sim.seed..sim.seed + sim.count {
        let plan = create_plan(seed);
        let is_scripted = plan.checks_script_end;
        let sim_result = Simulation::new(plan, sim.trace).run();
        sim_result.trace.iter().for_each(|line| println!("{line}"));
        let simulation_digest = run_digest.add(&sim_result);
        if sim.digest {
            println!("seed {seed}: digest {simulation_digest}");
        } else {
            println!("seed {seed}: {sim_result}");
        }
        for violation in sim_result.violations.iter().take(5) {
            println!("    {violation}");
        }
        if !sim_result.violations.is_empty() {
            violating_seeds.push(seed);
        } else if sim_result.settled_answer_share < 0.5 && !is_scripted {
            unrecovered_seeds.push(seed);
        }
    }
    if sim.digest {
        println!("{} seeds: digest {}", sim.count, run_digest.finish());
    }
    println!(
        "{} seeds: {} with breaches {violating_seeds:?}, {} not back in service {unrecovered_seeds:?}",
        sim.count,
        violating_seeds.len(),
        unrecovered_seeds.len()
    );
    if violating_seeds.is_empty() && unrecovered_seeds.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    }
}

/// Why the requested simulation runs cannot be planned.
#[derive(Debug, thiserror::Error)]
enum PlanError {
    #[error("unknown flaw {0:?}; there are: {known}", known = joined_names(&Flaw::all()))]
    Flaw(String),
    #[error("unknown fault {0:?}; there are: {known}", known = joined_names(SimFault::ALL))]
    Fault(String),
    #[error("unknown scenario {0:?}; there are: {known}", known = joined_names(Scenario::ALL))]
    Scenario(String),
}

fn joined_names(names: &[impl ToString]) -> String {
    let names: Vec<String> = names.iter().map(ToString::to_string).collect();
    names.join(", ")
}

/// Returns a function that creates the plan of a simulation run from its seed.
fn plan_factory(sim: &Sim) -> Result<Box<dyn Fn(u64) -> SimPlan>, PlanError> {
    let flaw = Flaw::all()
        .into_iter()
        .find(|flaw| flaw.to_string() == sim.flaw)
        .ok_or_else(|| PlanError::Flaw(sim.flaw.clone()))?;
    if !sim.scenario.is_empty() {
        let scenario = Scenario::by_name(&sim.scenario)
            .ok_or_else(|| PlanError::Scenario(sim.scenario.clone()))?;
        return Ok(Box::new(move |seed| SimPlan {
            flaw,
            ..scenario.plan(seed)
        }));
    }
    let names = sim.faults.split(',').filter(|name| !name.is_empty());
    let fault_kinds = names
        .map(|name| SimFault::by_name(name).ok_or_else(|| PlanError::Fault(name.to_owned())))
        .collect::<Result<Vec<SimFault>, PlanError>>()?;
    let (fault_duration, max_fault_interval) = (
        Duration::from_secs(sim.lasts),
        Duration::from_millis(sim.gap_ms.max(400)),
    );
    let (daemons, has_faults) = (sim.daemons, !sim.calm);
    let (has_numbered_orders, max_order_interval) =
        (sim.orders, Duration::from_millis(sim.order_gap_ms));
    Ok(Box::new(move |seed| SimPlan {
        flaw,
        fault_duration,
        daemons,
        has_faults,
        fault_kinds: fault_kinds.clone(),
        max_fault_interval,
        has_numbered_orders,
        max_order_interval,
        ..SimPlan::seeded(seed)
    }))
}
