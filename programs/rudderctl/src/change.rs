//! Changes of the spec as they are sent to the operators' API.

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
    /// The file does not describe items to put and to remove: what is wrong with it.
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
    /// The method of the request that sends it.
    pub(crate) fn method(self) -> Method {
        match self {
            Self::Full => Method::PUT,
            Self::Patch | Self::Items => Method::PATCH,
        }
    }

    /// Fails if the file has parts that the change would leave out.
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

/// Checks that a file has nothing but items to put and to remove, which controllers check.
fn check_items(file: &Value) -> Result<(), PathError> {
    let errors = PathErrorList::default();
    PathReader::new(file, &errors).allow_only(&["put", "remove"]);
    errors.into_inner().into_iter().next().map_or(Ok(()), Err)
}

/// What a change is to alter. The parts of the spec are the operators' own JSON, which controllers check.
#[derive(Serialize)]
#[serde(untagged)]
enum ChangeContent {
    /// The spec becomes this one.
    Full { spec: Value },
    /// A JSON merge patch is applied to the spec.
    Patch { patch: Value },
    /// Named items are put and removed; null stands for what the file does not have.
    Items { put: Value, remove: Value },
    /// A zone, which the request's path names, is evacuated or restored.
    Zone { force: bool },
}

/// The step of a change that its response waits for.
#[derive(Clone, Copy, Serialize)]
#[serde(rename_all = "snake_case")]
enum AwaitedStep {
    Accepted,
    InForce,
}

/// The operators' own numbers, as a request carries them; null stands for the one that is not given.
#[derive(Serialize)]
struct OperatorNumbers {
    number: Option<u64>,
    base_number: Option<u64>,
}

/// The version that a change is based on, as a request carries it; null if no leader has one.
#[derive(Serialize)]
struct BaseVersion {
    base_serial: Option<u64>,
}

/// The body of a request that changes the spec or a zone.
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

    /// The id by which the outcome can be queried.
    pub(crate) fn change_id(&self) -> &str {
        &self.change_id
    }

    /// Bases the change on a version; `None` is sent as null.
    pub(crate) fn set_base_version(&mut self, version: Option<u64>) {
        self.base_version = Some(BaseVersion {
            base_serial: version,
        });
    }
}

/// Identity of a change, and how long its request waits.
pub(crate) struct ChangeOptions {
    /// The id by which the outcome can be queried; generated if there is none.
    pub(crate) change_id: Option<String>,
    /// Whether to wait until the change is in force everywhere, instead of until it is accepted.
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
    /// Whether nothing is given, so that the newest version has to be read first.
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

/// A change of the spec, to be sent from a file.
pub(crate) struct SpecChange<'a> {
    /// How the file describes the change.
    pub(crate) kind: ChangeKind,
    /// The file, of JSON.
    pub(crate) file: &'a Path,
    /// What the change is based on.
    pub(crate) base: ChangeBase,
    /// Identity and waiting.
    pub(crate) options: ChangeOptions,
}

impl SpecChange<'_> {
    /// Reads the file and builds the request. Fails if the file cannot be read or is not JSON, or if it has parts that the change
    /// would leave out.
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

/// What is done with a zone.
#[derive(Clone, Copy)]
pub(crate) enum ZoneAction {
    /// Everything is moved out of it.
    Evacuate,
    /// It is used again.
    Restore,
}

/// A change of a zone.
pub(crate) struct ZoneChange {
    /// What is done.
    pub(crate) action: ZoneAction,
    /// The zone's name.
    pub(crate) zone: String,
    /// Whether to do it even if no zone is left.
    pub(crate) force: bool,
    /// Identity and waiting.
    pub(crate) options: ChangeOptions,
}

impl ZoneChange {
    /// The path of the request.
    pub(crate) fn path(&self) -> String {
        let action = match self.action {
            ZoneAction::Evacuate => "evacuate",
            ZoneAction::Restore => "restore",
        };
        format!("/v1/localities/{}/{action}", self.zone)
    }

    /// The body of the request.
    pub(crate) fn into_request(self) -> ChangeRequest {
        ChangeRequest::new(ChangeContent::Zone { force: self.force }, self.options)
    }
}
