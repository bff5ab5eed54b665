//! The trace of one version of the spec from its acceptance to every daemon.

use common::clock::Moment;
use common::frames::Place;
use common::http::call_json;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Why no way can be shown.
#[derive(Debug)]
pub enum TraceFault {
    /// No controller answered.
    Unreachable,
    /// No controller knows the serial.
    Unknown(u64),
}

impl TraceFault {
    /// What the process exits with.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Unknown(_) => 3,
            Self::Unreachable => 4,
        }
    }
}

impl fmt::Display for TraceFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable => write!(out, "no controller reached"),
            Self::Unknown(0) => write!(out, "no controller has led a version yet"),
            Self::Unknown(serial) => write!(out, "no controller knows serial {serial}"),
        }
    }
}

impl std::error::Error for TraceFault {}

/// One version's way, a part for each term in which it was led.
pub struct VersionTrace {
    serial: u64,
    parts: BTreeMap<u64, Value>,
    silent: Vec<Place>,
}

impl VersionTrace {
    /// Asks every controller, and joins what each saw while it led.
    pub async fn read(places: &[Place], asked_serial: u64) -> Result<Self, TraceFault> {
        let mut answers = Vec::new();
        let mut silent = Vec::new();
        for place in places {
            let path = format!("/v1/traces/{asked_serial}");
            let patience = Duration::from_secs(2);
            match call_json(*place, Method::GET, &path, None, patience).await {
                Ok(called) if called.status == StatusCode::OK => answers.push(called.json()),
                Ok(_) => {}
                Err(_) => silent.push(*place),
            }
        }
        if silent.len() == places.len() {
            return Err(TraceFault::Unreachable);
        }
        let newest = answers.iter().filter_map(|answer| answer["serial"].as_u64()).max();
        let serial = newest.ok_or(TraceFault::Unknown(asked_serial))?;
        let mut parts = BTreeMap::new();
        for answer in answers.iter().filter(|answer| answer["serial"].as_u64() == Some(serial)) {
            for trace in answer["traces"].as_array().into_iter().flatten() {
                let mut part = trace.clone();
                part["surveyor"] = answer["surveyor"].clone();
                parts.insert(part["term"].as_u64().unwrap_or(0), part);
            }
        }
        Ok(Self { serial, parts, silent })
    }

    /// The serial traced.
    pub fn serial(&self) -> u64 {
        self.serial
    }

    /// Whether some leader saw it in force everywhere.
    pub fn is_in_force(&self) -> bool {
        self.parts.values().any(|part| part["in_force_ms"].is_number())
    }

    /// The way as JSON.
    pub fn to_value(&self) -> Value {
        let silent: Vec<String> = self.silent.iter().map(Place::to_string).collect();
        let parts: Vec<&Value> = self.parts.values().collect();
        json!({"serial": self.serial, "in_force": self.is_in_force(), "parts": parts, "silent": silent})
    }
}

fn millis(value: &Value) -> String {
    value.as_f64().map_or_else(|| "-".to_owned(), |millis| format!("{millis:.1} ms"))
}

impl fmt::Display for VersionTrace {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let force = if self.is_in_force() { "in force" } else { "not in force" };
        writeln!(out, "serial {}: {force}", self.serial)?;
        for (term, part) in &self.parts {
            writeln!(
                out,
                "term {term}, controller {}, {}: committed {}, in force {}",
                part["surveyor"].as_str().unwrap_or("?"),
                part["from"].as_str().unwrap_or("?"),
                millis(&part["committed_ms"]),
                millis(&part["in_force_ms"]),
            )?;
            writeln!(out, "  {:<24} {:>12} {:>14}  lagging", "daemon", "pushed", "acknowledged")?;
            for (member, row) in part["members"].as_object().into_iter().flatten() {
                writeln!(
                    out,
                    "  {member:<24} {:>12} {:>14}  {}",
                    millis(&row["pushed_ms"]),
                    millis(&row["acknowledged_ms"]),
                    row["lagging"].as_str().unwrap_or("")
                )?;
            }
        }
        for place in &self.silent {
            writeln!(out, "controller at {place} did not answer; what it alone saw is missing")?;
        }
        Ok(())
    }
}

const ASK_AGAIN_AFTER: Duration = Duration::from_millis(100);

/// Reads the trace of a version, the newest if no serial is given; when told to follow, asks again
/// until the version is in force everywhere or the patience (in seconds) has run out.
pub async fn follow(
    places: &[Place],
    serial: Option<u64>,
    follow: bool,
    patience_s: u64,
) -> Result<VersionTrace, TraceFault> {
    let follow_until = Moment::now() + Duration::from_secs(patience_s);
    let mut serial = serial.unwrap_or(0);
    loop {
        let read = VersionTrace::read(places, serial).await;
        let is_late = Moment::now() >= follow_until;
        match read {
            Ok(trace) if !follow || trace.is_in_force() || is_late => return Ok(trace),
            Ok(trace) => serial = trace.serial(),
            Err(fault) if !follow || is_late => return Err(fault),
            Err(_) => {}
        }
        tokio::time::sleep(ASK_AGAIN_AFTER).await;
    }
}
