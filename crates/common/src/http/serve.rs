//! Serving over HTTP: answers, bodies within limits, connections that end in order.

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
use std::fmt;
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
pub type Served = Response<Body>;

/// A body of known bytes.
pub fn full(body_bytes: impl Into<Bytes>) -> Body {
    Full::new(body_bytes.into()).boxed_unsync()
}

/// A response of JSON.
pub fn json_response(status: StatusCode, value: &Value) -> Served {
    let mut response = Response::new(full(value.to_string()));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static("application/json"));
    response
}

/// A response of plain text.
pub fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Served {
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static("text/plain; version=0.0.4"));
    response
}

struct Receiving(mpsc::Receiver<Bytes>);

impl hyper::body::Body for Receiving {
    type Data = Bytes;
    type Error = Infallible;
    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.poll_recv(context).map(|chunk| chunk.map(|bytes| Ok(Frame::data(bytes))))
    }
}

/// A body that is sent as it comes.
pub fn stream_body(chunks: mpsc::Receiver<Bytes>) -> Body {
    Receiving(chunks).boxed_unsync()
}

/// Why a body was not read.
#[derive(Debug)]
pub enum BodyFault {
    /// It is larger than allowed.
    TooLarge,
    /// It broke off.
    Broken,
    /// It came too slowly.
    Slow,
}

impl fmt::Display for BodyFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::TooLarge => "body too large",
            Self::Broken => "body broke off",
            Self::Slow => "body came too slowly",
        })
    }
}

impl std::error::Error for BodyFault {}

/// Reads a whole body, bounded in size and time.
pub async fn read_body(
    body: Incoming,
    largest_body: usize,
    patience: Duration,
) -> Result<Bytes, BodyFault> {
    match tokio::time::timeout(patience, Limited::new(body, largest_body).collect()).await {
        Err(_) => Err(BodyFault::Slow),
        Ok(Ok(collected_body)) => Ok(collected_body.to_bytes()),
        Ok(Err(fault)) if fault.is::<http_body_util::LengthLimitError>() => {
            Err(BodyFault::TooLarge)
        }
        Ok(Err(_)) => Err(BodyFault::Broken),
    }
}

/// What a caller's connection may take.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct CallerTimes {
    /// The largest head, in bytes.
    pub header_bytes: usize,
    /// How long the next head may take, the silence before it included.
    pub idle: Duration,
}

const SMALLEST_HEAD: usize = 8 << 10;
const LARGEST_HEAD: usize = 400 << 10;
const IDLE: Duration = Duration::from_secs(10);

/// Serves HTTP/1.1 until told to stop, then lets open transactions end.
pub async fn serve<H, F>(listener: TcpListener, handler: H, stop: watch::Receiver<bool>)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Served> + Send + 'static,
{
    let times = || CallerTimes { header_bytes: LARGEST_HEAD, idle: IDLE };
    serve_callers(listener, handler, times, stop).await;
}

/// The same, with limits that are looked up for each connection.
pub async fn serve_callers<H, F>(
    listener: TcpListener,
    handler: H,
    times: impl Fn() -> CallerTimes,
    mut stop: watch::Receiver<bool>,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Served> + Send + 'static,
{
    let (open_token, mut all_closed) = mpsc::channel::<()>(1);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stopping| *stopping) => break,
        };
        let Ok((accepted_stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let _ = accepted_stream.set_nodelay(true);
        let connection_token = open_token.clone();
        let serving = serve_connection(accepted_stream, handler.clone(), times(), stop.clone());
        tokio::spawn(async move {
            serving.await;
            drop(connection_token);
        });
    }
    drop(listener);
    drop(open_token);
    let _ = all_closed.recv().await;
}

/// Serves one connection until it ends; when told to stop, it ends with the transaction that is open.
pub async fn serve_connection<S, H, F>(
    stream: S,
    handler: H,
    times: CallerTimes,
    mut stop: watch::Receiver<bool>,
) where
    S: AsyncRead + AsyncWrite + Unpin,
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Served>,
{
    let service = service_fn(move |request| {
        let answering = handler(request);
        async move { Ok::<_, Infallible>(answering.await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(times.idle)
        .max_buf_size(times.header_bytes.max(SMALLEST_HEAD))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        _ = connection.as_mut() => true,
        _ = stop.wait_for(|stopping| *stopping) => false,
    };
    if !ended {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}
