//! The figures of a daemon as lease holder.

use super::ingress::ingress_ticks;
use super::{
    BUSY_BUDGET, BYTES_BUDGET, CALLS_AT_ONE, MEGABYTE, MEMORY_BUDGET, baseline_runs, called_runs,
    fit_per_call, fit_per_daemon,
};
use crate::synthetic::page::Run;
use crate::synthetic::page::figure::{Figure, Unit};
use crate::synthetic::page::fit::{Fit, Predictor};

const START_BUDGET_MS: f64 = 500.0;
/// From the ingress to the hash owner, to the leader and back, the reservation and its reply, and the response: six hops
/// of 35 ms, 5 ms at the platform and 2 ms to the first probe.
const START_NETWORK_MS: f64 = 217.0;
const LONGEST_STARTUP_MS: f64 = 1_400.0;
/// What the cost of a daemon's held functions depends on.
const HELD_PREDICTORS: [Predictor; 2] = [Predictor::One, Predictor::HeldPerDaemon];

const IDLE_REPORTS: &str = "word of functions that are not called";
const LEDGERS: &str = "ledgers and stewards, one call in four once (not control)";

/// The figures of a daemon as lease holder.
pub(crate) fn holder_figures(runs: &[Run]) -> Vec<Figure> {
    let baseline_runs = baseline_runs(runs);
    let mut figures = idle_report_traffic(&baseline_runs);
    figures.extend(control_processor_time(&baseline_runs));
    figures.push(held_memory(&baseline_runs));
    figures.extend(calls_at_holder(&called_runs(runs)));
    figures.push(cold_start());
    figures
}

/// The bytes and messages of the reports of functions without requests.
fn idle_report_traffic(baseline_runs: &[&Run]) -> Vec<Figure> {
    let fit = |key: &'static str| {
        fit_per_daemon(&HELD_PREDICTORS, baseline_runs, move |run| {
            run.rate("holder idle", key)
        })
    };
    let bytes = fit("sent_bytes");
    let count = fit("sent");
    vec![
        Figure::of(IDLE_REPORTS, Unit::BytesASecond, &bytes, 1.0).within(BYTES_BUDGET),
        Figure::of(IDLE_REPORTS, Unit::MessagesASecond, &count, 1.0),
    ]
}

/// The processor time of held functions apart from their calls.
fn control_processor_time(baseline_runs: &[&Run]) -> Vec<Figure> {
    let idle = fit_per_daemon(&HELD_PREDICTORS, baseline_runs, |run| {
        run.busy("holder idle")
    });
    let idle = Figure::of(IDLE_REPORTS, Unit::BusyASecond, &idle, 1.0);
    let ticks = ingress_ticks(baseline_runs).only(Predictor::HeldPerDaemon);
    let ticks = Figure::of("ticks of held functions", Unit::BusyASecond, &ticks, 1.0);
    let all_busy = Figure::sum(
        "**control processor time**",
        Unit::BusyASecond,
        &[&idle, &ticks],
    );
    vec![idle, ticks, all_busy.within(BUSY_BUDGET)]
}

fn held_memory(baseline_runs: &[&Run]) -> Figure {
    let memory = Fit::of(&HELD_PREDICTORS, baseline_runs, |run| {
        Some(run.number("holder_bytes") / MEGABYTE)
    });
    Figure::of(
        "**memory** of held functions",
        Unit::Megabytes,
        &memory,
        1.0,
    )
    .within(MEMORY_BUDGET)
}

/// The cost of calls and of their ledgers at the lease holder.
fn calls_at_holder(called_runs: &[&Run]) -> Vec<Figure> {
    let runs_busy = fit_per_call(called_runs, |run| run.busy("holder runs"));
    let ledger_busy = fit_per_call(called_runs, |run| run.busy("holder stewards"));
    let ledger_bytes = fit_per_call(called_runs, |run| run.rate("holder stewards", "sent_bytes"));
    vec![
        Figure::of(
            "calls at their holder (not control)",
            Unit::BusyASecond,
            &runs_busy,
            CALLS_AT_ONE,
        ),
        Figure::of(LEDGERS, Unit::BusyASecond, &ledger_busy, CALLS_AT_ONE),
        Figure::of(LEDGERS, Unit::BytesASecond, &ledger_bytes, CALLS_AT_ONE),
    ]
}

/// The time of a start across regions; worked out, not measured.
fn cold_start() -> Figure {
    Figure::of(
        "a start across regions: 217 ms of ways, and the longest boot of 1.4 s",
        Unit::Millis,
        &Fit::fixed(START_NETWORK_MS + LONGEST_STARTUP_MS),
        1.0,
    )
    .within(START_BUDGET_MS)
}
