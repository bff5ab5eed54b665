//! Checks of the load on runners: retries, slots, and runners that have just started.

use super::spec::allowed_routes_by_path;
use super::{EXCESS_RETRIES, RUNNER_OVERLOADED, SECOND, SLACK, name_of};
use crate::judge::{Check, Evidence, Run, RunnerInstance};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The length of the window in which retries are compared with first attempts, in nanoseconds.
const RETRY_WINDOW: u64 = 10 * SECOND;
/// The number of first attempts that allow one retry.
const CALLS_PER_RETRY: usize = 5;
/// The number of additional retries, so that requests for rarely used functions can be retried at all.
const RETRY_ALLOWANCE: usize = 3;

/// Compares the retries of each function, over all its routes, with the first attempts in the same window.
pub(super) fn excess_retries(evidence: &Evidence) -> Check {
    let first_attempts = first_attempts_by_function(evidence);
    let mut check = Check::new(EXCESS_RETRIES);
    for (function, retries) in retries_by_function(evidence) {
        let first_attempts = first_attempts.get(function).map_or(&[][..], Vec::as_slice);
        for (index, at) in retries.iter().enumerate() {
            check.checked += 1;
            let window_start = at.saturating_sub(RETRY_WINDOW);
            let retry_count = retries[..=index]
                .iter()
                .filter(|retried_at| **retried_at > window_start)
                .count();
            let first_start = window_start.saturating_sub(SLACK);
            let first_count = first_attempts
                .iter()
                .filter(|sent_at| **sent_at > first_start && **sent_at <= *at)
                .count();
            if retry_count > first_count / CALLS_PER_RETRY + RETRY_ALLOWANCE {
                check.violations.push(format!(
                    "{function}: {retry_count} retries of {first_count} first attempts in 10 s"
                ));
            }
        }
    }
    check
}

/// Returns when first attempts were sent, for each function that they could reach at that time.
fn first_attempts_by_function(evidence: &Evidence) -> BTreeMap<String, Vec<u64>> {
    let routes_by_path = allowed_routes_by_path(evidence);
    let mut first_attempts: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for call in evidence.calls.iter().filter(|call| !call.is_retry) {
        let routes = routes_by_path.get(&call.path).into_iter().flatten();
        let reachable: BTreeSet<&str> = routes
            .filter(|route| route.is_allowed_at(call.at))
            .map(|route| route.function.as_str())
            .collect();
        for function in reachable {
            first_attempts
                .entry(function.to_owned())
                .or_default()
                .push(call.at);
        }
    }
    first_attempts
}

/// Returns when retries ran: those made within the fleet and those made by callers.
fn retries_by_function(evidence: &Evidence) -> BTreeMap<&str, Vec<u64>> {
    let calls = evidence.calls_by_id();
    let mut retries: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for run in &evidence.runs {
        let Some(call) = calls.get(run.idempotency_key.as_str()) else {
            continue;
        };
        if run.attempt > 1 || call.is_retry {
            retries
                .entry(name_of(&run.function))
                .or_default()
                .push(run.at);
        }
    }
    retries
}

/// Checks that no run begins on a runner that is not ready, has no free slot, or has just started and already has too
/// many concurrent runs.
pub(super) fn runner_overloaded(evidence: &Evidence) -> Check {
    let instances = evidence.instances_by_runner();
    let mut ends_by_runner: HashMap<&str, Vec<u64>> = HashMap::new();
    for run in &evidence.runs {
        ends_by_runner.entry(&run.runner).or_default().push(run.end);
    }
    let mut check = Check::new(RUNNER_OVERLOADED);
    for run in &evidence.runs {
        let Some(instance) = instances.get(run.runner.as_str()) else {
            continue;
        };
        check.checked += 1;
        if let Some(violation) = overload(run, instance, &ends_by_runner) {
            check.violations.push(violation);
        }
    }
    check
}

/// Returns the violation if a runner is overloaded when a run begins. In the second after its startup, a runner may run
/// one request more than it has finished.
fn overload(
    run: &Run,
    instance: &RunnerInstance,
    ends_by_runner: &HashMap<&str, Vec<u64>>,
) -> Option<String> {
    if !run.is_runner_ready {
        return Some(format!(
            "{} began on {} before it was ready",
            run.idempotency_key, run.runner
        ));
    }
    if run.concurrent_runs > instance.slots {
        return Some(format!(
            "{} concurrent runs on {} with {} slots",
            run.concurrent_runs, run.runner, instance.slots
        ));
    }
    let is_fresh = run.fencing_token == instance.fencing_token
        && run.at < instance.start + instance.startup + SECOND;
    let ended_count = ends_by_runner
        .get(run.runner.as_str())
        .map_or(0, |ends| ends.iter().filter(|end| **end <= run.at).count())
        as u64;
    (is_fresh && run.concurrent_runs > 1 + ended_count).then(|| {
        format!(
            "{} concurrent runs on fresh {} after {ended_count} finished runs",
            run.concurrent_runs, run.runner
        )
    })
}
