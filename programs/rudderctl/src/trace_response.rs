//! The traces of one version of the spec, as one controller sends them.

use crate::controller_key::{CONTROLLER, EARLIER_CONTROLLER};
use crate::lenient_json::{or_default, read_object};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// A controller's response to a request for the traces of a version.
#[derive(Default, Deserialize)]
pub(crate) struct TraceResponse {
    /// The version; `None` if the controller has no trace of it.
    #[serde(default, rename = "serial", deserialize_with = "or_default")]
    pub(crate) version: Option<u64>,
    #[serde(default, deserialize_with = "or_default")]
    controller: Option<String>,
    /// The controller's identity under the key that earlier controllers use.
    #[serde(default, rename = "surveyor", deserialize_with = "or_default")]
    earlier_controller: Option<String>,
    /// A trace for each term in which the controller led the version.
    #[serde(default, deserialize_with = "or_default")]
    traces: Vec<Value>,
}

impl TraceResponse {
    /// Reads a response's body; keys that are missing or of another type have their defaults.
    pub(crate) fn read(body: &Value) -> Self {
        read_object(body)
    }

    /// Returns the traces, each with the controller that recorded it.
    pub(crate) fn into_parts(self) -> impl Iterator<Item = TracePart> {
        let controller = self.controller.or(self.earlier_controller);
        self.traces
            .into_iter()
            .map(move |trace| TracePart::new(trace, controller.as_deref()))
    }
}

/// The trace of a version in one term.
#[derive(Serialize)]
#[serde(transparent)]
pub(crate) struct TracePart {
    /// The trace as received, with the controller's identity added; printed as JSON.
    sent: Value,
    /// The parts of the trace that the table shows.
    #[serde(skip)]
    pub(crate) record: TraceRecord,
}

impl TracePart {
    fn new(trace: Value, controller: Option<&str>) -> Self {
        let mut sent = if trace.is_object() { trace } else { json!({}) };
        sent[CONTROLLER] = json!(controller);
        sent[EARLIER_CONTROLLER] = json!(controller);
        Self {
            record: read_object(&sent),
            sent,
        }
    }
}

/// What a leader recorded about a version in one term. Times are in milliseconds since the leader got the version, and
/// `None` for steps that the version has not reached.
#[derive(Default, Deserialize)]
pub(crate) struct TraceRecord {
    /// The term.
    #[serde(default, deserialize_with = "or_default")]
    pub(crate) term: u64,
    /// The identity of the controller that recorded it.
    #[serde(default, deserialize_with = "or_default")]
    pub(crate) controller: Option<String>,
    /// How the leader got the version.
    #[serde(default, rename = "from", deserialize_with = "or_default")]
    pub(crate) origin: Option<String>,
    /// When a majority of the voters had accepted it.
    #[serde(default, deserialize_with = "or_default")]
    pub(crate) committed_ms: Option<f64>,
    /// When every serving daemon had installed it.
    #[serde(default, deserialize_with = "or_default")]
    pub(crate) in_force_ms: Option<f64>,
    /// The daemons by name.
    #[serde(default, deserialize_with = "or_default")]
    pub(crate) members: BTreeMap<String, MemberRecord>,
}

/// The progress of a version at one daemon. Times are in milliseconds, as in [`TraceRecord`].
#[derive(Default, Deserialize)]
pub(crate) struct MemberRecord {
    /// When it was sent to the daemon.
    #[serde(default, deserialize_with = "or_default")]
    pub(crate) pushed_ms: Option<f64>,
    /// When the daemon had installed it.
    #[serde(default, deserialize_with = "or_default")]
    pub(crate) acknowledged_ms: Option<f64>,
    /// Why the daemon has not installed it.
    #[serde(default, deserialize_with = "or_default")]
    pub(crate) lagging: Option<String>,
}
