//! Tests that the judge finds each violation that is planted in the records of a day, and none in a clean day.

use fleet::judge::{Evidence, judge};
use googletest::prelude::*;
use serde_json::{Value, json};

const SECOND: u64 = 1_000_000_000;
const MILLISECOND: u64 = SECOND / 1000;

/// The records of a made-up day.
struct Day {
    callers: Vec<Value>,
    platform_stub: Vec<Value>,
    journal: Vec<Value>,
}

fn change_record(at: u64, base: u64, id: &str, state: &str, function: &str) -> Value {
    json!({
        "kind": "change", "at": at, "sent_at": at - SECOND / 10, "base": base, "change_id": id,
        "status": if state == "accepted" { 200 } else { 409 }, "state": state,
        "serial": base + 1, "paths": {"/a": function},
    })
}

fn call_record(id: &str, at: u64, outcome: &str) -> Value {
    json!({
        "id": id, "at": at, "end": at + SECOND / 20, "path": "/a", "function": "f", "once": true,
        "outcome": outcome, "reason": "", "sealed": true, "runner": "r-1-1", "door": "d1",
    })
}

fn run_records(id: &str, at: u64, runner: &str, number: u64) -> Vec<Value> {
    vec![
        json!({"kind": "run_begin", "at": at, "runner": runner, "function": "f@2", "transaction": id,
               "attempt": 1, "run": number, "at_once": 1, "ready": true}),
        json!({"kind": "run_end", "at": at + SECOND / 100, "runner": runner, "run": number}),
    ]
}

fn runner_start(runner: &str, at: u64, worker: &str) -> Value {
    json!({"kind": "runner_start", "at": at, "runner": runner, "function": "f@2", "worker": worker,
           "locality": if worker == "worker-00" { "locality-1" } else { "locality-2" }, "memory_mb": 100, "boot_ms": 100, "slots": 2, "place": "p"})
}

/// Returns the journal entry of an evacuation that was requested at 5 s.
fn evacuation_record(zone: &str) -> Value {
    json!({
        "kind": "locality", "at": 5 * SECOND, "locality": zone, "deed": "evacuate", "status": 200,
    })
}

/// Returns a day with a runner, a spec that was accepted before, and 100 answered calls, ten per second from 4 s on.
fn clean_day() -> Day {
    let mut day = Day {
        callers: Vec::new(),
        platform_stub: vec![runner_start("r-1-1", 2 * SECOND, "worker-00")],
        journal: vec![change_record(SECOND, 1, "c1", "accepted", "f")],
    };
    for number in 0..100 {
        let at = 4 * SECOND + number * SECOND / 10;
        day.callers
            .push(call_record(&format!("t{number}"), at, "answer"));
        day.platform_stub.extend(run_records(
            &format!("t{number}"),
            at + 1000,
            "r-1-1",
            number,
        ));
    }
    day
}

fn violated_checks(day: &Day) -> Vec<String> {
    let evidence = Evidence::from_records(&day.callers, &day.platform_stub, &day.journal);
    let verdict = judge(&evidence);
    verdict
        .checks
        .iter()
        .filter(|check| !check.violations.is_empty())
        .map(|check| check.name.to_owned())
        .collect()
}

/// Returns the names of the checks that a clean day violates after a change to its records.
fn violated_after(change: impl FnOnce(&mut Day)) -> Vec<String> {
    let mut day = clean_day();
    change(&mut day);
    violated_checks(&day)
}

#[gtest]
fn a_clean_day_has_no_violation() -> Result<()> {
    verify_that!(violated_checks(&clean_day()), is_empty())
}

#[gtest]
fn a_second_run_of_an_at_most_once_request_is_found() -> Result<()> {
    let violated = violated_after(|day| {
        day.platform_stub
            .extend(run_records("t5", 30 * SECOND, "r-1-1", 900));
    });
    verify_that!(violated, elements_are![eq("a once-transaction runs twice")])
}

#[gtest]
fn a_refused_request_that_ran_is_found() -> Result<()> {
    let violated = violated_after(|day| {
        day.callers[7]["outcome"] = json!("not_run");
    });
    verify_that!(violated, elements_are![eq("refused as not run, and runs")])
}

