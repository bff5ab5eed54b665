//! The product's own API for operators: how each path and body is parsed, and the bytes of every response.

#[path = "../../../testing/support/change_kinds.rs"]
mod change_kinds;
#[path = "../../../testing/support/forms.rs"]
mod forms;
#[path = "../../../testing/support/operator_requests.rs"]
mod operator_requests;
#[path = "../../../testing/support/wire.rs"]
mod wire;

use common::events;
use common::frames::SocketAddress;
use common::identity::{ChangeId, ControllerId, DocumentVersion, MemberName, Term, Version, Zone};
use common::readers::{PathError, PathErrorReason};
use common::spec::Document;
use controlplane::consensus::{BootstrapError, ControllerAddress, MembershipError, PeerStatus};
use controlplane::controller_state::{
    ChangeKind, ChangeRequest, EventEntry, MemberProgress, MemberTraceReport, NumberedEvent,
    Operation, OperationReply, QuorumStatus, TraceReport, Unavailable, UnrecordedChange,
    VersionTraceReport, Wait, derive_change_id,
};
use controlplane::drivers::{NativeOperatorApi, OperatorApiAdapter};
use controlplane::leader_state::{EventDetail, EventRecord, LeaderReport, MembersReport};
use operator_requests::request_head;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::time::Duration;

fn check(name: &str, actual: &str) {
    forms::check(env!("CARGO_MANIFEST_DIR"), name, actual);
}

fn operation_json(operation: &Operation) -> Value {
    match operation {
        Operation::ReadSpec => json!("read the spec"),
        Operation::Change(ChangeRequest {
            base,
            numbering,
            change,
            kind,
            wait,
        }) => json!({
            "base_serial": base.map(|base| base.0),
            "numbers": numbering.map(|given| [given.number, given.base_number]),
            "change_id": change.as_ref().map(ChangeId::as_str),
            "change": change_kinds::to_json(kind),
            "wait": if *wait == Wait::InForce { "in_force" } else { "accepted" },
        }),
        Operation::ChangeStatus(change) => json!({"ask of the change": change.as_str()}),
        Operation::Members => json!("members"),
        Operation::Holders => json!("holders"),
        Operation::Workers => json!("workers"),
        Operation::Runners => json!("runners"),
        Operation::ShowQuorum => json!("core"),
        Operation::Bootstrap => json!("found"),
        Operation::Replace(missing, successor) => json!({"replace": [missing.0, successor.0]}),
        Operation::Events(first_number) => json!({"events from": first_number}),
        Operation::Trace(version) => json!({"trace": version.0}),
        Operation::Metrics => json!("metrics"),
    }
}

async fn read(method: &str, target: &str, body: &str) -> String {
    match NativeOperatorApi.read(&request_head(method, target, &[]), body.as_bytes()) {
        Ok(operation) => operation_json(&operation).to_string(),
        Err(response) => wire::response(*response).await,
    }
}

#[tokio::test]
async fn each_path_is_parsed_as_recorded() {
    let mut text = String::new();
    let request_lines = [
        "GET /metrics",
        "GET /v1/spec",
        "GET /v1/spec/",
        "GET /v1/changes/release-42",
        "GET /v1/members",
        "GET /v1/holders",
        "GET /v1/workers",
        "GET /v1/runners",
        "GET /v1/core",
        "POST /v1/core/found",
        "POST /v1/core/replace/5f/77b0e41d",
        "POST /v1/core/replace/5f/nobody",
        "POST /v1/core/replace/5f",
        "GET /v1/traces/0",
        "GET /v1/traces/17",
        "GET /v1/traces/newest",
        "GET /v1/events",
        "GET /v1/events?from=120&follow=true",
        "GET /v1/events?follow=true",
        "GET /v1/events?from=late",
        "GET /v1/nowhere",
        "GET /",
        "DELETE /v1/spec",
        "POST /v1/members",
        "GET /v2/spec",
        "POST /v1/localities/north/evacuate",
        "POST /v1/localities/north/restore",
        "POST /v1/localities/north",
        "PUT /v1/spec",
        "PATCH /v1/spec",
    ];
    for line in request_lines {
        let (method, target) = line.split_once(' ').expect("a method");
        let _ = writeln!(text, "## {line}\n{}\n", read(method, target, "").await);
    }
    check("operator_paths.txt", &text);
}

/// Returns a body with changed fields. A field that is changed to `null` is removed.
fn variant(body: &Value, changes: Value) -> Value {
    let mut body = body.clone();
    let fields = body.as_object_mut().expect("an object");
    for (key, value) in changes.as_object().expect("an object") {
        if value.is_null() {
            fields.remove(key);
        } else {
            fields.insert(key.clone(), value.clone());
        }
    }
    body
}

