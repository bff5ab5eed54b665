//! What callers, runners and the platform recorded of a day.

use common::identity::{GrantSerial, RunnerId};
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
    pub door: String,
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
    pub transaction: String,
    /// The number of the send, from one.
    pub attempt: u64,
    /// The grant of the holder that sent it.
    pub grant: GrantSerial,
    /// How many of that holder's ran at once on that runner, this one included.
    pub at_once: u64,
    /// Whether the runner was ready.
    pub ready: bool,
}

/// One runner's life as the platform saw it.
#[derive(Clone, Debug, Default)]
pub struct Life {
    /// The runner.
    pub runner: String,
    /// The grant it was started under.
    pub grant: GrantSerial,
    /// The function, with its generation.
    pub function: String,
    /// The worker.
    pub worker: String,
    /// The worker's zone, as the platform has it.
    pub zone: String,
    /// How many it may run at once.
    pub slots: u64,
    /// How long it boots, in nanoseconds.
    pub boot: u64,
    /// When it was started.
    pub start: u64,
    /// When it was stopped; the largest number if it never was.
    pub stop: u64,
}

/// Something done to the fleet, or told to operators.
#[derive(Clone, Debug)]
pub struct Told {
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
    pub lives: Vec<Life>,
    /// The journal, and the platform's own deeds.
    pub journal: Vec<Told>,
}

fn text(record: &Value, name: &str) -> String {
    record[name].as_str().unwrap_or("").to_owned()
}

fn number(record: &Value, name: &str) -> u64 {
    record[name].as_u64().unwrap_or(0)
}

/// Why a day's folder cannot be judged.
#[derive(Debug)]
pub enum EvidenceFault {
    /// A file could not be read.
    File(PathBuf, std::io::Error),
    /// The folder has no records of this kind.
    Missing(PathBuf),
    /// A line is no JSON object, or is cut short.
    Unreadable(PathBuf, usize),
    /// A line is a record of something else.
    Foreign(PathBuf, usize, &'static str),
}

impl fmt::Display for EvidenceFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(path, fault) => write!(out, "{}: {fault}", path.display()),
            Self::Missing(path) => write!(out, "{}: no such records", path.display()),
            Self::Unreadable(path, line) => {
                write!(out, "{} line {line}: no whole record", path.display())
            }
            Self::Foreign(path, line, field) => {
                write!(out, "{} line {line}: a record without {field:?}", path.display())
            }
        }
    }
}

impl std::error::Error for EvidenceFault {}