#[gtest]
fn unsealed_and_foreign_answers_are_found() -> Result<()> {
    let name = "a success without its runner's own sealed body";
    let unsealed = violated_after(|day| {
        day.callers[3]["sealed"] = json!(false);
    });
    verify_that!(unsealed, elements_are![eq(name)])?;
    let foreign = violated_after(|day| {
        day.callers[3]["runner"] = json!("r-1-9");
    });
    verify_that!(foreign, elements_are![eq(name)])
}

#[gtest]
fn a_run_on_another_function_is_found() -> Result<()> {
    let violated = violated_after(|day| {
        day.platform_stub[1]["function"] = json!("g@2");
    });
    verify_that!(
        violated,
        elements_are![
            eq("a run on a function its path was never given"),
            eq("an accepted spec not in force after 3 s, or undone"),
        ]
    )
}

#[gtest]
fn a_replaced_or_refused_spec_in_use_after_three_seconds_is_found() -> Result<()> {
    let name = "an accepted spec not in force after 3 s, or undone";
    let late = violated_after(|day| {
        day.journal
            .push(change_record(8 * SECOND, 2, "c2", "accepted", "g"));
    });
    verify_that!(late, elements_are![eq(name)])?;
    let in_time = violated_after(|day| {
        day.journal
            .push(change_record(12 * SECOND, 2, "c2", "accepted", "g"));
    });
    verify_that!(in_time, is_empty())?;
    let refused = violated_after(|day| {
        day.journal
            .push(change_record(3 * SECOND, 1, "c2", "not_accepted", "g"));
        day.platform_stub[5]["function"] = json!("g@2");
    });
    verify_that!(refused, contains(eq(name)))
}

#[gtest]
fn two_accepted_changes_with_the_same_base_version_are_found() -> Result<()> {
    let violated = violated_after(|day| {
        day.journal
            .push(change_record(2 * SECOND, 1, "c2", "accepted", "f"));
    });
    verify_that!(
        violated,
        elements_are![eq("two changes on one version accepted")]
    )
}

#[gtest]
fn runs_on_drained_workers_and_in_evacuated_zones_are_found() -> Result<()> {
    let drained = violated_after(|day| {
        day.platform_stub.push(
            json!({"kind": "worker", "at": 8 * SECOND, "worker": "worker-00", "deed": "drain"}),
        );
    });
    verify_that!(
        drained,
        elements_are![eq("a leaving runner or draining worker used after 3 s")]
    )?;
    let evacuated = violated_after(|day| {
        day.journal.push(evacuation_record("locality-1"));
    });
    verify_that!(
        evacuated,
        elements_are![eq("an evacuated locality used after 5 s")]
    )?;
    let elsewhere = violated_after(|day| {
        day.journal.push(evacuation_record("locality-2"));
    });
    verify_that!(elsewhere, is_empty())
}

#[gtest]
fn an_answer_lost_at_a_graceful_stop_and_a_late_stop_are_found() -> Result<()> {
    let name = "an orderly stop drops answers in hand";
    let violated = violated_after(|day| {
        day.callers[20]["outcome"] = json!("lost");
        let at = day.callers[20]["at"].as_u64().unwrap_or(0) + 1000;
        day.journal
            .push(json!({"kind": "stop", "at": at, "machine": "th-1", "door": "d1"}));
    });
    verify_that!(violated, elements_are![eq(name)])?;
    let slow = violated_after(|day| {
        day.journal.push(
            json!({"kind": "stopped", "at": 9 * SECOND, "machine": "th-1", "in_time": false}),
        );
    });
    verify_that!(slow, elements_are![eq(name)])
}

