//! The trace of one version of the spec, from its acceptance by a leader to every daemon.

use crate::controller_key::{CONTROLLER, EARLIER_CONTROLLER, controller_of};
use common::clock::MonotonicTime;
use common::frames::SocketAddress;
use common::http::call_json;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
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
    /// The exit code of the process.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::NoVersion | Self::UnknownVersion(_) => 3,
            Self::Unreachable => 4,
        }
    }
}

/// The trace of one version, with a part for each term in which a leader replicated it.
pub(crate) struct VersionTrace {
    version: u64,
    /// The parts by their terms, as the controllers sent them.
    parts: BTreeMap<u64, Value>,
    unreachable: Vec<SocketAddress>,
}

/// What the controllers responded, and those that did not.
struct TraceResponses {
    responses: Vec<Value>,
    unreachable: Vec<SocketAddress>,
}

/// Reads the traces of every controller. A controller without a trace of the version is left out.
async fn read_responses(addresses: &[SocketAddress], requested_version: u64) -> TraceResponses {
    let path = format!("/v1/traces/{requested_version}");
    let (mut responses, mut unreachable) = (Vec::new(), Vec::new());
    for address in addresses {
        match call_json(*address, Method::GET, &path, None, REQUEST_TIMEOUT).await {
            Ok(response) if response.status == StatusCode::OK => responses.push(response.json()),
            Ok(_) => {}
            Err(_) => unreachable.push(*address),
        }
    }
    TraceResponses {
        responses,
        unreachable,
    }
}

/// The parts of a version's trace by their terms, each with the controller that recorded it.
fn parts_by_term(responses: &[Value], version: u64) -> BTreeMap<u64, Value> {
    let mut parts = BTreeMap::new();
    let of_version = responses
        .iter()
        .filter(|response| response["serial"].as_u64() == Some(version));
    for response in of_version {
        for trace in response["traces"].as_array().into_iter().flatten() {
            let mut part = trace.clone();
            let controller = controller_of(response);
            part[CONTROLLER] = controller.clone();
            part[EARLIER_CONTROLLER] = controller.clone();
            parts.insert(part["term"].as_u64().unwrap_or(0), part);
        }
    }
    parts
}

impl VersionTrace {
    /// Reads the traces of a version from every controller and joins them; 0 stands for the newest version.
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
        let versions = responses
            .iter()
            .filter_map(|response| response["serial"].as_u64());
        let version = versions.max().ok_or(match requested_version {
            0 => TraceError::NoVersion,
            unknown => TraceError::UnknownVersion(unknown),
        })?;
        Ok(Self {
            version,
            parts: parts_by_term(&responses, version),
            unreachable,
        })
    }

    /// The version that is traced.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Whether some leader recorded that the version was in force everywhere.
    pub(crate) fn is_in_force(&self) -> bool {
        self.parts
            .values()
            .any(|part| part["in_force_ms"].is_number())
    }

    /// The trace as JSON.
    pub(crate) fn to_value(&self) -> Value {
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

/// Writes the part of one term: when the version was committed and in force, and a row for each daemon.
fn write_part(out: &mut fmt::Formatter<'_>, term: u64, part: &Value) -> fmt::Result {
    writeln!(
        out,
        "term {term}, controller {}, {}: committed {}, in force {}",
        controller_of(part).as_str().unwrap_or("?"),
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
        for (term, part) in &self.parts {
            write_part(out, *term, part)?;
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

/// Reads the trace of a version, the newest if none is given. With `follow` it reads again until the version is
/// in force everywhere or the timeout, in seconds, is over; then it returns what it read last.
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
