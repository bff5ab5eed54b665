//! Checks of spec changes: accepted ones come into force at every ingress in time, and refused ones never do.

use super::{
    CONFLICTING_CHANGES, IN_FORCE_TIMEOUT, INGRESS_OUTDATED, REFUSED_CHANGE_IN_FORCE, SECOND,
    SLACK, SPEC_NOT_IN_FORCE, UNCONFIGURED_FUNCTION, name_of,
};
use crate::judge::{Call, Check, Evidence, JournalEntry, Run};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A function that a change configured for a path, and the time span in which requests for the path may run on it: from
/// when the change was sent until the next change that was certainly accepted must be in force.
pub(super) struct AllowedRoute {
    pub(super) path: String,
    pub(super) function: String,
    pub(super) from: u64,
    pub(super) until: u64,
}

impl AllowedRoute {
    pub(super) fn is_allowed_at(&self, at: u64) -> bool {
        (self.from..=self.until).contains(&at)
    }
}

/// Whether a change was accepted, or may have been.
fn may_be_accepted(change: &JournalEntry) -> bool {
    change.detail["state"] != json!("not_accepted")
}

fn possible_changes(evidence: &Evidence) -> Vec<&JournalEntry> {
    evidence
        .entries_of("change")
        .filter(|change| may_be_accepted(change))
        .collect()
}

/// Returns when a change was sent. Its journal entry is written later, when its outcome is known.
fn sent_at(change: &JournalEntry) -> u64 {
    change.detail["sent_at"].as_u64().unwrap_or(change.at)
}

