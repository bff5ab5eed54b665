//! What callers, runners and the platform recorded of a day.

use common::identity::{FencingToken, RunnerId};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::path::{Path, PathBuf};

/// One transaction as its caller saw it.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// The try's identity.
    pub id: String,
    /// When it was sent, in nanoseconds.
    pub at: u64,
    /// When it ended.
    pub end: u64,
    /// The path.
    pub path: String,
    /// The function it should reach.
    pub function: String,
    /// Whether it may run only once.
    pub once: bool,
    /// Whether it was marked a repeat.
    pub repeat: bool,
    /// How it ended: answer, not_run, unknown, lost or no_door.
    pub outcome: String,
    /// The reason given.
    pub reason: String,
    /// Whether the answer was sealed and its own.
    pub sealed: bool,
    /// The runner that answered.
    pub runner: String,
    /// The door it went through.
    pub ingress: String,
}

/// One run as its runner saw it.
#[derive(Clone, Debug, Default)]
pub struct Run {
    /// When it began.
    pub at: u64,
    /// When it ended; the largest number if it never did.
    pub end: u64,
    /// The runner.
    pub runner: String,
    /// The function, with its generation.
    pub function: String,
    /// The try's identity.
    pub idempotency_key: String,
    /// The number of the send, from one.
    pub attempt: u64,
    /// The grant of the holder that sent it.
    pub fencing_token: FencingToken,
    /// How many of that holder's ran at once on that runner, this one included.
    pub at_once: u64,
    /// Whether the runner was ready.
    pub ready: bool,
}

/// One runner's life as the platform saw it.
#[derive(Clone, Debug, Default)]
pub struct RunnerInstance {
    /// The runner.
    pub runner: String,
    /// The grant it was started under.
    pub fencing_token: FencingToken,
    /// The function, with its generation.
    pub function: String,
    /// The worker.
    pub worker: String,
    /// The worker's zone, as the platform has it.
    pub zone: String,
    /// How many it may run at once.
    pub slots: u64,
    /// How long it boots, in nanoseconds.
    pub startup: u64,
    /// When it was started.
    pub start: u64,
    /// When it was stopped; the largest number if it never was.
    pub stop: u64,
}

/// Something done to the fleet, or told to operators.
#[derive(Clone, Debug)]
pub struct JournalEntry {
    /// The kind.
    pub kind: String,
    /// When.
    pub at: u64,
    /// The particulars.
    pub detail: Value,
}

/// All that the judge decides from.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// The callers' transactions.
    pub calls: Vec<Call>,
    /// The runs.
    pub runs: Vec<Run>,
    /// The runners' lives.
    pub instances: Vec<RunnerInstance>,
    /// The journal, and the platform's own deeds.
    pub journal: Vec<JournalEntry>,
}

fn text(record: &Value, name: &str) -> String {
    record[name].as_str().unwrap_or("").to_owned()
}

fn number(record: &Value, name: &str) -> u64 {
    record[name].as_u64().unwrap_or(0)
}

/// Why a day's folder cannot be judged.
#[derive(Debug)]
pub enum EvidenceError {
    /// A file could not be read.
    File(PathBuf, std::io::Error),
    /// The folder has no records of this kind.
    Missing(PathBuf),
    /// A line is no JSON object, or is cut short.
    Unreadable(PathBuf, usize),
    /// A line is a record of something else.
    Foreign(PathBuf, usize, &'static str),
}

impl fmt::Display for EvidenceError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(path, error) => write!(out, "{}: {error}", path.display()),
            Self::Missing(path) => write!(out, "{}: no such records", path.display()),
            Self::Unreadable(path, line) => {
                write!(out, "{} line {line}: no whole record", path.display())
            }
            Self::Foreign(path, line, field) => {
                write!(
                    out,
                    "{} line {line}: a record without {field:?}",
                    path.display()
                )
            }
        }
    }
}

impl std::error::Error for EvidenceError {}

