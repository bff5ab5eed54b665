//! The product's own operators' API: how each path and body is read, and the bytes of every response.

#[path = "../../../testing/support/forms.rs"]
mod forms;
#[path = "../../../testing/support/wire.rs"]
mod wire;

use common::events;
use common::frames::SocketAddress;
use common::identity::{ChangeId, ControllerId, DocumentVersion, MemberName, Term, Version, Zone};
use common::readers::{PathError, PathErrorReason};
use common::spec::Document;
use controlplane::consensus::{BootstrapError, ControllerAddress, MembershipError, PeerStatus};
use controlplane::controller_state::{
    ChangeKind, EventEntry, MemberProgress, MemberTraceReport, NumberedEvent, Operation,
    OperationReply, QuorumStatus, TraceReport, Unavailable, UnrecordedChange, VersionTraceReport,
    Wait, derive_change_id,
};
use controlplane::drivers::{NativeOperatorApi, OperatorApiAdapter};
use controlplane::leader_state::{EventDetail, EventRecord, LeaderReport, MembersReport};
use hyper::http::request::Parts;
use hyper::{Method, Request};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::time::Duration;

fn check(name: &str, seen: &str) {
    forms::check(env!("CARGO_MANIFEST_DIR"), name, seen);
}

fn head(method: &str, target: &str) -> Parts {
    let method = Method::from_bytes(method.as_bytes()).expect("a method");
    Request::builder()
        .method(method)
        .uri(target)
        .body(())
        .expect("a request")
        .into_parts()
        .0
}

fn shown_kind(kind: &ChangeKind) -> Value {
    match kind {
        ChangeKind::FullSpec(spec) => json!({"spec": spec.to_value()}),
        ChangeKind::Patch(patch) => json!({"patch": patch}),
        ChangeKind::Items(items) => json!({
            "put": {
                "functions": items.put_functions, "routes": items.put_routes,
                "limits": items.limits, "labels": items.labels,
            },
            "remove": {"functions": items.remove_functions, "routes": items.remove_routes},
        }),
        ChangeKind::Evacuate { zone, force } => json!({"evacuate": zone.as_str(), "force": force}),
        ChangeKind::Restore { zone } => json!({"restore": zone.as_str()}),
    }
}

