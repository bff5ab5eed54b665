//! Parses the requests of the product's own API: paths, queries and the bodies of changes.

use super::responses::invalid_body;
use crate::controller_state::{ChangeKind, ChangeRequest, ItemChange, Numbering, Operation, Wait};
use common::identity::{ChangeId, ControllerId, Version, Zone};
use common::readers::{PathError, PathErrorList, PathErrorReason, PathReader, parse_json};
use hyper::Method;
use serde_json::{Value, json};

/// The reason why a request is invalid.
#[derive(Debug, thiserror::Error)]
pub(super) enum RequestError {
    /// The path does not exist, or does not support this method.
    #[error("no_such_path")]
    NoSuchPath,
    /// A part of the path is not the hexadecimal ID of a controller.
    #[error("not_a_surveyor")]
    NotAController,
    /// A part of the path is not the number of a version.
    #[error("not_a_serial")]
    NotAVersion,
    /// The query parameter `from` is not a number.
    #[error("from is not a number")]
    NotAnEventNumber,
    /// The body is not JSON.
    #[error("not_json")]
    NotJson(#[source] serde_json::Error),
    /// The body is not a valid change.
    #[error("invalid")]
    Invalid(Vec<PathError>),
}

impl RequestError {
    /// Returns the HTTP status of the response.
    pub(super) fn status(&self) -> u16 {
        match self {
            Self::NoSuchPath => 404,
            Self::NotAController | Self::NotAVersion | Self::NotAnEventNumber => 400,
            Self::NotJson(_) => 400,
            Self::Invalid(_) => 422,
        }
    }

    /// Returns the body of the response.
    pub(super) fn body(&self) -> Value {
        match self {
            Self::NotJson(error) => json!({
                "error": self.to_string(),
                "reason": error.to_string(),
                "state": "not_accepted",
            }),
            Self::Invalid(errors) => invalid_body(errors),
            other => json!({"error": other.to_string()}),
        }
    }
}

/// Parses a request. The body is used only for changes.
pub(super) fn read_operation(
    method: &Method,
    path: &str,
    query: Option<&str>,
    body: &[u8],
) -> Result<Operation, RequestError> {
    let path_parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match *method {
        Method::GET => read_get_request(&path_parts, query),
        Method::PUT if path_parts == ["v1", "spec"] => read_change(body, &["spec"], |root| {
            Some(ChangeKind::FullSpec(required_value(root, "spec")?.into()))
        }),
        Method::PATCH if path_parts == ["v1", "spec"] => {
            read_change(body, &["patch", "put", "remove"], read_partial_change)
        }
        Method::POST => read_post_request(&path_parts, body),
        _ => Err(RequestError::NoSuchPath),
    }
}

fn read_get_request(path_parts: &[&str], query: Option<&str>) -> Result<Operation, RequestError> {
    match path_parts {
        ["metrics"] => Ok(Operation::Metrics),
        ["v1", "spec"] => Ok(Operation::ReadSpec),
        ["v1", "changes", change] => Ok(Operation::ChangeStatus(ChangeId::from(*change))),
        ["v1", "members"] => Ok(Operation::Members),
        ["v1", "holders"] => Ok(Operation::Holders),
        ["v1", "workers"] => Ok(Operation::Workers),
        ["v1", "runners"] => Ok(Operation::Runners),
        ["v1", "core"] => Ok(Operation::ShowQuorum),
        ["v1", "traces", version] => version
            .parse()
            .map(|version| Operation::Trace(Version(version)))
            .map_err(|_| RequestError::NotAVersion),
        ["v1", "events"] => read_first_event_number(query).map(Operation::Events),
        _ => Err(RequestError::NoSuchPath),
    }
}

/// Returns the number in the query parameter `from`, or zero without one.
fn read_first_event_number(query: Option<&str>) -> Result<u64, RequestError> {
    let from_text = query
        .unwrap_or("")
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(name, _)| *name == "from");
    from_text
        .map_or(Ok(0), |(_, number)| number.parse())
        .map_err(|_| RequestError::NotAnEventNumber)
}

fn read_post_request(path_parts: &[&str], body: &[u8]) -> Result<Operation, RequestError> {
    match path_parts {
        ["v1", "localities", zone, "evacuate"] => read_change(body, &["force"], |root| {
            let force = root.field("force").bool_or(false);
            let zone = Zone::from(*zone);
            Some(ChangeKind::Evacuate { zone, force })
        }),
        ["v1", "localities", zone, "restore"] => read_change(body, &["force"], |root| {
            // `force` has no effect here, but must be valid.
            root.field("force").bool_or(false);
            let zone = Zone::from(*zone);
            Some(ChangeKind::Restore { zone })
        }),
        ["v1", "core", "found"] => Ok(Operation::Bootstrap),
        ["v1", "core", "replace", missing, successor] => Ok(Operation::Replace(
            read_controller_id(missing)?,
            read_controller_id(successor)?,
        )),
        _ => Err(RequestError::NoSuchPath),
    }
}

