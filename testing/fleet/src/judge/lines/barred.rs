//! Places that are no longer to be used: draining workers, leaving runners, evacuated zones.

use super::{DRAINING, EVACUATED, SECOND, SLACK};
use crate::judge::{Evidence, Life, Line, Told};
use serde_json::json;
use std::collections::BTreeMap;

/// Runs that began where a thing was barred, some time after it was.
fn barred_runs(
    evidence: &Evidence,
    name: &'static str,
    barred: &[(String, u64, u64)],
    place_of: impl Fn(&Life) -> String,
    grace: u64,
) -> Line {
    let lives = evidence.lives_by_runner();
    let mut line = Line { name, checked: 0, violations: vec![] };
    for run in &evidence.runs {
        let Some(life) = lives.get(run.runner.as_str()) else { continue };
        let place = place_of(life);
        for (barred_place, from, until) in barred {
            if *barred_place != place || run.at < *from || run.at > *until {
                continue;
            }
            line.checked += 1;
            if run.at > from + grace + SLACK {
                let late_ms = (run.at - from) / 1_000_000;
                line.violations.push(format!(
                    "{} began on {} at {place} {late_ms} ms after it was barred",
                    run.transaction, run.runner
                ));
            }
        }
    }
    line
}

fn spans<'a>(
    entries: impl Iterator<Item = &'a Told>,
    name_field: &str,
    begins: &[&str],
) -> Vec<(String, u64, u64)> {
    let mut open_spans: BTreeMap<String, u64> = BTreeMap::new();
    let mut closed_spans = Vec::new();
    for told in entries {
        let name = told.detail[name_field].as_str().unwrap_or("").to_owned();
        let deed = told.detail["deed"].as_str().unwrap_or("");
        if begins.contains(&deed) {
            open_spans.entry(name).or_insert(told.at);
        } else if let Some(from) = open_spans.remove(&name) {
            closed_spans.push((name, from, told.at));
        }
    }
    closed_spans.extend(open_spans.into_iter().map(|(name, from)| (name, from, u64::MAX)));
    closed_spans
}

pub(super) fn draining_used(evidence: &Evidence) -> Line {
    let barred = spans(evidence.told("worker"), "worker", &["drain", "crash"]);
    let mut line = barred_runs(evidence, DRAINING, &barred, |life| life.worker.clone(), 3 * SECOND);
    let leaving: Vec<(String, u64, u64)> = evidence
        .told("runner_leaves")
        .filter_map(|told| Some((told.detail["runner"].as_str()?.to_owned(), told.at, u64::MAX)))
        .collect();
    let left = barred_runs(evidence, DRAINING, &leaving, |life| life.runner.clone(), 3 * SECOND);
    line.checked += left.checked;
    line.violations.extend(left.violations);
    line
}

pub(super) fn evacuated_used(evidence: &Evidence) -> Line {
    let accepted = evidence.told("locality").filter(|told| told.detail["status"] == json!(200));
    let barred = spans(accepted, "locality", &["evacuate"]);
    barred_runs(evidence, EVACUATED, &barred, |life| life.zone.clone(), 5 * SECOND)
}
