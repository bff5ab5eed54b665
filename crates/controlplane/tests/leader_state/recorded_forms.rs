//! Compares the JSON of reports and events, with every key and value form, with recorded fixtures.

use super::forms;
use super::harness::{Harness, ms};
use super::samples::{
    adoptable_claim, claim, document, first_incarnation, function, function_named, listed_instance,
    old_runner, worker,
};
use common::adapter::ListedWorker;
use common::frames::{
    DaemonToLeader, IdleFunction, LengthPrefixed, RequestFailureReason, ReserveResult, RunnerStatus,
};
use common::identity::ChangeId;
use controlplane::leader_state::{EventRecord, StreamId};
use googletest::prelude::*;
use serde_json::json;

/// Covers the reports on members, holders, workers and runners, with every key and value form.
#[gtest]
fn reports_keep_their_keys_and_values() {
    let mut harness = Harness::with_two_daemons(vec![adoptable_claim(false)]);
    let draining_worker = ListedWorker {
        draining: true,
        ..worker("w-2", "l1", 100_000)
    };
    harness.list_workers(&[worker("w", "l1", 100_000), draining_worker]);
    let fencing_token = harness.acquire_lease(2, "g");
    harness.reserve(2, "g", fencing_token);
    let leader_state = &harness.leader_state;
    let known_zones: Vec<String> = leader_state
        .known_zones()
        .iter()
        .map(ToString::to_string)
        .collect();
    let counts: Vec<(&str, u64)> = leader_state.counts().into();
    let seen = json!({
        "members": leader_state.report_members(harness.now),
        "holders": leader_state.report_holders(),
        "workers": leader_state.report_workers(),
        "runners": leader_state.report_runners(),
        "counts": counts,
        "localities": known_zones,
    });
    forms::check(
        env!("CARGO_MANIFEST_DIR"),
        "reports.json",
        &format!("{seen:#}\n"),
    );
}

/// Records events of leases, suspicion and fencing, with one worker that is full.
fn events_of_leases() -> Vec<EventRecord> {
    let mut harness = Harness::with_two_daemons(vec![adoptable_claim(false)]);
    harness.list_workers(&[worker("w", "l1", 100)]);
    harness.claim(2, vec![claim(false)]);
    let ready = DaemonToLeader::RunnerUpdate {
        function: function(),
        runner: old_runner(),
        runner_status: RunnerStatus::Ready,
    };
    harness.send(1, ready);
    let rejections = DaemonToLeader::Rejections {
        function: function(),
        count: 3,
        reason: RequestFailureReason::QueueFull,
    };
    harness.send(1, rejections);
    let idle = IdleFunction {
        function: function(),
        idle_ms: 900,
    };
    let functions = LengthPrefixed(vec![idle]);
    harness.send(1, DaemonToLeader::Idle { functions });
    let fencing_token = harness.acquire_lease(2, "g");
    harness.advance(ms(1100));
    harness.reserve(2, "g", fencing_token);
    let release = DaemonToLeader::Release {
        function: function_named("g"),
        fencing_token,
        runners: LengthPrefixed(Vec::new()),
    };
    harness.send(2, release);
    end_a_lease(&mut harness);
    harness.events
}

/// Suspects and disconnects the holder of a function, then evacuates its zone.
fn end_a_lease(harness: &mut Harness) {
    let suspect = || first_incarnation("a");
    harness.suspect(2, suspect());
    harness.advance(ms(900));
    harness.clear_suspicion(2, suspect());
    harness.renew(2);
    harness.leader_state.handle_stream_lost(StreamId(1));
    harness.advance(ms(900));
    harness.renew(2);
    let evacuated = document().with_zone("l1".into(), true, ChangeId::from("evacuated"));
    harness.leader_state.handle_committed(evacuated);
    harness.advance(ms(10));
    harness.leader_state.handle_runner_stopped(old_runner());
    harness.advance(ms(2300));
}

/// Records events of a runner that is missing from the platform's list, and of one that no member claimed.
fn events_of_lists() -> Vec<EventRecord> {
    let mut harness = Harness::with_two_daemons(vec![adoptable_claim(false)]);
    harness.advance(ms(1100));
    harness.list_runners(&[]);
    harness.advance(ms(10));
    let mut unclaimed = listed_instance(false);
    unclaimed.instance.name = "l2".into();
    harness.list_runners(&[unclaimed]);
    harness.advance(ms(10));
    harness.events
}

/// Records events of a function without a runner while another function has all the memory.
fn events_of_reclaiming() -> Vec<EventRecord> {
    let mut harness = Harness::with_one_daemon();
    harness.list_workers(&[worker("w", "l", 200)]);
    let crowded_token = harness.acquire_lease(1, "f");
    for _ in 0..2 {
        harness.reserve(1, "f", crowded_token);
    }
    let starved_token = harness.acquire_lease(1, "g");
    harness.reserve(1, "g", starved_token);
    harness.events
}

/// Records events of the evacuation of an underused worker.
fn events_of_evacuation() -> Vec<EventRecord> {
    let mut harness = Harness::with_one_daemon();
    harness.list_workers(&[worker("w-1", "l", 200)]);
    let fencing_token = harness.acquire_lease(1, "f");
    for _ in 0..2 {
        harness.reserve(1, "f", fencing_token);
    }
    harness.list_workers(&[worker("w-2", "l", 150)]);
    let last = harness.reserve(1, "f", fencing_token);
    harness.list_workers(&[worker("w-1", "l", 1000), worker("w-2", "l", 150)]);
    for _ in 0..16 {
        harness.renew(1);
        harness.advance(ms(1000));
    }
    if let ReserveResult::Reserved { runner, .. } = last {
        harness.leader_state.handle_runner_stopped(runner);
    }
    harness.advance(ms(10));
    harness.events
}

/// Records events of a member that does not reconnect and is no longer awaited.
fn events_of_absence() -> Vec<EventRecord> {
    let mut harness = Harness::new(&["a", "b"]);
    harness.join(1, "a", vec![]);
    harness.advance(ms(4100));
    harness.events
}

/// Covers the events of the leader by number, with every key and value form.
#[gtest]
fn events_keep_their_keys_and_values() {
    let shown = |events: Vec<EventRecord>| -> Vec<serde_json::Value> {
        let lines = events
            .into_iter()
            .map(|event_record| json!([event_record.event.number, event_record.detail]));
        lines.collect()
    };
    let seen = json!({
        "leases": shown(events_of_leases()),
        "lists": shown(events_of_lists()),
        "reclaiming": shown(events_of_reclaiming()),
        "evacuation": shown(events_of_evacuation()),
        "absence": shown(events_of_absence()),
    });
    forms::check(
        env!("CARGO_MANIFEST_DIR"),
        "leader_events.json",
        &format!("{seen:#}\n"),
    );
}
