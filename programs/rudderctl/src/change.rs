//! Changes of the spec, and the requests that send them to the operators' API.

use common::readers::{PathError, PathErrorList, PathReader, parse_json};
use common::rng::SeededRng;
use hyper::Method;
use serde::Serialize;
use serde_json::Value;
use std::path::{Path, PathBuf};

/// Why a change's file cannot be sent.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ChangeFileError {
    /// The file could not be read.
    #[error("{}: {_1}", _0.display())]
    Unreadable(PathBuf, #[source] std::io::Error),
    /// The file is not JSON.
    #[error("{}: not JSON: {_1}", _0.display())]
    NotJson(PathBuf, #[source] serde_json::Error),
    /// The file does not describe items to put and to remove: its path, and the error.
    #[error("{}: {_1}", _0.display())]
    NotItems(PathBuf, PathError),
}

/// How a file describes a change of the spec.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum ChangeKind {
    /// As a complete spec.
    Full,
    /// As a JSON merge patch (RFC 7396).
    Patch,
    /// As named items to put and to remove.
    Items,
}

impl ChangeKind {
    /// Returns the HTTP method of the request.
    pub(crate) fn method(self) -> Method {
        match self {
            Self::Full => Method::PUT,
            Self::Patch | Self::Items => Method::PATCH,
        }
    }

    /// Converts a file's content to the change. Fails if the file has parts that the change would ignore.
    fn content_of(self, file: Value) -> Result<ChangeContent, PathError> {
        Ok(match self {
            Self::Full => ChangeContent::Full { spec: file },
            Self::Patch => ChangeContent::Patch { patch: file },
            Self::Items => {
                check_items(&file)?;
                ChangeContent::Items {
                    put: file["put"].clone(),
                    remove: file["remove"].clone(),
                }
            }
        })
    }
}

/// Checks that a file contains only items to put and to remove. Controllers check the items themselves.
fn check_items(file: &Value) -> Result<(), PathError> {
    let errors = PathErrorList::default();
    PathReader::new(file, &errors).allow_only(&["put", "remove"]);
    errors.into_inner().into_iter().next().map_or(Ok(()), Err)
}

/// The content of a change. The parts of the spec are the operators' JSON as written; controllers check them.
#[derive(Serialize)]
#[serde(untagged)]
enum ChangeContent {
    /// The spec is replaced.
    Full { spec: Value },
    /// A JSON merge patch is applied to the spec.
    Patch { patch: Value },
    /// Named items are put and removed; null means that the file has none.
    Items { put: Value, remove: Value },
    /// The zone in the request's path is evacuated or restored.
    Zone { force: bool },
}

/// The step of the change that the response waits for.
#[derive(Clone, Copy, Serialize)]
#[serde(rename_all = "snake_case")]
enum AwaitedStep {
    Accepted,
    InForce,
}

/// The operators' own numbers in a request; null means that a number is not given.
#[derive(Serialize)]
struct OperatorNumbers {
    number: Option<u64>,
    base_number: Option<u64>,
}

/// The version that a change is based on, in a request; null if no leader has a version.
#[derive(Serialize)]
struct BaseVersion {
    base_serial: Option<u64>,
}

/// The body of a request to change the spec or a zone.
#[derive(Serialize)]
pub(crate) struct ChangeRequest {
    #[serde(flatten)]
    content: ChangeContent,
    change_id: String,
    wait: AwaitedStep,
    #[serde(flatten)]
    operator_numbers: Option<OperatorNumbers>,
    #[serde(flatten)]
    base_version: Option<BaseVersion>,
}

impl ChangeRequest {
    fn new(content: ChangeContent, options: ChangeOptions) -> Self {
        let wait = if options.wait {
            AwaitedStep::InForce
        } else {
            AwaitedStep::Accepted
        };
        Self {
            content,
            change_id: options.change_id.unwrap_or_else(generated_change_id),
            wait,
            operator_numbers: None,
            base_version: None,
        }
    }

