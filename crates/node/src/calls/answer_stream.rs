//! Reading of an answer from the next hop.

use std::future::Future as _;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use almondsail_core::RefusalReason;
use bytes::Bytes;
use hyper::body::{Body as _, Frame, Incoming};
use tokio::time::Sleep;

use crate::calls::answer_end::AnswerEnd;
use crate::calls::answer_limit::AnswerLimit;
use crate::calls::answer_reservation::AnswerReservation;
use crate::calls::client_connection::{AfterAnswer, ClientConnection};
use crate::calls::connection_pool::ConnectionPool;

type IncomingPoll = Poll<Option<Result<Frame<Bytes>, hyper::Error>>>;

/// Reads the body of an answer and drives its connection.
#[derive(Debug)]
pub(crate) struct AnswerStream {
    incoming: Incoming,
    /// The connection; `None` after the end of the answer.
    connection: Option<ClientConnection>,
    pool: Arc<ConnectionPool>,
    timeout: Pin<Box<Sleep>>,
    limit: AnswerLimit,
    /// The number of bytes that are still to come; `None` if the answer has no known length.
    remaining: Option<u64>,
}

impl AnswerStream {
    /// Reads `incoming`, which arrives over `client_connection` and must end by `timeout` and within
    /// `limit`.
    pub(crate) fn new(
        incoming: Incoming,
        connection: ClientConnection,
        pool: Arc<ConnectionPool>,
        timeout: Pin<Box<Sleep>>,
        limit: AnswerLimit,
    ) -> Self {
        let remaining = incoming.size_hint().exact();
        connection.allow_reading(AnswerLimit::STEP);
        Self { incoming, connection: Some(connection), pool, timeout, limit, remaining }
    }

    /// The number of bytes that are still to come; `None` if the answer has no known length.
    pub(crate) const fn remaining(&self) -> Option<u64> {
        self.remaining
    }

    /// Returns whether every byte of an answer of known length was read.
    pub(crate) fn is_complete(&self) -> bool {
        self.remaining == Some(0) && self.connection.is_none()
    }

    /// Takes the memory that the body occupies; `None` if it is not kept in memory.
    pub(crate) fn take_reservation(&mut self) -> Option<AnswerReservation> {
        self.limit.take_reservation()
    }

    /// Polls the next bytes; `None` at the end of a complete answer.
    pub(crate) fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Option<Bytes>, StreamError>> {
        loop {
            let Some(data) = ready!(self.poll_data(cx))? else {
                if self.remaining.is_some_and(|n| n > 0) {
                    return Poll::Ready(Err(StreamError::Broken));
                }
                self.finish(cx)?;
                return Poll::Ready(Ok(None));
            };
            if let Some(remaining) = &mut self.remaining {
                *remaining = remaining.saturating_sub(data.len() as u64);
                if *remaining == 0 {
                    self.finish(cx)?;
                }
            }
            if !data.is_empty() {
                return Poll::Ready(Ok(Some(data)));
            }
        }
    }

    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, StreamError>> {
        match self.poll_incoming(cx)? {
            Poll::Ready(None) => Poll::Ready(Ok(None)),
            // Trailers are not passed on; they become an empty chunk.
            Poll::Ready(Some(Ok(frame))) => {
                let data = frame.into_data().unwrap_or_default();
                self.record_data(data.len());
                Poll::Ready(Ok(Some(data)))
            }
            Poll::Ready(Some(Err(_))) => Poll::Ready(Err(StreamError::Broken)),
            Poll::Pending => {
                ready!(self.timeout.as_mut().poll(cx));
                Poll::Ready(Err(StreamError::TimedOut))
            }
        }
    }

    fn record_data(&mut self, bytes: usize) {
        let begins_step = self.limit.record_data(bytes);
        if let Some(connection) = self.connection.as_ref().filter(|_| begins_step) {
            connection.allow_reading(AnswerLimit::STEP);
        }
    }

    /// Polls the body, reading from the connection as far as the limit allows.
    fn poll_incoming(&mut self, cx: &mut Context<'_>) -> Result<IncomingPoll, StreamError> {
        loop {
            let frame = Pin::new(&mut self.incoming).poll_frame(cx);
            let Some(connection) = self.connection.as_mut().filter(|_| frame.is_pending()) else {
                return Ok(frame);
            };
            connection.drive(cx);
            let frame = Pin::new(&mut self.incoming).poll_frame(cx);
            if frame.is_ready() || !connection.has_used_allowance() {
                return Ok(frame);
            }
            if !self.limit.begin_step() {
                return Err(StreamError::TooLong);
            }
            connection.allow_reading(AnswerLimit::STEP);
        }
    }

    /// Returns the connection to the pool, or closes it if it can't be reused.
    fn finish(&mut self, cx: &mut Context<'_>) -> Result<(), StreamError> {
        let Some(mut connection) = self.connection.take() else { return Ok(()) };
        match connection.after_answer(cx) {
            AfterAnswer::Reusable => self.pool.release(connection),
            AfterAnswer::Closed => {}
            AfterAnswer::Surplus => return Err(StreamError::Surplus),
        }
        Ok(())
    }
}

/// Why reading an answer failed.
#[derive(Debug, Clone, Copy)]
pub(crate) enum StreamError {
    Broken,
    /// The next hop sent bytes after the end of the answer.
    Surplus,
    TimedOut,
    /// The answer exceeds its limit.
    TooLong,
}

impl StreamError {
    /// The end that is reported to watchers.
    pub(crate) const fn answer_end(self) -> AnswerEnd {
        match self {
            Self::Broken | Self::Surplus | Self::TooLong => AnswerEnd::Broken,
            Self::TimedOut => AnswerEnd::TimedOut,
        }
    }

    /// The reason that is reported to the caller.
    pub(crate) const fn reason(self) -> RefusalReason {
        match self {
            Self::Broken => RefusalReason::BrokenExchange,
            Self::Surplus | Self::TooLong => RefusalReason::BadAnswer,
            Self::TimedOut => RefusalReason::DeadlinePassed,
        }
    }
}
