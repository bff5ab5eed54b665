//! Following a body of lines as they come.

use super::CallError;
use crate::frames::SocketAddress;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::header::{HOST, LOCATION};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::ops::ControlFlow;
use std::time::Duration;
use tokio::net::TcpStream;

/// How a stream of lines ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LineStreamEnd {
    /// The reader had enough.
    StoppedByReader,
    /// The other side ended it.
    Ended,
    /// The answer had another status.
    Status(StatusCode),
    /// Another place answers; nothing was read.
    Redirect(SocketAddress),
}

/// Reads a body of lines as they come, until the reader has enough.
pub async fn follow_lines(
    address: SocketAddress,
    path: &str,
    mut on_line: impl FnMut(&str) -> ControlFlow<()>,
) -> Result<LineStreamEnd, CallError> {
    let connecting = TcpStream::connect(address.to_std());
    let stream = tokio::time::timeout(Duration::from_secs(1), connecting)
        .await
        .map_err(|_| CallError::ConnectTimeout)?
        .map_err(CallError::NotSent)?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(CallError::Lost)?;
    let driving = tokio::spawn(connection);
    let request = Request::builder()
        .uri(path)
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(CallError::Request)?;
    let mut response = sender
        .send_request(request)
        .await
        .map_err(CallError::Lost)?;
    if response.status() == StatusCode::TEMPORARY_REDIRECT {
        let location = response
            .headers()
            .get(LOCATION)
            .and_then(|value| value.to_str().ok());
        let authority = location
            .and_then(|text| text.strip_prefix("http://"))
            .and_then(|text| text.split('/').next());
        let redirect = authority
            .and_then(|text| text.parse().ok())
            .map(SocketAddress);
        return Ok(redirect.map_or(
            LineStreamEnd::Status(response.status()),
            LineStreamEnd::Redirect,
        ));
    }
    if response.status() != StatusCode::OK {
        return Ok(LineStreamEnd::Status(response.status()));
    }
    let mut unread_bytes: Vec<u8> = Vec::new();
    while let Some(frame) = response.body_mut().frame().await {
        let frame = frame.map_err(CallError::Lost)?;
        unread_bytes.extend_from_slice(frame.data_ref().map_or(&[], |data| data.as_ref()));
        while let Some(line_end) = unread_bytes.iter().position(|byte| *byte == b'\n') {
            let line_bytes: Vec<u8> = unread_bytes.drain(..=line_end).collect();
            if on_line(String::from_utf8_lossy(&line_bytes).trim_end()).is_break() {
                driving.abort();
                return Ok(LineStreamEnd::StoppedByReader);
            }
        }
    }
    Ok(LineStreamEnd::Ended)
}