    /// Returns the id by which the outcome can be queried.
    pub(crate) fn change_id(&self) -> &str {
        &self.change_id
    }

    /// Sets the version that the change is based on; `None` is sent as null.
    pub(crate) fn set_base_version(&mut self, version: Option<u64>) {
        self.base_version = Some(BaseVersion {
            base_serial: version,
        });
    }
}

/// The id of a change, and how long its request waits.
pub(crate) struct ChangeOptions {
    /// The id by which the outcome can be queried; generated if `None`.
    pub(crate) change_id: Option<String>,
    /// Whether to wait until the change is in force everywhere instead of only until it is accepted.
    pub(crate) wait: bool,
}

fn generated_change_id() -> String {
    format!("rudderctl-{:x}", SeededRng::from_os().number())
}

/// The version of the spec that a change is based on.
#[derive(Clone, Copy)]
pub(crate) struct ChangeBase {
    /// The version, as the product numbers it.
    pub(crate) version: Option<u64>,
    /// The operators' own number of the change.
    pub(crate) number: Option<u64>,
    /// The operators' own number of the spec it is based on.
    pub(crate) base_number: Option<u64>,
}

impl ChangeBase {
    /// Returns whether no base is given, so that the newest version has to be read first.
    pub(crate) fn is_unspecified(self) -> bool {
        self.version.is_none() && self.number.is_none() && self.base_number.is_none()
    }

    fn add_to(self, request: &mut ChangeRequest) {
        if self.number.is_some() || self.base_number.is_some() {
            request.operator_numbers = Some(OperatorNumbers {
                number: self.number,
                base_number: self.base_number,
            });
        }
        if self.version.is_some() {
            request.set_base_version(self.version);
        }
    }
}

/// A change of the spec that is described by a file.
pub(crate) struct SpecChange<'a> {
    /// How the file describes the change.
    pub(crate) kind: ChangeKind,
    /// The JSON file.
    pub(crate) file: &'a Path,
    /// What the change is based on.
    pub(crate) base: ChangeBase,
    /// The id of the change, and how long to wait.
    pub(crate) options: ChangeOptions,
}

impl SpecChange<'_> {
    /// Reads the file and builds the request. Fails if the file cannot be read, is not JSON, or has parts that the
    /// change would ignore.
    pub(crate) fn into_request(self) -> Result<ChangeRequest, ChangeFileError> {
        let file_text = std::fs::read_to_string(self.file)
            .map_err(|error| ChangeFileError::Unreadable(self.file.to_owned(), error))?;
        let file = parse_json(file_text.as_bytes())
            .map_err(|error| ChangeFileError::NotJson(self.file.to_owned(), error))?;
        let content = self
            .kind
            .content_of(file)
            .map_err(|error| ChangeFileError::NotItems(self.file.to_owned(), error))?;
        let mut request = ChangeRequest::new(content, self.options);
        self.base.add_to(&mut request);
        Ok(request)
    }
}

/// An action on a zone.
#[derive(Clone, Copy)]
pub(crate) enum ZoneAction {
    /// Moves everything out of the zone.
    Evacuate,
    /// Uses the zone again.
    Restore,
}

/// A change of a zone.
pub(crate) struct ZoneChange {
    /// The action.
    pub(crate) action: ZoneAction,
    /// The zone's name.
    pub(crate) zone: String,
    /// Whether to change the zone even if no zone remains in use.
    pub(crate) force: bool,
    /// The id of the change, and how long to wait.
    pub(crate) options: ChangeOptions,
}

impl ZoneChange {
    /// Returns the path of the request.
    pub(crate) fn path(&self) -> String {
        let action = match self.action {
            ZoneAction::Evacuate => "evacuate",
            ZoneAction::Restore => "restore",
        };
        format!("/v1/localities/{}/{action}", self.zone)
    }

    /// Returns the body of the request.
    pub(crate) fn into_request(self) -> ChangeRequest {
        ChangeRequest::new(ChangeContent::Zone { force: self.force }, self.options)
    }
}