/// Callers that disconnected 0.6 s before their requests ran: up to three are tolerated.
#[gtest]
fn runs_long_after_their_callers_disconnected_are_found() -> Result<()> {
    let violated_with = |disconnected_count: usize| {
        violated_after(|day| {
            for call in &mut day.callers[10..10 + disconnected_count] {
                let ran_at = call["at"].as_u64().unwrap_or(0) + 1000;
                call["outcome"] = json!("left");
                call["at"] = json!(ran_at - SECOND);
                call["end"] = json!(ran_at - SECOND * 6 / 10);
            }
        })
    };
    verify_that!(violated_with(3), is_empty())?;
    let name = "runs that begin over 0.5 s after their callers have left";
    verify_that!(violated_with(4), elements_are![eq(name)])
}

#[gtest]
fn too_many_retries_are_found() -> Result<()> {
    let violated = violated_after(|day| {
        for number in 0..100 {
            day.callers[number as usize]["once"] = json!(false);
            if number % 2 == 0 {
                let mut retried_run = run_records(
                    &format!("t{number}"),
                    4 * SECOND + number * SECOND / 10 + 5000,
                    "r-1-1",
                    500 + number,
                );
                retried_run[0]["attempt"] = json!(2);
                day.platform_stub.extend(retried_run);
            }
        }
    });
    verify_that!(
        violated,
        elements_are![eq("extra tries above a fifth in 10 s")]
    )
}

#[gtest]
fn overloads_of_starting_fresh_and_full_runners_are_found() -> Result<()> {
    let name = "a cold runner flooded, or slots exceeded";
    let full = violated_after(|day| {
        day.platform_stub[101]["at_once"] = json!(3);
    });
    verify_that!(full, elements_are![eq(name)])?;
    let cold = violated_after(|day| {
        day.platform_stub[1]["ready"] = json!(false);
    });
    verify_that!(cold, elements_are![eq(name)])?;
    let fresh = violated_after(|day| {
        day.platform_stub[0]["at"] = json!(4 * SECOND - SECOND / 5);
        day.platform_stub[1]["at_once"] = json!(2);
    });
    verify_that!(fresh, elements_are![eq(name)])
}

#[gtest]
fn concurrent_holders_of_a_function_are_found() -> Result<()> {
    let violated = violated_after(|day| {
        day.platform_stub
            .push(runner_start("r-2-1", 6 * SECOND, "worker-01"));
    });
    verify_that!(
        violated,
        elements_are![eq("two holders of one function at once")]
    )?;
    let after = violated_after(|day| {
        day.platform_stub
            .push(json!({"kind": "runner_stop", "at": 20 * SECOND, "runner": "r-1-1"}));
        day.platform_stub
            .push(runner_start("r-2-1", 21 * SECOND, "worker-01"));
    });
    verify_that!(after, is_empty())?;
    let mut taken_over = clean_day();
    for record in taken_over
        .platform_stub
        .iter_mut()
        .filter(|record| record["at"].as_u64() > Some(6 * SECOND))
    {
        record["grant"] = json!(2);
    }
    verify_that!(violated_checks(&taken_over), is_empty())?;
    taken_over.platform_stub[191]["grant"] = json!(1);
    verify_that!(
        violated_checks(&taken_over),
        elements_are![eq("two holders of one function at once")]
    )
}

#[gtest]
fn service_that_does_not_recover_is_found() -> Result<()> {
    let violated = violated_after(|day| {
        day.journal
            .push(json!({"kind": "fault", "at": 2 * SECOND, "fault": "kill-herd", "heavy": true}));
        day.journal.push(
            json!({"kind": "returned", "at": 3 * SECOND, "fault": "kill-herd", "heavy": true}),
        );
        for number in 0..50 {
            let mut late = call_record(
                &format!("late{number}"),
                16 * SECOND + number * SECOND / 50,
                "unknown",
            );
            late["once"] = json!(false);
            day.callers.push(late);
        }
    });
    verify_that!(
        violated,
        elements_are![eq("mostly down 12 s after machines return")]
    )
}

/// A function's longest timeout for which a new lease holder has to wait longer than the 12 s for recovery.
const LONG_TIMEOUT: u64 = 11 * SECOND;
/// When the fault of [`day_with_once_wait`] ends.
const FAULT_END: u64 = 3 * SECOND;

