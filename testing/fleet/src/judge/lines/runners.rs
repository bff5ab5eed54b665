//! The load on runners: extra tries, cold runners, slots.

use super::spec::{Allowed, allowed};
use super::{EXTRA, FLOODED, SECOND, SLACK, name_of};
use crate::judge::{Evidence, Life, Line, Run};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Counted for each function over all its routes, against a fifth of its first tries and three.
pub(super) fn extra_tries(evidence: &Evidence) -> Line {
    const ALLOWANCE: usize = 3;
    let calls = evidence.calls_by_id();
    let entries = allowed(evidence);
    let mut by_path: HashMap<&str, Vec<&Allowed>> = HashMap::new();
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
        let Some(call) = calls.get(run.transaction.as_str()) else { continue };
        if run.attempt > 1 || call.repeat {
            extras.entry(name_of(&run.function)).or_default().push(run.at);
        }
    }
    let mut line = Line { name: EXTRA, checked: 0, violations: vec![] };
    for (function, extra_moments) in extras {
        let first_moments = firsts.get(function).cloned().unwrap_or_default();
        for (place, at) in extra_moments.iter().enumerate() {
            line.checked += 1;
            let window_start = at.saturating_sub(10 * SECOND);
            let extra_count =
                extra_moments[..=place].iter().filter(|moment| **moment > window_start).count();
            let first_start = window_start.saturating_sub(SLACK);
            let first_count = first_moments
                .iter()
                .filter(|moment| **moment > first_start && **moment <= *at)
                .count();
            if extra_count > first_count / 5 + ALLOWANCE {
                line.violations.push(format!(
                    "{function}: {extra_count} extra to {first_count} first tries in 10 s"
                ));
            }
        }
    }
    line
}

pub(super) fn flooded(evidence: &Evidence) -> Line {
    let lives = evidence.lives_by_runner();
    let mut ends_by_runner: HashMap<&str, Vec<u64>> = HashMap::new();
    for run in &evidence.runs {
        ends_by_runner.entry(&run.runner).or_default().push(run.end);
    }
    let mut line = Line { name: FLOODED, checked: 0, violations: vec![] };
    for run in &evidence.runs {
        let Some(life) = lives.get(run.runner.as_str()) else { continue };
        line.checked += 1;
        if let Some(violation) = flood(run, life, &ends_by_runner) {
            line.violations.push(violation);
        }
    }
    line
}

fn flood(run: &Run, life: &Life, ends_by_runner: &HashMap<&str, Vec<u64>>) -> Option<String> {
    if !run.ready {
        return Some(format!("{} began on {} before it was ready", run.transaction, run.runner));
    }
    if run.at_once > life.slots {
        return Some(format!("{} at once on {} of {} slots", run.at_once, run.runner, life.slots));
    }
    let is_fresh = run.grant == life.grant && run.at < life.start + life.boot + SECOND;
    let ended_count = ends_by_runner
        .get(run.runner.as_str())
        .map_or(0, |ends| ends.iter().filter(|end| **end <= run.at).count())
        as u64;
    (is_fresh && run.at_once > 1 + ended_count).then(|| {
        format!("{} at once on fresh {} after {ended_count} runs", run.at_once, run.runner)
    })
}
