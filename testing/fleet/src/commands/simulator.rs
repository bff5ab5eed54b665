//! Simulated days over many seeds, and the proofs that each safety rule is needed.

use super::control_side::prove_scenarios;
use super::flags::{Proofs, Sim};
use fleet::sim::{Flaw, PROOFS, RunDigest, SEEDS_TO_FIND, Scenario, SimFault, SimPlan, World};
use std::fmt;
use std::process::ExitCode;
use std::time::Duration;

/// Prints a table in Markdown: for each rule what is seen without it, and how soon.
pub fn prove(proofs: &Proofs) -> ExitCode {
    let mut is_whole = true;
    println!(
        "| point | broken | faults | seeds to first finding | seen | checks with all rules kept | breaches |"
    );
    println!("|---|---|---|---|---|---|---|");
    for proof in PROOFS {
        let end = proof.run(proofs.seeds.unwrap_or(proof.seeds));
        let faults: Vec<String> = proof.faults.iter().map(SimFault::to_string).collect();
        let (seed, seen) = match &end.found {
            Some((seed, seen)) => (seed.to_string(), seen.clone()),
            None => ("none".to_owned(), String::new()),
        };
        println!(
            "| {} | `{}` | {} | {seed} | {seen} | {} | {} |",
            proof.point,
            proof.flaw,
            faults.join(", "),
            end.looked,
            end.kept_breaches.len()
        );
        end.kept_breaches.iter().take(3).for_each(|breach| eprintln!("{breach}"));
        is_whole &= end.found.is_some() && end.kept_breaches.is_empty();
    }
    is_whole &= prove_scenarios(proofs.seeds.unwrap_or(SEEDS_TO_FIND));
    if is_whole { ExitCode::SUCCESS } else { ExitCode::from(1) }
}

/// Runs the days of the seeds and prints how each ended.
pub fn simulate(sim: &Sim) -> ExitCode {
    let plan_of = match plans(sim) {
        Ok(plan_of) => plan_of,
        Err(fault) => {
            eprintln!("fleet: {fault}");
            return ExitCode::from(2);
        }
    };
    let mut bad_seeds = Vec::new();
    let mut weak_seeds = Vec::new();
    let mut run_digest = RunDigest::default();
    for seed in sim.seed..sim.seed + sim.count {
        let plan = plan_of(seed);
        let is_scripted = plan.judges_script;
        let sim_end = World::new(plan, sim.trace).run();
        sim_end.trace.iter().for_each(|line| println!("{line}"));
        let day_digest = run_digest.add(&sim_end);
        if sim.digest {
            println!("seed {seed}: digest {day_digest}");
        } else {
            println!("seed {seed}: {sim_end}");
        }
        for breach in sim_end.breaches.iter().take(5) {
            println!("    {breach}");
        }
        if !sim_end.breaches.is_empty() {
            bad_seeds.push(seed);
        } else if sim_end.share_after < 0.5 && !is_scripted {
            weak_seeds.push(seed);
        }
    }
    if sim.digest {
        println!("{} seeds: digest {}", sim.count, run_digest.finish());
    }
    println!(
        "{} seeds: {} with breaches {bad_seeds:?}, {} not back in service {weak_seeds:?}",
        sim.count,
        bad_seeds.len(),
        weak_seeds.len()
    );
    if bad_seeds.is_empty() && weak_seeds.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    }
}

/// Why there are no days to run.
enum PlanFault {
    Flaw(String),
    Fault(String),
    Scenario(String),
}

impl fmt::Display for PlanFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (kind, given, known): (_, _, Vec<String>) = match self {
            Self::Flaw(given) => ("flaw", given, Flaw::all().iter().map(Flaw::to_string).collect()),
            Self::Fault(given) => {
                ("fault", given, SimFault::ALL.iter().map(SimFault::to_string).collect())
            }
            Self::Scenario(given) => {
                ("scenario", given, Scenario::ALL.iter().map(Scenario::to_string).collect())
            }
        };
        write!(out, "unknown {kind} {given:?}; there are: {}", known.join(", "))
    }
}

/// What makes the day of each seed.
fn plans(sim: &Sim) -> Result<Box<dyn Fn(u64) -> SimPlan>, PlanFault> {
    let flaw = Flaw::all()
        .into_iter()
        .find(|flaw| flaw.to_string() == sim.flaw)
        .ok_or_else(|| PlanFault::Flaw(sim.flaw.clone()))?;
    if !sim.scenario.is_empty() {
        let scenario = Scenario::named(&sim.scenario)
            .ok_or_else(|| PlanFault::Scenario(sim.scenario.clone()))?;
        return Ok(Box::new(move |seed| SimPlan { flaw, ..scenario.plan(seed) }));
    }
    let names = sim.faults.split(',').filter(|name| !name.is_empty());
    let focus = names
        .map(|name| SimFault::named(name).ok_or_else(|| PlanFault::Fault(name.to_owned())))
        .collect::<Result<Vec<SimFault>, PlanFault>>()?;
    let (lasts, gap) = (Duration::from_secs(sim.lasts), Duration::from_millis(sim.gap_ms.max(400)));
    let (daemons, has_faults) = (sim.daemons, !sim.calm);
    let (numbers_orders, order_gap) = (sim.orders, Duration::from_millis(sim.order_gap_ms));
    Ok(Box::new(move |seed| SimPlan {
        flaw,
        lasts,
        daemons,
        has_faults,
        focus: focus.clone(),
        gap,
        numbers_orders,
        order_gap,
        ..SimPlan::seeded(seed)
    }))
}
