//! Runs test days, judges their records, and summarizes several days in a table.

use super::flags::Run;
use common::rules::Rule;
use eyre::{WrapErr, eyre};
use fleet::days::{Day, Deployment, FaultName, run_day};
use fleet::judge::{Evidence, EvidenceError, Recovery, Verdict, judge};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Why a day cannot be run as requested.
#[derive(Debug, thiserror::Error)]
pub(crate) enum DayError {
    /// There is no deployment with this name.
    #[error("unknown deployment {0:?}; there are: stezka, tintwell, small")]
    Deployment(String),
    /// There is no fault with this name.
    #[error("unknown fault {0:?}; there are: random, {known}", known = fault_names())]
    Fault(String),
    /// There is no rule with this name.
    #[error("unknown rule {0:?}; there are: {known}", known = rule_names())]
    Rule(String),
    /// A folder cannot be determined.
    #[error(transparent)]
    Folder(std::io::Error),
}

fn fault_names() -> String {
    let names: Vec<&str> = FaultName::ALL.iter().map(|fault| fault.as_str()).collect();
    names.join(", ")
}

fn rule_names() -> String {
    let names: Vec<String> = Rule::ALL.iter().map(Rule::to_string).collect();
    names.join(", ")
}

/// Reads the settings of a day from the command line.
pub(crate) fn read_day(run: &Run) -> Result<Day, DayError> {
    let deployment = Deployment::by_name(&run.deployment)
        .ok_or_else(|| DayError::Deployment(run.deployment.clone()))?;
    let mut faults = Vec::new();
    for name in run.faults.split(',').filter(|name| !name.is_empty()) {
        if name == "random" {
            faults.extend(FaultName::random_faults(run.seed));
        } else {
            let fault = FaultName::by_name(name);
            faults.push(fault.ok_or_else(|| DayError::Fault(name.to_owned()))?);
        }
    }
    let disabled_rule = match &run.without {
        Some(name) => Some(Rule::by_name(name).ok_or_else(|| DayError::Rule(name.to_owned()))?),
        None => None,
    };
    let own_path = std::env::current_exe().map_err(DayError::Folder)?;
    let programs = own_path.parent().map(Path::to_owned).unwrap_or_default();
    let folder = std::path::absolute(&run.folder).map_err(DayError::Folder)?;
    Ok(Day {
        deployment,
        seed: run.seed,
        faults,
        gap: Duration::from_secs(run.gap),
        duration: Duration::from_secs(run.lasts),
        folder,
        programs,
        rate: run.rate,
        disabled_rule,
        daemons: run.daemons,
    })
}

/// Prints a verdict. The exit code is 1 unless the verdict is clean.
pub(crate) fn print_verdict(verdict: &Verdict) -> ExitCode {
    print!("{verdict}");
    let violation_count = verdict.violation_count();
    println!("violations: {violation_count}");
    if verdict.is_clean() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    }
}

/// Prints a Markdown table with the number of occurrences, shares of outcomes and recovery times of each fault.
pub(crate) fn print_fault_table(folders: &[PathBuf]) -> Result<ExitCode, EvidenceError> {
    let mut by_fault: BTreeMap<String, Vec<Recovery>> = BTreeMap::new();
    let mut violation_count = 0;
    for folder in folders {
        let verdict = judge(&Evidence::read(folder)?);
        violation_count += verdict.violation_count();
        for recovery in verdict.statistics.recoveries {
            by_fault
                .entry(recovery.fault.clone())
                .or_default()
                .push(recovery);
        }
    }
    println!(
        "| fault | runs | not run | unknown | worst half second | down, median | down, worst | after return, worst |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for (fault, runs) in by_fault {
        let calls: usize = runs.iter().map(|run| run.calls).sum();
        let share = |part: fn(&Recovery) -> f64| {
            let weighted: f64 = runs.iter().map(|run| part(run) * run.calls as f64).sum();
            weighted / calls.max(1) as f64 * 100.0
        };
        let mut down: Vec<u64> = runs.iter().map(|run| run.down_ms).collect();
        down.sort_unstable();
        let worst_share = runs.iter().map(|run| run.worst_share).fold(1.0, f64::min) * 100.0;
        let after_return = runs
            .iter()
            .map(|run| run.after_return_ms)
            .max()
            .unwrap_or(0);
        println!(
            "| {fault} | {} | {:.2} % | {:.2} % | {worst_share:.0} % | {} ms | {} ms | {after_return} ms |",
            runs.len(),
            share(|run| run.not_run),
            share(|run| run.unknown),
            down[down.len() / 2],
            down[down.len() - 1],
        );
    }
    println!("\nviolations in {} days: {violation_count}", folders.len());
    Ok(if violation_count == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    })
}

/// Runs a day and prints the verdict. The folder is deleted first if it holds an earlier day.
pub(crate) fn run_and_judge(day: &Day) -> eyre::Result<ExitCode> {
    if day.folder.join("journal.jsonl").exists() {
        std::fs::remove_dir_all(&day.folder).wrap_err("cannot delete the earlier day")?;
    }
    let runtime = common::command_line::runtime(4)?;
    let day_result = runtime
        .block_on(run_day(day))
        .map_err(|error| eyre!("{error}"))?;
    Ok(print_verdict(&day_result.verdict))
}
