//! HTTP/1.1 calls, each on its own connection, whose errors say whether the request was certainly not sent.

use crate::clock::MonotonicTime;
use crate::frames::SocketAddress;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::time::Duration;
use tokio::net::TcpStream;

/// The limit on the time to open a connection, regardless of the call's time-out.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The limit on the size of a response to [`call_json`], in bytes.
const MAX_JSON_RESPONSE_BYTES: usize = 64 << 20;

/// A complete response.
pub struct CallResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl CallResponse {
    /// Reads the body of a response whose head has arrived.
    ///
    /// # Errors
    /// [`CallError::Body`] if the body is cut short or larger than allowed.
    pub async fn receive(
        response: Response<Incoming>,
        max_body_bytes: usize,
    ) -> Result<Self, CallError> {
        let (head, body) = response.into_parts();
        let collected_body = Limited::new(body, max_body_bytes).collect().await;
        let body = collected_body.map_err(CallError::Body)?;
        Ok(Self {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        })
    }

    /// Parses the body as JSON; null if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

/// Why a call returned no response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection could not be opened; nothing was sent.
    #[error("no connection: {0}")]
    NotSent(#[source] std::io::Error),
    /// The connection could not be opened in time; nothing was sent.
    #[error("no connection in time")]
    ConnectTimeout,
    /// Something may have been sent, and the response was lost.
    #[error("answer lost: {0}")]
    Lost(#[source] hyper::Error),
    /// Something may have been sent, and no complete response arrived in time.
    #[error("no answer in time")]
    Timeout,
    /// The beginning of another response was found within the response's head.
    #[error("two answers ran into each other")]
    MergedResponses,
    /// The response's body was cut short, or is larger than allowed.
    #[error("answer's body: {0}")]
    Body(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The request could not be built; nothing was sent.
    #[error("request: {0}")]
    Request(#[source] hyper::http::Error),
}

impl CallError {
    /// Returns whether the peer has certainly received nothing.
    pub fn is_certainly_unsent(&self) -> bool {
        match self {
            Self::NotSent(_) | Self::ConnectTimeout | Self::Request(_) => true,
            // The connection closed before hyper started to write the request.
            Self::Lost(error) => error.is_canceled(),
            _ => false,
        }
    }
}

/// Opens a connection without sending anything on it, within `timeout` and at most one second.
///
/// # Errors
/// [`CallError::NotSent`] or [`CallError::ConnectTimeout`].
pub async fn connect(address: SocketAddress, timeout: Duration) -> Result<TcpStream, CallError> {
    let connect_timeout = timeout.min(MAX_CONNECT_TIMEOUT);
    let connected = tokio::time::timeout(connect_timeout, TcpStream::connect(address.to_std()));
    let opened_stream = match connected.await {
        Err(_) => return Err(CallError::ConnectTimeout),
        Ok(Err(error)) => return Err(CallError::NotSent(error)),
        Ok(Ok(opened_stream)) => opened_stream,
    };
    crate::sockets::set_socket_options(&opened_stream);
    Ok(opened_stream)
}

/// Sends a request and reads the complete response, while another future drives the connection.
async fn send_and_receive(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    max_body_bytes: usize,
) -> Result<CallResponse, CallError> {
    let response = sender
        .send_request(request)
        .await
        .map_err(CallError::Lost)?;
    CallResponse::receive(response, max_body_bytes).await
}

/// Sends a request on an open connection and reads the complete response.
///
/// # Errors
/// An error can leave it unknown whether the peer received the request; see [`CallError::is_certainly_unsent`].
pub async fn exchange(
    opened_stream: TcpStream,
    request: Request<Full<Bytes>>,
    timeout: Duration,
    max_body_bytes: usize,
) -> Result<CallResponse, CallError> {
    let exchanging = async {
        let (mut sender, connection) = http1::handshake(TokioIo::new(opened_stream))
            .await
            .map_err(CallError::Lost)?;
        // The end of the connection is not an outcome by itself: `send_and_receive` reports what it means for the call.
        let driving = async move {
            let _ = connection.await;
            std::future::pending::<()>().await;
        };
        tokio::select! {
            call_response = send_and_receive(&mut sender, request, max_body_bytes) => call_response,
            () = driving => Err(CallError::Timeout),
        }
    };
    match tokio::time::timeout(timeout, exchanging).await {
        Err(_) => Err(CallError::Timeout),
        Ok(call_response) => call_response,
    }
}

/// Opens a connection, sends a request and reads the complete response; `timeout` covers all of it.
///
/// # Errors
/// See [`CallError::is_certainly_unsent`].
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

/// Sends a request with a JSON body, or an empty one, and reads the complete response, of up to 64 MiB.
///
/// # Errors
/// The same as [`call`].
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
    call(address, request, timeout, MAX_JSON_RESPONSE_BYTES).await
}
