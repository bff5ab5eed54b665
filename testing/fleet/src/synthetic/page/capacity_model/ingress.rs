//! The figures of a daemon as ingress.

use super::{
    BUSY_BUDGET, BYTES_BUDGET, CALLS_AT_ONE, CHANGES_A_SECOND, CapacityModel, DAEMONS, MEGABYTE,
    MEMORY_BUDGET, seconds_of, stream_rate,
};
use crate::synthetic::page::Run;
use crate::synthetic::page::figure::{Figure, Unit};
use crate::synthetic::page::fit::{Fit, Predictor};

/// The largest payload of a datagram that is not fragmented.
const DATAGRAM_BUDGET: f64 = 1_472.0;
/// A daemon that fails or is replaced leaves and joins, so two lists are sent to every daemon.
const HOSTS_A_SECOND: f64 = 2.0 * 143.0 / 86_400.0;
const INGRESS_STREAM: [&str; 2] = ["door renewals", "door others"];

impl CapacityModel {
    /// The figures of a daemon as ingress.
    pub(crate) fn ingress(&self, runs: &[Run]) -> Vec<Figure> {
        let baseline_runs: Vec<&Run> = runs.iter().filter(|run| run.is_baseline()).collect();
        let called: Vec<&Run> = runs.iter().filter(|run| run.is_called()).collect();
        let by_daemon = |predictors: &[Predictor], read: &dyn Fn(&Run) -> f64| {
            Fit::of(predictors, &baseline_runs, |run| {
                Some(read(run) / run.daemons())
            })
        };
        let of_change = |predictors: &[Predictor], read: &dyn Fn(&Run) -> f64| {
            Fit::of(predictors, &baseline_runs, |run| {
                Some(read(run) / run.number("changes") / run.daemons())
            })
        };
        let beats = Figure::of(
            "heartbeats sent and heard",
            Unit::BytesASecond,
            &self.beat_bytes,
            1.0,
        );
        let renewals = by_daemon(&[Predictor::One], &|run| stream_rate(run, &INGRESS_STREAM));
        let renewals = Figure::of(
            "renewals sent and heard",
            Unit::BytesASecond,
            &renewals,
            1.0,
        );
        let hosts = Fit::of(
            &[Predictor::One, Predictor::Daemons],
            &baseline_runs,
            |run| Some(run.number("hosts_bytes")),
        );
        let hosts = Figure::of(
            "lists of daemons, 143 leaving and joining a day",
            Unit::BytesASecond,
            &hosts,
            HOSTS_A_SECOND,
        );
        let spec_bytes = of_change(&[Predictor::One, Predictor::Functions], &|run| {
            run.work("door spec", "heard_bytes") + run.work("door spec", "sent_bytes")
        });
        let spec_bytes = Figure::of(
            "changes of the spec",
            Unit::BytesASecond,
            &spec_bytes,
            CHANGES_A_SECOND,
        );
        let all_bytes = Figure::sum(
            "**control bytes**",
            Unit::BytesASecond,
            &[&beats, &renewals, &hosts, &spec_bytes],
        );
        let beat_count = by_daemon(&[Predictor::One], &|run| {
            run.rate("door beats", "sent") + run.rate("door beats", "heard")
        });
        let messages = Figure::of(
            "heartbeats sent and heard",
            Unit::MessagesASecond,
            &beat_count,
            1.0,
        );
        let beat_size = Fit::of(
            &[Predictor::One, Predictor::Daemons],
            &baseline_runs,
            |run| Some(run.number("heartbeat_bytes")),
        );
        let beat_size = Figure::of("one heartbeat", Unit::Bytes, &beat_size, 1.0);
        let membership_ratio = Fit::of(&[Predictor::One], &baseline_runs, |run| {
            (run.daemons() == DAEMONS).then(|| DAEMONS / run.number("alive_seen"))
        });
        let membership_ratio = Figure::of(
            "daemons there are for each that a daemon counts as alive, measured at 740",
            Unit::Times,
            &membership_ratio,
            1.0,
        );
        let ticks = self.ingress_ticks(runs);
        let ticks = Figure::of(
            "ticks, without held functions",
            Unit::BusyASecond,
            &ticks.without(Predictor::HeldPerDaemon),
            1.0,
        );
        let beats_busy = by_daemon(&[Predictor::One, Predictor::Daemons], &|run| {
            run.busy("door beats")
        });
        let beats_busy = Figure::of("heartbeats", Unit::BusyASecond, &beats_busy, 1.0);
        let renewals_busy = by_daemon(&[Predictor::One], &|run| run.busy("door renewals"));
        let renewals_busy = Figure::of("renewals", Unit::BusyASecond, &renewals_busy, 1.0);
        let spec_busy = of_change(&[Predictor::One, Predictor::Functions], &|run| {
            run.work("door spec", "think_us") + run.work("door spec", "wire_us")
        });
        let spec_busy = Figure::of(
            "changes of the spec",
            Unit::BusyASecond,
            &spec_busy,
            CHANGES_A_SECOND,
        );
        let all_busy = Figure::sum(
            "**control processor time**",
            Unit::BusyASecond,
            &[&ticks, &beats_busy, &renewals_busy, &spec_busy],
        );
        let memory = Fit::of(
            &[Predictor::One, Predictor::Daemons, Predictor::Functions],
            &baseline_runs,
            |run| Some(run.number("door_bytes") / MEGABYTE),
        );
        let memory = Figure::of("memory kept", Unit::Megabytes, &memory, 1.0);
        let transient_memory = Fit::of(
            &[Predictor::One, Predictor::Functions],
            &baseline_runs,
            |run| Some(run.work("door spec", "swell_bytes") / MEGABYTE),
        );
        let transient_memory = Figure::of(
            "memory on top while a change is installed",
            Unit::Megabytes,
            &transient_memory,
            1.0,
        );
        let all_memory = Figure::sum("**memory**", Unit::Megabytes, &[&memory, &transient_memory]);
        let install = Figure::of(
            "the slowest install of a change",
            Unit::Millis,
            &self.install,
            1.0,
        );
        let call = Fit::of(&[Predictor::One], &called, |run| {
            Some(run.busy("door calls") * seconds_of(run) / run.number("called"))
        });
        let call = Figure::of(
            "calls on their way (not control)",
            Unit::BusyASecond,
            &call,
            CALLS_AT_ONE,
        );
        vec![
            beats,
            renewals,
            hosts,
            spec_bytes,
            all_bytes.within(BYTES_BUDGET),
            messages,
            beat_size.within(DATAGRAM_BUDGET),
            membership_ratio.within(1.0),
            ticks,
            beats_busy,
            renewals_busy,
            spec_busy,
            all_busy.within(BUSY_BUDGET),
            memory,
            transient_memory,
            all_memory.within(MEMORY_BUDGET),
            install,
            call,
        ]
    }

    pub(super) fn ingress_ticks(&self, runs: &[Run]) -> Fit {
        let baseline_runs: Vec<&Run> = runs.iter().filter(|run| run.is_baseline()).collect();
        let predictors = [Predictor::One, Predictor::Daemons, Predictor::HeldPerDaemon];
        Fit::of(&predictors, &baseline_runs, |run| {
            Some(run.busy("door ticks") / run.daemons())
        })
    }
}
