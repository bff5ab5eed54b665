//! Calling over HTTP, so that what was sent, and what surely not, is known.

use crate::clock::Moment;
use crate::frames::Place;
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
pub struct Called {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl Called {
    /// The body as JSON, or null.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

/// Why a call brought nothing back.
#[derive(Debug)]
pub enum CallFault {
    /// No connection came about; nothing was sent.
    NotSent(std::io::Error),
    /// The connection took too long to come about; nothing was sent.
    ConnectTimeout,
    /// Something was sent, and the answer was lost.
    Lost(hyper::Error),
    /// Something was sent, and no answer came in time.
    Timeout,
    /// The beginning of another answer stands within the head.
    Merged,
    /// The answer's body was cut short or larger than allowed.
    Body(String),
    /// The request itself could not be made.
    Request(hyper::http::Error),
}

impl CallFault {
    /// Whether it is sure that the other side got nothing.
    pub fn is_surely_unsent(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::ConnectTimeout | Self::Request(_))
    }
}

impl fmt::Display for CallFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(fault) => write!(out, "no connection: {fault}"),
            Self::ConnectTimeout => write!(out, "no connection in time"),
            Self::Lost(fault) => write!(out, "answer lost: {fault}"),
            Self::Timeout => write!(out, "no answer in time"),
            Self::Merged => write!(out, "two answers ran into each other"),
            Self::Body(reason) => write!(out, "answer's body: {reason}"),
            Self::Request(fault) => write!(out, "request: {fault}"),
        }
    }
}

impl std::error::Error for CallFault {}

/// Opens a connection; nothing is sent on it yet.
pub async fn connect(place: Place, patience: Duration) -> Result<TcpStream, CallFault> {
    let connect_patience = patience.min(Duration::from_millis(1000));
    let connected = tokio::time::timeout(connect_patience, TcpStream::connect(place.address()));
    let opened_stream = match connected.await {
        Err(_) => return Err(CallFault::ConnectTimeout),
        Ok(Err(fault)) => return Err(CallFault::NotSent(fault)),
        Ok(Ok(opened_stream)) => opened_stream,
    };
    crate::sockets::tune(&opened_stream);
    Ok(opened_stream)
}

/// Sends a request on an open connection and takes the whole answer; whatever fails from here on may
/// have been received.
pub async fn exchange(
    opened_stream: TcpStream,
    request: Request<Full<Bytes>>,
    patience: Duration,
    largest_body: usize,
) -> Result<Called, CallFault> {
    let exchanging = async {
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(opened_stream))
                .await
                .map_err(CallFault::Lost)?;
        let driving = async move {
            let _ = connection.await;
            std::future::pending::<()>().await;
        };
        let asking = async {
            let response = sender.send_request(request).await.map_err(CallFault::Lost)?;
            let (head, body) = response.into_parts();
            let collected_body = Limited::new(body, largest_body).collect().await;
            let body = collected_body.map_err(|fault| CallFault::Body(fault.to_string()))?;
            Ok(Called { status: head.status, headers: head.headers, body: body.to_bytes() })
        };
        tokio::select! {
            called = asking => called,
            () = driving => Err(CallFault::Timeout),
        }
    };
    match tokio::time::timeout(patience, exchanging).await {
        Err(_) => Err(CallFault::Timeout),
        Ok(called) => called,
    }
}

/// Calls over a connection of its own, so that what was sent, and what surely not, is known.
pub async fn call(
    place: Place,
    request: Request<Full<Bytes>>,
    patience: Duration,
    largest_body: usize,
) -> Result<Called, CallFault> {
    let began_at = Moment::now();
    let opened_stream = connect(place, patience).await?;
    let patience_left = patience.saturating_sub(Moment::now().since(began_at));
    exchange(opened_stream, request, patience_left, largest_body).await
}

/// Calls with a JSON body, or none.
pub async fn call_json(
    place: Place,
    method: Method,
    path: &str,
    body: Option<&Value>,
    patience: Duration,
) -> Result<Called, CallFault> {
    let body_bytes = body.map(|value| Bytes::from(value.to_string())).unwrap_or_default();
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, place.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body_bytes))
        .map_err(CallFault::Request)?;
    call(place, request, patience, 64 << 20).await
}
