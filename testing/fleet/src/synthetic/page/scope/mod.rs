//! What the capacity page says of each role, worked out from lines fitted to measured runs.

mod controllers;
mod door;
mod holder;
mod platform;

use super::Run;
use super::fit::{Fit, Term};

/// What a daemon may spend on control: bytes a second, microseconds of a core a second, megabytes.
const BYTES_BUDGET: f64 = 5_000.0;
const BUSY_BUDGET: f64 = 50_000.0;
const MEMORY_BUDGET: f64 = 256.0;

const DAEMONS: f64 = 740.0;
const CALLS_AT_ONE: f64 = 97_000.0 / 740.0;
const CHANGES_A_SECOND: f64 = 1_800.0 / 86_400.0;
const MEGABYTE: f64 = 1e6;

/// Every line that the page's figures are worked out from.
pub struct Scope {
    /// Heartbeat bytes that a daemon sends and hears a second.
    pub beat_bytes: Fit,
    /// One renewal at the leader, in microseconds.
    pub renewal_each: Fit,
    /// One daemon's word of idle functions at the leader, in microseconds.
    pub idle_each: Fit,
    /// The leader's ticks, a second.
    pub leading_ticks: Fit,
    /// The leader's talk with the core, a second.
    pub leading_core: Fit,
    /// The network's part of a change, in milliseconds.
    pub force_network: Fit,
    /// The leader's own part of a change, in milliseconds.
    pub force_leader: Fit,
    /// One daemon's word of a spec installed, at the leader, in microseconds.
    pub installed_each: Fit,
    /// The slowest daemon's install, in milliseconds.
    pub install: Fit,
}

fn seconds_of(run: &Run) -> f64 {
    run.number("measured_s")
}

fn stream_rate(run: &Run, works: &[&str]) -> f64 {
    works.iter().map(|work| run.rate(work, "sent_bytes") + run.rate(work, "heard_bytes")).sum()
}

const LOADED: [Term; 3] = [Term::One, Term::Daemons, Term::Held];
const LOADED_AND_CHANGED: [Term; 5] =
    [Term::One, Term::Daemons, Term::Held, Term::Changes, Term::ChangedFunctions];

impl Scope {
    /// Fits the lines to whole runs without calls.
    pub fn of(runs: &[Run]) -> Self {
        let calm: Vec<&Run> = runs.iter().filter(|run| run.is_calm()).collect();
        Self {
            beat_bytes: Fit::of(&[Term::One, Term::Daemons], &calm, |run| {
                let sent_and_heard =
                    run.rate("door beats", "sent_bytes") + run.rate("door beats", "heard_bytes");
                Some(sent_and_heard / run.daemons())
            }),
            renewal_each: Fit::of(&LOADED, &calm, |run| run.each("leading renewals")),
            idle_each: Fit::of(&LOADED, &calm, |run| run.each("leading idle")),
            leading_ticks: Fit::of(&LOADED_AND_CHANGED, &calm, |run| {
                Some(run.busy("leading ticks"))
            }),
            leading_core: Fit::of(&LOADED_AND_CHANGED, &calm, |run| Some(run.busy("leading core"))),
            force_network: Fit::of(&[Term::One], &calm, |run| {
                run.in_force().map(|(network_ms, _, _)| network_ms)
            }),
            force_leader: Fit::of(
                &[Term::One, Term::Daemons, Term::DaemonsSquared, Term::Functions, Term::Held],
                &calm,
                |run| run.in_force().map(|(_, leader_ms, _)| leader_ms),
            ),
            installed_each: Fit::of(&LOADED, &calm, |run| run.each("leading spec")),
            install: Fit::of(&[Term::One, Term::Functions], &calm, |run| {
                run.in_force().map(|(_, _, install_ms)| install_ms)
            }),
        }
    }

    /// The leader's processor time a second at any size, in microseconds.
    pub fn leader_busy(&self, value_of: &dyn Fn(Term) -> f64) -> f64 {
        let daemons = value_of(Term::Daemons);
        self.renewal_each.line.at(value_of) * daemons / 0.3
            + self.idle_each.line.at(value_of) * daemons
            + self.leading_ticks.line.at(value_of)
            + self.leading_core.line.at(value_of)
    }

    /// The time of a change to in force at any size, in milliseconds.
    pub fn force_ms(&self, value_of: &dyn Fn(Term) -> f64) -> f64 {
        self.force_network.line.at(value_of)
            + self.force_leader.line.at(value_of)
            + self.install.line.at(value_of)
    }
}
