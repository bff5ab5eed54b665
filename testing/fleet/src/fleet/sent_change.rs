//! The journal entry of a change of the spec, which is written whether or not a response arrives.

use common::clock::MonotonicTime;
use platform_stub::records::Records;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// A change of the spec in flight. If this value is dropped before a response was recorded, the change is recorded as
/// `unknown`, since it may have been accepted: without an entry, the judge would report its effect as a violation.
pub struct SentChange<'a> {
    journal: &'a Records,
    detail: Value,
    is_answered: bool,
}

impl<'a> SentChange<'a> {
    /// Prepares the journal entry of a change that is about to be sent.
    pub fn new(journal: &'a Records, base: u64, change_id: &str, spec: &Value) -> Self {
        let text = |route: &Value, name: &str| route[name].as_str().unwrap_or("").to_owned();
        let routes = spec["routes"].as_object().into_iter().flatten();
        let paths: BTreeMap<String, String> = routes
            .map(|(_, route)| (text(route, "path"), text(route, "function")))
            .collect();
        let detail = json!({
            "change_id": change_id,
            "base": base,
            "sent_at": MonotonicTime::now().0,
            "paths": paths,
        });
        Self {
            journal,
            detail,
            is_answered: false,
        }
    }

    /// Records the status and the body of the response.
    pub fn record_response(mut self, status: u16, reply: &Value) {
        self.write(status, &reply["state"], &reply["serial"]);
        self.is_answered = true;
    }

    fn write(&mut self, status: u16, state: &Value, version: &Value) {
        let mut detail = self.detail.take();
        detail["status"] = json!(status);
        detail["state"] = state.clone();
        detail["serial"] = version.clone();
        self.journal.add("change", detail);
        self.journal.flush();
    }
}

impl Drop for SentChange<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.write(0, &json!("unknown"), &Value::Null);
        }
    }
}