/// Returns the routes of all changes that were accepted or may have been.
fn allowed_routes(evidence: &Evidence) -> Vec<AllowedRoute> {
    let changes = possible_changes(evidence);
    let mut allowed_routes = Vec::new();
    for (index, change) in changes.iter().enumerate() {
        let next_certain = changes[index + 1..]
            .iter()
            .find(|next| next.detail["state"] != json!("unknown"));
        let until = next_certain.map_or(u64::MAX, |next| next.at + IN_FORCE_TIMEOUT + SLACK);
        let from = sent_at(change);
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

/// Returns the same routes by path.
pub(super) fn allowed_routes_by_path(evidence: &Evidence) -> HashMap<String, Vec<AllowedRoute>> {
    let mut routes_by_path: HashMap<String, Vec<AllowedRoute>> = HashMap::new();
    for route in allowed_routes(evidence) {
        routes_by_path
            .entry(route.path.clone())
            .or_default()
            .push(route);
    }
    routes_by_path
}

/// Checks that every run belongs to a recorded call, and that some spec configured its function for the call's path.
pub(super) fn unconfigured_function(evidence: &Evidence) -> Check {
    let calls = evidence.calls_by_id();
    let mut functions_by_path: HashMap<String, BTreeSet<String>> = HashMap::new();
    for route in allowed_routes(evidence) {
        functions_by_path
            .entry(route.path)
            .or_default()
            .insert(route.function);
    }
    let mut check = Check::new(UNCONFIGURED_FUNCTION);
    for run in &evidence.runs {
        let Some(call) = calls.get(run.idempotency_key.as_str()) else {
            check
                .violations
                .push(format!("{} ran but no caller sent it", run.idempotency_key));
            continue;
        };
        check.checked += 1;
        let is_allowed = functions_by_path
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

/// Checks that every run began while a spec could be in force that configured its function for the call's path.
pub(super) fn spec_not_in_force(evidence: &Evidence) -> Check {
    let calls = evidence.calls_by_id();
    let routes_by_path = allowed_routes_by_path(evidence);
    let mut check = Check::new(SPEC_NOT_IN_FORCE);
    for run in &evidence.runs {
        let Some(call) = calls.get(run.idempotency_key.as_str()) else {
            continue;
        };
        check.checked += 1;
        let is_in_force = routes_by_path.get(&call.path).is_some_and(|routes| {
            routes.iter().any(|route| {
                route.function == name_of(&run.function) && route.is_allowed_at(run.at)
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

/// Whether a change adds or removes this path, compared with the last change that was recorded before it was sent.
fn changes_path(changes: &[&JournalEntry], change: &JournalEntry, path: &str) -> bool {
    let Some(paths) = change.detail["paths"].as_object() else {
        return false;
    };
    let previous = changes
        .iter()
        .rev()
        .find(|earlier| earlier.at < sent_at(change));
    let was_known = previous.is_some_and(|earlier| !earlier.detail["paths"][path].is_null());
    paths.contains_key(path) != was_known
}

/// Whether a change that adds or removes the call's path may come into force during the call.
fn may_be_changing(changes: &[&JournalEntry], call: &Call) -> bool {
    changes.iter().any(|change| {
        call.end >= sent_at(change)
            && call.at <= change.at + IN_FORCE_TIMEOUT + SLACK
            && changes_path(changes, change, &call.path)
    })
}

/// Checks that every ingress knows a path from 3 s after the change that adds it, and no longer from 3 s after the
/// change that removes it, even if processes were restarted in between.
pub(super) fn ingress_outdated(evidence: &Evidence) -> Check {
    let routes = allowed_routes(evidence);
    let changes = possible_changes(evidence);
    let mut check = Check::new(INGRESS_OUTDATED);
    for call in &evidence.calls {
        if !(call.is_answered() || call.is_refused()) || may_be_changing(&changes, call) {
            continue;
        }
        let is_known = routes.iter().any(|route| {
            route.path == call.path
                && route.from <= call.at
                && call.at < route.until - IN_FORCE_TIMEOUT
        });
        let found_no_route = call.reason == "no_route";
        check.checked += usize::from(found_no_route || !is_known);
        if found_no_route && is_known {
            check.violations.push(format!(
                "{} for {} found no route at {}",
                call.id, call.path, call.ingress
            ));
        }
        if !is_known && call.is_answered() {
            check.violations.push(format!(
                "{} for the removed path {} was answered",
                call.id, call.path
            ));
        }
    }
    check
}

/// Checks that no run began on a function that only an earlier, refused change configured for the path.
pub(super) fn refused_change_in_force(evidence: &Evidence) -> Check {
    let mut check = Check::new(REFUSED_CHANGE_IN_FORCE);
    let refused_changes: Vec<&JournalEntry> = evidence
        .entries_of("change")
        .filter(|change| !may_be_accepted(change))
        .collect();
    if refused_changes.is_empty() {
        return check;
    }
    let calls = evidence.calls_by_id();
    let routes = allowed_routes(evidence);
    for run in &evidence.runs {
        let Some(call) = calls.get(run.idempotency_key.as_str()) else {
            continue;
        };
        for change in refused_changes.iter().filter(|change| change.at < run.at) {
            check.merge(run_after_refusal(run, call, change, &routes));
        }
    }
    check
}

/// Compares a run with a refused change. Counts as a case unless the run is on the change's function and an accepted
/// change configures it too, since such a run does not show whether the refused change is in force.
fn run_after_refusal(
    run: &Run,
    call: &Call,
    change: &JournalEntry,
    routes: &[AllowedRoute],
) -> Check {
    let mut check = Check::new(REFUSED_CHANGE_IN_FORCE);
    let Some(refused_function) = change.detail["paths"][&call.path].as_str() else {
        return check;
    };
    let function = name_of(&run.function);
    let is_allowed_elsewhere = routes.iter().any(|route| {
        route.path == call.path && route.function == refused_function && route.from <= run.at
    });
    let ran_as_refused = refused_function == function;
    check.checked = usize::from(!is_allowed_elsewhere || !ran_as_refused);
    if !is_allowed_elsewhere && ran_as_refused {
        let id = &change.detail["change_id"];
        check.violations.push(format!(
            "{} ran on {function} of refused {id}",
            run.idempotency_key
        ));
    }
    check
}

/// Checks that at most one change is accepted for each base version.
pub(super) fn conflicting_changes(evidence: &Evidence) -> Check {
    let mut check = Check::new(CONFLICTING_CHANGES);
    let mut accepted_on: BTreeMap<u64, String> = BTreeMap::new();
    for entry in evidence.entries_of("change") {
        check.checked += 1;
        if entry.detail["status"] != json!(200) {
            continue;
        }
        let base = entry.detail["base"].as_u64().unwrap_or(0);
        let change = entry.detail["change_id"].as_str().unwrap_or("").to_owned();
        if let Some(other) = accepted_on.insert(base, change.clone())
            && other != change
        {
            check.violations.push(format!(
                "{other} and {change} were both accepted on base version {base}"
            ));
        }
    }
    check
}
