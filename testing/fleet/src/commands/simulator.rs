//! Simulated days over many seeds, and the proofs that each safety rule is needed.

use super::flags::{Proofs, Sim};
use fleet::sim::{Flaw, PROOFS, SimFault, SimPlan, World};
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
    if is_whole { ExitCode::SUCCESS } else { ExitCode::from(1) }
}

pub fn simulate(sim: &Sim) -> ExitCode {
    let Some(flaw) = Flaw::all().into_iter().find(|flaw| flaw.to_string() == sim.flaw) else {
        let names: Vec<String> = Flaw::all().iter().map(Flaw::to_string).collect();
        eprintln!("fleet: unknown flaw {:?}; there are: {}", sim.flaw, names.join(", "));
        return ExitCode::from(2);
    };
    let mut focus = Vec::new();
    for name in sim.faults.split(',').filter(|name| !name.is_empty()) {
        let Some(fault) = SimFault::named(name) else {
            let names: Vec<String> = SimFault::ALL.iter().map(SimFault::to_string).collect();
            eprintln!("fleet: unknown fault {name:?}; there are: {}", names.join(", "));
            return ExitCode::from(2);
        };
        focus.push(fault);
    }
    let mut bad_seeds = Vec::new();
    let mut weak_seeds = Vec::new();
    for seed in sim.seed..sim.seed + sim.count {
        let plan = SimPlan {
            flaw,
            lasts: Duration::from_secs(sim.lasts),
            daemons: sim.daemons,
            has_faults: !sim.calm,
            focus: focus.clone(),
            gap: Duration::from_millis(sim.gap_ms.max(400)),
            ..SimPlan::seeded(seed)
        };
        let sim_end = World::new(plan, sim.trace).run();
        sim_end.trace.iter().for_each(|line| println!("{line}"));
        println!("seed {seed}: {sim_end}");
        for breach in sim_end.breaches.iter().take(5) {
            println!("    {breach}");
        }
        if !sim_end.breaches.is_empty() {
            bad_seeds.push(seed);
        } else if sim_end.share_after < 0.5 {
            weak_seeds.push(seed);
        }
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
