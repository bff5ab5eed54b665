//! Lists of the operators' API as tables for people.

use serde_json::Value;
use std::fmt::Write;

/// What stands where an answer has no value.
const NONE: &str = "-";
const COLUMN_GAP: &str = "  ";

/// A list of the operators' API, and which of its keys are shown.
pub struct Table {
    /// Where it is read.
    pub path: &'static str,
    /// The key of the list in the answer.
    rows: &'static str,
    /// The keys of a row, in their order.
    columns: &'static [&'static str],
}

/// The daemons.
pub const MEMBERS: Table = Table {
    path: "/v1/members",
    rows: "members",
    columns: &[
        "member",
        "locality",
        "place",
        "door",
        "connected",
        "eligible",
        "granted",
        "grant_left_ms",
        "installed",
    ],
};

/// The functions held.
pub const HOLDERS: Table = Table {
    path: "/v1/holders",
    rows: "holders",
    columns: &[
        "function",
        "member",
        "grant",
        "fencing",
        "handing_over",
        "runners",
    ],
};

/// The workers.
pub const WORKERS: Table = Table {
    path: "/v1/workers",
    rows: "workers",
    columns: &["worker", "locality", "memory_mb", "reserved_mb", "draining"],
};

/// The runners.
pub const RUNNERS: Table = Table {
    path: "/v1/runners",
    rows: "runners",
    columns: &[
        "runner",
        "function",
        "worker",
        "memory_mb",
        "ready",
        "draining",
        "left",
        "life",
    ],
};

/// The core as one controller sees it, and the other controllers.
pub const CORE: Table = Table {
    path: "/v1/core",
    rows: "others",
    columns: &[
        "surveyor",
        "place",
        "operators",
        "accepted",
        "voter",
        "silent_ms",
    ],
};

fn cell(value: &Value) -> String {
    match value {
        Value::Null => NONE.to_owned(),
        Value::String(text) if text.is_empty() => NONE.to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) if items.is_empty() => NONE.to_owned(),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}

impl Table {
    /// The answer as text: what stands beside the list, a line each, then the list under its heads.
    pub fn render(&self, answer: &Value) -> String {
        let mut text = String::new();
        for (key, value) in answer.as_object().into_iter().flatten() {
            if key != self.rows {
                let _ = writeln!(text, "{key}: {}", cell(value));
            }
        }
        let heads: Vec<String> = self
            .columns
            .iter()
            .map(|column| column.to_uppercase())
            .collect();
        let rows = answer[self.rows].as_array().into_iter().flatten();
        let cells = rows.map(|row| {
            self.columns
                .iter()
                .map(|column| cell(&row[*column]))
                .collect()
        });
        let lines: Vec<Vec<String>> = std::iter::once(heads).chain(cells).collect();
        for line in &lines {
            let padded = line.iter().enumerate().map(|(column, cell)| {
                let width = lines.iter().map(|line| line[column].chars().count()).max();
                format!("{cell:<width$}", width = width.unwrap_or(0))
            });
            let joined = padded.collect::<Vec<_>>().join(COLUMN_GAP);
            let _ = writeln!(text, "{}", joined.trim_end());
        }
        text
    }
}
