//! A TCP stream that reads no more than its owner allows.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::calls::read_allowance::ReadAllowance;
use crate::counted_stream::CountedStream;

/// A stream that reads no more than its allowance.
///
/// Once that is used up, a read is pending and nothing wakes its task: the owner of the allowance
/// checks it after each poll, and either sets a new one and polls again, or drops the stream.
#[derive(Debug)]
pub(crate) struct LimitedStream {
    stream: CountedStream,
    allowance: ReadAllowance,
}

impl LimitedStream {
    pub(crate) const fn new(stream: CountedStream, allowance: ReadAllowance) -> Self {
        Self { stream, allowance }
    }
}

impl LimitedStream {
    /// Reads at most `length` bytes into `buf`, which has room for more.
    fn poll_read_part(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        length: usize,
    ) -> Poll<io::Result<()>> {
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(length));
        let result = Pin::new(&mut self.stream).poll_read(cx, &mut part);
        let read = part.filled().len();
        buf.advance(read);
        result
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.is_used_up() {
            return Poll::Pending;
        }
        let length = buf.remaining().min(self.allowance.left());
        let before = buf.filled().len();
        let result = if length == buf.remaining() {
            Pin::new(&mut self.stream).poll_read(cx, buf)
        } else {
            self.poll_read_part(cx, buf, length)
        };
        self.allowance.subtract(buf.filled().len() - before);
        result
    }
}

impl AsyncWrite for LimitedStream {
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