fn variants<const COUNT: usize>(body: &Value, changes: [Value; COUNT]) -> Vec<Value> {
    changes.map(|changes| variant(body, changes)).into()
}

fn replacement_bodies() -> Vec<Value> {
    let spec = json!({"functions": {}, "routes": {}, "labels": {"made": "by hand"}});
    let body = json!({"base_serial": 4, "change_id": "c", "spec": spec});
    let mut bodies = variants(
        &body,
        [
            json!({}),
            json!({"wait": "in_force"}),
            json!({"wait": "accepted"}),
            json!({"wait": "long"}),
            json!({"wait": 7}),
            json!({"base_serial": null, "number": 7, "base_number": 5}),
            json!({"number": 7, "base_number": 5}),
            json!({"base_serial": null, "number": 7}),
            json!({"base_serial": null, "base_number": 7}),
            json!({"base_serial": null, "number": "7", "base_number": -1}),
            json!({"base_serial": "4"}),
            json!({"base_serial": null}),
            json!({"change_id": null}),
            json!({"change_id": ""}),
            json!({"change_id": 7}),
            json!({"spec": null}),
            json!({"colour": 7}),
        ],
    );
    bodies.extend([json!({}), json!([])]);
    bodies
}

fn partial_change_bodies() -> Vec<Value> {
    let put = json!({
        "functions": {"f": {"memory_mb": 1}}, "routes": {"r": {"kind": "once"}},
        "limits": {"idle_ms": 5}, "labels": {"day": "one"},
    });
    let remove = json!({"functions": ["g"], "routes": ["s", "t"]});
    let body = json!({"base_serial": 4, "change_id": "c"});
    variants(
        &body,
        [
            json!({"patch": {"functions": {"f": null}}}),
            json!({}),
            json!({"put": put, "remove": remove}),
            json!({"put": put}),
            json!({"base_serial": null, "number": 7, "base_number": 5, "remove": remove}),
            json!({"put": put, "patch": {}}),
            json!({"put": {"roads": {}}, "remove": {"limits": []}}),
            json!({"put": {"functions": []}}),
            json!({"remove": {"routes": {"r": 1}}}),
            json!({"remove": {"routes": [7, ""]}}),
        ],
    )
}

fn evacuation_bodies() -> Vec<Value> {
    let body = json!({"change_id": "c"});
    variants(
        &body,
        [
            json!({}),
            json!({"force": true, "wait": "in_force"}),
            json!({"force": "yes"}),
            json!({"base_serial": 4}),
            json!({"change_id": null}),
        ],
    )
}

fn restore_bodies() -> Vec<Value> {
    let body = json!({"change_id": "c"});
    variants(&body, [json!({}), json!({"number": 7, "base_number": 5})])
}

#[tokio::test]
async fn each_body_is_parsed_as_recorded() {
    let mut text = String::new();
    let bodies_by_path = [
        ("PUT", "/v1/spec", replacement_bodies()),
        ("PATCH", "/v1/spec", partial_change_bodies()),
        ("POST", "/v1/localities/north/evacuate", evacuation_bodies()),
        ("POST", "/v1/localities/north/restore", restore_bodies()),
    ];
    for (method, target, bodies) in bodies_by_path {
        for body in bodies {
            let result = read(method, target, &body.to_string()).await;
            let _ = writeln!(text, "## {method} {target} {body}\n{result}\n");
        }
    }
    let truncated_result = read("PUT", "/v1/spec", "{").await;
    let _ = writeln!(text, "## PUT /v1/spec {{\n{truncated_result}\n");
    check("operator_bodies.txt", &text);
}

fn invalid_reply() -> OperationReply {
    let path_errors = [
        ("functions.f.slots", PathErrorReason::Missing),
        (
            "functions.f.boot_ms",
            PathErrorReason::WrongType("a whole number"),
        ),
        (
            "routes.r.budget_ms",
            PathErrorReason::OutOfBounds(1, 60_000),
        ),
        ("routes.r.colour", PathErrorReason::UnknownField),
        (
            "routes.r.function",
            PathErrorReason::UnknownReference("function", "g".to_owned()),
        ),
        (
            "routes.s",
            PathErrorReason::Duplicate("routes.r".to_owned()),
        ),
        (
            "routes.r.path",
            PathErrorReason::Malformed("is odd".to_owned()),
        ),
        ("", PathErrorReason::Missing),
    ];
    let path_error = |(path, reason): (&str, PathErrorReason)| PathError {
        path: path.to_owned(),
        reason,
    };
    OperationReply::Invalid(path_errors.map(path_error).into())
}

