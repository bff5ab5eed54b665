//! Compares outcomes at callers with runs on runners: refused requests have no run, at-most-once requests have at most
//! one, and every success is the answer of a runner that ran the request.

use super::{AT_MOST_ONCE_VIOLATED, REFUSED_REQUEST_RAN, UNSEALED_ANSWER};
use crate::judge::{Check, Evidence};
use std::collections::{BTreeSet, HashMap};

/// Checks that a request that must run at most once has at most one run.
pub(super) fn at_most_once_violated(evidence: &Evidence) -> Check {
    let mut run_counts: HashMap<&str, usize> = HashMap::new();
    for run in &evidence.runs {
        *run_counts.entry(&run.idempotency_key).or_default() += 1;
    }
    let at_most_once_calls = evidence.calls.iter().filter(|call| call.at_most_once);
    let mut check = Check::new(AT_MOST_ONCE_VIOLATED);
    for call in at_most_once_calls {
        check.checked += 1;
        let run_count = run_counts.get(call.id.as_str()).copied().unwrap_or(0);
        if run_count > 1 {
            check
                .violations
                .push(format!("{} ran {run_count} times", call.id));
        }
    }
    check
}

/// Checks that a request that was refused as not run has no run.
pub(super) fn refused_request_ran(evidence: &Evidence) -> Check {
    let run_ids: BTreeSet<&str> = evidence
        .runs
        .iter()
        .map(|run| run.idempotency_key.as_str())
        .collect();
    let refused_calls: Vec<_> = evidence
        .calls
        .iter()
        .filter(|call| call.is_refused())
        .collect();
    let violations = refused_calls
        .iter()
        .filter(|call| run_ids.contains(call.id.as_str()))
        .map(|call| format!("{} was refused with {:?} but ran", call.id, call.reason))
        .collect();
    Check {
        name: REFUSED_REQUEST_RAN,
        checked: refused_calls.len(),
        violations,
    }
}

/// Checks that every answer has a valid seal and comes from a runner that ran the request.
pub(super) fn unsealed_answer(evidence: &Evidence) -> Check {
    let ran_on: BTreeSet<(&str, &str)> = evidence
        .runs
        .iter()
        .map(|run| (run.idempotency_key.as_str(), run.runner.as_str()))
        .collect();
    let answered: Vec<_> = evidence
        .calls
        .iter()
        .filter(|call| call.is_answered())
        .collect();
    let violations = answered
        .iter()
        .filter(|call| !call.sealed || !ran_on.contains(&(call.id.as_str(), call.runner.as_str())))
        .map(|call| format!("{} from {}: sealed {}", call.id, call.runner, call.sealed))
        .collect();
    Check {
        name: UNSEALED_ANSWER,
        checked: answered.len(),
        violations,
    }
}
