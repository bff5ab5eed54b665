//! The controller's settings as users write them: the values read from them, and the full error text for
//! every wrong value.

#[path = "../../../testing/support/controller_settings.rs"]
mod controller_settings;
#[path = "../../../testing/support/forms.rs"]
mod forms;
#[path = "../../../testing/support/native_settings.rs"]
mod native_settings;

use common::frames::SocketAddress;
use common::readers::{SettingsError, SettingsSource};
use controlplane::settings::ControllerSettings;
use native_settings::with;
use serde_json::{Value, json};
use std::fmt::Write;
use std::path::PathBuf;

/// A settings file with every key, none of them set to its default.
fn full_settings() -> Value {
    json!({
        "place": "10.0.0.1:7100",
        "listen": "10.0.0.1:7200",
        "operators": "10.0.0.2:7111",
        "locality": "north",
        "seeds": ["10.0.0.1:7100", "10.0.1.1:7100", "10.0.2.1:7100"],
        "data": "/var/lib/controller",
        "found_first": true,
        "core_size": 7,
        "core_losses": 2,
        "core_zone_losses": 3,
        "threads": 3,
        "platform": "10.0.9.9:80",
        "placing": {"spread": false, "emptying": false},
        "timing": {
            "list_every_ms": 401, "round_ms": 102, "election_shortest_ms": 503,
            "election_longest_ms": 904, "grant_ms": 1005, "drift_ms": 106, "strike_ms": 1207,
            "replace_ms": 1308, "hello_ms": 1409, "left_ms": 1510, "start_settle_ms": 1611,
            "list_lag_ms": 1712,
        },
    })
}

/// A settings file with only the required keys.
fn minimal_settings() -> Value {
    json!({
        "place": "10.0.0.1:7100", "operators": "10.0.0.2:7111", "locality": "north",
        "seeds": ["10.0.0.1:7100"], "platform": "10.0.9.9:80",
    })
}

fn read(settings: &Value) -> Result<ControllerSettings, SettingsError> {
    ControllerSettings::read(&SettingsSource::from_value("FILE", settings.clone()))
}

fn shown(settings: &Value) -> Value {
    controller_settings::to_json(&read(settings).expect("valid settings"))
}

fn check(name: &str, seen: &str) {
    forms::check(env!("CARGO_MANIFEST_DIR"), name, seen);
}

fn check_json(name: &str, seen: &Value) {
    check(name, &format!("{seen:#}\n"));
}

#[test]
fn a_full_and_a_minimal_file_are_read_with_all_their_values() {
    let losses = |machines: u64, localities: u64| {
        let settings = with(minimal_settings(), "core_losses", json!(machines));
        let settings = shown(&with(settings, "core_zone_losses", json!(localities)));
        json!([
            machines,
            localities,
            settings["voters"],
            settings["voters in one locality"]
        ])
    };
    let all_losses: Vec<Value> = (0..=4)
        .flat_map(|machines| (0..=4).map(move |localities| (machines, localities)))
        .map(|(machines, localities)| losses(machines, localities))
        .collect();
    let inverted_timeouts = json!({"election_shortest_ms": 2000, "election_longest_ms": 1000});
    check_json(
        "settings_read.json",
        &json!({
            "full": shown(&full_settings()),
            "least": shown(&minimal_settings()),
            "core_losses, core_zone_losses, voters, voters in one locality": all_losses,
            "longest election below the shortest": shown(&with(minimal_settings(), "timing", inverted_timeouts))["timing"],
        }),
    );
}

#[test]
fn every_wrong_value_has_its_recorded_error_text() {
    let read = |settings: &Value| read(settings).map(drop).map_err(|cause| cause.to_string());
    let several = json!({"place": 7, "threads": 0});
    let text = native_settings::probe_results(&full_settings(), several, read);
    check("settings_answers.txt", &text);
}

#[test]
fn unreadable_files_and_unusable_addresses_have_their_recorded_error_texts() {
    let folder = std::env::temp_dir().join(format!("settings-forms-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let mut text = String::new();
    for (name, content) in [
        ("absent", None),
        ("cut", Some("{\"place\": ")),
        ("list", Some("[7]")),
    ] {
        let file = folder.join(name);
        if let Some(content) = content {
            std::fs::write(&file, content).expect("a file");
        }
        let opened = SettingsSource::open(Some(&file));
        let error = opened
            .and_then(|source| ControllerSettings::read(&source))
            .expect_err("an error");
        let error = error
            .to_string()
            .replace(&file.display().to_string(), "FILE");
        let _ = writeln!(text, "{name}: {error}");
    }
    let _ = std::fs::remove_dir_all(&folder);
    let denied = || std::io::Error::from(std::io::ErrorKind::PermissionDenied);
    let address = SocketAddress("10.0.0.1:7100".parse().expect("an address"));
    let folder_error =
        SettingsError::UnwritableFolder("FILE".to_owned(), PathBuf::from("/data"), denied());
    let _ = writeln!(text, "data folder: {folder_error}");
    for key in ["place", "listen", "operators"] {
        let listen_error = SettingsError::CannotListen("FILE".to_owned(), key, address, denied());
        let _ = writeln!(text, "listener: {listen_error}");
    }
    check("settings_files.txt", &text);
}

#[test]
fn flags_override_the_file_and_are_checked_like_it() {
    let mut source = SettingsSource::from_value("FILE", full_settings());
    source.set_text("place", Some("10.0.0.1:9"));
    source.set_text("operators", None);
    source.set_text("data", Some("/elsewhere"));
    source.set("found_first", Some(json!(false)));
    source.set_list("seeds", Some("10.0.3.1:1,10.0.3.2:2"));
    let overridden = ControllerSettings::read(&source).expect("valid settings");
    let mut flags = SettingsSource::open(None).expect("no file");
    let without_settings = ControllerSettings::read(&flags).expect_err("nothing is given");
    flags.set_list("seeds", Some("10.0.3.1:1,,"));
    let wrong = ControllerSettings::read(&flags).expect_err("a wrong list");
    check_json(
        "settings_flags.json",
        &json!({
            "laid over": controller_settings::to_json(&overridden),
            "nothing given": without_settings.to_string(),
            "a wrong list": wrong.to_string(),
        }),
    );
}
