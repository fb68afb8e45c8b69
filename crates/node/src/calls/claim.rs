//! The claim of an idempotency key.

use almondsail_core::ids::{CallKey, NodeId, ServiceName};
use almondsail_core::traffic::CallId;
use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use http_body_util::Full;

use crate::calls::call_headers as names;
use crate::calls::forwarded_call::{InboundRequestKind, required};
use crate::calls::peer_token::PeerToken;

/// The claim of a key by a call that is about to run.
#[derive(Debug, Clone)]
pub(crate) struct Claim {
    pub(crate) service: ServiceName,
    pub(crate) key: CallKey,
    pub(crate) call: CallId,
    /// The node that runs the call.
    pub(crate) holder: NodeId,
}

impl Claim {
    /// The claim in a message of another node.
    pub(crate) fn from_headers(headers: &HeaderMap) -> Result<Self, names::BadHeader> {
        Ok(Self {
            service: required(headers, &names::SERVICE)?,
            key: required(headers, &names::IDEMPOTENCY_KEY)?,
            call: required(headers, &names::CALL)?,
            holder: required(headers, &names::HOLDER)?,
        })
    }

    /// The message to another node.
    pub(crate) fn to_request(
        &self,
        token: &PeerToken,
        message: InboundRequestKind,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.method_mut() = Method::POST;
        let headers = request.headers_mut();
        headers.insert(names::TOKEN, token.header());
        names::set(headers, http::header::HOST, &self.holder);
        names::set(headers, names::MESSAGE, message);
        names::set(headers, names::SERVICE, &self.service);
        names::set(headers, names::IDEMPOTENCY_KEY, &self.key);
        names::set(headers, names::CALL, self.call);
        names::set(headers, names::HOLDER, &self.holder);
        request
    }
}
