//! What one run of a synthetic fleet came to, as it is printed and written.

use super::meter::{Role, Tally, Work};
use super::size::SyntheticSize;
use common::clock::Moment;
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;
use std::fmt;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Why a fleet was not run to its end, and at which moment of virtual time.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Halt {
    /// Its real time was up.
    Patience(Moment),
    /// It had taken half of the machine's memory.
    Memory(Moment),
}

impl fmt::Display for Halt {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Patience(at) => write!(out, "real time is up at {at} of virtual time"),
            Self::Memory(at) => write!(out, "half of the memory is used at {at} of virtual time"),
        }
    }
}

/// What one synthetic fleet came to.
pub struct RunRecord {
    /// The fleet's size.
    pub size: SyntheticSize,
    /// Real time taken.
    pub took: Duration,
    /// Why it was not run to its end.
    pub stopped: Option<Halt>,
    /// Functions held at the end, by all daemons together.
    pub held: u64,
    /// Runners alive at the end.
    pub instances: u64,
    /// Daemons that daemons counted as alive, summed over all looks.
    pub alive_seen: u64,
    /// How many looks there were.
    pub alive_looks: u64,
    /// Calls made while it was measured.
    pub called: u64,
    /// Calls answered.
    pub answered: u64,
    /// Calls not run.
    pub not_run: u64,
    /// Calls of which nothing is known.
    pub unknown: u64,
    /// Member grants that ended.
    pub grants_ended: u64,
    /// Bytes of the core's document at first.
    pub document_bytes: u64,
    /// Bytes of the last heartbeat without headers.
    pub heartbeat_bytes: u64,
    /// Bytes of the last list of daemons, with its headers.
    pub hosts_bytes: u64,
    /// The leader's processor time until every daemon had joined, in nanoseconds.
    pub join_nanos: u64,
    /// Bytes on the heap at the end, everything together.
    pub heap_bytes: u64,
    /// Bytes that each daemon freed beside the functions it held.
    pub door_bytes: Vec<u64>,
    /// Bytes that each daemon's held functions freed.
    pub holder_bytes: Vec<u64>,
    /// Bytes that a following controller freed.
    pub following_bytes: u64,
    /// Bytes that the leading controller freed.
    pub leading_bytes: u64,
    /// For each change its time to in force, in milliseconds: the network's, and the leader's own.
    pub in_force: Vec<(f64, f64)>,
    /// Each daemon's time to install a change, in milliseconds.
    pub installs: Vec<f64>,
    /// The sums by role and work.
    pub tallies: BTreeMap<(Role, Work), Tally>,
}

/// Why a record cannot be kept.
#[derive(Debug)]
pub enum RecordFault {
    /// A file or folder.
    File(PathBuf, std::io::Error),
    /// A file is not JSON.
    NotJson(PathBuf, serde_json::Error),
}

impl fmt::Display for RecordFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(path, fault) => write!(out, "{}: {fault}", path.display()),
            Self::NotJson(path, fault) => write!(out, "{}: not JSON: {fault}", path.display()),
        }
    }
}

impl std::error::Error for RecordFault {}

fn rounded(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}

fn mean(values: &[u64]) -> u64 {
    values.iter().sum::<u64>() / values.len().max(1) as u64
}

fn most(values: impl Iterator<Item = f64>) -> f64 {
    rounded(values.fold(0.0, f64::max))
}

impl RunRecord {
    /// Nothing measured yet.
    pub fn new(size: &SyntheticSize) -> Self {
        Self {
            size: *size,
            took: Duration::ZERO,
            stopped: None,
            held: 0,
            instances: 0,
            alive_seen: 0,
            alive_looks: 0,
            called: 0,
            answered: 0,
            not_run: 0,
            unknown: 0,
            grants_ended: 0,
            document_bytes: 0,
            heartbeat_bytes: 0,
            hosts_bytes: 0,
            join_nanos: 0,
            heap_bytes: 0,
            door_bytes: Vec::new(),
            holder_bytes: Vec::new(),
            following_bytes: 0,
            leading_bytes: 0,
            in_force: Vec::new(),
            installs: Vec::new(),
            tallies: BTreeMap::new(),
        }
    }

    /// How many daemons a daemon counts as alive, on average.
    pub fn alive_seen(&self) -> f64 {
        self.alive_seen as f64 / self.alive_looks.max(1) as f64
    }

