//! The daemon's settings as users write them: what is read, and the complete answer to every wrong value.

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

/// A file with every key, none of them at its default.
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

/// The keys that must be there.
fn least() -> Value {
    json!({
        "member": "daemon-1", "locality": "north", "place": "10.0.0.1:7100",
        "door": "10.0.0.2:8080", "seeds": ["10.0.0.1:7300"], "platform": "10.0.9.9:80",
    })
}

fn read(settings: &Value) -> Result<DaemonSettings, SettingsError> {
    DaemonSettings::read(&SettingsSource::from_value("FILE", settings.clone()))
}

fn shown(settings: &Value) -> Value {
    daemon_settings::shown(
        &read(settings).expect("good settings"),
        &["north", "south", "east"],
    )
}

fn check(name: &str, seen: &str) {
    forms::check(env!("CARGO_MANIFEST_DIR"), name, seen);
}

#[test]
fn a_full_file_and_a_short_one_are_read_with_all_their_values() {
    let seen = json!({
        "full": shown(&full()),
        "least": shown(&least()),
        "idle_stop alone": shown(&with(least(), "idle_stop", json!(true))),
    });
    check("settings_read.json", &format!("{seen:#}\n"));
}

#[test]
fn every_wrong_value_has_its_answer() {
    let read = |settings: &Value| read(settings).map(drop).map_err(|cause| cause.to_string());
    let several = json!({"member": 7, "threads": 257});
    let text = native_settings::answers(&full(), several, read);
    check("settings_answers.txt", &text);
}
