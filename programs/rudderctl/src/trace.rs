//! The trace of one version of the spec from its acceptance to every daemon.

use common::clock::MonotonicTime;
use common::frames::SocketAddress;
use common::http::call_json;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Why no way can be shown.
#[derive(Debug)]
pub enum TraceError {
    /// No controller answered.
    Unreachable,
    /// No controller knows the serial.
    Unknown(u64),
}

impl TraceError {
    /// What the process exits with.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Unknown(_) => 3,
            Self::Unreachable => 4,
        }
    }
}

impl fmt::Display for TraceError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable => write!(out, "no controller reached"),
            Self::Unknown(0) => write!(out, "no controller has led a version yet"),
            Self::Unknown(version) => write!(out, "no controller knows serial {version}"),
        }
    }
}

impl std::error::Error for TraceError {}

/// One version's way, a part for each term in which it was led.
pub struct VersionTrace {
    version: u64,
    parts: BTreeMap<u64, Value>,
    unreachable: Vec<SocketAddress>,
}

impl VersionTrace {
    /// Asks every controller, and joins what each saw while it led.
    pub async fn read(
        addresses: &[SocketAddress],
        requested_version: u64,
    ) -> Result<Self, TraceError> {
        let mut answers = Vec::new();
        let mut unreachable = Vec::new();
        for address in addresses {
            let path = format!("/v1/traces/{requested_version}");
            let timeout = Duration::from_secs(2);
            match call_json(*address, Method::GET, &path, None, timeout).await {
                Ok(response) if response.status == StatusCode::OK => answers.push(response.json()),
                Ok(_) => {}
                Err(_) => unreachable.push(*address),
            }
        }
        if unreachable.len() == addresses.len() {
            return Err(TraceError::Unreachable);
        }
        let newest = answers
            .iter()
            .filter_map(|answer| answer["serial"].as_u64())
            .max();
        let version = newest.ok_or(TraceError::Unknown(requested_version))?;
        let mut parts = BTreeMap::new();
        for answer in answers
            .iter()
            .filter(|answer| answer["serial"].as_u64() == Some(version))
        {
            for trace in answer["traces"].as_array().into_iter().flatten() {
                let mut part = trace.clone();
                part["surveyor"] = answer["surveyor"].clone();
                parts.insert(part["term"].as_u64().unwrap_or(0), part);
            }
        }
        Ok(Self {
            version,
            parts,
            unreachable,
        })
    }

    /// The serial traced.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether some leader saw it in force everywhere.
    pub fn is_in_force(&self) -> bool {
        self.parts
            .values()
            .any(|part| part["in_force_ms"].is_number())
    }

    /// The way as JSON.
    pub fn to_value(&self) -> Value {
        let unreachable: Vec<String> = self
            .unreachable
            .iter()
            .map(SocketAddress::to_string)
            .collect();
        let parts: Vec<&Value> = self.parts.values().collect();
        json!({"serial": self.version, "in_force": self.is_in_force(), "parts": parts, "silent": unreachable})
    }
}

fn millis(value: &Value) -> String {
    value
        .as_f64()
        .map_or_else(|| "-".to_owned(), |millis| format!("{millis:.1} ms"))
}

impl fmt::Display for VersionTrace {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let force = if self.is_in_force() {
            "in force"
        } else {
            "not in force"
        };
        writeln!(out, "serial {}: {force}", self.version)?;
        for (term, part) in &self.parts {
            writeln!(
                out,
                "term {term}, controller {}, {}: committed {}, in force {}",
                part["surveyor"].as_str().unwrap_or("?"),
                part["from"].as_str().unwrap_or("?"),
                millis(&part["committed_ms"]),
                millis(&part["in_force_ms"]),
            )?;
            writeln!(
                out,
                "  {:<24} {:>12} {:>14}  lagging",
                "daemon", "pushed", "acknowledged"
            )?;
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
        for address in &self.unreachable {
            writeln!(
                out,
                "controller at {address} did not answer; what it alone saw is missing"
            )?;
        }
        Ok(())
    }
}

const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Reads the trace of a version, the newest if no serial is given; when told to follow, asks again
/// until the version is in force everywhere or the patience (in seconds) has run out.
pub async fn follow(
    addresses: &[SocketAddress],
    version: Option<u64>,
    follow: bool,
    timeout_s: u64,
) -> Result<VersionTrace, TraceError> {
    let follow_until = MonotonicTime::now() + Duration::from_secs(timeout_s);
    let mut version = version.unwrap_or(0);
    loop {
        let read = VersionTrace::read(addresses, version).await;
        let is_late = MonotonicTime::now() >= follow_until;
        match read {
            Ok(trace) if !follow || trace.is_in_force() || is_late => return Ok(trace),
            Ok(trace) => version = trace.version(),
            Err(error) if !follow || is_late => return Err(error),
            Err(_) => {}
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
