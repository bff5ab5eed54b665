//! Lease holders and recovery: one holder at a time, graceful stops that drop nothing, service after a fault.

use super::{ANSWERS_DROPPED, DELIVERY_SLACK, SECOND, SERVICE_DOWN, TWO_HOLDERS};
use crate::judge::{Call, Check, Evidence, JournalEntry};
use common::identity::FencingToken;
use serde_json::json;
use std::collections::BTreeMap;
use std::ops::Bound;

/// A request in flight at a graceful stop keeps its answer: at the stopping ingress it has a definite outcome, and
/// at others it does not lose its lease holder. The process itself stops within its grace period.
pub(super) fn answers_dropped(evidence: &Evidence) -> Check {
    let mut check = Check::new(ANSWERS_DROPPED);
    let stops: Vec<(&str, u64)> = evidence
        .entries_of("stop")
        .filter_map(|entry| Some((entry.detail["door"].as_str()?, entry.at)))
        .collect();
    for call in &evidence.calls {
        for (ingress, stop_at) in &stops {
            if call.at < *stop_at && call.end > *stop_at {
                check.checked += 1;
                check.violations.extend(drop_at_stop(call, ingress));
            }
        }
    }
    for entry in evidence.entries_of("stopped") {
        check.checked += 1;
        if entry.detail["in_time"] == json!(false) {
            check
                .violations
                .push(format!("{} did not stop in time", entry.detail["machine"]));
        }
    }
    check
}

/// What is wrong with the outcome of a call that was in flight when the process at this ingress stopped.
fn drop_at_stop(call: &Call, stopping: &str) -> Option<String> {
    if call.ingress == stopping {
        call.is_indeterminate()
            .then(|| format!("{} was {} at {stopping}", call.id, call.outcome))
    } else {
        (call.reason == "holder_silent").then(|| {
            format!(
                "{} through {} lost its holder at {stopping}",
                call.id, call.ingress
            )
        })
    }
}

/// A lease holder shows itself by the runners it starts and the requests it sends. Once one with a later fencing
/// token did so, nothing may be sent under an earlier token. The later holder may keep the earlier one's runners.
pub(super) fn two_holders(evidence: &Evidence) -> Check {
    let mut check = Check::new(TWO_HOLDERS);
    let mut first_seen: BTreeMap<&str, BTreeMap<FencingToken, u64>> = BTreeMap::new();
    let starts = evidence
        .instances
        .iter()
        .map(|instance| (&instance.function, instance.fencing_token, instance.start));
    let runs = evidence
        .runs
        .iter()
        .map(|run| (&run.function, run.fencing_token, run.at));
    for (function, fencing_token, at) in starts.chain(runs) {
        let first_at = first_seen
            .entry(function)
            .or_default()
            .entry(fencing_token)
            .or_insert(at);
        *first_at = at.min(*first_at);
    }
    for run in &evidence.runs {
        let Some(leases) = first_seen.get(run.function.as_str()) else {
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

/// How long after the return of the machines service is measured, in seconds.
const RECOVERY_SECONDS: u64 = 12;
/// How many seconds are measured then.
const MEASURED_SECONDS: u64 = 5;
/// Seconds with fewer calls are not measured.
const MIN_CALLS: usize = 20;

/// In each measured second after a heavy fault was undone, and before the next fault, at least half of the calls are
/// answered.
pub(super) fn service_down(evidence: &Evidence) -> Check {
    let mut check = Check::new(SERVICE_DOWN);
    let faults: Vec<u64> = evidence.entries_of("fault").map(|entry| entry.at).collect();
    let heavy_fault_ends = evidence
        .entries_of("returned")
        .filter(|entry| entry.detail["heavy"] == json!(true));
    for returned in heavy_fault_ends {
        let next_fault = faults.iter().find(|at| **at > returned.at).copied();
        let found = service_after(evidence, returned, next_fault.unwrap_or(u64::MAX));
        check.merge(found);
    }
    check
}

/// One case if any second could be measured, and a violation for each in which most calls were not answered.
fn service_after(evidence: &Evidence, returned: &JournalEntry, next_fault: u64) -> Check {
    let mut check = Check::new(SERVICE_DOWN);
    let from = returned.at + RECOVERY_SECONDS * SECOND;
    let until = (from + MEASURED_SECONDS * SECOND).min(next_fault);
    for second in 0..MEASURED_SECONDS {
        let span = from + second * SECOND..(from + (second + 1) * SECOND).min(until);
        let calls: Vec<_> = evidence
            .calls
            .iter()
            .filter(|call| span.contains(&call.at))
            .collect();
        if calls.len() < MIN_CALLS {
            continue;
        }
        check.checked = 1;
        let answered_count = calls.iter().filter(|call| call.is_answered()).count();
        if answered_count * 2 < calls.len() {
            check.violations.push(format!(
                "{} s after {}: {answered_count} of {} answered",
                RECOVERY_SECONDS + second,
                returned.detail["fault"],
                calls.len()
            ));
        }
    }
    check
}
