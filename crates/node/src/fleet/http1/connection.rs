//! One connection.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use almondsail_core::fleet::CallerLimits;
use bytes::{Bytes, BytesMut};
use futures::StreamExt as _;
use futures::stream::FuturesOrdered;
use http::header::{self, HeaderMap};
use http::{Method, Request, Response, Version};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use crate::clock::duration;
use crate::fleet::http1::request_error::RequestError;
use crate::fleet::http1::request_parser::{RequestLimits, RequestParser};
use crate::fleet::http1::response_writer;
use crate::fleet::stop_phase::StopPhase;

/// Requests of one connection that are answered together.
const MAX_AHEAD: usize = 16;
/// Bytes that are read ahead of the requests that are being answered.
const MAX_READ_AHEAD: usize = 64 * 1024;
/// How much is read at a time.
const READ_SIZE: usize = 4 * 1024;
/// How long a caller may take to read a part of an answer.
const WRITE_TIME: Duration = Duration::from_secs(10);
/// How long the rest that a caller sends is read after the last answer. A connection that is
/// closed with unread bytes is reset, and the answer with it.
const LINGER: Duration = Duration::from_millis(300);
/// How long a connection on which nothing is under way stays open in a planned stop, so that
/// a request that is on its way is still answered.
const STOP_IDLE: Duration = Duration::from_millis(700);

type Answering = Pin<Box<dyn Future<Output = Answered> + Send>>;

/// Marks a request that came while an earlier one of its connection had no answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SentAhead;

/// An answer and what the connection must know of its request.
struct Answered {
    method: Method,
    wants_close: bool,
    response: Response<Bytes>,
}

/// How the reading side stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reading {
    Open,
    /// No further request is taken: the caller asked to close, or sent what can't be read.
    Ended,
}

/// A connection of a caller or another node.
pub(crate) struct Connection<H> {
    stream: TcpStream,
    handler: H,
    limits: CallerLimits,
    stop: watch::Receiver<StopPhase>,
    parser: RequestParser,
    buf: BytesMut,
    answering: FuturesOrdered<Answering>,
    /// A request that waits until those before it are answered.
    waiting: Option<Request<Bytes>>,
    /// The requests under way may all be answered together.
    are_repeatable: bool,
    reading: Reading,
    /// Since when the caller owes bytes or nothing is under way.
    since: Instant,
}

