//! The figures of a daemon as lease holder.

use super::{
    BUSY_BUDGET, BYTES_BUDGET, CALLS_AT_ONE, CapacityModel, MEGABYTE, MEMORY_BUDGET, seconds_of,
};
use crate::synthetic::page::Run;
use crate::synthetic::page::figure::{Figure, Unit};
use crate::synthetic::page::fit::{Fit, Predictor};

const START_BUDGET_MS: f64 = 500.0;
/// From the ingress to the hash owner, to the leader and back, the reservation and its reply, and the response: six hops
/// of 35 ms, 5 ms at the platform and 2 ms to the first probe.
const START_NETWORK_MS: f64 = 217.0;
const LONGEST_STARTUP_MS: f64 = 1_400.0;

impl CapacityModel {
    /// The figures of a daemon as lease holder.
    pub(crate) fn holder(&self, runs: &[Run]) -> Vec<Figure> {
        let baseline_runs: Vec<&Run> = runs.iter().filter(|run| run.is_baseline()).collect();
        let called: Vec<&Run> = runs.iter().filter(|run| run.is_called()).collect();
        let predictors = [Predictor::One, Predictor::HeldPerDaemon];
        let by_daemon = |read: &dyn Fn(&Run) -> f64| {
            Fit::of(&predictors, &baseline_runs, |run| {
                Some(read(run) / run.daemons())
            })
        };
        let by_call = |read: &dyn Fn(&Run) -> f64| {
            Fit::of(&[Predictor::One], &called, |run| {
                Some(read(run) * seconds_of(run) / run.number("called"))
            })
        };
        let idle_bytes = by_daemon(&|run| run.rate("holder idle", "sent_bytes"));
        let idle_bytes = Figure::of(
            "word of functions that are not called",
            Unit::BytesASecond,
            &idle_bytes,
            1.0,
        );
        let idle_count = by_daemon(&|run| run.rate("holder idle", "sent"));
        let idle_count = Figure::of(
            "word of functions that are not called",
            Unit::MessagesASecond,
            &idle_count,
            1.0,
        );
        let idle_busy = by_daemon(&|run| run.busy("holder idle"));
        let idle_busy = Figure::of(
            "word of functions that are not called",
            Unit::BusyASecond,
            &idle_busy,
            1.0,
        );
        let ticks = self.ingress_ticks(runs).only(Predictor::HeldPerDaemon);
        let ticks = Figure::of("ticks of held functions", Unit::BusyASecond, &ticks, 1.0);
        let all_busy = Figure::sum(
            "**control processor time**",
            Unit::BusyASecond,
            &[&idle_busy, &ticks],
        );
        let memory = Fit::of(&predictors, &baseline_runs, |run| {
            Some(run.number("holder_bytes") / MEGABYTE)
        });
        let memory = Figure::of(
            "**memory** of held functions",
            Unit::Megabytes,
            &memory,
            1.0,
        );
        let runs_busy = by_call(&|run| run.busy("holder runs"));
        let runs_busy = Figure::of(
            "calls at their holder (not control)",
            Unit::BusyASecond,
            &runs_busy,
            CALLS_AT_ONE,
        );
        let ledger_busy = by_call(&|run| run.busy("holder stewards"));
        let ledger_busy = Figure::of(
            "ledgers and stewards, one call in four once (not control)",
            Unit::BusyASecond,
            &ledger_busy,
            CALLS_AT_ONE,
        );
        let ledger_bytes = by_call(&|run| run.rate("holder stewards", "sent_bytes"));
        let ledger_bytes = Figure::of(
            "ledgers and stewards, one call in four once (not control)",
            Unit::BytesASecond,
            &ledger_bytes,
            CALLS_AT_ONE,
        );
        let cold_start = Fit::fixed(START_NETWORK_MS + LONGEST_STARTUP_MS);
        let cold_start = Figure::of(
            "a start across regions: 217 ms of ways, and the longest boot of 1.4 s",
            Unit::Millis,
            &cold_start,
            1.0,
        );
        vec![
            idle_bytes.within(BYTES_BUDGET),
            idle_count,
            idle_busy,
            ticks,
            all_busy.within(BUSY_BUDGET),
            memory.within(MEMORY_BUDGET),
            runs_busy,
            ledger_busy,
            ledger_bytes,
            cold_start.within(START_BUDGET_MS),
        ]
    }
}
