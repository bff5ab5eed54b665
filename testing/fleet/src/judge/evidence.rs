//! The evidence of a day: the records of callers, runners and the platform, and the fleet's journal.

use common::identity::{FencingToken, RunnerId};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};
use std::path::{Path, PathBuf};

/// The end time of a run or a runner without a recorded end.
const NO_END: u64 = u64::MAX;
/// Nanoseconds in a millisecond. Durations are recorded in milliseconds.
const MILLISECOND: u64 = 1_000_000;

/// A request as its caller recorded it.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// The idempotency key of the request; a caller's retry has its own key.
    pub id: String,
    /// When it was sent, in nanoseconds of the monotonic clock.
    pub at: u64,
    /// When it ended, in nanoseconds of the monotonic clock.
    pub end: u64,
    /// The requested path.
    pub path: String,
    /// The function that the caller expects to run the request.
    pub function: String,
    /// Whether the request must run at most once.
    pub at_most_once: bool,
    /// The timeout that the caller set, in nanoseconds; `None` if the record lacks it.
    pub timeout: Option<u64>,
    /// Whether it is a caller's retry of an earlier request.
    pub is_retry: bool,
    /// The outcome: `answer`, `not_run`, `unknown`, `lost`, `left` or `no_door`.
    pub outcome: String,
    /// The reason given with the outcome; empty if there was none.
    pub reason: String,
    /// The delay until a retry that the response suggests, in nanoseconds; `None` if the record lacks it.
    pub retry_after: Option<u64>,
    /// Whether the answer's seal is valid for this request.
    pub sealed: bool,
    /// The runner that sent the answer.
    pub runner: String,
    /// The ingress address that the request was sent to.
    pub ingress: String,
}

impl Call {
    /// Whether the caller received a runner's answer.
    pub fn is_answered(&self) -> bool {
        self.outcome == "answer"
    }

    /// Whether the caller was told that the request did not run.
    pub fn is_refused(&self) -> bool {
        self.outcome == "not_run"
    }

    /// Whether the caller closed its connection before the response.
    pub fn has_disconnected(&self) -> bool {
        self.outcome == "left"
    }

    /// Whether the caller cannot tell if the request ran: its outcome was `unknown`, or its connection was lost.
    pub fn is_indeterminate(&self) -> bool {
        matches!(self.outcome.as_str(), "unknown" | "lost")
    }
}

/// An execution of a request as its runner recorded it.
#[derive(Clone, Debug, Default)]
pub struct Run {
    /// When it began, in nanoseconds of the monotonic clock.
    pub at: u64,
    /// When it ended; `u64::MAX` if no end is recorded.
    pub end: u64,
    /// The runner.
    pub runner: String,
    /// The function and its generation, as `name@generation`.
    pub function: String,
    /// The idempotency key of the request.
    pub idempotency_key: String,
    /// The number of the attempt, counted from one.
    pub attempt: u64,
    /// The fencing token of the lease holder that sent it.
    pub fencing_token: FencingToken,
    /// The number of requests of that lease holder that ran on the runner when this run began, including this one.
    pub concurrent_runs: u64,
    /// Whether the runner had finished its startup when the run began.
    pub is_runner_ready: bool,
}

/// The lifetime of a runner as the platform recorded it.
#[derive(Clone, Debug, Default)]
pub struct RunnerInstance {
    /// The runner.
    pub runner: String,
    /// The fencing token of the lease under which it was started.
    pub fencing_token: FencingToken,
    /// The function and its generation, as `name@generation`.
    pub function: String,
    /// The worker that it runs on.
    pub worker: String,
    /// The worker's zone according to the platform.
    pub zone: String,
    /// The number of requests that it may run concurrently.
    pub slots: u64,
    /// The duration of its startup, in nanoseconds.
    pub startup: u64,
    /// When it was started, in nanoseconds of the monotonic clock.
    pub start: u64,
    /// When it was stopped; `u64::MAX` if no stop is recorded.
    pub stop: u64,
}

/// An action on the fleet or the platform, or an operator's change and the response to it.
#[derive(Clone, Debug)]
pub struct JournalEntry {
    /// The kind of the entry, as in the record.
    pub kind: String,
    /// When it was recorded, in nanoseconds of the monotonic clock.
    pub at: u64,
    /// The complete record.
    pub detail: Value,
}

/// The records of a day, which are the only input of the judge.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// The callers' requests, sorted by send time.
    pub calls: Vec<Call>,
    /// The runs on runners, sorted by start time.
    pub runs: Vec<Run>,
    /// The runners, in the order of the platform's records.
    pub instances: Vec<RunnerInstance>,
    /// The fleet's journal and the platform's own actions, sorted by time.
    pub journal: Vec<JournalEntry>,
}

fn text(record: &Value, name: &str) -> String {
    record[name].as_str().unwrap_or("").to_owned()
}

