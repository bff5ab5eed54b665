//! The figures of controllers, the leader's and the followers'.

use super::{CHANGES_A_SECOND, CapacityModel, DAEMONS, MEGABYTE, baseline_runs, stream_rate};
use crate::synthetic::page::Run;
use crate::synthetic::page::figure::{Figure, Unit};
use crate::synthetic::page::fit::{Fit, Predictor};

/// A controller's state machine runs in one task, so it can use one processor core.
const CONTROLLER_BUDGET: f64 = 1.0;
const CORE_MICROS: f64 = 1e-6;
const FORCE_BUDGET_MS: f64 = 5_000.0;
const RENEWALS_A_SECOND: f64 = DAEMONS / 0.3;
const LEADING_STREAM: [&str; 2] = ["leading renewals", "leading idle"];

/// The figures of a follower.
pub(crate) fn following_figures(runs: &[Run]) -> Vec<Figure> {
    let baseline_runs = baseline_runs(runs);
    let predictors = [
        Predictor::One,
        Predictor::Daemons,
        Predictor::Changes,
        Predictor::ChangedFunctions,
    ];
    let by_one = |read: &dyn Fn(&Run) -> f64| {
        Fit::of(&predictors, &baseline_runs, |run| Some(read(run) / 2.0))
    };
    let bytes = by_one(&|run| {
        run.rate("following core", "heard_bytes") + run.rate("following core", "sent_bytes")
    });
    let disk = by_one(&|run| run.rate("following disk", "sent_bytes"));
    let busy = by_one(&|run| {
        run.busy("following core") + run.busy("following disk") + run.busy("following ticks")
    });
    let memory = Fit::of(
        &[Predictor::One, Predictor::Daemons, Predictor::Functions],
        &baseline_runs,
        |run| Some(run.number("following_bytes") / MEGABYTE),
    );
    let count = Fit::of(&[Predictor::One], &baseline_runs, |run| {
        Some((run.rate("following core", "heard") + run.rate("following core", "sent")) / 2.0)
    });
    vec![
        Figure::of("the core's talk", Unit::BytesASecond, &bytes, 1.0),
        Figure::of("the core's talk", Unit::MessagesASecond, &count, 1.0),
        Figure::of("documents to disk", Unit::BytesASecond, &disk, 1.0),
        Figure::of("**processor time**", Unit::Cores, &busy, CORE_MICROS).within(CONTROLLER_BUDGET),
        Figure::of("**memory kept**", Unit::Megabytes, &memory, 1.0),
    ]
}

impl CapacityModel {
    /// The figures of the leader.
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
        let loaded = |name: &str, fit: &Fit, factor: f64| {
            Figure::of(name, Unit::Cores, fit, factor * CORE_MICROS)
        };
        let renewals = loaded("renewals", &self.renewal_each, RENEWALS_A_SECOND);
        let idle = loaded("word of idle functions", &self.idle_each, DAEMONS);
        let ticks = loaded("ticks and commits", &self.leading_ticks, 1.0);
        let core = loaded("the core's talk", &self.leading_core, 1.0);
        let installed = loaded(
            "specs installed",
            &self.installed_each,
            DAEMONS * CHANGES_A_SECOND,
        );
        let lists = Fit::of(
            &[Predictor::One, Predictor::Instances],
            baseline_runs,
            |run| Some(run.busy("leading lists")),
        );
        let lists = loaded("the platform's lists taken in", &lists, 1.0);
        let rows = [&renewals, &idle, &ticks, &core, &installed, &lists];
        let all_busy = Figure::sum("**processor time**", Unit::Cores, &rows);
        vec![
            renewals,
            idle,
            ticks,
            core,
            installed,
            lists,
            all_busy.within(CONTROLLER_BUDGET),
        ]
    }

    /// The time for a change to come into force, by part.
    fn change_in_force(&self) -> Vec<Figure> {
        let network = Figure::of(
            "a change: the network",
            Unit::Millis,
            &self.force_network,
            1.0,
        );
        let own = Figure::of(
            "a change: the leader",
            Unit::Millis,
            &self.force_leader,
            1.0,
        );
        let install = Figure::of(
            "a change: the slowest daemon",
            Unit::Millis,
            &self.install,
            1.0,
        );
        let in_force = Figure::sum(
            "**a change in force**",
            Unit::Millis,
            &[&network, &own, &install],
        );
        vec![network, own, install, in_force.within(FORCE_BUDGET_MS)]
    }
}

/// The traffic of daemons' streams and of consensus at the leader.
fn leading_streams(baseline_runs: &[&Run]) -> Vec<Figure> {
    let stream = Fit::of(
        &[Predictor::Daemons, Predictor::Held],
        baseline_runs,
        |run| Some(stream_rate(run, &LEADING_STREAM)),
    );
    let stream_count = Fit::of(&[Predictor::Daemons], baseline_runs, |run| {
        let counted = LEADING_STREAM
            .iter()
            .map(|work| run.rate(work, "sent") + run.rate(work, "heard"));
        Some(counted.sum())
    });
    let core_terms = [
        Predictor::One,
        Predictor::Daemons,
        Predictor::Changes,
        Predictor::ChangedFunctions,
    ];
    let core_bytes = Fit::of(&core_terms, baseline_runs, |run| {
        Some(run.rate("leading core", "sent_bytes") + run.rate("leading core", "heard_bytes"))
    });
    vec![
        Figure::of("streams of all daemons", Unit::BytesASecond, &stream, 1.0),
        Figure::of(
            "streams of all daemons",
            Unit::MessagesASecond,
            &stream_count,
            1.0,
        ),
        Figure::of("the core's talk", Unit::BytesASecond, &core_bytes, 1.0),
    ]
}

fn leading_memory(baseline_runs: &[&Run]) -> Vec<Figure> {
    let memory_terms = [
        Predictor::One,
        Predictor::Daemons,
        Predictor::Functions,
        Predictor::Held,
    ];
    let memory = Fit::of(&memory_terms, baseline_runs, |run| {
        Some(run.number("leading_bytes") / MEGABYTE)
    });
    let transient_memory = Fit::of(
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
    let memory = Figure::of("memory kept", Unit::Megabytes, &memory, 1.0);
    let transient_memory = Figure::of(
        "memory on top while a change is made",
        Unit::Megabytes,
        &transient_memory,
        1.0,
    );
    let all_memory = Figure::sum("**memory**", Unit::Megabytes, &[&memory, &transient_memory]);
    vec![memory, transient_memory, all_memory]
}

/// The leader's processor time until all daemons have joined.
fn leading_join(baseline_runs: &[&Run]) -> Figure {
    let join = Fit::of(
        &[
            Predictor::One,
            Predictor::Daemons,
            Predictor::DaemonsSquared,
        ],
        baseline_runs,
        |run| (run.number("functions") == 200.0).then(|| run.number("join_ms")),
    );
    Figure::of(
        "every daemon joins at once, 200 functions",
        Unit::Millis,
        &join,
        1.0,
    )
}
