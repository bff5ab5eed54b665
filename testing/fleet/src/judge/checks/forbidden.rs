//! Checks that no run begins where none may begin any more: on draining workers and leaving runners, and in evacuated
//! zones.

use super::{DRAINING_WORKER_USED, EVACUATED_ZONE_USED, SECOND, SLACK};
use crate::judge::{Check, Evidence, JournalEntry, RunnerInstance};
use serde_json::json;
use std::collections::BTreeMap;

/// The time for which a draining worker or leaving runner may still be used, in nanoseconds.
const DRAIN_GRACE: u64 = 3 * SECOND;
/// The time for which an evacuated zone may still be used, in nanoseconds.
const EVACUATION_GRACE: u64 = 5 * SECOND;

/// A time span in which no run may begin at a location, which is a worker, a runner or a zone.
struct ForbiddenSpan {
    location: String,
    from: u64,
    until: u64,
}

/// Checks that no run begins at a forbidden location after the grace period.
fn forbidden_runs(
    evidence: &Evidence,
    name: &'static str,
    forbidden: &[ForbiddenSpan],
    location_of: impl Fn(&RunnerInstance) -> &str,
    grace: u64,
) -> Check {
    let instances = evidence.instances_by_runner();
    let mut check = Check::new(name);
    for run in &evidence.runs {
        let Some(instance) = instances.get(run.runner.as_str()) else {
            continue;
        };
        let location = location_of(instance);
        for span in forbidden {
            if span.location != location || run.at < span.from || run.at > span.until {
                continue;
            }
            check.checked += 1;
            if run.at > span.from + grace + SLACK {
                let late_ms = (run.at - span.from) / 1_000_000;
                check.violations.push(format!(
                    "{} began on {} at {location} {late_ms} ms after new runs were forbidden there",
                    run.idempotency_key, run.runner
                ));
            }
        }
    }
    check
}

/// Returns the spans that begin with one of the given actions on a location and end with the next other action on it.
fn forbidden_spans<'a>(
    entries: impl Iterator<Item = &'a JournalEntry>,
    location_field: &str,
    start_actions: &[&str],
) -> Vec<ForbiddenSpan> {
    let mut open_spans: BTreeMap<String, u64> = BTreeMap::new();
    let mut spans = Vec::new();
    for entry in entries {
        let location = entry.detail[location_field]
            .as_str()
            .unwrap_or("")
            .to_owned();
        let action = entry.detail["deed"].as_str().unwrap_or("");
        if start_actions.contains(&action) {
            open_spans.entry(location).or_insert(entry.at);
        } else if let Some(from) = open_spans.remove(&location) {
            spans.push(ForbiddenSpan {
                location,
                from,
                until: entry.at,
            });
        }
    }
    spans.extend(
        open_spans
            .into_iter()
            .map(|(location, from)| ForbiddenSpan {
                location,
                from,
                until: u64::MAX,
            }),
    );
    spans
}

/// Checks draining and crashed workers until they are restored, and runners after they announced that they leave.
pub(super) fn draining_worker_used(evidence: &Evidence) -> Check {
    let workers = forbidden_spans(evidence.entries_of("worker"), "worker", &["drain", "crash"]);
    let runners: Vec<ForbiddenSpan> = evidence
        .entries_of("runner_leaves")
        .filter_map(|entry| {
            Some(ForbiddenSpan {
                location: entry.detail["runner"].as_str()?.to_owned(),
                from: entry.at,
                until: u64::MAX,
            })
        })
        .collect();
    let check_at = |spans: &[ForbiddenSpan], location_of: fn(&RunnerInstance) -> &str| {
        forbidden_runs(
            evidence,
            DRAINING_WORKER_USED,
            spans,
            location_of,
            DRAIN_GRACE,
        )
    };
    let mut check = check_at(&workers, |instance| &instance.worker);
    check.merge(check_at(&runners, |instance| &instance.runner));
    check
}

/// Checks zones whose evacuation was accepted, until they are restored.
pub(super) fn evacuated_zone_used(evidence: &Evidence) -> Check {
    let accepted = evidence
        .entries_of("locality")
        .filter(|entry| entry.detail["status"] == json!(200));
    let zones = forbidden_spans(accepted, "locality", &["evacuate"]);
    forbidden_runs(
        evidence,
        EVACUATED_ZONE_USED,
        &zones,
        |instance| &instance.zone,
        EVACUATION_GRACE,
    )
}
