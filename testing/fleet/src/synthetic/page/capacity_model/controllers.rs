//! The figures of controllers, as leader and as followers.

use super::{
    CHANGES_PER_SECOND, CapacityModel, DAEMONS, MEGABYTE, RENEWAL_INTERVAL_SECONDS, baseline_runs,
    stream_rate,
};
use crate::synthetic::page::Run;
use crate::synthetic::page::figure::{Figure, Unit};
use crate::synthetic::page::fit::{Fit, Predictor};

/// A controller's state machine runs in one task, so it can use one processor core.
const CONTROLLER_BUDGET: f64 = 1.0;
const CORES_PER_MICROSECOND: f64 = 1e-6;
const IN_FORCE_BUDGET_MS: f64 = 5_000.0;
const RENEWALS_PER_SECOND: f64 = DAEMONS / RENEWAL_INTERVAL_SECONDS;
const LEADING_STREAM_WORKS: [&str; 2] = ["leading renewals", "leading idle"];

/// Returns the figures of a follower.
pub(crate) fn following_figures(runs: &[Run]) -> Vec<Figure> {
    let baseline_runs = baseline_runs(runs);
    let predictors = [
        Predictor::One,
        Predictor::Daemons,
        Predictor::Changes,
        Predictor::ChangedFunctions,
    ];
    let fit_per_follower = |read: &dyn Fn(&Run) -> f64| {
        Fit::new(&predictors, &baseline_runs, |run| Some(read(run) / 2.0))
    };
    let bytes = fit_per_follower(&|run| {
        run.rate("following core", "heard_bytes") + run.rate("following core", "sent_bytes")
    });
    let disk = fit_per_follower(&|run| run.rate("following disk", "sent_bytes"));
    let processor_time = fit_per_follower(&|run| {
        run.processor_time("following core")
            + run.processor_time("following disk")
            + run.processor_time("following ticks")
    });
    let memory = Fit::new(
        &[Predictor::One, Predictor::Daemons, Predictor::Functions],
        &baseline_runs,
        |run| Some(run.number("following_bytes") / MEGABYTE),
    );
    let count = Fit::new(&[Predictor::One], &baseline_runs, |run| {
        Some((run.rate("following core", "heard") + run.rate("following core", "sent")) / 2.0)
    });
    vec![
        Figure::new("the core's talk", Unit::BytesPerSecond, &bytes, 1.0),
        Figure::new("the core's talk", Unit::MessagesPerSecond, &count, 1.0),
        Figure::new("documents to disk", Unit::BytesPerSecond, &disk, 1.0),
        Figure::new(
            "**processor time**",
            Unit::Cores,
            &processor_time,
            CORES_PER_MICROSECOND,
        )
        .with_budget(CONTROLLER_BUDGET),
        Figure::new("**memory kept**", Unit::Megabytes, &memory, 1.0),
    ]
}

impl CapacityModel {
    /// Returns the figures of the leader.
    pub(crate) fn leading(&self, runs: &[Run]) -> Vec<Figure> {
        let baseline_runs = baseline_runs(runs);
        let mut figures = leading_streams(&baseline_runs);
        figures.extend(self.leading_processor_time(&baseline_runs));
        figures.extend(leading_memory(&baseline_runs));
        figures.extend(self.change_in_force());
        figures.push(leading_join(&baseline_runs));
        figures
    }

    fn leading_processor_time(&self, baseline_runs: &[&Run]) -> Vec<Figure> {
        let cores_figure = |name: &str, fit: &Fit, factor: f64| {
            Figure::new(name, Unit::Cores, fit, factor * CORES_PER_MICROSECOND)
        };
        let renewals = cores_figure(
            "renewals",
            &self.renewal_processor_time,
            RENEWALS_PER_SECOND,
        );
        let idle = cores_figure(
            "word of idle functions",
            &self.idle_report_processor_time,
            DAEMONS,
        );
        let ticks = cores_figure("ticks and commits", &self.leading_ticks, 1.0);
        let consensus = cores_figure("the core's talk", &self.leading_consensus, 1.0);
        let installed = cores_figure(
            "specs installed",
            &self.installed_report_processor_time,
            DAEMONS * CHANGES_PER_SECOND,
        );
        let lists = Fit::new(
            &[Predictor::One, Predictor::Instances],
            baseline_runs,
            |run| Some(run.processor_time("leading lists")),
        );
        let lists = cores_figure("the platform's lists taken in", &lists, 1.0);
        let rows = [&renewals, &idle, &ticks, &consensus, &installed, &lists];
        let total_processor_time = Figure::sum("**processor time**", Unit::Cores, &rows);
        vec![
            renewals,
            idle,
            ticks,
            consensus,
            installed,
            lists,
            total_processor_time.with_budget(CONTROLLER_BUDGET),
        ]
    }