fn spec_reply() -> OperationReply {
    let mut document = Document::initial(Vec::new()).numbered(12);
    document.document_version.term = Term(3);
    document = document.with_zone(Zone::from("north"), true, ChangeId::from("c"));
    OperationReply::Spec {
        document: Box::new(document),
        in_force: Version(1),
    }
}

fn accepted_reply(number: u64, in_force: bool) -> OperationReply {
    OperationReply::Accepted {
        change: ChangeId::from("release-42"),
        version: Version(6),
        number,
        in_force,
    }
}

fn stale_reply(number: u64) -> OperationReply {
    OperationReply::Stale {
        change: ChangeId::from("release-42"),
        version: Version(6),
        number,
    }
}

fn replies() -> Vec<(&'static str, OperationReply)> {
    let known: BTreeSet<Zone> = ["north", "south"].map(Zone::from).into();
    let no_zone = OperationReply::UnknownZone {
        zone: Zone::from("east"),
        known,
    };
    vec![
        ("spec", spec_reply()),
        ("accepted", accepted_reply(0, false)),
        ("accepted, numbered", accepted_reply(9, false)),
        ("in force", accepted_reply(0, true)),
        ("in force, numbered", accepted_reply(9, true)),
        ("stale", stale_reply(0)),
        ("stale, numbered", stale_reply(8)),
        ("invalid", invalid_reply()),
        ("no zone", no_zone),
        ("last zone", OperationReply::LastZone),
        (
            "elsewhere",
            OperationReply::Redirect(address("10.0.0.1:7111")),
        ),
    ]
}

fn address(text: &str) -> SocketAddress {
    SocketAddress(text.parse().expect("an address"))
}

fn document_version(term: u64, version: u64) -> DocumentVersion {
    DocumentVersion {
        term: Term(term),
        version: Version(version),
    }
}

