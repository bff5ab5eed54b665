//! The response statuses and bodies of the product's own API.

use crate::controller_state::{
    EventEntry, MemberTraceReport, OperationReply, QuorumStatus, TraceReport, VersionTraceReport,
};
use common::http::{HttpResponse, json_response};
use common::identity::{ChangeId, Version, Zone};
use common::readers::PathError;
use common::spec::Document;
use hyper::StatusCode;
use serde_json::{Map, Value, json};
use std::collections::BTreeSet;
use std::time::Duration;

/// Returns a response with a JSON body. A status code that is not valid in HTTP becomes 500.
pub(in crate::drivers) fn json_status_response(status: u16, body: &Value) -> HttpResponse {
    json_response(
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
        body,
    )
}

/// Returns a response with an error.
pub(in crate::drivers) fn error_response(status: u16, error: &str) -> HttpResponse {
    json_status_response(status, &json!({"error": error}))
}

/// Returns a response with an error because of which an operation was not carried out.
pub(in crate::drivers) fn not_accepted_response(status: u16, error: &str) -> HttpResponse {
    json_status_response(status, &json!({"error": error, "state": "not_accepted"}))
}

/// Returns the body with the address at which the leader serves operators.
pub(in crate::drivers) fn redirect_body(leader: &common::frames::SocketAddress) -> Value {
    json!({"leader": leader.to_string()})
}

/// Returns the body that lists the errors in a change.
pub(super) fn invalid_body(errors: &[PathError]) -> Value {
    let error_rows: Vec<Value> = errors
        .iter()
        .map(|error| json!({"path": error.path, "reason": error.reason.to_string()}))
        .collect();
    json!({"error": "invalid", "state": "not_accepted", "faults": error_rows})
}

/// Returns an entry of the event log as JSON.
pub(in crate::drivers) fn event_json(entry: &EventEntry) -> Value {
    match entry {
        EventEntry::Event(numbered) => json!({
            "number": numbered.number,
            "event": numbered.event_record.event.number,
            "name": numbered.event_record.event.name,
            "detail": numbered.event_record.detail.to_json(),
        }),
        EventEntry::Gap { requested, oldest } => json!({
            "number": entry.number(),
            "event": 0,
            "name": "gap",
            "detail": {"asked": requested, "oldest": oldest},
        }),
    }
}

fn with_change(mut body: Value, change: Option<ChangeId>) -> Value {
    if let (Some(change), Some(fields)) = (change, body.as_object_mut()) {
        fields.insert("change_id".to_owned(), json!(change.as_str()));
    }
    body
}

fn with_number(mut body: Value, number: u64) -> Value {
    if let (true, Some(fields)) = (number != 0, body.as_object_mut()) {
        fields.insert("number".to_owned(), json!(number));
    }
    body
}

fn quorum_json(status: &QuorumStatus) -> Value {
    let peer_rows: Vec<Value> = status
        .peers
        .iter()
        .map(|peer| {
            json!({
                "controller": format!("{:x}", peer.id.0),
                "surveyor": format!("{:x}", peer.id.0),
                "place": peer.controller_address.address.to_string(),
                "operators": peer.controller_address.operator_address.to_string(),
                "accepted": peer.accepted.to_string(),
                "voter": peer.is_voter,
                "silent_ms": peer.silent_ms,
            })
        })
        .collect();
    json!({
        "controller": format!("{:x}", status.id.0),
        "surveyor": format!("{:x}", status.id.0),
        "term": status.term.0,
        "leads": status.is_leader,
        "ready": status.is_ready,
        "open": status.is_open,
        "leader": status.leader.map(|operators| operators.to_string()),
        "accepted": status.accepted.map(|accepted| accepted.to_string()),
        "committed": status.committed.to_string(),
        "others": peer_rows,
    })
}

fn milliseconds(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}

fn member_trace_json(report: &MemberTraceReport) -> Value {
    let mut row = Map::new();
    if let Some(progress) = report.progress {
        let (pushed, installed) = (progress.pushed_after, progress.installed_after);
        row.insert("pushed_ms".to_owned(), json!(pushed.map(milliseconds)));
        row.insert(
            "acknowledged_ms".to_owned(),
            json!(installed.map(milliseconds)),
        );
    }
    if let Some(reason) = report.lagging {
        row.insert("lagging".to_owned(), json!(reason));
    }
    Value::Object(row)
}

