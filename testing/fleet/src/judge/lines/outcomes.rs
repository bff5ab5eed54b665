//! What callers were told against what runners saw: nothing refused runs, nothing runs twice, every
//! success is a runner's own.

use super::{REFUSED, TWICE, UNSEALED};
use crate::judge::{Evidence, Line};
use std::collections::{BTreeSet, HashMap};

pub(super) fn once_twice(evidence: &Evidence) -> Line {
    let mut run_counts: HashMap<&str, usize> = HashMap::new();
    for run in &evidence.runs {
        *run_counts.entry(&run.transaction).or_default() += 1;
    }
    let once_calls = evidence.calls.iter().filter(|call| call.once);
    let mut line = Line { name: TWICE, checked: 0, violations: vec![] };
    for call in once_calls {
        line.checked += 1;
        let run_count = run_counts.get(call.id.as_str()).copied().unwrap_or(0);
        if run_count > 1 {
            line.violations.push(format!("{} ran {run_count} times", call.id));
        }
    }
    line
}

pub(super) fn not_run_ran(evidence: &Evidence) -> Line {
    let run_ids: BTreeSet<&str> =
        evidence.runs.iter().map(|run| run.transaction.as_str()).collect();
    let refused_calls: Vec<_> =
        evidence.calls.iter().filter(|call| call.outcome == "not_run").collect();
    let violations = refused_calls
        .iter()
        .filter(|call| run_ids.contains(call.id.as_str()))
        .map(|call| format!("{} was refused with {:?} and ran", call.id, call.reason))
        .collect();
    Line { name: REFUSED, checked: refused_calls.len(), violations }
}

pub(super) fn unsealed_answer(evidence: &Evidence) -> Line {
    let ran_on: BTreeSet<(&str, &str)> =
        evidence.runs.iter().map(|run| (run.transaction.as_str(), run.runner.as_str())).collect();
    let answered: Vec<_> = evidence.calls.iter().filter(|call| call.outcome == "answer").collect();
    let violations = answered
        .iter()
        .filter(|call| !call.sealed || !ran_on.contains(&(call.id.as_str(), call.runner.as_str())))
        .map(|call| format!("{} from {}: sealed {}", call.id, call.runner, call.sealed))
        .collect();
    Line { name: UNSEALED, checked: answered.len(), violations }
}
