//! Bodies of the answers that a node passes on.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use almondsail_core::RefusalReason;
use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::BodyExt as _;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::Sleep;

use crate::calls::answer_end::AnswerEnd;
use crate::calls::answer_limit::AnswerLimit;
use crate::calls::answer_reservation::AnswerReservation;
use crate::calls::answer_stream::{AnswerStream, StreamError};
use crate::calls::answer_watcher::AnswerWatcher;
use crate::calls::client_connection::ClientConnection;
use crate::calls::connection_pool::ConnectionPool;

/// An HTTP response of a backend server, fresh or recorded.
pub(crate) type Answer = Response<AnswerBody>;

/// Streams the body of an answer and returns its connection to the pool at the end.
///
/// The last bytes are passed on only when it is known that the answer ended with
/// them. Any other end is an error, which makes hyper close the caller's connection.
/// Dropping the body before its end closes the connection to the next hop.
#[derive(Debug)]
pub(crate) struct AnswerBody {
    source: Source,
    status: StatusCode,
    /// Bytes that were read ahead and not passed on yet.
    prefetched: Option<Bytes>,
    /// Notified of the data and, once, of the end; empty after that.
    watchers: Vec<AnswerWatcher>,
    ended: Option<AnswerEnd>,
}

#[derive(Debug)]
enum Source {
    /// A recorded answer in memory; `None` after it was read.
    Recorded(Option<Bytes>),
    Stream(Box<AnswerStream>),
}

impl AnswerBody {
    /// Wraps `incoming`, which arrives over `client_connection` and must end by `timeout` and within
    /// `limit`.
    pub(crate) fn stream(
        status: StatusCode,
        incoming: Incoming,
        connection: ClientConnection,
        pool: Arc<ConnectionPool>,
        timeout: Pin<Box<Sleep>>,
        limit: AnswerLimit,
    ) -> Self {
        let stream = AnswerStream::new(incoming, connection, pool, timeout, limit);
        Self::new(status, Source::Stream(Box::new(stream)))
    }

    /// Wraps the bytes of a recorded answer.
    pub(crate) fn recorded(status: StatusCode, bytes: Bytes) -> Self {
        Self::new(status, Source::Recorded(Some(bytes)))
    }

    const fn new(status: StatusCode, source: Source) -> Self {
        Self { source, status, prefetched: None, watchers: Vec::new(), ended: None }
    }

    /// Adds a watcher. It is notified at once if the body has already ended, as an empty body
    /// does in [`Self::prefetch`].
    pub(crate) fn watch(&mut self, watcher: AnswerWatcher) {
        match self.ended {
            Some(end) => watcher.on_end(self.status, end),
            None => self.watchers.push(watcher),
        }
    }

    /// Reads the data that has already arrived, so that an early error is reported with its reason
    /// and not only by a closed connection.
    pub(crate) async fn prefetch(&mut self) -> Result<(), RefusalReason> {
        let poll = std::future::poll_fn(|cx| Poll::Ready(self.poll_source(cx))).await;
        match poll {
            Poll::Pending => {}
            Poll::Ready(Ok(Some(data))) => self.prefetched = Some(data),
            Poll::Ready(Ok(None)) => self.end(AnswerEnd::Complete),
            Poll::Ready(Err(error)) => {
                self.end(error.answer_end());
                return Err(error.reason());
            }
        }
        Ok(())
    }

    /// Takes the memory that the body occupies; `None` if it is not kept in memory.
    pub(crate) fn take_reservation(&mut self) -> Option<AnswerReservation> {
        match &mut self.source {
            Source::Recorded(_) => None,
            Source::Stream(stream) => stream.take_reservation(),
        }
    }

    /// Reads a body of at most 16 KiB to its end, so that its connection can be reused. A longer
    /// body is dropped, which closes the connection.
    pub(crate) async fn discard(mut self) {
        const MAX_DISCARDED: usize = 16 * 1024;
        let mut read = 0;
        while let Some(Ok(frame)) = self.frame().await {
            read += frame.data_ref().map_or(0, Bytes::len);
            if read > MAX_DISCARDED {
                return;
            }
        }
    }

    fn poll_source(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, StreamError>> {
        match &mut self.source {
            Source::Recorded(bytes) => {
                Poll::Ready(Ok(bytes.take().filter(|bytes| !bytes.is_empty())))
            }
            Source::Stream(stream) => stream.poll_frame(cx),
        }
    }

    fn end(&mut self, end: AnswerEnd) {
        self.ended = Some(end);
        for watcher in self.watchers.drain(..) {
            watcher.on_end(self.status, end);
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if self.ended.is_some() {
            return Poll::Ready(None);
        }
        let result = match self.prefetched.take() {
            Some(data) => Ok(Some(data)),
            None => ready!(self.poll_source(cx)),
        };
        match result {
            Ok(Some(data)) => {
                for watcher in &mut self.watchers {
                    watcher.on_data(&data);
                }
                // hyper doesn't poll again after the last byte of a body of known length.
                if self.is_complete() {
                    self.end(AnswerEnd::Complete);
                }
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Ok(None) => {
                self.end(AnswerEnd::Complete);
                Poll::Ready(None)
            }
            Err(error) => {
                self.end(error.answer_end());
                Poll::Ready(Some(Err(io::Error::other(error.reason().as_str()))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.ended.is_some() || self.is_complete()
    }

    fn size_hint(&self) -> SizeHint {
        let rest = match &self.source {
            Source::Recorded(bytes) => Some(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Source::Stream(stream) => stream.remaining(),
        };
        let prefetched = self.prefetched.as_ref().map_or(0, Bytes::len) as u64;
        rest.map_or_else(SizeHint::default, |rest| SizeHint::with_exact(prefetched + rest))
    }
}

impl AnswerBody {
    /// Returns whether every byte of an answer of known length was passed on.
    fn is_complete(&self) -> bool {
        let is_read = match &self.source {
            Source::Recorded(bytes) => bytes.is_none(),
            Source::Stream(stream) => stream.is_complete(),
        };
        is_read && self.prefetched.is_none()
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        if self.ended.is_none() {
            self.end(AnswerEnd::Dropped);
        }
    }
}
