//! Calls between the entry node and an endpoint.

use almondsail_core::config::Priority;
use almondsail_core::ids::{CallKey, ConfigVersion, RouteName, ServiceName, VersionName};
use almondsail_core::traffic::{CallId, Deadline};
use almondsail_core::units::{Instant, Micros, Millis};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri};
use http_body_util::Full;

use crate::calls::call_headers::{self, BadHeader};
use crate::calls::peer_token::PeerToken;

/// A routed call that an entry node sends to an endpoint.
#[derive(Debug, Clone)]
pub(crate) struct ForwardedCall {
    pub(crate) id: CallId,
    pub(crate) service: ServiceName,
    pub(crate) route: RouteName,
    /// The version of the service to which the call is sent.
    pub(crate) version: VersionName,
    pub(crate) priority: Priority,
    pub(crate) idempotent: bool,
    pub(crate) key: Option<CallKey>,
    /// How often the caller has sent the call, this time included.
    pub(crate) attempt: u32,
    /// Whether the endpoint returns only a recorded answer and runs nothing.
    pub(crate) replay: bool,
    pub(crate) deadline: Deadline,
    /// The configuration version by which the call was routed.
    pub(crate) config_version: ConfigVersion,
    pub(crate) method: Method,
    /// The path and query of the caller's URI.
    pub(crate) uri: Uri,
    /// The caller's headers, without hop-by-hop headers and those with the mesh's prefix.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// The kind of a request between nodes, sent in the header `almondsail-message`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum InboundRequestKind {
    /// Runs a call at the backend server.
    Call,
    /// Returns the recorded answer of a call with an idempotency key.
    Replay,
    /// Claims an idempotency key at a registrar.
    Claim,
    /// Releases an idempotency key at a registrar.
    Release,
    /// Hands over the claims of a leaving node.
    Handover,
}

impl InboundRequestKind {
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Call => "call",
            Self::Replay => "replay",
            Self::Claim => "claim",
            Self::Release => "release",
            Self::Handover => "handover",
        }
    }
}

impl std::fmt::Display for InboundRequestKind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.as_str())
    }
}

impl std::str::FromStr for InboundRequestKind {
    type Err = BadHeader;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        [Self::Call, Self::Replay, Self::Claim, Self::Release, Self::Handover]
            .into_iter()
            .find(|request| request.as_str() == s)
            .ok_or(BadHeader)
    }
}

impl ForwardedCall {
    /// Builds the request for another node, which must answer within `remaining`.
    pub(crate) fn to_request(&self, token: &PeerToken, remaining: Micros) -> Request<Full<Bytes>> {
        let mut request = self.to_backend_request(remaining);
        let headers = request.headers_mut();
        headers.insert(call_headers::TOKEN, token.header());
        let message =
            if self.replay { InboundRequestKind::Replay } else { InboundRequestKind::Call };
        call_headers::set(headers, call_headers::MESSAGE, message);
        call_headers::set(headers, call_headers::CALL, self.id);
        call_headers::set(headers, call_headers::SERVICE, &self.service);
        call_headers::set(headers, call_headers::ROUTE, &self.route);
        call_headers::set(headers, call_headers::TARGET, &self.version);
        call_headers::set(headers, call_headers::PRIORITY, self.priority);
        call_headers::set(headers, call_headers::IDEMPOTENT, self.idempotent);
        request
    }

    /// Builds the request for the backend server, which must answer within `remaining`.
    pub(crate) fn to_backend_request(&self, remaining: Micros) -> Request<Full<Bytes>> {
        const MICROS_PER_MILLI: u64 = 1_000;
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        call_headers::set(headers, call_headers::DEADLINE_MS, remaining.get() / MICROS_PER_MILLI);
        call_headers::set(headers, call_headers::ATTEMPT, self.attempt);
        call_headers::set(headers, call_headers::VERSION, self.config_version);
        if let Some(key) = &self.key {
            call_headers::set(headers, call_headers::IDEMPOTENCY_KEY, key);
        }
        request
    }

    /// Parses the call in a request of another node, which arrived at `now`.
    pub(crate) fn from_request(
        parts: http::request::Parts,
        body: Bytes,
        now: Instant,
    ) -> Result<Self, BadHeader> {
        let headers = &parts.headers;
        let remaining = Millis::new(required(headers, &call_headers::DEADLINE_MS)?);
        let message: InboundRequestKind = required(headers, &call_headers::MESSAGE)?;
        let mut call = Self {
            id: required(headers, &call_headers::CALL)?,
            service: required(headers, &call_headers::SERVICE)?,
            route: required(headers, &call_headers::ROUTE)?,
            version: required(headers, &call_headers::TARGET)?,
            priority: required(headers, &call_headers::PRIORITY)?,
            idempotent: required(headers, &call_headers::IDEMPOTENT)?,
            key: call_headers::parse(headers, &call_headers::IDEMPOTENCY_KEY)?,
            attempt: required(headers, &call_headers::ATTEMPT)?,
            replay: message == InboundRequestKind::Replay,
            deadline: Deadline::new(now, Some(remaining), Deadline::MAX_TIMEOUT),
            config_version: required(headers, &call_headers::VERSION)?,
            method: parts.method,
            uri: parts.uri,
            headers: HeaderMap::new(),
            body,
        };
        call.headers = parts.headers;
        remove_rewritten_headers(&mut call.headers);
        Ok(call)
    }
}

/// Removes the headers that are set again, or not sent, in the request to the next hop.
pub(crate) fn remove_rewritten_headers(headers: &mut HeaderMap) {
    call_headers::remove_internal_headers(headers);
    headers.remove(call_headers::IDEMPOTENCY_KEY);
    headers.remove(http::header::CONTENT_LENGTH);
}

/// Parses header `name`; an error if it is missing or malformed.
pub(crate) fn required<T: std::str::FromStr>(
    headers: &HeaderMap,
    name: &http::HeaderName,
) -> Result<T, BadHeader> {
    call_headers::parse(headers, name)?.ok_or(BadHeader)
}
