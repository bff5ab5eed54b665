//! Checks of lease holders and service: one holder of a function at a time, graceful stops without lost answers, no
//! work for disconnected callers, and recovery after a fault.

use super::{
    ANSWERS_DROPPED, CONCURRENT_HOLDERS, DELIVERY_SLACK, RUNS_AFTER_DISCONNECT, SECOND,
    SERVICE_NOT_RECOVERED, SLACK, UNANSWERED_AT_STOP,
};
use crate::judge::{Call, Check, Evidence, JournalEntry};
use common::frames::RequestFailureReason;
use common::http::CallError;
use common::identity::FencingToken;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;

/// Checks that a request in flight at a graceful stop keeps its answer: at the ingress of the stopping daemon it gets a
/// definite outcome, and at others it does not lose its lease holder. The process itself must stop within its grace
/// period.
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
                check.violations.extend(dropped_answer(call, ingress));
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

/// Returns the violation if a call that was in flight when the daemon with the given ingress stopped lost its answer.
fn dropped_answer(call: &Call, stopping: &str) -> Option<String> {
    if call.ingress == stopping {
        call.is_indeterminate()
            .then(|| format!("{} was {} at {stopping}", call.id, call.outcome))
    } else {
        (call.reason == "holder_silent").then(|| {
            format!(
                "{} through {} lost its lease holder when the daemon at {stopping} stopped",
                call.id, call.ingress
            )
        })
    }
}

/// A graceful stop of a daemon, from SIGTERM until its process ended.
struct GracefulStop<'a> {
    ingress: &'a str,
    from: u64,
    until: u64,
}

/// Returns the graceful stops of daemons that ended within their grace period and were neither killed nor frozen
/// meanwhile.
fn graceful_stops(evidence: &Evidence) -> Vec<GracefulStop<'_>> {
    let stopped_at = |entry: &'_ JournalEntry| {
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
            Some(GracefulStop {
                ingress: entry.detail["door"].as_str()?,
                from: entry.at,
                until: stopped_at(entry)?,
            })
        })
        .collect()
}

/// Checks that a daemon that stops gracefully responds to every request that it has read, even if only with an unknown
/// outcome, and even under other faults. A request that arrives while the daemon closes the connection was not read.
pub(super) fn unanswered_at_stop(evidence: &Evidence) -> Check {
    let mut check = Check::new(UNANSWERED_AT_STOP);
    let run_ids: BTreeSet<&str> = evidence
        .runs
        .iter()
        .map(|run| run.idempotency_key.as_str())
        .collect();
    let stops = graceful_stops(evidence);
    for call in &evidence.calls {
        let is_in_flight = |stop: &&GracefulStop<'_>| {
            call.ingress == stop.ingress && call.at < stop.until && call.end > stop.from
        };
        let Some(stop) = stops.iter().find(is_in_flight) else {
            continue;
        };
        check.checked += 1;
        let was_read = run_ids.contains(call.id.as_str()) || call.end - call.at > SLACK;
        let has_timed_out = call.reason == CallError::Timeout.to_string();
        if call.outcome == "lost" && was_read && !has_timed_out {
            check.violations.push(format!(
                "{} lost its connection without a response after {} ms at {}: {}",
                call.id,
                (call.end - call.at) / 1_000_000,
                stop.ingress,
                call.reason
            ));
        }
    }
    check
}

/// The time for which a request may still reach a runner after its caller disconnected, in nanoseconds.
const CANCELLATION_TIMEOUT: u64 = SECOND / 2;
/// The number of requests that may reach a runner later than that.
const MAX_LATE_RUNS: usize = 3;

/// Checks that requests are cancelled, wherever they wait, when their callers close their connections.
pub(super) fn runs_after_disconnect(evidence: &Evidence) -> Check {
    let mut check = Check::new(RUNS_AFTER_DISCONNECT);
    let calls = evidence.calls_by_id();
    check.checked = evidence
        .calls
        .iter()
        .filter(|call| call.has_disconnected())
        .count();
    let late_runs = evidence.runs.iter().filter_map(|run| {
        let call = calls.get(run.idempotency_key.as_str())?;
        let is_late = call.has_disconnected() && run.at > call.end + CANCELLATION_TIMEOUT;
        is_late.then(|| (call, run.at - call.end))
    });
    let violations: Vec<String> = late_runs
        .map(|(call, after)| {
            format!(
                "{} ran {} ms after its caller disconnected",
                call.id,
                after / 1_000_000
            )
        })
        .collect();
    if violations.len() > MAX_LATE_RUNS {
        check.violations = violations;
    }
    check
}

/// Checks that no request is sent under an earlier fencing token once a lease holder with a later one has started a
/// runner or sent a request. The later holder may keep using the earlier one's runners.
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

