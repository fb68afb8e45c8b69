//! Connections to the next hop: another node or the backend server.

use std::error::Error as _;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use almondsail_core::units::ByteCount;
use bytes::Bytes;
use http::header::HeaderName;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::byte_counts::ByteCounts;
use crate::calls::filtered_stream::{FilteredStream, SharedFilter};
use crate::calls::limited_stream::LimitedStream;
use crate::calls::read_allowance::ReadAllowance;
use crate::counted_stream::CountedStream;
use crate::final_status::is_final;
use crate::socket;

/// The largest header of an answer, in bytes, and the size of the read buffer.
const MAX_ANSWER_HEADER: usize = 64 * 1024;
/// The number of bytes in which the header of an answer must end, with the informational responses
/// before it and the part of the body that is read with it.
const HEAD_ALLOWANCE: ByteCount = ByteCount::new(2 * MAX_ANSWER_HEADER as u64);

/// A client connection that carries one exchange at a time.
///
/// No task drives the connection: it makes progress only while the call that owns
/// it polls it. Dropping it closes the socket at once, and no two calls can share it.
#[derive(Debug)]
pub(crate) struct ClientConnection {
    sender: SendRequest<Full<Bytes>>,
    conn: ConnState,
    /// Counts the bytes written to the socket.
    written: ByteCounts,
    /// How much the connection may read.
    allowance: ReadAllowance,
    /// Removes answers to earlier requests.
    filter: SharedFilter,
    /// When the connection was opened or last returned to a pool.
    pub(crate) last_used: Instant,
}

/// A hyper connection, or how it ended, which may be known before the answer is read.
#[derive(Debug)]
enum ConnState {
    Open(Box<Connection<TokioIo<FilteredStream>, Full<Bytes>>>),
    Closed,
    /// The next hop sent bytes that belong to no answer.
    Surplus,
}

/// Why a request got no answer.
#[derive(Debug)]
pub(crate) enum ExchangeError {
    /// No byte of the request was written to the socket.
    NotSent,
    /// The connection broke after at least one byte was written.
    Broken,
    /// The answer is malformed, or its status is none of a final answer.
    BadAnswer,
    /// The head of the answer did not arrive in time.
    TimedOut,
}

impl ExchangeError {
    /// Returns whether the next hop did not take the connection, or closed or reset it.
    pub(crate) const fn ends_connection(&self) -> bool {
        matches!(self, Self::NotSent | Self::Broken)
    }
}

/// The state of a connection after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AfterAnswer {
    /// The connection can carry another exchange.
    Reusable,
    /// The connection was closed, or is not ready for another exchange.
    Closed,
    /// The next hop sent bytes after the end of the answer.
    Surplus,
}

impl ClientConnection {
    /// Opens a connection to `addr` within `timeout`, which counts as broken once the next hop has
    /// taken no bytes for `user_timeout`.
    pub(crate) async fn connect(
        addr: SocketAddr,
        timeout: Duration,
        user_timeout: Duration,
    ) -> io::Result<Self> {
        let stream = tokio::time::timeout(timeout, TcpStream::connect(addr)).await??;
        socket::set_socket_options(&stream, user_timeout)?;
        let written = ByteCounts::default();
        let allowance = ReadAllowance::default();
        let filter = SharedFilter::default();
        let stream =
            LimitedStream::new(CountedStream::new(stream, written.clone()), allowance.clone());
        let stream = FilteredStream::new(stream, filter.clone());
        let mut builder = Builder::new();
        builder.max_header_size(MAX_ANSWER_HEADER).max_buf_size(MAX_ANSWER_HEADER);
        let (sender, conn) =
            builder.handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        Ok(Self {
            sender,
            conn: ConnState::Open(Box::new(conn)),
            written,
            allowance,
            filter,
            last_used: Instant::now(),
        })
    }

    /// Sends `req` and waits for the head of the answer until `until`. Answers whose `id_header`
    /// names an earlier request of the connection are passed over.
    pub(crate) async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
        id_header: Option<&HeaderName>,
        until: Instant,
    ) -> Result<Response<Incoming>, ExchangeError> {
        if let Some((header, id)) =
            id_header.and_then(|name| Some((name, req.headers().get(name)?)))
        {
            self.filter.lock().expect(header.clone(), id.clone());
        }
        let before = self.written.sent();
        let result = tokio::time::timeout_at(until, self.send_untimed(req)).await;
        match result.unwrap_or(Err(ExchangeError::TimedOut)) {
            Err(_) if self.written.sent() == before => Err(ExchangeError::NotSent),
            result => result,
        }
    }

    async fn send_untimed(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        self.allowance.set(HEAD_ALLOWANCE);
        let mut answer = pin!(self.sender.try_send_request(req));
        let conn = &mut self.conn;
        let allowance = &self.allowance;
        let result = std::future::poll_fn(|cx| {
            if let Poll::Ready(result) = answer.as_mut().poll(cx) {
                return Poll::Ready(Some(result));
            }
            conn.poll(cx);
            match answer.as_mut().poll(cx) {
                Poll::Pending if allowance.is_used_up() => Poll::Ready(None),
                result => result.map(Some),
            }
        })
        .await;
        let response = result.ok_or(ExchangeError::BadAnswer)?.map_err(|error| {
            if error.error().is_parse() { ExchangeError::BadAnswer } else { ExchangeError::Broken }
        })?;
        if is_final(response.status()) { Ok(response) } else { Err(ExchangeError::BadAnswer) }
    }

    /// Reads and writes as much as is possible without blocking.
    pub(crate) fn drive(&mut self, cx: &mut Context<'_>) {
        self.conn.poll(cx);
    }

    /// Allows to read `bytes` from now on, and no more of what was allowed before.
    pub(crate) fn allow_reading(&self, bytes: ByteCount) {
        self.allowance.set(bytes);
    }

    /// Returns whether the connection waits for its owner to allow further reading.
    pub(crate) fn has_used_allowance(&self) -> bool {
        self.allowance.is_used_up()
    }

    /// Returns the state of the connection; called when the answer is complete.
    pub(crate) fn after_answer(&mut self, cx: &mut Context<'_>) -> AfterAnswer {
        self.allowance.set(HEAD_ALLOWANCE);
        self.conn.poll(cx);
        match self.conn {
            // A server that wrote one answer twice may do so again.
            ConnState::Open(_) if self.filter.lock().has_removed() => AfterAnswer::Closed,
            ConnState::Open(_) if self.sender.is_ready() => AfterAnswer::Reusable,
            ConnState::Open(_) | ConnState::Closed => AfterAnswer::Closed,
            ConnState::Surplus => AfterAnswer::Surplus,
        }
    }

    /// Returns whether an idle connection can carry another exchange.
    ///
    /// This polls the socket first: bytes that arrived while the connection was idle close it, so
    /// that they are never taken for the next answer.
    pub(crate) fn is_reusable(&mut self) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        self.after_answer(&mut cx) == AfterAnswer::Reusable
    }
}

impl ConnState {
    fn poll(&mut self, cx: &mut Context<'_>) {
        let Self::Open(conn) = self else { return };
        match Pin::new(conn.as_mut()).poll(cx) {
            Poll::Pending => {}
            Poll::Ready(Err(error)) if !is_io_error(&error) => *self = Self::Surplus,
            Poll::Ready(_) => *self = Self::Closed,
        }
    }
}

fn is_io_error(error: &hyper::Error) -> bool {
    error.source().is_some_and(|source| source.is::<io::Error>())
}
