//! The trace of one version of the spec, from its acceptance by a leader to every daemon.

use crate::trace_response::{TracePart, TraceRecord, TraceResponse};
use common::clock::MonotonicTime;
use common::frames::SocketAddress;
use common::http::call_json;
use hyper::{Method, StatusCode};
use serde::Serialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// The limit on the time of one request to a controller.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause before a followed trace is read again.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Why no trace can be shown.
#[derive(Debug, thiserror::Error)]
pub(crate) enum TraceError {
    /// No controller responded.
    #[error("no controller reached")]
    Unreachable,
    /// The newest version was requested, and no controller has led any yet.
    #[error("no controller has led a version yet")]
    NoVersion,
    /// No controller has a trace of this version.
    #[error("no controller knows serial {0}")]
    UnknownVersion(u64),
}

impl TraceError {
    /// Returns the exit code of the process.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::NoVersion | Self::UnknownVersion(_) => 3,
            Self::Unreachable => 4,
        }
    }
}

/// The trace of one version, with one part for each term in which a leader replicated the version.
pub(crate) struct VersionTrace {
    version: u64,
    /// The parts by term.
    parts: BTreeMap<u64, TracePart>,
    unreachable: Vec<SocketAddress>,
}

/// The JSON form of a [`VersionTrace`].
#[derive(Serialize)]
struct VersionTraceJson<'a> {
    #[serde(rename = "serial")]
    version: u64,
    in_force: bool,
    parts: Vec<&'a TracePart>,
    #[serde(rename = "silent")]
    unreachable: Vec<String>,
}

/// The controllers' responses, and the controllers that did not respond.
struct TraceResponses {
    responses: Vec<TraceResponse>,
    unreachable: Vec<SocketAddress>,
}

/// Reads the traces from every controller. A controller without a trace of the version is omitted.
async fn read_responses(addresses: &[SocketAddress], requested_version: u64) -> TraceResponses {
    let path = format!("/v1/traces/{requested_version}");
    let (mut responses, mut unreachable) = (Vec::new(), Vec::new());
    for address in addresses {
        match call_json(*address, Method::GET, &path, None, REQUEST_TIMEOUT).await {
            Ok(response) if response.status == StatusCode::OK => {
                responses.push(TraceResponse::read(&response.json()));
            }
            Ok(_) => {}
            Err(_) => unreachable.push(*address),
        }
    }
    TraceResponses {
        responses,
        unreachable,
    }
}

/// Returns the parts of a version's trace by term.
fn parts_by_term(responses: Vec<TraceResponse>, version: u64) -> BTreeMap<u64, TracePart> {
    responses
        .into_iter()
        .filter(|response| response.version == Some(version))
        .flat_map(TraceResponse::into_parts)
        .map(|part| (part.record.term, part))
        .collect()
}

impl VersionTrace {
    /// Reads the traces of a version from every controller and merges them; 0 requests the newest version.
    pub(crate) async fn read(
        addresses: &[SocketAddress],
        requested_version: u64,
    ) -> Result<Self, TraceError> {
        let TraceResponses {
            responses,
            unreachable,
        } = read_responses(addresses, requested_version).await;
        if unreachable.len() == addresses.len() {
            return Err(TraceError::Unreachable);
        }
        let versions = responses.iter().filter_map(|response| response.version);
        let version = versions.max().ok_or(match requested_version {
            0 => TraceError::NoVersion,
            unknown => TraceError::UnknownVersion(unknown),
        })?;
        Ok(Self {
            version,
            parts: parts_by_term(responses, version),
            unreachable,
        })
    }

    /// Returns the traced version.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether a leader recorded that the version was in force everywhere.
    pub(crate) fn is_in_force(&self) -> bool {
        self.parts
            .values()
            .any(|part| part.record.in_force_ms.is_some())
    }

    /// Returns the trace as JSON.
    pub(crate) fn to_json(&self) -> Value {
        json!(VersionTraceJson {
            version: self.version,
            in_force: self.is_in_force(),
            parts: self.parts.values().collect(),
            unreachable: self
                .unreachable
                .iter()
                .map(SocketAddress::to_string)
                .collect(),
        })
    }
}

fn millis_text(millis: Option<f64>) -> String {
    millis.map_or_else(|| "-".to_owned(), |millis| format!("{millis:.1} ms"))
}

/// Writes the part of one term: when the version was committed and in force, and a row for each daemon.
fn write_part(out: &mut fmt::Formatter<'_>, record: &TraceRecord) -> fmt::Result {
    writeln!(
        out,
        "term {}, controller {}, {}: committed {}, in force {}",
        record.term,
        record.controller.as_deref().unwrap_or("?"),
        record.origin.as_deref().unwrap_or("?"),
        millis_text(record.committed_ms),
        millis_text(record.in_force_ms),
    )?;
    writeln!(
        out,
        "  {:<24} {:>12} {:>14}  lagging",
        "daemon", "pushed", "acknowledged"
    )?;
    for (member, row) in &record.members {
        writeln!(
            out,
            "  {member:<24} {:>12} {:>14}  {}",
            millis_text(row.pushed_ms),
            millis_text(row.acknowledged_ms),
            row.lagging.as_deref().unwrap_or("")
        )?;
    }
    Ok(())
}

impl fmt::Display for VersionTrace {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let force = if self.is_in_force() {
            "in force"
        } else {
            "not in force"
        };
        writeln!(out, "serial {}: {force}", self.version)?;
        for part in self.parts.values() {
            write_part(out, &part.record)?;
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

/// Reads the trace of a version, by default the newest. With `follow`, it repeats that until the version is in force
/// everywhere or the timeout, in seconds, is over, and returns the last result.
pub(crate) async fn follow(
    addresses: &[SocketAddress],
    version: Option<u64>,
    follow: bool,
    timeout_s: u64,
) -> Result<VersionTrace, TraceError> {
    let follow_until = MonotonicTime::now() + Duration::from_secs(timeout_s);
    let mut version = version.unwrap_or(0);
    loop {
        let read = VersionTrace::read(addresses, version).await;
        let is_over = MonotonicTime::now() >= follow_until;
        match read {
            Ok(trace) if !follow || trace.is_in_force() || is_over => return Ok(trace),
            Ok(trace) => version = trace.version(),
            Err(error) if !follow || is_over => return Err(error),
            Err(_) => {}
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