/// The time from the undoing of a fault until service is measured, in seconds.
const RECOVERY_TIME_SECONDS: u64 = 12;
/// The same time in nanoseconds.
const RECOVERY_TIME: u64 = RECOVERY_TIME_SECONDS * SECOND;
/// The number of seconds that are measured then.
const MEASURED_SECONDS: u64 = 5;
/// Seconds with fewer calls are ignored.
const MIN_CALLS: usize = 20;
/// The duration of a daemon's session lease, in nanoseconds.
const SESSION_LEASE: u64 = 2 * SECOND;

/// Returns the longest recorded timeout of the calls of each function, in nanoseconds.
fn longest_timeouts(calls: &[Call]) -> HashMap<&str, u64> {
    let mut longest_timeouts = HashMap::new();
    for call in calls {
        let Some(timeout) = call.timeout else {
            continue;
        };
        let longest = longest_timeouts
            .entry(call.function.as_str())
            .or_insert(timeout);
        *longest = timeout.max(*longest);
    }
    longest_timeouts
}

/// Whether the call was rejected because a new lease holder without the earlier ledger does not yet admit requests that
/// must run at most once.
fn is_rejected_for_once_wait(call: &Call) -> bool {
    call.is_refused()
        && call.at_most_once
        && call.reason == RequestFailureReason::OnceNotYetAdmitted.as_str()
}

/// Whether the call was rejected by a new lease holder that has to wait for longer than the recovery time. Without the
/// earlier ledger, it must reject requests that must run at most once while requests of the earlier holder may be in
/// flight: for the longest timeout and one session lease. Of the timeouts, only those recorded for the call's function
/// count. The lease must be granted within the recovery time, so a wait that ends later than that explains is not
/// required.
fn is_rejection_required(
    call: &Call,
    longest_timeouts: &HashMap<&str, u64>,
    fault_end: u64,
) -> bool {
    let (Some(_), Some(retry_after), Some(longest_timeout)) = (
        call.timeout,
        call.retry_after,
        longest_timeouts.get(call.function.as_str()),
    ) else {
        return false;
    };
    let once_wait = longest_timeout.saturating_add(SESSION_LEASE);
    let latest_wait_end = (fault_end + RECOVERY_TIME).saturating_add(once_wait);
    let announced_wait_end = call.at.saturating_add(retry_after);
    is_rejected_for_once_wait(call)
        && once_wait > RECOVERY_TIME
        && announced_wait_end <= latest_wait_end
}

/// Checks that at least half of the calls are answered in each measured second after a heavy fault was undone and
/// before the next fault. Calls whose rejection is [required](is_rejection_required) are not counted.
pub(super) fn service_not_recovered(evidence: &Evidence) -> Check {
    let mut check = Check::new(SERVICE_NOT_RECOVERED);
    let faults: Vec<u64> = evidence.entries_of("fault").map(|entry| entry.at).collect();
    let heavy_fault_ends = evidence
        .entries_of("returned")
        .filter(|entry| entry.detail["heavy"] == json!(true));
    let longest_timeouts = longest_timeouts(&evidence.calls);
    for returned in heavy_fault_ends {
        let next_fault = faults.iter().find(|at| **at > returned.at).copied();
        let found = service_after(
            evidence,
            &longest_timeouts,
            returned,
            next_fault.unwrap_or(u64::MAX),
        );
        check.merge(found);
    }
    check
}

/// Measures service after one fault: one case if any second could be measured, and a violation for each second in which
/// most calls were not answered.
fn service_after(
    evidence: &Evidence,
    longest_timeouts: &HashMap<&str, u64>,
    returned: &JournalEntry,
    next_fault: u64,
) -> Check {
    let mut check = Check::new(SERVICE_NOT_RECOVERED);
    let from = returned.at + RECOVERY_TIME;
    let until = (from + MEASURED_SECONDS * SECOND).min(next_fault);
    for second in 0..MEASURED_SECONDS {
        let span = from + second * SECOND..(from + (second + 1) * SECOND).min(until);
        let calls: Vec<_> = evidence
            .calls
            .iter()
            .filter(|call| span.contains(&call.at))
            .filter(|call| !is_rejection_required(call, longest_timeouts, returned.at))
            .collect();
        if calls.len() < MIN_CALLS {
            continue;
        }
        check.checked = 1;
        let answered_count = calls.iter().filter(|call| call.is_answered()).count();
        if answered_count * 2 < calls.len() {
            check.violations.push(format!(
                "{} s after {}: {answered_count} of {} answered",
                RECOVERY_TIME_SECONDS + second,
                returned.detail["fault"],
                calls.len()
            ));
        }
    }
    check
}
