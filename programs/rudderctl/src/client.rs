//! A client of the operators' API, which every controller serves.

use crate::change::{ChangeFileError, ChangeRequest, SpecChange, ZoneChange};
use crate::lenient_json::{or_default, read_object};
use crate::output::{OutputFormat, exit_code, print_json};
use crate::table::Table;
use common::frames::SocketAddress;
use common::http::{CallError, CallResponse, call_json};
use hyper::Method;
use serde::Deserialize;
use serde_json::{Value, json};
use std::io::Write;
use std::process::ExitCode;
use std::time::Duration;

/// The limit on the time of one request to a controller; with `--wait`, this includes the time until the change is in
/// force.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);
/// The pause between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The maximum number of polls: for 8 seconds, plus the time of the requests.
const MAX_POLLS: usize = 40;

/// Why a command got no response to print.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ClientError {
    /// A text is not an IP address with a port.
    #[error("--at: not an IP number with port: {0:?}")]
    InvalidAddress(String),
    /// The file of a change cannot be read or is invalid.
    #[error(transparent)]
    ChangeFile(#[from] ChangeFileError),
    /// No controller was reached.
    #[error("no controller reached: {0}")]
    Unreachable(#[source] CallError),
    /// The response to a request was lost.
    #[error("answer lost: {0}")]
    ResponseLost(#[source] CallError),
    /// The response to a change was lost, so that its outcome is unknown: the change's id, and the cause.
    #[error("answer lost: {1}; ask: rudderctl change {0}")]
    ChangeOutcomeUnknown(String, #[source] CallError),
}

impl ClientError {
    /// Returns the exit code of the process.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::InvalidAddress(_) | Self::ChangeFile(_) => 2,
            Self::Unreachable(_) | Self::ResponseLost(_) | Self::ChangeOutcomeUnknown(..) => 4,
        }
    }

    /// Converts the error of a request with this change id.
    fn of_change(self, change_id: &str) -> Self {
        match self {
            Self::ResponseLost(error) if !change_id.is_empty() => {
                Self::ChangeOutcomeUnknown(change_id.to_owned(), error)
            }
            other => other,
        }
    }
}

/// A response with the newest spec, of which only the version is read.
#[derive(Default, Deserialize)]
struct SpecResponse {
    #[serde(default, rename = "serial", deserialize_with = "or_default")]
    version: Option<u64>,
}

/// A response that rejects a request.
#[derive(Default, Deserialize)]
struct ErrorResponse {
    #[serde(default, deserialize_with = "or_default")]
    error: Option<String>,
}

/// A client that calls the first controller that responds.
pub(crate) struct OperatorClient {
    addresses: Vec<SocketAddress>,
}

impl OperatorClient {
    /// Creates a client of the controllers at these addresses, separated by commas. Fails if an address is invalid.
    pub(crate) fn new(address_list: &str) -> Result<Self, ClientError> {
        let parse = |text: &str| {
            text.parse()
                .map(SocketAddress)
                .map_err(|_| ClientError::InvalidAddress(text.to_owned()))
        };
        let addresses = address_list
            .split(',')
            .map(parse)
            .collect::<Result<_, _>>()?;
        Ok(Self { addresses })
    }

    /// Returns the controllers' addresses, at least one.
    pub(crate) fn addresses(&self) -> &[SocketAddress] {
        &self.addresses
    }

    /// Sends a request to one controller after another, until one responds. The request is sent again only if it was
    /// certainly not sent before, or changes nothing.
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
                Err(error) => return Err(ClientError::ResponseLost(error)),
            }
        }
        Err(ClientError::Unreachable(last_error))
    }

    async fn call_and_print(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<ExitCode, ClientError> {
        let response = self.call(method, path, body).await?;
        Ok(print_json(&response))
    }

    async fn send_change(
        &self,
        method: Method,
        path: &str,
        request: &ChangeRequest,
    ) -> Result<ExitCode, ClientError> {
        self.call_and_print(method, path, Some(&json!(request)))
            .await
            .map_err(|error| error.of_change(request.change_id()))
    }

    /// Reads a document and prints it.
    pub(crate) async fn get(&self, path: &str) -> Result<ExitCode, ClientError> {
        self.call_and_print(Method::GET, path, None).await
    }

    /// Reads a list and prints it, as JSON unless a table is requested. A rejection is always printed as JSON.
    pub(crate) async fn list(
        &self,
        table: &Table,
        output: Option<OutputFormat>,
    ) -> Result<ExitCode, ClientError> {
        let response = self.call(Method::GET, table.path, None).await?;
        if output != Some(OutputFormat::Table) || !response.status.is_success() {
            return Ok(print_json(&response));
        }
        let _ = write!(std::io::stdout(), "{}", table.render(&response.json()));
        Ok(exit_code(response.status))
    }

    /// Sends a request without parameters and prints the response.
    pub(crate) async fn post(&self, path: &str) -> Result<ExitCode, ClientError> {
        self.call_and_print(Method::POST, path, Some(&json!({})))
            .await
    }

    /// Founds the control quorum. Waits for the controllers to start and to connect, and then for the first leader. It
    /// is safe to repeat a request that reached no controller, or that was rejected because the controllers have not
    /// connected yet.
    pub(crate) async fn found(&self) -> Result<ExitCode, ClientError> {
        let mut poll_count = 0;
        let response = loop {
            let result = self
                .call(Method::POST, "/v1/core/found", Some(&json!({})))
                .await;
            poll_count += 1;
            if !is_not_ready(&result) || poll_count > MAX_POLLS {
                break result?;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        };
        if response.status.is_success() {
            self.newest_version().await?;
        }
        Ok(print_json(&response))
    }

    /// Returns the newest version of the spec as soon as a leader has one, or `None` if none has after all polls.
    async fn newest_version(&self) -> Result<Option<u64>, ClientError> {
        for _ in 0..MAX_POLLS {
            let response = self.call(Method::GET, "/v1/spec", None).await?;
            let spec: SpecResponse = read_object(&response.json());
            if spec.version.is_some() {
                return Ok(spec.version);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(None)
    }

    /// Sends a change of the spec and prints the response. A change without a given base is based on the newest
    /// version.
    pub(crate) async fn change_spec(
        &self,
        change: SpecChange<'_>,
    ) -> Result<ExitCode, ClientError> {
        let method = change.kind.method();
        let is_base_unspecified = change.base.is_unspecified();
        let mut request = change.into_request()?;
        if is_base_unspecified {
            request.set_base_version(self.newest_version().await?);
        }
        self.send_change(method, "/v1/spec", &request).await
    }

    /// Evacuates or restores a zone and prints the response.
    pub(crate) async fn change_zone(&self, change: ZoneChange) -> Result<ExitCode, ClientError> {
        let path = change.path();
        self.send_change(Method::POST, &path, &change.into_request())
            .await
    }
}

/// Returns whether the controllers cannot found a quorum yet: none was reached, or they have not connected to their
/// seeds.
fn is_not_ready(result: &Result<CallResponse, ClientError>) -> bool {
    match result {
        Ok(response) => {
            let rejection: ErrorResponse = read_object(&response.json());
            rejection.error.is_some_and(|text| text.contains("seed"))
        }
        Err(error) => matches!(error, ClientError::Unreachable(_)),
    }
}
