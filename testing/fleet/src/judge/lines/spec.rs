//! Specs: what is accepted comes into force everywhere, what is refused never does.

use super::{DOORS, FORCE, LOSING, NEVER, REFUSED_CHANGE, SECOND, SLACK, name_of};
use crate::judge::{Evidence, Line, Told};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The change that put a function on a path: from when it may, and until when it may be used.
pub(super) struct Allowed {
    pub(super) path: String,
    pub(super) function: String,
    pub(super) from: u64,
    pub(super) until: u64,
}

pub(super) fn allowed(evidence: &Evidence) -> Vec<Allowed> {
    let is_possible = |told: &&Told| told.detail["state"] != json!("not_accepted");
    let changes: Vec<&Told> = evidence.told("change").filter(is_possible).collect();
    let mut allowed = Vec::new();
    for (place, change) in changes.iter().enumerate() {
        let next_certain =
            changes[place + 1..].iter().find(|next| next.detail["state"] != json!("unknown"));
        let until = next_certain.map_or(u64::MAX, |next| next.at + 3 * SECOND + SLACK);
        let from = change.detail["sent_at"].as_u64().unwrap_or(change.at);
        for (path, function) in change.detail["paths"].as_object().into_iter().flatten() {
            allowed.push(Allowed {
                path: path.clone(),
                function: function.as_str().unwrap_or("").to_owned(),
                from,
                until,
            });
        }
    }
    allowed
}

pub(super) fn never_allowed(evidence: &Evidence) -> Line {
    let calls = evidence.calls_by_id();
    let mut by_path: HashMap<String, BTreeSet<String>> = HashMap::new();
    for entry in allowed(evidence) {
        by_path.entry(entry.path).or_default().insert(entry.function);
    }
    let mut line = Line { name: NEVER, checked: 0, violations: vec![] };
    for run in &evidence.runs {
        let Some(call) = calls.get(run.transaction.as_str()) else {
            line.violations.push(format!("{} ran and no caller sent it", run.transaction));
            continue;
        };
        line.checked += 1;
        let is_allowed = by_path
            .get(&call.path)
            .is_some_and(|functions| functions.contains(name_of(&run.function)));
        if !is_allowed {
            line.violations.push(format!("{} for {} ran on {}", call.id, call.path, run.function));
        }
    }
    line
}

pub(super) fn not_in_force(evidence: &Evidence) -> Line {
    let calls = evidence.calls_by_id();
    let mut by_path: HashMap<String, Vec<Allowed>> = HashMap::new();
    for entry in allowed(evidence) {
        by_path.entry(entry.path.clone()).or_default().push(entry);
    }
    let mut line = Line { name: FORCE, checked: 0, violations: vec![] };
    for run in &evidence.runs {
        let Some(call) = calls.get(run.transaction.as_str()) else { continue };
        line.checked += 1;
        let is_in_force = by_path.get(&call.path).is_some_and(|entries| {
            entries.iter().any(|entry| {
                entry.function == name_of(&run.function)
                    && (entry.from..=entry.until).contains(&run.at)
            })
        });
        if !is_in_force {
            line.violations.push(format!(
                "{} for {} ran on {} at {:.3}",
                call.id,
                call.path,
                run.function,
                run.at as f64 / SECOND as f64
            ));
        }
    }
    line
}

/// A path is known at every door from 3 s after the change that adds it, and unknown 3 s after the
/// one that takes it away, whatever was restarted in between.
pub(super) fn doors_behind(evidence: &Evidence) -> Line {
    let entries = allowed(evidence);
    let changes: Vec<&Told> = evidence
        .told("change")
        .filter(|told| told.detail["state"] != json!("not_accepted"))
        .collect();
    let mut line = Line { name: DOORS, checked: 0, violations: vec![] };
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
        let said_unknown = call.reason == "no_route";
        if is_unsettled || !matches!(call.outcome.as_str(), "answer" | "not_run") {
            continue;
        }
        line.checked += usize::from(said_unknown || !is_known);
        if said_unknown && is_known {
            line.violations
                .push(format!("{} for {} found no route at {}", call.id, call.path, call.door));
        }
        if !is_known && call.outcome == "answer" {
            line.violations.push(format!("{} for {}, gone, was answered", call.id, call.path));
        }
    }
    line
}

/// Runs that only a refused, losing or invalid change could have led where they began.
pub(super) fn refused_change(evidence: &Evidence) -> Line {
    let calls = evidence.calls_by_id();
    let entries = allowed(evidence);
    let is_refused = |told: &&Told| told.detail["state"] == json!("not_accepted");
    let refused: Vec<&Told> = evidence.told("change").filter(is_refused).collect();
    let mut line = Line { name: REFUSED_CHANGE, checked: 0, violations: vec![] };
    if refused.is_empty() {
        return line;
    }
    for run in &evidence.runs {
        let Some(call) = calls.get(run.transaction.as_str()) else { continue };
        let function = name_of(&run.function);
        for change in refused.iter().filter(|change| change.at < run.at) {
            let Some(led_to) = change.detail["paths"][&call.path].as_str() else { continue };
            let is_otherwise = entries.iter().any(|entry| {
                entry.path == call.path && entry.function == led_to && entry.from <= run.at
            });
            if is_otherwise && led_to != function {
                line.checked += 1;
            }
            if !is_otherwise {
                line.checked += 1;
                if led_to == function {
                    let id = &change.detail["change_id"];
                    line.violations
                        .push(format!("{} ran on {function} of refused {id}", run.transaction));
                }
            }
        }
    }
    line
}

pub(super) fn losing_change(evidence: &Evidence) -> Line {
    let mut line = Line { name: LOSING, checked: 0, violations: vec![] };
    let mut accepted_on: BTreeMap<u64, String> = BTreeMap::new();
    for told in evidence.told("change") {
        line.checked += 1;
        if told.detail["status"] != json!(200) {
            continue;
        }
        let base = told.detail["base"].as_u64().unwrap_or(0);
        let change = told.detail["change_id"].as_str().unwrap_or("").to_owned();
        if let Some(other) = accepted_on.insert(base, change.clone())
            && other != change
        {
            line.violations.push(format!("{other} and {change} were both accepted on {base}"));
        }
    }
    line
}
