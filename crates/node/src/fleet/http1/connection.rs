//! Drives one HTTP/1.1 connection.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::time::Duration;

use almondsail_core::fleet::{CallerLimits, ConnectionEnd};
use bytes::{Bytes, BytesMut};
use futures::StreamExt as _;
use futures::stream::FuturesOrdered;
use http::header::{self, HeaderMap};
use http::{Method, Request, Response, Version};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use crate::clock::to_std_duration;
use crate::fleet::http1::head_check::RefusedHead;
use crate::fleet::http1::held_body::HeldBody;
use crate::fleet::http1::request_error::RequestError;
use crate::fleet::http1::request_parser::{RequestLimits, RequestParser};
use crate::fleet::http1::response_writer;
use crate::fleet::http1::server::Http1Settings;
use crate::fleet::stop_phase::StopPhase;
use crate::fleet::unanswered_requests::UnansweredRequests;

/// Number of requests of one connection that are answered concurrently.
const MAX_PIPELINED: usize = 16;
/// Number of unparsed bytes that are buffered while requests are being answered.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// Space that is reserved in the buffer for each read.
const READ_SIZE_BYTES: usize = 4 * 1024;
/// Time limit for writing an answer to a caller that reads slowly.
pub(crate) const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long input is still read and discarded after the last answer. Closing a connection with
/// unread bytes resets it, and the caller may lose the answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// How long an idle connection stays open in a graceful stop, so that a request that the caller
/// has just sent is still answered.
const DRAIN_IDLE_TIMEOUT: Duration = Duration::from_millis(700);

type AnswerFuture = Pin<Box<dyn Future<Output = HandledRequest> + Send>>;

/// Request extension that marks a pipelined request: it arrived before an earlier request of its
/// connection was answered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pipelined;

/// An answer, with what is needed of its request to write it.
struct HandledRequest {
    method: Method,
    wants_close: bool,
    response: Response<Bytes>,
}

/// Whether the connection takes further requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadState {
    Open,
    /// No further request is taken: the caller asked to close, or sent an invalid request.
    Ended,
}

/// Server side of a connection from a caller or another node.
pub(crate) struct Connection<L, H> {
    stream: TcpStream,
    handler: H,
    /// Returns the limits that apply now; they may change while the connection is open.
    limits: L,
    stop: watch::Receiver<StopPhase>,
    unanswered: UnansweredRequests,
    /// Builds the answer to a request that can't be read.
    refusal: fn(RequestError) -> Response<Bytes>,
    parser: RequestParser,
    buf: BytesMut,
    in_flight: FuturesOrdered<AnswerFuture>,
    /// A parsed request that may only start once all earlier ones are answered.
    deferred: Option<Request<HeldBody>>,
    /// Whether the requests in flight have safe methods, so that further safe ones may join.
    in_flight_is_safe: bool,
    reading: ReadState,
    /// Start of the current wait for bytes of the caller.
    waiting_since: Instant,
    /// How the connection ends, if requests are still unanswered then.
    end: ConnectionEnd,
    /// Whether an answer is being written; its request is unanswered and not in flight.
    is_writing: bool,
}

