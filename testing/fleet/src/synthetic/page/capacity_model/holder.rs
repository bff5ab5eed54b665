//! The figures of a daemon as lease holder.

use super::ingress::ingress_ticks;
use super::{
    BYTES_BUDGET, CALLS_PER_DAEMON_PER_SECOND, MEGABYTE, MEMORY_BUDGET, PROCESSOR_TIME_BUDGET,
    baseline_runs, fit_per_call, fit_per_daemon, runs_with_calls,
};
use crate::synthetic::page::Run;
use crate::synthetic::page::figure::{Figure, Unit};
use crate::synthetic::page::fit::{Fit, Predictor};

const START_BUDGET_MS: f64 = 500.0;
/// Six hops of 35 ms (from the ingress to the hash owner, to the leader and back, the reservation and its reply, and the
/// response), 5 ms at the platform and 2 ms to the first probe.
const START_NETWORK_MS: f64 = 217.0;
const LONGEST_STARTUP_MS: f64 = 1_400.0;
/// The predictors of the cost of a daemon's held functions.
const HELD_PREDICTORS: [Predictor; 2] = [Predictor::One, Predictor::HeldPerDaemon];

const IDLE_REPORTS: &str = "word of functions that are not called";
const LEDGERS: &str = "ledgers and stewards, one call in four once (not control)";

/// Returns the figures of a daemon as lease holder.
pub(crate) fn holder_figures(runs: &[Run]) -> Vec<Figure> {
    let baseline_runs = baseline_runs(runs);
    let mut figures = idle_report_traffic(&baseline_runs);
    figures.extend(control_processor_time(&baseline_runs));
    figures.push(held_memory(&baseline_runs));
    figures.extend(calls_at_holder(&runs_with_calls(runs)));
    figures.push(cold_start());
    figures
}

/// Returns the bytes and messages of the reports of functions without requests.
fn idle_report_traffic(baseline_runs: &[&Run]) -> Vec<Figure> {
    let fit = |key: &'static str| {
        fit_per_daemon(&HELD_PREDICTORS, baseline_runs, move |run| {
            run.rate("holder idle", key)
        })
    };
    let bytes = fit("sent_bytes");
    let count = fit("sent");
    vec![
        Figure::new(IDLE_REPORTS, Unit::BytesPerSecond, &bytes, 1.0).with_budget(BYTES_BUDGET),
        Figure::new(IDLE_REPORTS, Unit::MessagesPerSecond, &count, 1.0),
    ]
}

/// Returns the processor time of held functions, without that of their calls.
fn control_processor_time(baseline_runs: &[&Run]) -> Vec<Figure> {
    let idle = fit_per_daemon(&HELD_PREDICTORS, baseline_runs, |run| {
        run.processor_time("holder idle")
    });
    let idle = Figure::new(IDLE_REPORTS, Unit::MicrosPerSecond, &idle, 1.0);
    let ticks = ingress_ticks(baseline_runs).only(Predictor::HeldPerDaemon);
    let ticks = Figure::new(
        "ticks of held functions",
        Unit::MicrosPerSecond,
        &ticks,
        1.0,
    );
    let total_processor_time = Figure::sum(
        "**control processor time**",
        Unit::MicrosPerSecond,
        &[&idle, &ticks],
    );
    vec![
        idle,
        ticks,
        total_processor_time.with_budget(PROCESSOR_TIME_BUDGET),
    ]
}

fn held_memory(baseline_runs: &[&Run]) -> Figure {
    let memory = Fit::new(&HELD_PREDICTORS, baseline_runs, |run| {
        Some(run.number("holder_bytes") / MEGABYTE)
    });
    Figure::new(
        "**memory** of held functions",
        Unit::Megabytes,
        &memory,
        1.0,
    )
    .with_budget(MEMORY_BUDGET)
}

/// Returns the cost of calls and of their ledgers at the lease holder.
fn calls_at_holder(runs_with_calls: &[&Run]) -> Vec<Figure> {
    let runs_processor_time =
        fit_per_call(runs_with_calls, |run| run.processor_time("holder runs"));
    let ledger_processor_time =
        fit_per_call(runs_with_calls, |run| run.processor_time("holder stewards"));
    let ledger_bytes = fit_per_call(runs_with_calls, |run| {
        run.rate("holder stewards", "sent_bytes")
    });
    vec![
        Figure::new(
            "calls at their holder (not control)",
            Unit::MicrosPerSecond,
            &runs_processor_time,
            CALLS_PER_DAEMON_PER_SECOND,
        ),
        Figure::new(
            LEDGERS,
            Unit::MicrosPerSecond,
            &ledger_processor_time,
            CALLS_PER_DAEMON_PER_SECOND,
        ),
        Figure::new(
            LEDGERS,
            Unit::BytesPerSecond,
            &ledger_bytes,
            CALLS_PER_DAEMON_PER_SECOND,
        ),
    ]
}

/// Returns the time of a start across regions, which is calculated, not measured.
fn cold_start() -> Figure {
    Figure::new(
        "a start across regions: 217 ms of ways, and the longest boot of 1.4 s",
        Unit::Milliseconds,
        &Fit::fixed(START_NETWORK_MS + LONGEST_STARTUP_MS),
        1.0,
    )
    .with_budget(START_BUDGET_MS)
}
