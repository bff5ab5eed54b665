//! Probes the readers of the native settings files, of any role, with malformed settings.

#[path = "setting_probes.rs"]
mod setting_probes;

use serde_json::{Value, json};
use std::fmt::Write;

/// Returns the settings with one value replaced.
pub(crate) fn with(mut settings: Value, key: &str, value: Value) -> Value {
    settings[key] = value;
    settings
}

/// Returns the results of reading a full file with each malformed value, and of reading files with several malformed
/// values, the last of which is specific to the role.
pub(crate) fn probe_results(
    full: &Value,
    several_of_role: Value,
    read: impl Fn(&Value) -> Result<(), String>,
) -> String {
    let mut text = setting_probes::probe_results(full, &read);
    let four_seeds = json!(["10.0.0.1:1", "10.0.0.1:2", "10.0.0.1:3", "10.0.0.1:4"]);
    let malformed_seeds = json!(["10.0.0.1:1", "nowhere", 3]);
    let several = [
        with(full.clone(), "listen", json!("10.0.0.9:7200")),
        with(full.clone(), "seeds", four_seeds),
        with(full.clone(), "seeds", malformed_seeds),
        json!({"colour": 7}),
        several_of_role,
    ];
    for settings in several {
        let result = read(&settings).err().unwrap_or_else(|| "taken".to_owned());
        let _ = writeln!(text, "{settings}: {result}");
    }
    text
}
