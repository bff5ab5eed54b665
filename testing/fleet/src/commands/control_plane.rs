//! Losses of controllers: simulates a second loss at each step of a quorum repair, and measures recovery times.

use super::flags::{RecoveryOptions, SecondLosses};
use fleet::sim::{
    Flaw, QuorumSize, Repair, SCENARIO_DETECTION_CASES, SINGLE_LOSSES, SecondLoss, SecondLossCase,
    SimPlan, Simulation, Spread, Target,
};
use std::process::ExitCode;

/// Returns the cases of a second loss in a quorum of the given size: each repair, target and kind of loss at every
/// `stride`-th step.
fn second_loss_cases(size: QuorumSize, seed: u64, stride: u64) -> Vec<SecondLossCase> {
    let mut cases = Vec::new();
    for repair in Repair::ALL {
        let repair_only_case = SecondLossCase {
            size,
            repair: *repair,
            second: None,
        };
        let steps = repair_only_case.steps(seed);
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
                        ..repair_only_case
                    }
                }));
            }
        }
    }
    cases
}

/// Simulates a second loss at each step of a repair, and prints the cases with violations.
pub(crate) fn simulate_second_losses(options: &SecondLosses) -> ExitCode {
    let Some(flaw) = Flaw::all()
        .into_iter()
        .find(|flaw| flaw.to_string() == options.flaw)
    else {
        eprintln!("fleet: unknown flaw {:?}", options.flaw);
        return ExitCode::from(2);
    };
    let mut total_violating_cases = 0;
    let sizes = QuorumSize::ALL.iter().filter(|size| {
        options
            .machines
            .is_none_or(|machines| machines == size.machines)
    });
    for size in sizes {
        let mut case_count = 0;
        let mut violating_case_count = 0;
        for case in second_loss_cases(*size, options.seed, options.stride) {
            case_count += 1;
            let plan = SimPlan {
                flaw,
                ..case.plan(options.seed)
            };
            let violations = Simulation::new(plan, false).run().violations;
            if let Some(violation) = violations.first() {
                violating_case_count += 1;
                println!("{} {:?}: {violation}", case.repair, case.second);
            }
        }
        println!(
            "{} machines: {case_count} cases, {violating_case_count} with violations",
            size.machines
        );
        total_violating_cases += violating_case_count;
    }
    if total_violating_cases == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    }
}

/// Prints a Markdown table with the violation found when each rule of the control plane is broken, and the first seed
/// that found it. Returns whether a violation was found for every rule.
pub(crate) fn check_scenario_detection(max_seeds: u64) -> bool {
    println!();
    println!("| scenario | broken | seeds to first finding | seen |");
    println!("|---|---|---|---|");
    let mut is_complete = true;
    for case in SCENARIO_DETECTION_CASES {
        let found = case.find(max_seeds);
        is_complete &= found.is_some();
        let (seed, seen) = found.map_or(("none".to_owned(), String::new()), |(seed, seen)| {
            (seed.to_string(), seen)
        });
        println!("| {} | `{}` | {seed} | {seen} |", case.scenario, case.flaw);
    }
    is_complete
}

/// Prints a Markdown table with the times from each single loss to the next completed order and the next session
/// leases.
pub(crate) fn measure_recovery(options: &RecoveryOptions) -> ExitCode {
    let Some(size) = QuorumSize::ALL
        .iter()
        .find(|size| size.machines == options.machines)
    else {
        eprintln!("fleet: --machines must be 3, 5, 6 or 8");
        return ExitCode::from(2);
    };
    println!(
        "| {} machines | seeds | not back in 10 s | order, median | order, worst | first lease, median | first lease, worst | all leases, median | all leases, worst |",
        size.machines
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for single in SINGLE_LOSSES {
        let seeds = options.seed..options.seed + options.count;
        let times: Vec<_> = seeds
            .filter_map(|seed| single.measure(seed, size.machines, size.voters))
            .collect();
        let order = Spread::of(times.iter().map(|time| time.order));
        let first_lease = Spread::of(times.iter().map(|time| time.first_lease));
        let last_lease = Spread::of(times.iter().map(|time| time.last_lease));
        println!(
            "| {} | {} | {} | {order} | {first_lease} | {last_lease} |",
            single.name,
            options.count,
            options.count - times.len() as u64,
        );
    }
    ExitCode::SUCCESS
}
