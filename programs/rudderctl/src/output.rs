//! Prints responses, and maps them to exit codes.

use common::http::CallResponse;
use hyper::StatusCode;
use std::io::Write;
use std::process::ExitCode;
use std::str::FromStr;

/// The format in which a response is printed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum OutputFormat {
    /// As JSON, for programs.
    Json,
    /// As a table, for people.
    Table,
}

/// The text is not the name of a format.
#[derive(Debug, thiserror::Error)]
#[error("unknown format {0:?}; there are: json, table")]
pub(crate) struct UnknownFormatError(String);

impl FromStr for OutputFormat {
    type Err = UnknownFormatError;

    fn from_str(given_text: &str) -> Result<Self, UnknownFormatError> {
        match given_text {
            "json" => Ok(Self::Json),
            "table" => Ok(Self::Table),
            other => Err(UnknownFormatError(other.to_owned())),
        }
    }
}

/// Returns the exit code for a response: 0 if the request succeeded, 3 if it was rejected, 4 if its outcome is unknown.
pub(crate) fn exit_code(status: StatusCode) -> ExitCode {
    match status.as_u16() {
        200..=299 => ExitCode::SUCCESS,
        400..=499 => ExitCode::from(3),
        _ => ExitCode::from(4),
    }
}

/// Prints a response as JSON, and returns its exit code. A closed standard output is not an error.
pub(crate) fn print_json(response: &CallResponse) -> ExitCode {
    let body = response.json();
    let text = serde_json::to_string_pretty(&body).unwrap_or_default();
    let _ = writeln!(std::io::stdout(), "{text}");
    exit_code(response.status)
}
