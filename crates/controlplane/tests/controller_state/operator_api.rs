//! Requests and responses of the product's own API.

use super::operator_requests::request_head;
use common::http::HttpResponse;
use common::identity::{ChangeId, Version};
use common::spec::Document;
use controlplane::controller_state::{
    ChangeKind, ChangeRequest, Numbering, Operation, OperationReply, Unavailable, Wait,
};
use controlplane::drivers::{NativeOperatorApi, OperatorApiAdapter};
use googletest::prelude::*;
use http_body_util::BodyExt;
use serde_json::{Value, json};

fn read(
    method: &str,
    target: &str,
    body: &Value,
) -> std::result::Result<Operation, Box<HttpResponse>> {
    NativeOperatorApi.read(
        &request_head(method, target, &[]),
        body.to_string().as_bytes(),
    )
}

async fn response_parts(response: HttpResponse) -> (u16, Value) {
    let status = response.status().as_u16();
    let body = response
        .into_body()
        .collect()
        .await
        .expect("a body")
        .to_bytes();
    (status, serde_json::from_slice(&body).expect("JSON"))
}

fn respond(reply: OperationReply) -> HttpResponse {
    NativeOperatorApi.write_response(&Operation::ReadSpec, reply)
}

#[tokio::test]
async fn a_numbered_change_of_items_is_read_without_base_version_or_patch() {
    let body = json!({
        "number": 7, "base_number": 5, "change_id": "c",
        "put": {"routes": {"r": {"kind": "once"}}, "limits": {"idle_ms": 5}},
        "remove": {"functions": ["f"]},
    });
    let Ok(Operation::Change(ChangeRequest {
        base,
        numbering,
        change,
        kind,
        wait,
    })) = read("PATCH", "/v1/spec", &body)
    else {
        panic!("a change");
    };
    assert_that!(base, none());
    assert_that!(
        numbering,
        some(eq(Numbering {
            number: 7,
            base_number: 5
        }))
    );
    assert_that!(change, some(eq(&ChangeId::from("c"))));
    assert_that!(wait, eq(Wait::Accepted));
    let ChangeKind::Items(items) = kind else {
        panic!("items")
    };
    assert_that!(items.put_routes["r"], eq(&json!({"kind": "once"})));
    assert_that!(items.put_functions.is_empty(), eq(true));
    assert_that!(items.remove_functions.contains("f"), eq(true));
    assert_that!(items.limits, some(eq(&json!({"idle_ms": 5}))));
}

#[tokio::test]
async fn a_change_with_missing_or_conflicting_fields_is_rejected_with_the_path() {
    let cases = [
        (json!({"change_id": "c", "patch": {}}), "base_serial"),
        (
            json!({"change_id": "c", "patch": {}, "number": 3}),
            "base_number",
        ),
        (
            json!({"change_id": "c", "base_serial": 1, "patch": {}, "put": {}}),
            "patch",
        ),
        (
            json!({"change_id": "c", "base_serial": 1, "put": {"roads": {}}}),
            "put.roads",
        ),
        (json!({"base_serial": 1, "put": {}}), "change_id"),
    ];
    for (body, path) in cases {
        let Err(response) = read("PATCH", "/v1/spec", &body) else {
            panic!("{body}")
        };
        let (status, response_body) = response_parts(*response).await;
        assert_that!(status, eq(422));
        assert_that!(response_body["state"], eq(&json!("not_accepted")));
        let paths: Vec<&str> = response_body["faults"]
            .as_array()
            .expect("faults")
            .iter()
            .filter_map(|error| error["path"].as_str())
            .collect();
        assert_that!(paths, contains(eq(&path)));
    }
}

/// A reply with the expected status and body of its response.
type ReplyCase = (OperationReply, u16, Value);

/// Returns replies to changes that were recorded, or rejected because of their base.
fn decided_cases() -> Vec<ReplyCase> {
    let change = ChangeId::from("c");
    let accepted = |number, in_force| OperationReply::Accepted {
        change: change.clone(),
        version: Version(4),
        number,
        in_force,
    };
    let stale = OperationReply::Stale {
        change: change.clone(),
        version: Version(6),
        number: 0,
    };
    let accepted_body = json!({"state": "accepted", "serial": 4, "change_id": "c"});
    let in_force_body = json!({"state": "in_force", "serial": 4, "number": 9, "change_id": "c"});
    let stale_body =
        json!({"error": "stale_base", "state": "not_accepted", "serial": 6, "change_id": "c"});
    vec![
        (accepted(0, false), 200, accepted_body),
        (accepted(9, true), 200, in_force_body),
        (stale, 409, stale_body),
    ]
}

/// Returns replies to operations that no leader decided.
fn undecided_cases() -> Vec<ReplyCase> {
    let change = Some(ChangeId::from("c"));
    let not_accepted = OperationReply::NotAccepted {
        reason: Unavailable::NoQuorum,
        change: change.clone(),
    };
    let unknown = |reason, change| OperationReply::Unknown { reason, change };
    let not_accepted_body =
        json!({"error": "no_quorum", "state": "not_accepted", "change_id": "c"});
    let unknown_body = json!({"error": "no_quorum", "state": "unknown", "change_id": "c"});
    vec![
        (not_accepted, 503, not_accepted_body),
        (unknown(Unavailable::NoQuorum, change), 503, unknown_body),
        (
            unknown(Unavailable::LeaderLost, None),
            503,
            json!({"error": "leader_lost", "state": "unknown"}),
        ),
        (
            OperationReply::TemporarilyUnavailable(Unavailable::NoLeader),
            503,
            json!({"error": "no_leader"}),
        ),
    ]
}

fn spec_case() -> ReplyCase {
    let reply = OperationReply::Spec {
        document: Box::new(Document::initial(Vec::new()).numbered(12)),
        in_force: Version(1),
    };
    let body = json!({
        "serial": 1, "number": 12, "in_force": 1, "evacuated": [],
        "spec": {"functions": {}, "routes": {}},
    });
    (reply, 200, body)
}

#[tokio::test]
async fn each_reply_has_its_status_and_body() {
    let mut cases = decided_cases();
    cases.extend(undecided_cases());
    cases.push(spec_case());
    for (reply, status, body) in cases {
        assert_that!(response_parts(respond(reply)).await, eq(&(status, body)));
    }
}