    /// Returns the time for a change to come into force, by part.
    fn change_in_force(&self) -> Vec<Figure> {
        let network = Figure::new(
            "a change: the network",
            Unit::Milliseconds,
            &self.change_network,
            1.0,
        );
        let leader = Figure::new(
            "a change: the leader",
            Unit::Milliseconds,
            &self.change_leader,
            1.0,
        );
        let install = Figure::new(
            "a change: the slowest daemon",
            Unit::Milliseconds,
            &self.install,
            1.0,
        );
        let in_force = Figure::sum(
            "**a change in force**",
            Unit::Milliseconds,
            &[&network, &leader, &install],
        );
        vec![
            network,
            leader,
            install,
            in_force.with_budget(IN_FORCE_BUDGET_MS),
        ]
    }
}

/// Returns the traffic of daemons' streams and of consensus at the leader.
fn leading_streams(baseline_runs: &[&Run]) -> Vec<Figure> {
    let stream = Fit::new(
        &[Predictor::Daemons, Predictor::Held],
        baseline_runs,
        |run| Some(stream_rate(run, &LEADING_STREAM_WORKS)),
    );
    let stream_count = Fit::new(&[Predictor::Daemons], baseline_runs, |run| {
        let counted = LEADING_STREAM_WORKS
            .iter()
            .map(|work| run.rate(work, "sent") + run.rate(work, "heard"));
        Some(counted.sum())
    });
    let consensus_predictors = [
        Predictor::One,
        Predictor::Daemons,
        Predictor::Changes,
        Predictor::ChangedFunctions,
    ];
    let consensus_bytes = Fit::new(&consensus_predictors, baseline_runs, |run| {
        Some(run.rate("leading core", "sent_bytes") + run.rate("leading core", "heard_bytes"))
    });
    vec![
        Figure::new("streams of all daemons", Unit::BytesPerSecond, &stream, 1.0),
        Figure::new(
            "streams of all daemons",
            Unit::MessagesPerSecond,
            &stream_count,
            1.0,
        ),
        Figure::new(
            "the core's talk",
            Unit::BytesPerSecond,
            &consensus_bytes,
            1.0,
        ),
    ]
}

fn leading_memory(baseline_runs: &[&Run]) -> Vec<Figure> {
    let memory_predictors = [
        Predictor::One,
        Predictor::Daemons,
        Predictor::Functions,
        Predictor::Held,
    ];
    let memory = Fit::new(&memory_predictors, baseline_runs, |run| {
        Some(run.number("leading_bytes") / MEGABYTE)
    });
    let transient_memory = Fit::new(
        &[Predictor::One, Predictor::Functions],
        baseline_runs,
        |run| {
            let works = [
                "leading changes",
                "leading core",
                "leading ticks",
                "leading disk",
            ];
            let peaks = works.iter().map(|work| run.work(work, "swell_bytes"));
            Some(peaks.fold(0.0, f64::max) / MEGABYTE)
        },
    );
    let memory = Figure::new("memory kept", Unit::Megabytes, &memory, 1.0);
    let transient_memory = Figure::new(
        "memory on top while a change is made",
        Unit::Megabytes,
        &transient_memory,
        1.0,
    );
    let all_memory = Figure::sum("**memory**", Unit::Megabytes, &[&memory, &transient_memory]);
    vec![memory, transient_memory, all_memory]
}

/// Returns the leader's processor time until all daemons have joined.
fn leading_join(baseline_runs: &[&Run]) -> Figure {
    let join = Fit::new(
        &[
            Predictor::One,
            Predictor::Daemons,
            Predictor::DaemonsSquared,
        ],
        baseline_runs,
        |run| (run.number("functions") == 200.0).then(|| run.number("join_ms")),
    );
    Figure::new(
        "every daemon joins at once, 200 functions",
        Unit::Milliseconds,
        &join,
        1.0,
    )
}