impl<L, H, F> Connection<L, H>
where
    L: Fn() -> CallerLimits + Clone,
    H: Fn(Request<Bytes>) -> F,
    F: Future<Output = Response<Bytes>> + Send + 'static,
{
    pub(crate) fn new(stream: TcpStream, handler: H, settings: &Http1Settings<L>) -> Self {
        let settings = settings.clone();
        Self {
            stream,
            handler,
            limits: settings.limits,
            stop: settings.stop,
            unanswered: settings.unanswered,
            refusal: settings.refusal,
            parser: RequestParser::new(settings.bodies, settings.check_head),
            buf: BytesMut::new(),
            in_flight: FuturesOrdered::new(),
            deferred: None,
            in_flight_is_safe: true,
            reading: ReadState::Open,
            waiting_since: Instant::now(),
            end: ConnectionEnd::Aborted,
            is_writing: false,
        }
    }

    /// Answers requests until the connection ends. Dropping the future cancels the requests in
    /// flight.
    pub(crate) async fn run(mut self) {
        while self.step().await.is_some() {}
    }

    /// Handles the next event of the connection; `None` once the connection has ended.
    async fn step(&mut self) -> Option<()> {
        if let Err(error) = self.start_requests() {
            self.refuse(error);
        }
        if self.parser.take_expects_continue() {
            self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.ok()?;
        }
        let is_idle = self.in_flight.is_empty();
        if is_idle && self.reading == ReadState::Ended {
            return None;
        }
        let read_deadline = self.read_deadline();
        let may_read = self.buf.len() < MAX_READ_AHEAD_BYTES;
        let began_head = !self.buf.is_empty() && !self.parser.has_partial();
        self.buf.reserve(READ_SIZE_BYTES);
        tokio::select! {
            biased;
            Some(handled) = self.in_flight.next(), if !is_idle => self.write(handled).await,
            read = self.stream.read_buf(&mut self.buf), if may_read => {
                let is_open = matches!(read, Ok(n) if n > 0);
                if !is_open {
                    self.end = read_end(&read);
                }
                // The time limit of a head runs from its first byte, that of a body from its last.
                if is_open && is_idle && !began_head {
                    self.waiting_since = Instant::now();
                }
                is_open.then_some(())
            }
            () = tokio::time::sleep_until(read_deadline), if is_idle => self.time_out(),
            changed = self.stop.changed() => self.enter_stop_phase(changed.is_ok()),
        }
    }

    /// Parses complete requests and starts those that may run concurrently. Requests with methods
    /// other than GET and HEAD run alone.
    fn start_requests(&mut self) -> Result<(), RequestError> {
        let limits = self.request_limits();
        while self.reading == ReadState::Open && self.in_flight.len() < self.max_in_flight() {
            let request = match self.deferred.take() {
                Some(request) => request,
                None => match self.parser.next(&mut self.buf, limits)? {
                    Some(request) => request,
                    None => break,
                },
            };
            let is_safe = matches!(*request.method(), Method::GET | Method::HEAD);
            let may_start = self.in_flight.is_empty() || (is_safe && self.in_flight_is_safe);
            if !may_start {
                self.deferred = Some(request);
                break;
            }
            self.in_flight_is_safe = is_safe;
            self.start(request);
        }
        Ok(())
    }

    /// Returns how many requests may be in flight. In the closing phase no request starts behind
    /// another one, so that the connection comes to its end; the caller sends it again elsewhere.
    fn max_in_flight(&self) -> usize {
        match *self.stop.borrow() {
            StopPhase::Serving | StopPhase::Draining => MAX_PIPELINED,
            StopPhase::Closing => 1,
        }
    }

    fn is_stopping(&self) -> bool {
        *self.stop.borrow() > StopPhase::Serving
    }

    fn start(&mut self, mut request: Request<HeldBody>) {
        if !self.in_flight.is_empty() {
            request.extensions_mut().insert(Pipelined);
        }
        let method = request.method().clone();
        // The rest of a body that was not read can't be told from the next request.
        let is_unread = request.extensions().get::<RefusedHead>().is_some();
        let wants_close = is_unread || asks_to_close(request.version(), request.headers());
        if wants_close {
            self.reading = ReadState::Ended;
        }
        let (head, HeldBody { bytes, reservation }) = request.into_parts();
        let answer = (self.handler)(Request::from_parts(head, bytes));
        self.in_flight.push_back(Box::pin(async move {
            let response = answer.await;
            drop(reservation);
            HandledRequest { method, wants_close, response }
        }));
    }

    async fn write(&mut self, handled: HandledRequest) -> Option<()> {
        let HandledRequest { method, wants_close, response } = handled;
        let is_last = self.in_flight.is_empty();
        let close = wants_close || (self.is_stopping() && is_last);
        let mut out = response_writer::encode(&method, response, close);
        self.is_writing = true;
        let written = timeout(WRITE_TIMEOUT, self.stream.write_all_buf(&mut out)).await;
        if !matches!(written, Ok(Ok(()))) {
            self.end = ConnectionEnd::WriteFailed;
            return None;
        }
        self.is_writing = false;
        self.waiting_since = Instant::now();
        self.end = if close { ConnectionEnd::Stopped } else { ConnectionEnd::Aborted };
        if close {
            self.linger().await;
            return None;
        }
        Some(())
    }

    /// Begins the wait of an idle connection anew with each phase of a stop. The caller may just have
    /// sent a request, however long the connection has been idle.
    fn enter_stop_phase(&mut self, may_stop: bool) -> Option<()> {
        if !self.has_partial_request() {
            self.waiting_since = Instant::now();
        }
        may_stop.then_some(())
    }

    /// Shuts down the sending side, then reads and discards input for up to `LINGER_TIMEOUT`.
    async fn linger(&mut self) {
        let _ = self.stream.shutdown().await;
        let mut rest = [0; 1024];
        let drain = async { while self.stream.read(&mut rest).await.is_ok_and(|n| n > 0) {} };
        let _ = timeout(LINGER_TIMEOUT, drain).await;
    }

    /// Returns when to give up waiting for bytes of the caller.
    fn read_deadline(&self) -> Instant {
        let limits = (self.limits)();
        let allowed = match *self.stop.borrow() {
            StopPhase::Serving if self.parser.has_partial() => to_std_duration(limits.idle_timeout),
            _ if self.has_partial_request() => to_std_duration(limits.header_timeout),
            StopPhase::Serving => to_std_duration(limits.idle_timeout),
            StopPhase::Draining => DRAIN_IDLE_TIMEOUT,
            StopPhase::Closing => Duration::ZERO,
        };
        self.waiting_since + allowed
    }

    /// Ends an idle connection; answers a partial request with 408 first. Goes on waiting if the time
    /// limit has been raised meanwhile.
    fn time_out(&mut self) -> Option<()> {
        if Instant::now() < self.read_deadline() {
            return Some(());
        }
        if !self.has_partial_request() {
            return None;
        }
        self.refuse(RequestError::TooSlow);
        Some(())
    }

    /// Answers a request that can't be read, after the answers to those before it. The connection
    /// takes no further request.
    fn refuse(&mut self, error: RequestError) {
        self.reading = ReadState::Ended;
        let response = (self.refusal)(error);
        let handled = HandledRequest { method: Method::GET, wants_close: true, response };
        self.in_flight.push_back(Box::pin(std::future::ready(handled)));
    }

    fn has_partial_request(&self) -> bool {
        self.parser.has_partial() || !self.buf.is_empty()
    }

    fn request_limits(&self) -> RequestLimits {
        let size = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
        let limits = (self.limits)();
        RequestLimits { head: size(limits.header.get()), body: size(limits.body.get()) }
    }
}

impl<L, H> Drop for Connection<L, H> {
    fn drop(&mut self) {
        let requests = self.in_flight.len() + usize::from(self.is_writing);
        if requests > 0 {
            self.unanswered.record(self.end, requests);
        }
    }
}

/// Returns how a connection ended on which `read` got no bytes.
fn read_end(read: &io::Result<usize>) -> ConnectionEnd {
    match read {
        Err(error) if error.kind() == io::ErrorKind::TimedOut => ConnectionEnd::PeerSilent,
        _ => ConnectionEnd::PeerClosed,
    }
}

/// Returns whether the connection must close after the answer: for `connection: close` and
/// HTTP/1.0.
fn asks_to_close(version: Version, headers: &HeaderMap) -> bool {
    let mut options = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim);
    version == Version::HTTP_10 || options.any(|option| option.eq_ignore_ascii_case("close"))
}
