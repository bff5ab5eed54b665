//! Renders lists of the operators' API as tables.

use crate::controller_key::{CONTROLLER, EARLIER_CONTROLLER, controller_of};
use serde_json::Value;
use std::fmt::Write;

/// The text of a missing or empty value.
const EMPTY_CELL: &str = "-";
const COLUMN_GAP: &str = "  ";

/// A list of the operators' API, and the keys that its table shows.
pub(crate) struct Table {
    /// The path at which the list is read.
    pub(crate) path: &'static str,
    /// The key of the list in the response.
    rows: &'static str,
    /// The keys of a row, in the order of the columns.
    columns: &'static [&'static str],
}

/// The daemons.
pub(crate) const MEMBERS: Table = Table {
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

/// The function leases and their holders.
pub(crate) const HOLDERS: Table = Table {
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
pub(crate) const WORKERS: Table = Table {
    path: "/v1/workers",
    rows: "workers",
    columns: &["worker", "locality", "memory_mb", "reserved_mb", "draining"],
};

/// The runners.
pub(crate) const RUNNERS: Table = Table {
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

/// The control quorum as one controller sees it, and the other controllers.
pub(crate) const CORE: Table = Table {
    path: "/v1/core",
    rows: "others",
    columns: &[
        CONTROLLER,
        "place",
        "operators",
        "accepted",
        "voter",
        "silent_ms",
    ],
};

fn cell(value: &Value) -> String {
    match value {
        Value::Null => EMPTY_CELL.to_owned(),
        Value::String(text) if text.is_empty() => EMPTY_CELL.to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) if items.is_empty() => EMPTY_CELL.to_owned(),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}

/// Returns a row's value in one column.
fn field<'a>(row: &'a Value, column: &str) -> &'a Value {
    if column == CONTROLLER {
        controller_of(row)
    } else {
        &row[column]
    }
}

impl Table {
    /// Renders the response: first its other keys, one on each line, then the list below its headings.
    pub(crate) fn render(&self, response: &Value) -> String {
        let mut text = String::new();
        for (key, value) in response.as_object().into_iter().flatten() {
            let is_repeated = key == EARLIER_CONTROLLER && !response[CONTROLLER].is_null();
            if key != self.rows && !is_repeated {
                let shown_key = if key == EARLIER_CONTROLLER {
                    CONTROLLER
                } else {
                    key
                };
                let _ = writeln!(text, "{shown_key}: {}", cell(value));
            }
        }
        let headings: Vec<String> = self
            .columns
            .iter()
            .map(|column| column.to_uppercase())
            .collect();
        let rows = response[self.rows].as_array().into_iter().flatten();
        let cells = rows.map(|row| {
            self.columns
                .iter()
                .map(|column| cell(field(row, column)))
                .collect()
        });
        let lines: Vec<Vec<String>> = std::iter::once(headings).chain(cells).collect();
        for line in &lines {
            let _ = writeln!(text, "{}", padded(line, &lines));
        }
        text
    }
}

/// Pads each cell of a line to the width of the widest cell in its column.
fn padded(line: &[String], lines: &[Vec<String>]) -> String {
    let cells = line.iter().enumerate().map(|(column, cell)| {
        let width = lines.iter().map(|line| line[column].chars().count()).max();
        format!("{cell:<width$}", width = width.unwrap_or(0))
    });
    let joined = cells.collect::<Vec<_>>().join(COLUMN_GAP);
    joined.trim_end().to_owned()
}