/// Returns the status of a leader without peers that does not report the leader's address, and of one with a peer.
fn quorum_replies() -> [(&'static str, OperationReply); 2] {
    let quorum = |leader, accepted, peers| {
        OperationReply::Quorum(Box::new(QuorumStatus {
            id: ControllerId(0xab),
            term: Term(3),
            is_leader: true,
            is_ready: false,
            is_open: true,
            leader,
            accepted,
            committed: document_version(2, 4),
            peers,
        }))
    };
    let peer = PeerStatus {
        id: ControllerId(0xcd),
        controller_address: ControllerAddress {
            address: address("10.0.0.2:7110"),
            operator_address: address("10.0.0.2:7111"),
        },
        accepted: document_version(3, 4),
        is_voter: true,
        silent_ms: 12,
    };
    let leader = Some(address("10.0.0.1:7111"));
    let accepted = Some(document_version(3, 5));
    [
        ("quorum, alone", quorum(None, None, Vec::new())),
        ("quorum", quorum(leader, accepted, vec![peer])),
    ]
}

fn trace_replies() -> [(&'static str, OperationReply); 3] {
    [
        ("nothing traced", trace_reply(None, Vec::new())),
        (
            "version not traced",
            trace_reply(Some(Version(9)), Vec::new()),
        ),
        ("trace", trace_reply(Some(Version(4)), version_traces())),
    ]
}

/// Returns the replies to a bootstrap and to the replacement of a voter.
fn quorum_change_replies() -> [(&'static str, OperationReply); 4] {
    let rejected = |error| OperationReply::QuorumChangeRejected(error);
    let replacing = OperationReply::ReplacingVoter {
        version: Version(6),
    };
    [
        ("bootstrapping", OperationReply::Bootstrapping),
        ("replacing", replacing),
        (
            "no bootstrap",
            rejected(BootstrapError::AlreadyBootstrapped.into()),
        ),
        (
            "no replacement",
            rejected(MembershipError::NoSuchMember.into()),
        ),
    ]
}

fn unrecorded_change_reply(state: UnrecordedChange) -> OperationReply {
    OperationReply::ChangeUnrecorded {
        change: ChangeId::from("release-42"),
        state,
    }
}

/// Returns the replies that only the product's own API produces.
fn native_replies() -> Vec<(&'static str, OperationReply)> {
    let report = LeaderReport::Members(MembersReport {
        members: Vec::new(),
        open: true,
    });
    let unknown_change = unrecorded_change_reply(UnrecordedChange::Unknown);
    let unaccepted_change = unrecorded_change_reply(UnrecordedChange::NotAccepted);
    let mut replies = vec![("metrics", OperationReply::MetricsUpdated)];
    replies.extend(quorum_replies());
    replies.extend(trace_replies());
    replies.extend([
        ("no events", OperationReply::Events(Vec::new())),
        ("events", OperationReply::Events(event_entries())),
        ("report", OperationReply::LeaderReport(report)),
    ]);
    replies.extend(quorum_change_replies());
    replies.extend([
        ("change unknown", unknown_change),
        ("change not accepted", unaccepted_change),
    ]);
    replies
}

fn trace_reply(version: Option<Version>, traces: Vec<VersionTraceReport>) -> OperationReply {
    OperationReply::Trace(TraceReport {
        version,
        controller: ControllerId(0xab),
        traces,
    })
}

/// Returns the traces of a daemon that has installed the version, one that has not, and one to which it was not sent.
fn member_traces() -> BTreeMap<MemberName, MemberTraceReport> {
    let progress = |installed_after: Option<Duration>| {
        Some(MemberProgress {
            pushed_after: Some(Duration::from_millis(2)),
            installed_after,
        })
    };
    let lagging = Some("cut off");
    let traces = [
        ("m-1", progress(Some(Duration::from_millis(7))), None),
        ("m-2", progress(None), lagging),
        ("m-3", None, lagging),
    ];
    traces
        .into_iter()
        .map(|(name, progress, lagging)| {
            let report = MemberTraceReport { progress, lagging };
            (MemberName::from(name), report)
        })
        .collect()
}

/// Returns the trace of an inherited version without progress, and of this controller's own version, which is in force
/// although two daemons lag.
fn version_traces() -> Vec<VersionTraceReport> {
    let inherited = VersionTraceReport {
        term: Term(2),
        is_leading_now: false,
        is_own_change: false,
        committed_after: None,
        in_force_after: None,
        age: Duration::from_millis(1),
        members: BTreeMap::new(),
    };
    let own = VersionTraceReport {
        term: Term(3),
        is_leading_now: true,
        is_own_change: true,
        committed_after: Some(Duration::from_micros(1_500)),
        in_force_after: Some(Duration::from_millis(9)),
        age: Duration::from_millis(20),
        members: member_traces(),
    };
    vec![inherited, own]
}

fn event_entries() -> Vec<EventEntry> {
    let event_record = EventRecord {
        event: events::LEADER_ELECTED,
        detail: EventDetail::Term { term: Term(3) },
    };
    vec![
        EventEntry::Gap {
            requested: 5,
            oldest: 8,
        },
        EventEntry::Event(NumberedEvent {
            number: 8,
            event_record,
        }),
    ]
}

fn reasons() -> [Unavailable; 10] {
    [
        Unavailable::NoLeader,
        Unavailable::NoQuorum,
        Unavailable::NoDocument,
        Unavailable::NotReady,
        Unavailable::Busy,
        Unavailable::Forgotten,
        Unavailable::LeaderUnreachable,
        Unavailable::LeaderLost,
        Unavailable::BadRequest,
        Unavailable::Stopping,
    ]
}

#[tokio::test]
async fn each_reply_is_written_as_recorded() {
    let mut replies = native_replies();
    replies.extend(self::replies());
    for reason in reasons() {
        for change in [None, Some(ChangeId::from("release-42"))] {
            let not_accepted = OperationReply::NotAccepted {
                reason,
                change: change.clone(),
            };
            replies.push(("not accepted", not_accepted));
            replies.push(("unknown", OperationReply::Unknown { reason, change }));
        }
        replies.push(("not now", OperationReply::TemporarilyUnavailable(reason)));
    }
    let mut text = String::new();
    for (description, reply) in replies {
        let message =
            wire::response(NativeOperatorApi.write_response(&Operation::ReadSpec, reply)).await;
        let _ = writeln!(text, "## {description}\n{message}\n");
    }
    let _ = writeln!(text, "ready path: {}", NativeOperatorApi.readiness_path());
    check("operator_answers.txt", &text);
}

/// A change without an ID is recognized by the ID derived from its content, so releases must derive the same ID.
#[test]
fn the_derived_id_of_a_change_without_an_id_does_not_change() {
    let spec = json!({"functions": {}, "routes": {}, "labels": {"made": "by hand"}});
    let kinds = [
        ChangeKind::FullSpec(spec.clone().into()),
        ChangeKind::Patch(spec),
        ChangeKind::Evacuate {
            zone: Zone::from("north"),
            force: true,
        },
        ChangeKind::Restore {
            zone: Zone::from("north"),
        },
    ];
    let mut text = String::new();
    for kind in &kinds {
        let change_id = derive_change_id(Some(Version(4)), None, kind);
        let _ = writeln!(
            text,
            "{}: {}",
            change_kinds::to_json(kind),
            change_id.as_str()
        );
    }
    check("change_names.txt", &text);
}
