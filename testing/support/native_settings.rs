//! Wrong settings of the product's own files, whichever role reads them. Included by the tests that hold the answers.

#[path = "setting_probes.rs"]
mod setting_probes;

use serde_json::{Value, json};
use std::fmt::Write;

/// Settings with another value for one key.
pub(crate) fn with(mut settings: Value, key: &str, value: Value) -> Value {
    settings[key] = value;
    settings
}

/// The answers to every wrong value of a full file, and to files with several wrong values; the last of these is the
/// role's own.
pub(crate) fn probe_results(
    full: &Value,
    several_of_role: Value,
    read: impl Fn(&Value) -> Result<(), String>,
) -> String {
    let mut text = setting_probes::probe_results(full, &read);
    let four_seeds = json!(["10.0.0.1:1", "10.0.0.1:2", "10.0.0.1:3", "10.0.0.1:4"]);
    let wrong_seeds = json!(["10.0.0.1:1", "nowhere", 3]);
    let several = [
        with(full.clone(), "listen", json!("10.0.0.9:7200")),
        with(full.clone(), "seeds", four_seeds),
        with(full.clone(), "seeds", wrong_seeds),
        json!({"colour": 7}),
        several_of_role,
    ];
    for settings in several {
        let answer = read(&settings).err().unwrap_or_else(|| "taken".to_owned());
        let _ = writeln!(text, "{settings}: {answer}");
    }
    text
}
