//! What callers were told against what runners saw: nothing refused runs, nothing runs twice, every
//! success is a runner's own.

use super::{ONCE_RUNS_TWICE, REFUSED_RUNS, UNSEALED_ANSWER};
use crate::judge::{Check, Evidence};
use std::collections::{BTreeSet, HashMap};

pub(super) fn once_runs_twice(evidence: &Evidence) -> Check {
    let mut run_counts: HashMap<&str, usize> = HashMap::new();
    for run in &evidence.runs {
        *run_counts.entry(&run.idempotency_key).or_default() += 1;
    }
    let once_calls = evidence.calls.iter().filter(|call| call.once);
    let mut check = Check {
        name: ONCE_RUNS_TWICE,
        checked: 0,
        violations: vec![],
    };
    for call in once_calls {
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

pub(super) fn refused_runs(evidence: &Evidence) -> Check {
    let run_ids: BTreeSet<&str> = evidence
        .runs
        .iter()
        .map(|run| run.idempotency_key.as_str())
        .collect();
    let refused_calls: Vec<_> = evidence
        .calls
        .iter()
        .filter(|call| call.outcome == "not_run")
        .collect();
    let violations = refused_calls
        .iter()
        .filter(|call| run_ids.contains(call.id.as_str()))
        .map(|call| format!("{} was refused with {:?} and ran", call.id, call.reason))
        .collect();
    Check {
        name: REFUSED_RUNS,
        checked: refused_calls.len(),
        violations,
    }
}

pub(super) fn unsealed_answer(evidence: &Evidence) -> Check {
    let ran_on: BTreeSet<(&str, &str)> = evidence
        .runs
        .iter()
        .map(|run| (run.idempotency_key.as_str(), run.runner.as_str()))
        .collect();
    let answered: Vec<_> = evidence
        .calls
        .iter()
        .filter(|call| call.outcome == "answer")
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
