//! Calling over HTTP, so that what was sent, and what surely not, is known.

use crate::clock::MonotonicTime;
use crate::frames::SocketAddress;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::fmt;
use std::time::Duration;
use tokio::net::TcpStream;

/// What came back.
pub struct CallResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl CallResponse {
    /// The body as JSON, or null.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

/// Why a call brought nothing back.
#[derive(Debug)]
pub enum CallError {
    /// No connection came about; nothing was sent.
    NotSent(std::io::Error),
    /// The connection took too long to come about; nothing was sent.
    ConnectTimeout,
    /// Something was sent, and the answer was lost.
    Lost(hyper::Error),
    /// Something was sent, and no answer came in time.
    Timeout,
    /// The beginning of another answer stands within the head.
    MergedResponses,
    /// The answer's body was cut short or larger than allowed.
    Body(String),
    /// The request itself could not be made.
    Request(hyper::http::Error),
}

impl CallError {
    /// Whether it is sure that the other side got nothing.
    pub fn is_certainly_unsent(&self) -> bool {
        matches!(
            self,
            Self::NotSent(_) | Self::ConnectTimeout | Self::Request(_)
        )
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(error) => write!(out, "no connection: {error}"),
            Self::ConnectTimeout => write!(out, "no connection in time"),
            Self::Lost(error) => write!(out, "answer lost: {error}"),
            Self::Timeout => write!(out, "no answer in time"),
            Self::MergedResponses => write!(out, "two answers ran into each other"),
            Self::Body(reason) => write!(out, "answer's body: {reason}"),
            Self::Request(error) => write!(out, "request: {error}"),
        }
    }
}

impl std::error::Error for CallError {}

/// Opens a connection; nothing is sent on it yet.
pub async fn connect(address: SocketAddress, timeout: Duration) -> Result<TcpStream, CallError> {
    let connect_timeout = timeout.min(Duration::from_millis(1000));
    let connected = tokio::time::timeout(connect_timeout, TcpStream::connect(address.to_std()));
    let opened_stream = match connected.await {
        Err(_) => return Err(CallError::ConnectTimeout),
        Ok(Err(error)) => return Err(CallError::NotSent(error)),
        Ok(Ok(opened_stream)) => opened_stream,
    };
    crate::sockets::set_socket_options(&opened_stream);
    Ok(opened_stream)
}

/// Sends a request on an open connection and takes the whole answer; whatever fails from here on may
/// have been received.
pub async fn exchange(
    opened_stream: TcpStream,
    request: Request<Full<Bytes>>,
    timeout: Duration,
    max_body_bytes: usize,
) -> Result<CallResponse, CallError> {
    let exchanging = async {
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(opened_stream))
                .await
                .map_err(CallError::Lost)?;
        let driving = async move {
            let _ = connection.await;
            std::future::pending::<()>().await;
        };
        let receiving = async {
            let response = sender
                .send_request(request)
                .await
                .map_err(CallError::Lost)?;
            let (head, body) = response.into_parts();
            let collected_body = Limited::new(body, max_body_bytes).collect().await;
            let body = collected_body.map_err(|error| CallError::Body(error.to_string()))?;
            Ok(CallResponse {
                status: head.status,
                headers: head.headers,
                body: body.to_bytes(),
            })
        };
        tokio::select! {
            call_response = receiving => call_response,
            () = driving => Err(CallError::Timeout),
        }
    };
    match tokio::time::timeout(timeout, exchanging).await {
        Err(_) => Err(CallError::Timeout),
        Ok(call_response) => call_response,
    }
}

/// Calls over a connection of its own, so that what was sent, and what surely not, is known.
pub async fn call(
    address: SocketAddress,
    request: Request<Full<Bytes>>,
    timeout: Duration,
    max_body_bytes: usize,
) -> Result<CallResponse, CallError> {
    let started_at = MonotonicTime::now();
    let opened_stream = connect(address, timeout).await?;
    let remaining_timeout = timeout.saturating_sub(MonotonicTime::now().since(started_at));
    exchange(opened_stream, request, remaining_timeout, max_body_bytes).await
}

/// Calls with a JSON body, or none.
pub async fn call_json(
    address: SocketAddress,
    method: Method,
    path: &str,
    body: Option<&Value>,
    timeout: Duration,
) -> Result<CallResponse, CallError> {
    let body_bytes = body
        .map(|value| Bytes::from(value.to_string()))
        .unwrap_or_default();
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body_bytes))
        .map_err(CallError::Request)?;
    call(address, request, timeout, 64 << 20).await
}
