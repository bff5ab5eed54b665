//! What is said to runners and read from them.

use crate::frames::{HeaderField, RequestPayload, SocketAddress};
use crate::identity::{FunctionKey, IdempotencyKey, InstanceId, RunnerId};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderMap;
use hyper::{Request, StatusCode};
use std::time::Duration;

/// What a send to a runner carries.
pub struct RunnerRequest<'a> {
    /// The try's identity.
    pub idempotency_key: &'a IdempotencyKey,
    /// The function.
    pub function: &'a FunctionKey,
    /// The runner that is meant; another one at its address refuses.
    pub runner: Option<RunnerId>,
    /// Its life, as the platform names it.
    pub instance: Option<&'a InstanceId>,
    /// The number of this send.
    pub attempt: u32,
    /// What is left of the budget.
    pub remaining_time: Duration,
    /// What the caller sent.
    pub payload: &'a RequestPayload,
}

/// How a seal can be checked.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SealKind {
    /// It is the product's own digest over names and body.
    Digest,
    /// Only the caller can check it; a good answer must have one.
    CheckedByCaller,
}

/// What a runner sent back, as it came.
#[derive(Clone, Debug)]
pub struct RunnerResponse {
    /// The status.
    pub status: u16,
    /// The identity that it names.
    pub idempotency_key: String,
    /// The function that it names, if this tongue names one.
    pub function: Option<String>,
    /// The runner that it names, if this tongue names one.
    pub runner: Option<String>,
    /// The seal; empty if it has none.
    pub seal: String,
    /// How the seal can be checked.
    pub seal_kind: SealKind,
    /// Whether it says that it did not run.
    pub did_not_run: bool,
    /// Whether it says that it is another runner than the one meant.
    pub is_other_runner: bool,
    /// Whether the body cannot be the runner's own: its end was not marked, or it is encoded.
    pub is_unreliable: bool,
    /// Whether the runner wants the connection closed.
    pub closes_connection: bool,
    /// Header lines that go on to the caller.
    pub header_fields: Vec<HeaderField>,
    /// The body.
    pub body: Bytes,
}

/// How a runner that boots is found ready.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReadinessProbe {
    /// It answers this path with 200 and its name in the header given.
    HttpGet(&'static str, &'static str),
    /// It accepts connections.
    TcpConnect,
}

/// How runners' HTTP is written and read.
pub trait RunnerCodec: Send + Sync {
    /// Writes a send.
    fn request(
        &self,
        address: SocketAddress,
        runner_request: &RunnerRequest<'_>,
    ) -> Result<Request<Full<Bytes>>, hyper::http::Error>;

    /// Reads an answer.
    fn read(&self, status: StatusCode, headers: &HeaderMap, body: Bytes) -> RunnerResponse;

    /// How a runner is found ready.
    fn readiness_probe(&self) -> ReadinessProbe;

    /// The path that lists what a runner is running, if there is one.
    fn running_path(&self) -> Option<&'static str>;
}
