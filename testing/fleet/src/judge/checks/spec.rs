//! Specs: what is accepted comes into force everywhere, what is refused never does.

use super::{
    CONFLICTING_CHANGES, INGRESS_BEHIND, REFUSED_CHANGE_IN_FORCE, SECOND, SLACK, SPEC_NOT_IN_FORCE,
    UNCONFIGURED_FUNCTION, name_of,
};
use crate::judge::{Check, Evidence, JournalEntry};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The change that put a function on a path: from when it may, and until when it may be used.
pub(super) struct AllowedRoute {
    pub(super) path: String,
    pub(super) function: String,
    pub(super) from: u64,
    pub(super) until: u64,
}

pub(super) fn allowed_routes(evidence: &Evidence) -> Vec<AllowedRoute> {
    let is_possible = |recorded: &&JournalEntry| recorded.detail["state"] != json!("not_accepted");
    let changes: Vec<&JournalEntry> = evidence.recorded("change").filter(is_possible).collect();
    let mut allowed_routes = Vec::new();
    for (index, change) in changes.iter().enumerate() {
        let next_certain = changes[index + 1..]
            .iter()
            .find(|next| next.detail["state"] != json!("unknown"));
        let until = next_certain.map_or(u64::MAX, |next| next.at + 3 * SECOND + SLACK);
        let from = change.detail["sent_at"].as_u64().unwrap_or(change.at);
        for (path, function) in change.detail["paths"].as_object().into_iter().flatten() {
            allowed_routes.push(AllowedRoute {
                path: path.clone(),
                function: function.as_str().unwrap_or("").to_owned(),
                from,
                until,
            });
        }
    }
    allowed_routes
}

pub(super) fn unconfigured_function(evidence: &Evidence) -> Check {
    let calls = evidence.calls_by_id();
    let mut by_path: HashMap<String, BTreeSet<String>> = HashMap::new();
    for entry in allowed_routes(evidence) {
        by_path
            .entry(entry.path)
            .or_default()
            .insert(entry.function);
    }
    let mut check = Check {
        name: UNCONFIGURED_FUNCTION,
        checked: 0,
        violations: vec![],
    };
    for run in &evidence.runs {
        let Some(call) = calls.get(run.idempotency_key.as_str()) else {
            check
                .violations
                .push(format!("{} ran and no caller sent it", run.idempotency_key));
            continue;
        };
        check.checked += 1;
        let is_allowed = by_path
            .get(&call.path)
            .is_some_and(|functions| functions.contains(name_of(&run.function)));
        if !is_allowed {
            check.violations.push(format!(
                "{} for {} ran on {}",
                call.id, call.path, run.function
            ));
        }
    }
    check
}

pub(super) fn spec_not_in_force(evidence: &Evidence) -> Check {
    let calls = evidence.calls_by_id();
    let mut by_path: HashMap<String, Vec<AllowedRoute>> = HashMap::new();
    for entry in allowed_routes(evidence) {
        by_path.entry(entry.path.clone()).or_default().push(entry);
    }
    let mut check = Check {
        name: SPEC_NOT_IN_FORCE,
        checked: 0,
        violations: vec![],
    };
    for run in &evidence.runs {
        let Some(call) = calls.get(run.idempotency_key.as_str()) else {
            continue;
        };
        check.checked += 1;
        let is_in_force = by_path.get(&call.path).is_some_and(|entries| {
            entries.iter().any(|entry| {
                entry.function == name_of(&run.function)
                    && (entry.from..=entry.until).contains(&run.at)
            })
        });
        if !is_in_force {
            check.violations.push(format!(
                "{} for {} ran on {} at {:.3}",
                call.id,
                call.path,
                run.function,
                run.at as f64 / SECOND as f64
            ));
        }
    }
    check
}

