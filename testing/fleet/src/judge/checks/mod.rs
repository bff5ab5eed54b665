//! The checks for violations of safety and service. Each uses only the recorded evidence; its name is part of the
//! report.

mod forbidden;
mod outcomes;
mod runners;
mod service;
mod spec;

use super::{Check, Evidence};
use forbidden::{draining_worker_used, evacuated_zone_used};
use outcomes::{at_most_once_violated, refused_request_ran, unsealed_answer};
use runners::{excess_retries, runner_overloaded};
use service::{
    answers_dropped, concurrent_holders, runs_after_disconnect, service_not_recovered,
    unanswered_at_stop,
};
use spec::{
    conflicting_changes, ingress_outdated, refused_change_in_force, spec_not_in_force,
    unconfigured_function,
};

/// Nanoseconds in a second. Times in records are in nanoseconds.
const SECOND: u64 = 1_000_000_000;
/// The tolerance for differences between the times of different records, in nanoseconds.
const SLACK: u64 = SECOND / 4;
/// The longest time that a request may be in flight from a lease holder to a runner, in nanoseconds.
const DELIVERY_SLACK: u64 = SECOND / 10;
/// The time within which an accepted spec must be in force everywhere, in nanoseconds.
const IN_FORCE_TIMEOUT: u64 = 3 * SECOND;

/// A request that must run at most once ran more than once.
pub const AT_MOST_ONCE_VIOLATED: &str = "a once-transaction runs twice";
/// A request ran although its caller was told that it did not.
pub const REFUSED_REQUEST_RAN: &str = "refused as not run, and runs";
/// A successful answer is not the unmodified answer of a runner that ran the request.
pub const UNSEALED_ANSWER: &str = "a success without its runner's own sealed body";
/// A request ran on a function that no accepted spec configured for its path.
pub const UNCONFIGURED_FUNCTION: &str = "a run on a function its path was never given";
/// A request ran on a function that its path had in an older or a later spec, but not in one that could be in force.
pub const SPEC_NOT_IN_FORCE: &str = "an accepted spec not in force after 3 s, or undone";
/// An ingress did not know a route that was in force, or still served one that was removed.
pub const INGRESS_OUTDATED: &str = "a door without an accepted spec after 3 s";
/// Two changes of the spec with the same base version were accepted.
pub const CONFLICTING_CHANGES: &str = "two changes on one version accepted";
/// A request ran on a function that only a refused change configured for its path.
pub const REFUSED_CHANGE_IN_FORCE: &str = "a refused change in force";
/// A run began on a draining worker or a leaving runner after the grace period.
pub const DRAINING_WORKER_USED: &str = "a leaving runner or draining worker used after 3 s";
/// A run began in an evacuated zone after the grace period.
pub const EVACUATED_ZONE_USED: &str = "an evacuated locality used after 5 s";
/// A graceful stop lost answers to requests in flight, or exceeded its grace period.
pub const ANSWERS_DROPPED: &str = "an orderly stop drops answers in hand";
/// A daemon that was stopped gracefully closed a connection without a response to a request that it had read.
pub const UNANSWERED_AT_STOP: &str = "an orderly stop leaves a request without a word";
/// Requests reached runners long after their callers had closed their connections.
pub const RUNS_AFTER_DISCONNECT: &str = "runs that begin over 0.5 s after their callers have left";
/// Retries exceeded the retry budget.
pub const EXCESS_RETRIES: &str = "extra tries above a fifth in 10 s";
/// A runner got a request before it was ready, more than its slots, or too many right after its startup.
pub const RUNNER_OVERLOADED: &str = "a cold runner flooded, or slots exceeded";
/// A lease holder sent a request after a later holder of the same function had started work.
pub const CONCURRENT_HOLDERS: &str = "two holders of one function at once";
/// Most requests were still not answered 12 s after a heavy fault was undone.
pub const SERVICE_NOT_RECOVERED: &str = "mostly down 12 s after machines return";

/// Runs all checks, in report order.
pub fn all(evidence: &Evidence) -> Vec<Check> {
    vec![
        at_most_once_violated(evidence),
        refused_request_ran(evidence),
        unsealed_answer(evidence),
        unconfigured_function(evidence),
        spec_not_in_force(evidence),
        ingress_outdated(evidence),
        conflicting_changes(evidence),
        refused_change_in_force(evidence),
        draining_worker_used(evidence),
        evacuated_zone_used(evidence),
        answers_dropped(evidence),
        unanswered_at_stop(evidence),
        runs_after_disconnect(evidence),
        excess_retries(evidence),
        runner_overloaded(evidence),
        concurrent_holders(evidence),
        service_not_recovered(evidence),
    ]
}

/// Returns the name of a function without its generation.
fn name_of(function: &str) -> &str {
    function.rsplit_once('@').map_or(function, |(name, _)| name)
}
