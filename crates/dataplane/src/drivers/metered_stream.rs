//! A byte stream that counts the bytes it has accepted, and checks a permit before the first byte of a request.

use super::connector::ByteStream;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The permit to send one request.
pub struct WritePermit {
    /// Returns whether the request may still be sent. Called right before its first byte is written.
    pub is_valid: Box<dyn Fn() -> bool + Send>,
    /// Called right after the first byte is written.
    pub on_first_write: Box<dyn Fn() + Send>,
}

impl WritePermit {
    /// Returns a permit that is always valid.
    pub fn always() -> Self {
        Self {
            is_valid: Box::new(|| true),
            on_first_write: Box::new(|| {}),
        }
    }
}

/// The permit became invalid before the first byte was written. Nothing was sent.
#[derive(Debug, Error)]
#[error("write permit became invalid before the first byte was written")]
pub(super) struct WriteNotPermittedError;

/// The write state of a stream, shared with the sender that uses the stream.
#[derive(Default)]
pub(super) struct WriteMeter {
    written: AtomicU64,
    permit: Mutex<Option<WritePermit>>,
}

impl WriteMeter {
    /// Returns the number of bytes that the stream has accepted so far. Accepted bytes may have been sent.
    pub(super) fn written(&self) -> u64 {
        self.written.load(Ordering::Acquire)
    }

    /// Sets the permit that is checked before the next byte is written.
    pub(super) fn set_permit(&self, permit: WritePermit) {
        *self.permit.lock().unwrap_or_else(PoisonError::into_inner) = Some(permit);
    }

    fn write(&self, writing: impl FnOnce() -> Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let mut permit = self.permit.lock().unwrap_or_else(PoisonError::into_inner);
        if permit.as_ref().is_some_and(|permit| !(permit.is_valid)()) {
            return Poll::Ready(Err(io::Error::other(WriteNotPermittedError)));
        }
        let polled = writing();
        if let Poll::Ready(Ok(count)) = polled
            && count > 0
        {
            self.written.fetch_add(count as u64, Ordering::AcqRel);
            if let Some(permit) = permit.take() {
                (permit.on_first_write)();
            }
        }
        polled
    }
}

/// A byte stream whose writes go through a [`WriteMeter`].
pub(super) struct MeteredStream {
    inner: Box<dyn ByteStream>,
    meter: Arc<WriteMeter>,
}

impl MeteredStream {
    /// Wraps a stream and returns it with its meter, which starts at zero.
    pub(super) fn new(inner: Box<dyn ByteStream>) -> (Self, Arc<WriteMeter>) {
        let meter = Arc::new(WriteMeter::default());
        (
            Self {
                inner,
                meter: meter.clone(),
            },
            meter,
        )
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let stream = self.get_mut();
        let inner = &mut stream.inner;
        stream
            .meter
            .write(|| Pin::new(inner).poll_write(context, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let stream = self.get_mut();
        let inner = &mut stream.inner;
        stream
            .meter
            .write(|| Pin::new(inner).poll_write_vectored(context, slices))
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
