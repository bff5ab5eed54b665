//! A client of the operators' API.

use crate::arguments::OutputFormat;
use crate::table::Table;
use common::chance::Chance;
use common::frames::Place;
use common::http::{CallFault, Called, LinesEnd, call_json, follow_lines};
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use std::fmt;
use std::io::Write;
use std::ops::ControlFlow;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(15);
const LOOK_AGAIN: Duration = Duration::from_millis(200);
const MOST_LOOKS: usize = 40;

/// Why a command did not come to an answer.
#[derive(Debug)]
pub enum ClientFault {
    /// A place is no IP number with port.
    Place(String),
    /// A file could not be read.
    File(PathBuf, std::io::Error),
    /// A file is not JSON.
    NotJson(PathBuf, serde_json::Error),
    /// No controller was reached.
    Unreachable(CallFault),
    /// The answer was lost; for a change, its outcome is unknown.
    Lost(String, CallFault),
}

impl ClientFault {
    /// What the process exits with.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Place(_) | Self::File(..) | Self::NotJson(..) => 2,
            Self::Unreachable(_) | Self::Lost(..) => 4,
        }
    }
}

impl fmt::Display for ClientFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Place(text) => write!(out, "--at: not an IP number with port: {text:?}"),
            Self::File(file, fault) => write!(out, "{}: {fault}", file.display()),
            Self::NotJson(file, fault) => write!(out, "{}: not JSON: {fault}", file.display()),
            Self::Unreachable(fault) => write!(out, "no controller reached: {fault}"),
            Self::Lost(change, fault) if change.is_empty() => write!(out, "answer lost: {fault}"),
            Self::Lost(change, fault) => {
                write!(out, "answer lost: {fault}; ask: rudderctl change {change}")
            }
        }
    }
}

impl std::error::Error for ClientFault {}

/// How a change is said.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ChangeForm {
    /// As a whole spec.
    Whole,
    /// As a merge patch.
    Patch,
    /// As named items.
    Items,
}

/// A change to be sent.
pub struct Sent<'a> {
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
    places: Vec<Place>,
}

fn exit_code(status: StatusCode) -> ExitCode {
    match status.as_u16() {
        200..=299 => ExitCode::SUCCESS,
        400..=499 => ExitCode::from(3),
        _ => ExitCode::from(4),
    }
}

fn print(called: &Called) -> ExitCode {
    let body = called.json();
    let text = serde_json::to_string_pretty(&body).unwrap_or_default();
    let _ = writeln!(std::io::stdout(), "{text}");
    exit_code(called.status)
}

fn made_up_id() -> String {
    format!("rudderctl-{:x}", Chance::from_os().number())
}

