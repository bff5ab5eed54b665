//! A client of the operators' API.

use crate::arguments::OutputFormat;
use crate::table::Table;
use common::frames::SocketAddress;
use common::http::{CallError, CallResponse, LineStreamEnd, call_json, follow_lines};
use common::rng::SeededRng;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use std::fmt;
use std::io::Write;
use std::ops::ControlFlow;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);
const POLL_INTERVAL: Duration = Duration::from_millis(200);
const MAX_POLLS: usize = 40;

/// Why a command did not come to an answer.
#[derive(Debug)]
pub enum ClientError {
    /// A place is no IP number with port.
    SocketAddress(String),
    /// A file could not be read.
    File(PathBuf, std::io::Error),
    /// A file is not JSON.
    NotJson(PathBuf, serde_json::Error),
    /// No controller was reached.
    Unreachable(CallError),
    /// The answer was lost; for a change, its outcome is unknown.
    Lost(String, CallError),
}

impl ClientError {
    /// What the process exits with.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::SocketAddress(_) | Self::File(..) | Self::NotJson(..) => 2,
            Self::Unreachable(_) | Self::Lost(..) => 4,
        }
    }
}

impl fmt::Display for ClientError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SocketAddress(text) => write!(out, "--at: not an IP number with port: {text:?}"),
            Self::File(file, error) => write!(out, "{}: {error}", file.display()),
            Self::NotJson(file, error) => write!(out, "{}: not JSON: {error}", file.display()),
            Self::Unreachable(error) => write!(out, "no controller reached: {error}"),
            Self::Lost(change, error) if change.is_empty() => write!(out, "answer lost: {error}"),
            Self::Lost(change, error) => {
                write!(out, "answer lost: {error}; ask: rudderctl change {change}")
            }
        }
    }
}

impl std::error::Error for ClientError {}

/// How a change is said.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ChangeKind {
    /// As a whole spec.
    Full,
    /// As a merge patch.
    Patch,
    /// As named items.
    Items,
}

/// A change to be sent.
pub struct ChangeSubmission<'a> {
    /// The file that says it.
    pub file: &'a Path,
    /// The serial it is built on.
    pub base: Option<u64>,
    /// The operators' own number for it.
    pub number: Option<u64>,
    /// The operators' own number of the spec it is built on.
    pub base_number: Option<u64>,
    /// Its id.
    pub change_id: Option<String>,
    /// Whether to wait until it is in force.
    pub wait: bool,
}

/// Speaks to whichever controller answers.
pub struct OperatorClient {
    addresses: Vec<SocketAddress>,
}

fn exit_code(status: StatusCode) -> ExitCode {
    match status.as_u16() {
        200..=299 => ExitCode::SUCCESS,
        400..=499 => ExitCode::from(3),
        _ => ExitCode::from(4),
    }
}

fn print(response: &CallResponse) -> ExitCode {
    let body = response.json();
    let text = serde_json::to_string_pretty(&body).unwrap_or_default();
    let _ = writeln!(std::io::stdout(), "{text}");
    exit_code(response.status)
}

fn generated_change_id() -> String {
    format!("rudderctl-{:x}", SeededRng::from_os().number())
}

