//! Losses in the control quorum: a second loss at every step of a repair, and recovery times.

use super::flags::{RecoveryOptions, SecondLosses};
use fleet::sim::{
    Flaw, QuorumSize, Repair, SCENARIO_DETECTION_CASES, SINGLE_LOSSES, SecondLoss, SecondLossCase,
    SimPlan, Simulation, Spread, Target,
};
use std::process::ExitCode;

/// The cases of a second loss: each quorum size, repair, target and kind of loss.
fn cases(size: QuorumSize, seed: u64, stride: u64) -> Vec<SecondLossCase> {
    let mut cases = Vec::new();
    for repair in Repair::ALL {
        let quiet_case = SecondLossCase {
            size,
            repair: *repair,
            second: None,
        };
        let steps = quiet_case.steps(seed);
        for target in [Target::Leader, Target::Follower, Target::Victim] {
            for loss in SecondLossCase::tolerated_losses(size, *repair) {
                let steps = (1..=steps).step_by(stride.max(1) as usize);
                cases.extend(steps.map(|step| {
                    let second = Some(SecondLoss {
                        step,
                        target,
                        loss: *loss,
                    });
                    SecondLossCase {
                        second,
                        ..quiet_case
                    }
                }));
            }
        }
    }
    cases
}

/// Simulates a second loss at each step, and prints the cases with violations.
pub(crate) fn lose_second_machines(chosen: &SecondLosses) -> ExitCode {
    let Some(flaw) = Flaw::all()
        .into_iter()
        .find(|flaw| flaw.to_string() == chosen.flaw)
    else {
        eprintln!("fleet: unknown flaw {:?}", chosen.flaw);
        return ExitCode::from(2);
    };
    let mut violation_count = 0;
    let sizes = QuorumSize::ALL.iter().filter(|size| {
        chosen
            .machines
            .is_none_or(|machines| machines == size.machines)
    });
    for size in sizes {
        let mut case_count = 0;
        let mut violating_count = 0;
        for case in cases(*size, chosen.seed, chosen.stride) {
            case_count += 1;
            let plan = SimPlan {
                flaw,
                ..case.plan(chosen.seed)
            };
            let violations = Simulation::new(plan, false).run().violations;
            if let Some(violation) = violations.first() {
                violating_count += 1;
                println!("{} {:?}: {violation}", case.repair, case.second);
            }
        }
        println!(
            "{} machines: {case_count} cases, {violating_count} with breaches",
            size.machines
        );
        violation_count += violating_count;
    }
    if violation_count == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    }
}

/// Prints a Markdown table with the violation that is found without each rule of the control side, and the number of
/// days until then. Returns whether all were found.
pub(crate) fn check_scenario_detection(max_seeds: u64) -> bool {
    println!();
    println!("| scenario | broken | seeds to first finding | seen |");
    println!("|---|---|---|---|");
    let mut is_complete = true;
    for proof in SCENARIO_DETECTION_CASES {
        let found = proof.find(max_seeds);
        is_complete &= found.is_some();
        let (seed, seen) = found.map_or(("none".to_owned(), String::new()), |(seed, seen)| {
            (seed.to_string(), seen)
        });
        println!(
            "| {} | `{}` | {seed} | {seen} |",
            proof.scenario, proof.flaw
        );
    }
    is_complete
}

/// Prints a Markdown table with the times from each single loss to the next order and session leases.
pub(crate) fn measure_recovery(chosen: &RecoveryOptions) -> ExitCode {
    let Some(size) = QuorumSize::ALL
        .iter()
        .find(|size| size.machines == chosen.machines)
    else {
        eprintln!("fleet: there are quorums of 3, 5, 6 and 8 machines");
        return ExitCode::from(2);
    };
    println!(
        "| {} machines | seeds | not back in 10 s | order, median | order, worst | first lease, median | first lease, worst | all leases, median | all leases, worst |",
        size.machines
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for single in SINGLE_LOSSES {
        let seeds = chosen.seed..chosen.seed + chosen.count;
        let times: Vec<_> = seeds
            .filter_map(|seed| single.measure(seed, size.machines, size.voters))
            .collect();
        let order = Spread::of(times.iter().map(|time| time.order));
        let first_lease = Spread::of(times.iter().map(|time| time.first_lease));
        let last_lease = Spread::of(times.iter().map(|time| time.last_lease));
        println!(
            "| {} | {} | {} | {order} | {first_lease} | {last_lease} |",
            single.name,
            chosen.count,
            chosen.count - times.len() as u64,
        );
    }
    ExitCode::SUCCESS
}
