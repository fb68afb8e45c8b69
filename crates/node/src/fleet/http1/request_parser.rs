//! Parses HTTP/1 requests from a buffer.

use std::sync::Arc;

use almondsail_core::RefusalReason;
use almondsail_core::traffic::BodyBudget;
use bytes::{Buf as _, Bytes, BytesMut};
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Method, Request, Uri, Version};

use crate::fleet::http1::body_reader::{BodyProgress, BodyReader};
use crate::fleet::http1::body_reservation::BodyReservation;
use crate::fleet::http1::head_check::{HeadCheck, RefusedHead};
use crate::fleet::http1::held_body::HeldBody;
use crate::fleet::http1::request_error::RequestError;

/// Number of headers that a request may have.
const MAX_HEADERS: usize = 100;

/// Length of a body up to which it is read even if the head is refused, so that the connection stays
/// open for the next request.
const MAX_REFUSED_BODY_BYTES: usize = 16 * 1024;

/// Size limits of one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestLimits {
    /// Size limit of the request line and headers, in bytes.
    pub(crate) head: usize,
    /// Size limit of the body, in bytes.
    pub(crate) body: usize,
}

/// Parses requests incrementally from a buffer.
pub(crate) struct RequestParser {
    /// Checks the heads of requests with large bodies.
    check_head: HeadCheck,
    /// Whether `check_head` has accepted the head of `partial`.
    is_head_checked: bool,
    /// Limits the bodies of all requests of the node together.
    budget: Arc<BodyBudget>,
    /// A request whose head is parsed and whose body is incomplete.
    partial: Option<(Request<()>, BodyReader)>,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    expects_continue: bool,
}

impl RequestParser {
    pub(crate) const fn new(budget: Arc<BodyBudget>, check_head: HeadCheck) -> Self {
        Self { check_head, is_head_checked: false, budget, partial: None, expects_continue: false }
    }

    /// Returns the next request once `buf` holds the rest of it; consumes the bytes that it parses.
    /// A request with a large body whose head is refused is returned at once, without its body and
    /// with a [`RefusedHead`].
    pub(crate) fn next(
        &mut self,
        buf: &mut BytesMut,
        limits: RequestLimits,
    ) -> Result<Option<Request<HeldBody>>, RequestError> {
        if self.partial.is_none() {
            let Some(head) = parse_head(buf, limits.head)? else { return Ok(None) };
            let reservation = BodyReservation::new(Arc::clone(&self.budget));
            let body = BodyReader::new(head.headers(), limits.body, reservation)?;
            let expect = head.headers().get(header::EXPECT);
            self.expects_continue =
                expect.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"));
            self.is_head_checked = false;
            self.partial = Some((head, body));
        }
        let Some((head, body)) = self.partial.take() else { return Ok(None) };
        if let Some(reason) = self.refuse_head(&head, &body) {
            self.expects_continue = false;
            return Ok(Some(self.without_body(head, reason)));
        }
        match body.read(buf)? {
            BodyProgress::Complete(body) => {
                self.expects_continue = false;
                Ok(Some(head.map(|()| body)))
            }
            BodyProgress::Incomplete(body) => {
                self.partial = Some((head, body));
                Ok(None)
            }
        }
    }

    /// Checks `head` once its body is known to be large.
    fn refuse_head(&mut self, head: &Request<()>, body: &BodyReader) -> Option<RefusalReason> {
        if self.is_head_checked || body.min_length() <= MAX_REFUSED_BODY_BYTES {
            return None;
        }
        self.is_head_checked = true;
        (self.check_head)(head)
    }

    fn without_body(&self, mut head: Request<()>, reason: RefusalReason) -> Request<HeldBody> {
        head.extensions_mut().insert(RefusedHead(reason));
        let reservation = BodyReservation::new(Arc::clone(&self.budget));
        head.map(|()| HeldBody { bytes: Bytes::new(), reservation })
    }

    /// Returns whether a request's head is parsed and its body is incomplete.
    pub(crate) const fn has_partial(&self) -> bool {
        self.partial.is_some()
    }

    /// Returns whether the caller waits for `100 Continue`, and resets the flag so that it is sent
    /// only once.
    pub(crate) fn take_expects_continue(&mut self) -> bool {
        std::mem::take(&mut self.expects_continue)
    }
}

fn parse_head(buf: &mut BytesMut, limit: usize) -> Result<Option<Request<()>>, RequestError> {
    // Empty lines before a request are allowed (RFC 9112, section 2.2).
    while buf.starts_with(b"\r\n") {
        buf.advance(2);
    }
    if buf.is_empty() {
        return Ok(None);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let end = match parsed.parse(buf) {
        Ok(httparse::Status::Complete(end)) => end,
        Ok(httparse::Status::Partial) if buf.len() <= limit => return Ok(None),
        Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
            return Err(RequestError::HeadTooLarge);
        }
        Err(_) => return Err(RequestError::Malformed),
    };
    if end > limit {
        return Err(RequestError::HeadTooLarge);
    }
    let request = to_request(&parsed).ok_or(RequestError::Malformed)?;
    buf.advance(end);
    Ok(Some(request))
}

fn to_request(parsed: &httparse::Request<'_, '_>) -> Option<Request<()>> {
    let mut request = Request::new(());
    *request.method_mut() = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    *request.uri_mut() = parsed.path?.parse::<Uri>().ok()?;
    *request.version_mut() = if parsed.version? == 0 { Version::HTTP_10 } else { Version::HTTP_11 };
    let mut headers = HeaderMap::with_capacity(parsed.headers.len());
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(header.value).ok()?);
    }
    // CONNECT asks for a tunnel, which is not an exchange of one request and one answer.
    let is_exchange = *request.method() != Method::CONNECT && request.uri().path().starts_with('/');
    *request.headers_mut() = headers;
    is_exchange.then_some(request)
}
