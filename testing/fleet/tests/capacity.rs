//! Tests that the capacity page agrees with the recorded runs, and that invalid sizes are rejected.

use fleet::synthetic::page::{LinearModel, Predictor, Run, read_runs, render_page, tables};
use fleet::synthetic::{SyntheticFleet, SyntheticSize};
use googletest::prelude::*;
use serde_json::json;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Duration;

fn documents() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

fn run(arguments: &[&str]) -> Result<Output> {
    Ok(Command::new(env!("CARGO_BIN_EXE_fleet"))
        .args(arguments)
        .output()?)
}

#[gtest]
fn the_capacity_page_is_rendered_from_the_recorded_runs() -> Result<()> {
    let page_path = documents().join("CAPACITY.md");
    let runs = read_runs(&documents().join("capacity/runs"))?;
    let rendered_page = render_page(&page_path, &runs)?;
    let page = std::fs::read_to_string(&page_path)?;
    verify_that!(page == rendered_page, eq(true))
        .with_failure_message(|| "run: fleet capacity --from docs/capacity".to_owned())?;
    verify_that!(tables(&runs).len(), eq(8))
}

#[gtest]
fn a_linear_fit_recovers_its_slopes() -> Result<()> {
    let sizes = [
        (50.0, 200.0),
        (100.0, 200.0),
        (200.0, 5000.0),
        (740.0, 15000.0),
    ];
    let runs: Vec<Run> = sizes
        .iter()
        .map(|(daemons, functions)| Run::from(json!({"daemons": daemons, "functions": functions})))
        .collect();
    let points: Vec<(&Run, f64)> = runs
        .iter()
        .map(|run| {
            (
                run,
                7.0 + 3.0 * run.daemons() + 0.25 * run.number("functions"),
            )
        })
        .collect();
    let predictors = [Predictor::One, Predictor::Daemons, Predictor::Functions];
    let model = LinearModel::fit(&predictors, &points);
    verify_that!(
        model.at_target(),
        near(7.0 + 3.0 * 740.0 + 0.25 * 15_000.0, 1e-3)
    )
}

#[gtest]
fn every_required_size_was_measured_with_three_seeds() -> Result<()> {
    let runs = read_runs(&documents().join("capacity/runs"))?;
    for daemons in [50.0, 100.0, 200.0, 400.0, 740.0] {
        let baseline_runs = runs
            .iter()
            .filter(|run| run.is_baseline() && run.daemons() == daemons);
        let mut seeds: Vec<u64> = baseline_runs.map(|run| run.seed()).collect();
        seeds.sort_unstable();
        seeds.dedup();
        verify_that!(seeds, eq(&vec![1, 2, 3]))?;
    }
    let max_functions = runs.iter().map(|run| run.number("functions") as u64).max();
    verify_that!(max_functions, some(eq(15_000)))
}

#[gtest]
fn invalid_sizes_are_rejected_with_limit_and_reason() -> Result<()> {
    let cases: [(&[&str], &str); 5] = [
        (&["hollow", "--daemons", "0"], "must be at least 1"),
        (&["hollow", "--functions", "0"], "must be at least 1"),
        (&["hollow", "--functions", "5", "--held", "9"], "limit of 5"),
        (
            &["hollow", "--daemons", "100000", "--functions", "15000"],
            "half of the machine's memory",
        ),
        (&["hollow", "--moons", "3"], "moons"),
    ];
    for (arguments, reason) in cases {
        let output = run(arguments)?;
        verify_that!(output.status.code(), some(eq(2)))?;
        let stderr_text = String::from_utf8_lossy(&output.stderr).into_owned();
        verify_that!(stderr_text, contains_substring(reason))?;
    }
    Ok(())
}

#[gtest]
fn a_small_fleet_holds_its_functions_and_answers_calls() -> Result<()> {
    let size = SyntheticSize {
        daemons: 8,
        functions: 12,
        held: 12,
        runners: 1,
        changes: 1,
        seed: 7,
        calls: 5,
        measured: Duration::from_secs(2),
        real_time_limit: Duration::from_secs(120),
    };
    let record = SyntheticFleet::new(size)?.run();
    verify_that!(record.stopped, none())?;
    verify_that!(record.held, eq(12))?;
    verify_that!(record.visible_daemons(), eq(8.0))?;
    verify_that!(record.in_force.len(), eq(1))?;
    verify_that!(record.answered * 10, ge(record.called * 9))
}
