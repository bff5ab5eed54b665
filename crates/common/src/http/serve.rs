//! Serving over HTTP/1.1: responses, bodies within limits, and graceful shutdown.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Frame, Incoming};
use hyper::header::CONTENT_TYPE;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::Value;
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

/// A response's body.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// A response.
pub type HttpResponse = Response<Body>;

/// Creates a body from bytes.
pub fn full_body(body_bytes: impl Into<Bytes>) -> Body {
    Full::new(body_bytes.into()).boxed_unsync()
}

/// Creates a response of JSON.
pub fn json_response(status: StatusCode, value: &Value) -> HttpResponse {
    let mut response = Response::new(full_body(value.to_string()));
    *response.status_mut() = status;
    response.headers_mut().insert(
        CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    response
}

/// Creates a response of plain text, in the version that Prometheus reads.
pub fn text_response(status: StatusCode, text: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response.headers_mut().insert(
        CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("text/plain; version=0.0.4"),
    );
    response
}

struct ChannelBody(mpsc::Receiver<Bytes>);

impl hyper::body::Body for ChannelBody {
    type Data = Bytes;
    type Error = Infallible;
    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0
            .poll_recv(context)
            .map(|chunk| chunk.map(|bytes| Ok(Frame::data(bytes))))
    }
}

/// Creates a body whose chunks are sent as they arrive from the channel, until that is closed.
pub fn stream_body(chunks: mpsc::Receiver<Bytes>) -> Body {
    ChannelBody(chunks).boxed_unsync()
}

/// Why a body was not read.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// It is larger than allowed.
    #[error("body too large")]
    TooLarge,
    /// The connection broke before its end.
    #[error("body broke off")]
    Interrupted,
    /// It did not arrive in time.
    #[error("body came too slowly")]
    TooSlow,
}

/// Reads a complete body within limits of size and time.
pub async fn read_body(
    body: Incoming,
    max_body_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, BodyError> {
    match tokio::time::timeout(timeout, Limited::new(body, max_body_bytes).collect()).await {
        Err(_) => Err(BodyError::TooSlow),
        Ok(Ok(collected_body)) => Ok(collected_body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(BodyError::TooLarge)
        }
        Ok(Err(_)) => Err(BodyError::Interrupted),
    }
}

/// The limits of a caller's connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ConnectionLimits {
    /// The largest head in bytes; at least 8 KiB are always allowed.
    pub header_bytes: usize,
    /// How long the next head may take to arrive, idle time before it included.
    pub idle: Duration,
}

/// The smallest buffer for a head, in bytes: hyper accepts no smaller one.
const MIN_HEAD_BUFFER: usize = 8 << 10;
/// The largest head that [`serve`] accepts, in bytes.
const MAX_HEAD_LENGTH: usize = 400 << 10;
/// How long the next head may take to arrive at [`serve`].
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The pause after a connection could not be accepted, as when the process has too many open files.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Serves HTTP/1.1 until `stop` becomes true, then waits until the requests in progress are answered.
pub async fn serve<H, F>(listener: TcpListener, handler: H, stop: watch::Receiver<bool>)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HttpResponse> + Send + 'static,
{
    let limits = || ConnectionLimits {
        header_bytes: MAX_HEAD_LENGTH,
        idle: IDLE_TIMEOUT,
    };
    serve_with_limits(listener, handler, limits, stop).await;
}

/// Serves as [`serve`] does, with limits that are looked up for each connection.
///
/// Each connection has a task of its own, which is detached but joined by a channel: the function returns when all of
/// them have ended.
pub async fn serve_with_limits<H, F>(
    listener: TcpListener,
    handler: H,
    limits: impl Fn() -> ConnectionLimits,
    mut stop: watch::Receiver<bool>,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HttpResponse> + Send + 'static,
{
    let (open_token, mut all_closed) = mpsc::channel::<()>(1);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stopping| *stopping) => break,
        };
        let Ok((accepted_stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        let _ = accepted_stream.set_nodelay(true);
        let connection_token = open_token.clone();
        let serving = serve_connection(accepted_stream, handler.clone(), limits(), stop.clone());
        tokio::spawn(async move {
            serving.await;
            drop(connection_token);
        });
    }
    drop(listener);
    drop(open_token);
    let _ = all_closed.recv().await;
}

/// Serves one connection until it ends. When `stop` becomes true it is closed after the request in progress, or after one
/// that had arrived by then.
pub async fn serve_connection<S, H, F>(
    stream: S,
    handler: H,
    limits: ConnectionLimits,
    mut stop: watch::Receiver<bool>,
) where
    S: AsyncRead + AsyncWrite + Unpin,
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = HttpResponse>,
{
    let service = service_fn(move |request| {
        let answering = handler(request);
        async move { Ok::<_, Infallible>(answering.await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle)
        .max_buf_size(limits.header_bytes.max(MIN_HEAD_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let has_ended = tokio::select! {
        biased;
        _ = connection.as_mut() => true,
        _ = stop.wait_for(|stopping| *stopping) => false,
    };
    // The runtime notices what has arrived only once the task has yielded.
    let has_ended = has_ended
        || tokio::select! {
            biased;
            _ = connection.as_mut() => true,
            () = tokio::task::yield_now() => false,
        };
    if !has_ended {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}
