//! Holders and recovery: one holder at a time, orderly stops that drop nothing, service after a fault.

use super::{DOWN, DROPPED, ON_THE_WAY, SECOND, TWO_HOLDERS};
use crate::judge::{Evidence, Line, Told};
use common::identity::GrantSerial;
use serde_json::json;
use std::collections::BTreeMap;
use std::ops::Bound;

pub(super) fn answers_dropped(evidence: &Evidence) -> Line {
    let mut line = Line { name: DROPPED, checked: 0, violations: vec![] };
    let stops: Vec<(&str, u64)> = evidence
        .told("stop")
        .filter_map(|told| Some((told.detail["door"].as_str()?, told.at)))
        .collect();
    for call in &evidence.calls {
        for (door, stop_at) in &stops {
            let is_under_way = call.at < *stop_at && call.end > *stop_at;
            if is_under_way && call.door == *door {
                line.checked += 1;
                if matches!(call.outcome.as_str(), "lost" | "unknown") {
                    line.violations.push(format!("{} was {} at {door}", call.id, call.outcome));
                }
            } else if is_under_way {
                line.checked += 1;
                if call.reason == "holder_silent" {
                    let what =
                        format!("{} through {} lost its holder at {door}", call.id, call.door);
                    line.violations.push(what);
                }
            }
        }
    }
    for told in evidence.told("stopped") {
        line.checked += 1;
        if told.detail["in_time"] == json!(false) {
            line.violations.push(format!("{} did not stop in time", told.detail["machine"]));
        }
    }
    line
}

/// A holder is seen by what it sends and starts: once a later grant of a function was seen, nothing is
/// sent under an earlier one any more. A runner may be taken over by the later holder as it stands.
pub(super) fn held_twice(evidence: &Evidence) -> Line {
    let mut line = Line { name: TWO_HOLDERS, checked: 0, violations: vec![] };
    let mut seen: BTreeMap<&str, BTreeMap<GrantSerial, u64>> = BTreeMap::new();
    let starts = evidence.lives.iter().map(|life| (&life.function, life.grant, life.start));
    let runs = evidence.runs.iter().map(|run| (&run.function, run.grant, run.at));
    for (function, grant, at) in starts.chain(runs) {
        let first_at = seen.entry(function).or_default().entry(grant).or_insert(at);
        *first_at = at.min(*first_at);
    }
    for run in &evidence.runs {
        let Some(grants) = seen.get(run.function.as_str()) else { continue };
        let later_grants = grants.range((Bound::Excluded(run.grant), Bound::Unbounded));
        let Some((later, first_at)) = later_grants.min_by_key(|(_, first_at)| **first_at) else {
            continue;
        };
        line.checked += 1;
        if run.at > first_at + ON_THE_WAY {
            line.violations.push(format!(
                "{}: {} was sent to {} under {} after {later} had begun",
                run.function, run.transaction, run.runner, run.grant
            ));
        }
    }
    line
}

pub(super) fn still_down(evidence: &Evidence) -> Line {
    let mut line = Line { name: DOWN, checked: 0, violations: vec![] };
    let heavy_returns: Vec<&Told> =
        evidence.told("returned").filter(|told| told.detail["heavy"] == json!(true)).collect();
    let faults: Vec<u64> = evidence.told("fault").map(|told| told.at).collect();
    for returned in heavy_returns {
        let next_fault = faults.iter().find(|at| **at > returned.at).copied().unwrap_or(u64::MAX);
        let from = returned.at + 12 * SECOND;
        let until = (from + 5 * SECOND).min(next_fault);
        let mut is_judged = false;
        for second in 0..5 {
            let span = from + second * SECOND..(from + (second + 1) * SECOND).min(until);
            let calls: Vec<_> =
                evidence.calls.iter().filter(|call| span.contains(&call.at)).collect();
            if calls.len() < 20 {
                continue;
            }
            is_judged = true;
            let answered_count = calls.iter().filter(|call| call.outcome == "answer").count();
            if answered_count * 2 < calls.len() {
                line.violations.push(format!(
                    "{} s after {}: {answered_count} of {} answered",
                    12 + second,
                    returned.detail["fault"],
                    calls.len()
                ));
            }
        }
        line.checked += usize::from(is_judged);
    }
    line
}
