//! The record of a simulation: its event counters, its trace and the digest of its events.
//!
//! All steps of the simulation write to it, and none reads it.

use super::digest::EventDigest;
use super::event_queue::DueEvent;
use common::clock::MonotonicTime;
use std::collections::BTreeMap;

/// The record of a simulation that is in progress.
pub(super) struct RunRecord {
    counts: BTreeMap<String, u64>,
    /// The lines of the trace; none if tracing is off.
    trace_lines: Option<Vec<String>>,
    event_digest: EventDigest,
}

/// The record of a simulation that has ended.
pub(super) struct FinishedRecord {
    /// How often each labelled event happened.
    pub counts: BTreeMap<String, u64>,
    /// The lines of the trace, in order.
    pub trace_lines: Vec<String>,
    /// The digest of the events, in hexadecimal digits.
    pub event_digest: String,
}

impl RunRecord {
    /// Creates an empty record.
    pub(super) fn new(is_tracing: bool) -> Self {
        Self {
            counts: BTreeMap::new(),
            trace_lines: is_tracing.then(Vec::new),
            event_digest: EventDigest::default(),
        }
    }

    /// Counts one event under a label.
    pub(super) fn count_event(&mut self, label: &str) {
        self.count_events(label, 1);
    }

    /// Counts several events under a label.
    pub(super) fn count_events(&mut self, label: &str, count: usize) {
        *self.counts.entry(label.to_owned()).or_default() += count as u64;
    }

    /// Adds a line to the trace. It is only formatted if tracing is on.
    pub(super) fn trace(&mut self, now: MonotonicTime, line: impl FnOnce() -> String) {
        if let Some(trace_lines) = &mut self.trace_lines {
            trace_lines.push(format!("{now} {}", line()));
        }
    }

    /// Adds an event to the digest before it is handled.
    pub(super) fn digest_event(&mut self, due: &DueEvent) {
        self.event_digest.add(due.due_at, due.number, &due.event);
    }

    /// Completes the record.
    pub(super) fn finish(self) -> FinishedRecord {
        FinishedRecord {
            counts: self.counts,
            trace_lines: self.trace_lines.unwrap_or_default(),
            event_digest: self.event_digest.finish(),
        }
    }
}