impl OperatorClient {
    /// A client of these controllers.
    pub fn new(at: &str) -> Result<Self, ClientError> {
        let addresses = at
            .split(',')
            .map(|text| {
                text.parse()
                    .map(SocketAddress)
                    .map_err(|_| ClientError::SocketAddress(text.to_owned()))
            })
            .collect::<Result<Vec<SocketAddress>, ClientError>>()?;
        Ok(Self { addresses })
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<CallResponse, ClientError> {
        let mut last_error = CallError::ConnectTimeout;
        for address in &self.addresses {
            match call_json(*address, method.clone(), path, body, REQUEST_TIMEOUT).await {
                Ok(response) => return Ok(response),
                Err(error) if error.is_certainly_unsent() || method == Method::GET => {
                    last_error = error;
                }
                Err(error) => {
                    let change = body
                        .and_then(|body| body["change_id"].as_str())
                        .unwrap_or("");
                    return Err(ClientError::Lost(change.to_owned(), error));
                }
            }
        }
        Err(ClientError::Unreachable(last_error))
    }

    /// Reads something and prints it.
    pub async fn get(&self, path: &str) -> Result<ExitCode, ClientError> {
        self.call(Method::GET, path, None)
            .await
            .map(|response| print(&response))
    }

    /// Reads a list and prints it, as JSON if nothing else is asked for. A refusal is printed as JSON.
    pub async fn list(
        &self,
        table: &Table,
        output: Option<OutputFormat>,
    ) -> Result<ExitCode, ClientError> {
        let response = self.call(Method::GET, table.path, None).await?;
        if output != Some(OutputFormat::Table) || !response.status.is_success() {
            return Ok(print(&response));
        }
        let _ = write!(std::io::stdout(), "{}", table.render(&response.json()));
        Ok(exit_code(response.status))
    }

    /// Asks for something without a body.
    pub async fn post(&self, path: &str) -> Result<ExitCode, ClientError> {
        self.call(Method::POST, path, Some(&json!({})))
            .await
            .map(|response| print(&response))
    }

    /// Founds the core; waits a little for the controllers to start and to meet, and for the first
    /// leader. What reached nobody, or was refused since they have not met, does no harm when repeated.
    pub async fn found(&self) -> Result<ExitCode, ClientError> {
        let mut poll_count = 0;
        let response = loop {
            let result = self
                .call(Method::POST, "/v1/core/found", Some(&json!({})))
                .await;
            let is_not_ready = match &result {
                Ok(response) => response.json()["error"]
                    .as_str()
                    .is_some_and(|text| text.contains("seed")),
                Err(ClientError::Unreachable(_)) => true,
                Err(_) => false,
            };
            poll_count += 1;
            if !is_not_ready || poll_count > MAX_POLLS {
                break result?;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        };
        if response.status.is_success() {
            self.newest_version().await?;
        }
        Ok(print(&response))
    }

    /// The newest serial, as soon as there is a leader that can tell it.
    async fn newest_version(&self) -> Result<Value, ClientError> {
        let mut version = Value::Null;
        for _ in 0..MAX_POLLS {
            let response = self.call(Method::GET, "/v1/spec", None).await?;
            version = response.json()["serial"].clone();
            if version.is_number() {
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(version)
    }

    /// Sends a change of the spec. Numbers of the operators' own stand in for the serial it is built on.
    pub async fn change(
        &self,
        change_kind: ChangeKind,
        submission: ChangeSubmission<'_>,
    ) -> Result<ExitCode, ClientError> {
        let file_text = std::fs::read_to_string(submission.file)
            .map_err(|error| ClientError::File(submission.file.to_owned(), error))?;
        let value: Value = serde_json::from_str(&file_text)
            .map_err(|error| ClientError::NotJson(submission.file.to_owned(), error))?;
        let mut body = match change_kind {
            ChangeKind::Full => json!({"spec": value}),
            ChangeKind::Patch => json!({"patch": value}),
            ChangeKind::Items => json!({"put": value["put"], "remove": value["remove"]}),
        };
        body["change_id"] = json!(submission.change_id.unwrap_or_else(generated_change_id));
        body["wait"] = json!(if submission.wait {
            "in_force"
        } else {
            "accepted"
        });
        match (submission.number, submission.base_number, submission.base) {
            (None, None, Some(base)) => body["base_serial"] = json!(base),
            (None, None, None) => body["base_serial"] = self.newest_version().await?,
            (number, base_number, base) => {
                body["number"] = json!(number);
                body["base_number"] = json!(base_number);
                if let Some(base) = base {
                    body["base_serial"] = json!(base);
                }
            }
        }
        let method = if change_kind == ChangeKind::Full {
            Method::PUT
        } else {
            Method::PATCH
        };
        self.call(method, "/v1/spec", Some(&body))
            .await
            .map(|response| print(&response))
    }

    /// Evacuates or restores a zone.
    pub async fn zone_change(
        &self,
        action: &str,
        zone: &str,
        change_id: Option<String>,
        wait: bool,
        force: bool,
    ) -> Result<ExitCode, ClientError> {
        let body = json!({
            "change_id": change_id.unwrap_or_else(generated_change_id),
            "wait": if wait { "in_force" } else { "accepted" },
            "force": force,
        });
        let path = format!("/v1/localities/{zone}/{action}");
        self.call(Method::POST, &path, Some(&body))
            .await
            .map(|response| print(&response))
    }

    /// Prints events, and goes on over changes of leader if asked to.
    pub async fn events(&self, from: u64, follow: bool) -> Result<ExitCode, ClientError> {
        let mut next_number = from;
        let mut address_index = 0;
        let mut hinted_address = None;
        let mut failed_count = 0;
        loop {
            let address = hinted_address
                .take()
                .unwrap_or(self.addresses[address_index % self.addresses.len()]);
            let path = format!("/v1/events?from={next_number}&follow={follow}");
            let ended = follow_lines(address, &path, |line| {
                let event: Value = serde_json::from_str(line).unwrap_or(Value::Null);
                if let Some(number) = event["number"].as_u64() {
                    next_number = next_number.max(number + 1);
                }
                match writeln!(std::io::stdout(), "{line}") {
                    Ok(()) => ControlFlow::Continue(()),
                    Err(_) => ControlFlow::Break(()),
                }
            })
            .await;
            match ended {
                Ok(LineStreamEnd::Redirect(leader)) => hinted_address = Some(leader),
                Ok(LineStreamEnd::StoppedByReader) => return Ok(ExitCode::SUCCESS),
                Ok(LineStreamEnd::Ended) if !follow => return Ok(ExitCode::SUCCESS),
                Ok(LineStreamEnd::Ended) => {}
                Ok(LineStreamEnd::Status(status)) if !follow => return Ok(exit_code(status)),
                Ok(LineStreamEnd::Status(_)) => address_index += 1,
                Err(error) => {
                    address_index += 1;
                    failed_count += 1;
                    if !follow && failed_count >= self.addresses.len() {
                        return Err(ClientError::Unreachable(error));
                    }
                }
            }
            if hinted_address.is_none() {
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
        }
    }
}
