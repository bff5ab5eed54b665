//! Following a body of lines as they come.

use super::CallFault;
use crate::frames::Place;
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
pub enum LinesEnd {
    /// The reader had enough.
    Enough,
    /// The other side ended it.
    Ended,
    /// The answer had another status.
    Status(StatusCode),
    /// Another place answers; nothing was read.
    Elsewhere(Place),
}

/// Reads a body of lines as they come, until the reader has enough.
pub async fn follow_lines(
    place: Place,
    path: &str,
    mut take_line: impl FnMut(&str) -> ControlFlow<()>,
) -> Result<LinesEnd, CallFault> {
    let connecting = TcpStream::connect(place.address());
    let stream = tokio::time::timeout(Duration::from_secs(1), connecting)
        .await
        .map_err(|_| CallFault::ConnectTimeout)?
        .map_err(CallFault::NotSent)?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(CallFault::Lost)?;
    let driving = tokio::spawn(connection);
    let request = Request::builder()
        .uri(path)
        .header(HOST, place.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(CallFault::Request)?;
    let mut response = sender.send_request(request).await.map_err(CallFault::Lost)?;
    if response.status() == StatusCode::TEMPORARY_REDIRECT {
        let location = response.headers().get(LOCATION).and_then(|value| value.to_str().ok());
        let authority = location
            .and_then(|text| text.strip_prefix("http://"))
            .and_then(|text| text.split('/').next());
        let elsewhere = authority.and_then(|text| text.parse().ok()).map(Place);
        return Ok(elsewhere.map_or(LinesEnd::Status(response.status()), LinesEnd::Elsewhere));
    }
    if response.status() != StatusCode::OK {
        return Ok(LinesEnd::Status(response.status()));
    }
    let mut unread_bytes: Vec<u8> = Vec::new();
    while let Some(frame) = response.body_mut().frame().await {
        let frame = frame.map_err(CallFault::Lost)?;
        unread_bytes.extend_from_slice(frame.data_ref().map_or(&[], |data| data.as_ref()));
        while let Some(line_end) = unread_bytes.iter().position(|byte| *byte == b'\n') {
            let line_bytes: Vec<u8> = unread_bytes.drain(..=line_end).collect();
            if take_line(String::from_utf8_lossy(&line_bytes).trim_end()).is_break() {
                driving.abort();
                return Ok(LinesEnd::Enough);
            }
        }
    }
    Ok(LinesEnd::Ended)
}
