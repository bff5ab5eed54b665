//! The figures of a daemon as ingress.

use super::{
    BYTES_BUDGET, CALLS_PER_DAEMON_PER_SECOND, CHANGES_PER_SECOND, CapacityModel, DAEMONS,
    MEGABYTE, MEMORY_BUDGET, PROCESSOR_TIME_BUDGET, baseline_runs, fit_per_call, fit_per_daemon,
    runs_with_calls, stream_rate,
};
use crate::synthetic::page::Run;
use crate::synthetic::page::figure::{Figure, Unit};
use crate::synthetic::page::fit::{Fit, Predictor};

/// The largest payload of a datagram that is not fragmented.
const DATAGRAM_BUDGET: f64 = 1_472.0;
/// When a daemon fails or is replaced, it leaves and joins, so two lists are sent to every daemon.
const HOST_LISTS_PER_SECOND: f64 = 2.0 * 143.0 / 86_400.0;
const INGRESS_STREAM_WORKS: [&str; 2] = ["door renewals", "door others"];
/// The predictors of the cost of one change of the spec.
const SPEC_PREDICTORS: [Predictor; 2] = [Predictor::One, Predictor::Functions];

impl CapacityModel {
    /// Returns the figures of a daemon as ingress.
    pub(crate) fn ingress(&self, runs: &[Run]) -> Vec<Figure> {
        let baseline_runs = baseline_runs(runs);
        let mut figures = self.ingress_bytes(&baseline_runs);
        figures.extend(ingress_membership(&baseline_runs));
        figures.extend(ingress_processor_time(&baseline_runs));
        figures.extend(ingress_memory(&baseline_runs));
        figures.push(Figure::new(
            "the slowest install of a change",
            Unit::Milliseconds,
            &self.install,
            1.0,
        ));
        figures.push(ingress_calls(&runs_with_calls(runs)));
        figures
    }

    /// Returns the bytes of a daemon's control traffic.
    fn ingress_bytes(&self, baseline_runs: &[&Run]) -> Vec<Figure> {
        let rate = |name: &str, fit: &Fit, factor: f64| {
            Figure::new(name, Unit::BytesPerSecond, fit, factor)
        };
        let heartbeats = rate("heartbeats sent and heard", &self.heartbeat_bytes, 1.0);
        let renewals = fit_per_daemon(&[Predictor::One], baseline_runs, |run| {
            stream_rate(run, &INGRESS_STREAM_WORKS)
        });
        let renewals = rate("renewals sent and heard", &renewals, 1.0);
        let hosts = Fit::new(
            &[Predictor::One, Predictor::Daemons],
            baseline_runs,
            |run| Some(run.number("hosts_bytes")),
        );
        let hosts = rate(
            "lists of daemons, 143 leaving and joining a day",
            &hosts,
            HOST_LISTS_PER_SECOND,
        );
        let spec = fit_per_change(baseline_runs, |run| {
            run.work("door spec", "heard_bytes") + run.work("door spec", "sent_bytes")
        });
        let spec = rate("changes of the spec", &spec, CHANGES_PER_SECOND);
        let all_bytes = Figure::sum(
            "**control bytes**",
            Unit::BytesPerSecond,
            &[&heartbeats, &renewals, &hosts, &spec],
        );
        vec![
            heartbeats,
            renewals,
            hosts,
            spec,
            all_bytes.with_budget(BYTES_BUDGET),
        ]
    }
}

/// Returns the number and size of heartbeats, and the ratio of all daemons to those that a daemon counts as alive.
fn ingress_membership(baseline_runs: &[&Run]) -> Vec<Figure> {
    let heartbeat_count = fit_per_daemon(&[Predictor::One], baseline_runs, |run| {
        run.rate("door beats", "sent") + run.rate("door beats", "heard")
    });
    let heartbeat_size = Fit::new(
        &[Predictor::One, Predictor::Daemons],
        baseline_runs,
        |run| Some(run.number("heartbeat_bytes")),
    );
    let membership_ratio = Fit::new(&[Predictor::One], baseline_runs, |run| {
        (run.daemons() == DAEMONS).then(|| DAEMONS / run.number("alive_seen"))
    });
    vec![
        Figure::new(
            "heartbeats sent and heard",
            Unit::MessagesPerSecond,
            &heartbeat_count,
            1.0,
        ),
        Figure::new("one heartbeat", Unit::Bytes, &heartbeat_size, 1.0)
            .with_budget(DATAGRAM_BUDGET),
        Figure::new(
            "daemons there are for each that a daemon counts as alive, measured at 740",
            Unit::Factor,
            &membership_ratio,
            1.0,
        )
        .with_budget(1.0),
    ]
}

