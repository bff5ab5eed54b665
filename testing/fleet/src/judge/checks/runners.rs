//! The load on runners: extra tries, cold runners, slots.

use super::spec::{AllowedRoute, allowed_routes};
use super::{EXTRA_TRIES, RUNNER_OVERLOADED, SECOND, SLACK, name_of};
use crate::judge::{Check, Evidence, Run, RunnerInstance};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Counted for each function over all its routes, against a fifth of its first tries and three.
pub(super) fn extra_tries(evidence: &Evidence) -> Check {
    const ALLOWANCE: usize = 3;
    let calls = evidence.calls_by_id();
    let entries = allowed_routes(evidence);
    let mut by_path: HashMap<&str, Vec<&AllowedRoute>> = HashMap::new();
    for entry in &entries {
        by_path.entry(&entry.path).or_default().push(entry);
    }
    let mut firsts: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for call in evidence.calls.iter().filter(|call| !call.repeat) {
        let reached: BTreeSet<&str> = by_path
            .get(call.path.as_str())
            .into_iter()
            .flatten()
            .filter(|entry| (entry.from..=entry.until).contains(&call.at))
            .map(|entry| entry.function.as_str())
            .collect();
        for function in reached {
            firsts.entry(function).or_default().push(call.at);
        }
    }
    let mut extras: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for run in &evidence.runs {
        let Some(call) = calls.get(run.idempotency_key.as_str()) else {
            continue;
        };
        if run.attempt > 1 || call.repeat {
            extras
                .entry(name_of(&run.function))
                .or_default()
                .push(run.at);
        }
    }
    let mut check = Check {
        name: EXTRA_TRIES,
        checked: 0,
        violations: vec![],
    };
    for (function, extra_instants) in extras {
        let first_instants = firsts.get(function).cloned().unwrap_or_default();
        for (index, at) in extra_instants.iter().enumerate() {
            check.checked += 1;
            let window_start = at.saturating_sub(10 * SECOND);
            let extra_count = extra_instants[..=index]
                .iter()
                .filter(|instant| **instant > window_start)
                .count();
            let first_start = window_start.saturating_sub(SLACK);
            let first_count = first_instants
                .iter()
                .filter(|instant| **instant > first_start && **instant <= *at)
                .count();
            if extra_count > first_count / 5 + ALLOWANCE {
                check.violations.push(format!(
                    "{function}: {extra_count} extra to {first_count} first tries in 10 s"
                ));
            }
        }
    }
    check
}

pub(super) fn runner_overloaded(evidence: &Evidence) -> Check {
    let instances = evidence.instances_by_runner();
    let mut ends_by_runner: HashMap<&str, Vec<u64>> = HashMap::new();
    for run in &evidence.runs {
        ends_by_runner.entry(&run.runner).or_default().push(run.end);
    }
    let mut check = Check {
        name: RUNNER_OVERLOADED,
        checked: 0,
        violations: vec![],
    };
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

fn overload(
    run: &Run,
    instance: &RunnerInstance,
    ends_by_runner: &HashMap<&str, Vec<u64>>,
) -> Option<String> {
    if !run.ready {
        return Some(format!(
            "{} began on {} before it was ready",
            run.idempotency_key, run.runner
        ));
    }
    if run.at_once > instance.slots {
        return Some(format!(
            "{} at once on {} of {} slots",
            run.at_once, run.runner, instance.slots
        ));
    }
    let is_fresh = run.fencing_token == instance.fencing_token
        && run.at < instance.start + instance.startup + SECOND;
    let ended_count = ends_by_runner
        .get(run.runner.as_str())
        .map_or(0, |ends| ends.iter().filter(|end| **end <= run.at).count())
        as u64;
    (is_fresh && run.at_once > 1 + ended_count).then(|| {
        format!(
            "{} at once on fresh {} after {ended_count} runs",
            run.at_once, run.runner
        )
    })
}