fn version_trace_json(report: &VersionTraceReport) -> Value {
    let members: Map<String, Value> = report
        .members
        .iter()
        .map(|(member, member_report)| (member.to_string(), member_trace_json(member_report)))
        .collect();
    json!({
        "term": report.term.0,
        "leads_now": report.is_leading_now,
        "from": if report.is_own_change { "accepted here" } else { "taken over" },
        "committed_ms": report.committed_after.map(milliseconds),
        "in_force_ms": report.in_force_after.map(milliseconds),
        "age_ms": milliseconds(report.age),
        "members": members,
    })
}

fn trace_response(report: &TraceReport) -> (u16, Value) {
    let rows: Vec<Value> = report.traces.iter().map(version_trace_json).collect();
    let status = if rows.is_empty() { 404 } else { 200 };
    let body = json!({
        "serial": report.version.map(|version| version.0),
        "controller": format!("{:x}", report.controller.0),
        "surveyor": format!("{:x}", report.controller.0),
        "traces": rows,
    });
    (status, body)
}

fn spec_json(document: &Document, in_force: Version) -> Value {
    let evacuated: Vec<&str> = document.evacuated.iter().map(Zone::as_str).collect();
    json!({
        "serial": document.view_version().0,
        "number": document.number,
        "in_force": in_force.0,
        "spec": document.spec.to_value(),
        "evacuated": evacuated,
    })
}

fn unknown_zone_json(zone: &Zone, known: &BTreeSet<Zone>) -> Value {
    let known_names: Vec<&str> = known.iter().map(Zone::as_str).collect();
    json!({
        "error": "unknown_locality",
        "state": "not_accepted",
        "locality": zone.as_str(),
        "known": known_names,
    })
}

fn last_zone_json() -> Value {
    json!({
        "error": "last_locality",
        "state": "not_accepted",
        "reason": "no locality would be left; set force to do it all the same",
    })
}

fn accepted_json(change: ChangeId, version: Version, number: u64, in_force: bool) -> Value {
    let state = if in_force { "in_force" } else { "accepted" };
    let body = json!({"state": state, "serial": version.0});
    with_number(with_change(body, Some(change)), number)
}

fn stale_json(change: ChangeId, version: Version, number: u64) -> Value {
    let body = json!({
        "error": "stale_base",
        "state": "not_accepted",
        "serial": version.0,
    });
    with_number(with_change(body, Some(change)), number)
}

impl OperationReply {
    /// Converts the reply into the HTTP status and the body of the product's own API.
    pub fn into_native_response(self) -> (u16, Value) {
        match self {
            Self::MetricsUpdated => (200, Value::Null),
            Self::Quorum(status) => (200, quorum_json(&status)),
            Self::Trace(report) => trace_response(&report),
            Self::Events(entries) => (200, entries.iter().map(event_json).collect()),
            Self::LeaderReport(report) => (200, json!(report)),
            Self::Bootstrapping => (202, json!({"state": "founding"})),
            Self::ReplacingVoter { version } => {
                (202, json!({"state": "replacing", "serial": version.0}))
            }
            Self::QuorumChangeRejected(error) => (409, json!({"error": error.to_string()})),
            Self::Spec { document, in_force } => (200, spec_json(&document, in_force)),
            Self::ChangeUnrecorded { change, state } => (
                200,
                json!({"state": state.as_str(), "change_id": change.as_str()}),
            ),
            Self::Accepted {
                change,
                version,
                number,
                in_force,
            } => (200, accepted_json(change, version, number, in_force)),
            Self::Stale {
                change,
                version,
                number,
            } => (409, stale_json(change, version, number)),
            Self::Invalid(errors) => (422, invalid_body(&errors)),
            Self::UnknownZone { zone, known } => (422, unknown_zone_json(&zone, &known)),
            Self::LastZone => (422, last_zone_json()),
            Self::NotAccepted { reason, change } => {
                let body = json!({"error": reason.as_str(), "state": "not_accepted"});
                (503, with_change(body, change))
            }
            Self::Unknown { reason, change } => {
                let body = json!({"error": reason.as_str(), "state": "unknown"});
                (503, with_change(body, change))
            }
            Self::TemporarilyUnavailable(reason) => (503, json!({"error": reason.as_str()})),
            Self::Redirect(leader) => (307, redirect_body(&leader)),
        }
    }
}
