//! Holders and recovery: one holder at a time, orderly stops that drop nothing, service after a fault.

use super::{ANSWERS_DROPPED, DELIVERY_SLACK, SECOND, SERVICE_DOWN, TWO_HOLDERS};
use crate::judge::{Check, Evidence, JournalEntry};
use common::identity::FencingToken;
use serde_json::json;
use std::collections::BTreeMap;
use std::ops::Bound;

pub(super) fn answers_dropped(evidence: &Evidence) -> Check {
    let mut check = Check {
        name: ANSWERS_DROPPED,
        checked: 0,
        violations: vec![],
    };
    let stops: Vec<(&str, u64)> = evidence
        .recorded("stop")
        .filter_map(|recorded| Some((recorded.detail["door"].as_str()?, recorded.at)))
        .collect();
    for call in &evidence.calls {
        for (ingress, stop_at) in &stops {
            let is_under_way = call.at < *stop_at && call.end > *stop_at;
            if is_under_way && call.ingress == *ingress {
                check.checked += 1;
                if matches!(call.outcome.as_str(), "lost" | "unknown") {
                    check
                        .violations
                        .push(format!("{} was {} at {ingress}", call.id, call.outcome));
                }
            } else if is_under_way {
                check.checked += 1;
                if call.reason == "holder_silent" {
                    let what = format!(
                        "{} through {} lost its holder at {ingress}",
                        call.id, call.ingress
                    );
                    check.violations.push(what);
                }
            }
        }
    }
    for recorded in evidence.recorded("stopped") {
        check.checked += 1;
        if recorded.detail["in_time"] == json!(false) {
            check.violations.push(format!(
                "{} did not stop in time",
                recorded.detail["machine"]
            ));
        }
    }
    check
}

/// A holder is seen by what it sends and starts: once a later grant of a function was seen, nothing is
/// sent under an earlier one any more. A runner may be taken over by the later holder as it stands.
pub(super) fn two_holders(evidence: &Evidence) -> Check {
    let mut check = Check {
        name: TWO_HOLDERS,
        checked: 0,
        violations: vec![],
    };
    let mut seen: BTreeMap<&str, BTreeMap<FencingToken, u64>> = BTreeMap::new();
    let starts = evidence
        .instances
        .iter()
        .map(|instance| (&instance.function, instance.fencing_token, instance.start));
    let runs = evidence
        .runs
        .iter()
        .map(|run| (&run.function, run.fencing_token, run.at));
    for (function, fencing_token, at) in starts.chain(runs) {
        let first_at = seen
            .entry(function)
            .or_default()
            .entry(fencing_token)
            .or_insert(at);
        *first_at = at.min(*first_at);
    }
    for run in &evidence.runs {
        let Some(leases) = seen.get(run.function.as_str()) else {
            continue;
        };
        let later_leases = leases.range((Bound::Excluded(run.fencing_token), Bound::Unbounded));
        let Some((later, first_at)) = later_leases.min_by_key(|(_, first_at)| **first_at) else {
            continue;
        };
        check.checked += 1;
        if run.at > first_at + DELIVERY_SLACK {
            check.violations.push(format!(
                "{}: {} was sent to {} under {} after {later} had begun",
                run.function, run.idempotency_key, run.runner, run.fencing_token
            ));
        }
    }
    check
}

pub(super) fn service_down(evidence: &Evidence) -> Check {
    let mut check = Check {
        name: SERVICE_DOWN,
        checked: 0,
        violations: vec![],
    };
    let heavy_fault_ends: Vec<&JournalEntry> = evidence
        .recorded("returned")
        .filter(|recorded| recorded.detail["heavy"] == json!(true))
        .collect();
    let faults: Vec<u64> = evidence
        .recorded("fault")
        .map(|recorded| recorded.at)
        .collect();
    for returned in heavy_fault_ends {
        let next_fault = faults
            .iter()
            .find(|at| **at > returned.at)
            .copied()
            .unwrap_or(u64::MAX);
        let from = returned.at + 12 * SECOND;
        let until = (from + 5 * SECOND).min(next_fault);
        let mut is_judged = false;
        for second in 0..5 {
            let span = from + second * SECOND..(from + (second + 1) * SECOND).min(until);
            let calls: Vec<_> = evidence
                .calls
                .iter()
                .filter(|call| span.contains(&call.at))
                .collect();
            if calls.len() < 20 {
                continue;
            }
            is_judged = true;
            let answered_count = calls.iter().filter(|call| call.outcome == "answer").count();
            if answered_count * 2 < calls.len() {
                check.violations.push(format!(
                    "{} s after {}: {answered_count} of {} answered",
                    12 + second,
                    returned.detail["fault"],
                    calls.len()
                ));
            }
        }
        check.checked += usize::from(is_judged);
    }
    check
}