/// Returns the latest end of the wait for requests that may run only once, if a lease is granted 12 s after the fault:
/// the function's longest timeout and the session lease of 2 s later.
fn latest_wait_end(longest_timeout: u64) -> u64 {
    FAULT_END + 12 * SECOND + longest_timeout + 2 * SECOND
}

/// Returns a call that a lease holder rejects because its wait for requests that may run only once ends later.
fn once_wait_record(id: &str, at: u64, timeout: u64, wait_end: u64) -> Value {
    let mut rejected = call_record(id, at, "not_run");
    rejected["path"] = json!("/patient");
    rejected["function"] = json!("patient");
    rejected["budget_ms"] = json!(timeout / MILLISECOND);
    rejected["reason"] = json!("once_wait");
    rejected["retry_after_ms"] = json!((wait_end - at) / MILLISECOND);
    rejected
}

/// Returns a day with a heavy fault and, in a second that is measured after it, 30 answered calls and 50 calls of
/// another function that are rejected until the given end of the wait. These have shorter timeouts than the longest,
/// which a single earlier call has.
fn day_with_once_wait(longest_timeout: u64, wait_end: u64) -> Day {
    let mut day = clean_day();
    for kind in ["fault", "returned"] {
        day.journal
            .push(json!({"kind": kind, "at": FAULT_END, "fault": "kill-herd", "heavy": true}));
    }
    day.callers[0]["function"] = json!("patient");
    day.callers[0]["budget_ms"] = json!(longest_timeout / MILLISECOND);
    for number in 0..30 {
        let id = format!("answered{number}");
        let at = 16 * SECOND + number * SECOND / 30;
        day.callers.push(call_record(&id, at, "answer"));
        day.platform_stub
            .extend(run_records(&id, at + 1000, "r-1-1", 200 + number));
    }
    for number in 0..50 {
        day.callers.push(once_wait_record(
            &format!("rejected{number}"),
            16 * SECOND + number * SECOND / 50,
            longest_timeout - SECOND,
            wait_end,
        ));
    }
    day
}

/// Returns the violations of the check for recovery. No other check may have any.
fn recovery_violations(day: &Day) -> Vec<String> {
    let evidence = Evidence::from_records(&day.callers, &day.platform_stub, &day.journal);
    let violated = judge(&evidence)
        .checks
        .into_iter()
        .filter(|check| !check.violations.is_empty());
    violated
        .flat_map(|check| {
            assert_eq!(check.name, "mostly down 12 s after machines return");
            check.violations
        })
        .collect()
}

/// What is found if the calls that [`day_with_once_wait`] rejects count.
const REJECTIONS_COUNTED: &str = "13 s after \"kill-herd\": 30 of 80 answered";

/// Guards against a verdict that depends on how often callers retry while a new lease holder must reject requests that
/// may run only once for longer than the 12 s for recovery.
#[gtest]
fn required_once_wait_rejections_do_not_count_against_recovery() -> Result<()> {
    let day = day_with_once_wait(LONG_TIMEOUT, latest_wait_end(LONG_TIMEOUT));
    verify_that!(recovery_violations(&day), is_empty())
}

#[gtest]
fn once_wait_that_ends_too_late_is_found() -> Result<()> {
    let too_late = latest_wait_end(LONG_TIMEOUT) + MILLISECOND;
    let day = day_with_once_wait(LONG_TIMEOUT, too_late);
    verify_that!(
        recovery_violations(&day),
        elements_are![eq(REJECTIONS_COUNTED)]
    )
}

/// A wait of at most 12 s can be over when recovery is measured: that of a timeout of 10 s is just as long.
#[gtest]
fn once_wait_rejections_of_functions_with_shorter_timeouts_are_found() -> Result<()> {
    for longest_timeout in [5 * SECOND, 10 * SECOND] {
        let day = day_with_once_wait(longest_timeout, latest_wait_end(longest_timeout));
        verify_that!(
            recovery_violations(&day),
            elements_are![eq(REJECTIONS_COUNTED)]
        )?;
    }
    Ok(())
}