impl<H, F> Connection<H>
where
    H: Fn(Request<Bytes>) -> F,
    F: Future<Output = Response<Bytes>> + Send + 'static,
{
    pub(crate) fn new(
        stream: TcpStream,
        handler: H,
        limits: CallerLimits,
        stop: watch::Receiver<StopPhase>,
    ) -> Self {
        Self {
            stream,
            handler,
            limits,
            stop,
            parser: RequestParser::default(),
            buf: BytesMut::new(),
            answering: FuturesOrdered::new(),
            waiting: None,
            are_repeatable: true,
            reading: Reading::Open,
            since: Instant::now(),
        }
    }

    /// Answers requests until the connection ends. Dropping it drops the requests under way.
    pub(crate) async fn run(mut self) {
        while self.step().await.is_some() {}
    }

    /// One step; `None` at the end of the connection.
    async fn step(&mut self) -> Option<()> {
        if let Err(error) = self.take_requests() {
            self.reading = Reading::Ended;
            self.answering.push_back(Box::pin(async move { unreadable(error) }));
        }
        if self.parser.take_wants_continue() {
            self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.ok()?;
        }
        let is_idle = self.answering.is_empty();
        if is_idle && self.reading == Reading::Ended {
            return None;
        }
        let deadline = self.deadline();
        let may_read = self.buf.len() < MAX_READ_AHEAD;
        self.buf.reserve(READ_SIZE);
        tokio::select! {
            biased;
            Some(answered) = self.answering.next(), if !is_idle => self.write(answered).await,
            read = self.stream.read_buf(&mut self.buf), if may_read => {
                let is_open = read.is_ok_and(|n| n > 0);
                if is_open && is_idle && !self.parser.is_open() {
                    self.since = Instant::now();
                }
                is_open.then_some(())
            }
            () = tokio::time::sleep_until(deadline), if is_idle => self.too_slow(),
            changed = self.stop.changed() => changed.ok(),
        }
    }

    /// Begins to answer the requests that are complete.
    fn take_requests(&mut self) -> Result<(), RequestError> {
        let limits = self.request_limits();
        while self.reading == Reading::Open && self.answering.len() < MAX_AHEAD {
            let request = match self.waiting.take() {
                Some(request) => request,
                None => match self.parser.next(&mut self.buf, limits)? {
                    Some(request) => request,
                    None => break,
                },
            };
            let is_repeatable = matches!(*request.method(), Method::GET | Method::HEAD);
            let may_begin = self.answering.is_empty() || (is_repeatable && self.are_repeatable);
            if !may_begin {
                self.waiting = Some(request);
                break;
            }
            self.are_repeatable = is_repeatable;
            self.begin(request);
        }
        Ok(())
    }

    fn begin(&mut self, mut request: Request<Bytes>) {
        if !self.answering.is_empty() {
            request.extensions_mut().insert(SentAhead);
        }
        let method = request.method().clone();
        let wants_close = asks_to_close(request.version(), request.headers());
        if wants_close {
            self.reading = Reading::Ended;
        }
        let answer = (self.handler)(request);
        self.answering.push_back(Box::pin(async move {
            Answered { method, wants_close, response: answer.await }
        }));
    }

    async fn write(&mut self, answered: Answered) -> Option<()> {
        let Answered { method, wants_close, response } = answered;
        let is_stopping = *self.stop.borrow() > StopPhase::Serving;
        let close = wants_close || is_stopping;
        let mut out = BytesMut::with_capacity(512 + response.body().len());
        response_writer::write(&mut out, &method, &response, close);
        timeout(WRITE_TIME, self.stream.write_all(&out)).await.ok()?.ok()?;
        self.since = Instant::now();
        if close {
            self.linger().await;
            return None;
        }
        Some(())
    }

    /// Ends the sending side and reads what still comes.
    async fn linger(&mut self) {
        let _ = self.stream.shutdown().await;
        let mut rest = [0; 1024];
        let drain = async { while self.stream.read(&mut rest).await.is_ok_and(|n| n > 0) {} };
        let _ = timeout(LINGER, drain).await;
    }

    /// When a caller that sends nothing is given up.
    fn deadline(&self) -> Instant {
        let has_part = self.parser.is_open() || !self.buf.is_empty();
        let allowed = match *self.stop.borrow() {
            _ if has_part => duration(self.limits.header_time),
            StopPhase::Serving => duration(self.limits.idle_time),
            StopPhase::Draining => STOP_IDLE,
            StopPhase::Closing => Duration::ZERO,
        };
        self.since + allowed
    }

    fn too_slow(&mut self) -> Option<()> {
        let has_part = self.parser.is_open() || !self.buf.is_empty();
        if !has_part {
            return None;
        }
        self.reading = Reading::Ended;
        let error = RequestError::TooSlow;
        self.answering.push_back(Box::pin(async move { unreadable(error) }));
        Some(())
    }

    fn request_limits(&self) -> RequestLimits {
        let size = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
        RequestLimits { head: size(self.limits.header.get()), body: size(self.limits.body.get()) }
    }
}

fn unreadable(error: RequestError) -> Answered {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = error.status();
    Answered { method: Method::GET, wants_close: true, response }
}

/// Whether a caller wants the connection to end after the answer.
fn asks_to_close(version: Version, headers: &HeaderMap) -> bool {
    let mut options = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim);
    version == Version::HTTP_10 || options.any(|option| option.eq_ignore_ascii_case("close"))
}