/// Reads a file of records; each must be whole and have its fields.
fn read_lines(path: &Path, fields: &[&'static str]) -> Result<Vec<Value>, EvidenceError> {
    let file_text = std::fs::read_to_string(path).map_err(|error| match error.kind() {
        std::io::ErrorKind::NotFound => EvidenceError::Missing(path.to_owned()),
        _ => EvidenceError::File(path.to_owned(), error),
    })?;
    let is_truncated = !file_text.is_empty() && !file_text.ends_with('\n');
    let line_count = file_text.lines().count();
    let mut records = Vec::with_capacity(line_count);
    for (index, line) in file_text.lines().enumerate() {
        let number = index + 1;
        let unreadable = || EvidenceError::Unreadable(path.to_owned(), number);
        let record: Value = serde_json::from_str(line).map_err(|_| unreadable())?;
        if !record.is_object() || (is_truncated && number == line_count) {
            return Err(unreadable());
        }
        if let Some(field) = fields.iter().find(|field| record.get(**field).is_none()) {
            return Err(EvidenceError::Foreign(path.to_owned(), number, field));
        }
        records.push(record);
    }
    Ok(records)
}

impl Evidence {
    /// Reads a day's folder; records that are missing, cut short or foreign are refused.
    pub fn read(folder: &Path) -> Result<Self, EvidenceError> {
        let at = |error| EvidenceError::File(folder.to_owned(), error);
        let mut caller_records = Vec::new();
        let mut caller_files = 0;
        for listed in std::fs::read_dir(folder).map_err(at)? {
            let path = listed.map_err(at)?.path();
            let file_name = path
                .file_name()
                .and_then(|name| name.to_str())
                .unwrap_or("")
                .to_owned();
            if file_name.starts_with("callers") && file_name.ends_with(".jsonl") {
                caller_files += 1;
                caller_records.extend(read_lines(&path, &["id", "at", "end", "path", "outcome"])?);
            }
        }
        if caller_files == 0 {
            return Err(EvidenceError::Missing(folder.join("callers.jsonl")));
        }
        let entry_fields = ["kind", "at"];
        let stub_records = read_lines(&folder.join("platform-stub.jsonl"), &entry_fields)?;
        let journal_records = read_lines(&folder.join("journal.jsonl"), &entry_fields)?;
        Ok(Self::from_records(
            &caller_records,
            &stub_records,
            &journal_records,
        ))
    }

    /// Takes records as they are.
    pub fn from_records(callers: &[Value], platform_stub: &[Value], journal: &[Value]) -> Self {
        let mut evidence = Self {
            calls: callers.iter().map(read_call).collect(),
            ..Self::default()
        };
        evidence.calls.sort_by_key(|call| call.at);
        let mut open_runs: HashMap<(String, u64), usize> = HashMap::new();
        let mut open_instances: HashMap<String, usize> = HashMap::new();
        for record in platform_stub {
            let runner = text(record, "runner");
            let run_number = number(record, "run");
            match record["kind"].as_str().unwrap_or("") {
                "run_begin" => {
                    open_runs.insert((runner, run_number), evidence.runs.len());
                    evidence.runs.push(read_run(record));
                }
                "run_end" | "run_abort" => {
                    if let Some(index) = open_runs.remove(&(runner, run_number)) {
                        evidence.runs[index].end = number(record, "at");
                    }
                }
                "runner_start" => {
                    open_instances.insert(runner, evidence.instances.len());
                    evidence.instances.push(read_instance(record));
                }
                "runner_stop" => {
                    if let Some(index) = open_instances.remove(&runner) {
                        evidence.instances[index].stop = number(record, "at");
                    }
                }
                kind => evidence.journal.push(read_entry(kind, record)),
            }
        }
        for record in journal {
            evidence
                .journal
                .push(read_entry(record["kind"].as_str().unwrap_or(""), record));
        }
        evidence.runs.sort_by_key(|run| run.at);
        evidence.journal.sort_by_key(|recorded| recorded.at);
        evidence
    }

    /// The journal's entries of a kind.
    pub fn recorded<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = &'a JournalEntry> {
        self.journal
            .iter()
            .filter(move |recorded| recorded.kind == kind)
    }

    /// The calls by identity.
    pub fn calls_by_id(&self) -> HashMap<&str, &Call> {
        self.calls
            .iter()
            .map(|call| (call.id.as_str(), call))
            .collect()
    }

    /// The runners' lives by name.
    pub fn instances_by_runner(&self) -> HashMap<&str, &RunnerInstance> {
        self.instances
            .iter()
            .map(|instance| (instance.runner.as_str(), instance))
            .collect()
    }

    /// The most workers that had a runner at once.
    pub fn most_workers_used(&self) -> usize {
        let mut turns: Vec<(u64, bool, &str)> = Vec::new();
        for instance in &self.instances {
            turns.push((instance.start, true, &instance.worker));
            turns.push((instance.stop, false, &instance.worker));
        }
        turns.sort_unstable();
        let mut runner_counts: BTreeMap<&str, usize> = BTreeMap::new();
        let mut most_count = 0;
        for (_, is_start, worker) in turns {
            let runner_count = runner_counts.entry(worker).or_default();
            *runner_count = if is_start {
                *runner_count + 1
            } else {
                runner_count.saturating_sub(1)
            };
            let used: BTreeSet<&str> = runner_counts
                .iter()
                .filter(|(_, count)| **count > 0)
                .map(|(name, _)| *name)
                .collect();
            most_count = most_count.max(used.len());
        }
        most_count
    }
}

fn read_call(record: &Value) -> Call {
    Call {
        id: text(record, "id"),
        at: number(record, "at"),
        end: number(record, "end"),
        path: text(record, "path"),
        function: text(record, "function"),
        once: record["once"].as_bool().unwrap_or(false),
        repeat: record["repeat_of"].is_string(),
        outcome: text(record, "outcome"),
        reason: text(record, "reason"),
        sealed: record["sealed"].as_bool().unwrap_or(false),
        runner: text(record, "runner"),
        ingress: text(record, "door"),
    }
}

fn read_run(record: &Value) -> Run {
    let runner = text(record, "runner");
    let born_under = runner
        .parse::<RunnerId>()
        .map(|parsed| parsed.fencing_token)
        .unwrap_or_default();
    Run {
        at: number(record, "at"),
        end: u64::MAX,
        fencing_token: record["grant"].as_u64().map_or(born_under, FencingToken),
        runner,
        function: text(record, "function"),
        idempotency_key: text(record, "transaction"),
        attempt: number(record, "attempt"),
        at_once: number(record, "at_once"),
        ready: record["ready"].as_bool().unwrap_or(true),
    }
}

fn read_instance(record: &Value) -> RunnerInstance {
    let runner = text(record, "runner");
    let fencing_token = runner
        .parse::<RunnerId>()
        .map(|parsed| parsed.fencing_token)
        .unwrap_or_default();
    RunnerInstance {
        fencing_token,
        runner,
        function: text(record, "function"),
        worker: text(record, "worker"),
        zone: text(record, "locality"),
        slots: number(record, "slots"),
        startup: number(record, "boot_ms") * 1_000_000,
        start: number(record, "at"),
        stop: u64::MAX,
    }
}

fn read_entry(kind: &str, record: &Value) -> JournalEntry {
    JournalEntry {
        kind: kind.to_owned(),
        at: number(record, "at"),
        detail: record.clone(),
    }
}
