use super::{Evidence, Life, Line, Run};
use common::identity::GrantSerial;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;

const SECOND: u64 = 1_000_000_000;
const SLACK: u64 = SECOND / 4;
/// How long a send may be on its way from a holder to a runner.
const ON_THE_WAY: u64 = SECOND / 10;

/// A once-transaction runs twice.
pub const TWICE: &str = "a once-transaction runs twice";
/// What was refused runs.
pub const REFUSED: &str = "refused as not run, and runs";
/// A success without the runner's body.
pub const UNSEALED: &str = "a success without its runner's own sealed body";
/// A run on a function that its path was never given.
pub const NEVER: &str = "a run on a function its path was never given";
/// An old spec in use.
pub const FORCE: &str = "an accepted spec not in force after 3 s, or undone";
/// A door that does not know a route, or knows one that is gone.
pub const DOORS: &str = "a door without an accepted spec after 3 s";
/// Two changes on one version.
pub const LOSING: &str = "two changes on one version accepted";
/// A refused change in force.
pub const REFUSED_CHANGE: &str = "a refused change in force";
/// Draining and leaving.
pub const DRAINING: &str = "a leaving runner or draining worker used after 3 s";
/// Evacuation.
pub const EVACUATED: &str = "an evacuated locality used after 5 s";
/// Orderly stops.
pub const DROPPED: &str = "an orderly stop drops answers in hand";
/// Extra tries.
pub const EXTRA: &str = "extra tries above a fifth in 10 s";
/// Slots and ramps.
pub const FLOODED: &str = "a cold runner flooded, or slots exceeded";
/// Two holders.
pub const TWO_HOLDERS: &str = "two holders of one function at once";
/// Recovery.
pub const DOWN: &str = "mostly down 12 s after machines return";

/// Judges every line.
pub fn all(evidence: &Evidence) -> Vec<Line> {
    vec![
        once_twice(evidence),
        not_run_ran(evidence),
        unsealed_answer(evidence),
        never_allowed(evidence),
        not_in_force(evidence),
        doors_behind(evidence),
        losing_change(evidence),
        refused_change(evidence),
        draining_used(evidence),
        evacuated_used(evidence),
        answers_dropped(evidence),
        extra_tries(evidence),
        flooded(evidence),
        held_twice(evidence),
        still_down(evidence),
    ]
}

fn name_of(function: &str) -> &str {
    function.rsplit_once('@').map_or(function, |(name, _)| name)
}

