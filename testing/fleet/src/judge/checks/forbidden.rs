//! Places that are no longer to be used: draining workers, leaving runners, evacuated zones.

use super::{DRAINING_USED, EVACUATED_USED, SECOND, SLACK};
use crate::judge::{Check, Evidence, JournalEntry, RunnerInstance};
use serde_json::json;
use std::collections::BTreeMap;

/// Runs that began where a thing was barred, some time after it was.
fn forbidden_runs(
    evidence: &Evidence,
    name: &'static str,
    forbidden: &[(String, u64, u64)],
    location_of: impl Fn(&RunnerInstance) -> String,
    grace: u64,
) -> Check {
    let instances = evidence.instances_by_runner();
    let mut check = Check {
        name,
        checked: 0,
        violations: vec![],
    };
    for run in &evidence.runs {
        let Some(instance) = instances.get(run.runner.as_str()) else {
            continue;
        };
        let location = location_of(instance);
        for (barred_location, from, until) in forbidden {
            if *barred_location != location || run.at < *from || run.at > *until {
                continue;
            }
            check.checked += 1;
            if run.at > from + grace + SLACK {
                let late_ms = (run.at - from) / 1_000_000;
                check.violations.push(format!(
                    "{} began on {} at {location} {late_ms} ms after it was barred",
                    run.idempotency_key, run.runner
                ));
            }
        }
    }
    check
}

fn spans<'a>(
    entries: impl Iterator<Item = &'a JournalEntry>,
    name_field: &str,
    start_actions: &[&str],
) -> Vec<(String, u64, u64)> {
    let mut open_spans: BTreeMap<String, u64> = BTreeMap::new();
    let mut closed_spans = Vec::new();
    for recorded in entries {
        let name = recorded.detail[name_field]
            .as_str()
            .unwrap_or("")
            .to_owned();
        let action = recorded.detail["deed"].as_str().unwrap_or("");
        if start_actions.contains(&action) {
            open_spans.entry(name).or_insert(recorded.at);
        } else if let Some(from) = open_spans.remove(&name) {
            closed_spans.push((name, from, recorded.at));
        }
    }
    closed_spans.extend(
        open_spans
            .into_iter()
            .map(|(name, from)| (name, from, u64::MAX)),
    );
    closed_spans
}

pub(super) fn draining_used(evidence: &Evidence) -> Check {
    let forbidden = spans(evidence.recorded("worker"), "worker", &["drain", "crash"]);
    let mut check = forbidden_runs(
        evidence,
        DRAINING_USED,
        &forbidden,
        |instance| instance.worker.clone(),
        3 * SECOND,
    );
    let leaving: Vec<(String, u64, u64)> = evidence
        .recorded("runner_leaves")
        .filter_map(|recorded| {
            Some((
                recorded.detail["runner"].as_str()?.to_owned(),
                recorded.at,
                u64::MAX,
            ))
        })
        .collect();
    let leaving_check = forbidden_runs(
        evidence,
        DRAINING_USED,
        &leaving,
        |instance| instance.runner.clone(),
        3 * SECOND,
    );
    check.checked += leaving_check.checked;
    check.violations.extend(leaving_check.violations);
    check
}

pub(super) fn evacuated_used(evidence: &Evidence) -> Check {
    let accepted = evidence
        .recorded("locality")
        .filter(|recorded| recorded.detail["status"] == json!(200));
    let forbidden = spans(accepted, "locality", &["evacuate"]);
    forbidden_runs(
        evidence,
        EVACUATED_USED,
        &forbidden,
        |instance| instance.zone.clone(),
        5 * SECOND,
    )
}