/// Calls that differ from required rejections in one field count, and so do those of older records without a timeout
/// or a suggested delay.
#[gtest]
fn other_failed_calls_count_against_recovery() -> Result<()> {
    for (field, value) in [
        ("reason", json!("not_serving")),
        ("outcome", json!("unknown")),
        ("once", json!(false)),
        ("budget_ms", Value::Null),
        ("retry_after_ms", Value::Null),
    ] {
        let mut day = day_with_once_wait(LONG_TIMEOUT, latest_wait_end(LONG_TIMEOUT));
        for call in &mut day.callers {
            if call["reason"] == json!("once_wait") {
                call[field] = value.clone();
            }
        }
        verify_that!(
            recovery_violations(&day),
            elements_are![eq(REJECTIONS_COUNTED)]
        )?;
    }
    Ok(())
}

#[gtest]
fn failed_calls_beside_required_once_wait_rejections_are_found() -> Result<()> {
    let mut day = day_with_once_wait(LONG_TIMEOUT, latest_wait_end(LONG_TIMEOUT));
    for number in 0..40 {
        let mut failed = call_record(
            &format!("failed{number}"),
            16 * SECOND + number * SECOND / 40,
            "unknown",
        );
        failed["path"] = json!("/other");
        failed["function"] = json!("g");
        day.callers.push(failed);
    }
    verify_that!(
        recovery_violations(&day),
        elements_are![eq("13 s after \"kill-herd\": 30 of 70 answered")]
    )
}

fn change_with_paths(at: u64, base: u64, paths: Value) -> Value {
    json!({
        "kind": "change", "at": at, "sent_at": at - SECOND / 10, "base": base, "change_id": format!("c{base}"),
        "status": 200, "state": "accepted", "serial": base + 1, "paths": paths,
    })
}

fn call_on(id: &str, at: u64, path: &str, outcome: &str, reason: &str) -> Value {
    let mut made_call = call_record(id, at, outcome);
    made_call["path"] = json!(path);
    made_call["reason"] = json!(reason);
    made_call["once"] = json!(false);
    made_call
}

#[gtest]
fn an_ingress_with_an_outdated_route_is_found() -> Result<()> {
    let name = "a door without an accepted spec after 3 s";
    let with_call_at = |at: u64| {
        let mut day = clean_day();
        day.journal.push(change_with_paths(
            20 * SECOND,
            2,
            json!({"/a": "f", "/b": "f"}),
        ));
        day.callers
            .push(call_on("b1", at, "/b", "not_run", "no_route"));
        day
    };
    verify_that!(violated_checks(&with_call_at(23 * SECOND)), is_empty())?;
    verify_that!(
        violated_checks(&with_call_at(24 * SECOND)),
        elements_are![eq(name)]
    )?;
    let gone = violated_after(|day| {
        day.journal.push(change_with_paths(
            20 * SECOND,
            2,
            json!({"/a": "f", "/b": "f"}),
        ));
        day.journal
            .push(change_with_paths(30 * SECOND, 3, json!({"/a": "f"})));
        day.callers
            .push(call_on("b2", 34 * SECOND, "/b", "answer", ""));
        day.platform_stub
            .extend(run_records("b2", 34 * SECOND + 1000, "r-1-1", 700));
    });
    verify_that!(gone, contains(eq(name)))
}

#[gtest]
fn a_run_configured_only_by_a_refused_change_is_found() -> Result<()> {
    let mut day = clean_day();
    day.journal
        .push(change_record(5 * SECOND, 1, "c9", "not_accepted", "g"));
    verify_that!(violated_checks(&day), is_empty())?;
    day.platform_stub[121]["function"] = json!("g@2");
    verify_that!(
        violated_checks(&day),
        contains(eq("a refused change in force"))
    )
}

#[gtest]
fn a_run_on_a_leaving_runner_is_found() -> Result<()> {
    let violated_after_leaving = |at: u64| {
        let mut day = clean_day();
        day.platform_stub
            .push(json!({"kind": "runner_leaves", "at": at, "runner": "r-1-1"}));
        violated_checks(&day)
    };
    verify_that!(violated_after_leaving(11 * SECOND), is_empty())?;
    verify_that!(
        violated_after_leaving(8 * SECOND),
        elements_are![eq("a leaving runner or draining worker used after 3 s")]
    )
}

