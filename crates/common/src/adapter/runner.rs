//! The codec of requests to runners and of their responses.

use crate::frames::{HeaderField, RequestPayload, SocketAddress};
use crate::identity::{FunctionKey, IdempotencyKey, InstanceId, RunnerId};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderMap;
use hyper::{Request, StatusCode};
use std::time::Duration;

/// A request to a runner.
pub struct RunnerRequest<'a> {
    /// The idempotency key.
    pub idempotency_key: &'a IdempotencyKey,
    /// The function.
    pub function: &'a FunctionKey,
    /// The intended runner; a different runner at its address rejects the request.
    pub runner: Option<RunnerId>,
    /// The platform's id of its instance.
    pub instance: Option<&'a InstanceId>,
    /// The number of this attempt, starting at one.
    pub attempt: u32,
    /// The time left until the deadline.
    pub remaining_time: Duration,
    /// What the caller sent.
    pub payload: &'a RequestPayload,
}

/// How the seal of a response can be checked.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SealKind {
    /// The seal is the product's own digest; see [`seal`](crate::seal).
    Digest,
    /// Only the caller can check the seal; a valid response must have one.
    CheckedByCaller,
}

/// A runner's response as received, not yet checked.
#[derive(Clone, Debug)]
pub struct RunnerResponse {
    /// The HTTP status.
    pub status: u16,
    /// The idempotency key that it names; empty if it names none or several.
    pub idempotency_key: String,
    /// The function that it names, if the dialect includes it.
    pub function: Option<String>,
    /// The runner that it names, if the dialect includes it.
    pub runner: Option<String>,
    /// The seal; empty if it has none.
    pub seal: String,
    /// How the seal can be checked.
    pub seal_kind: SealKind,
    /// Whether it reports that the runner rejected the request and did not run it.
    pub did_not_run: bool,
    /// Whether it reports that it comes from a runner other than the intended one.
    pub is_other_runner: bool,
    /// Whether the body may differ from what the runner produced: its end was not declared, or it is encoded.
    pub is_unreliable: bool,
    /// Whether the runner closes the connection.
    pub closes_connection: bool,
    /// The header fields that are forwarded to the caller.
    pub header_fields: Vec<HeaderField>,
    /// The body.
    pub body: Bytes,
}

/// How a starting runner is probed for readiness.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReadinessProbe {
    /// A GET of this path returns status 200, with the runner's identity in the header of this name.
    HttpGet(&'static str, &'static str),
    /// The runner accepts TCP connections.
    TcpConnect,
}

/// Writes requests to runners and reads their responses, in one dialect of HTTP.
pub trait RunnerCodec: Send + Sync {
    /// Writes a request.
    ///
    /// # Errors
    /// Returns an error if a header or the request target is not valid HTTP.
    fn encode_request(
        &self,
        address: SocketAddress,
        runner_request: &RunnerRequest<'_>,
    ) -> Result<Request<Full<Bytes>>, hyper::http::Error>;

    /// Reads a response.
    fn decode_response(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        body: Bytes,
    ) -> RunnerResponse;

    /// Returns how a starting runner is probed for readiness.
    fn readiness_probe(&self) -> ReadinessProbe;

    /// Returns the path at which a runner lists the requests that it is running, if the dialect has one.
    fn running_path(&self) -> Option<&'static str>;
}
