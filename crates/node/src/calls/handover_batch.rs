//! Encoding of the claims that a leaving node hands over.

use almondsail_core::ids::{CallKey, NodeId, ServiceName};
use almondsail_core::traffic::{CallId, HandoverClaim};
use almondsail_core::units::Micros;
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;

use crate::calls::call_headers::{self, BadHeader};
use crate::calls::forwarded_call::InboundRequestKind;
use crate::calls::peer_token::PeerToken;

/// The largest number of claims in a batch. With keys of 128 bytes a batch takes about
/// 100 KB, well below [`crate::MAX_BODY`].
pub(crate) const MAX_BATCH: usize = 256;

/// A claim in JSON: service, key, call, holder, and the time until it expires in microseconds.
type ClaimText = (String, String, String, String, u64);

/// Encodes `claims` as a JSON array.
pub(crate) fn encode(claims: &[HandoverClaim]) -> Result<Bytes, serde_json::Error> {
    let text = |claim: &HandoverClaim| -> ClaimText {
        let HandoverClaim { service, key, call, holder, remaining } = claim;
        let text = (service.to_string(), key.to_string(), call.to_string(), holder.to_string());
        (text.0, text.1, text.2, text.3, remaining.get())
    };
    let texts: Vec<ClaimText> = claims.iter().map(text).collect();
    Ok(serde_json::to_vec(&texts)?.into())
}

/// Decodes `body`; an error if a claim is malformed or there are more than [`MAX_BATCH`].
pub(crate) fn decode(body: &[u8]) -> Result<Vec<HandoverClaim>, BadHeader> {
    let texts: Vec<ClaimText> = serde_json::from_slice(body).map_err(|_| BadHeader)?;
    if texts.len() > MAX_BATCH {
        return Err(BadHeader);
    }
    texts.iter().map(parse).collect::<Option<_>>().ok_or(BadHeader)
}

fn parse((service, key, call, holder, remaining): &ClaimText) -> Option<HandoverClaim> {
    let service: ServiceName = service.parse().ok()?;
    let key: CallKey = key.parse().ok()?;
    let call: CallId = call.parse().ok()?;
    let holder: NodeId = holder.parse().ok()?;
    Some(HandoverClaim { service, key, call, holder, remaining: Micros::new(*remaining) })
}

/// Builds the request that sends an encoded batch to node `to`.
pub(crate) fn to_request(token: &PeerToken, to: &NodeId, body: Bytes) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = Method::POST;
    let headers = request.headers_mut();
    headers.insert(call_headers::TOKEN, token.header());
    call_headers::set(headers, http::header::HOST, to);
    call_headers::set(headers, call_headers::MESSAGE, InboundRequestKind::Handover);
    request
}
