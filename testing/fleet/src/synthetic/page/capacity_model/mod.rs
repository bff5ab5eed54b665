//! The figures of each role on the capacity page, computed from models fitted to measured runs.

mod controllers;
mod holder;
mod ingress;
mod platform;

pub(super) use controllers::following_figures;
pub(super) use holder::holder_figures;
pub(super) use platform::platform_figures;

use super::Run;
use super::fit::{Fit, Predictor};

/// The budgets of a daemon for control: bytes per second, microseconds of processor time per second, and megabytes of
/// memory.
const BYTES_BUDGET: f64 = 5_000.0;
const PROCESSOR_TIME_BUDGET: f64 = 50_000.0;
const MEMORY_BUDGET: f64 = 256.0;

/// The daemons, calls and changes at the target size, as in [`Predictor::target`].
const DAEMONS: f64 = 740.0;
const CALLS_PER_DAEMON_PER_SECOND: f64 = 97_000.0 / 740.0;
const CHANGES_PER_SECOND: f64 = 1_800.0 / 86_400.0;
/// The assumed time between two renewals of a daemon's session lease, in seconds.
const RENEWAL_INTERVAL_SECONDS: f64 = 0.3;
const MEGABYTE: f64 = 1e6;

/// The fitted models from which figures of the page are computed.
pub(crate) struct CapacityModel {
    /// Heartbeat bytes that a daemon sends and receives per second.
    pub heartbeat_bytes: Fit,
    /// The processor time of one renewal at the leader, in microseconds.
    pub renewal_processor_time: Fit,
    /// The processor time of one report of idle functions at the leader, in microseconds.
    pub idle_report_processor_time: Fit,
    /// The processor time of the leader's timers, in microseconds per second.
    pub leading_ticks: Fit,
    /// The processor time of the leader's consensus, in microseconds per second.
    pub leading_consensus: Fit,
    /// The time of a change on the network, in milliseconds.
    pub change_network: Fit,
    /// The processor time of a change at the leader, in milliseconds.
    pub change_leader: Fit,
    /// The processor time of one report of an installed spec at the leader, in microseconds.
    pub installed_report_processor_time: Fit,
    /// The time of the slowest installation of a change at a daemon, in milliseconds.
    pub install: Fit,
}

/// Returns the runs to which the models are fitted.
fn baseline_runs(runs: &[Run]) -> Vec<&Run> {
    runs.iter().filter(|run| run.is_baseline()).collect()
}

/// Returns the runs to which the costs of calls are fitted.
fn runs_with_calls(runs: &[Run]) -> Vec<&Run> {
    runs.iter().filter(|run| run.measures_calls()).collect()
}

/// Fits a total over all daemons, divided by their number.
fn fit_per_daemon(predictors: &[Predictor], runs: &[&Run], read: impl Fn(&Run) -> f64) -> Fit {
    Fit::new(predictors, runs, |run| Some(read(run) / run.daemons()))
}

/// Fits a rate per second as a constant per call.
fn fit_per_call(runs_with_calls: &[&Run], read: impl Fn(&Run) -> f64) -> Fit {
    Fit::new(&[Predictor::One], runs_with_calls, |run| {
        Some(read(run) * run.number("measured_s") / run.number("called"))
    })
}

/// Returns the bytes per second sent and received for these kinds of work.
fn stream_rate(run: &Run, works: &[&str]) -> f64 {
    works
        .iter()
        .map(|work| run.rate(work, "sent_bytes") + run.rate(work, "heard_bytes"))
        .sum()
}

const LOAD_PREDICTORS: [Predictor; 3] = [Predictor::One, Predictor::Daemons, Predictor::Held];
const LOAD_AND_CHANGE_PREDICTORS: [Predictor; 5] = [
    Predictor::One,
    Predictor::Daemons,
    Predictor::Held,
    Predictor::Changes,
    Predictor::ChangedFunctions,
];

impl CapacityModel {
    /// Fits the models to the baseline runs.
    pub(crate) fn fit(runs: &[Run]) -> Self {
        let baseline_runs = baseline_runs(runs);
        Self {
            heartbeat_bytes: Fit::new(
                &[Predictor::One, Predictor::Daemons],
                &baseline_runs,
                |run| Some(run.heartbeat_bytes()),
            ),
            renewal_processor_time: Fit::new(&LOAD_PREDICTORS, &baseline_runs, |run| {
                run.processor_time_per_step("leading renewals")
            }),
            idle_report_processor_time: Fit::new(&LOAD_PREDICTORS, &baseline_runs, |run| {
                run.processor_time_per_step("leading idle")
            }),
            leading_ticks: Fit::new(&LOAD_AND_CHANGE_PREDICTORS, &baseline_runs, |run| {
                Some(run.processor_time("leading ticks"))
            }),
            leading_consensus: Fit::new(&LOAD_AND_CHANGE_PREDICTORS, &baseline_runs, |run| {
                Some(run.processor_time("leading core"))
            }),
            change_network: Fit::new(&[Predictor::One], &baseline_runs, |run| {
                run.change_times().map(|times| times.network_ms)
            }),
            change_leader: Fit::new(
                &[
                    Predictor::One,
                    Predictor::Daemons,
                    Predictor::DaemonsSquared,
                    Predictor::Functions,
                    Predictor::Held,
                ],
                &baseline_runs,
                |run| run.change_times().map(|times| times.leader_ms),
            ),
            installed_report_processor_time: Fit::new(&LOAD_PREDICTORS, &baseline_runs, |run| {
                run.processor_time_per_step("leading spec")
            }),
            install: Fit::new(
                &[Predictor::One, Predictor::Functions],
                &baseline_runs,
                |run| run.change_times().map(|times| times.install_ms),
            ),
        }
    }

    /// Returns the leader's processor time in microseconds per second for given values of the predictors. Each daemon
    /// reports idle functions once a second.
    pub(crate) fn leader_processor_time(&self, value_of: &dyn Fn(Predictor) -> f64) -> f64 {
        let daemons = value_of(Predictor::Daemons);
        self.renewal_processor_time.model.at(value_of) * daemons / RENEWAL_INTERVAL_SECONDS
            + self.idle_report_processor_time.model.at(value_of) * daemons
            + self.leading_ticks.model.at(value_of)
            + self.leading_consensus.model.at(value_of)
    }

    /// Returns the time for a change to come into force in milliseconds for given values of the predictors.
    pub(crate) fn change_in_force_ms(&self, value_of: &dyn Fn(Predictor) -> f64) -> f64 {
        self.change_network.model.at(value_of)
            + self.change_leader.model.at(value_of)
            + self.install.model.at(value_of)
    }
}