#[gtest]
fn unknown_outcomes_at_a_graceful_stop_are_found() -> Result<()> {
    let name = "an orderly stop drops answers in hand";
    let with_end = |outcome: &str, reason: &str, ingress: &str| {
        let mut day = clean_day();
        day.callers[20]["outcome"] = json!(outcome);
        day.callers[20]["reason"] = json!(reason);
        let at = day.callers[20]["at"].as_u64().unwrap_or(0) + 1000;
        day.journal
            .push(json!({"kind": "stop", "at": at, "machine": "th-1", "door": ingress}));
        violated_checks(&day)
    };
    verify_that!(with_end("answer", "", "d1"), is_empty())?;
    verify_that!(
        with_end("unknown", "answer_lost", "d1"),
        elements_are![eq(name)]
    )?;
    verify_that!(
        with_end("unknown", "holder_silent", "d2"),
        elements_are![eq(name)]
    )?;
    verify_that!(with_end("unknown", "answer_lost", "d2"), is_empty())
}

#[gtest]
fn retries_over_the_budget_of_a_function_are_found() -> Result<()> {
    let with_retries = |count: usize| {
        let mut day = clean_day();
        for number in 0..count {
            day.callers[number]["once"] = json!(false);
            let mut retried_run = run_records(
                &format!("t{number}"),
                13 * SECOND + number as u64,
                "r-1-1",
                500,
            );
            retried_run[0]["attempt"] = json!(2);
            day.platform_stub.extend(retried_run);
        }
        violated_checks(&day)
    };
    verify_that!(with_retries(21), is_empty())?;
    verify_that!(
        with_retries(24),
        elements_are![eq("extra tries above a fifth in 10 s")]
    )
}

#[gtest]
fn a_day_fails_if_a_fault_did_not_exercise_its_check() -> Result<()> {
    let mut day = clean_day();
    day.journal
        .push(json!({"kind": "fault", "at": 5 * SECOND, "fault": "evacuate", "heavy": false}));
    let evidence = Evidence::from_records(&day.callers, &day.platform_stub, &day.journal);
    let verdict = judge(&evidence);
    verify_that!(verdict.violation_count(), eq(0))?;
    verify_that!(verdict.is_clean(), eq(false))?;
    verify_that!(verdict.unexercised.len(), eq(1))
}

#[gtest]
fn missing_truncated_and_incomplete_records_are_rejected_with_file_and_line() -> Result<()> {
    let folder = std::env::temp_dir().join(format!("rudder-judge-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let write = |name: &str, text: &str| std::fs::write(folder.join(name), text).expect("a file");
    let error = || match Evidence::read(&folder) {
        Ok(_) => String::new(),
        Err(error) => error.to_string(),
    };
    verify_that!(error(), contains_substring("callers.jsonl"))?;
    let complete_call = call_record("t", SECOND, "answer").to_string();
    write("callers.jsonl", &format!("{complete_call}\n"));
    verify_that!(error(), contains_substring("platform-stub.jsonl"))?;
    write("platform-stub.jsonl", "{\"kind\": \"probe\", \"at\": 1}\n");
    write("journal.jsonl", "{\"kind\": \"end\", \"at\": 1}\n");
    verify_that!(error(), eq(""))?;
    write(
        "callers.jsonl",
        &format!("{complete_call}\n{}", &complete_call[..20]),
    );
    verify_that!(error(), contains_substring("callers.jsonl line 2"))?;
    write(
        "callers.jsonl",
        &format!("{complete_call}\n{complete_call}"),
    );
    verify_that!(error(), contains_substring("callers.jsonl line 2"))?;
    write("callers.jsonl", "{\"temperature\": 4}\n");
    verify_that!(error(), contains_substring("callers.jsonl line 1"))?;
    std::fs::remove_dir_all(&folder).expect("removed");
    Ok(())
}
