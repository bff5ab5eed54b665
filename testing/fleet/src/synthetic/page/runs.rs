//! The records of measured runs.

use super::PageError;
use crate::synthetic::record::RecordError;
use serde_json::Value;
use std::path::Path;

/// The kinds of work that make up the leader's processor time without changes.
const LEADER_WORKS: [&str; 4] = [
    "leading renewals",
    "leading idle",
    "leading ticks",
    "leading core",
];

/// The time from the request of a change until it is in force, by part, in milliseconds.
pub(super) struct ChangeTimes {
    /// The longest time on the network.
    pub network_ms: f64,
    /// The longest processor time of the leader.
    pub leader_ms: f64,
    /// The slowest installation at a daemon.
    pub install_ms: f64,
}

impl ChangeTimes {
    /// Returns the sum of the parts.
    pub(crate) fn total_ms(&self) -> f64 {
        self.network_ms + self.leader_ms + self.install_ms
    }
}

/// The record of a run.
pub struct Run(Value);

impl From<Value> for Run {
    fn from(record: Value) -> Self {
        Self(record)
    }
}

impl Run {
    /// Returns a number in the record, or zero if it is missing.
    pub fn number(&self, key: &str) -> f64 {
        self.0[key].as_f64().unwrap_or_default()
    }

    /// Returns the number of daemons.
    pub fn daemons(&self) -> f64 {
        self.number("daemons")
    }

    /// Returns the mean number of held functions per daemon.
    pub fn held_per_daemon(&self) -> f64 {
        self.number("held") / self.daemons()
    }

    /// Returns the seed.
    pub fn seed(&self) -> u64 {
        self.number("seed") as u64
    }

    /// Returns the reason why the run was stopped early, if it was.
    pub fn stopped(&self) -> Option<&str> {
        self.0["stopped"].as_str()
    }

    /// Whether the fleet is large in both daemons and functions.
    fn has_crossed_size(&self) -> bool {
        self.daemons() > 50.0 && self.number("functions") > 200.0
    }

    /// Whether the models are fitted to this run: it is complete, has no calls, and is not of a crossed size. Runs of
    /// crossed sizes are compared with the models instead.
    pub fn is_baseline(&self) -> bool {
        self.stopped().is_none() && self.number("calls") == 0.0 && !self.has_crossed_size()
    }

    /// Whether the run is complete and of a crossed size: large in both daemons and functions.
    pub fn is_crossed(&self) -> bool {
        self.stopped().is_none() && self.has_crossed_size()
    }

    /// Whether the costs of calls are fitted to this run: it is complete, has calls, and is of a size at which daemons
    /// see each other as alive.
    pub fn measures_calls(&self) -> bool {
        self.stopped().is_none() && self.number("calls") > 0.0 && self.daemons() <= 50.0
    }

    /// Returns a counter of a role's kind of work.
    pub fn work(&self, work: &str, key: &str) -> f64 {
        self.0["work"][work][key].as_f64().unwrap_or_default()
    }

    /// Returns a counter of a role's kind of work, per second.
    pub fn rate(&self, work: &str, key: &str) -> f64 {
        self.work(work, key) / self.number("measured_s")
    }

    /// Returns the processor time of a role's kind of work in microseconds per second, including the encoding and decoding
    /// of frames.
    pub fn processor_time(&self, work: &str) -> f64 {
        self.rate(work, "think_us") + self.rate(work, "wire_us")
    }

    /// Returns the mean processor time of one step in microseconds, excluding the encoding and decoding of frames.
    pub fn processor_time_per_step(&self, work: &str) -> Option<f64> {
        let steps = self.work(work, "steps");
        (steps > 0.0).then(|| self.work(work, "think_us") / steps)
    }

    /// Returns the leader's processor time without changes, in microseconds per second.
    pub(super) fn leader_processor_time(&self) -> f64 {
        LEADER_WORKS
            .iter()
            .map(|work| self.processor_time(work))
            .sum()
    }

    /// Returns the heartbeat bytes that a daemon sends and receives per second.
    pub(super) fn heartbeat_bytes(&self) -> f64 {
        (self.rate("door beats", "sent_bytes") + self.rate("door beats", "heard_bytes"))
            / self.daemons()
    }

    /// Returns the time that changes took to come into force, or `None` if none did.
    pub(super) fn change_times(&self) -> Option<ChangeTimes> {
        let rows = self.0["in_force_ms"]
            .as_array()
            .filter(|rows| !rows.is_empty())?;
        let longest = |part: usize| {
            rows.iter()
                .filter_map(|row| row[part].as_f64())
                .fold(0.0, f64::max)
        };
        Some(ChangeTimes {
            network_ms: longest(0),
            leader_ms: longest(1),
            install_ms: self.number("install_ms"),
        })
    }
}

/// Reads all records in a folder, sorted by size and seed. Fails if there are too few for a fit.
pub fn read_runs(folder: &Path) -> Result<Vec<Run>, PageError> {
    let file_error = |error| RecordError::File(folder.to_owned(), error);
    let mut runs = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(file_error)? {
        let path = entry.map_err(file_error)?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "json")
        {
            let text = std::fs::read_to_string(&path)
                .map_err(|error| RecordError::File(path.clone(), error))?;
            let value: Value = serde_json::from_str(&text)
                .map_err(|error| RecordError::NotJson(path.clone(), error))?;
            runs.push(Run::from(value));
        }
    }
    let sizes = [
        "daemons",
        "functions",
        "held_wanted",
        "runners",
        "calls",
        "seed",
    ];
    runs.sort_by_key(|run| sizes.map(|key| run.number(key) as u64));
    let usable_count = runs.iter().filter(|run| run.is_baseline()).count();
    if usable_count < 6 {
        return Err(PageError::TooFewRuns(folder.to_owned(), usable_count));
    }
    Ok(runs)
}
