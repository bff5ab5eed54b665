//! Reads a response whose body is a stream of lines.

use super::CallError;
use crate::frames::SocketAddress;
use crate::sockets::probe_when_idle;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::header::{HOST, LOCATION};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::ops::ControlFlow;
use std::time::Duration;
use tokio::net::TcpStream;

/// The limit on the time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How a stream of lines ended without an error.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LineStreamEnd {
    /// The callback stopped it.
    StoppedByReader,
    /// The peer ended it.
    Ended,
    /// The response had a status other than 200.
    Status(StatusCode),
    /// The response redirects to another address; nothing was read.
    Redirect(SocketAddress),
}

/// Requests `path` and calls `on_line` with each line of the body as it arrives, until `on_line` breaks or the body
/// ends. There is no time-out once the connection is open.
///
/// # Errors
/// A [`CallError`] if no connection could be opened, or it was lost.
pub async fn follow_lines(
    address: SocketAddress,
    path: &str,
    mut on_line: impl FnMut(&str) -> ControlFlow<()>,
) -> Result<LineStreamEnd, CallError> {
    let connecting = TcpStream::connect(address.to_std());
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .map_err(|_| CallError::ConnectTimeout)?
        .map_err(CallError::NotSent)?;
    // After the request only the peer sends, so only keep-alive probes detect that it is unreachable.
    probe_when_idle(&stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(CallError::Lost)?;
    // Detached: the task ends when the response is dropped, or is aborted if `on_line` breaks.
    let connection_task = tokio::spawn(connection);
    let request = Request::builder()
        .uri(path)
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(CallError::Request)?;
    let mut response = sender
        .send_request(request)
        .await
        .map_err(CallError::Lost)?;
    if response.status() != StatusCode::OK {
        return Ok(end_without_lines(&response));
    }
    let mut unread_bytes: Vec<u8> = Vec::new();
    while let Some(frame) = response.body_mut().frame().await {
        let frame = frame.map_err(CallError::Lost)?;
        unread_bytes.extend_from_slice(frame.data_ref().map_or(&[], |data| data.as_ref()));
        while let Some(line_end) = unread_bytes.iter().position(|byte| *byte == b'\n') {
            let line_bytes: Vec<u8> = unread_bytes.drain(..=line_end).collect();
            if on_line(String::from_utf8_lossy(&line_bytes).trim_end()).is_break() {
                connection_task.abort();
                return Ok(LineStreamEnd::StoppedByReader);
            }
        }
    }
    Ok(LineStreamEnd::Ended)
}

fn end_without_lines(response: &Response<Incoming>) -> LineStreamEnd {
    let location = response
        .headers()
        .get(LOCATION)
        .filter(|_| response.status() == StatusCode::TEMPORARY_REDIRECT)
        .and_then(|value| value.to_str().ok());
    let authority = location
        .and_then(|text| text.strip_prefix("http://"))
        .and_then(|text| text.split('/').next());
    let redirect = authority
        .and_then(|text| text.parse().ok())
        .map(SocketAddress);
    redirect.map_or(
        LineStreamEnd::Status(response.status()),
        LineStreamEnd::Redirect,
    )
}
