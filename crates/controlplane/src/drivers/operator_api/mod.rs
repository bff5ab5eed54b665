use crate::controller_state::{ChangeKind, ItemChange, Numbering, Operation, OperationReply, Wait};
use common::http::{HttpResponse, json_response};
use common::identity::{ChangeId, ControllerId, Version, Zone};
use common::readers::{PathError, PathErrorList, PathErrorReason, PathReader};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};

/// How operators' HTTP is read and written. A tongue only translates.
pub trait OperatorApiAdapter: Send + Sync {
    /// Reads a request; one that cannot be read is answered at once.
    fn read(&self, head: &Parts, body: &[u8]) -> Result<Operation, Box<HttpResponse>>;

    /// Writes the answer to what was asked.
    fn write_response(&self, operation: &Operation, reply: OperationReply) -> HttpResponse;

    /// The path at which readiness is asked.
    fn readiness_path(&self) -> &'static str;
}

/// The product's own interface.
pub struct NativeOperatorApi;

type ErrorResponse = (u16, Value);

fn json_status_response(status: u16, body: &Value) -> HttpResponse {
    json_response(
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
        body,
    )
}

fn invalid_body(errors: &[PathError]) -> Value {
    let error_rows: Vec<Value> = errors
        .iter()
        .map(|error| json!({"path": error.path, "reason": error.reason.to_string()}))
        .collect();
    json!({"error": "invalid", "state": "not_accepted", "faults": error_rows})
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

impl OperationReply {
    /// The status and the body that the product's own interface gives.
    pub fn into_native_response(self) -> (u16, Value) {
        match self {
            Self::StatusAndBody(status, body) => (status, body),
            Self::Spec { document, in_force } => {
                let evacuated: Vec<&str> = document
                    .evacuated
                    .iter()
                    .map(|zone| zone.as_str())
                    .collect();
                let body = json!({
                    "serial": document.view_version().0,
                    "number": document.number,
                    "in_force": in_force.0,
                    "spec": document.spec.to_value(),
                    "evacuated": evacuated,
                });
                (200, body)
            }
            Self::Accepted {
                change,
                version,
                number,
                in_force,
            } => {
                let state = if in_force { "in_force" } else { "accepted" };
                let body = json!({"state": state, "serial": version.0});
                (200, with_number(with_change(body, Some(change)), number))
            }
            Self::Stale {
                change,
                version,
                number,
            } => {
                let body = json!({
                    "error": "stale_base",
                    "state": "not_accepted",
                    "serial": version.0,
                });
                (409, with_number(with_change(body, Some(change)), number))
            }
            Self::Invalid(errors) => (422, invalid_body(&errors)),
            Self::NoZone { zone, known } => {
                let known_names: Vec<&str> = known.iter().map(Zone::as_str).collect();
                let body = json!({
                    "error": "unknown_locality",
                    "state": "not_accepted",
                    "locality": zone.as_str(),
                    "known": known_names,
                });
                (422, body)
            }
            Self::LastZone => {
                let body = json!({
                    "error": "last_locality",
                    "state": "not_accepted",
                    "reason": "no locality would be left; set force to do it all the same",
                });
                (422, body)
            }
            Self::NotAccepted { reason, change } => (
                503,
                with_change(
                    json!({"error": reason.as_str(), "state": "not_accepted"}),
                    change,
                ),
            ),
            Self::Unknown { reason, change } => (
                503,
                with_change(
                    json!({"error": reason.as_str(), "state": "unknown"}),
                    change,
                ),
            ),
            Self::TemporarilyUnavailable(reason) => (503, json!({"error": reason.as_str()})),
            Self::Redirect(leader) => (307, json!({"leader": leader.to_string()})),
        }
    }
}

impl OperatorApiAdapter for NativeOperatorApi {
    fn read(&self, head: &Parts, body: &[u8]) -> Result<Operation, Box<HttpResponse>> {
        let path_parts: Vec<&str> = head.uri.path().trim_matches('/').split('/').collect();
        read_operation(&head.method, &path_parts, head.uri.query(), body)
            .map_err(|(status, error_body)| Box::new(json_status_response(status, &error_body)))
    }

    fn write_response(&self, _operation: &Operation, reply: OperationReply) -> HttpResponse {
        let (status, body) = reply.into_native_response();
        json_status_response(status, &body)
    }

    fn readiness_path(&self) -> &'static str {
        "/ready"
    }
}