/// Reads a file of records; each must be whole and have its fields.
fn read_lines(path: &Path, fields: &[&'static str]) -> Result<Vec<Value>, EvidenceFault> {
    let file_text = std::fs::read_to_string(path).map_err(|fault| match fault.kind() {
        std::io::ErrorKind::NotFound => EvidenceFault::Missing(path.to_owned()),
        _ => EvidenceFault::File(path.to_owned(), fault),
    })?;
    let is_cut = !file_text.is_empty() && !file_text.ends_with('\n');
    let line_count = file_text.lines().count();
    let mut records = Vec::with_capacity(line_count);
    for (place, line) in file_text.lines().enumerate() {
        let number = place + 1;
        let unreadable = || EvidenceFault::Unreadable(path.to_owned(), number);
        let record: Value = serde_json::from_str(line).map_err(|_| unreadable())?;
        if !record.is_object() || (is_cut && number == line_count) {
            return Err(unreadable());
        }
        if let Some(field) = fields.iter().find(|field| record.get(**field).is_none()) {
            return Err(EvidenceFault::Foreign(path.to_owned(), number, field));
        }
        records.push(record);
    }
    Ok(records)
}

impl Evidence {
    /// Reads a day's folder; records that are missing, cut short or foreign are refused.
    pub fn read(folder: &Path) -> Result<Self, EvidenceFault> {
        let at = |fault| EvidenceFault::File(folder.to_owned(), fault);
        let mut caller_records = Vec::new();
        let mut caller_files = 0;
        for listed in std::fs::read_dir(folder).map_err(at)? {
            let path = listed.map_err(at)?.path();
            let file_name =
                path.file_name().and_then(|name| name.to_str()).unwrap_or("").to_owned();
            if file_name.starts_with("callers") && file_name.ends_with(".jsonl") {
                caller_files += 1;
                caller_records.extend(read_lines(&path, &["id", "at", "end", "path", "outcome"])?);
            }
        }
        if caller_files == 0 {
            return Err(EvidenceFault::Missing(folder.join("callers.jsonl")));
        }
        let told_fields = ["kind", "at"];
        let stub_records = read_lines(&folder.join("platform-stub.jsonl"), &told_fields)?;
        let journal_records = read_lines(&folder.join("journal.jsonl"), &told_fields)?;
        Ok(Self::from_records(&caller_records, &stub_records, &journal_records))
    }

    /// Takes records as they are.
    pub fn from_records(callers: &[Value], platform_stub: &[Value], journal: &[Value]) -> Self {
        let mut evidence =
            Self { calls: callers.iter().map(read_call).collect(), ..Self::default() };
        evidence.calls.sort_by_key(|call| call.at);
        let mut open_runs: HashMap<(String, u64), usize> = HashMap::new();
        let mut open_lives: HashMap<String, usize> = HashMap::new();
        for record in platform_stub {
            let runner = text(record, "runner");
            let run_number = number(record, "run");
            match record["kind"].as_str().unwrap_or("") {
                "run_begin" => {
                    open_runs.insert((runner, run_number), evidence.runs.len());
                    evidence.runs.push(read_run(record));
                }
                "run_end" | "run_abort" => {
                    if let Some(place) = open_runs.remove(&(runner, run_number)) {
                        evidence.runs[place].end = number(record, "at");
                    }
                }
                "runner_start" => {
                    open_lives.insert(runner, evidence.lives.len());
                    evidence.lives.push(read_life(record));
                }
                "runner_stop" => {
                    if let Some(place) = open_lives.remove(&runner) {
                        evidence.lives[place].stop = number(record, "at");
                    }
                }
                kind => evidence.journal.push(read_told(kind, record)),
            }
        }
        for record in journal {
            evidence.journal.push(read_told(record["kind"].as_str().unwrap_or(""), record));
        }
        evidence.runs.sort_by_key(|run| run.at);
        evidence.journal.sort_by_key(|told| told.at);
        evidence
    }

    /// The journal's entries of a kind.
    pub fn told<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = &'a Told> {
        self.journal.iter().filter(move |told| told.kind == kind)
    }

    /// The calls by identity.
    pub fn calls_by_id(&self) -> HashMap<&str, &Call> {
        self.calls.iter().map(|call| (call.id.as_str(), call)).collect()
    }

    /// The runners' lives by name.
    pub fn lives_by_runner(&self) -> HashMap<&str, &Life> {
        self.lives.iter().map(|life| (life.runner.as_str(), life)).collect()
    }

    /// The most workers that had a runner at once.
    pub fn most_workers_used(&self) -> usize {
        let mut turns: Vec<(u64, bool, &str)> = Vec::new();
        for life in &self.lives {
            turns.push((life.start, true, &life.worker));
            turns.push((life.stop, false, &life.worker));
        }
        turns.sort_unstable();
        let mut runner_counts: BTreeMap<&str, usize> = BTreeMap::new();
        let mut most_count = 0;
        for (_, is_start, worker) in turns {
            let runner_count = runner_counts.entry(worker).or_default();
            *runner_count =
                if is_start { *runner_count + 1 } else { runner_count.saturating_sub(1) };
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
        door: text(record, "door"),
    }
}

fn read_run(record: &Value) -> Run {
    let runner = text(record, "runner");
    let born_under = runner.parse::<RunnerId>().map(|parsed| parsed.grant).unwrap_or_default();
    Run {
        at: number(record, "at"),
        end: u64::MAX,
        grant: record["grant"].as_u64().map_or(born_under, GrantSerial),
        runner,
        function: text(record, "function"),
        transaction: text(record, "transaction"),
        attempt: number(record, "attempt"),
        at_once: number(record, "at_once"),
        ready: record["ready"].as_bool().unwrap_or(true),
    }
}

fn read_life(record: &Value) -> Life {
    let runner = text(record, "runner");
    let grant = runner.parse::<RunnerId>().map(|parsed| parsed.grant).unwrap_or_default();
    Life {
        grant,
        runner,
        function: text(record, "function"),
        worker: text(record, "worker"),
        zone: text(record, "locality"),
        slots: number(record, "slots"),
        boot: number(record, "boot_ms") * 1_000_000,
        start: number(record, "at"),
        stop: u64::MAX,
    }
}

fn read_told(kind: &str, record: &Value) -> Told {
    Told { kind: kind.to_owned(), at: number(record, "at"), detail: record.clone() }
}
