//! Captures HTTP requests and responses as the peer receives them, for comparison with fixtures.

use bytes::Bytes;
use common::http::{ConnectionLimits, HttpResponse, serve_connection};
use http_body_util::Full;
use hyper::Request;
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::sync::watch;

const PIPE_BYTES: usize = 1 << 20;

/// Returns a message as text, with LF line endings and its date replaced.
fn to_text(message: &[u8]) -> String {
    let text = String::from_utf8_lossy(message).replace("\r\n", "\n");
    let is_dated = |line: &str| line.starts_with("date: ");
    let lines = text
        .split('\n')
        .map(|line| if is_dated(line) { "date: DATE" } else { line });
    lines.collect::<Vec<_>>().join("\n")
}

/// Returns the response that a caller receives to a request. Both are text with LF line endings.
pub(crate) async fn response_from<H, F>(handler: H, request_text: &str) -> String
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = HttpResponse>,
{
    let (near, mut far) = duplex(PIPE_BYTES);
    let limits = ConnectionLimits {
        header_bytes: 64 << 10,
        idle: Duration::from_secs(10),
    };
    let (_stop_sender, stop) = watch::channel(false);
    let (head, body) = request_text
        .split_once("\n\n")
        .expect("a blank line after the head");
    let sent = format!("{}\r\n\r\n{body}", head.replace('\n', "\r\n"));
    far.write_all(sent.as_bytes())
        .await
        .expect("the request is sent");
    let reading = async {
        let mut message = Vec::new();
        far.read_to_end(&mut message).await.expect("a response");
        message
    };
    let serving = serve_connection(near, handler, limits, stop);
    let (message, ()) = tokio::join!(reading, serving);
    to_text(&message)
}

/// Returns a response as received on a connection that closes after it.
pub(crate) async fn response(response: HttpResponse) -> String {
    let pending_response = Arc::new(Mutex::new(Some(response)));
    let handler = move |_| {
        let response = pending_response
            .lock()
            .expect("the lock is not poisoned")
            .take()
            .expect("one request");
        async move { response }
    };
    response_from(handler, "GET / HTTP/1.1\nhost: h\nconnection: close\n\n").await
}

fn content_length(head: &str) -> usize {
    let length_text = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    length_text
        .and_then(|text| text.trim().parse().ok())
        .unwrap_or(0)
}

async fn read_request(mut far: DuplexStream) -> Vec<u8> {
    let mut message = Vec::new();
    loop {
        let byte = far.read_u8().await.expect("a complete request");
        message.push(byte);
        let is_head_complete = message.ends_with(b"\r\n\r\n");
        if is_head_complete {
            let mut body = vec![0; content_length(&String::from_utf8_lossy(&message))];
            far.read_exact(&mut body).await.expect("a complete body");
            message.extend(body);
            return message;
        }
    }
}

/// Returns a request as the server receives it.
#[allow(dead_code)]
pub(crate) async fn request(request: Request<Full<Bytes>>) -> String {
    let (near, far) = duplex(PIPE_BYTES);
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(near));
    let (mut sender, connection) = handshake.await.expect("a connection");
    let sending = sender.send_request(request);
    let (message, _, _) = tokio::join!(read_request(far), sending, connection);
    to_text(&message)
}