fn once_twice(evidence: &Evidence) -> Line {
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

fn not_run_ran(evidence: &Evidence) -> Line {
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

fn unsealed_answer(evidence: &Evidence) -> Line {
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

/// The change that put a function on a path: from when it may, and until when it may be used.
struct Allowed {
    path: String,
    function: String,
    from: u64,
    until: u64,
}

fn allowed(evidence: &Evidence) -> Vec<Allowed> {
    let is_possible = |told: &&super::Told| told.detail["state"] != json!("not_accepted");
    let changes: Vec<&super::Told> = evidence.told("change").filter(is_possible).collect();
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

fn never_allowed(evidence: &Evidence) -> Line {
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

fn not_in_force(evidence: &Evidence) -> Line {
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
fn doors_behind(evidence: &Evidence) -> Line {
    let entries = allowed(evidence);
    let changes: Vec<&super::Told> = evidence
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
fn refused_change(evidence: &Evidence) -> Line {
    let calls = evidence.calls_by_id();
    let entries = allowed(evidence);
    let is_refused = |told: &&super::Told| told.detail["state"] == json!("not_accepted");
    let refused: Vec<&super::Told> = evidence.told("change").filter(is_refused).collect();
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

fn losing_change(evidence: &Evidence) -> Line {
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

/// Runs that began where a thing was barred, some time after it was.
fn barred_runs(
    evidence: &Evidence,
    name: &'static str,
    barred: &[(String, u64, u64)],
    place_of: impl Fn(&Life) -> String,
    grace: u64,
) -> Line {
    let lives = evidence.lives_by_runner();
    let mut line = Line { name, checked: 0, violations: vec![] };
    for run in &evidence.runs {
        let Some(life) = lives.get(run.runner.as_str()) else { continue };
        let place = place_of(life);
        for (barred_place, from, until) in barred {
            if *barred_place != place || run.at < *from || run.at > *until {
                continue;
            }
            line.checked += 1;
            if run.at > from + grace + SLACK {
                let late_ms = (run.at - from) / 1_000_000;
                line.violations.push(format!(
                    "{} began on {} at {place} {late_ms} ms after it was barred",
                    run.transaction, run.runner
                ));
            }
        }
    }
    line
}

fn spans<'a>(
    entries: impl Iterator<Item = &'a super::Told>,
    name_field: &str,
    begins: &[&str],
) -> Vec<(String, u64, u64)> {
    let mut open_spans: BTreeMap<String, u64> = BTreeMap::new();
    let mut closed_spans = Vec::new();
    for told in entries {
        let name = told.detail[name_field].as_str().unwrap_or("").to_owned();
        let deed = told.detail["deed"].as_str().unwrap_or("");
        if begins.contains(&deed) {
            open_spans.entry(name).or_insert(told.at);
        } else if let Some(from) = open_spans.remove(&name) {
            closed_spans.push((name, from, told.at));
        }
    }
    closed_spans.extend(open_spans.into_iter().map(|(name, from)| (name, from, u64::MAX)));
    closed_spans
}

fn draining_used(evidence: &Evidence) -> Line {
    let barred = spans(evidence.told("worker"), "worker", &["drain", "crash"]);
    let mut line = barred_runs(evidence, DRAINING, &barred, |life| life.worker.clone(), 3 * SECOND);
    let leaving: Vec<(String, u64, u64)> = evidence
        .told("runner_leaves")
        .filter_map(|told| Some((told.detail["runner"].as_str()?.to_owned(), told.at, u64::MAX)))
        .collect();
    let left = barred_runs(evidence, DRAINING, &leaving, |life| life.runner.clone(), 3 * SECOND);
    line.checked += left.checked;
    line.violations.extend(left.violations);
    line
}

fn evacuated_used(evidence: &Evidence) -> Line {
    let accepted = evidence.told("locality").filter(|told| told.detail["status"] == json!(200));
    let barred = spans(accepted, "locality", &["evacuate"]);
    barred_runs(evidence, EVACUATED, &barred, |life| life.zone.clone(), 5 * SECOND)
}

fn answers_dropped(evidence: &Evidence) -> Line {
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

/// Counted for each function over all its routes, against a fifth of its first tries and three.
fn extra_tries(evidence: &Evidence) -> Line {
    const ALLOWANCE: usize = 3;
    let calls = evidence.calls_by_id();
    let entries = allowed(evidence);
    let mut by_path: HashMap<&str, Vec<&Allowed>> = HashMap::new();
    for entry in &entries {
        by_path.entry(&entry.path).or_default().push(entry);
    }
    let mut firsts: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for call in evidence.calls.iter().filter(|call| !call.repeat) {
        let reached: BTreeSet<&str> = by_path
            .get(call.path.as_str())
            .into_iter()
            .flatten()
            .filter(|entry| (entry.from..=entry.until).contains(&call.at))
            .map(|entry| entry.function.as_str())
            .collect();
        for function in reached {
            firsts.entry(function).or_default().push(call.at);
        }
    }
    let mut extras: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for run in &evidence.runs {
        let Some(call) = calls.get(run.transaction.as_str()) else { continue };
        if run.attempt > 1 || call.repeat {
            extras.entry(name_of(&run.function)).or_default().push(run.at);
        }
    }
    let mut line = Line { name: EXTRA, checked: 0, violations: vec![] };
    for (function, extra_moments) in extras {
        let first_moments = firsts.get(function).cloned().unwrap_or_default();
        for (place, at) in extra_moments.iter().enumerate() {
            line.checked += 1;
            let window_start = at.saturating_sub(10 * SECOND);
            let extra_count =
                extra_moments[..=place].iter().filter(|moment| **moment > window_start).count();
            let first_start = window_start.saturating_sub(SLACK);
            let first_count = first_moments
                .iter()
                .filter(|moment| **moment > first_start && **moment <= *at)
                .count();
            if extra_count > first_count / 5 + ALLOWANCE {
                line.violations.push(format!(
                    "{function}: {extra_count} extra to {first_count} first tries in 10 s"
                ));
            }
        }
    }
    line
}

fn flooded(evidence: &Evidence) -> Line {
    let lives = evidence.lives_by_runner();
    let mut ends_by_runner: HashMap<&str, Vec<u64>> = HashMap::new();
    for run in &evidence.runs {
        ends_by_runner.entry(&run.runner).or_default().push(run.end);
    }
    let mut line = Line { name: FLOODED, checked: 0, violations: vec![] };
    for run in &evidence.runs {
        let Some(life) = lives.get(run.runner.as_str()) else { continue };
        line.checked += 1;
        if let Some(violation) = flood(run, life, &ends_by_runner) {
            line.violations.push(violation);
        }
    }
    line
}

fn flood(run: &Run, life: &Life, ends_by_runner: &HashMap<&str, Vec<u64>>) -> Option<String> {
    if !run.ready {
        return Some(format!("{} began on {} before it was ready", run.transaction, run.runner));
    }
    if run.at_once > life.slots {
        return Some(format!("{} at once on {} of {} slots", run.at_once, run.runner, life.slots));
    }
    let is_fresh = run.grant == life.grant && run.at < life.start + life.boot + SECOND;
    let ended_count = ends_by_runner
        .get(run.runner.as_str())
        .map_or(0, |ends| ends.iter().filter(|end| **end <= run.at).count())
        as u64;
    (is_fresh && run.at_once > 1 + ended_count).then(|| {
        format!("{} at once on fresh {} after {ended_count} runs", run.at_once, run.runner)
    })
}

/// A holder is seen by what it sends and starts: once a later grant of a function was seen, nothing is
/// sent under an earlier one any more. A runner may be taken over by the later holder as it stands.
fn held_twice(evidence: &Evidence) -> Line {
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

fn still_down(evidence: &Evidence) -> Line {
    let mut line = Line { name: DOWN, checked: 0, violations: vec![] };
    let heavy_returns: Vec<&super::Told> =
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