/// Returns the processor time of a daemon's control work, without that of its held functions.
fn ingress_processor_time(baseline_runs: &[&Run]) -> Vec<Figure> {
    let figure =
        |name: &str, fit: &Fit, factor: f64| Figure::new(name, Unit::MicrosPerSecond, fit, factor);
    let ticks = ingress_ticks(baseline_runs).without(Predictor::HeldPerDaemon);
    let ticks = figure("ticks, without held functions", &ticks, 1.0);
    let heartbeats = fit_per_daemon(
        &[Predictor::One, Predictor::Daemons],
        baseline_runs,
        |run| run.processor_time("door beats"),
    );
    let heartbeats = figure("heartbeats", &heartbeats, 1.0);
    let renewals = fit_per_daemon(&[Predictor::One], baseline_runs, |run| {
        run.processor_time("door renewals")
    });
    let renewals = figure("renewals", &renewals, 1.0);
    let spec = fit_per_change(baseline_runs, |run| {
        run.work("door spec", "think_us") + run.work("door spec", "wire_us")
    });
    let spec = figure("changes of the spec", &spec, CHANGES_PER_SECOND);
    let total_processor_time = Figure::sum(
        "**control processor time**",
        Unit::MicrosPerSecond,
        &[&ticks, &heartbeats, &renewals, &spec],
    );
    vec![
        ticks,
        heartbeats,
        renewals,
        spec,
        total_processor_time.with_budget(PROCESSOR_TIME_BUDGET),
    ]
}

/// Returns the memory of a daemon, without that of its held functions.
fn ingress_memory(baseline_runs: &[&Run]) -> Vec<Figure> {
    let memory = Fit::new(
        &[Predictor::One, Predictor::Daemons, Predictor::Functions],
        baseline_runs,
        |run| Some(run.number("door_bytes") / MEGABYTE),
    );
    let memory = Figure::new("memory kept", Unit::Megabytes, &memory, 1.0);
    let transient_memory = Fit::new(&SPEC_PREDICTORS, baseline_runs, |run| {
        Some(run.work("door spec", "swell_bytes") / MEGABYTE)
    });
    let transient_memory = Figure::new(
        "memory on top while a change is installed",
        Unit::Megabytes,
        &transient_memory,
        1.0,
    );
    let all_memory = Figure::sum("**memory**", Unit::Megabytes, &[&memory, &transient_memory]);
    vec![
        memory,
        transient_memory,
        all_memory.with_budget(MEMORY_BUDGET),
    ]
}

/// Returns the processor time of routing and forwarding calls.
fn ingress_calls(runs_with_calls: &[&Run]) -> Figure {
    let calls = fit_per_call(runs_with_calls, |run| run.processor_time("door calls"));
    Figure::new(
        "calls on their way (not control)",
        Unit::MicrosPerSecond,
        &calls,
        CALLS_PER_DAEMON_PER_SECOND,
    )
}

/// Fits the processor time of a daemon's timers, including those of its held functions, in microseconds per second.
pub(super) fn ingress_ticks(baseline_runs: &[&Run]) -> Fit {
    let predictors = [Predictor::One, Predictor::Daemons, Predictor::HeldPerDaemon];
    fit_per_daemon(&predictors, baseline_runs, |run| {
        run.processor_time("door ticks")
    })
}

/// Fits a total over all daemons and changes, divided by the numbers of both.
fn fit_per_change(baseline_runs: &[&Run], read: impl Fn(&Run) -> f64) -> Fit {
    Fit::new(&SPEC_PREDICTORS, baseline_runs, |run| {
        Some(read(run) / run.number("changes") / run.daemons())
    })
}
