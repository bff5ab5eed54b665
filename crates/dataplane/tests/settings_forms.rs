//! Compares the daemon's settings with fixtures: the values that are read, and the complete error message for every
//! invalid value.

#[path = "../../../testing/support/daemon_settings.rs"]
mod daemon_settings;
#[path = "../../../testing/support/forms.rs"]
mod forms;
#[path = "../../../testing/support/native_settings.rs"]
mod native_settings;

use common::readers::{SettingsError, SettingsSource};
use dataplane::settings::DaemonSettings;
use native_settings::with;
use serde_json::{Value, json};

/// Settings with every key, each with another value than its default.
fn full() -> Value {
    json!({
        "member": "daemon-1",
        "locality": "north",
        "place": "10.0.0.1:7100",
        "listen": "10.0.0.1:7200",
        "door": "10.0.0.2:8080",
        "seeds": ["10.0.0.1:7300", "10.0.1.1:7300", "10.0.2.1:7300"],
        "platform": "10.0.9.9:80",
        "largest_body": 2000,
        "grace_ms": 3001,
        "threads": 4,
        "ready": "10.0.0.2:8081",
        "beat_ms": 205,
        "link_mbps": 906,
        "warm": true,
        "regions": {"north": "top", "south": "bottom"},
        "tries_percent": 21,
        "tries_allowance": 4,
        "tries_allowance_at_once": true,
        "idle_boots": 5,
        "idle_rare_ms": 6007,
        "idle_stop": true,
        "start_mb_s": 308,
        "late_mb_s": 709,
        "rise_ms": 510,
        "margin_percent": 111,
        "fall_ms": 812,
        "drain_every_ms": 913,
    })
}

/// Settings with the required keys only.
fn minimal() -> Value {
    json!({
        "member": "daemon-1", "locality": "north", "place": "10.0.0.1:7100",
        "door": "10.0.0.2:8080", "seeds": ["10.0.0.1:7300"], "platform": "10.0.9.9:80",
    })
}

fn read(settings: &Value) -> Result<DaemonSettings, SettingsError> {
    DaemonSettings::read(&SettingsSource::from_value("FILE", settings.clone()))
}

fn shown(settings: &Value) -> Value {
    daemon_settings::to_json(
        &read(settings).expect("settings should be valid"),
        &["north", "south", "east"],
    )
}

fn check(name: &str, seen: &str) {
    forms::check(env!("CARGO_MANIFEST_DIR"), name, seen);
}

#[test]
fn full_and_minimal_settings_match_the_fixture() {
    let seen = json!({
        "full": shown(&full()),
        "least": shown(&minimal()),
        "idle_stop alone": shown(&with(minimal(), "idle_stop", json!(true))),
    });
    check("settings_read.json", &format!("{seen:#}\n"));
}

#[test]
fn error_messages_for_invalid_values_match_the_fixture() {
    let read = |settings: &Value| read(settings).map(drop).map_err(|cause| cause.to_string());
    let several = json!({"member": 7, "threads": 257});
    let text = native_settings::probe_results(&full(), several, read);
    check("settings_answers.txt", &text);
}
