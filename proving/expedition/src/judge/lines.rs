use super::{Evidence, Life, Line, Run};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, HashMap};

const SECOND: u64 = 1_000_000_000;
const SLACK: u64 = SECOND / 4;

/// Judges every line.
pub fn all(evidence: &Evidence) -> Vec<Line> {
    vec![
        once_twice(evidence),
        not_run_ran(evidence),
        unsealed_answer(evidence),
        never_allowed(evidence),
        not_in_force(evidence),
        losing_change(evidence),
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
    let mut line = Line { name: "a once-transaction runs twice", checked: 0, violations: vec![] };
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
    Line { name: "refused as not run, and runs", checked: refused_calls.len(), violations }
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
    Line {
        name: "a success without its runner's own sealed body",
        checked: answered.len(),
        violations,
    }
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
    let mut line = Line {
        name: "a run on a function its path was never given",
        checked: 0,
        violations: vec![],
    };
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
    let mut line = Line {
        name: "an accepted spec not in force after 3 s, or undone",
        checked: 0,
        violations: vec![],
    };
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

fn losing_change(evidence: &Evidence) -> Line {
    let mut line =
        Line { name: "two changes on one version accepted", checked: 0, violations: vec![] };
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
    let name = "a draining worker used after 3 s";
    barred_runs(evidence, name, &barred, |life| life.worker.clone(), 3 * SECOND)
}

fn evacuated_used(evidence: &Evidence) -> Line {
    let accepted = evidence.told("locality").filter(|told| told.detail["status"] == json!(200));
    let barred = spans(accepted, "locality", &["evacuate"]);
    let locality_of = |life: &Life| {
        let number: usize =
            life.worker.rsplit('-').next().and_then(|text| text.parse().ok()).unwrap_or(0);
        format!("locality-{}", number % 3 + 1)
    };
    barred_runs(evidence, "an evacuated locality used after 5 s", &barred, locality_of, 5 * SECOND)
}

fn answers_dropped(evidence: &Evidence) -> Line {
    let mut line =
        Line { name: "an orderly stop drops answers in hand", checked: 0, violations: vec![] };
    let stops: Vec<(&str, u64)> = evidence
        .told("stop")
        .filter_map(|told| Some((told.detail["door"].as_str()?, told.at)))
        .collect();
    for call in &evidence.calls {
        for (door, stop_at) in &stops {
            let is_in_hand = call.door == *door && call.at < *stop_at && call.end > *stop_at;
            if is_in_hand {
                line.checked += 1;
                if call.outcome == "lost" {
                    line.violations.push(format!("{} was lost at {door}", call.id));
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

fn extra_tries(evidence: &Evidence) -> Line {
    const ALLOWANCE: f64 = 5.0;
    let calls = evidence.calls_by_id();
    let mut firsts: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for call in evidence.calls.iter().filter(|call| !call.repeat) {
        firsts.entry(&call.path).or_default().push(call.at);
    }
    let mut extras: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for run in &evidence.runs {
        let Some(call) = calls.get(run.transaction.as_str()) else { continue };
        if run.attempt > 1 || call.repeat {
            extras.entry(&call.path).or_default().push(run.at);
        }
    }
    let mut line =
        Line { name: "extra tries above a fifth in 10 s", checked: 0, violations: vec![] };
    for (path, extra_moments) in extras {
        let first_moments = firsts.get(path).cloned().unwrap_or_default();
        for (place, at) in extra_moments.iter().enumerate() {
            line.checked += 1;
            let window_start = at.saturating_sub(10 * SECOND);
            let extra_count =
                extra_moments[..=place].iter().filter(|moment| **moment > window_start).count();
            let first_count = first_moments
                .iter()
                .filter(|moment| **moment > window_start && **moment <= *at)
                .count();
            if extra_count as f64 > first_count as f64 * 0.2 + ALLOWANCE {
                line.violations.push(format!(
                    "{path}: {extra_count} extra to {first_count} first tries in 10 s"
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
    let mut line =
        Line { name: "a cold runner flooded, or slots exceeded", checked: 0, violations: vec![] };
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
    let is_fresh = run.at < life.start + life.boot + SECOND;
    let ended_count = ends_by_runner
        .get(run.runner.as_str())
        .map_or(0, |ends| ends.iter().filter(|end| **end <= run.at).count())
        as u64;
    (is_fresh && run.at_once > 1 + ended_count).then(|| {
        format!("{} at once on fresh {} after {ended_count} runs", run.at_once, run.runner)
    })
}

fn held_twice(evidence: &Evidence) -> Line {
    let mut line =
        Line { name: "two holders of one function at once", checked: 0, violations: vec![] };
    let mut by_function: BTreeMap<&str, Vec<&Life>> = BTreeMap::new();
    for life in &evidence.lives {
        by_function.entry(&life.function).or_default().push(life);
    }
    for (function, lives) in by_function {
        for (place, life) in lives.iter().enumerate() {
            for other in &lives[place + 1..] {
                if life.grant == other.grant {
                    continue;
                }
                line.checked += 1;
                if life.start < other.stop && other.start < life.stop {
                    line.violations.push(format!(
                        "{function}: {} and {} were alive together",
                        life.runner, other.runner
                    ));
                }
            }
        }
    }
    line
}

fn still_down(evidence: &Evidence) -> Line {
    let mut line =
        Line { name: "mostly down 12 s after machines return", checked: 0, violations: vec![] };
    let heavy_returns: Vec<&super::Told> =
        evidence.told("returned").filter(|told| told.detail["heavy"] == json!(true)).collect();
    let faults: Vec<u64> = evidence.told("fault").map(|told| told.at).collect();
    for returned in heavy_returns {
        let from = returned.at + 12 * SECOND;
        let next_fault = faults.iter().find(|at| **at > returned.at).copied().unwrap_or(u64::MAX);
        let until = (from + 5 * SECOND).min(next_fault);
        let calls: Vec<_> =
            evidence.calls.iter().filter(|call| (from..until).contains(&call.at)).collect();
        if calls.len() < 20 {
            continue;
        }
        line.checked += 1;
        let answered_count = calls.iter().filter(|call| call.outcome == "answer").count();
        if answered_count * 2 < calls.len() {
            line.violations.push(format!(
                "after {}: {answered_count} of {} answered",
                returned.detail["fault"],
                calls.len()
            ));
        }
    }
    line
}