fn read_controller_id(text: &str) -> Result<ControllerId, RequestError> {
    u64::from_str_radix(text, 16)
        .map(ControllerId)
        .map_err(|_| RequestError::NotAController)
}

fn required_value(root: &PathReader<'_>, field_name: &str) -> Option<Value> {
    let reader = root.field(field_name);
    if !reader.is_present() {
        reader.add_error(PathErrorReason::Missing);
    }
    reader.value().cloned()
}

/// Returns an item to put. Null counts as missing.
fn required_item<'a>(reader: &PathReader<'a>) -> Option<&'a Value> {
    if !reader.is_present() {
        reader.add_error(PathErrorReason::WrongType("an object"));
    }
    reader.check_object();
    reader.value()
}

/// Parses a change of a part of the spec: a merge patch, or individual items to put and remove.
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
            .add_error(PathErrorReason::Malformed(reason));
    }
    let put_items = |part_name: &str| {
        let fields = put.field(part_name).fields().into_iter();
        fields
            .filter_map(|(name, reader)| Some((name.to_owned(), required_item(&reader)?.clone())))
            .collect()
    };
    put.field("limits").check_object();
    put.field("labels").check_object();
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

/// The fields with the content of a change.
const CONTENT_FIELDS: [&str; 5] = ["spec", "patch", "put", "remove", "force"];
/// The fields that any change may have.
const COMMON_FIELDS: [&str; 5] = ["base_serial", "number", "base_number", "change_id", "wait"];

/// Reports unknown fields, and fields with the content of other calls, which would otherwise be ignored.
fn check_fields(root: &PathReader<'_>, own_fields: &[&str]) {
    root.allow_only(&[&COMMON_FIELDS[..], &CONTENT_FIELDS[..]].concat());
    for name in CONTENT_FIELDS {
        let field = root.field(name);
        if field.is_present() && !own_fields.contains(&name) {
            let reason = "does not go with this call".to_owned();
            field.add_error(PathErrorReason::Malformed(reason));
        }
    }
}

/// Parses the body of a change. `own_fields` are the content fields that the call accepts. All errors are reported at
/// once, in the order in which the fields are read.
fn read_change(
    body: &[u8],
    own_fields: &[&str],
    read_kind: impl FnOnce(&PathReader<'_>) -> Option<ChangeKind>,
) -> Result<Operation, RequestError> {
    let parsed_body = parse_json(body).map_err(RequestError::NotJson)?;
    let errors = PathErrorList::default();
    let root = PathReader::new(&parsed_body, &errors);
    check_fields(&root, own_fields);
    let kind = read_kind(&root);
    let is_zone_change = kind.as_ref().is_some_and(ChangeKind::is_zone_change);
    let is_numbered = ["number", "base_number"]
        .iter()
        .any(|key| root.field(key).is_present());
    let numbering = is_numbered.then(|| read_numbering(&root)).flatten();
    let base = read_base(&root, !(is_zone_change || is_numbered));
    let change = root.field("change_id").text().map(ChangeId::from);
    let wait = read_wait(&root);
    let found_errors = errors.into_inner();
    match (kind, change) {
        (Some(kind), Some(change)) if found_errors.is_empty() => {
            Ok(Operation::Change(ChangeRequest {
                base,
                numbering,
                change: Some(change),
                kind,
                wait,
            }))
        }
        _ => Err(RequestError::Invalid(found_errors)),
    }
}

fn read_numbering(root: &PathReader<'_>) -> Option<Numbering> {
    let number = root.field("number").number(0..=u64::MAX);
    let base_number = root.field("base_number").number(0..=u64::MAX);
    number
        .zip(base_number)
        .map(|(number, base_number)| Numbering {
            number,
            base_number,
        })
}

fn read_base(root: &PathReader<'_>, is_required: bool) -> Option<Version> {
    let base_reader = root.field("base_serial");
    if base_reader.is_present() || is_required {
        base_reader.number(0..=u64::MAX).map(Version)
    } else {
        None
    }
}

fn read_wait(root: &PathReader<'_>) -> Wait {
    let wait_reader = root.field("wait");
    match wait_reader.value().and_then(Value::as_str) {
        Some("in_force") => Wait::InForce,
        Some("accepted") => Wait::Accepted,
        _ => {
            if wait_reader.is_present() {
                let reason = "is neither accepted nor in_force".to_owned();
                wait_reader.add_error(PathErrorReason::Malformed(reason));
            }
            Wait::Accepted
        }
    }
}
