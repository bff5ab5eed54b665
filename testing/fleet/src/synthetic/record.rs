//! The record of a run of a synthetic fleet, in the forms in which it is printed and written.

use super::meter::{Role, Work, WorkCounters};
use super::size::SyntheticSize;
use common::clock::MonotonicTime;
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;
use std::fmt;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The reason why a run was stopped early, with the virtual time.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StopReason {
    /// The run reached its limit of real time.
    TimeLimit(MonotonicTime),
    /// The run used more than half of the machine's memory.
    MemoryLimit(MonotonicTime),
}

impl fmt::Display for StopReason {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TimeLimit(at) => write!(out, "real time is up at {at} of virtual time"),
            Self::MemoryLimit(at) => {
                write!(out, "half of the memory is used at {at} of virtual time")
            }
        }
    }
}

/// The record of a run.
pub struct RunRecord {
    /// The size of the fleet and of the measurement.
    pub size: SyntheticSize,
    /// The real time that the run took.
    pub real_time: Duration,
    /// The reason why the run was stopped early, if it was.
    pub stopped: Option<StopReason>,
    /// The number of functions held by all daemons at the end.
    pub held: u64,
    /// The number of runners at the end.
    pub instances: u64,
    /// The number of daemons that a daemon counts as alive, summed over all samples.
    pub visible_daemons: u64,
    /// The number of samples.
    pub visibility_samples: u64,
    /// The number of calls during the measurement.
    pub called: u64,
    /// The number of calls that were answered.
    pub answered: u64,
    /// The number of calls that were not run.
    pub not_run: u64,
    /// The number of calls with an unknown outcome.
    pub unknown: u64,
    /// The number of session leases that ended.
    pub leases_ended: u64,
    /// The size of the first document of the control quorum, in bytes.
    pub document_bytes: u64,
    /// The size of the last heartbeat without headers, in bytes.
    pub heartbeat_bytes: u64,
    /// The size of the last list of daemons with headers, in bytes.
    pub hosts_bytes: u64,
    /// The leader's processor time until every daemon had joined, in nanoseconds.
    pub join_nanos: u64,
    /// The size of the heap at the end, in bytes.
    pub heap_bytes: u64,
    /// The memory of each daemon without its held functions, in bytes.
    pub ingress_bytes: Vec<u64>,
    /// The memory of each daemon's held functions, in bytes.
    pub holder_bytes: Vec<u64>,
    /// The memory of a follower, in bytes.
    pub following_bytes: u64,
    /// The memory of the leader, in bytes.
    pub leading_bytes: u64,
    /// For each change that came into force, its time on the network and the leader's processor time, in milliseconds.
    pub in_force: Vec<(f64, f64)>,
    /// The time of each installation of a change at a daemon, in milliseconds.
    pub installs: Vec<f64>,
    /// The counters by role and kind of work.
    pub counters_by_work: BTreeMap<(Role, Work), WorkCounters>,
}

/// An error in reading or writing a record. The messages include those of their causes.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// A file or folder cannot be read or written.
    #[error("{path}: {cause}", path = .0.display(), cause = .1)]
    File(PathBuf, std::io::Error),
    /// A file is not JSON.
    #[error("{path}: not JSON: {cause}", path = .0.display(), cause = .1)]
    NotJson(PathBuf, serde_json::Error),
}

fn rounded(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}

fn mean(values: &[u64]) -> u64 {
    values.iter().sum::<u64>() / values.len().max(1) as u64
}

fn rounded_max(values: impl Iterator<Item = f64>) -> f64 {
    rounded(values.fold(0.0, f64::max))
}

impl RunRecord {
    /// Creates an empty record.
    pub fn new(size: &SyntheticSize) -> Self {
        Self {
            size: *size,
            real_time: Duration::ZERO,
            stopped: None,
            held: 0,
            instances: 0,
            visible_daemons: 0,
            visibility_samples: 0,
            called: 0,
            answered: 0,
            not_run: 0,
            unknown: 0,
            leases_ended: 0,
            document_bytes: 0,
            heartbeat_bytes: 0,
            hosts_bytes: 0,
            join_nanos: 0,
            heap_bytes: 0,
            ingress_bytes: Vec::new(),
            holder_bytes: Vec::new(),
            following_bytes: 0,
            leading_bytes: 0,
            in_force: Vec::new(),
            installs: Vec::new(),
            counters_by_work: BTreeMap::new(),
        }
    }

    /// Returns the mean number of daemons that a daemon counts as alive.
    pub fn visible_daemons(&self) -> f64 {
        self.visible_daemons as f64 / self.visibility_samples.max(1) as f64
    }

    fn counter_rows(&self) -> Value {
        let mut rows = Map::new();
        for ((role, work), counters) in &self.counters_by_work {
            let row = json!({
                "steps": counters.steps,
                "sent": counters.sent,
                "sent_bytes": counters.sent_bytes,
                "heard": counters.received,
                "heard_bytes": counters.received_bytes,
                "think_us": counters.step_nanos / 1000,
                "wire_us": counters.wire_nanos / 1000,
                "swell_bytes": counters.peak_bytes,
            });
            rows.insert(format!("{role} {work}"), row);
        }
        Value::Object(rows)
    }

