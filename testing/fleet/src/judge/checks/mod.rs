//! The lines of what must never happen, each judged from evidence alone.

mod forbidden;
mod outcomes;
mod runners;
mod service;
mod spec;

use super::{Check, Evidence};
use forbidden::{draining_used, evacuated_used};
use outcomes::{once_runs_twice, refused_runs, unsealed_answer};
use runners::{extra_tries, runner_overloaded};
use service::{answers_dropped, service_down, two_holders};
use spec::{
    conflicting_changes, ingress_behind, refused_change_in_force, spec_not_in_force,
    unconfigured_function,
};

/// A second in the nanoseconds of the records.
const SECOND: u64 = 1_000_000_000;
/// What clocks and records may differ by.
const SLACK: u64 = SECOND / 4;
/// How long a send may be on its way from a holder to a runner.
const DELIVERY_SLACK: u64 = SECOND / 10;

/// A once-transaction runs twice.
pub const ONCE_RUNS_TWICE: &str = "a once-transaction runs twice";
/// What was refused runs.
pub const REFUSED_RUNS: &str = "refused as not run, and runs";
/// A success without the runner's body.
pub const UNSEALED_ANSWER: &str = "a success without its runner's own sealed body";
/// A run on a function that its path was never given.
pub const UNCONFIGURED_FUNCTION: &str = "a run on a function its path was never given";
/// An old spec in use.
pub const SPEC_NOT_IN_FORCE: &str = "an accepted spec not in force after 3 s, or undone";
/// A door that does not know a route, or knows one that is gone.
pub const INGRESS_BEHIND: &str = "a door without an accepted spec after 3 s";
/// Two changes on one version.
pub const CONFLICTING_CHANGES: &str = "two changes on one version accepted";
/// A refused change in force.
pub const REFUSED_CHANGE_IN_FORCE: &str = "a refused change in force";
/// Draining and leaving.
pub const DRAINING_USED: &str = "a leaving runner or draining worker used after 3 s";
/// Evacuation.
pub const EVACUATED_USED: &str = "an evacuated locality used after 5 s";
/// Orderly stops.
pub const ANSWERS_DROPPED: &str = "an orderly stop drops answers in hand";
/// Extra tries.
pub const EXTRA_TRIES: &str = "extra tries above a fifth in 10 s";
/// Slots and ramps.
pub const RUNNER_OVERLOADED: &str = "a cold runner flooded, or slots exceeded";
/// Two holders.
pub const TWO_HOLDERS: &str = "two holders of one function at once";
/// Recovery.
pub const SERVICE_DOWN: &str = "mostly down 12 s after machines return";

/// Judges every line.
pub fn all(evidence: &Evidence) -> Vec<Check> {
    vec![
        once_runs_twice(evidence),
        refused_runs(evidence),
        unsealed_answer(evidence),
        unconfigured_function(evidence),
        spec_not_in_force(evidence),
        ingress_behind(evidence),
        conflicting_changes(evidence),
        refused_change_in_force(evidence),
        draining_used(evidence),
        evacuated_used(evidence),
        answers_dropped(evidence),
        extra_tries(evidence),
        runner_overloaded(evidence),
        two_holders(evidence),
        service_down(evidence),
    ]
}

/// The name of a function without its version.
fn name_of(function: &str) -> &str {
    function.rsplit_once('@').map_or(function, |(name, _)| name)
}
