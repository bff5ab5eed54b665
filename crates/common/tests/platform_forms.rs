//! The calls of the native platform client: their bytes, and how each response is interpreted.

#[path = "../../../testing/support/forms.rs"]
mod forms;
#[path = "../../../testing/support/platform_double.rs"]
mod platform_double;
#[path = "../../../testing/support/platform_orders.rs"]
mod platform_orders;

use common::adapter::{ListedRunner, ListedWorker, NativePlatform, PlatformAdapter};
use common::identity::{FunctionKey, Version};
use platform_double::PlatformDouble;
use platform_orders::{
    RUNNER, describe_list, describe_outcome, describe_stop, start_order, stop_order,
};
use serde_json::{Value, json};
use std::fmt::Write;

const WORKER: &str = "worker-3";

fn function() -> FunctionKey {
    FunctionKey::new("pay", Version(12))
}

fn append_calls(text: &mut String, heading: &str, double: &PlatformDouble, outcome: &str) {
    let _ = writeln!(text, "## {heading}: {outcome}");
    for call in double.calls() {
        let _ = writeln!(text, "{call}\n");
    }
}

fn check(name: &str, seen: &str) {
    forms::check(env!("CARGO_MANIFEST_DIR"), name, seen);
}

const STATUSES: [u16; 12] = [200, 201, 204, 400, 404, 408, 409, 429, 500, 502, 503, 507];

#[tokio::test]
async fn start_calls_and_their_outcomes_match_the_fixture() {
    let mut text = String::new();
    let good = json!({"life": "life-9", "place": "10.0.0.3:9000"}).to_string();
    for key in [function(), function().in_region(&"north".into())] {
        let double = PlatformDouble::answering(&[(201, good.clone())]).await;
        let outcome = NativePlatform::new(double.address)
            .start_runner(start_order(key.clone(), WORKER))
            .await;
        append_calls(
            &mut text,
            &format!("start of {key}"),
            &double,
            &describe_outcome(&outcome),
        );
    }
    for body in [
        "{}",
        "no JSON",
        r#"{"life": "", "place": "10.0.0.3:9000"}"#,
        r#"{"life": "a"}"#,
    ] {
        let double = PlatformDouble::answering(&[(201, body.to_owned())]).await;
        let outcome = NativePlatform::new(double.address)
            .start_runner(start_order(function(), WORKER))
            .await;
        let _ = writeln!(text, "start, 201 {body}: {}", describe_outcome(&outcome));
    }
    for status in STATUSES {
        let double = PlatformDouble::answering(&[(status, String::new())]).await;
        let outcome = NativePlatform::new(double.address)
            .start_runner(start_order(function(), WORKER))
            .await;
        let _ = writeln!(
            text,
            "start, {status} without a body: {}",
            describe_outcome(&outcome)
        );
    }
    check("platform_starts.txt", &text);
}

#[tokio::test]
async fn stop_calls_and_their_outcomes_match_the_fixture() {
    let mut text = String::new();
    for instance in [Some("life-9"), None] {
        let double = PlatformDouble::answering(&[(200, "{}".to_owned())]).await;
        let is_stopped = NativePlatform::new(double.address)
            .stop_runner(stop_order(function(), WORKER, instance))
            .await;
        append_calls(&mut text, "stop", &double, describe_stop(is_stopped));
    }
    for status in STATUSES {
        let double = PlatformDouble::answering(&[(status, "{}".to_owned())]).await;
        let is_stopped = NativePlatform::new(double.address)
            .stop_runner(stop_order(function(), WORKER, Some("life-9")))
            .await;
        let _ = writeln!(text, "stop, {status}: {}", describe_stop(is_stopped));
    }
    check("platform_stops.txt", &text);
}

fn worker_row(worker: &ListedWorker) -> Value {
    json!([
        worker.worker.as_str(),
        worker.zone.as_str(),
        worker.memory_mb,
        worker.draining,
    ])
}

#[tokio::test]
async fn worker_list_calls_and_their_results_match_the_fixture() {
    let mut text = String::new();
    let full_list = json!({"workers": [
        {"worker": "w-1", "locality": "north", "memory_mb": 4096, "draining": true},
        {"worker": "w-2", "locality": "south", "memory_mb": 0},
    ]});
    let answers = [
        (200, full_list.to_string()),
        (200, json!({"workers": []}).to_string()),
        (200, json!({}).to_string()),
        (200, json!({"workers": 7}).to_string()),
        (
            200,
            json!({"workers": [{"worker": "w-1", "memory_mb": 1}]}).to_string(),
        ),
        (
            200,
            json!({"workers": [{"worker": "w", "locality": "n", "memory_mb": -1}]}).to_string(),
        ),
        (503, full_list.to_string()),
    ];
    for (status, body) in answers {
        let double = PlatformDouble::answering(&[(status, body.clone())]).await;
        let listed = NativePlatform::new(double.address).workers().await;
        let rows = listed.map(|listed| listed.iter().map(worker_row).collect::<Value>());
        append_calls(
            &mut text,
            &format!("workers, {status} {body}"),
            &double,
            &describe_list(rows),
        );
    }
    check("platform_workers.txt", &text);
}

fn runner_row(listed: &ListedRunner) -> Value {
    json!({
        "life": listed.instance.name.as_str(),
        "place": listed.instance.address.to_string(),
        "runner": listed.runner.map(|runner| runner.to_string()),
        "function": listed.key.as_ref().map(ToString::to_string),
        "worker": listed.worker.as_str(),
        "leaving": listed.leaving,
    })
}

#[tokio::test]
async fn runner_list_calls_and_their_results_match_the_fixture() {
    let mut text = String::new();
    let row = json!({
        "runner": RUNNER.to_string(), "function": "pay@12~north", "worker": "w-1",
        "life": "life-9", "place": "10.0.0.3:9000", "leaving": true,
    });
    let without = |key: &str| {
        let mut row = row.clone();
        row.as_object_mut().expect("a row").remove(key);
        json!({"age_ms": 0, "runners": [row]}).to_string()
    };
    let mut answers = vec![
        (200, json!({"age_ms": 250, "runners": [row]}).to_string()),
        (200, json!({"age_ms": 250, "runners": []}).to_string()),
        (200, json!({"runners": []}).to_string()),
        (200, json!({"age_ms": 3_600_001, "runners": []}).to_string()),
        (503, json!({"age_ms": 250, "runners": []}).to_string()),
    ];
    let keys = ["runner", "function", "worker", "life", "place", "leaving"];
    answers.extend(keys.map(|key| (200, without(key))));
    for (status, body) in answers {
        let double = PlatformDouble::answering(&[(status, body.clone())]).await;
        let listed = NativePlatform::new(double.address).runners().await;
        let rows = listed.map(|list| {
            let rows: Value = list.runners.iter().map(runner_row).collect();
            json!([list.age.as_millis() as u64, rows])
        });
        append_calls(
            &mut text,
            &format!("runners, {status} {body}"),
            &double,
            &describe_list(rows),
        );
    }
    check("platform_runners.txt", &text);
}