fn read_operation(
    method: &Method,
    path_parts: &[&str],
    query: Option<&str>,
    body: &[u8],
) -> Result<Operation, ErrorResponse> {
    match (method, path_parts) {
        (&Method::GET, ["metrics"]) => Ok(Operation::Metrics),
        (&Method::GET, ["v1", "spec"]) => Ok(Operation::ReadSpec),
        (&Method::PUT, ["v1", "spec"]) => read_change(body, |root| {
            Some(ChangeKind::FullSpec(required_value(root, "spec")?.into()))
        }),
        (&Method::PATCH, ["v1", "spec"]) => read_change(body, read_partial_change),
        (&Method::GET, ["v1", "changes", change]) => {
            Ok(Operation::ChangeStatus(ChangeId::from(*change)))
        }
        (&Method::POST, ["v1", "localities", zone, "evacuate"]) => read_change(body, |root| {
            let force = root.field("force").bool_or(false);
            Some(ChangeKind::Evacuate {
                zone: Zone::from(*zone),
                force,
            })
        }),
        (&Method::POST, ["v1", "localities", zone, "restore"]) => read_change(body, |_| {
            Some(ChangeKind::Restore {
                zone: Zone::from(*zone),
            })
        }),
        (&Method::GET, ["v1", "members"]) => Ok(Operation::Members),
        (&Method::GET, ["v1", "holders"]) => Ok(Operation::Holders),
        (&Method::GET, ["v1", "workers"]) => Ok(Operation::Workers),
        (&Method::GET, ["v1", "runners"]) => Ok(Operation::Runners),
        (&Method::GET, ["v1", "core"]) => Ok(Operation::ShowQuorum),
        (&Method::POST, ["v1", "core", "found"]) => Ok(Operation::Bootstrap),
        (&Method::POST, ["v1", "core", "replace", missing, successor]) => {
            let id = |text: &str| u64::from_str_radix(text, 16).map(ControllerId);
            match (id(missing), id(successor)) {
                (Ok(missing), Ok(successor)) => Ok(Operation::Replace(missing, successor)),
                _ => Err((400, json!({"error": "not_a_surveyor"}))),
            }
        }
        (&Method::GET, ["v1", "traces", version]) => match version.parse() {
            Ok(version) => Ok(Operation::Trace(Version(version))),
            Err(_) => Err((400, json!({"error": "not_a_serial"}))),
        },
        (&Method::GET, ["v1", "events"]) => {
            let pairs = query
                .unwrap_or("")
                .split('&')
                .filter_map(|pair| pair.split_once('='));
            let from_text = pairs.into_iter().find(|(name, _)| *name == "from");
            match from_text.map_or(Ok(0), |(_, number)| number.parse()) {
                Ok(first_number) => Ok(Operation::Events(first_number)),
                Err(_) => Err((400, json!({"error": "from is not a number"}))),
            }
        }
        _ => Err((404, json!({"error": "no_such_path"}))),
    }
}

fn required_value(root: &PathReader<'_>, field_name: &str) -> Option<Value> {
    let reader = root.field(field_name);
    if !reader.is_present() {
        reader.error(PathErrorReason::Missing);
    }
    reader.value().cloned()
}

fn read_partial_change(root: &PathReader<'_>) -> Option<ChangeKind> {
    let (put, remove) = (root.field("put"), root.field("remove"));
    if !put.is_present() && !remove.is_present() {
        return Some(ChangeKind::Patch(required_value(root, "patch")?));
    }
    put.allow_only(&["functions", "routes", "limits", "labels"]);
    remove.allow_only(&["functions", "routes"]);
    if root.field("patch").is_present() {
        let reason = "does not go with put and remove".to_owned();
        root.field("patch")
            .error(PathErrorReason::Malformed(reason));
    }
    let put_items = |part_name: &str| {
        let fields = put.field(part_name).fields().into_iter();
        fields
            .filter_map(|(name, reader)| Some((name.to_owned(), reader.value()?.clone())))
            .collect()
    };
    let removed_names = |part_name: &str| {
        let items = remove.field(part_name).items();
        items
            .iter()
            .filter_map(|item| item.text().map(str::to_owned))
            .collect()
    };
    Some(ChangeKind::Items(Box::new(ItemChange {
        put_functions: put_items("functions"),
        remove_functions: removed_names("functions"),
        put_routes: put_items("routes"),
        remove_routes: removed_names("routes"),
        limits: put.field("limits").value().cloned(),
        labels: put.field("labels").value().cloned(),
    })))
}

fn read_change(
    body: &[u8],
    read_kind: impl FnOnce(&PathReader<'_>) -> Option<ChangeKind>,
) -> Result<Operation, ErrorResponse> {
    let parsed_body: Value = serde_json::from_slice(body).map_err(|error| {
        (
            400,
            json!({"error": "not_json", "reason": error.to_string(), "state": "not_accepted"}),
        )
    })?;
    let errors = PathErrorList::default();
    let root = PathReader::new(&parsed_body, &errors);
    root.allow_only(&[
        "base_serial",
        "number",
        "base_number",
        "change_id",
        "spec",
        "patch",
        "put",
        "remove",
        "wait",
        "force",
    ]);
    let base_reader = root.field("base_serial");
    let kind = read_kind(&root);
    let is_zone_change = matches!(
        kind,
        Some(ChangeKind::Evacuate { .. } | ChangeKind::Restore { .. })
    );
    let is_numbered = ["number", "base_number"]
        .iter()
        .any(|key| root.field(key).is_present());
    let numbering = if is_numbered {
        let number = root.field("number").number(0..=u64::MAX);
        let base_number = root.field("base_number").number(0..=u64::MAX);
        number
            .zip(base_number)
            .map(|(number, base_number)| Numbering {
                number,
                base_number,
            })
    } else {
        None
    };
    let base = if base_reader.is_present() || !(is_zone_change || is_numbered) {
        base_reader.number(0..=u64::MAX).map(Version)
    } else {
        None
    };
    let change = root.field("change_id").text().map(ChangeId::from);
    let wait_reader = root.field("wait");
    let wait = match wait_reader.value().and_then(Value::as_str) {
        Some("in_force") => Wait::InForce,
        Some("accepted") => Wait::Accepted,
        _ => {
            if wait_reader.is_present() {
                let reason = "is neither accepted nor in_force".to_owned();
                wait_reader.error(PathErrorReason::Malformed(reason));
            }
            Wait::Accepted
        }
    };
    let found_errors = errors.into_inner();
    match (kind, change) {
        (Some(kind), Some(change)) if found_errors.is_empty() => Ok(Operation::Change {
            base,
            numbering,
            change: Some(change),
            kind,
            wait,
        }),
        _ => Err((422, invalid_body(&found_errors))),
    }
}
