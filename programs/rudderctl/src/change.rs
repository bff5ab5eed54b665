//! Changes of the spec as they are sent to the operators' API.

use common::rng::SeededRng;
use hyper::Method;
use serde_json::{Value, json};
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

    fn to_body(self, file: &Value) -> Value {
        match self {
            Self::Full => json!({"spec": file}),
            Self::Patch => json!({"patch": file}),
            Self::Items => json!({"put": file["put"], "remove": file["remove"]}),
        }
    }
}

/// Identity of a change, and how long its request waits.
pub(crate) struct ChangeOptions {
    /// The id by which the outcome can be queried; generated if there is none.
    pub(crate) change_id: Option<String>,
    /// Whether to wait until the change is in force everywhere, instead of until it is accepted.
    pub(crate) wait: bool,
}

impl ChangeOptions {
    fn add_to(self, body: &mut Value) {
        body["change_id"] = json!(self.change_id.unwrap_or_else(generated_change_id));
        body["wait"] = json!(if self.wait { "in_force" } else { "accepted" });
    }
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

    fn add_to(self, body: &mut Value) {
        if self.number.is_some() || self.base_number.is_some() {
            body["number"] = json!(self.number);
            body["base_number"] = json!(self.base_number);
        }
        if let Some(version) = self.version {
            body["base_serial"] = json!(version);
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
    /// Reads the file and builds the request's body. Fails if the file cannot be read or is not JSON.
    pub(crate) fn into_body(self) -> Result<Value, ChangeFileError> {
        let file_text = std::fs::read_to_string(self.file)
            .map_err(|error| ChangeFileError::Unreadable(self.file.to_owned(), error))?;
        let value: Value = serde_json::from_str(&file_text)
            .map_err(|error| ChangeFileError::NotJson(self.file.to_owned(), error))?;
        let mut body = self.kind.to_body(&value);
        self.options.add_to(&mut body);
        self.base.add_to(&mut body);
        Ok(body)
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
    pub(crate) fn into_body(self) -> Value {
        let mut body = json!({});
        self.options.add_to(&mut body);
        body["force"] = json!(self.force);
        body
    }
}