impl OperatorClient {
    /// A client of these controllers.
    pub fn new(at: &str) -> Result<Self, ClientFault> {
        let places = at
            .split(',')
            .map(|text| text.parse().map(Place).map_err(|_| ClientFault::Place(text.to_owned())))
            .collect::<Result<Vec<Place>, ClientFault>>()?;
        Ok(Self { places })
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Called, ClientFault> {
        let mut last_fault = CallFault::ConnectTimeout;
        for place in &self.places {
            match call_json(*place, method.clone(), path, body, PATIENCE).await {
                Ok(called) => return Ok(called),
                Err(fault) if fault.is_surely_unsent() || method == Method::GET => {
                    last_fault = fault;
                }
                Err(fault) => {
                    let change = body.and_then(|body| body["change_id"].as_str()).unwrap_or("");
                    return Err(ClientFault::Lost(change.to_owned(), fault));
                }
            }
        }
        Err(ClientFault::Unreachable(last_fault))
    }

    /// Reads something and prints it.
    pub async fn get(&self, path: &str) -> Result<ExitCode, ClientFault> {
        self.call(Method::GET, path, None).await.map(|called| print(&called))
    }

    /// Reads a list and prints it, as JSON if nothing else is asked for. A refusal is printed as JSON.
    pub async fn list(
        &self,
        table: &Table,
        output: Option<OutputFormat>,
    ) -> Result<ExitCode, ClientFault> {
        let called = self.call(Method::GET, table.path, None).await?;
        if output != Some(OutputFormat::Table) || !called.status.is_success() {
            return Ok(print(&called));
        }
        let _ = write!(std::io::stdout(), "{}", table.render(&called.json()));
        Ok(exit_code(called.status))
    }

    /// Asks for something without a body.
    pub async fn post(&self, path: &str) -> Result<ExitCode, ClientFault> {
        self.call(Method::POST, path, Some(&json!({}))).await.map(|called| print(&called))
    }

    /// Founds the core; waits a little for the controllers to start and to meet, and for the first
    /// leader. What reached nobody, or was refused since they have not met, does no harm when repeated.
    pub async fn found(&self) -> Result<ExitCode, ClientFault> {
        let mut look_count = 0;
        let called = loop {
            let asked = self.call(Method::POST, "/v1/core/found", Some(&json!({}))).await;
            let is_early = match &asked {
                Ok(called) => {
                    called.json()["error"].as_str().is_some_and(|text| text.contains("seed"))
                }
                Err(ClientFault::Unreachable(_)) => true,
                Err(_) => false,
            };
            look_count += 1;
            if !is_early || look_count > MOST_LOOKS {
                break asked?;
            }
            tokio::time::sleep(LOOK_AGAIN).await;
        };
        if called.status.is_success() {
            self.newest_serial().await?;
        }
        Ok(print(&called))
    }

    /// The newest serial, as soon as there is a leader that can tell it.
    async fn newest_serial(&self) -> Result<Value, ClientFault> {
        let mut serial = Value::Null;
        for _ in 0..MOST_LOOKS {
            let called = self.call(Method::GET, "/v1/spec", None).await?;
            serial = called.json()["serial"].clone();
            if serial.is_number() {
                break;
            }
            tokio::time::sleep(LOOK_AGAIN).await;
        }
        Ok(serial)
    }

    /// Sends a change of the spec. Numbers of the operators' own stand in for the serial it is built on.
    pub async fn change(&self, form: ChangeForm, sent: Sent<'_>) -> Result<ExitCode, ClientFault> {
        let file_text = std::fs::read_to_string(sent.file)
            .map_err(|fault| ClientFault::File(sent.file.to_owned(), fault))?;
        let value: Value = serde_json::from_str(&file_text)
            .map_err(|fault| ClientFault::NotJson(sent.file.to_owned(), fault))?;
        let mut body = match form {
            ChangeForm::Whole => json!({"spec": value}),
            ChangeForm::Patch => json!({"patch": value}),
            ChangeForm::Items => json!({"put": value["put"], "remove": value["remove"]}),
        };
        body["change_id"] = json!(sent.change_id.unwrap_or_else(made_up_id));
        body["wait"] = json!(if sent.wait { "in_force" } else { "accepted" });
        match (sent.number, sent.base_number, sent.base) {
            (None, None, Some(base)) => body["base_serial"] = json!(base),
            (None, None, None) => body["base_serial"] = self.newest_serial().await?,
            (number, base_number, base) => {
                body["number"] = json!(number);
                body["base_number"] = json!(base_number);
                if let Some(base) = base {
                    body["base_serial"] = json!(base);
                }
            }
        }
        let method = if form == ChangeForm::Whole { Method::PUT } else { Method::PATCH };
        self.call(method, "/v1/spec", Some(&body)).await.map(|called| print(&called))
    }

    /// Evacuates or restores a zone.
    pub async fn turn(
        &self,
        deed: &str,
        zone: &str,
        change_id: Option<String>,
        wait: bool,
        force: bool,
    ) -> Result<ExitCode, ClientFault> {
        let body = json!({
            "change_id": change_id.unwrap_or_else(made_up_id),
            "wait": if wait { "in_force" } else { "accepted" },
            "force": force,
        });
        let path = format!("/v1/localities/{zone}/{deed}");
        self.call(Method::POST, &path, Some(&body)).await.map(|called| print(&called))
    }

    /// Prints events, and goes on over changes of leader if asked to.
    pub async fn events(&self, from: u64, follow: bool) -> Result<ExitCode, ClientFault> {
        let mut next_number = from;
        let mut place_turn = 0;
        let mut hinted_place = None;
        let mut failed_count = 0;
        loop {
            let place = hinted_place.take().unwrap_or(self.places[place_turn % self.places.len()]);
            let path = format!("/v1/events?from={next_number}&follow={follow}");
            let ended = follow_lines(place, &path, |line| {
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
                Ok(LinesEnd::Elsewhere(leader)) => hinted_place = Some(leader),
                Ok(LinesEnd::Enough) => return Ok(ExitCode::SUCCESS),
                Ok(LinesEnd::Ended) if !follow => return Ok(ExitCode::SUCCESS),
                Ok(LinesEnd::Ended) => {}
                Ok(LinesEnd::Status(status)) if !follow => return Ok(exit_code(status)),
                Ok(LinesEnd::Status(_)) => place_turn += 1,
                Err(fault) => {
                    place_turn += 1;
                    failed_count += 1;
                    if !follow && failed_count >= self.places.len() {
                        return Err(ClientFault::Unreachable(fault));
                    }
                }
            }
            if hinted_place.is_none() {
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
        }
    }
}
