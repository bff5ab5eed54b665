//! The lines of what must never happen, each judged from evidence alone.

mod barred;
mod outcomes;
mod runners;
mod service;
mod spec;

use super::{Evidence, Line};
use barred::{draining_used, evacuated_used};
use outcomes::{not_run_ran, once_twice, unsealed_answer};
use runners::{extra_tries, flooded};
use service::{answers_dropped, held_twice, still_down};
use spec::{doors_behind, losing_change, never_allowed, not_in_force, refused_change};

/// A second in the nanoseconds of the records.
const SECOND: u64 = 1_000_000_000;
/// What clocks and records may differ by.
const SLACK: u64 = SECOND / 4;
/// How long a send may be on its way from a holder to a runner.
const ON_THE_WAY: u64 = SECOND / 10;

/// A once-transaction runs twice.
pub const TWICE: &str = "a once-transaction runs twice";
/// What was refused runs.
pub const REFUSED: &str = "refused as not run, and runs";
/// A success without the runner's body.
pub const UNSEALED: &str = "a success without its runner's own sealed body";
/// A run on a function that its path was never given.
pub const NEVER: &str = "a run on a function its path was never given";
/// An old spec in use.
pub const FORCE: &str = "an accepted spec not in force after 3 s, or undone";
/// A door that does not know a route, or knows one that is gone.
pub const DOORS: &str = "a door without an accepted spec after 3 s";
/// Two changes on one version.
pub const LOSING: &str = "two changes on one version accepted";
/// A refused change in force.
pub const REFUSED_CHANGE: &str = "a refused change in force";
/// Draining and leaving.
pub const DRAINING: &str = "a leaving runner or draining worker used after 3 s";
/// Evacuation.
pub const EVACUATED: &str = "an evacuated locality used after 5 s";
/// Orderly stops.
pub const DROPPED: &str = "an orderly stop drops answers in hand";
/// Extra tries.
pub const EXTRA: &str = "extra tries above a fifth in 10 s";
/// Slots and ramps.
pub const FLOODED: &str = "a cold runner flooded, or slots exceeded";
/// Two holders.
pub const TWO_HOLDERS: &str = "two holders of one function at once";
/// Recovery.
pub const DOWN: &str = "mostly down 12 s after machines return";

/// Judges every line.
pub fn all(evidence: &Evidence) -> Vec<Line> {
    vec![
        once_twice(evidence),
        not_run_ran(evidence),
        unsealed_answer(evidence),
        never_allowed(evidence),
        not_in_force(evidence),
        doors_behind(evidence),
        losing_change(evidence),
        refused_change(evidence),
        draining_used(evidence),
        evacuated_used(evidence),
        answers_dropped(evidence),
        extra_tries(evidence),
        flooded(evidence),
        held_twice(evidence),
        still_down(evidence),
    ]
}

/// The name of a function without its version.
fn name_of(function: &str) -> &str {
    function.rsplit_once('@').map_or(function, |(name, _)| name)
}
