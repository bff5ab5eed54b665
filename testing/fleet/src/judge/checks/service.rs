//! Lease holders and recovery: one holder at a time, graceful stops that drop nothing, service after a fault.

use super::{
    ANSWERS_DROPPED, CONCURRENT_HOLDERS, DELIVERY_SLACK, RUNS_AFTER_DISCONNECT, SECOND,
    SERVICE_NOT_RECOVERED, SLACK, UNANSWERED_AT_STOP,
};
use crate::judge::{Call, Check, Evidence, JournalEntry};
use common::http::CallError;
use common::identity::FencingToken;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
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

/// A graceful stop of a daemon, until its process was gone.
struct OrderlyStop<'a> {
    ingress: &'a str,
    from: u64,
    until: u64,
}

/// The graceful stops of daemons that ended by themselves, were not killed, and were not frozen meanwhile.
fn orderly_stops(evidence: &Evidence) -> Vec<OrderlyStop<'_>> {
    let stop_of = |entry: &'_ JournalEntry| {
        let machine = entry.detail["machine"].clone();
        let is_same =
            move |other: &&JournalEntry| other.at >= entry.at && other.detail["machine"] == machine;
        let stopped = evidence.entries_of("stopped").find(&is_same)?;
        let is_disturbed = ["kill", "freeze"].iter().any(|kind| {
            let mut disturbances = evidence.entries_of(kind).filter(&is_same);
            disturbances.any(|other| other.at <= stopped.at)
        });
        (!is_disturbed && stopped.detail["in_time"] == json!(true)).then_some(stopped.at)
    };
    evidence
        .entries_of("stop")
        .filter_map(|entry| {
            Some(OrderlyStop {
                ingress: entry.detail["door"].as_str()?,
                from: entry.at,
                until: stop_of(entry)?,
            })
        })
        .collect()
}

/// Whatever else goes wrong, a daemon that stops gracefully answers every request that it has read, if only with the
/// word that its outcome is unknown. A request that crosses the close of its connection was not read.
pub(super) fn unanswered_at_stop(evidence: &Evidence) -> Check {
    let mut check = Check::new(UNANSWERED_AT_STOP);
    let run_ids: BTreeSet<&str> = evidence
        .runs
        .iter()
        .map(|run| run.idempotency_key.as_str())
        .collect();
    let stops = orderly_stops(evidence);
    for call in &evidence.calls {
        let is_in_hand = |stop: &&OrderlyStop<'_>| {
            call.ingress == stop.ingress && call.at < stop.until && call.end > stop.from
        };
        let Some(stop) = stops.iter().find(is_in_hand) else {
            continue;
        };
        check.checked += 1;
        let was_read = run_ids.contains(call.id.as_str()) || call.end - call.at > SLACK;
        let has_timed_out = call.reason == CallError::Timeout.to_string();
        if call.outcome == "lost" && was_read && !has_timed_out {
            check.violations.push(format!(
                "{} was cut off after {} ms at {}: {}",
                call.id,
                (call.end - call.at) / 1_000_000,
                stop.ingress,
                call.reason
            ));
        }
    }
    check
}

/// How long after its caller has left a request may still reach a runner, in nanoseconds.
const TAKEN_BACK_WITHIN: u64 = SECOND / 2;
/// How many requests may reach one later.
const MAX_LATE_RUNS: usize = 3;

/// Once a caller has closed its connection its request is taken back, wherever it waits.
pub(super) fn runs_after_disconnect(evidence: &Evidence) -> Check {
    let mut check = Check::new(RUNS_AFTER_DISCONNECT);
    let calls = evidence.calls_by_id();
    check.checked = evidence.calls.iter().filter(|call| call.has_left()).count();
    let late_runs = evidence.runs.iter().filter_map(|run| {
        let call = calls.get(run.idempotency_key.as_str())?;
        let is_late = call.has_left() && run.at > call.end + TAKEN_BACK_WITHIN;
        is_late.then(|| (call, run.at - call.end))
    });
    let violations: Vec<String> = late_runs
        .map(|(call, after)| format!("{} ran {} ms after", call.id, after / 1_000_000))
        .collect();
    if violations.len() > MAX_LATE_RUNS {
        check.violations = violations;
    }
    check
}

/// A lease holder shows itself by the runners it starts and the requests it sends. Once one with a later fencing
/// token did so, nothing may be sent under an earlier token. The later holder may keep the earlier one's runners.
pub(super) fn concurrent_holders(evidence: &Evidence) -> Check {
    let mut check = Check::new(CONCURRENT_HOLDERS);
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
pub(super) fn service_not_recovered(evidence: &Evidence) -> Check {
    let mut check = Check::new(SERVICE_NOT_RECOVERED);
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
    let mut check = Check::new(SERVICE_NOT_RECOVERED);
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
