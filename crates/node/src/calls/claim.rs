//! Claims of idempotency keys.

use almondsail_core::ids::{CallKey, NodeId, ServiceName};
use almondsail_core::traffic::CallId;
use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use http_body_util::Full;

use crate::calls::call_headers;
use crate::calls::forwarded_call::{InboundRequestKind, required};
use crate::calls::peer_token::PeerToken;

/// A request to reserve an idempotency key for a call that is about to run.
///
/// It is sent to the registrars of the key: the nodes that record which call holds the key, so
/// that a repeat with the same key doesn't run.
#[derive(Debug, Clone)]
pub(crate) struct Claim {
    pub(crate) service: ServiceName,
    pub(crate) key: CallKey,
    pub(crate) call: CallId,
    /// The node that runs the call and records its answer.
    pub(crate) holder: NodeId,
}

impl Claim {
    /// Parses the claim in a message of another node.
    pub(crate) fn from_headers(headers: &HeaderMap) -> Result<Self, call_headers::BadHeader> {
        Ok(Self {
            service: required(headers, &call_headers::SERVICE)?,
            key: required(headers, &call_headers::IDEMPOTENCY_KEY)?,
            call: required(headers, &call_headers::CALL)?,
            holder: required(headers, &call_headers::HOLDER)?,
        })
    }

    /// Builds the request that sends the claim, or its release, to another node.
    pub(crate) fn to_request(
        &self,
        token: &PeerToken,
        message: InboundRequestKind,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.method_mut() = Method::POST;
        let headers = request.headers_mut();
        headers.insert(call_headers::TOKEN, token.header());
        call_headers::set(headers, http::header::HOST, &self.holder);
        call_headers::set(headers, call_headers::MESSAGE, message);
        call_headers::set(headers, call_headers::SERVICE, &self.service);
        call_headers::set(headers, call_headers::IDEMPOTENCY_KEY, &self.key);
        call_headers::set(headers, call_headers::CALL, self.call);
        call_headers::set(headers, call_headers::HOLDER, &self.holder);
        request
    }
}
