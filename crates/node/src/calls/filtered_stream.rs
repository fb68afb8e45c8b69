//! A stream without answers to earlier requests.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::calls::answer_filter::AnswerFilter;
use crate::calls::limited_stream::LimitedStream;

/// The number of bytes that are read at a time while the head of an answer is awaited.
const HEAD_READ_SIZE: usize = 2 * 1024;

/// A filter that a connection shares with its stream. It is locked for single steps.
#[derive(Debug, Clone, Default)]
pub(crate) struct SharedFilter(Arc<Mutex<AnswerFilter>>);

impl SharedFilter {
    pub(crate) fn lock(&self) -> MutexGuard<'_, AnswerFilter> {
        // A poisoned filter would pass on what it holds, which the reader of the answer checks.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A stream whose reader doesn't see the answers that its filter removes.
#[derive(Debug)]
pub(crate) struct FilteredStream {
    stream: LimitedStream,
    filter: SharedFilter,
}

impl FilteredStream {
    pub(crate) const fn new(stream: LimitedStream, filter: SharedFilter) -> Self {
        Self { stream, filter }
    }
}

impl AsyncRead for FilteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let mut filter = this.filter.lock();
        while !filter.has_checked() {
            if filter.is_passing() {
                return Pin::new(&mut this.stream).poll_read(cx, buf);
            }
            let mut bytes = [0; HEAD_READ_SIZE];
            let mut part = ReadBuf::new(&mut bytes);
            ready!(Pin::new(&mut this.stream).poll_read(cx, &mut part))?;
            match part.filled() {
                [] => filter.end(),
                received => filter.receive(received),
            }
        }
        filter.take_checked(buf);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for FilteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