    fn tally_rows(&self) -> Value {
        let mut rows = Map::new();
        for ((role, work), tally) in &self.tallies {
            let row = json!({
                "steps": tally.steps,
                "sent": tally.sent,
                "sent_bytes": tally.sent_bytes,
                "heard": tally.heard,
                "heard_bytes": tally.heard_bytes,
                "think_us": tally.think_nanos / 1000,
                "wire_us": tally.wire_nanos / 1000,
                "swell_bytes": tally.swell_bytes,
            });
            rows.insert(format!("{role} {work}"), row);
        }
        Value::Object(rows)
    }

    /// The record as JSON.
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
            "took_s": rounded(self.took.as_secs_f64()),
            "stopped": self.stopped.map(|halt| halt.to_string()),
            "held": self.held,
            "instances": self.instances,
            "alive_seen": rounded(self.alive_seen()),
            "called": self.called,
            "answered": self.answered,
            "not_run": self.not_run,
            "unknown": self.unknown,
            "grants_ended": self.grants_ended,
            "document_bytes": self.document_bytes,
            "heartbeat_bytes": self.heartbeat_bytes,
            "hosts_bytes": self.hosts_bytes,
            "join_ms": self.join_nanos / 1_000_000,
            "heap_bytes": self.heap_bytes,
            "door_bytes": mean(&self.door_bytes),
            "holder_bytes": mean(&self.holder_bytes),
            "following_bytes": self.following_bytes,
            "leading_bytes": self.leading_bytes,
            "in_force_ms": in_force,
            "install_ms": most(self.installs.iter().copied()),
            "work": self.tally_rows(),
        })
    }

    /// The name of its file.
    pub fn file_name(&self) -> String {
        let SyntheticSize { daemons, functions, held, runners, calls, seed, .. } = self.size;
        format!("d{daemons}-f{functions}-h{held}-r{runners}-k{calls}-s{seed}.json")
    }

    /// Writes it into a folder, which is made if need be.
    pub fn write(&self, folder: &Path) -> Result<PathBuf, RecordFault> {
        std::fs::create_dir_all(folder)
            .map_err(|fault| RecordFault::File(folder.to_owned(), fault))?;
        let path = folder.join(self.file_name());
        let text = format!("{:#}\n", self.to_value());
        std::fs::write(&path, text).map_err(|fault| RecordFault::File(path.clone(), fault))?;
        Ok(path)
    }
}

impl fmt::Display for RunRecord {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.size.measured.as_secs_f64();
        writeln!(
            out,
            "{} daemons, {} functions ({} held, {} runners), seed {}: {:.0} s, {} MB; {:.1} daemons seen alive; {} of {} calls answered, {} grants ended",
            self.size.daemons,
            self.size.functions,
            self.held,
            self.instances,
            self.size.seed,
            self.took.as_secs_f64(),
            self.heap_bytes >> 20,
            self.alive_seen(),
            self.answered,
            self.called,
            self.grants_ended,
        )?;
        if let Some(stopped) = &self.stopped {
            writeln!(out, "stopped: {stopped}")?;
        }
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
        for ((role, work), tally) in &self.tallies {
            let per_second = |count: u64| count as f64 / seconds;
            writeln!(
                out,
                "{:<22}{:>10.0}{:>10.0}{:>14.0}{:>10.0}{:>14.0}{:>12.0}{:>12.0}{:>10}",
                format!("{role} {work}"),
                per_second(tally.steps),
                per_second(tally.sent),
                per_second(tally.sent_bytes),
                per_second(tally.heard),
                per_second(tally.heard_bytes),
                per_second(tally.think_nanos / 1000),
                per_second(tally.wire_nanos / 1000),
                tally.swell_bytes / 1024,
            )?;
        }
        writeln!(
            out,
            "memory: door {} KB, holder {} KB, following {} KB, leading {} KB",
            mean(&self.door_bytes) / 1024,
            mean(&self.holder_bytes) / 1024,
            self.following_bytes / 1024,
            self.leading_bytes / 1024,
        )?;
        let network_ms = most(self.in_force.iter().map(|(network_ms, _)| *network_ms));
        let leader_ms = most(self.in_force.iter().map(|(_, leader_ms)| *leader_ms));
        let install_ms = most(self.installs.iter().copied());
        writeln!(
            out,
            "in force: {} of {} changes; at most network {network_ms} ms, leader {leader_ms} ms, install {install_ms} ms",
            self.in_force.len(),
            self.size.changes,
        )
    }
}
