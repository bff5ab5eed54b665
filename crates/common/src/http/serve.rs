//! HTTP/1.1 servers: responses, bodies of limited size, and graceful shutdown.

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

/// Creates a JSON response.
pub fn json_response(status: StatusCode, value: &Value) -> HttpResponse {
    let mut response = Response::new(full_body(value.to_string()));
    *response.status_mut() = status;
    response.headers_mut().insert(
        CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    response
}

/// Creates a plain-text response with the content type of the Prometheus text format.
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

/// Creates a body whose chunks are sent as they arrive from the channel, until the channel is closed.
pub fn stream_body(chunks: mpsc::Receiver<Bytes>) -> Body {
    ChannelBody(chunks).boxed_unsync()
}

/// Why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// It is larger than allowed.
    #[error("body too large")]
    TooLarge,
    /// The connection was lost before the end of the body.
    #[error("body broke off")]
    Interrupted,
    /// It did not arrive in time.
    #[error("body came too slowly")]
    TooSlow,
}

/// Reads a complete body, within a limit on its size and on the time that it takes.
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
    /// The maximum size of a head in bytes; less than 8 KiB has the effect of 8 KiB.
    pub header_bytes: usize,
    /// The limit on the time until the next head has arrived, including idle time before it.
    pub idle: Duration,
}

/// The smallest buffer for a head, in bytes: hyper accepts no smaller one.
const MIN_HEAD_BUFFER: usize = 8 << 10;
/// The maximum size of a head that [`serve`] accepts, in bytes.
const MAX_HEAD_LENGTH: usize = 400 << 10;
/// The limit on the time until the next head has arrived at [`serve`].
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The pause after a connection could not be accepted, for example because the process has too many open files.
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

/// Serves like [`serve`], with limits that are looked up for each connection.
///
/// Each connection has its own detached task, which holds a sender of a channel: the function returns when all tasks
/// have ended and dropped theirs.
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

/// Serves one connection until it ends. When `stop` becomes true, the connection is closed after the request in
/// progress, or after a request that has already arrived.
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
    // A request that has already arrived is noticed only after the task has yielded to the runtime.
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