    /// Returns the record as a JSON object.
    pub fn to_value(&self) -> Value {
        let in_force: Vec<Value> = self
            .in_force
            .iter()
            .map(|(network_ms, leader_ms)| json!([rounded(*network_ms), rounded(*leader_ms)]))
            .collect();
        json!({
            "daemons": self.size.daemons,
            "functions": self.size.functions,
            "held_wanted": self.size.held,
            "runners": self.size.runners,
            "changes": self.size.changes,
            "seed": self.size.seed,
            "calls": self.size.calls,
            "measured_s": self.size.measured.as_secs(),
            "took_s": rounded(self.real_time.as_secs_f64()),
            "stopped": self.stopped.map(|stop_reason| stop_reason.to_string()),
            "held": self.held,
            "instances": self.instances,
            "alive_seen": rounded(self.visible_daemons()),
            "called": self.called,
            "answered": self.answered,
            "not_run": self.not_run,
            "unknown": self.unknown,
            "grants_ended": self.leases_ended,
            "document_bytes": self.document_bytes,
            "heartbeat_bytes": self.heartbeat_bytes,
            "hosts_bytes": self.hosts_bytes,
            "join_ms": self.join_nanos / 1_000_000,
            "heap_bytes": self.heap_bytes,
            "door_bytes": mean(&self.ingress_bytes),
            "holder_bytes": mean(&self.holder_bytes),
            "following_bytes": self.following_bytes,
            "leading_bytes": self.leading_bytes,
            "in_force_ms": in_force,
            "install_ms": rounded_max(self.installs.iter().copied()),
            "work": self.counter_rows(),
        })
    }

    /// Returns the file name of the record.
    pub fn file_name(&self) -> String {
        let SyntheticSize {
            daemons,
            functions,
            held,
            runners,
            calls,
            seed,
            ..
        } = self.size;
        format!("d{daemons}-f{functions}-h{held}-r{runners}-k{calls}-s{seed}.json")
    }

    /// Writes the record to a folder, which is created if it is missing. Returns the path of the file.
    pub fn write(&self, folder: &Path) -> Result<PathBuf, RecordError> {
        std::fs::create_dir_all(folder)
            .map_err(|error| RecordError::File(folder.to_owned(), error))?;
        let path = folder.join(self.file_name());
        let text = format!("{:#}\n", self.to_value());
        std::fs::write(&path, text).map_err(|error| RecordError::File(path.clone(), error))?;
        Ok(path)
    }
}

impl fmt::Display for RunRecord {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_summary(out)?;
        if let Some(stopped) = &self.stopped {
            writeln!(out, "stopped: {stopped}")?;
        }
        self.write_counters(out)?;
        self.write_memory(out)?;
        self.write_changes(out)
    }
}

impl RunRecord {
    fn write_summary(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            out,
            "{} daemons, {} functions ({} held, {} runners), seed {}: {:.0} s, {} MB; {:.1} daemons seen alive; {} of {} calls answered, {} grants ended",
            self.size.daemons,
            self.size.functions,
            self.held,
            self.instances,
            self.size.seed,
            self.real_time.as_secs_f64(),
            self.heap_bytes >> 20,
            self.visible_daemons(),
            self.answered,
            self.called,
            self.leases_ended,
        )
    }

    /// Writes the counters per second, summed over all daemons and controllers, with a row per role and kind of work.
    fn write_counters(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            out,
            "{:<22}{:>10}{:>10}{:>14}{:>10}{:>14}{:>12}{:>12}{:>10}",
            "a second, all",
            "steps",
            "sent",
            "bytes",
            "heard",
            "bytes",
            "think us",
            "wire us",
            "swell KB"
        )?;
        let seconds = self.size.measured.as_secs_f64();
        let per_second = |count: u64| count as f64 / seconds;
        for ((role, work), counters) in &self.counters_by_work {
            writeln!(
                out,
                "{:<22}{:>10.0}{:>10.0}{:>14.0}{:>10.0}{:>14.0}{:>12.0}{:>12.0}{:>10}",
                format!("{role} {work}"),
                per_second(counters.steps),
                per_second(counters.sent),
                per_second(counters.sent_bytes),
                per_second(counters.received),
                per_second(counters.received_bytes),
                per_second(counters.step_nanos / 1000),
                per_second(counters.wire_nanos / 1000),
                counters.peak_bytes / 1024,
            )?;
        }
        Ok(())
    }

    fn write_memory(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            out,
            "memory: door {} KB, holder {} KB, following {} KB, leading {} KB",
            mean(&self.ingress_bytes) / 1024,
            mean(&self.holder_bytes) / 1024,
            self.following_bytes / 1024,
            self.leading_bytes / 1024,
        )
    }

    fn write_changes(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let network_ms = rounded_max(self.in_force.iter().map(|(network_ms, _)| *network_ms));
        let leader_ms = rounded_max(self.in_force.iter().map(|(_, leader_ms)| *leader_ms));
        let install_ms = rounded_max(self.installs.iter().copied());
        writeln!(
            out,
            "in force: {} of {} changes; at most network {network_ms} ms, leader {leader_ms} ms, install {install_ms} ms",
            self.in_force.len(),
            self.size.changes,
        )
    }
}