/// A path is known at every door from 3 s after the change that adds it, and unknown 3 s after the
/// one that takes it away, whatever was restarted in between.
pub(super) fn ingress_behind(evidence: &Evidence) -> Check {
    let entries = allowed_routes(evidence);
    let changes: Vec<&JournalEntry> = evidence
        .recorded("change")
        .filter(|recorded| recorded.detail["state"] != json!("not_accepted"))
        .collect();
    let mut check = Check {
        name: INGRESS_BEHIND,
        checked: 0,
        violations: vec![],
    };
    for call in &evidence.calls {
        let is_unsettled = changes.iter().any(|change| {
            let sent_at = change.detail["sent_at"].as_u64().unwrap_or(change.at);
            let turns = change.detail["paths"].as_object().is_some_and(|paths| {
                let before = changes.iter().rev().find(|earlier| earlier.at < sent_at);
                let known =
                    before.is_some_and(|earlier| !earlier.detail["paths"][&call.path].is_null());
                paths.contains_key(&call.path) != known
            });
            turns && call.end >= sent_at && call.at <= change.at + 3 * SECOND + SLACK
        });
        let is_known = entries.iter().any(|entry| {
            entry.path == call.path && entry.from <= call.at && call.at < entry.until - 3 * SECOND
        });
        let found_no_route = call.reason == "no_route";
        if is_unsettled || !matches!(call.outcome.as_str(), "answer" | "not_run") {
            continue;
        }
        check.checked += usize::from(found_no_route || !is_known);
        if found_no_route && is_known {
            check.violations.push(format!(
                "{} for {} found no route at {}",
                call.id, call.path, call.ingress
            ));
        }
        if !is_known && call.outcome == "answer" {
            check
                .violations
                .push(format!("{} for {}, gone, was answered", call.id, call.path));
        }
    }
    check
}

/// Runs that only a refused, losing or invalid change could have led where they began.
pub(super) fn refused_change_in_force(evidence: &Evidence) -> Check {
    let calls = evidence.calls_by_id();
    let entries = allowed_routes(evidence);
    let is_refused = |recorded: &&JournalEntry| recorded.detail["state"] == json!("not_accepted");
    let refused: Vec<&JournalEntry> = evidence.recorded("change").filter(is_refused).collect();
    let mut check = Check {
        name: REFUSED_CHANGE_IN_FORCE,
        checked: 0,
        violations: vec![],
    };
    if refused.is_empty() {
        return check;
    }
    for run in &evidence.runs {
        let Some(call) = calls.get(run.idempotency_key.as_str()) else {
            continue;
        };
        let function = name_of(&run.function);
        for change in refused.iter().filter(|change| change.at < run.at) {
            let Some(configured_function) = change.detail["paths"][&call.path].as_str() else {
                continue;
            };
            let is_allowed_elsewhere = entries.iter().any(|entry| {
                entry.path == call.path
                    && entry.function == configured_function
                    && entry.from <= run.at
            });
            if is_allowed_elsewhere && configured_function != function {
                check.checked += 1;
            }
            if !is_allowed_elsewhere {
                check.checked += 1;
                if configured_function == function {
                    let id = &change.detail["change_id"];
                    check.violations.push(format!(
                        "{} ran on {function} of refused {id}",
                        run.idempotency_key
                    ));
                }
            }
        }
    }
    check
}

pub(super) fn conflicting_changes(evidence: &Evidence) -> Check {
    let mut check = Check {
        name: CONFLICTING_CHANGES,
        checked: 0,
        violations: vec![],
    };
    let mut accepted_on: BTreeMap<u64, String> = BTreeMap::new();
    for recorded in evidence.recorded("change") {
        check.checked += 1;
        if recorded.detail["status"] != json!(200) {
            continue;
        }
        let base = recorded.detail["base"].as_u64().unwrap_or(0);
        let change = recorded.detail["change_id"]
            .as_str()
            .unwrap_or("")
            .to_owned();
        if let Some(other) = accepted_on.insert(base, change.clone())
            && other != change
        {
            check
                .violations
                .push(format!("{other} and {change} were both accepted on {base}"));
        }
    }
    check
}
