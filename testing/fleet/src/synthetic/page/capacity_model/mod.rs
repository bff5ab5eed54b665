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

/// The budgets of a daemon for control: bytes per second, microseconds of processor time per second, and megabytes.
const BYTES_BUDGET: f64 = 5_000.0;
const BUSY_BUDGET: f64 = 50_000.0;
const MEMORY_BUDGET: f64 = 256.0;

const DAEMONS: f64 = 740.0;
const CALLS_AT_ONE: f64 = 97_000.0 / 740.0;
const CHANGES_A_SECOND: f64 = 1_800.0 / 86_400.0;
const MEGABYTE: f64 = 1e6;

/// The fitted models from which figures of the page are computed.
pub(crate) struct CapacityModel {
    /// Heartbeat bytes that a daemon sends and receives per second.
    pub beat_bytes: Fit,
    /// The processor time of one renewal at the leader, in microseconds.
    pub renewal_each: Fit,
    /// The processor time of one report of idle functions at the leader, in microseconds.
    pub idle_each: Fit,
    /// The processor time of the leader's timers, in microseconds per second.
    pub leading_ticks: Fit,
    /// The processor time of the leader's consensus, in microseconds per second.
    pub leading_core: Fit,
    /// The time of a change on the network, in milliseconds.
    pub force_network: Fit,
    /// The processor time of a change at the leader, in milliseconds.
    pub force_leader: Fit,
    /// The processor time of one report of an installed spec at the leader, in microseconds.
    pub installed_each: Fit,
    /// The slowest installation of a change at a daemon, in milliseconds.
    pub install: Fit,
}

/// The runs to which the models are fitted.
fn baseline_runs(runs: &[Run]) -> Vec<&Run> {
    runs.iter().filter(|run| run.is_baseline()).collect()
}

/// The runs in which callers send requests.
fn called_runs(runs: &[Run]) -> Vec<&Run> {
    runs.iter().filter(|run| run.is_called()).collect()
}

/// Fits a total of all daemons, as the part of one daemon.
fn fit_per_daemon(predictors: &[Predictor], runs: &[&Run], read: impl Fn(&Run) -> f64) -> Fit {
    Fit::of(predictors, runs, |run| Some(read(run) / run.daemons()))
}

/// Fits a rate per second as a constant for each call.
fn fit_per_call(called_runs: &[&Run], read: impl Fn(&Run) -> f64) -> Fit {
    Fit::of(&[Predictor::One], called_runs, |run| {
        Some(read(run) * run.number("measured_s") / run.number("called"))
    })
}

fn stream_rate(run: &Run, works: &[&str]) -> f64 {
    works
        .iter()
        .map(|work| run.rate(work, "sent_bytes") + run.rate(work, "heard_bytes"))
        .sum()
}

const LOADED: [Predictor; 3] = [Predictor::One, Predictor::Daemons, Predictor::Held];
const LOADED_AND_CHANGED: [Predictor; 5] = [
    Predictor::One,
    Predictor::Daemons,
    Predictor::Held,
    Predictor::Changes,
    Predictor::ChangedFunctions,
];

impl CapacityModel {
    /// Fits the models to complete runs without calls.
    pub(crate) fn of(runs: &[Run]) -> Self {
        let baseline_runs = baseline_runs(runs);
        Self {
            beat_bytes: Fit::of(
                &[Predictor::One, Predictor::Daemons],
                &baseline_runs,
                |run| Some(run.heartbeat_bytes()),
            ),
            renewal_each: Fit::of(&LOADED, &baseline_runs, |run| {
                run.per_step("leading renewals")
            }),
            idle_each: Fit::of(&LOADED, &baseline_runs, |run| run.per_step("leading idle")),
            leading_ticks: Fit::of(&LOADED_AND_CHANGED, &baseline_runs, |run| {
                Some(run.busy("leading ticks"))
            }),
            leading_core: Fit::of(&LOADED_AND_CHANGED, &baseline_runs, |run| {
                Some(run.busy("leading core"))
            }),
            force_network: Fit::of(&[Predictor::One], &baseline_runs, |run| {
                run.change_times().map(|times| times.network_ms)
            }),
            force_leader: Fit::of(
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
            installed_each: Fit::of(&LOADED, &baseline_runs, |run| run.per_step("leading spec")),
            install: Fit::of(
                &[Predictor::One, Predictor::Functions],
                &baseline_runs,
                |run| run.change_times().map(|times| times.install_ms),
            ),
        }
    }

    /// The leader's processor time per second at any size, in microseconds.
    pub(crate) fn leader_busy(&self, value_of: &dyn Fn(Predictor) -> f64) -> f64 {
        let daemons = value_of(Predictor::Daemons);
        self.renewal_each.line.at(value_of) * daemons / 0.3
            + self.idle_each.line.at(value_of) * daemons
            + self.leading_ticks.line.at(value_of)
            + self.leading_core.line.at(value_of)
    }

    /// The time for a change to come into force at any size, in milliseconds.
    pub(crate) fn force_ms(&self, value_of: &dyn Fn(Predictor) -> f64) -> f64 {
        self.force_network.line.at(value_of)
            + self.force_leader.line.at(value_of)
            + self.install.line.at(value_of)
    }
}