fn shown(operation: &Operation) -> Value {
    match operation {
        Operation::ReadSpec => json!("read the spec"),
        Operation::Change {
            base,
            numbering,
            change,
            kind,
            wait,
        } => json!({
            "base_serial": base.map(|base| base.0),
            "numbers": numbering.map(|given| [given.number, given.base_number]),
            "change_id": change.as_ref().map(ChangeId::as_str),
            "change": shown_kind(kind),
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
    match NativeOperatorApi.read(&head(method, target), body.as_bytes()) {
        Ok(operation) => shown(&operation).to_string(),
        Err(served) => wire::response(*served).await,
    }
}

#[tokio::test]
async fn every_path_is_read_as_before() {
    let mut text = String::new();
    let operation = [
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
    for line in operation {
        let (method, target) = line.split_once(' ').expect("a method");
        let _ = writeln!(text, "## {line}\n{}\n", read(method, target, "").await);
    }
    check("operator_paths.txt", &text);
}

#[tokio::test]
async fn every_body_is_read_as_before() {
    let mut text = String::new();
    let spec = json!({"functions": {}, "routes": {}, "labels": {"made": "by hand"}});
    let put = json!({
        "functions": {"f": {"memory_mb": 1}}, "routes": {"r": {"kind": "once"}},
        "limits": {"idle_ms": 5}, "labels": {"day": "one"},
    });
    let remove = json!({"functions": ["g"], "routes": ["s", "t"]});
    let bodies = [
        (
            "PUT /v1/spec",
            json!({"base_serial": 4, "change_id": "c", "spec": spec}),
        ),
        (
            "PUT /v1/spec",
            json!({"base_serial": 4, "change_id": "c", "spec": spec, "wait": "in_force"}),
        ),
        (
            "PUT /v1/spec",
            json!({"base_serial": 4, "change_id": "c", "spec": spec, "wait": "accepted"}),
        ),
        (
            "PUT /v1/spec",
            json!({"base_serial": 4, "change_id": "c", "spec": spec, "wait": "long"}),
        ),
        (
            "PUT /v1/spec",
            json!({"base_serial": 4, "change_id": "c", "spec": spec, "wait": 7}),
        ),
        (
            "PUT /v1/spec",
            json!({"number": 7, "base_number": 5, "change_id": "c", "spec": spec}),
        ),
        (
            "PUT /v1/spec",
            json!({"number": 7, "base_number": 5, "base_serial": 4, "change_id": "c", "spec": spec}),
        ),
        (
            "PUT /v1/spec",
            json!({"number": 7, "change_id": "c", "spec": spec}),
        ),
        (
            "PUT /v1/spec",
            json!({"base_number": 7, "change_id": "c", "spec": spec}),
        ),
        (
            "PUT /v1/spec",
            json!({"number": "7", "base_number": -1, "change_id": "c", "spec": spec}),
        ),
        (
            "PUT /v1/spec",
            json!({"base_serial": "4", "change_id": "c", "spec": spec}),
        ),
        ("PUT /v1/spec", json!({"change_id": "c", "spec": spec})),
        ("PUT /v1/spec", json!({"base_serial": 4, "spec": spec})),
        (
            "PUT /v1/spec",
            json!({"base_serial": 4, "change_id": "", "spec": spec}),
        ),
        (
            "PUT /v1/spec",
            json!({"base_serial": 4, "change_id": 7, "spec": spec}),
        ),
        ("PUT /v1/spec", json!({"base_serial": 4, "change_id": "c"})),
        (
            "PUT /v1/spec",
            json!({"base_serial": 4, "change_id": "c", "spec": spec, "colour": 7}),
        ),
        ("PUT /v1/spec", json!({})),
        ("PUT /v1/spec", json!([])),
        (
            "PATCH /v1/spec",
            json!({"base_serial": 4, "change_id": "c", "patch": {"functions": {"f": null}}}),
        ),
        (
            "PATCH /v1/spec",
            json!({"base_serial": 4, "change_id": "c"}),
        ),
        (
            "PATCH /v1/spec",
            json!({"base_serial": 4, "change_id": "c", "put": put, "remove": remove}),
        ),
        (
            "PATCH /v1/spec",
            json!({"base_serial": 4, "change_id": "c", "put": put}),
        ),
        (
            "PATCH /v1/spec",
            json!({"number": 7, "base_number": 5, "change_id": "c", "remove": remove}),
        ),
        (
            "PATCH /v1/spec",
            json!({"base_serial": 4, "change_id": "c", "put": put, "patch": {}}),
        ),
        (
            "PATCH /v1/spec",
            json!({"base_serial": 4, "change_id": "c", "put": {"roads": {}}, "remove": {"limits": []}}),
        ),
        (
            "PATCH /v1/spec",
            json!({"base_serial": 4, "change_id": "c", "put": {"functions": []}}),
        ),
        (
            "PATCH /v1/spec",
            json!({"base_serial": 4, "change_id": "c", "remove": {"routes": {"r": 1}}}),
        ),
        (
            "PATCH /v1/spec",
            json!({"base_serial": 4, "change_id": "c", "remove": {"routes": [7, ""]}}),
        ),
        (
            "POST /v1/localities/north/evacuate",
            json!({"change_id": "c"}),
        ),
        (
            "POST /v1/localities/north/evacuate",
            json!({"change_id": "c", "force": true, "wait": "in_force"}),
        ),
        (
            "POST /v1/localities/north/evacuate",
            json!({"change_id": "c", "force": "yes"}),
        ),
        (
            "POST /v1/localities/north/evacuate",
            json!({"change_id": "c", "base_serial": 4}),
        ),
        ("POST /v1/localities/north/evacuate", json!({})),
        (
            "POST /v1/localities/north/restore",
            json!({"change_id": "c"}),
        ),
        (
            "POST /v1/localities/north/restore",
            json!({"change_id": "c", "number": 7, "base_number": 5}),
        ),
    ];
    for (line, body) in bodies {
        let (method, target) = line.split_once(' ').expect("a method");
        let answer = read(method, target, &body.to_string()).await;
        let _ = writeln!(text, "## {line} {body}\n{answer}\n");
    }
    let _ = writeln!(
        text,
        "## PUT /v1/spec {{\n{}\n",
        read("PUT", "/v1/spec", "{").await
    );
    check("operator_bodies.txt", &text);
}

fn replies() -> Vec<(&'static str, OperationReply)> {
    let change = ChangeId::from("release-42");
    let version = Version(6);
    let accepted = |number, in_force| OperationReply::Accepted {
        change: change.clone(),
        version,
        number,
        in_force,
    };
    let stale = |number| OperationReply::Stale {
        change: change.clone(),
        version,
        number,
    };
    let path_error = |path: &str, reason| PathError {
        path: path.to_owned(),
        reason,
    };
    let invalid = OperationReply::Invalid(vec![
        path_error("functions.f.slots", PathErrorReason::Missing),
        path_error(
            "functions.f.boot_ms",
            PathErrorReason::WrongType("a whole number"),
        ),
        path_error(
            "routes.r.budget_ms",
            PathErrorReason::OutOfBounds(1, 60_000),
        ),
        path_error("routes.r.colour", PathErrorReason::UnknownField),
        path_error(
            "routes.r.function",
            PathErrorReason::UnknownReference("function", "g".to_owned()),
        ),
        path_error(
            "routes.s",
            PathErrorReason::Duplicate("routes.r".to_owned()),
        ),
        path_error(
            "routes.r.path",
            PathErrorReason::Malformed("is odd".to_owned()),
        ),
        path_error("", PathErrorReason::Missing),
    ]);
    let zones = |names: &[&str]| names.iter().map(|name| Zone::from(*name)).collect();
    let mut document = Document::founding(Vec::new()).numbered(12);
    document.document_version.term = Term(3);
    document = document.with_zone(Zone::from("north"), true, ChangeId::from("c"));
    let spec = OperationReply::Spec {
        document: Box::new(document),
        in_force: Version(1),
    };
    let known: BTreeSet<Zone> = zones(&["north", "south"]);
    vec![
        ("spec", spec),
        ("accepted", accepted(0, false)),
        ("accepted, numbered", accepted(9, false)),
        ("in force", accepted(0, true)),
        ("in force, numbered", accepted(9, true)),
        ("stale", stale(0)),
        ("stale, numbered", stale(8)),
        ("invalid", invalid),
        (
            "no zone",
            OperationReply::NoZone {
                zone: Zone::from("east"),
                known,
            },
        ),
        ("last zone", OperationReply::LastZone),
        (
            "elsewhere",
            OperationReply::Redirect(SocketAddress("10.0.0.1:7111".parse().expect("one"))),
        ),
    ]
}

/// The replies that only the product's own API gives.
fn native_replies() -> Vec<(&'static str, OperationReply)> {
    let address = |text: &str| SocketAddress(text.parse().expect("an address"));
    let stored = |term, version| DocumentVersion {
        term: Term(term),
        version: Version(version),
    };
    let quorum = |leader, accepted, peers| {
        OperationReply::Quorum(Box::new(QuorumStatus {
            id: ControllerId(0xab),
            term: Term(3),
            is_leader: true,
            is_ready: false,
            is_open: true,
            leader,
            accepted,
            committed: stored(2, 4),
            peers,
        }))
    };
    let peer = PeerStatus {
        id: ControllerId(0xcd),
        controller_address: ControllerAddress {
            address: address("10.0.0.2:7110"),
            operators: address("10.0.0.2:7111"),
        },
        accepted: stored(3, 4),
        is_voter: true,
        silent_ms: 12,
    };
    let change_state = |state| OperationReply::ChangeUnrecorded {
        change: ChangeId::from("release-42"),
        state,
    };
    let rejected = |error| OperationReply::QuorumChangeRejected(error);
    vec![
        ("metrics", OperationReply::MetricsUpdated),
        ("quorum, alone", quorum(None, None, Vec::new())),
        (
            "quorum",
            quorum(
                Some(address("10.0.0.1:7111")),
                Some(stored(3, 5)),
                vec![peer],
            ),
        ),
        ("nothing traced", trace_reply(None, Vec::new())),
        (
            "version not traced",
            trace_reply(Some(Version(9)), Vec::new()),
        ),
        ("trace", trace_reply(Some(Version(4)), version_traces())),
        ("no events", OperationReply::Events(Vec::new())),
        ("events", OperationReply::Events(event_entries())),
        (
            "report",
            OperationReply::LeaderReport(LeaderReport::Members(MembersReport {
                members: Vec::new(),
                open: true,
            })),
        ),
        ("bootstrapping", OperationReply::Bootstrapping),
        (
            "replacing",
            OperationReply::ReplacingVoter {
                version: Version(6),
            },
        ),
        (
            "no bootstrap",
            rejected(BootstrapError::AlreadyBootstrapped.into()),
        ),
        (
            "no replacement",
            rejected(MembershipError::NoSuchMember.into()),
        ),
        ("change unknown", change_state(UnrecordedChange::Unknown)),
        (
            "change not accepted",
            change_state(UnrecordedChange::NotAccepted),
        ),
    ]
}

fn trace_reply(version: Option<Version>, traces: Vec<VersionTraceReport>) -> OperationReply {
    OperationReply::Trace(TraceReport {
        version,
        controller: ControllerId(0xab),
        traces,
    })
}

/// An inherited version that is hardly on its way, and one of this controller's that got everywhere but one daemon.
fn version_traces() -> Vec<VersionTraceReport> {
    let ms = Duration::from_millis;
    let progress = |pushed_ms, installed_ms: Option<u64>| {
        Some(MemberProgress {
            pushed_after: Some(ms(pushed_ms)),
            installed_after: installed_ms.map(ms),
        })
    };
    let lagging = Some("cut off");
    let members = [
        (
            "m-1",
            MemberTraceReport {
                progress: progress(2, Some(7)),
                lagging: None,
            },
        ),
        (
            "m-2",
            MemberTraceReport {
                progress: progress(2, None),
                lagging,
            },
        ),
        (
            "m-3",
            MemberTraceReport {
                progress: None,
                lagging,
            },
        ),
    ];
    let inherited = VersionTraceReport {
        term: Term(2),
        is_leading_now: false,
        is_own_change: false,
        committed_after: None,
        in_force_after: None,
        age: ms(1),
        members: BTreeMap::new(),
    };
    let own = VersionTraceReport {
        term: Term(3),
        is_leading_now: true,
        is_own_change: true,
        committed_after: Some(Duration::from_micros(1_500)),
        in_force_after: Some(ms(9)),
        age: ms(20),
        members: members
            .into_iter()
            .map(|(name, report)| (MemberName::from(name), report))
            .collect(),
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
async fn every_answer_has_its_bytes() {
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
    for (what, reply) in replies {
        let message =
            wire::response(NativeOperatorApi.write_response(&Operation::ReadSpec, reply)).await;
        let _ = writeln!(text, "## {what}\n{message}\n");
    }
    let _ = writeln!(text, "ready path: {}", NativeOperatorApi.readiness_path());
    check("operator_answers.txt", &text);
}

/// A change without a name is recognized by its content, also by the next release of the program.
#[test]
fn a_change_without_a_name_keeps_the_one_that_it_gets() {
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
        let name = derive_change_id(Some(Version(4)), None, kind);
        let _ = writeln!(text, "{}: {}", shown_kind(kind), name.as_str());
    }
    check("change_names.txt", &text);
}