fn number(record: &Value, name: &str) -> u64 {
    record[name].as_u64().unwrap_or(0)
}

/// Returns a duration in nanoseconds that is recorded in milliseconds, or `None` if the record lacks it.
fn duration(record: &Value, name: &str) -> Option<u64> {
    let milliseconds = record[name].as_u64()?;
    Some(milliseconds.saturating_mul(MILLISECOND))
}

/// Why the records in a day's folder cannot be judged. The message of [`EvidenceError::Io`] includes its cause.
#[derive(Debug, thiserror::Error)]
pub enum EvidenceError {
    /// A file or the folder could not be read.
    #[error("{path}: {cause}", path = .0.display(), cause = .1)]
    Io(PathBuf, std::io::Error),
    /// There is no record file with this path.
    #[error("{path}: no such record file", path = .0.display())]
    FileNotFound(PathBuf),
    /// The line with this number is not a JSON object, or is truncated.
    #[error("{path} line {line}: incomplete or invalid record", path = .0.display(), line = .1)]
    InvalidLine(PathBuf, usize),
    /// The line with this number lacks a field that every record of this file must have.
    #[error("{path} line {line}: record lacks the field {field:?}", path = .0.display(), line = .1, field = .2)]
    MissingField(PathBuf, usize, &'static str),
}

/// Reads a file of records, one JSON object per line. Each record must be complete and have the given fields.
fn read_lines(path: &Path, fields: &[&'static str]) -> Result<Vec<Value>, EvidenceError> {
    let file_text = std::fs::read_to_string(path).map_err(|error| match error.kind() {
        std::io::ErrorKind::NotFound => EvidenceError::FileNotFound(path.to_owned()),
        _ => EvidenceError::Io(path.to_owned(), error),
    })?;
    let is_truncated = !file_text.is_empty() && !file_text.ends_with('\n');
    let line_count = file_text.lines().count();
    let mut records = Vec::with_capacity(line_count);
    for (index, line) in file_text.lines().enumerate() {
        let number = index + 1;
        let invalid_line = || EvidenceError::InvalidLine(path.to_owned(), number);
        let record: Value = serde_json::from_str(line).map_err(|_| invalid_line())?;
        if !record.is_object() || (is_truncated && number == line_count) {
            return Err(invalid_line());
        }
        if let Some(field) = fields.iter().find(|field| record.get(**field).is_none()) {
            return Err(EvidenceError::MissingField(path.to_owned(), number, field));
        }
        records.push(record);
    }
    Ok(records)
}

/// Reads the records of all callers in a folder: those of the day's load, of bursts and of probes.
fn read_caller_records(folder: &Path) -> Result<Vec<Value>, EvidenceError> {
    let at = |error| EvidenceError::Io(folder.to_owned(), error);
    let mut records = Vec::new();
    let mut file_count = 0;
    for listed in std::fs::read_dir(folder).map_err(at)? {
        let path = listed.map_err(at)?.path();
        let file_name = path
            .file_name()
            .and_then(|name| name.to_str())
            .unwrap_or("");
        if file_name.starts_with("callers") && file_name.ends_with(".jsonl") {
            file_count += 1;
            records.extend(read_lines(&path, &["id", "at", "end", "path", "outcome"])?);
        }
    }
    if file_count == 0 {
        return Err(EvidenceError::FileNotFound(folder.join("callers.jsonl")));
    }
    Ok(records)
}

/// Matches the starts and ends of runs and runners in the platform's records.
#[derive(Default)]
struct PlatformRecordReader {
    runs: Vec<Run>,
    instances: Vec<RunnerInstance>,
    journal: Vec<JournalEntry>,
    /// The indices in `runs` of runs without an end so far, by runner and run number.
    open_runs: HashMap<(String, u64), usize>,
    /// The indices in `instances` of runners without an end so far, by runner.
    open_instances: HashMap<String, usize>,
}

impl PlatformRecordReader {
    fn add(&mut self, record: &Value) {
        let runner = text(record, "runner");
        let run_number = number(record, "run");
        match record["kind"].as_str().unwrap_or("") {
            "run_begin" => {
                self.open_runs.insert((runner, run_number), self.runs.len());
                self.runs.push(read_run(record));
            }
            "run_end" | "run_abort" => {
                if let Some(index) = self.open_runs.remove(&(runner, run_number)) {
                    self.runs[index].end = number(record, "at");
                }
            }
            "runner_start" => {
                self.open_instances.insert(runner, self.instances.len());
                self.instances.push(read_instance(record));
            }
            "runner_stop" => {
                if let Some(index) = self.open_instances.remove(&runner) {
                    self.instances[index].stop = number(record, "at");
                }
            }
            kind => self.journal.push(read_entry(kind, record)),
        }
    }
}

impl Evidence {
    /// Reads the record files of a day's folder.
    ///
    /// # Errors
    /// Fails if a file is missing or cannot be read, or has a record that is truncated or lacks a field.
    pub fn read(folder: &Path) -> Result<Self, EvidenceError> {
        let caller_records = read_caller_records(folder)?;
        let entry_fields = ["kind", "at"];
        let stub_records = read_lines(&folder.join("platform-stub.jsonl"), &entry_fields)?;
        let journal_records = read_lines(&folder.join("journal.jsonl"), &entry_fields)?;
        Ok(Self::from_records(
            &caller_records,
            &stub_records,
            &journal_records,
        ))
    }

    /// Converts parsed records to evidence. Missing fields count as empty, zero or their default.
    pub fn from_records(callers: &[Value], platform_stub: &[Value], journal: &[Value]) -> Self {
        let mut reader = PlatformRecordReader::default();
        for record in platform_stub {
            reader.add(record);
        }
        let mut evidence = Self {
            calls: callers.iter().map(read_call).collect(),
            runs: reader.runs,
            instances: reader.instances,
            journal: reader.journal,
        };
        evidence.journal.extend(
            journal
                .iter()
                .map(|record| read_entry(record["kind"].as_str().unwrap_or(""), record)),
        );
        evidence.calls.sort_by_key(|call| call.at);
        evidence.runs.sort_by_key(|run| run.at);
        evidence.journal.sort_by_key(|entry| entry.at);
        evidence
    }

    /// Returns the journal's entries of one kind, sorted by time.
    pub fn entries_of<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = &'a JournalEntry> {
        self.journal.iter().filter(move |entry| entry.kind == kind)
    }

    /// Returns the calls by idempotency key.
    pub fn calls_by_id(&self) -> HashMap<&str, &Call> {
        self.calls
            .iter()
            .map(|call| (call.id.as_str(), call))
            .collect()
    }

    /// Returns the runner instances by name.
    pub fn instances_by_runner(&self) -> HashMap<&str, &RunnerInstance> {
        self.instances
            .iter()
            .map(|instance| (instance.runner.as_str(), instance))
            .collect()
    }

    /// Returns the largest number of workers that had runners at the same time.
    pub fn max_workers_used(&self) -> usize {
        let mut changes: Vec<(u64, bool, &str)> = Vec::new();
        for instance in &self.instances {
            changes.push((instance.start, true, &instance.worker));
            changes.push((instance.stop, false, &instance.worker));
        }
        changes.sort_unstable();
        let mut runner_counts: BTreeMap<&str, usize> = BTreeMap::new();
        let mut most_count = 0;
        for (_, is_start, worker) in changes {
            let runner_count = runner_counts.entry(worker).or_default();
            *runner_count = if is_start {
                *runner_count + 1
            } else {
                runner_count.saturating_sub(1)
            };
            let used_count = runner_counts.values().filter(|count| **count > 0).count();
            most_count = most_count.max(used_count);
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
        at_most_once: record["once"].as_bool().unwrap_or(false),
        timeout: duration(record, "budget_ms"),
        is_retry: record["repeat_of"].is_string(),
        outcome: text(record, "outcome"),
        reason: text(record, "reason"),
        retry_after: duration(record, "retry_after_ms"),
        sealed: record["sealed"].as_bool().unwrap_or(false),
        runner: text(record, "runner"),
        ingress: text(record, "door"),
    }
}

/// Returns the fencing token in a runner's name, which is the token of the lease under which the runner was started.
fn starting_token(runner: &str) -> FencingToken {
    runner
        .parse::<RunnerId>()
        .map(|parsed| parsed.fencing_token)
        .unwrap_or_default()
}

fn read_run(record: &Value) -> Run {
    let runner = text(record, "runner");
    Run {
        at: number(record, "at"),
        end: NO_END,
        fencing_token: record["grant"]
            .as_u64()
            .map_or_else(|| starting_token(&runner), FencingToken),
        runner,
        function: text(record, "function"),
        idempotency_key: text(record, "transaction"),
        attempt: number(record, "attempt"),
        concurrent_runs: number(record, "at_once"),
        is_runner_ready: record["ready"].as_bool().unwrap_or(true),
    }
}

fn read_instance(record: &Value) -> RunnerInstance {
    let runner = text(record, "runner");
    RunnerInstance {
        fencing_token: starting_token(&runner),
        runner,
        function: text(record, "function"),
        worker: text(record, "worker"),
        zone: text(record, "locality"),
        slots: number(record, "slots"),
        startup: number(record, "boot_ms") * MILLISECOND,
        start: number(record, "at"),
        stop: NO_END,
    }
}

fn read_entry(kind: &str, record: &Value) -> JournalEntry {
    JournalEntry {
        kind: kind.to_owned(),
        at: number(record, "at"),
        detail: record.clone(),
    }
}
