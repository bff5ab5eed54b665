//! The figures of a daemon as ingress.

use super::{
    BUSY_BUDGET, BYTES_BUDGET, CALLS_AT_ONE, CHANGES_A_SECOND, CapacityModel, DAEMONS, MEGABYTE,
    MEMORY_BUDGET, baseline_runs, called_runs, fit_per_call, fit_per_daemon, stream_rate,
};
use crate::synthetic::page::Run;
use crate::synthetic::page::figure::{Figure, Unit};
use crate::synthetic::page::fit::{Fit, Predictor};

/// The largest payload of a datagram that is not fragmented.
const DATAGRAM_BUDGET: f64 = 1_472.0;
/// A daemon that fails or is replaced leaves and joins, so two lists are sent to every daemon.
const HOSTS_A_SECOND: f64 = 2.0 * 143.0 / 86_400.0;
const INGRESS_STREAM: [&str; 2] = ["door renewals", "door others"];
/// What the cost of one change of the spec depends on.
const SPEC_PREDICTORS: [Predictor; 2] = [Predictor::One, Predictor::Functions];

impl CapacityModel {
    /// The figures of a daemon as ingress.
    pub(crate) fn ingress(&self, runs: &[Run]) -> Vec<Figure> {
        let baseline_runs = baseline_runs(runs);
        let mut figures = self.ingress_bytes(&baseline_runs);
        figures.extend(ingress_membership(&baseline_runs));
        figures.extend(ingress_processor_time(&baseline_runs));
        figures.extend(ingress_memory(&baseline_runs));
        figures.push(Figure::of(
            "the slowest install of a change",
            Unit::Millis,
            &self.install,
            1.0,
        ));
        figures.push(ingress_calls(&called_runs(runs)));
        figures
    }

    /// The bytes of a daemon's control traffic.
    fn ingress_bytes(&self, baseline_runs: &[&Run]) -> Vec<Figure> {
        let rate =
            |name: &str, fit: &Fit, factor: f64| Figure::of(name, Unit::BytesASecond, fit, factor);
        let beats = rate("heartbeats sent and heard", &self.beat_bytes, 1.0);
        let renewals = fit_per_daemon(&[Predictor::One], baseline_runs, |run| {
            stream_rate(run, &INGRESS_STREAM)
        });
        let renewals = rate("renewals sent and heard", &renewals, 1.0);
        let hosts = Fit::of(
            &[Predictor::One, Predictor::Daemons],
            baseline_runs,
            |run| Some(run.number("hosts_bytes")),
        );
        let hosts = rate(
            "lists of daemons, 143 leaving and joining a day",
            &hosts,
            HOSTS_A_SECOND,
        );
        let spec = fit_per_change(baseline_runs, |run| {
            run.work("door spec", "heard_bytes") + run.work("door spec", "sent_bytes")
        });
        let spec = rate("changes of the spec", &spec, CHANGES_A_SECOND);
        let all_bytes = Figure::sum(
            "**control bytes**",
            Unit::BytesASecond,
            &[&beats, &renewals, &hosts, &spec],
        );
        vec![beats, renewals, hosts, spec, all_bytes.within(BYTES_BUDGET)]
    }
}

/// The number and size of heartbeats, and how many daemons they show as alive.
fn ingress_membership(baseline_runs: &[&Run]) -> Vec<Figure> {
    let beat_count = fit_per_daemon(&[Predictor::One], baseline_runs, |run| {
        run.rate("door beats", "sent") + run.rate("door beats", "heard")
    });
    let beat_size = Fit::of(
        &[Predictor::One, Predictor::Daemons],
        baseline_runs,
        |run| Some(run.number("heartbeat_bytes")),
    );
    let membership_ratio = Fit::of(&[Predictor::One], baseline_runs, |run| {
        (run.daemons() == DAEMONS).then(|| DAEMONS / run.number("alive_seen"))
    });
    vec![
        Figure::of(
            "heartbeats sent and heard",
            Unit::MessagesASecond,
            &beat_count,
            1.0,
        ),
        Figure::of("one heartbeat", Unit::Bytes, &beat_size, 1.0).within(DATAGRAM_BUDGET),
        Figure::of(
            "daemons there are for each that a daemon counts as alive, measured at 740",
            Unit::Times,
            &membership_ratio,
            1.0,
        )
        .within(1.0),
    ]
}

/// The processor time of a daemon's control work, without that of its held functions.
fn ingress_processor_time(baseline_runs: &[&Run]) -> Vec<Figure> {
    let busy =
        |name: &str, fit: &Fit, factor: f64| Figure::of(name, Unit::BusyASecond, fit, factor);
    let ticks = ingress_ticks(baseline_runs).without(Predictor::HeldPerDaemon);
    let ticks = busy("ticks, without held functions", &ticks, 1.0);
    let beats = fit_per_daemon(
        &[Predictor::One, Predictor::Daemons],
        baseline_runs,
        |run| run.busy("door beats"),
    );
    let beats = busy("heartbeats", &beats, 1.0);
    let renewals = fit_per_daemon(&[Predictor::One], baseline_runs, |run| {
        run.busy("door renewals")
    });
    let renewals = busy("renewals", &renewals, 1.0);
    let spec = fit_per_change(baseline_runs, |run| {
        run.work("door spec", "think_us") + run.work("door spec", "wire_us")
    });
    let spec = busy("changes of the spec", &spec, CHANGES_A_SECOND);
    let all_busy = Figure::sum(
        "**control processor time**",
        Unit::BusyASecond,
        &[&ticks, &beats, &renewals, &spec],
    );
    vec![ticks, beats, renewals, spec, all_busy.within(BUSY_BUDGET)]
}

/// The memory of a daemon, without that of its held functions.
fn ingress_memory(baseline_runs: &[&Run]) -> Vec<Figure> {
    let memory = Fit::of(
        &[Predictor::One, Predictor::Daemons, Predictor::Functions],
        baseline_runs,
        |run| Some(run.number("door_bytes") / MEGABYTE),
    );
    let memory = Figure::of("memory kept", Unit::Megabytes, &memory, 1.0);
    let transient_memory = Fit::of(&SPEC_PREDICTORS, baseline_runs, |run| {
        Some(run.work("door spec", "swell_bytes") / MEGABYTE)
    });
    let transient_memory = Figure::of(
        "memory on top while a change is installed",
        Unit::Megabytes,
        &transient_memory,
        1.0,
    );
    let all_memory = Figure::sum("**memory**", Unit::Megabytes, &[&memory, &transient_memory]);
    vec![memory, transient_memory, all_memory.within(MEMORY_BUDGET)]
}

/// The processor time of routing and forwarding calls.
fn ingress_calls(called_runs: &[&Run]) -> Figure {
    let calls = fit_per_call(called_runs, |run| run.busy("door calls"));
    Figure::of(
        "calls on their way (not control)",
        Unit::BusyASecond,
        &calls,
        CALLS_AT_ONE,
    )
}

/// The processor time of a daemon's timers in microseconds per second, with those of its held functions.
pub(super) fn ingress_ticks(baseline_runs: &[&Run]) -> Fit {
    let predictors = [Predictor::One, Predictor::Daemons, Predictor::HeldPerDaemon];
    fit_per_daemon(&predictors, baseline_runs, |run| run.busy("door ticks"))
}

/// Fits a total of all daemons and changes, as the part of one daemon in one change.
fn fit_per_change(baseline_runs: &[&Run], read: impl Fn(&Run) -> f64) -> Fit {
    Fit::of(&SPEC_PREDICTORS, baseline_runs, |run| {
        Some(read(run) / run.number("changes") / run.daemons())
    })
}
